#!/bin/sh
# Installs the packages that the build, the tests, the linters and the demo
# need. If all are installed, does nothing and does not use the network.
set -eu

packages="gcc pkg-config meson ninja-build libev-dev libpq-dev libpg-query-dev
libcurl4-openssl-dev libjansson-dev libmicrohttpd-dev libtirpc-dev
libglib2.0-dev libxxhash-dev libssl-dev libcmocka-dev scdoc
postgresql-client curl clang-format clang-tidy"

missing=""
for package in $packages; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed' || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update
# shellcheck disable=SC2086
apt-get install -y --no-install-recommends $missing
