#ifndef UPSTREAM_POOL_H
#define UPSTREAM_POOL_H

#include "settings/settings.h"
#include "upstream/conn.h"

/* Connection pool of one database, with a limit per member. */
struct pool;

/* A wait for a connection; embedded in the caller's record. acquired or failed
   is called once, unless pool_cancel() is called first. */
struct pool_waiter {
    void (*acquired)(void *ctx, struct upstream_conn *c);
    void (*failed)(void *ctx, const char *why);
    void *ctx;
    bool waiting;
    int member;
};

struct pool *pool_create(struct ev_loop *loop,
                         const struct settings_database *database);
void pool_destroy(struct pool *p);
void pool_set_lent_idle_timeout(struct pool *p, int64_t timeout_ms);
void pool_set_limit(struct pool *p, int member, int connections);
void pool_acquire(struct pool *p, int member, struct pool_waiter *w);
void pool_cancel(struct pool *p, struct pool_waiter *w);
void pool_release(struct pool *p, struct upstream_conn *c);
void pool_discard(struct pool *p, struct upstream_conn *c);
void pool_drop_closed(struct pool *p, struct upstream_conn *c);
int pool_open_count(const struct pool *p, int member);

#endif
