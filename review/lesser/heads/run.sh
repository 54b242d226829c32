#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../../.."
[ -x target/bin/bluebell-gateway ] && [ -x target/review-2/heads ] || exit 2
timeout --signal=KILL 100 target/review-2/heads review/lesser/heads/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
