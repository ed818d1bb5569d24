#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the kill out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case4 ] && [ -x target/apps/papayahalld ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
exec target/review/case4 review/4
