#ifndef CLOUD_ANSWER_H
#define CLOUD_ANSWER_H

#include "cloud/client.h"

/* What the body of an answer is expected to be. */
enum cloud_body {
    CLOUD_BODY_ROW,
    CLOUD_BODY_ROWS,
    CLOUD_BODY_VMS,
    CLOUD_BODY_RAW,
    CLOUD_BODY_NONE,
};

/* Decoded contents of an answer. */
struct cloud_answer {
    struct cloud_row *rows;
    size_t n_rows;
    struct cloud_vm *vms;
    size_t n_vms;
};

bool cloud_answer_decode(enum cloud_body kind, const char *body, size_t n,
                         struct cloud_answer *out);
void cloud_answer_clear(struct cloud_answer *a);
char *cloud_value_encode(const char *value);

#endif
