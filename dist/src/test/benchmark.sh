#!/bin/sh
# Runs a benchmark class against the packaged executable, for example: benchmark.sh CostBenchmark
set -eu
directory="$(cd "$(dirname "$0")/../.." && pwd)"
exec java -Xmx2g -XX:-UsePerfData -Djava.net.preferIPv4Stack=true \
  -Dzinniawood.binary="$directory/target/zinniawood" \
  -cp "$directory/target/test-classes:$directory/target/zinniawood.jar" \
  "io.zinniawood.dist.$1"
