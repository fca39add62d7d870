#!/usr/bin/env python3
"""Tells from the boxes' logs which upstreams got new work after a box knew that they leave.

Reads lines with a JSON object each (text before it is passed over) from files or standard input.
For each upstream that left: when the first box knew, when each other box did after that, and the
latest new work of each box after that moment. All times are in milliseconds.
"""
import argparse
import datetime
import json
import re
import sys

ENDS = {"upstream-leaving", "upstream-gone", "upstream-lapsed"}
TRY = re.compile(r"(\S+)@(\d+)")


def parse(lines):
    for line in lines:
        start = line.find('{"at"')
        if start < 0:
            continue
        try:
            entry = json.loads(line[start:])
        except ValueError:
            continue
        text = entry["at"].rstrip("Z")
        whole, _, part = text.partition(".")
        seconds = datetime.datetime.fromisoformat(whole).timestamp()
        entry["ms"] = seconds * 1000 + float("0." + (part or "0")) * 1000
        entry["took"] = entry.get("ms-taken", 0)
        yield entry


def sends(entry, raw):
    """Yields upstream and time of each new piece of work that a line tells of."""
    if entry["event"] == "request-ended" and "ms" in raw:
        received = entry["ms"] - raw["ms"]
        for upstream, after in TRY.findall(raw.get("upstreams", "")):
            yield upstream, received + int(after), "request"
    if entry["event"] == "stage-call":
        yield raw["upstream"], entry["ms"] - raw.get("took-ms", raw.get("ms", 0)), "stage call"


def main():
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("logs", nargs="*", help="log files; standard input if none")
    arguments.add_argument("--after", type=int, default=0, help="only sends later than this")
    options = arguments.parse_args()
    ends, work = {}, []
    sources = [open(log, errors="replace") for log in options.logs] or [sys.stdin]
    for source in sources:
        for line in source:
            start = line.find('{"at"')
            if start < 0:
                continue
            try:
                raw = json.loads(line[start:])
            except ValueError:
                continue
            entry = next(parse([line]))
            if raw["event"] in ENDS:
                ends.setdefault(raw["upstream"], []).append((entry["ms"], raw["box"], raw["event"]))
            work += [(u, t, raw["box"], what) for u, t, what in sends(entry, raw)]
    for upstream, told in sorted(ends.items(), key=lambda each: min(each[1])):
        told.sort()
        first = told[0][0]
        clock = datetime.datetime.fromtimestamp(first / 1000).time()
        heard = ", ".join(f"{box} {event[9:]} +{ms - first:.0f}" for ms, box, event in told)
        print(f"{upstream} from {clock}: {heard}")
        late = {}
        for target, at, box, what in work:
            if target == upstream and at - first > options.after:
                late.setdefault((box, what), []).append(at - first)
        for (box, what), times in sorted(late.items()):
            print(f"    {box}: {len(times)} of {what}, last +{max(times):.0f}")


if __name__ == "__main__":
    main()
