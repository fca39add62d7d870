#!/usr/bin/env python3
"""Plays the regression runs and prints one table with the difference to the last committed one.

  scripts/regression.py --bench PROGRAM --sites FOLDER --why TEXT [--plan FILE] [--table FILE] [--write]

The plan (scripts/regression.toml) names sites, days, seeds and how many days to play at a time. What was
played is kept in target/regression, so that an interrupted call goes on where it ended; --again plays all
anew, --write puts the new table into the place of the committed one. Exit code 1 if a rule was broken, a
day was not played to its end, or a day lost more than ALLOWED_LOSS.
"""

import argparse
import concurrent.futures
import json
import pathlib
import re
import subprocess
import sys
import tomllib

# Days differ by so much between two plays of the same code where processor time is charged.
ALLOWED_LOSS = 0.03
ROW = re.compile(r"^(?P<day>\S+)\s+\d+/\d+\s+(?P<score>-?\d+\.\d+)\s+(?P<worth>-?\d+\.\d+)\s+(?P<served>\d+\.\d+)")
TABLE_ROW = re.compile(r"^\| (?P<site>\S+) \| (?P<day>\S+) \| (?P<seed>\S+) \| (?P<worth>-?\d+\.\d+) \|")
FIELDS = {"path": str, "days": list, "seeds": list, "jobs": int}


def fail(text):
    sys.exit(f"regression: {text}")


def read_plan(path):
    """Returns the sites of the plan; tells all faults at once with their place."""
    sites = tomllib.loads(path.read_text(encoding="utf-8")).get("site", [])
    faults = []
    for number, site in enumerate(sites, 1):
        place = f"{path}, site {number}"
        faults += [f"{place}: unknown key {key}" for key in site if key not in FIELDS]
        faults += [
            f"{place}: {key} is no {kind.__name__}"
            for key, kind in FIELDS.items()
            if key in site and not isinstance(site[key], kind)
        ]
        faults += [f"{place}: {key} is missing" for key in ("path", "days") if not site.get(key)]
        if isinstance(site.get("jobs"), int) and site["jobs"] < 1:
            faults.append(f"{place}: jobs must be at least 1")
    if not sites:
        faults.append(f"{path}: no site")
    if faults:
        fail("\n".join(faults))
    return sites


def plays_of(site):
    return [(site["path"], day, seed) for day in site["days"] for seed in site.get("seeds", [None])]


def name_of(play):
    path, day, seed = play
    return f"{pathlib.Path(path).stem}-{day}-{seed or 'own'}"


def play(arguments, kept, play):
    """Plays one day, unless its outcome is kept; returns its outcome."""
    file = kept / f"{name_of(play)}.json"
    if file.exists() and not arguments.again:
        return json.loads(file.read_text(encoding="utf-8"))
    path, day, seed = play
    command = [arguments.bench, "run", str(arguments.sites / path), day, "--jobs", "1", "--why", arguments.why]
    command += ["--seed", str(seed)] if seed else []
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    (kept / f"{name_of(play)}.out").write_text(done.stdout + done.stderr, encoding="utf-8")
    row = next((m for m in map(ROW.match, done.stdout.splitlines()) if m and m["day"] == day), None)
    if row is None:
        return {"worth": None, "broken": f"not played, code {done.returncode}"}
    broken = re.search(r"BROKEN: (.*)", done.stdout)
    outcome = {"worth": float(row["worth"]), "broken": broken[1] if broken else ""}
    file.write_text(json.dumps(outcome), encoding="utf-8")
    return outcome


def committed(path):
    """Returns the worth of each play in the committed table."""
    if not path.exists():
        return {}
    rows = map(TABLE_ROW.match, path.read_text(encoding="utf-8").splitlines())
    return {(row["site"], row["day"], row["seed"]): float(row["worth"]) for row in rows if row}


def table(outcomes, before):
    """Returns the lines of the table and the number of plays that failed."""
    lines = ["| site | day | seed | worth | difference | broken |", "|---|---|---|---|---|---|"]
    failed = 0
    for (path, day, seed), outcome in outcomes.items():
        key = (pathlib.Path(path).stem, day, str(seed or "own"))
        worth = outcome["worth"]
        known = before.get(key)
        difference = "" if worth is None or known is None else f"{worth - known:+.3f}"
        lost = bool(difference) and worth - known < -ALLOWED_LOSS
        failed += bool(outcome["broken"]) or worth is None or lost
        shown = "–" if worth is None else f"{worth:.3f}"
        lines.append(f"| {' | '.join(key)} | {shown} | {difference} | {outcome['broken']} |")
    return lines, failed


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True, help="the program that plays days")
    parser.add_argument("--sites", required=True, type=pathlib.Path, help="the folder of the site files")
    parser.add_argument("--why", required=True, help="the line for the journal")
    parser.add_argument("--plan", type=pathlib.Path, default=pathlib.Path("scripts/regression.toml"))
    parser.add_argument("--table", type=pathlib.Path, default=pathlib.Path("docs/REGRESSION.md"))
    parser.add_argument("--again", action="store_true", help="play what is kept anew")
    parser.add_argument("--write", action="store_true", help="write the table")
    arguments = parser.parse_args()
    kept = pathlib.Path("target/regression")
    kept.mkdir(parents=True, exist_ok=True)
    outcomes = {}
    for site in read_plan(arguments.plan):
        plays = plays_of(site)
        with concurrent.futures.ThreadPoolExecutor(site.get("jobs", 1)) as pool:
            results = list(pool.map(lambda each: play(arguments, kept, each), plays))
        outcomes.update(zip(plays, results))
    lines, failed = table(outcomes, committed(arguments.table))
    print("\n".join(lines))
    if arguments.write:
        head = "# Regression runs\n\nWritten by `scripts/regression.py --write`; processor time charged.\n\n"
        arguments.table.write_text(head + "\n".join(lines) + "\n", encoding="utf-8")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
