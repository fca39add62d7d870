#!/usr/bin/env python3
"""Tells from the boxes' logs which upstreams got new work after a box knew that they leave.

Reads lines that hold a JSON object (text before it is passed over) from files or standard input.
For each upstream that left: when the first box knew, when each other box did after that, and the
latest new work of each box after that moment. All times are in milliseconds.
"""
import argparse
import datetime
import json
import re
import sys

ENDS = {"upstream-leaving", "upstream-gone", "upstream-lapsed", "upstream-closing"}
TRY = re.compile(r"(\S+)@(\d+)")


def entries(sources):
    """Yields each event with its time in milliseconds."""
    for source in sources:
        for line in source:
            start = line.find('{"at"')
            try:
                event = json.loads(line[start:]) if start >= 0 else None
            except ValueError:
                event = None
            if event:
                yield millis(event["at"]), event


def millis(text):
    whole, _, part = text.rstrip("Z").partition(".")
    seconds = datetime.datetime.fromisoformat(whole).timestamp()
    return (seconds + float("0." + (part or "0"))) * 1000


def sends(at, event):
    """Yields upstream, time and kind of each new piece of work that an event tells of."""
    if event["event"] == "request-ended" and "ms" in event:
        for upstream, after in TRY.findall(event.get("upstreams", "")):
            yield upstream, at - event["ms"] + int(after), "request"
    if event["event"] == "stage-call":
        yield event["upstream"], at - event.get("ms", 0), "stage call"


def main():
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("logs", nargs="*", help="log files; standard input if none")
    arguments.add_argument("--after", type=int, default=0, help="only sends later than this")
    options = arguments.parse_args()
    ends, work = {}, {}
    sources = [open(log, errors="replace") for log in options.logs] or [sys.stdin]
    for at, event in entries(sources):
        if event["event"] in ENDS:
            ends.setdefault(event["upstream"], []).append((at, event["box"], event["event"]))
        for upstream, sent, kind in sends(at, event):
            work.setdefault(upstream, []).append((sent, event["box"], kind))
    for upstream, told in sorted(ends.items(), key=lambda each: min(each[1])):
        report(upstream, sorted(told), work.get(upstream, []), options.after)


def report(upstream, told, work, after):
    first = told[0][0]
    clock = datetime.datetime.fromtimestamp(first / 1000).time()
    heard = ", ".join(f"{box} {event[9:]} +{at - first:.0f}" for at, box, event in told)
    print(f"{upstream} from {clock}: {heard}")
    late = {}
    for sent, box, kind in work:
        if sent - first > after:
            late.setdefault((box, kind), []).append(sent - first)
    for (box, kind), times in sorted(late.items()):
        print(f"    {box}: {len(times)} of {kind}, last +{max(times):.0f}")


if __name__ == "__main__":
    main()
