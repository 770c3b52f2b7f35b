/* The call with which a proxy that cannot read the store gets a copy of the
   configuration and of the lists from a peer. */
struct copy_request {
    string from<63>;
};

struct copy_reply {
    string catalog<>;
    string members<>;
    string proxies<>;
};

program COPY_PROGRAM {
    version COPY_VERSION {
        copy_reply COPY_READ(copy_request) = 1;
    } = 1;
} = 0x20673703;
