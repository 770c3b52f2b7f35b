#ifndef NODE_COPY_EXCHANGE_H
#define NODE_COPY_EXCHANGE_H

#include "base/clock.h"
#include "fleet/rpc_auth.h"

#include <ev.h>

/* Serves copies of the configuration, the member list and the proxy list to
   proxies that cannot read the store, and requests such copies from peers. */
struct copy_exchange;

/* A copy in text form. The texts that provide_copy() fills in are freed by the
   caller; those passed to copy_received() are borrowed. */
struct copy_texts {
    char *catalog;
    char *members;
    char *proxies;
};

struct copy_exchange_config {
    struct ev_loop *loop;
    const char *name; /* of this proxy */
    const char *host;
    uint16_t port;
    const struct rpc_keys *keys; /* shared by all proxies; borrowed */
    /* Fills in a copy for a peer. Returns false if this proxy has none. */
    bool (*provide_copy)(void *ctx, struct copy_texts *out);
    /* Called once per request; texts is NULL if it failed or timed out. */
    void (*copy_received)(void *ctx, const char *host,
                          const struct copy_texts *texts);
    void *ctx;
};

struct copy_exchange *
copy_exchange_create(const struct copy_exchange_config *config, char **error);
void copy_exchange_destroy(struct copy_exchange *p);
void copy_exchange_request(struct copy_exchange *p, const char *host,
                           uint16_t port);
bool copy_exchange_is_pending(const struct copy_exchange *p);

#endif
