# Functions that start stand-ins and boxes as processes and stop them again by pid; sourced by
# demo.sh and measure.sh. Expects $root.
box_jar=$root/gradeledge-box/target/gradeledge.jar
stand_jar=$root/gradeledge-standin/target/gradeledge-standin.jar
operator_token=demo-operator
pids=()
names=()

build() {
  if [ ! -f "$box_jar" ] || [ ! -f "$stand_jar" ] || [ ! -f "$root/target/gradeledge-platform.jar" ]; then
    (cd "$root" && mvn -B -q package -DskipTests >&2)
  fi
  work=$(mktemp -d "${TMPDIR:-/tmp}/gradeledge.XXXXXX")
}

stop_all() {
  if [ ${#pids[@]} -gt 0 ]; then
    kill "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
  fi
  pids=()
  [ -z "${work:-}" ] || rm -rf "$work"
}

stand=(java -XX:-UsePerfData -XX:+UseSerialGC "-Xmx${GRADELEDGE_STANDIN_HEAP:-192m}" -jar "$stand_jar")

# name, command...: starts it and waits for its first line
start() {
  local name=$1; shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  names+=("$name")
  for _ in $(seq 600); do [ -s "$work/$name.out" ] && return; sleep 0.1; done
  echo "$name did not start:" >&2; cat "$work/$name.log" >&2; exit 1
}

# name, key: the value of a key in the first line of a process
field() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$work/$1.out"; }

# zones, roles, options...: one process of engines a zone, one engine a role
start_engines() {
  local zones=$1 roles=$2; shift 2
  local zone role ids
  for zone in $zones; do
    ids=""
    for role in $roles; do ids+="$role-$zone,"; done
    start "engines-$zone" "${stand[@]}" engines --ids "${ids%,}" "$@"
    engine_files+=(--engines "$work/engines-$zone.out")
  done
}
engine_files=()

# count, files, options...: writes settings and pipeline files, starts boxes, waits until ready
start_boxes() {
  local count=$1; shift
  "${stand[@]}" demo-files --directory "$work/files" --platform "$work/platform.out" \
    "${engine_files[@]}" "${pipelines[@]}" --boxes "$count" \
    --operator-token $operator_token \
    --peer-secret "$(head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n')" "$@"
  local box
  callers=""; operators=""
  for box in $(seq "$count"); do
    start "box-$box" "$root/bin/gradeledge" box --settings "$work/files/box-$box.json"
    callers+="$(field "box-$box" caller),"; operators+="$(field "box-$box" operator),"
  done
  callers=${callers%,}; operators=${operators%,}
  local caller
  for caller in ${callers//,/ }; do await_ready "$caller"; done
}

await_ready() {
  for _ in $(seq 600); do
    (exec 3<>"/dev/tcp/${1%:*}/${1#*:}"; printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3; head -1 <&3) \
      2>/dev/null | grep -q 200 && return
    sleep 0.1
  done
  echo "$1 is not ready" >&2; exit 1
}

apply_all() {
  local file name
  export GRADELEDGE_TOKEN=$operator_token
  applied=()
  for file in "$@"; do
    name=$work/files/$(basename "$file")
    "$root/bin/gradeledge" apply "$name" --box "${operators%%,*}" >"$work/apply.out" \
      || { cat "$work/apply.out"; exit 1; }
    echo "applied $(basename "$file")" >&2
    applied+=(--pipelines "$name")
  done
}
