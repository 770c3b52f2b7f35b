#!/bin/sh
# Generates the XDR codecs from the .x files. The output is committed, so that
# the build does not need rpcgen.
set -eu
cd "$(dirname "$0")/.."
for xdr_file in src/fleet/peer src/control/control src/coordination/peer_message \
    src/node/copy src/limits/limit_message; do
    dir=$(dirname "$xdr_file")
    name=$(basename "$xdr_file")
    (
        cd "$dir"
        rm -f "${name}_xdr.h" "${name}_xdr.c"
        rpcgen -h -o "${name}_xdr.h" "$name.x"
        rpcgen -c -o "${name}_xdr.c.tmp" "$name.x"
        {
            # The generated functions declare a buffer pointer that most types
            # do not use.
            echo '#pragma GCC diagnostic ignored "-Wunused-variable"'
            sed "s|\"$name.h\"|\"${name}_xdr.h\"|" "${name}_xdr.c.tmp"
        } >"${name}_xdr.c"
        rm -f "${name}_xdr.c.tmp"
    )
done
