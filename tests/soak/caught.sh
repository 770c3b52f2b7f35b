#!/bin/sh
# Passes if the soak test reports a violation, whose line matches PATTERN if
# that is given, for PROGRAM, a build that breaks one guarantee on purpose. The
# timing of real processes differs between runs, so up to five seeds are tried.
#
#   caught.sh SOAK PROGRAM [OPTION PATTERN]
set -eu
for seed in 4 5 6 7 8; do
    if "$1" ${3+"$3"} "$2" "$seed" 12 2>&1 | grep -q "^VIOLATION.*${4-}"; then
        echo "fault detected with seed $seed"
        exit 0
    fi
done
echo "fault not detected with any seed"
exit 1
