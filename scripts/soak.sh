#!/bin/sh
# Runs the soak test, which injects faults into real processes, with COUNT
# seeds, four at a time, and prints the result of each seed. Exits with 1 if any
# seed failed.
#
#   soak.sh BUILD FIRST_SEED COUNT SECONDS [MAX_CONNECTIONS [OPTION...]]
set -eu
build=$1
first_seed=$2
count=$3
seconds=$4
max_connections=${5:-16}
shift $(($# < 5 ? $# : 5))
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
# Runs copies, because a build during a long run replaces the programs.
cp "$build/tests/soak/soak" "$build/platform/galenastep-platform" "$dir/"
seq "$first_seed" $((first_seed + count - 1)) |
    xargs -P 4 -I SEED sh -c "
        '$dir/soak' $* '$dir/galenastep-platform' \
            SEED $seconds $max_connections >'$dir/SEED' 2>&1 || echo SEED >>'$dir/failed'"
grep -h -E '^seed=|^VIOLATION' "$dir"/[0-9]* || true
if [ -e "$dir/failed" ]; then
    for seed in $(sort -n "$dir/failed"); do
        echo "seed $seed failed:"
        tail -n 20 "$dir/$seed"
    done
    echo "failed seeds: $(sort -n "$dir/failed" | tr '\n' ' ')"
    exit 1
fi
echo "$count seeds, 0 failed"
