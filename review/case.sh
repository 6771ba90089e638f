#!/usr/bin/env bash
# Runs one case: case.sh NUMBER. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# The program ends by itself after 110 s at the latest, and its routers with it, however it ends.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
number=$1
for program in target/vanillapond "target/review/case$number"; do
  if [ ! -x "$program" ]; then
    echo "run.sh: $program is missing; run the build command of deploy/system.toml and review/build.sh first" >&2
    exit 2
  fi
done
exec "target/review/case$number" "review/$number/record.txt"
