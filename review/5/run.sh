#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x build-review/case5 ] && [ -x target/src/tools/parsleytackd/parsleytackd ] || exit 2
exec build-review/case5 review/5/record.txt
