/* The call with which a proxy that cannot read the store gets a copy of the
   configuration and of the lists from a peer. No text is longer than a record
   of the RPC layer. */
struct copy_request {
    string from<63>;
};

struct copy_reply {
    string catalog<65536>;
    string members<65536>;
    string proxies<65536>;
};

program COPY_PROGRAM {
    version COPY_VERSION {
        copy_reply COPY_READ(copy_request) = 1;
    } = 1;
} = 0x20673703;
