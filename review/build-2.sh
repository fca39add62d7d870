#!/usr/bin/env bash
# Builds the stand-ins of the second review; needs nothing but a JDK.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
rm -rf "$root/target/review-2"
mkdir -p "$root/target/review-2"
javac -encoding UTF-8 -d "$root/target/review-2" "$root"/review/standin-2/*.java
