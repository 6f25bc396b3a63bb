#!/bin/bash
# Compiles the stand-ins of the cases of the second review with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/src-2/review2/*.java
