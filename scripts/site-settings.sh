#!/bin/sh
# Writes the settings of a site's proxies on loopback to DIR/proxy-N.ini, and
# the arguments of the stand-in for its database groups to DIR/fake.args.
#
#   site-settings.sh registry|guild DIR BASE_PORT [--alone]
#
# Proxy N (from 1) listens for callers on BASE_PORT + N, for health checks on
# BASE_PORT + 20 + N and for operators on BASE_PORT + 40 + N. Member M (from
# 0) of database D (from 0) is on BASE_PORT + 100 + 10 * D + M. With --alone the
# settings list no peers. Each proxy then uses the full connection limit of the
# databases, so only one of them may run.
set -eu

site=$1
dir=$2
base_port=$3
alone_option=${4:-}

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

# Prints the ports of the members of database number $1, separated by commas and
# each with the prefix $2.
print_members() {
    first_port=$((base_port + 100 + 10 * $1))
    echo "$2$first_port,$2$((first_port + 1)),$2$((first_port + 2))"
}

umask 077
head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/peer.key"

proxy_id=1
while [ "$proxy_id" -le "$proxies" ]; do
    {
        printf '[proxy]\nid=%d\nname=%s-%d\n' "$proxy_id" "$site" "$proxy_id"
        printf 'failure_domain=domain-%d\n' $(((proxy_id - 1) % domains + 1))
        printf 'listen=127.0.0.1:%d\n' $((base_port + proxy_id))
        printf 'health_listen=127.0.0.1:%d\n' $((base_port + 20 + proxy_id))
        printf 'control_listen=127.0.0.1:%d\n' $((base_port + 40 + proxy_id))
        printf 'log_level=warning\ndrain_limit_ms=10000\nmax_callers=10000\n'
        printf '\n[peers]\nkey_file=%s/peer.key\n' "$dir"
        if [ "$alone_option" != "--alone" ]; then
            peer_id=1
            while [ "$peer_id" -le "$proxies" ]; do
                printf '%d=127.0.0.1:%d domain-%d\n' "$peer_id" \
                    $((base_port + 40 + peer_id)) \
                    $(((peer_id - 1) % domains + 1))
                peer_id=$((peer_id + 1))
            done
        fi
        printf '\n[statements]\nread_only_functions=fake_rows\n%s\n' "$kinds"
        database_index=0
        for database in $databases; do
            printf '\n[database %s]\nmembers=%s\n' "$database" \
                "$(print_members $database_index 127.0.0.1:)"
            printf 'domains=domain-1,domain-2,domain-3\nslots=2\n'
            printf 'connections=%d\nfloor=1\n' "$connections"
            database_index=$((database_index + 1))
        done
    } >"$dir/proxy-$proxy_id.ini"
    proxy_id=$((proxy_id + 1))
done

database_index=0
printf -- '--connections=%d --slots=2' "$connections" >"$dir/fake.args"
for database in $databases; do
    printf -- ' --database=%s=%s' "$database" \
        "$(print_members $database_index '')" >>"$dir/fake.args"
    database_index=$((database_index + 1))
done
