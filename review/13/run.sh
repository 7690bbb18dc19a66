#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/rig3 ] && [ -x target/release/nutmeghead ] || exit 2
exec target/review-3/rig3 attempts review/13/record.txt
