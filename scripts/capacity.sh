#!/usr/bin/env bash
# Measures what an idle box spends as the deployment grows: boxes 1 to 32, upstreams 10 to 400.
# Prints one JSON line a point. Stays under half of a machine of 24 GiB.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
. "$root/scripts/launch.sh"
results=$root/target/measurements
mkdir -p "$results"
: >"$results/capacity.jsonl"
settle=${GRADELEDGE_SETTLE_SECONDS:-15}; idle=${GRADELEDGE_IDLE_SECONDS:-10}
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
get() { (exec 3<>"/dev/tcp/${1%:*}/${1#*:}"; printf 'GET %s HTTP/1.0\r\nAuthorization: Bearer %s\r\n\r\n' "$2" "$operator_token" >&3; cat <&3); }
peer_bytes() { get "${operators%%,*}" /metrics | awk '/^gradeledge_peer_bytes_total/ {sum += $NF} END {printf "%.0f", sum}'; }
reads() { get "$(field platform admin)" /counts | tail -1 | sed 's/.*"reads":\([0-9]*\).*/\1/'; }

# boxes, upstreams
point() {
  local boxes=$1 upstreams=$2
  pids=(); names=(); engine_files=()
  build
  start platform "${stand[@]}" platform
  local ids; ids=$(seq -f 'plain-%g' -s, "$upstreams")
  start plain "${stand[@]}" engines --ids "$ids" --slots 64 --base-ms 2
  engine_files+=(--engines "$work/plain.out")
  "${stand[@]}" plain-pipeline --upstreams "$upstreams" >"$work/plain-encode.json"
  pipelines=(--pipelines "$work/plain-encode.json")
  start_boxes "$boxes" --zones sofia-1,sofia-2,sofia-3,sofia-4
  apply_all "$work/plain-encode.json" 2>/dev/null
  sleep "$settle"
  local pid=${pids[2]} ticks bytes before
  ticks=$(cpu_ticks "$pid"); bytes=$(peer_bytes); before=$(reads)
  sleep "$idle"
  ticks=$(( $(cpu_ticks "$pid") - ticks )); bytes=$(( ($(peer_bytes) - bytes) / idle )); before=$(( $(reads) - before ))
  echo "{\"figure\":\"capacity\",\"boxes\":$boxes,\"upstreams\":$upstreams,\"cpuPercentOfACore\":$(awk "BEGIN {print $ticks / $idle}"),\"residentKb\":$(resident_kb "$pid"),\"peerBytesPerSecond\":$bytes,\"tableReadsPerBoxSecond\":$(awk "BEGIN {print $before / $idle / $boxes}")}" | tee -a "$results/capacity.jsonl"
  stop_all
}

trap stop_all EXIT
for boxes in ${GRADELEDGE_BOXES:-1 8 24}; do point "$boxes" 10; done
for upstreams in ${GRADELEDGE_UPSTREAMS:-100 400}; do point 1 "$upstreams"; done
