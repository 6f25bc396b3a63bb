#!/bin/sh
# Runs a benchmark class against the packaged executable, for example: benchmark.sh CostBenchmark
set -eu
directory="$(cd "$(dirname "$0")/../.." && pwd)"
# A copy, so that a build during the run does not replace the executable.
copy="$(mktemp -d)"
trap 'rm -rf "$copy"' EXIT
cp "$directory/target/zinniawood" "$directory/target/zinniawood.jar" "$copy"
cp -r "$directory/target/test-classes" "$copy"
java -Xmx2g -XX:-UsePerfData -Djava.net.preferIPv4Stack=true \
  -Dzinniawood.binary="$copy/zinniawood" \
  -cp "$copy/test-classes:$copy/zinniawood.jar" \
  "io.zinniawood.dist.$1"
