#!/usr/bin/env bash
# Plays the case of claim.txt: exit 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. review/build-2.sh builds the program.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=target/review-3/case
[ -x "$program" ] && [ -x target/release/amaranth-front ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec "$program" endless-item "$here/record.txt"
