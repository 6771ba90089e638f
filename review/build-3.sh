#!/bin/sh
# Builds the stand-ins of the script cases of the third review (review/11 to review/15) into target/review-3. Run it after the build of
# deploy/system.toml. It needs Go and the project's own packages, nothing else.
set -eu
cd "$(dirname "$0")/.."
if ! command -v go >/dev/null; then
	echo "build-3.sh: found no go command" >&2
	exit 2
fi
go build -o target/review-3/ ./review/testbed-3
