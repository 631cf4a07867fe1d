#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 into build-review-2/. They need no more than the
# packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build-review-2
mkdir -p "$build"
compile() { g++ -std=c++20 -O2 -Wall -Wextra -Werror -pthread "$@"; }
objects=()
jobs=()
for source in review/standins-2/*.cpp; do
    object=$build/$(basename "$source" .cpp).o
    compile -c "$source" -o "$object" &
    objects+=("$object")
    jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
for case in review/{6,7,8,9,10}/main.cpp; do
    [ -f "$case" ] || continue
    compile "$case" "${objects[@]}" -o "$build/case-$(basename "$(dirname "$case")")"
done
