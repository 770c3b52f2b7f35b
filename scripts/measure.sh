#!/bin/sh
# Runs every experiment and prints its measures as key=value lines on standard
# output; progress goes to standard error.
#
#   measure.sh BUILD full|quick
set -eu

build=$1
size=${2:-full}
base=${GALENASTEP_PORT:-21000}
# shellcheck source=scripts/stack.sh
. "$(dirname "$0")/stack.sh"
load="$build/tools/load/galenastep-load"
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
    echo "measure.sh: the size is full or quick" >&2
    exit 2
    ;;
esac

# Runs one experiment; a failure of the tool fails the whole measurement.
experiment() {
    echo "== $1 at the $site" >&2
    # shellcheck disable=SC2086
    "$load" "$@" $member_options || {
        echo "measure.sh: $1 failed" >&2
        failed=1
    }
}

# Runs the consistency experiment for one seed, with one proxy killed and one
# drained at fixed moments.
consistency() {
    # shellcheck disable=SC2086
    set -- "$1" $proxy_pids
    (
        sleep 2
        kill -9 "$3"
        sleep 1
        kill -TERM "$4"
    ) &
    faults=$!
    # shellcheck disable=SC2086
    experiment consistency $proxy_options --clients 48 --seed "$1" \
        --seconds $consistency_seconds
    wait $faults
    code=0
    wait "$4" || code=$?
    echo "drain_exit_code=$code"
}

stack_init

# The site for the batches starts first: a lender that has just started lends
# no batch permits for 32.5 s, the time for which an earlier one could still
# count a lease.
first_base=$base
stack_start registry $((base + 400)) --site --replication-delay-ms=1 \
    --connect-delay-ms=12 --short-cost-ms=1 --long-cost-ms=40
stack_keep
base=$first_base
first_proxy() { echo "--proxy 127.0.0.1:$((base + 1))"; }

# One proxy that has all connections of the database, no delays.
stack_start registry "$base" --alone
pid=${proxy_pids# }
# shellcheck disable=SC2046
experiment latency $(first_proxy) --seconds $latency_seconds --seed 1
# shellcheck disable=SC2046
experiment throughput $(first_proxy) --seconds $seconds --clients 64 \
    --seed 1 --proxy-pid "$pid"
# shellcheck disable=SC2046
experiment answer $(first_proxy) --megabytes $megabytes --proxy-pid "$pid"
# shellcheck disable=SC2046
experiment idle $(first_proxy) --clients 2600 --proxy-pid "$pid"
stack_stop

# The whole registry, with its delays; counts of all seeds are added up, and of
# the drain's exit codes the largest is shown.
for seed in $consistency_seeds; do
    stack_start registry "$base" --site --replication-delay-ms=1 \
        --connect-delay-ms=12
    consistency "$seed" >>"$stack_folder/consistency.out"
    stack_stop
done
awk -F= '{ if (!($1 in sum)) order[++n] = $1 }
    $1 != "drain_exit_code" { sum[$1] += $2 }
    $1 == "drain_exit_code" && $2 >= sum[$1] { sum[$1] = $2 }
    END { for (i = 1; i <= n; i++) print order[i] "=" sum[order[i]] }' \
    "$stack_folder/consistency.out"

stack_start guild "$base" --site --replication-delay-ms=1 \
    --connect-delay-ms=12 --short-cost-ms=2
# shellcheck disable=SC2086
experiment crest $proxy_options --seconds $seconds --seed 1
stack_stop

stack_start registry "$base" --site --replication-delay-ms=1 \
    --connect-delay-ms=12
# shellcheck disable=SC2086
experiment failover $proxy_options --cases $failover_cases --seed 1
stack_stop

stack_resume
site=registry
# shellcheck disable=SC2086
experiment batches $proxy_options --seconds $seconds --seed 1
stack_stop
exit $failed
