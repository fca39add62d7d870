#!/usr/bin/env bash
# Writes target/gradeledge.jsa, the class-data archive that boxes on the users' platform start from.
# Boxes that serve requests before stand-ins load the classes; there are so many of them that they
# also relay heartbeats. Part of the build (deploy/system.toml). Boxes start without the archive too,
# only later, so that a machine on which it cannot be written still gets its build.
set -euo pipefail
cd "$(dirname "$0")/.."
boxes=14
tries=3
work=target/class-archive

write_archive() {
  rm -rf "$work" target/gradeledge.jsa
  mkdir -p "$work"
  java -XX:-UsePerfData -XX:+UseSerialGC -Xmx192m \
    -jar gradeledge-standin/target/gradeledge-standin.jar \
    fleet --directory "$work" --boxes $boxes >"$work/fleet.out" 2>"$work/fleet.log" &
  fleet=$!
  until [ -s "$work/fleet.out" ]; do
    kill -0 $fleet 2>/dev/null || return 0
    sleep 0.1
  done
  java -XX:ArchiveClassesAtExit=target/gradeledge.jsa -Xlog:cds=off,cds+dynamic=off -Xmx512m \
    -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData \
    -jar target/gradeledge-platform.jar --class-archive "$work"/box-*.json \
    >"$work/boxes.out" 2>"$work/boxes.log" &
  archive=$!
  wait -n $fleet $archive || true
  kill $fleet 2>/dev/null || true
  kill $archive 2>/dev/null || true
  wait $fleet $archive 2>/dev/null || true
}

all_served() {
  grep -q "^\([0-9]*\) of \1 requests served" "$work/fleet.out" && [ -s target/gradeledge.jsa ]
}

for _ in $(seq $tries); do
  write_archive
  all_served && exit 0
  tail -n 5 "$work/fleet.out" "$work/fleet.log" "$work/boxes.log" >&2 || true
done
[ -s target/gradeledge.jsa ] || echo "no class archive: boxes start without one" >&2
