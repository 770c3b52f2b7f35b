#ifndef CLOUD_CLIENT_H
#define CLOUD_CLIENT_H

#include "base/rng.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

/* Answers and request bodies over this size are refused. */
#define CLOUD_BODY_MAX_BYTES ((size_t)1 << 20)

enum cloud_outcome {
    CLOUD_DONE,     /* answered; status tells what */
    CLOUD_NOT_DONE, /* certainly without effect */
    CLOUD_UNKNOWN,  /* a write was sent and not answered */
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

/* What came of a request; valid during the callback only. */
struct cloud_result {
    enum cloud_outcome outcome;
    int status;         /* HTTP status, 0 without an answer */
    const char *reason; /* word for logs when outcome is not DONE */
    bool too_large;     /* the answer was over CLOUD_BODY_MAX_BYTES */
    const struct cloud_row *rows;
    size_t n_rows;
    const struct cloud_vm *vms;
    size_t n_vms;
    const char *body; /* object reads, terminated by zero */
    size_t n_body;
};

typedef void (*cloud_done_fn)(void *ctx, const struct cloud_result *r);

struct platform_settings {
    const char *table_url; /* http://IP:PORT/table */
    const char *object_url;
    const char *vms_url;
    int timeout_ms; /* of one attempt */
    int rate;       /* requests per second, 0 for the default of 20 */
    int attempts;   /* tries of one request, 0 for the default of 3 */
    int max_in_flight;
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
    uint64_t answer_too_large;
    uint64_t answer_malformed;
};

struct cloud_client;

struct cloud_client *cloud_client_new(struct ev_loop *loop,
                                      const struct platform_settings *s,
                                      uint64_t seed);
void cloud_client_free(struct cloud_client *c);
const struct cloud_counters *
cloud_client_counters(const struct cloud_client *c);

/* Each call returns an id for cloud_cancel(). done is called once from
   the loop, never inside the call, unless the request is cancelled. attempts
   0 stands for the number in the settings. */
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
uint64_t cloud_vms(struct cloud_client *c, int attempts, cloud_done_fn done,
                   void *ctx);
void cloud_cancel(struct cloud_client *c, uint64_t id);

#endif
