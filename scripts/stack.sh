# shellcheck shell=sh
# Starts and stops one site on loopback: the stand-in and its proxies. To be
# sourced; the caller sets build (the build folder) and calls stack_init once.
#
#   stack_start SITE BASE_PORT --site|--alone [ARGUMENT OF THE STAND-IN...]
#
# sets proxy_pids, proxy_options and member_options.

# Makes the temporary folder and sees to it that nothing stays behind.
stack_init() {
    stack_folder=$(mktemp -d)
    stack_pids=""
    stack_kept_pids=""
    trap stack_exit EXIT
    trap 'exit 130' INT
    trap 'exit 143' TERM HUP
}

# Ends every process of the stack and waits for it. A proxy that does not
# drain in time is killed.
stack_stop() {
    for pid in $stack_pids; do
        kill -CONT "$pid" 2>/dev/null || true
        kill "$pid" 2>/dev/null || true
    done
    for pid in $stack_pids; do
        stack_left=30
        while kill -0 "$pid" 2>/dev/null && [ $stack_left -gt 0 ]; do
            sleep 0.1
            stack_left=$((stack_left - 1))
        done
        kill -9 "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    stack_pids=""
}

# Leaves the present site running beside the next ones.
stack_keep() {
    stack_kept_pids=$stack_pids
    kept_proxy_options=$proxy_options
    kept_member_options=$member_options
    stack_pids=""
}

# Goes back to the site that was kept.
stack_resume() {
    stack_pids=$stack_kept_pids
    proxy_options=$kept_proxy_options
    member_options=$kept_member_options
    stack_kept_pids=""
}

# Runs at the end of the script, however it ends.
stack_exit() {
    stack_code=$?
    trap - EXIT
    stack_pids="$stack_pids $stack_kept_pids"
    stack_stop
    rm -rf "$stack_folder"
    exit $stack_code
}

# Starts a process whose output goes to a log file, and remembers it.
stack_spawn() {
    stack_log=$1
    shift
    "$@" >>"$stack_folder/$stack_log" 2>&1 &
    stack_pids="$stack_pids $!"
    stack_last=$!
}

# Waits until a proxy answers.
stack_wait() {
    stack_left=100
    until PGCONNECT_TIMEOUT=2 PGOPTIONS="" psql -X -q -h 127.0.0.1 -p "$1" \
        -U load -d "$2" -c 'SELECT 1' >/dev/null 2>&1; do
        stack_left=$((stack_left - 1))
        if [ $stack_left -eq 0 ]; then
            echo "port $1 does not answer" >&2
            cat "$stack_folder"/*.log >&2
            exit 1
        fi
        sleep 0.1
    done
}

# Starts a site.
stack_start() {
    site=$1 base=$2 mode=$3
    shift 3
    case $site in
    registry) database=boats ;;
    *) database=texts ;;
    esac
    rm -f "$stack_folder"/proxy-*.ini
    option=""
    [ "$mode" = --alone ] && option=--alone
    "$(dirname "$0")/site-settings.sh" "$site" "$stack_folder" "$base" $option
    # shellcheck disable=SC2046
    stack_spawn fake.log "$build/fakes/galenastep-fake" \
        $(cat "$stack_folder/fake.args") "$@"
    proxy_pids="" proxy_options=""
    n=1
    for file in "$stack_folder"/proxy-*.ini; do
        stack_spawn "proxy-$n.log" "$build/galenastepd" -c "$file"
        proxy_pids="$proxy_pids $stack_last"
        proxy_options="$proxy_options --proxy 127.0.0.1:$((base + n))"
        n=$((n + 1))
        [ "$mode" = --alone ] && break
    done
    member_options="--database $database --site $site"
    for m in 0 1 2; do
        member_options="$member_options --member 127.0.0.1:$((base + 100 + m))"
    done
    i=1
    while [ $i -lt $n ]; do
        stack_wait $((base + i)) $database
        i=$((i + 1))
    done
}
