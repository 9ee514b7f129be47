#!/usr/bin/env bash
# Plays the case in this folder; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
# TROUBLE=0 plays the same without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
export ENTRY="$root/target/release/yuccahoist-entry" TROUBLE="${TROUBLE:-1}"
[ -x "$ENTRY" ] && [ -x "$root/target/review-2/standin-2" ] || exit 2
exec "$root/target/review-2/standin-2" late-lease
