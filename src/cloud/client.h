#ifndef CLOUD_CLIENT_H
#define CLOUD_CLIENT_H

#include "base/rng.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

/* Limit of request and response bodies; larger ones are refused. */
#define CLOUD_BODY_MAX_BYTES ((size_t)1 << 20)

enum cloud_outcome {
    CLOUD_DONE,     /* a response came; status says which */
    CLOUD_NOT_DONE, /* the request had no effect */
    CLOUD_UNKNOWN,  /* a write was sent, and no response shows its outcome */
};

struct cloud_row {
    char *key;
    char *value;
};

struct cloud_vm {
    char *name;
    char *address;
    char *failure_domain;
    bool leaving;
};

/* Result of a request, valid during the callback only. */
struct cloud_result {
    enum cloud_outcome outcome;
    int status;         /* HTTP status, 0 without a response */
    const char *reason; /* keyword for logs unless CLOUD_DONE */
    bool too_large;     /* the response was over CLOUD_BODY_MAX_BYTES */
    const struct cloud_row *rows;
    size_t n_rows;
    const struct cloud_vm *vms;
    size_t n_vms;
    const char *body; /* for object reads; NUL-terminated */
    size_t n_body;
};

typedef void (*cloud_done_fn)(void *ctx, const struct cloud_result *r);

struct cloud_settings {
    const char *table_url; /* http://IP:PORT/table */
    const char *object_url;
    const char *vms_url;
    int timeout_ms;    /* for one attempt, 0 for the default of 1000 */
    int rate;          /* requests per second, 0 for the default of 20 */
    int attempts;      /* attempts of one request, 0 for the default of 3 */
    int max_in_flight; /* requests, 0 for the default of 64 */
};

struct cloud_counters {
    uint64_t requests;
    uint64_t done;
    uint64_t not_done;
    uint64_t unknown;
    uint64_t refused_rate;
    uint64_t refused_in_flight;
    uint64_t refused_body;
    uint64_t retry_connect;
    uint64_t retry_timeout;
    uint64_t retry_transport;
    uint64_t retry_status;
    uint64_t response_too_large;
    uint64_t response_malformed;
};

struct cloud_client;

struct cloud_client *cloud_client_create(struct ev_loop *loop,
                                         const struct cloud_settings *s,
                                         uint64_t seed);
void cloud_client_destroy(struct cloud_client *c);
const struct cloud_counters *
cloud_client_counters(const struct cloud_client *c);

/* Each function sends a request and returns an id for cloud_cancel(). done is
   called exactly once, from the event loop and never inside the function,
   unless the request is cancelled. attempts is the number of attempts, 0 for
   that of the settings. */
uint64_t cloud_table_list(struct cloud_client *c, const char *table,
                          const char *after, int limit, int attempts,
                          cloud_done_fn done, void *ctx);
uint64_t cloud_table_get(struct cloud_client *c, const char *table,
                         const char *key, int attempts, cloud_done_fn done,
                         void *ctx);
uint64_t cloud_table_insert(struct cloud_client *c, const char *table,
                            const char *key, const char *value, int attempts,
                            cloud_done_fn done, void *ctx);
uint64_t cloud_table_put(struct cloud_client *c, const char *table,
                         const char *key, const char *value, int attempts,
                         cloud_done_fn done, void *ctx);
uint64_t cloud_object_get(struct cloud_client *c, const char *name,
                          int attempts, cloud_done_fn done, void *ctx);
uint64_t cloud_object_put(struct cloud_client *c, const char *name,
                          const char *body, size_t n, int attempts,
                          cloud_done_fn done, void *ctx);
uint64_t cloud_vm_list(struct cloud_client *c, int attempts,
                       cloud_done_fn done, void *ctx);
void cloud_cancel(struct cloud_client *c, uint64_t id);

#endif
