#!/usr/bin/env bash
# Writes record.txt in this folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../run-case-2.sh" 6 review/6/record.txt
