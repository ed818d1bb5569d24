#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
program=../../build-review-2/case-$(basename "$PWD")
[ -x "$program" ] || { echo "cannot run: run review/build-2.sh first"; exit 2; }
timeout -k 2 115 "$program" record.txt
code=$?
[ "$code" -le 2 ] || exit 2
exit "$code"
