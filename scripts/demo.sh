#!/bin/sh
# Demonstrates the proxy on loopback: starts the stand-in for database groups
# and the four proxies of the registry site, runs a few psql commands and then
# client load while one proxy is drained. Stops all processes and removes all
# files at the end.
#
#   demo.sh BUILD
set -eu

build=$1
base_port=${GALENASTEP_PORT:-21000}
# shellcheck source=scripts/stack.sh
. "$(dirname "$0")/stack.sh"
load_tool="$build/tools/load/galenastep-load"

# Prints and runs the statement $3 through proxy $1 with the PGOPTIONS $2.
run_statement() {
    port=$((base_port + $1))
    echo "\$ PGOPTIONS='$2' psql -h 127.0.0.1 -p $port -d boats -c \"$3\""
    PGOPTIONS=$2 psql -X -h 127.0.0.1 -p $port -U demo -d boats -c "$3"
}

stack_init
echo "Starting three database groups and four proxies on loopback."
stack_start registry "$base_port" --site --replication-delay-ms=1 \
    --connect-delay-ms=12
# shellcheck disable=SC2086
set -- $proxy_pids

echo
echo "A clerk files a boat name through proxy 1:"
run_statement 1 "-c galenastep.kind=filing -c galenastep.token=none" \
    "INSERT INTO entries (id, value) VALUES ('boat-1', 'Halcyon')"
echo "An insurer looks it up through proxy 2 without a token. The session's"
echo "history is unknown, so the proxy uses a confirmed read on the primary:"
run_statement 2 "-c galenastep.kind=lookup" \
    "SELECT id, value FROM entries WHERE id = 'boat-1'"
echo "The clerk renames the boat and passes the session's token to proxy 4,"
echo "where a replica may answer only if it already has the new name:"
token=$(PGOPTIONS="-c galenastep.kind=filing" psql -X -At -h 127.0.0.1 \
    -p $((base_port + 1)) -U demo -d boats \
    -c "UPDATE entries SET value = 'Halcyon II' WHERE id = 'boat-1'" \
    -c "SHOW galenastep.token" | tail -n 1)
run_statement 4 "-c galenastep.kind=lookup -c galenastep.token=$token" \
    "SELECT id, value FROM entries WHERE id = 'boat-1'"
echo "LISTEN needs a connection of its own. Callers share connections, so it is"
echo "refused:"
run_statement 1 "-c galenastep.kind=lookup" "LISTEN boats" 2>&1 || true

echo
echo "Sessions that change proxies, for 5 s; proxy 3 is drained after 2 s:"
(
    sleep 2
    kill -TERM "$3"
) &
drain_pid=$!
# shellcheck disable=SC2086
"$load_tool" consistency $proxy_options $member_options --clients 32 --seconds 5
wait $drain_pid
exit_code=0
wait "$3" || exit_code=$?
echo "drain_exit_code=$exit_code"

echo
echo "One proxy compared with a direct connection, 2 s for each experiment:"
# shellcheck disable=SC2086
"$load_tool" latency $proxy_options $member_options --seconds 2
# shellcheck disable=SC2086
"$load_tool" throughput $proxy_options $member_options --seconds 2 \
    --proxy-pid "$1"
echo
echo "Done; stopping all processes."
