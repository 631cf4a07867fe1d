#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review cases into build-review/. Run after the build of the deploy
# file, which builds the program under review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review >/dev/null
cmake --build build-review --parallel 4
