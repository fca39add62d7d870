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

build_earlier
for round in $(seq "$rounds"); do
  before=$(seconds_of "$tree")
  after=$(seconds_of .)
  echo "round $round: $before $after $(python3 -c "print(f'{$after / $before:.3f}')")"
done | tee /dev/stderr 2>&1 | python3 -c '
import statistics, sys
ratios = [float(line.split()[-1]) for line in sys.stdin]
print(f"ratio: {min(ratios):.3f} to {max(ratios):.3f}, median {statistics.median(ratios):.3f}")'
