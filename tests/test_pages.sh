#!/bin/sh
# Checks that the manual pages and the list of counters match the code: settings
# keys with their ranges and defaults, options of both programs, commands of
# galenastepctl, and counters.
#
#   test_pages.sh SOURCE_ROOT DAEMON CTL
set -eu
root=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

fail() {
    echo "$*" >&2
    failed=1
}

# Settings keys: prints a line GROUP KEY for each entry in the lists of known
# keys in settings.c. The group [peers] has no list; its only named key is
# compared with strcmp().
awk '
    /^load_[a-z]+\(/ { group = $1; sub(/^load_/, "", group)
                       sub(/\(.*/, "", group) }
    /known\[\] = \{/ { in_list = 1 }
    in_list { line = $0
              while (match(line, /"[a-z_]+"/)) {
                  print group, substr(line, RSTART + 1, RLENGTH - 2)
                  line = substr(line, RSTART + RLENGTH)
              } }
    /};/ || /NULL};/ { in_list = 0 }
    /strcmp\(keys\[i\], "/ { match($0, /"[a-z_]+"/)
                             print "peers",
                                   substr($0, RSTART + 1, RLENGTH - 2) }
' "$root/src/settings/settings.c" | sort -u >"$dir/code"
# The same lines from the manual page. The entry *ID* stands for the id of any
# peer and is not a key name.
awk '
    /^# / { group = "" }
    /^# GROUP \[/ { group = $3; gsub(/[][]/, "", group) }
    group != "" && /^\*[a-z_]+\* = / { gsub(/\*/, "", $1); print group, $1 }
' "$root/man/galenastep.ini.5.scd" | sort -u >"$dir/page"
[ "$(wc -l <"$dir/code")" -ge 30 ] ||
    fail "settings.c: too few known keys found"
diff "$dir/code" "$dir/page" ||
    fail "galenastep.ini(5): its keys (>) differ from those of settings.c (<)"

# Range and default of each number key. Bounds may be written as N << SHIFT.
tr '\n' ' ' <"$root/src/settings/settings.c" |
    grep -o '(struct number_key){ *"[^}]*}' |
    sed 's/.*{ *"//; s/"//; s/}//; s/ //g' |
    awk -F, '
        function evaluate(s, p) {
            return split(s, p, "<<") == 2 ? p[1] * 2 ^ p[2] : s
        }
        { printf "%s (%d to %d, %s)\n", $1, evaluate($2), evaluate($3),
          $4 == "REQUIRED" ? "required" : sprintf("default %d", evaluate($4)) }
    ' >"$dir/ranges"
[ "$(wc -l <"$dir/ranges")" -ge 15 ] || fail "settings.c: too few ranges found"
while read -r key range; do
    grep -qF "*$key* = _number_ $range" "$root/man/galenastep.ini.5.scd" ||
        fail "galenastep.ini(5): no entry for $key with $range"
done <"$dir/ranges"

# Compares the long options in the --help output of program $2 with those in its
# manual page $1.
check_options() {
    "$2" --help | grep -o -- '--[a-z][a-z-]*' | sort -u >"$dir/help"
    sed -n '/^# OPTIONS/,/^# [^O]/p' "$root/man/$1.scd" |
        grep -o '^\*-.*' | grep -o -- '--[a-z][a-z-]*' |
        sort -u >"$dir/options"
    diff "$dir/help" "$dir/options" ||
        fail "$1: its options (>) differ from those of --help (<)"
}
check_options galenastepd.8 "$2"
check_options galenastepctl.1 "$3"

# Commands of galenastepctl.
"$3" --help | sed -n '/^Commands:/,$s/^  \([a-z-]*\( [a-z]*\)\{0,1\}\).*/\1/p' |
    sed 's/ *$//' >"$dir/commands"
[ "$(wc -l <"$dir/commands")" -ge 8 ] ||
    fail "galenastepctl --help: too few commands found"
while read -r command; do
    grep -q "^\*.*$command\*\|\*$command\*" "$root/man/galenastepctl.1.scd" ||
        fail "galenastepctl.1: $command is missing"
done <"$dir/commands"

# Counters.
{
    sed -n 's/.*\[COUNTER_.*= "\(.*\)".*/\1/p' "$root/src/caller/counters.c"
    sed -n 's/.*add_counter(t, [^,]*, "\([a-z_]*\)".*/\1/p' \
        "$root/src/daemon/operators.c"
} >"$dir/counters"
[ "$(wc -l <"$dir/counters")" -ge 40 ] ||
    fail "counters.c, operators.c: too few counters found"
while read -r counter; do
    grep -q "^| .*\`$counter\`" "$root/docs/operations/counters.md" ||
        fail "docs/operations/counters.md: $counter is missing"
done <"$dir/counters"
exit $failed
