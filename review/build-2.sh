#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. Needs target/violetrail.jar.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -cp target/violetrail.jar -d target/review-2 review/standins-2/*.java
