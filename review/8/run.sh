#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# Run it after the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
target/review-2/rig idle-channels review/8/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
