#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0: without the disruption. After the build of the deploy file and
# review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
program=target/review-2/past_schedule
for file in "$program" target/bin/catkinford-site; do
  [ -x "$file" ] || { echo "$file is not built"; exit 2; }
done
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
SCRATCH=$scratch timeout -k 2 115 "$program" review/5
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
