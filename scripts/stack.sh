# shellcheck shell=sh
# Starts and stops a site on loopback: the stand-in for its database groups, and
# its proxies. This file is to be sourced; the script that does so sets build
# (the build directory) and calls stack_init once.
#
#   stack_start SITE BASE_PORT --site|--alone [STAND-IN ARGUMENT...]
#
# sets site and base_port to its arguments, proxy_pids to the process ids of the
# proxies, and proxy_options and member_options to options for galenastep-load.
# With --alone, one proxy without peers is started, with --site all proxies.

# Creates the temporary directory, and installs traps that stop all processes
# and remove the directory when the script exits.
stack_init() {
    stack_dir=$(mktemp -d)
    stack_pids=""
    stack_kept_pids=""
    trap stack_exit EXIT
    trap 'exit 130' INT
    trap 'exit 143' TERM HUP
}

# Stops the processes of the current site and waits for them. A process that is
# still running after 3 s, such as a proxy that does not drain, is killed.
stack_stop() {
    for pid in $stack_pids; do
        kill -CONT "$pid" 2>/dev/null || true
        kill "$pid" 2>/dev/null || true
    done
    for pid in $stack_pids; do
        stack_tries_left=30
        while kill -0 "$pid" 2>/dev/null && [ $stack_tries_left -gt 0 ]; do
            sleep 0.1
            stack_tries_left=$((stack_tries_left - 1))
        done
        kill -9 "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    stack_pids=""
}

# Leaves the current site running while other sites are started and stopped.
stack_keep() {
    stack_kept_pids=$stack_pids
    stack_kept_proxy_options=$proxy_options
    stack_kept_member_options=$member_options
    stack_pids=""
}

# Makes the site of stack_keep the current one again.
stack_resume() {
    stack_pids=$stack_kept_pids
    proxy_options=$stack_kept_proxy_options
    member_options=$stack_kept_member_options
    stack_kept_pids=""
}

# Exit trap: stops all processes and keeps the exit status of the script.
stack_exit() {
    stack_exit_code=$?
    trap - EXIT
    stack_pids="$stack_pids $stack_kept_pids"
    stack_stop
    rm -rf "$stack_dir"
    exit $stack_exit_code
}

# Starts a process in the background, appends its output to the log file $1 and
# sets stack_last_pid.
stack_spawn() {
    stack_log=$1
    shift
    "$@" >>"$stack_dir/$stack_log" 2>&1 &
    stack_pids="$stack_pids $!"
    stack_last_pid=$!
}

# Waits until the proxy on port $1 answers a query on database $2. Exits with 1
# after 100 attempts.
stack_wait() {
    stack_tries_left=100
    until PGCONNECT_TIMEOUT=2 PGOPTIONS="" psql -X -q -h 127.0.0.1 -p "$1" \
        -U load -d "$2" -c 'SELECT 1' >/dev/null 2>&1; do
        stack_tries_left=$((stack_tries_left - 1))
        if [ $stack_tries_left -eq 0 ]; then
            echo "no answer from the proxy on port $1" >&2
            cat "$stack_dir"/*.log >&2
            exit 1
        fi
        sleep 0.1
    done
}

# Writes the settings of a site, starts its processes and waits until every
# proxy answers. The head of this file describes the arguments.
stack_start() {
    site=$1 base_port=$2 peer_mode=$3
    shift 3
    case $site in
    registry) database=boats ;;
    *) database=texts ;;
    esac
    rm -f "$stack_dir"/proxy-*.ini
    alone_option=""
    [ "$peer_mode" = --alone ] && alone_option=--alone
    "$(dirname "$0")/site-settings.sh" "$site" "$stack_dir" \
        "$base_port" $alone_option
    # shellcheck disable=SC2046
    stack_spawn fake.log "$build/fakes/galenastep-fake" \
        $(cat "$stack_dir/fake.args") "$@"
    proxy_pids="" proxy_options=""
    proxy_number=1
    for settings_file in "$stack_dir"/proxy-*.ini; do
        stack_spawn "proxy-$proxy_number.log" "$build/galenastepd" \
            -c "$settings_file"
        proxy_pids="$proxy_pids $stack_last_pid"
        port=$((base_port + proxy_number))
        proxy_options="$proxy_options --proxy 127.0.0.1:$port"
        proxy_number=$((proxy_number + 1))
        [ "$peer_mode" = --alone ] && break
    done
    member_options="--database $database --site $site"
    for member_index in 0 1 2; do
        port=$((base_port + 100 + member_index))
        member_options="$member_options --member 127.0.0.1:$port"
    done
    i=1
    while [ $i -lt $proxy_number ]; do
        stack_wait $((base_port + i)) $database
        i=$((i + 1))
    done
}
