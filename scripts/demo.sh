#!/bin/sh
# Shows the product at work on loopback: the stand-in for database groups,
# four proxies of the registry, real client load with one proxy drained, and a
# few psql commands. Everything is stopped and removed at the end.
#
#   demo.sh BUILD
set -eu

build=$1
base=${GALENASTEP_PORT:-21000}
# shellcheck source=scripts/stack.sh
. "$(dirname "$0")/stack.sh"
load="$build/tools/load/galenastep-load"

# Shows and runs one statement through proxy $1 as kind $2.
show() {
    port=$((base + $1))
    echo "\$ PGOPTIONS='$2' psql -h 127.0.0.1 -p $port -d boats -c \"$3\""
    PGOPTIONS=$2 psql -X -h 127.0.0.1 -p $port -U demo -d boats -c "$3"
}

stack_init
echo "Starting three database groups and four proxies on loopback."
stack_start registry "$base" --site --replication-delay-ms=1 \
    --connect-delay-ms=12
# shellcheck disable=SC2086
set -- $proxy_pids

echo
echo "A clerk files a boat name through proxy 1:"
show 1 "-c galenastep.kind=filing -c galenastep.token=none" \
    "INSERT INTO entries (id, value) VALUES ('boat-1', 'Halcyon')"
echo "An insurer looks it up through proxy 2 with unknown history, which is a"
echo "confirmed read on the primary:"
show 2 "-c galenastep.kind=lookup" \
    "SELECT id, value FROM entries WHERE id = 'boat-1'"
echo "The clerk renames the boat and hands the session's token on to proxy 4,"
echo "where a replica may answer only when it shows the new name:"
token=$(PGOPTIONS="-c galenastep.kind=filing" psql -X -At -h 127.0.0.1 \
    -p $((base + 1)) -U demo -d boats \
    -c "UPDATE entries SET value = 'Halcyon II' WHERE id = 'boat-1'" \
    -c "SHOW galenastep.token" | tail -n 1)
show 4 "-c galenastep.kind=lookup -c galenastep.token=$token" \
    "SELECT id, value FROM entries WHERE id = 'boat-1'"
echo "What cannot survive the sharing of connections is refused:"
show 1 "-c galenastep.kind=lookup" "LISTEN boats" 2>&1 || true

echo
echo "Roaming sessions for 5 s; proxy 3 is drained after 2 s:"
(
    sleep 2
    kill -TERM "$3"
) &
drain=$!
# shellcheck disable=SC2086
"$load" consistency $proxy_options $member_options --clients 32 --seconds 5
wait $drain
code=0
wait "$3" || code=$?
echo "drain_exit_code=$code"

echo
echo "One proxy against a direct connection, 2 s:"
# shellcheck disable=SC2086
"$load" latency $proxy_options $member_options --seconds 2
# shellcheck disable=SC2086
"$load" throughput $proxy_options $member_options --seconds 2 \
    --proxy-pid "$1"
echo
echo "Done; stopping everything."
