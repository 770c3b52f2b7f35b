#!/bin/sh
# Runs the fault soak of real processes over many seeds, a few at a time, and
# prints what each seed found. Exit 1 when a promise was broken.
#
#   soak.sh BUILD FIRST_SEED COUNT SECONDS
set -eu
build=$1
first=$2
count=$3
seconds=$4
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# Copies, since a build beside a long run replaces the programs.
cp "$build/tests/soak/soak" "$build/platform/galenastep-platform" "$folder/"
seq "$first" $((first + count - 1)) |
    xargs -P 4 -I SEED sh -c "
        '$folder/soak' '$folder/galenastep-platform' \
            SEED $seconds >'$folder/SEED' 2>&1 || echo SEED >>'$folder/failed'"
grep -h -E '^seed=|^VIOLATION' "$folder"/[0-9]* || true
if [ -e "$folder/failed" ]; then
    for seed in $(sort -n "$folder/failed"); do
        echo "seed $seed failed:"
        tail -n 20 "$folder/$seed"
    done
    echo "failed seeds: $(sort -n "$folder/failed" | tr '\n' ' ')"
    exit 1
fi
echo "$count seeds, 0 failed"
