#!/usr/bin/env bash
# What a box costs against an earlier commit: builds that commit in a work tree under target/, runs box-cost.sh on both by
# turns, and prints each round's seconds of a processor a box and the ratio, then the ratios' lowest, median and highest.
# What else runs on the machine slows both alike, so that only the ratio means anything.
#
#   scripts/box-cost-pair.sh COMMIT [BOXES] [REQUESTS] [ROUNDS]
#
# Needs a build of the checkout (deploy/system.toml).
set -euo pipefail
cd "$(dirname "$0")/.."
commit=${1:?a commit must be given} boxes=${2:-14} requests=${3:-40} rounds=${4:-5}
tree="target/against-$(git rev-parse --short "$commit")"

build_earlier() {
  [ -s "$tree/target/gradeledge-platform.jar" ] && return 0
  git worktree add --quiet --force --detach "$tree" "$commit"
  (cd "$tree" && eval "$(sed -n 's/^build = "\(.*\)"/\1/p' deploy/system.toml)")
}

seconds_of() {
  (cd "$1" && scripts/box-cost.sh "$boxes" "$requests" 1) 2>/dev/null |
    sed -n 's/^start and requests: \([0-9.]*\) s.*/\1/p'
}

# Without an archive of its own classes a box costs half as much again, which would pass for the change.
check_archive() {
  [ target/gradeledge.jsa -nt target/gradeledge-platform.jar ] ||
    { echo "the class archive is older than the jar: run scripts/class-archive.sh" >&2; exit 1; }
}

check_archive
build_earlier
for round in $(seq "$rounds"); do
  echo "$round $(seconds_of "$tree") $(seconds_of .)"
done | python3 -u -c '
import statistics, sys
ratios = []
for line in sys.stdin:
    number, before, after = line.split()
    ratios.append(float(after) / float(before))
    print(f"round {number}: {before} {after} {ratios[-1]:.3f}")
print(f"ratio: {min(ratios):.3f} to {max(ratios):.3f}, median {statistics.median(ratios):.3f}")'
