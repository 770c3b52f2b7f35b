/* What a proxy hands to another one that cannot read the store. */
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
