#ifndef CLOUD_RESPONSE_H
#define CLOUD_RESPONSE_H

#include "cloud/client.h"

/* Content that is expected in the body of a response. */
enum cloud_body {
    CLOUD_BODY_ROW,  /* one table row */
    CLOUD_BODY_ROWS, /* a list of table rows */
    CLOUD_BODY_VMS,  /* the VM list */
    CLOUD_BODY_RAW,  /* an object, not decoded */
    CLOUD_BODY_NONE,
};

/* A decoded response body. It owns its rows and VMs. */
struct cloud_response {
    struct cloud_row *rows;
    size_t n_rows;
    struct cloud_vm *vms;
    size_t n_vms;
};

bool cloud_response_decode(enum cloud_body kind, const char *body, size_t n,
                           struct cloud_response *out);
void cloud_response_clear(struct cloud_response *r);
char *cloud_value_encode(const char *value);

#endif
