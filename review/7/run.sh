#!/usr/bin/env bash
# Exits with 1 if a request reached a server later than drain_ms after the store had acknowledged that the
# server is draining, 0 if none did and 2 if the case could not run. TROUBLE=0 leaves out the hanging servers.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/balsam-entry ] && [ -x target/review-2-rig ] || { echo "build the deploy file and run review/build-2.sh first" >&2; exit 2; }
exec target/review-2-rig drain review/7/record.txt
