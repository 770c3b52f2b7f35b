#!/bin/sh
# Writes the XDR codecs from the .x files. The output is committed, so the
# build needs no rpcgen.
set -eu
cd "$(dirname "$0")/.."
for x in src/fleet/peer src/control/control src/lead/peer_message \
    src/node/copy; do
    dir=$(dirname "$x")
    name=$(basename "$x")
    (
        cd "$dir"
        rm -f "${name}_xdr.h" "${name}_xdr.c"
        rpcgen -h -o "${name}_xdr.h" "$name.x"
        rpcgen -c -o "${name}_xdr.c.tmp" "$name.x"
        {
            # rpcgen declares a buffer pointer that most types leave unused.
            echo '#pragma GCC diagnostic ignored "-Wunused-variable"'
            sed "s|\"$name.h\"|\"${name}_xdr.h\"|" "${name}_xdr.c.tmp"
        } >"${name}_xdr.c"
        rm -f "${name}_xdr.c.tmp"
    )
done
