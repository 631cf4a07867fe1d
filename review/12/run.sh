#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case-12 ] || exit 2
timeout 110 target/review-3/case-12 review/12/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
