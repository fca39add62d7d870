#!/usr/bin/env python3
"""Prints the share of its worth that each kind of request earned, for the runs in journal entries.

Usage: scripts/class-shares.py [--site FILE] [--below SHARE] ENTRY...

One line a day, the day with the lowest share first; then the quantiles of each kind over all days.
With --site, the floor of a standard day stands beside its shares, and a share below it is marked.
"""
import argparse
import json
import re
import sys
import tomllib

QUANTILES = [("min", 0.0), ("5%", 0.05), ("10%", 0.1), ("25%", 0.25), ("median", 0.5)]


def arguments():
    """Returns the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--site", help="site file, for the names of kinds and the floors")
    parser.add_argument("--below", type=float, default=2.0, help="only days with a lower share")
    parser.add_argument("entries", nargs="+", help="journal entries")
    return parser.parse_args()


def read_site(path):
    """Returns the names of the kinds and the floor of each standard day."""
    if path is None:
        return [], {}
    with open(path, "rb") as text:
        site = tomllib.load(text)
    floors = {day["name"]: min(day["floor_classes"]) for day in site["day"] if "floor_classes" in day}
    return [kind["name"] for kind in site["classes"]], floors


def read_days(paths):
    """Returns the days of all entries that have shares of kinds."""
    days = []
    for path in paths:
        with open(path) as text:
            days += [(path, day) for day in json.load(text)["days"] if day.get("by_class")]
    return days


def shares_of(day):
    """Returns the shares of the kinds that had requests."""
    return [share for share in day["by_class"] if share is not None]


def floor_of(day, floors):
    """Returns the floor of a standard day, also with another seed; None for other days."""
    return floors.get(re.split(r"[ ]", day["name"])[0])


def print_day(path, day, floor):
    """Prints one line for a day."""
    entry = re.sub(r".*-(\w+)\.json$", r"\1", path)
    shares = " ".join(f"{share:.3f}" for share in shares_of(day))
    mark = " SHORT" if day["short"] or floor and min(shares_of(day)) < floor else ""
    print(f"{min(shares_of(day)):.3f}  {shares}  worth {day['G']:.3f}  floor {floor or '-'}{mark}  {entry} {day['name']}")


def print_quantiles(days, kinds):
    """Prints the lower quantiles of each kind and of the lowest kind of a day."""
    columns = list(zip(*[shares_of(day) for _, day in days if len(shares_of(day)) == len(shares_of(days[0][1]))]))
    names = kinds or [f"kind {number}" for number in range(len(columns))]
    rows = list(zip(names, columns)) + [("lowest of a day", [min(shares_of(day)) for _, day in days])]
    print(f"{'':20}" + "".join(f"{name:>9}" for name, _ in QUANTILES) + f"{'mean':>9}")
    for name, column in rows:
        ordered = sorted(column)
        values = [ordered[min(len(ordered) - 1, int(len(ordered) * part))] for _, part in QUANTILES]
        values.append(sum(ordered) / len(ordered))
        print(f"{name:20}" + "".join(f"{value:9.3f}" for value in values))


def main():
    """Prints the tables."""
    options = arguments()
    kinds, floors = read_site(options.site)
    days = read_days(options.entries)
    if not days:
        sys.exit("no day with shares of kinds in these entries")
    for path, day in sorted(days, key=lambda each: min(shares_of(each[1]))):
        if min(shares_of(day)) < options.below:
            print_day(path, day, floor_of(day, floors))
    print_quantiles(days, kinds)
    print(f"{len(days)} days, mean worth {sum(day['G'] for _, day in days) / len(days):.3f}")


if __name__ == "__main__":
    main()
