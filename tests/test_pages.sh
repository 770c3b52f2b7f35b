#!/bin/sh
# Guards against pages that fall behind the code: settings keys with their
# ranges and defaults, options of both programs, and counters.
#
#   test_pages.sh SOURCE_ROOT DAEMON CTL
set -eu
root=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failed=0

fail() {
    echo "$*" >&2
    failed=1
}

# GROUP KEY lines from the lists of known keys in settings.c. The group
# [peers] has no list: its only named key is compared with strcmp().
awk '
    /^load_[a-z]+\(/ { group = $1; sub(/^load_/, "", group)
                       sub(/\(.*/, "", group) }
    /known\[\] = \{/ { inside = 1 }
    inside { line = $0
             while (match(line, /"[a-z_]+"/)) {
                 print group, substr(line, RSTART + 1, RLENGTH - 2)
                 line = substr(line, RSTART + RLENGTH)
             } }
    /};/ || /NULL};/ { inside = 0 }
    /strcmp\(keys\[i\], "/ { match($0, /"[a-z_]+"/)
                             print "peers",
                                   substr($0, RSTART + 1, RLENGTH - 2) }
' "$root/src/settings/settings.c" | sort -u >"$folder/code"
# The same from the manual. ID stands for the id of any peer.
awk '
    /^# / { group = "" }
    /^# GROUP \[/ { group = $3; gsub(/[][]/, "", group) }
    group != "" && /^\*[a-z_]+\* = / { gsub(/\*/, "", $1); print group, $1 }
' "$root/man/galenastep.ini.5.scd" | sort -u >"$folder/page"
[ "$(wc -l <"$folder/code")" -ge 30 ] || fail "settings.c: keys not found"
diff "$folder/code" "$folder/page" ||
    fail "galenastep.ini(5): the keys (>) are not those of settings.c (<)"

# Every range and default.
tr '\n' ' ' <"$root/src/settings/settings.c" |
    grep -o '(struct number_key){ *"[^}]*}' |
    sed 's/.*{ *"//; s/"//; s/}//; s/ //g' |
    awk -F, '
        function value(s, p) {
            return split(s, p, "<<") == 2 ? p[1] * 2 ^ p[2] : s
        }
        { printf "%s (%d to %d, %s)\n", $1, value($2), value($3),
          $4 == "REQUIRED" ? "required" : sprintf("default %d", value($4)) }
    ' >"$folder/ranges"
[ "$(wc -l <"$folder/ranges")" -ge 15 ] || fail "settings.c: no ranges found"
while read -r key range; do
    grep -qF "*$key* = _number_ $range" "$root/man/galenastep.ini.5.scd" ||
        fail "galenastep.ini(5): $key lacks $range"
done <"$folder/ranges"

# Every long option of a program stands in its page, and no other.
options() {
    "$2" --help | grep -o -- '--[a-z][a-z-]*' | sort -u >"$folder/help"
    sed -n '/^# OPTIONS/,/^# [^O]/p' "$root/man/$1.scd" |
        grep -o '^\*-.*' | grep -o -- '--[a-z][a-z-]*' |
        sort -u >"$folder/options"
    diff "$folder/help" "$folder/options" ||
        fail "$1: the options (>) are not those of --help (<)"
}
options galenastepd.8 "$2"
options galenastepctl.1 "$3"

# Every command of galenastepctl.
"$3" --help | sed -n '/^Commands:/,$s/^  \([a-z-]*\( [a-z]*\)\{0,1\}\).*/\1/p' |
    sed 's/ *$//' >"$folder/commands"
[ "$(wc -l <"$folder/commands")" -ge 8 ] || fail "no commands found"
while read -r command; do
    grep -q "^\*.*$command\*\|\*$command\*" "$root/man/galenastepctl.1.scd" ||
        fail "galenastepctl.1: $command is missing"
done <"$folder/commands"

# Every counter.
{
    sed -n 's/.*\[COUNTER_.*= "\(.*\)".*/\1/p' "$root/src/caller/counters.c"
    sed -n 's/.*add_counter(t, [^,]*, "\([a-z_]*\)".*/\1/p' \
        "$root/src/daemon/operators.c"
} >"$folder/counters"
[ "$(wc -l <"$folder/counters")" -ge 40 ] || fail "no counters found"
while read -r counter; do
    grep -q "^| .*\`$counter\`" "$root/docs/operations/counters.md" ||
        fail "docs/operations/counters.md: $counter is missing"
done <"$folder/counters"
exit $failed
