#!/usr/bin/env bash
# Builds the program of the scripts review/6 to review/10: stand-ins of clients, servers and the platform, and the cases themselves. The routers come from
# the build line of deploy/system.toml, which has to be run before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-2 ./review/testbed-2
