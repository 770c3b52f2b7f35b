#!/bin/sh
# Writes the settings of one site's proxies for loopback, and a file with the
# stand-in's arguments.
#
#   site-settings.sh registry|guild FOLDER BASE_PORT [--alone]
#
# Proxy N (from 1) listens for callers on BASE_PORT + N, for health checks on
# BASE_PORT + 20 + N and for operators on BASE_PORT + 40 + N. Member M (from
# 0) of database D (from 0) is on BASE_PORT + 100 + 10 * D + M. With --alone
# the proxies know of no peers, so each has all connections to itself; only
# one of them may run then.
set -eu

site=$1
folder=$2
base=$3
alone=${4:-}

case $site in
registry)
    proxies=4 domains=4 connections=16
    databases="boats transfers licences"
    kinds='
[kind filing]
class=short
priority=0
queue=1000
deadline_ms=3000
max_staleness_ms=0
straggler_ms=200

[kind lookup]
class=short
priority=1
queue=4000
deadline_ms=2000
max_staleness_ms=5000
straggler_ms=200

[kind renewal]
class=batch
priority=2
queue=4000
deadline_ms=60000
max_staleness_ms=0
straggler_ms=2000'
    ;;
guild)
    proxies=5 domains=3 connections=28
    databases="texts printing licences"
    kinds='
[kind reservation]
class=short
priority=0
queue=1000
deadline_ms=1000
max_staleness_ms=0
straggler_ms=200

[kind licence]
class=short
priority=1
queue=1000
deadline_ms=10000
max_staleness_ms=0
straggler_ms=500

[kind browse]
class=short
priority=2
queue=500
deadline_ms=500
max_staleness_ms=2000
straggler_ms=200'
    ;;
*)
    echo "site-settings.sh: unknown site $site" >&2
    exit 2
    ;;
esac

# Prints the members of database number $1, separated by commas.
members() {
    first=$((base + 100 + 10 * $1))
    echo "$2$first,$2$((first + 1)),$2$((first + 2))"
}

umask 077
head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$folder/peer.key"

n=1
while [ "$n" -le "$proxies" ]; do
    {
        printf '[proxy]\nid=%d\nname=%s-%d\n' "$n" "$site" "$n"
        printf 'failure_domain=domain-%d\n' $(((n - 1) % domains + 1))
        printf 'listen=127.0.0.1:%d\n' $((base + n))
        printf 'health_listen=127.0.0.1:%d\n' $((base + 20 + n))
        printf 'control_listen=127.0.0.1:%d\n' $((base + 40 + n))
        printf 'log_level=warning\ndrain_limit_ms=10000\nmax_callers=10000\n'
        if [ "$alone" != "--alone" ]; then
            printf '\n[peers]\nkey_file=%s/peer.key\n' "$folder"
            peer=1
            while [ "$peer" -le "$proxies" ]; do
                printf '%d=127.0.0.1:%d domain-%d\n' "$peer" \
                    $((base + 40 + peer)) $(((peer - 1) % domains + 1))
                peer=$((peer + 1))
            done
        fi
        printf '\n[statements]\nread_only_functions=fake_rows\n%s\n' "$kinds"
        d=0
        for database in $databases; do
            printf '\n[database %s]\nmembers=%s\n' "$database" \
                "$(members $d 127.0.0.1:)"
            printf 'domains=domain-1,domain-2,domain-3\nslots=2\n'
            printf 'connections=%d\nfloor=1\n' "$connections"
            d=$((d + 1))
        done
    } >"$folder/proxy-$n.ini"
    n=$((n + 1))
done

d=0
printf -- '--connections=%d --slots=2' "$connections" >"$folder/fake.args"
for database in $databases; do
    printf -- ' --database=%s=%s' "$database" "$(members $d '')" \
        >>"$folder/fake.args"
    d=$((d + 1))
done
