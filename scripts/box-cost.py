#!/usr/bin/env python3
"""Prints processor time and voluntary switches of processes by thread; see box-cost.sh."""

import collections
import os
import sys
import time

TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
SHOWN = 8


def threads_of(process):
    """Yields name, processor seconds and voluntary switches of each thread of a process."""
    for thread in os.listdir(f"/proc/{process}/task"):
        place = f"/proc/{process}/task/{thread}"
        with open(f"{place}/stat", encoding="ascii") as file:
            text = file.read()
        name = text[text.index("(") + 1 : text.rindex(")")]
        fields = text[text.rindex(")") + 2 :].split()
        with open(f"{place}/status", encoding="ascii") as file:
            switches = next(
                int(line.split()[1]) for line in file if line.startswith("voluntary")
            )
        yield name, (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND, switches


def look(processes):
    """Returns seconds and switches by thread, over all processes."""
    seconds, switches = collections.Counter(), collections.Counter()
    for process in processes:
        for name, spent, switched in threads_of(process):
            seconds[name] += spent
            switches[name] += switched
    return seconds, switches


def tell(title, boxes, seconds, switches, span=1.0):
    print(f"{title}: {sum(seconds.values()) / boxes / span:.3f} s of a processor a box")
    for name, spent in seconds.most_common(SHOWN):
        print(f"  {name:18s}{spent / boxes / span:8.3f} s{switches[name] / boxes / span:9.1f} switches")


def main():
    span, work, processes = float(sys.argv[1]), sys.argv[2], sys.argv[3:]
    while "served" not in open(f"{work}/fleet.out", encoding="utf-8").read():
        time.sleep(0.2)
        if os.path.getsize(f"{work}/fleet.log") and "Exception" in open(f"{work}/fleet.log").read():
            sys.exit(open(f"{work}/fleet.log", encoding="utf-8").read())
    before = look(processes)
    tell("start and requests", len(processes), *before)
    time.sleep(span)
    after = look(processes)
    seconds = after[0] - before[0]
    switches = after[1] - before[1]
    tell("a second at rest", len(processes), seconds, switches, span)


if __name__ == "__main__":
    main()
