#ifndef UPSTREAM_GROUP_H
#define UPSTREAM_GROUP_H

#include "admission/admission.h"
#include "route/route.h"
#include "settings/settings.h"
#include "upstream/conn.h"
#include "upstream/group_sql.h"
#include "upstream/monitor.h"
#include "upstream/pool.h"

#include <ev.h>

/* This proxy's state of one database group: what is known of its members, the
   connection pool, and the admission queue in front of it. */
struct group;

/* A request for a connection to a member; embedded in the caller's record.
   After group_submit() either granted() passes the connection or refused()
   reports that the request was not run and will not be. */
struct group_request {
    struct admission_request admission;
    struct pool_waiter waiter;
    struct route_query route;
    GList link; /* in group.queued; data is NULL while it is not queued */
    uint64_t route_epoch; /* of the last time its members were recomputed */
    struct group *group;
    struct upstream_conn *conn; /* while granted */
    int64_t granted_at_us;      /* clock_monotonic_us() of the grant */
    void (*granted)(void *ctx, struct upstream_conn *c);
    void (*refused)(void *ctx, enum admission_refusal reason);
    /* Returns true if the running statement may be cancelled and submitted
       again, because more important requests wait; NULL if it never may. */
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
    int failover_rank; /* order in which proxies start a failover; -1: only
                       observes */
    enum failover_policy policy;
    uint64_t seed; /* of the failover's random delays */
};

struct group *group_create(const struct group_config *config);
void group_destroy(struct group *g);
const char *group_name(const struct group *g);
const char *group_parameter(const struct group *g, const char *name);
const struct route_member_state *group_member_state(const struct group *g,
                                                    int member);
int group_primary(const struct group *g);
struct admission *group_admission(struct group *g);
struct failover *group_failover(struct group *g);
const struct pool *group_pool(const struct group *g);

void group_submit(struct group *g, struct group_request *r);
void group_cancel(struct group *g, struct group_request *r);

/* State in which a granted connection is returned. */
enum group_return {
    GROUP_RETURN_CLEAN,   /* the transaction has ended */
    GROUP_RETURN_DISCARD, /* its session state is unknown: close it */
    GROUP_RETURN_CLOSED,  /* closed() has been called for it */
};
void group_finish(struct group *g, struct group_request *r,
                  enum group_return how);

void group_set_surplus(struct group *g, int member, int connections,
                       int batch_permits);
/* Callbacks into the lending of surplus connections. */
struct group_lending_ops {
    /* Calls group_set_surplus() according to the leases in force. Called
       before requests are granted, so that a lease which ended while the
       process was paused is not used. */
    void (*refresh_leases)(void *ctx);
    /* Called after a request was submitted, if any are queued then. */
    void (*request_queued)(void *ctx);
    /* Returns how long a statement may still run under the lease, in
       milliseconds; 0 or less if that time is over. */
    int64_t (*lease_left_ms)(void *ctx, int member, bool batch);
    int64_t idle_timeout_ms; /* of lent connections */
    void *ctx;
};
void group_set_lending(struct group *g,
                       const struct group_lending_ops *lending);
int64_t group_statement_limit(const struct group *g,
                              const struct group_request *r);

/* switch_started is called when this proxy starts a planned switch of the
   primary, so that the other proxies can be told to hold their requests for
   the primary. */
void group_set_switch_callback(struct group *g,
                               void (*switch_started)(void *ctx), void *ctx);

void group_record_state(struct group *g, int member,
                        const struct group_state *s);
void group_suspend_member(struct group *g, int member);
void group_set_max_staleness(struct group *g, int kind, int64_t bound_ms);
int64_t group_max_staleness(const struct group *g, int kind);
void group_set_leaving(struct group *g, int member, bool leaving);
void group_cancel_statement(struct group *g, struct upstream_conn *c);

#endif
