#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 11 to 15 into target/review-3. Needs only the packages of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
common=(review/standins-3/*.cpp)
for source in review/1[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" "${common[@]}" -o "$out/case-$name" &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit "$status"
