/* What a proxy hands to another one that cannot read the store. */
struct copy_question {
    string from<63>;
};

struct copy_answer {
    string catalog<>;
    string members<>;
    string proxies<>;
};

program COPY_PROGRAM {
    version COPY_VERSION {
        copy_answer COPY_READ(copy_question) = 1;
    } = 1;
} = 0x20673703;
