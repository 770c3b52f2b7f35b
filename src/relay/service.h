#ifndef RELAY_SERVICE_H
#define RELAY_SERVICE_H

#include "base/clock.h"
#include "directory/catalog.h"
#include "directory/member_entry.h"
#include "relay/connection_share.h"
#include "relay/member_link.h"

#include <glib.h>

/* A database group, which the platform and the configuration call a service,
   as seen by this proxy: the members, the connection pool of each member, and
   the queue of requests that wait for a connection. All times are on the boot
   clock. */
struct service;
struct member;
struct pooled_link;
struct placement_decision;

/* A request for a connection; embedded in the session. Unless it is withdrawn,
   exactly one of granted() and refused() is called, once. */
struct connection_request {
    int priority;                  /* 0 is the most urgent */
    const struct account *account; /* NULL: of no account. Valid until the
                                      request has left the queue */
    bool needs_primary; /* otherwise replicas that are recent enough may serve
                           it too */
    struct token floor; /* lowest position that the session may see, if
                           known */
    clock_ms arrived_at;
    clock_ms deadline;      /* refused if it still waits then */
    clock_ms target;        /* a later answer misses the latency target */
    int64_t staleness_ms;   /* commits older than this must be visible */
    uint64_t settings_hash; /* of the session's settings */
    char avoid_member[MEMBER_ID_BYTES]; /* member of the failed attempt, or
                                           empty */
    struct token min_position; /* set before granted() is called: position
                                  that a replica must have, if known */
    void (*granted)(void *ctx, struct pooled_link *l);
    void (*refused)(void *ctx, const char *why);
    void *ctx;
    GList queue_node;
    bool queued;
    uint64_t turn; /* its number among the turns of accounts */
    const struct member *needs_opening; /* member to which a connection must be
                                           opened for it; set by dispatch.c */
    struct placement_decision *decision; /* NULL, or set by dispatch.c to its
                                            last decision */
};

/* Callbacks to the user of a granted connection. After lost() the connection
   must not be used any more. */
struct pooled_user {
    void (*answered)(void *ctx, const struct answer *a);
    void (*lost)(void *ctx, const char *why);
};

struct service_config {
    const char *name;
    const char *failure_domain; /* of this proxy */
    const struct member_codec *codec;
    /* Returns true while this proxy holds a valid lease, that is, while it may
       rely on the last primary set by service_set_primary(). */
    bool (*lease_valid)(void *ctx, const char *service, clock_ms now);
    clock_ms (*now)(void *ctx); /* the boot clock */
    void *ctx;
    uint64_t seed; /* of the jitter; differs between proxies */
};

/* Counters since the start. */
struct service_counters {
    uint64_t granted;
    uint64_t refused_deadline;
    uint64_t refused_queue;
    uint64_t refused_no_member;
    uint64_t links_opened;
    uint64_t links_refused;
    uint64_t links_lost;
    uint64_t refused_excess; /* queued, to make room for other accounts;
                                counted in refused_queue too */
    uint64_t turns_taken;    /* requests queued before earlier ones of another
                                account with the same priorities */
    uint64_t links_evicted;  /* idle, closed for one of another account */
    uint64_t homes_opened; /* connections opened before a request needed them,
                              to be kept to a replica */
    uint64_t lagged_at_primary; /* reads granted there because the replicas
                                   lag */
    uint64_t home_granted;      /* requests granted at that replica */
};

struct service *service_create(const struct service_config *config);
void service_destroy(struct service *s);
const char *service_name(const struct service *s);
const struct service_counters *service_counters(const struct service *s);
size_t service_queue_length(const struct service *s);

void service_set_members(struct service *s, const struct member_entry *entries,
                         size_t n, clock_ms now);
void service_add_unlisted_member(struct service *s,
                                 const struct member_entry *m,
                                 clock_ms unlisted_since, clock_ms now);
void service_set_connection_limits(struct service *s,
                                   const struct connection_limits *limits);
void service_set_primary(struct service *s, uint64_t epoch,
                         const char *primary, bool primary_changing,
                         clock_ms now);
bool service_newest_primary_position(const struct service *s, clock_ms *at,
                                     struct token *position);
void service_add_primary_position(struct service *s, clock_ms at,
                                  const struct token *position);
bool service_old_primary_idle(const struct service *s);
bool service_is_idle(const struct service *s);
bool service_primary_unreachable(const struct service *s, clock_ms now);
void service_set_refreshes_position(struct service *s, bool refreshes);
void service_tick(struct service *s, clock_ms now);
void service_resumed(struct service *s, clock_ms now);

void service_submit(struct service *s, struct connection_request *w);
void service_withdraw(struct service *s, struct connection_request *w);

void pooled_set_user(struct pooled_link *l, const struct pooled_user *user,
                     void *ctx);
void pooled_send(struct pooled_link *l, const struct request *r,
                 const struct token *min_position);
void pooled_set_inactive(struct pooled_link *l);
void pooled_release(struct pooled_link *l, bool rollback);
void pooled_abandon(struct pooled_link *l);
void pooled_discard(struct pooled_link *l);
bool pooled_is_current(const struct pooled_link *l, clock_ms now);
bool pooled_held_lease(const struct pooled_link *l, clock_ms now);
bool pooled_is_primary(const struct pooled_link *l);
const char *pooled_member(const struct pooled_link *l);
int64_t pooled_silent_ms(const struct pooled_link *l, clock_ms now);
struct link_setup *pooled_setup(const struct pooled_link *l);

#endif
