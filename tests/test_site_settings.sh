#!/bin/sh
# Guards against settings from site-settings.sh that the daemon rejects. Checks
# the settings of all proxies of a site, with and without peers.
#
#   test_site_settings.sh DAEMON SOURCE_ROOT SITE
set -eu
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
for alone_option in "" --alone; do
    "$2/scripts/site-settings.sh" "$3" "$dir" 21000 $alone_option
    for settings_file in "$dir"/proxy-*.ini; do
        "$1" --check-config --config "$settings_file"
    done
done
