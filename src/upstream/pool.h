#ifndef UPSTREAM_POOL_H
#define UPSTREAM_POOL_H

#include "settings/settings.h"
#include "upstream/conn.h"

/* The open connections of one database, by member. */
struct pool;

/* Someone who waits for a connection. Embedded in the waiter's record. */
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
/* Connections beyond the floor are opened with this idle timeout, so that the
   member ends those of a holder that is paused past its lease; 0 for none. */
void pool_set_lent_idle_timeout(struct pool *p, int64_t timeout_ms);
void pool_set_limit(struct pool *p, int member, int connections);
void pool_acquire(struct pool *p, int member, struct pool_waiter *w);
void pool_cancel(struct pool *p, struct pool_waiter *w);
void pool_release(struct pool *p, struct upstream_conn *c);
void pool_discard(struct pool *p, struct upstream_conn *c);
void pool_forget(struct pool *p, struct upstream_conn *c);
int pool_open_count(const struct pool *p, int member);

#endif
