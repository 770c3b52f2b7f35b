#!/bin/sh
# Runs the capacity programs one after the other and prints their results as
# key=value lines (docs/CAPACITY.md). Checks no limits and is not part of CI.
#
#   capacity.sh BUILD
set -eu
build=$1
for component in ticket watch lender admission cost membership; do
    echo "# capacity_$component"
    "$build/tools/capacity/capacity_$component"
done
