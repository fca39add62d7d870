#!/usr/bin/env bash
# Time of the choice of an upstream for a request, by JMH, at the sizes of today and of the grown sites.
# With the name of another benchmark, such as FillBenchmark, before JMH's options: that one.
set -euo pipefail
cd "$(dirname "$0")/.."
benchmark=ChoiceBenchmark
if [[ ${1:-} == *Benchmark ]]; then benchmark=$1; shift; fi
classpath=target/choice-benchmark.classpath
mkdir -p target
mvn -q -B test-compile dependency:build-classpath -pl gradeledge-core \
  -Dmdep.outputFile="$PWD/$classpath" -Dmdep.includeScope=test
java -XX:-UsePerfData -Xmx256m \
  -cp "gradeledge-core/target/test-classes:gradeledge-core/target/classes:$(cat $classpath)" \
  org.openjdk.jmh.Main -f 0 -foe true "$@" "$benchmark"
