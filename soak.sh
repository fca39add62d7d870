#!/usr/bin/env bash
# Randomized faults on real boxes before stand-ins; one line a seed, exit code 0 if all promises were
# kept. Logs of a seed: target/soak/seed-N.
#   ./soak.sh [--seed N] [--seeds FROM-TO] [--seconds S] [--boxes N]
set -eu
cd "$(dirname "$0")"
from=1 to="" seconds=20 boxes=4
while [ $# -gt 0 ]; do
  case "$1" in
    --seed) from=$2 to=$2 ;;
    --seeds) from=${2%-*} to=${2#*-} ;;
    --seconds) seconds=$2 ;;
    --boxes) boxes=$2 ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
  esac
  shift 2
done
mvn -q -B verify -pl gradeledge-standin -am -Dtest=NoTests -Dsurefire.failIfNoSpecifiedTests=false \
  -Dit.test=SoakProcessTest -Dfailsafe.failIfNoSpecifiedTests=false \
  -Dsoak.from="$from" -Dsoak.to="${to:-$from}" -Dsoak.seconds="$seconds" -Dsoak.boxes="$boxes" \
  -Dsoak.patience=1 -Dsoak.folder="$PWD/target/soak"
