#!/usr/bin/env bash
# Writes target/gradeledge.jsa, the class-data archive that boxes on the users' platform start from.
# Boxes that serve requests before stand-ins load the classes; there are so many of them that they
# also relay heartbeats. Part of the build (deploy/system.toml).
set -euo pipefail
cd "$(dirname "$0")/.."
boxes=14
work=target/class-archive
rm -rf "$work" target/gradeledge.jsa
mkdir -p "$work"
java -XX:-UsePerfData -XX:+UseSerialGC -Xmx192m -jar gradeledge-standin/target/gradeledge-standin.jar \
  fleet --directory "$work" --boxes $boxes >"$work/fleet.out" 2>"$work/fleet.log" &
fleet=$!
trap 'kill $fleet ${archive:-} 2>/dev/null || true' EXIT
until [ -s "$work/fleet.out" ]; do
  kill -0 $fleet || { cat "$work/fleet.log" >&2; exit 1; }
  sleep 0.1
done
java -XX:ArchiveClassesAtExit=target/gradeledge.jsa -Xlog:cds=off,cds+dynamic=off -Xmx512m -Xss256k \
  -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -jar target/gradeledge-platform.jar \
  --class-archive "$work"/box-*.json >"$work/boxes.out" 2>"$work/boxes.log" &
archive=$!
wait -n $fleet $archive || tail -5 "$work/fleet.out" "$work/fleet.log" "$work/boxes.log" >&2
kill $fleet 2>/dev/null || true
kill $archive 2>/dev/null || true
wait $archive || true
[ -s target/gradeledge.jsa ]
