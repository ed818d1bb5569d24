#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the cut out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case1 ] && [ -x target/apps/papayahalld ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
exec target/review/case1 review/1
