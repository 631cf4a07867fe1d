#!/usr/bin/env bash
# Runs the program of case N with the command of the deploy file. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run. With TROUBLE=0 the disruption does not take place.
# The program writes what was sent, answered and run to RECORD.
# Usage: TROUBLE=0|1 run-case-2.sh N RECORD
set -uo pipefail
cd "$(dirname "$0")/.."
program=build-review-2/case-$1
record=$2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
if [ ! -x "$program" ] || [ ! -x "${command%% *}" ]; then
    echo "build the deploy file and run review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
"$program" "$command" "$folder" "$record" "${TROUBLE:-1}"
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"
[ "$status" -le 2 ] && exit "$status"
exit 2
