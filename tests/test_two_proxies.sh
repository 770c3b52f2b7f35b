#!/bin/sh
# Starts two proxies with stand-ins for a database group and, if given, for the
# platform, and checks what callers and peers of the proxies see.
#
#   test_two_proxies.sh DAEMON CTL FAKE CASE [FAKE_PLATFORM]
#
# CASE names guards against peers that are listed without their names: 5 s after
# both proxies are live, each must list both by name.
# CASE idle guards against a proxy without callers that exits before its peers
# have learned that it is draining, so that they consider it dead: they must
# list it as leaving.
# CASE limit guards against requests that are cut off without an answer when
# callers remain at the drain limit.
# CASE batch guards against a drain that waits for batch statements that cannot
# start, because a leaving proxy gets no loans: the exit code must be 0.
# CASE leaving guards against a primary that still gets statements when its VM
# is removed, and against a planned switch in which statements fail: the VM list
# reports the primary's VM as leaving while callers of both proxies write.
set -eu
fake_platform=${5:-}
daemon=$1
ctl=$2
fake_server=$3
test_case=$4
# Two callers of one proxy need two connections at once.
[ "$test_case" = limit ] && floor=2 || floor=1
dir=$(mktemp -d)
pids=""

stop_all() {
    for pid in $pids; do
        kill -9 "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    pids=""
}
# Prints the logs if the test fails.
trap '[ $? -eq 0 ] || cat "$dir"/*.log >&2
stop_all; rm -rf "$dir"' EXIT

# Prints the settings of proxy $1.
print_settings() {
    cat <<END
[proxy]
id=$1
name=site-$1
failure_domain=domain-$1
listen=127.0.0.1:$((base_port + $1))
control_listen=127.0.0.1:$((base_port + 4 + $1))
drain_limit_ms=3000
[platform]
table_url=http://127.0.0.1:$((base_port + 11))/table
object_url=http://127.0.0.1:$((base_port + 11))/object
vms_url=http://127.0.0.1:$((base_port + 11))/vms
[peers]
key_file=$dir/key
1=127.0.0.1:$((base_port + 5)) domain-1
2=127.0.0.1:$((base_port + 6)) domain-2
[kind filing]
deadline_ms=5000
[kind renewal]
class=batch
deadline_ms=60000
[database boats]
members=127.0.0.1:$((base_port + 8)),127.0.0.1:$((base_port + 9)),127.0.0.1:$((base_port + 10))
connections=16
floor=$floor
END
}

# Prints the phase of proxy 1 that proxy 2 reports.
proxy_1_phase() {
    "$ctl" -k "$dir/key" -c "127.0.0.1:$((base_port + 6))" --csv members |
        awk -F, '$1 == 1 { print $5 }'
}

# Starts all processes on ports above $base_port and waits until proxy 1 is live
# and answers. Fails if a process exits, for example because a port is in use.
start_all() {
    "$fake_server" \
        "--database=boats=$((base_port + 8)),$((base_port + 9)),$((base_port + 10))" \
        --seconds=60 2>"$dir/fake.log" &
    pids="$!"
    if [ -n "$fake_platform" ]; then
        "$fake_platform" --port=$((base_port + 11)) --seconds=60 \
            >"$dir/platform.log" 2>&1 &
        pids="$pids $!"
    fi
    for n in 1 2; do
        print_settings $n >"$dir/$n.ini"
        "$daemon" -c "$dir/$n.ini" 2>"$dir/$n.log" &
        pids="$pids $!"
        [ $n = 2 ] || proxy_1_pid=$!
    done
    tries_left=100
    until [ "$(proxy_1_phase 2>/dev/null)" = live ] &&
        PGCONNECT_TIMEOUT=2 psql -X -q -h 127.0.0.1 \
            -p $((base_port + 1)) -U demo -d boats \
            -c 'SELECT 1' >/dev/null 2>&1; do
        for pid in $pids; do
            kill -0 "$pid" 2>/dev/null || return 1
        done
        tries_left=$((tries_left - 1))
        [ $tries_left -gt 0 ] || return 1
        sleep 0.1
    done
}

head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/key"
base_port=$((22400 + $$ % 40 * 12))
attempts=10
until start_all; do
    stop_all
    attempts=$((attempts - 1))
    if [ $attempts -eq 0 ]; then
        cat "$dir"/*.log >&2
        exit 1
    fi
    base_port=$((22400 + (base_port - 22400 + 12) % 480))
done

exit_code=0
# Prints the statements of a caller, which increment the value of one row.
print_increments() {
    i=0
    while [ $i -lt 400 ]; do
        echo "UPDATE entries SET value = value + 1 WHERE id = 'n';"
        echo '\! sleep 0.005'
        i=$((i + 1))
    done
}

case $test_case in
leaving)
    print_increments >"$dir/increments.sql"
    writer_pids=""
    for n in 1 2; do
        psql -X -q -h 127.0.0.1 -p $((base_port + n)) -U demo -d boats \
            -f "$dir/increments.sql" >"$dir/writer-$n.log" 2>&1 &
        writer_pids="$writer_pids $!"
        pids="$pids $!"
    done
    sleep 1
    curl -s -X PUT "http://127.0.0.1:$((base_port + 11))/vms" -d "{\"vms\":[{
        \"name\":\"vm-1\",\"address\":\"127.0.0.1:$((base_port + 8))\",
        \"failure_domain\":\"a\",\"state\":\"leaving\"}]}" >/dev/null
    for pid in $writer_pids; do
        wait "$pid" || exit_code=1
    done
    cat "$dir"/writer-*.log
    ! grep -q ERROR "$dir"/writer-*.log || exit_code=1
    value=$(psql -X -qAt -h 127.0.0.1 -p $((base_port + 1)) -U demo -d boats \
        -c "SELECT value FROM entries WHERE id = 'n'")
    "$ctl" -k "$dir/key" -c "127.0.0.1:$((base_port + 5))" --csv status \
        >"$dir/status"
    cat "$dir/status"
    echo "value=$value of 800"
    [ "$value" = 800 ] || exit_code=1
    grep -q "$((base_port + 8)),[^,]*,replica,leaving" "$dir/status" ||
        exit_code=1
    [ $exit_code -eq 0 ] || cat "$dir"/[12].log
    exit $exit_code
    ;;
names)
    sleep 5
    for n in 1 2; do
        "$ctl" -k "$dir/key" -c "127.0.0.1:$((base_port + 4 + n))" --csv \
            members >"$dir/members"
        cat "$dir/members"
        grep -q '^1,site-1,' "$dir/members" &&
            grep -q '^2,site-2,' "$dir/members" || exit_code=1
    done
    exit $exit_code
    ;;
idle)
    kill -TERM "$proxy_1_pid"
    until [ "$(proxy_1_phase)" != live ]; do
        sleep 0.1
    done
    seen_phase=$(proxy_1_phase)
    wait "$proxy_1_pid" || exit_code=$?
    echo "phase=$seen_phase exit=$exit_code"
    [ "$seen_phase" = leaving ] && [ $exit_code -eq 0 ]
    ;;
batch)
    PGOPTIONS='-c galenastep.kind=renewal' psql -X -h 127.0.0.1 \
        -p $((base_port + 1)) -U demo -d boats \
        -c "INSERT INTO entries (id, value) VALUES ('a', 'b')" \
        >"$dir/caller.log" 2>&1 &
    pids="$pids $!"
    until "$ctl" -k "$dir/key" -c "127.0.0.1:$((base_port + 5))" --csv \
        counters | grep -q '^boats,renewal,statements,1'; do
        sleep 0.1
    done
    kill -TERM "$proxy_1_pid"
    wait "$proxy_1_pid" || exit_code=$?
    cat "$dir/caller.log" "$dir/1.log"
    echo "exit=$exit_code"
    [ $exit_code -eq 0 ]
    ;;
limit)
    # One caller waits for a long statement, one rests in a transaction.
    psql -X -h 127.0.0.1 -p $((base_port + 1)) -U demo -d boats \
        -v VERBOSITY=verbose -c 'SELECT fake_sleep(20000)' \
        >"$dir/running.log" 2>&1 &
    pids="$pids $!"
    callers=$!
    mkfifo "$dir/resting"
    psql -X -h 127.0.0.1 -p $((base_port + 1)) -U demo -d boats \
        -v VERBOSITY=verbose <"$dir/resting" >"$dir/resting.log" 2>&1 &
    pids="$pids $!"
    callers="$callers $!"
    exec 3>"$dir/resting"
    printf 'BEGIN;\nUPDATE entries SET value = 1 WHERE id = 9;\n' >&3
    until grep -q UPDATE "$dir/resting.log" && "$ctl" -k "$dir/key" \
        -c "127.0.0.1:$((base_port + 5))" --csv counters |
        grep -q '^boats,[^,]*,statements,4'; do
        sleep 0.1
    done
    kill -TERM "$proxy_1_pid"
    wait "$proxy_1_pid" || exit_code=$?
    echo 'COMMIT;' >&3
    exec 3>&-
    for pid in $callers; do
        wait "$pid" || true
    done
    cat "$dir/running.log" "$dir/resting.log" "$dir/1.log"
    echo "exit=$exit_code"
    grep -q 'ERROR:  08007' "$dir/running.log" &&
        grep -q 'outcome=unknown' "$dir/running.log" &&
        grep -q 'FATAL:  57P01' "$dir/resting.log" &&
        grep -q 'outcome=failed' "$dir/resting.log" && [ $exit_code -eq 3 ]
    ;;
esac
