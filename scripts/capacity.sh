#!/bin/sh
# Runs every capacity program, one after the other, and prints their key=value
# lines (docs/CAPACITY.md). It sets no bound and is not part of CI.
set -eu
build=$1
for role in ticket watch lender admission cost membership; do
    echo "# capacity_$role"
    "$build/tools/capacity/capacity_$role"
done
