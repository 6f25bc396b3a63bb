#!/bin/sh
# Runs a benchmark class against the packaged executable, for example: benchmark.sh CostBenchmark
# Arguments after the class are passed on: benchmark.sh soak.RelaySoak 1 50
set -eu
directory="$(cd "$(dirname "$0")/../.." && pwd)"
# A copy, so that a build during the run does not replace the executable.
copy="$(mktemp -d)"
# Logs of the processes stay in target/benchmark-logs.
trap 'rm -rf "$directory/target/benchmark-logs"; mv "$copy/it-logs" "$directory/target/benchmark-logs" 2>/dev/null || true; rm -rf "$copy"' EXIT
cp "$directory/target/zinniawood" "$directory/target/zinniawood.jar" "$copy"
cp -r "$directory/target/test-classes" "$copy"
java -Xmx2g -XX:-UsePerfData -Djava.net.preferIPv4Stack=true \
  -Dzinniawood.binary="$copy/zinniawood" \
  -cp "$copy/test-classes:$copy/zinniawood.jar" \
  "io.zinniawood.dist.$@" &
java=$!
# Without this, a signal to the shell leaves the benchmark and its processes running.
trap 'kill "$java" 2>/dev/null || true' INT TERM
status=0
wait "$java" || status=$?
# A signal ends the first wait; the second one waits for the benchmark to end its processes.
wait "$java" 2>/dev/null || true
exit "$status"
