#!/usr/bin/env bash
# Builds the stand-ins and checks of all cases; needs target/zinniawood.jar of the deploy build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/target
javac -nowarn -d review/target -cp target/zinniawood.jar review/src/review/*.java
