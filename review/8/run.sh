#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the case without its disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
trouble=${TROUBLE:-1}
timeout 115 java -XX:-UsePerfData -XX:+UseSerialGC -Xmx192m -Dfile.encoding=UTF-8 -Droot="$root" \
  -Dtrouble="$trouble" \
  -cp "$root/target/review-2" AddedStages "$here/record.txt"
status=$?
[ $status -le 2 ] || status=2
exit $status
