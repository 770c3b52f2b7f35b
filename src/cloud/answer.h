#ifndef PLATFORM_ANSWER_H
#define PLATFORM_ANSWER_H

#include "platform/client.h"

/* What the body of an answer is expected to be. */
enum platform_body {
    PLATFORM_BODY_ROW,
    PLATFORM_BODY_ROWS,
    PLATFORM_BODY_VMS,
    PLATFORM_BODY_RAW,
    PLATFORM_BODY_NONE,
};

/* Decoded contents of an answer. */
struct platform_answer {
    struct platform_row *rows;
    size_t n_rows;
    struct platform_vm *vms;
    size_t n_vms;
};

bool platform_answer_decode(enum platform_body kind, const char *body,
                            size_t n, struct platform_answer *out);
void platform_answer_clear(struct platform_answer *a);
char *platform_value_encode(const char *value);

#endif
