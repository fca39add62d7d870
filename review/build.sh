#!/usr/bin/env bash
# Compiles the stand-ins of the cases with the JDK alone, into review/target. Run it after the
# build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
javac --release 17 -d target standin/*.java
