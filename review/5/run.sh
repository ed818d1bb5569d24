#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 answers every order.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case5 ] && [ -x target/apps/papayahalld ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
exec target/review/case5 review/5
