#ifndef UPSTREAM_GROUP_H
#define UPSTREAM_GROUP_H

#include "admission/admission.h"
#include "route/route.h"
#include "settings/settings.h"
#include "upstream/conn.h"
#include "upstream/group_sql.h"
#include "upstream/pool.h"
#include "upstream/watch.h"

#include <ev.h>

/* One database group as this proxy sees it: its members, its pool and the
   queue in front of it. */
struct group;

/* Work that waits for, or has, a connection to a member. Embedded in the
   record of the caller that sent it. granted() hands over the connection;
   refused() says that the work was not run and will not be. */
struct group_request {
    struct admission_request admission;
    struct pool_waiter waiter;
    struct route_query route;
    GList link; /* in the group's list of queued requests */
    uint64_t route_epoch;
    struct group *group;
    struct upstream_conn *conn; /* while granted */
    int64_t granted_us;
    void (*granted)(void *ctx, struct upstream_conn *c);
    void (*refused)(void *ctx, enum admission_refusal reason);
    /* Returns true when the statement may be cancelled and submitted again,
       to make way for more important work; NULL when it never may. */
    bool (*preempt)(void *ctx);
    void *ctx;
};

struct group_config {
    struct ev_loop *loop;
    const struct settings_database *database;
    const struct settings_kind *kinds;
    int kind_count;
    int proxy_count; /* proxies that share the database */
    uint32_t proxy_id;
    int watch_rank; /* order in which proxies start a failover */
    enum failover_policy policy;
    uint64_t seed;
};

struct group *group_create(const struct group_config *config);
void group_destroy(struct group *g);
const char *group_name(const struct group *g);
const char *group_parameter(const struct group *g, const char *name);
const struct route_view *group_view(const struct group *g, int member);
int group_primary(const struct group *g);
struct admission *group_admission(struct group *g);
struct failover *group_failover(struct group *g);
const struct pool *group_pool(const struct group *g);

void group_submit(struct group *g, struct group_request *r);
void group_cancel(struct group *g, struct group_request *r);

/* How a granted connection comes back. */
enum group_return {
    GROUP_RETURN_CLEAN,   /* the transaction has ended */
    GROUP_RETURN_DISCARD, /* its state is in doubt: close it */
    GROUP_RETURN_CLOSED,  /* closed() was called for it */
};
void group_finish(struct group *g, struct group_request *r,
                  enum group_return how);

/* Sets what this proxy may use of a member beyond its floor, and how many
   batch statements may run there. */
void group_set_surplus(struct group *g, int member, int connections,
                       int batch_permits);
/* refresh is called before work is let through, so that a lease which ended
   while the process was paused is not used; waiting when work was queued. */
struct group_lending {
    void (*refresh)(void *ctx);
    void (*waiting)(void *ctx);
    /* Returns how long a statement may run under a lease, in milliseconds. */
    int64_t (*lease_left)(void *ctx, int member, bool batch);
    int64_t idle_timeout_ms; /* of lent connections */
    void *ctx;
};
void group_set_lending(struct group *g, const struct group_lending *lending);
int64_t group_statement_limit(const struct group *g,
                              const struct group_request *r);

/* switching is called when this proxy begins a planned switch, so that the
   others hold their work for the primary too. */
void group_set_switching(struct group *g, void (*switching)(void *ctx),
                         void *ctx);

void group_note_state(struct group *g, int member,
                      const struct group_state *s);
void group_distrust(struct group *g, int member);
/* How stale a read of a caller kind may be. */
void group_set_max_staleness(struct group *g, int kind, int64_t bound_ms);
int64_t group_max_staleness(const struct group *g, int kind);
void group_set_leaving(struct group *g, int member, bool leaving);
void group_set_draining(struct group *g);
void group_cancel_statement(struct group *g, struct upstream_conn *c);

#endif
