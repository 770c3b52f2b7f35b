#!/bin/sh
# Guards against generated settings that the daemon refuses: checks every
# proxy of a site, with and without peers.
#
#   test_site_settings.sh DAEMON SOURCE_ROOT SITE
set -eu
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for mode in "" --alone; do
    "$2/scripts/site-settings.sh" "$3" "$folder" 21000 $mode
    for file in "$folder"/proxy-*.ini; do
        "$1" --check-config --config "$file"
    done
done
