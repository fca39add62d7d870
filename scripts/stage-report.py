#!/usr/bin/env python3
"""Tells from the logs of boxes which of stage work's bounds binds: room, time or nothing.

Usage: scripts/stage-report.py LOG...   (lines of boxes, each with any text before its JSON object)

Prints for each stage service and each three seconds how full calls were and what waited, and for
each priority how requests ended, the wait at each stage, and expected against actual time.
"""
import collections
import datetime
import json
import re
import sys

WINDOW_SECONDS = 3
STAGE = re.compile(r"(\d+)@\d+:(\d+)/(\d+)$")


def events(paths):
    """Yields the events of all logs; lines that hold none are passed over."""
    for path in paths:
        with open(path, errors="replace") as log:
            for line in log:
                start = line.find('{"at":')
                if start >= 0:
                    try:
                        yield json.loads(line[start:])
                    except json.JSONDecodeError as broken:
                        print(f"{path}: a line cannot be read: {broken}", file=sys.stderr)


def seconds(event):
    """Returns the time of an event in seconds, to the millisecond."""
    text = event["at"][:23].rstrip("Z")
    return datetime.datetime.fromisoformat(text).timestamp()


def quantile(values, part):
    """Returns a quantile of values that are not sorted."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


def mean(values):
    """Returns the mean of values, of which there is at least one."""
    return sum(values) / len(values)


def report_calls(calls, begin):
    """Prints how full the calls of each service were, and what waited."""
    by_service = collections.defaultdict(list)
    for call in calls:
        by_service[call["service"]].append(call)
    for service, made in sorted(by_service.items()):
        print(f"service {service}: {len(made)} calls of at most {made[0]['most']} pieces")
        print("  second  calls  pieces  waiting-after  waited-ms  busy-s  kb")
        windows = collections.defaultdict(list)
        for call in made:
            windows[int((seconds(call) - begin) // WINDOW_SECONDS)].append(call)
        for window, part in sorted(windows.items()):
            figures = [mean([call[key] for call in part]) for key in ("pieces", "waiting-after", "waited-ms", "kb")]
            busy = sum(call["ms"] for call in part) / 1000
            print("  %6d  %5d  %6.1f  %13.0f  %9.0f  %6.1f  %.0f"
                  % (window * WINDOW_SECONDS, len(part), figures[0], figures[1], figures[2], busy, figures[3]))


def report_requests(ended):
    """Prints how the requests of each priority ended and where their time went."""
    by_priority = collections.defaultdict(list)
    for request in ended:
        by_priority[request["priority"]].append(request)
    for priority, requests in sorted(by_priority.items()):
        print(f"priority {priority}: {dict(collections.Counter(each['outcome'] for each in requests))}")
        begun = [each for each in requests if each["first-event-ms"] >= 0]
        if begun:
            errors = [each["expected-ms"] - each["first-event-ms"] for each in begun]
            print("  expected less actual ms: p10 %d, p50 %d, p90 %d"
                  % tuple(quantile(errors, part) for part in (0.1, 0.5, 0.9)))
        stages = collections.defaultdict(list)
        for each in begun:
            for text in each["stages"].split(" "):
                match = STAGE.match(text)
                if match:
                    stages[int(match[1])].append((int(match[2]), int(match[3])))
        for stage, times in sorted(stages.items()):
            waits = [wait for wait, _ in times]
            whole = [took for _, took in times]
            print("  stage %d: wait p50 %d, p90 %d; whole p50 %d, p90 %d ms"
                  % (stage, quantile(waits, 0.5), quantile(waits, 0.9), quantile(whole, 0.5), quantile(whole, 0.9)))


def main():
    """Reads the logs that are named and prints the report."""
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    read = list(events(sys.argv[1:]))
    calls = [event for event in read if event["event"] == "stage-call"]
    ended = [event for event in read if event["event"] == "request-ended" and event["expected-ms"] >= 0]
    if not calls and not ended:
        sys.exit("no line of stage work in " + ", ".join(sys.argv[1:]))
    report_calls(calls, min(map(seconds, read)))
    report_requests(ended)


if __name__ == "__main__":
    main()
