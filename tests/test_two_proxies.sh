#!/bin/sh
# Starts two proxies and checks what their callers and peers see.
#
#   test_two_proxies.sh DAEMON CTL FAKE CASE [FAKE_PLATFORM]
#
# CASE names guards against peers that operators see without their names: 5 s
# after both are live, each must list the other by its name.
# CASE idle guards against a proxy without callers that is gone before its
# peers could see it leave: they must list it as leaving, not find it dead.
# CASE batch guards against a drain that waits for batch work which cannot
# start, because nothing is lent to a leaving proxy: the exit code must be 0.
# CASE leaving guards against a primary that goes with its VM while it still
# gets work, and against a planned switch that fails statements: the VM list
# names it as leaving while callers of both proxies write.
set -eu
platform=${5:-}
daemon=$1
ctl=$2
fake=$3
case=$4
folder=$(mktemp -d)
pids=""

stop_all() {
    for pid in $pids; do
        kill -9 "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    pids=""
}
# Shows the logs of a failed run.
trap '[ $? -eq 0 ] || cat "$folder"/*.log >&2
stop_all; rm -rf "$folder"' EXIT

# Writes the settings of proxy $1; the ports begin at $base.
settings() {
    cat <<END
[proxy]
id=$1
name=site-$1
failure_domain=domain-$1
listen=127.0.0.1:$((base + $1))
control_listen=127.0.0.1:$((base + 4 + $1))
drain_limit_ms=3000
[platform]
table_url=http://127.0.0.1:$((base + 11))/table
object_url=http://127.0.0.1:$((base + 11))/object
vms_url=http://127.0.0.1:$((base + 11))/vms
[peers]
key_file=$folder/key
1=127.0.0.1:$((base + 5)) domain-1
2=127.0.0.1:$((base + 6)) domain-2
[kind filing]
deadline_ms=5000
[kind renewal]
class=batch
deadline_ms=60000
[database boats]
members=127.0.0.1:$((base + 8)),127.0.0.1:$((base + 9)),127.0.0.1:$((base + 10))
connections=16
END
}

# Asks proxy 2 for the phase of proxy 1.
phase() {
    "$ctl" -k "$folder/key" -c "127.0.0.1:$((base + 6))" --csv members |
        awk -F, '$1 == 1 { print $5 }'
}

# Starts everything at $base; fails when a port is in use.
start() {
    "$fake" "--database=boats=$((base + 8)),$((base + 9)),$((base + 10))" \
        --seconds=60 2>"$folder/fake.log" &
    pids="$!"
    if [ -n "$platform" ]; then
        "$platform" --port=$((base + 11)) --seconds=60 \
            >"$folder/platform.log" 2>&1 &
        pids="$pids $!"
    fi
    for n in 1 2; do
        settings $n >"$folder/$n.ini"
        "$daemon" -c "$folder/$n.ini" 2>"$folder/$n.log" &
        pids="$pids $!"
        [ $n = 2 ] || first=$!
    done
    left=100
    until [ "$(phase 2>/dev/null)" = live ] && PGCONNECT_TIMEOUT=2 psql -X \
        -q -h 127.0.0.1 -p $((base + 1)) -U demo -d boats \
        -c 'SELECT 1' >/dev/null 2>&1; do
        for pid in $pids; do
            kill -0 "$pid" 2>/dev/null || return 1
        done
        left=$((left - 1))
        [ $left -gt 0 ] || return 1
        sleep 0.1
    done
}

head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$folder/key"
base=$((22400 + $$ % 40 * 12))
attempts=10
until start; do
    stop_all
    attempts=$((attempts - 1))
    if [ $attempts -eq 0 ]; then
        cat "$folder"/*.log >&2
        exit 1
    fi
    base=$((22400 + (base - 22400 + 12) % 480))
done

code=0
# Writes the statements of a caller: increments of one row.
increments() {
    i=0
    while [ $i -lt 400 ]; do
        echo "UPDATE entries SET value = value + 1 WHERE id = 'n';"
        echo '\! sleep 0.005'
        i=$((i + 1))
    done
}

case $case in
leaving)
    increments >"$folder/increments.sql"
    writers=""
    for n in 1 2; do
        psql -X -q -h 127.0.0.1 -p $((base + n)) -U demo -d boats \
            -f "$folder/increments.sql" >"$folder/writer-$n.log" 2>&1 &
        writers="$writers $!"
        pids="$pids $!"
    done
    sleep 1
    curl -s -X PUT "http://127.0.0.1:$((base + 11))/vms" -d "{\"vms\":[{
        \"name\":\"vm-1\",\"address\":\"127.0.0.1:$((base + 8))\",
        \"failure_domain\":\"a\",\"state\":\"leaving\"}]}" >/dev/null
    for pid in $writers; do
        wait "$pid" || code=1
    done
    cat "$folder"/writer-*.log
    ! grep -q ERROR "$folder"/writer-*.log || code=1
    value=$(psql -X -qAt -h 127.0.0.1 -p $((base + 1)) -U demo -d boats \
        -c "SELECT value FROM entries WHERE id = 'n'")
    "$ctl" -k "$folder/key" -c "127.0.0.1:$((base + 5))" --csv status \
        >"$folder/status"
    cat "$folder/status"
    echo "value=$value of 800"
    [ "$value" = 800 ] || code=1
    grep -q "$((base + 8)),[^,]*,replica,leaving" "$folder/status" || code=1
    [ $code -eq 0 ] || cat "$folder"/[12].log
    exit $code
    ;;
names)
    sleep 5
    for n in 1 2; do
        "$ctl" -k "$folder/key" -c "127.0.0.1:$((base + 4 + n))" --csv \
            members >"$folder/members"
        cat "$folder/members"
        grep -q '^1,site-1,' "$folder/members" &&
            grep -q '^2,site-2,' "$folder/members" || code=1
    done
    exit $code
    ;;
idle)
    kill -TERM "$first"
    until [ "$(phase)" != live ]; do
        sleep 0.1
    done
    seen=$(phase)
    wait "$first" || code=$?
    echo "phase=$seen exit=$code"
    [ "$seen" = leaving ] && [ $code -eq 0 ]
    ;;
batch)
    PGOPTIONS='-c galenastep.kind=renewal' psql -X -h 127.0.0.1 \
        -p $((base + 1)) -U demo -d boats \
        -c "INSERT INTO entries (id, value) VALUES ('a', 'b')" \
        >"$folder/caller.log" 2>&1 &
    pids="$pids $!"
    until "$ctl" -k "$folder/key" -c "127.0.0.1:$((base + 5))" --csv \
        counters | grep -q '^boats,renewal,statements,1'; do
        sleep 0.1
    done
    kill -TERM "$first"
    wait "$first" || code=$?
    cat "$folder/caller.log" "$folder/1.log"
    echo "exit=$code"
    [ $code -eq 0 ]
    ;;
esac
