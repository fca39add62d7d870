#!/usr/bin/env bash
# Runs all experiments over separate processes and prints one JSON line a figure; writes them and a
# plot to target/measurements. --quick takes about a minute; the whole set less than ten.
set -euo pipefail
root=$(cd "$(dirname "$0")" && pwd)
. "$root/scripts/launch.sh"
quick=0; [ "${1:-}" = "--quick" ] && quick=1
results=$root/target/measurements
mkdir -p "$results"
: >"$results/figures.jsonl"
build
trap stop_all EXIT
seeds=5; seconds=3; changes=200; rate_seconds=10
if [ $quick -eq 1 ]; then seeds=${GRADELEDGE_SEEDS:-1}; seconds=2; changes=20; rate_seconds=2; fi
record() { tee -a "$results/figures.jsonl"; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

start platform "${stand[@]}" platform
platform_admin=$(field platform admin)
start_engines "sofia-1 sofia-2 sofia-3 sofia-4" "encoder retriever reranker generator booking" \
  --slots 8 --base-ms 20 --token-us 2000
start plain "${stand[@]}" engines --ids plain-1,plain-2,plain-3,plain-4 --slots 64 --base-ms 2 --full-factor 1
engine_files+=(--engines "$work/plain.out")
files=("$root"/examples/spodeleno-patuvane/*.json "$root"/scripts/plain-encode.json)
pipelines=(); for file in "${files[@]}"; do pipelines+=(--pipelines "$file"); done
start_boxes 8 --zones sofia-1,sofia-2,sofia-3,sofia-4 \
  --policies two-choices:deadline,two-choices:deadline,round-robin:none,round-robin:none,least-in-flight:none,least-in-flight:none,two-choices:none,two-choices:none
apply_all "${files[@]}"

if [ -z "${GRADELEDGE_SCENARIOS:-}" ]; then
get() { (exec 3<>"/dev/tcp/${1%:*}/${1#*:}"; printf 'GET %s HTTP/1.0\r\nAuthorization: Bearer %s\r\n\r\n' "$2" "$operator_token" >&3; cat <&3); }
peer_bytes() { get "${operators%%,*}" /metrics | awk '/^gradeledge_peer_bytes_total/ {sum += $NF} END {printf "%.0f", sum}'; }
box_pid=${pids[$((${#pids[@]} - 8))]}
idle=10; [ $quick -eq 1 ] && idle=3
ticks=$(cpu_ticks "$box_pid"); bytes=$(peer_bytes); counts=$(get "$platform_admin" /counts | tail -1)
sleep $idle
echo "{\"figure\":\"idle\",\"boxes\":8,\"cpuPercent\":$(( ($(cpu_ticks "$box_pid") - ticks) * 100 / idle ))e-2,\"residentKb\":$(resident_kb "$box_pid"),\"peerBytesPerSecond\":$(( ($(peer_bytes) - bytes) / idle )),\"tableBefore\":$counts,\"tableAfter\":$(get "$platform_admin" /counts | tail -1),\"seconds\":$idle}" | record

"${stand[@]}" changes --operators "$operators" --operator-token $operator_token \
  --file "$work/files/seat-matching.json" --base 1 --count $changes | record

"${stand[@]}" overhead --box "${callers%%,*}" --pipeline "$work/files/plain-encode.json" \
  --seconds $rate_seconds | record
echo "{\"figure\":\"loaded\",\"residentKb\":$(resident_kb "$box_pid")}" | record

fi

IFS=, read -r -a ports <<<"$callers"
"${stand[@]}" policies "${applied[@]:0:4}" --capacity "${GRADELEDGE_CAPACITY:-180}" \
  --seconds $seconds --seeds $seeds --faulty "$(field engines-sofia-1 admin)/generator-sofia-1" \
  --set "gradeledge=${ports[0]}+${ports[1]}" --set "round-robin=${ports[2]}+${ports[3]}" \
  --set "least-in-flight=${ports[4]}+${ports[5]}" \
  ${GRADELEDGE_SCENARIOS:+--scenarios $GRADELEDGE_SCENARIOS} --plot "$results/policies.png" | record
