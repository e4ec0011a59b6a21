#!/usr/bin/env bash
# Runs one of the cases 4 to 8: run-2.sh FOLDER NAME. Called by the folders' run.sh.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
folder="$(cd "$1" && pwd)"
cd "$(dirname "$0")/.."
if [ ! -f target/review-2/Cases.class ] || [ ! -f target/violetrail.jar ]; then
  echo "not built: run the build line of deploy/service.toml and review/build-2.sh" > "$folder/record.txt"
  exit 2
fi
# At the end, also by SIGTERM, the program ends the controllers that it has started.
timeout -k 4 116 java -Xmx512m -Dsun.net.httpserver.nodelay=true \
  -cp target/review-2:target/violetrail.jar Cases "$2" "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
