#!/usr/bin/env bash
# Builds the stand-ins and the tests into target/review. Needs the build of the deploy file and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -cp target/violetrail.jar -d target/review review/standins/review/*.java
