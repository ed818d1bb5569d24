#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the cut and the crash out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case3 ] && [ -x target/apps/papayahalld ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
exec target/review/case3 review/3
