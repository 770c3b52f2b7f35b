#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
timeout -k 5 110 python3 "$(dirname "$0")/late_order.py"
rc=$?
[ $rc -le 1 ] && exit $rc
exit 2
