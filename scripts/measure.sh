#!/bin/sh
# Runs all experiments and prints their results as key=value lines on standard
# output; progress goes to standard error.
#
#   measure.sh BUILD full|quick
set -eu

build=$1
size=${2:-full}
base_port=${GALENASTEP_PORT:-21000}
# shellcheck source=scripts/stack.sh
. "$(dirname "$0")/stack.sh"
load_tool="$build/tools/load/galenastep-load"
failed=0

case $size in
quick)
    seconds=2 megabytes=256 consistency_seconds=5 consistency_seeds="1"
    failover_cases=1 latency_seconds=3
    ;;
full)
    seconds=10 megabytes=1024 consistency_seconds=15
    consistency_seeds="1 2 3 4 5 6" failover_cases=15 latency_seconds=10
    ;;
*)
    echo "measure.sh: the size must be full or quick" >&2
    exit 2
    ;;
esac

# Runs one experiment against the running site. If the load tool fails, the
# script continues and exits with 1 at the end.
run_experiment() {
    echo "== $1 on site $site" >&2
    # shellcheck disable=SC2086
    "$load_tool" "$@" $member_options || {
        echo "measure.sh: $1 failed" >&2
        failed=1
    }
}

# Runs the consistency experiment with seed $1. Proxy 2 is killed after 2 s and
# proxy 3 is drained after 3 s.
run_consistency() {
    # shellcheck disable=SC2086
    set -- "$1" $proxy_pids
    (
        sleep 2
        kill -9 "$3"
        sleep 1
        kill -TERM "$4"
    ) &
    faults_pid=$!
    # shellcheck disable=SC2086
    run_experiment consistency $proxy_options --clients 48 --seed "$1" \
        --seconds $consistency_seconds
    wait $faults_pid
    exit_code=0
    wait "$4" || exit_code=$?
    echo "drain_exit_code=$exit_code"
}

stack_init

# The site for the batches experiment starts first and runs beside the others: a
# new lender lends no batch permits for its first 32.5 s, because batch leases
# from an earlier lender may be valid for that long.
main_base_port=$base_port
stack_start registry $((base_port + 400)) --site --replication-delay-ms=1 \
    --connect-delay-ms=12 --short-cost-ms=1 --long-cost-ms=40
stack_keep
base_port=$main_base_port
first_proxy_option() { echo "--proxy 127.0.0.1:$((base_port + 1))"; }

# One proxy that has all connections of the database to itself, without delays.
stack_start registry "$base_port" --alone
proxy_pid=${proxy_pids# }
# shellcheck disable=SC2046
run_experiment latency $(first_proxy_option) \
    --seconds $latency_seconds --seed 1
# shellcheck disable=SC2046
run_experiment throughput $(first_proxy_option) --seconds $seconds \
    --clients 64 --seed 1 --proxy-pid "$proxy_pid"
# shellcheck disable=SC2046
run_experiment answer $(first_proxy_option) --megabytes $megabytes \
    --proxy-pid "$proxy_pid"
# shellcheck disable=SC2046
run_experiment idle $(first_proxy_option) --clients 2600 \
    --proxy-pid "$proxy_pid"
stack_stop

# The registry site with delays. The counts are summed over all seeds; of the
# exit codes of drained proxies, the highest is printed.
for seed in $consistency_seeds; do
    stack_start registry "$base_port" --site --replication-delay-ms=1 \
        --connect-delay-ms=12
    run_consistency "$seed" >>"$stack_dir/consistency.out"
    stack_stop
done
awk -F= '{ if (!($1 in sum)) order[++n] = $1 }
    $1 != "drain_exit_code" { sum[$1] += $2 }
    $1 == "drain_exit_code" && $2 >= sum[$1] { sum[$1] = $2 }
    END { for (i = 1; i <= n; i++) print order[i] "=" sum[order[i]] }' \
    "$stack_dir/consistency.out"

stack_start guild "$base_port" --site --replication-delay-ms=1 \
    --connect-delay-ms=12 --short-cost-ms=2
# shellcheck disable=SC2086
run_experiment crest $proxy_options --seconds $seconds --seed 1
stack_stop

stack_start registry "$base_port" --site --replication-delay-ms=1 \
    --connect-delay-ms=12
# shellcheck disable=SC2086
run_experiment failover $proxy_options --cases $failover_cases --seed 1
stack_stop

stack_resume
site=registry
# shellcheck disable=SC2086
run_experiment batches $proxy_options --seconds $seconds --seed 1
stack_stop
exit $failed
