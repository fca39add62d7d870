#!/usr/bin/env bash
# Starts the stand-ins and three boxes as separate processes on free loopback ports, applies the
# example pipelines, sends requests, prints attainment by account and cost by stage, and stops
# everything that it started. With --keep it leaves all running and prints one JSON line.
set -euo pipefail
root=$(cd "$(dirname "$0")" && pwd)
keep=0; [ "${1:-}" = "--keep" ] && keep=1
count=${GRADELEDGE_DEMO_REQUESTS:-400}
box_jar=$root/gradeledge-box/target/gradeledge.jar
stand_jar=$root/gradeledge-standin/target/gradeledge-standin.jar
if [ ! -f "$box_jar" ] || [ ! -f "$stand_jar" ]; then
  (cd "$root" && mvn -B -q package -DskipTests >&2)
fi
work=$(mktemp -d "${TMPDIR:-/tmp}/gradeledge-demo.XXXXXX")
pids=()
stop() {
  [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  [ ${#pids[@]} -eq 0 ] || wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$work"
}
[ $keep -eq 1 ] || trap stop EXIT
jvm=(java -XX:-UsePerfData -XX:+UseSerialGC -XX:TieredStopAtLevel=1)
start() { # name, command...: starts it and waits for its first line
  local name=$1; shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  for _ in $(seq 300); do [ -s "$work/$name.out" ] && return; sleep 0.1; done
  echo "$name did not start:" >&2; cat "$work/$name.log" >&2; exit 1
}
stand=("${jvm[@]}" -Xmx160m -jar "$stand_jar")
start platform "${stand[@]}" platform
engine_files=()
for zone in 1 2 3 4; do
  ids=""
  for role in encoder retriever reranker generator booking; do ids+="$role-sofia-$zone,"; done
  for role in glyph-encoder glyph-retriever glyph-reranker writer billing; do ids+="$role-hcm-$zone,"; done
  start "engines-$zone" "${stand[@]}" engines --ids "${ids%,}"
  engine_files+=(--engines "$work/engines-$zone.out")
done
operator_token=demo-operator
pipelines=()
for file in "$root"/examples/*/*.json; do pipelines+=(--pipelines "$file"); done
"${stand[@]}" demo-files --directory "$work/files" --platform "$work/platform.out" \
  "${engine_files[@]}" "${pipelines[@]}" --boxes 3 --zones sofia-1,sofia-2,sofia-3 \
  --operator-token $operator_token --peer-secret "$(head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n')"
field() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$work/$1.out"; }
callers=""; operators=""
for box in 1 2 3; do
  start "box-$box" "$root/bin/gradeledge" box --settings "$work/files/box-$box.json"
  callers+="$(field box-$box caller),"; operators+="$(field box-$box operator),"
done
callers=${callers%,}; operators=${operators%,}
export GRADELEDGE_TOKEN=$operator_token
for caller in ${callers//,/ }; do
  for _ in $(seq 300); do
    (exec 3<>"/dev/tcp/${caller%:*}/${caller#*:}"; printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3; head -1 <&3) 2>/dev/null | grep -q 200 && break
    sleep 0.1
  done
done
load_files=()
for file in "$root"/examples/*/*.json; do
  applied=$work/files/$(basename "$file")
  "$root/bin/gradeledge" apply "$applied" --box "${operators%%,*}" >"$work/apply.out" \
    || { cat "$work/apply.out"; exit 1; }
  echo "applied $(basename "$file")" >&2
  load_files+=(--pipelines "$applied")
done
if [ $keep -eq 1 ]; then
  lines=""
  for name in platform engines-1 engines-2 engines-3 engines-4 box-1 box-2 box-3; do lines+="$(head -1 "$work/$name.out"),"; done
  echo "{\"operatorToken\":\"$operator_token\",\"accountTokens\":\"demo-<account>\",\"directory\":\"$work\",\"callers\":\"$callers\",\"operators\":\"$operators\",\"processes\":[${lines%,}],\"pids\":[$(IFS=,; echo "${pids[*]}")]}"
  exit 0
fi
"${stand[@]}" load --boxes "$callers" --operators "$operators" --operator-token $operator_token \
  "${load_files[@]}" --rate 100 --count "$count"
"$root/bin/gradeledge" status --box "${operators%%,*}" >"$work/status.out"
