#!/bin/bash
# Plays the case of claim.txt. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/balsam-entry ] && [ -x out/review-3/kit3 ] || { echo "build first: the deploy file's build and review/build-3.sh" >&2; exit 2; }
exec out/review-3/kit3 settle review/14/record.txt
