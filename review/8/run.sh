#!/usr/bin/env bash
# Case 8: a request crashes each server that runs it, and comes again. Takes about 60 seconds.
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves out the request that crashes servers.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/vanillapond target/review-2; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build line of deploy/system.toml and review/build-2.sh first" >&2
		exit 2
	fi
done
exec target/review-2 crashing-request review/8/record.txt
