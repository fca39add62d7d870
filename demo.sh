#!/usr/bin/env bash
# Starts the stand-ins and three boxes as separate processes on free loopback ports, applies the
# example pipelines, sends requests, prints attainment by account and cost by stage, and stops
# everything that it started. With --keep it leaves all running and prints one JSON line. With
# --platform it starts boxes of the users' platform before a store and engines, and calls them.
set -euo pipefail
root=$(cd "$(dirname "$0")" && pwd)
. "$root/scripts/launch.sh"
keep=0; [ "${1:-}" = "--keep" ] && keep=1
build
[ $keep -eq 1 ] || trap stop_all EXIT
if [ "${1:-}" = "--platform" ]; then
  start fleet "${stand[@]}" fleet --directory "$work/files" --boxes 3
  fleet=${pids[0]}
  for settings in "$work"/files/box-*.json; do
    GRADELEDGE_SETTINGS=$settings start "$(basename "$settings" .json)" \
      java -XX:-UsePerfData -XX:+UseSerialGC -Xmx128m -jar "$root/target/gradeledge-platform.jar"
  done
  served=0; wait "$fleet" || served=$?
  tail -n +2 "$work/fleet.out"
  exit $served
fi
start platform "${stand[@]}" platform
start_engines "sofia-1 sofia-2 sofia-3 sofia-4" "encoder retriever reranker generator"
start_engines "hcm-1 hcm-2 hcm-3 hcm-4" "glyph-encoder glyph-retriever glyph-reranker writer"
booking=$(printf 'booking-sofia-%s,' 1 2 3 4); billing=$(printf 'billing-hcm-%s,' 1 2 3 4)
start services "${stand[@]}" engines --ids "$booking${billing%,}"
engine_files+=(--engines "$work/services.out")
files=("$root"/examples/*/*.json)
pipelines=(); for file in "${files[@]}"; do pipelines+=(--pipelines "$file"); done
start_boxes 3 --zones sofia-1,sofia-2,sofia-3
apply_all "${files[@]}"
if [ $keep -eq 1 ]; then
  lines=""
  for name in "${names[@]}"; do lines+="$(head -1 "$work/$name.out"),"; done
  echo "{\"operatorToken\":\"$operator_token\",\"accountTokens\":\"demo-<account>\",\"directory\":\"$work\",\"callers\":\"$callers\",\"operators\":\"$operators\",\"processes\":[${lines%,}],\"pids\":[$(IFS=,; echo "${pids[*]}")]}"
  exit 0
fi
"${stand[@]}" load --boxes "$callers" --operators "$operators" --operator-token $operator_token \
  "${applied[@]}" --rate 100 --count "${GRADELEDGE_DEMO_REQUESTS:-400}"
