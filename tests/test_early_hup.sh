#!/bin/sh
# Guards against a process that SIGHUP or SIGTERM ends during its start, before
# the handlers are installed. The settings file is a FIFO, so that the process
# waits in open() when the signals arrive; it is then refused as settings (exit
# code 2).
#
#   test_early_hup.sh platform|daemon PROGRAM
set -eu
kind=$1
program=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
mkfifo "$dir/settings"

if [ "$kind" = platform ]; then
    GALENASTEP_SETTINGS="$dir/settings" "$program" >"$dir/log" 2>&1 &
else
    "$program" -c "$dir/settings" >"$dir/log" 2>&1 &
fi
pid=$!
sleep 1
kill -HUP "$pid"
kill -TERM "$pid"
sleep 0.2
# Opening the FIFO lets the process go on, if it still runs.
timeout 2 sh -c ": >'$dir/settings'" || true
exit_code=0
wait "$pid" || exit_code=$?
cat "$dir/log"
echo "exit=$exit_code"
[ $exit_code -eq 2 ]
