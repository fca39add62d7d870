#!/usr/bin/env bash
# What a box costs: starts boxes as separate processes before stand-ins, sends each of them requests, and prints
# processor time and voluntary switches a box by thread, once after the start and once after a span in which the
# boxes only keep in touch.
#
#   scripts/box-cost.sh [BOXES] [REQUESTS] [SPAN_SECONDS] [JVM OPTIONS...]
#
# Needs a build (deploy/system.toml). Boxes start with the options of deploy/system.toml and the ones given here.
set -euo pipefail
cd "$(dirname "$0")/.."
boxes=${1:-24} requests=${2:-40} span=${3:-10}
shift $(($# < 3 ? $# : 3))
work=$(mktemp -d)
options=$(sed -n 's/^run = "java \(.*\) -jar .*/\1/p' deploy/system.toml)
started=()

stop_all() {
  for process in "${started[@]}"; do kill -9 "$process" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

java -XX:+UseSerialGC -Xmx400m -jar gradeledge-standin/target/gradeledge-standin.jar \
  fleet --directory "$work" --boxes "$boxes" --requests "$requests" --hold 3600 \
  >"$work/fleet.out" 2>"$work/fleet.log" &
started+=($!)
until [ -s "$work/fleet.out" ]; do sleep 0.1; done

for box in $(seq 0 $((boxes - 1))); do
  # shellcheck disable=SC2086 -- the options are words
  GRADELEDGE_SETTINGS="$work/box-$box.json" java $options "$@" -jar target/gradeledge-platform.jar \
    >"$work/box-$box.out" 2>&1 &
  started+=($!)
done

python3 scripts/box-cost.py "$span" "$work" "${started[@]:1}"
