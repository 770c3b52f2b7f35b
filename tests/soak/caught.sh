#!/bin/sh
# Passes if the soak test reports a violation for PROGRAM, a build that breaks
# one guarantee on purpose. The timing of real processes differs between runs,
# so up to five seeds are tried.
#
#   caught.sh SOAK PROGRAM
set -eu
for seed in 4 5 6 7 8; do
    if "$1" "$2" "$seed" 12 2>&1 | grep -q '^VIOLATION'; then
        echo "fault detected with seed $seed"
        exit 0
    fi
done
echo "fault not detected with any seed"
exit 1
