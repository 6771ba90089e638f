#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into target/review. The programs under test are built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v go > /dev/null; then
  echo "build.sh: Go is not installed" >&2
  exit 2
fi
mkdir -p target/review
for main in review/[1-5]/main.go; do
  folder=$(dirname "$main")
  go build -o "target/review/case$(basename "$folder")" "./$folder"
done
