#ifndef NODE_COPY_H
#define NODE_COPY_H

#include "base/clock.h"
#include "fleet/rpc_auth.h"

#include <ev.h>

/* Hands copies of the configuration, the members and the registered proxies
   to proxies that cannot read the store, and fetches such copies from them. */
struct copy_exchange;

/* Three texts; those that are given out are owned by the receiver. */
struct copy_texts {
    char *catalog;
    char *members;
    char *proxies;
};

struct copy_config {
    struct ev_loop *loop;
    const char *name; /* of this proxy */
    const char *host;
    uint16_t port;
    const struct rpc_keys *keys; /* shared by all proxies; borrowed */
    /* Fills in what this proxy has; returns false when it has nothing. */
    bool (*provide_copy)(void *ctx, struct copy_texts *out);
    /* A peer has answered; texts is NULL when it did not in time. */
    void (*copy_received)(void *ctx, const char *host,
                          const struct copy_texts *texts);
    void *ctx;
};

struct copy_exchange *copy_exchange_create(const struct copy_config *config,
                                           char **error);
void copy_exchange_destroy(struct copy_exchange *p);
void copy_exchange_request(struct copy_exchange *p, const char *host,
                           uint16_t port);
bool copy_exchange_is_pending(const struct copy_exchange *p);

#endif
