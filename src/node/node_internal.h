#ifndef NODE_NODE_INTERNAL_H
#define NODE_NODE_INTERNAL_H

#include "coordination/peer_socket.h"
#include "directory/catalog_evidence.h"
#include "directory/feed_pace.h"
#include "node/copy_exchange.h"
#include "node/node.h"

/* Shared by the files of this directory only. */

/* Further members of a service are ignored. */
#define SERVICE_MEMBERS_MAX 16
/* A list of more members may not fit in the stored list or in a peer's answer;
   lines rarely exceed 120 bytes. */
#define NODE_COPIED_MEMBERS_MAX 400
/* After a power loss, proxies that start together do so within 0.3 s. */
#define NODE_STARTUP_MS 400
/* Members count the connections of a VM that has lost power for 3 s. */
#define NODE_DEAD_CONNECTIONS_MS 3500

/* A member, listed in the directory or kept after it was unlisted. */
struct known_member {
    struct member_entry entry;
    clock_ms unlisted_at; /* 0 while listed */
};

/* The members of one service within n->members. */
struct member_range {
    guint first;
    guint count;
};

struct node {
    struct ev_loop *loop;
    char *name;
    char *failure_domain;
    struct node_platform platform;
    struct traffic *traffic;
    struct rpc_keys *keys; /* shared by all proxies */
    uint64_t incarnation;
    struct agreement *agreement;
    struct promoter *promoter;
    struct peer_socket *port;   /* for messages between proxies */
    struct node_limits *limits; /* NULL: rate limits are not enforced */
    struct relay *relay;
    struct catalog *catalog;
    GHashTable *services;      /* name -> struct service */
    GArray *members;           /* of struct known_member, by service */
    GHashTable *member_ranges; /* service -> struct member_range */
    GArray *peers;             /* of struct node_peer */
    ev_timer tick;
    clock_ms started_at;
    bool starting;     /* connection shares are those after a start */
    bool recent_start; /* connections opened on demand are not kept open */
    clock_ms last_tick;
    uint64_t tick_count;
    clock_ms messages_sent_at;
    guint next_probe;      /* index of the next silent peer to probe */
    bool shares_positions; /* of all primaries, with peers of its domain */
    struct service_set sent_unreachable; /* in the last messages */
    int next_position_index; /* in the view: service whose primary's position
                                the next message starts with */
    clock_ms view_asked_at;
    clock_ms lease_valid_at;
    /* Since when only this proxy has been unable to reach a primary; 0 if it
       reaches all of them or the others cannot either. */
    clock_ms isolated_since;
    clock_ms log_flushed_at;
    clock_ms list_checked_at;
    char *stored_list;        /* the member list that the store holds */
    clock_ms stored_list_at;  /* when it was received */
    bool stored_list_checked; /* for changes that this proxy lacks */
    bool list_too_long;       /* for a row of the store; logged once */
    bool stored_list_read;
    clock_ms catalog_checked_at;    /* last answer of the store for it; or 0 */
    uint64_t store_catalog_version; /* in the last answer of the store */
    bool strict_revocation;
    struct catalog_evidence evidence;
    bool catalog_was_fresh;          /* at the last tick */
    clock_ms configuration_asked_at; /* because peers gave no evidence */
    bool catalog_from_store;  /* the store has delivered the configuration */
    uint64_t members_version; /* of the list of members in force; 0: unknown */
    bool registry_differs;    /* from that of a witness */
    clock_ms registry_differs_since;
    struct feed_pace registry_pace;
    clock_ms registry_asked_at;
    bool members_from_store; /* the store has delivered the member list */
    bool peers_from_store;   /* the store has delivered the proxy list */
    struct copy_fetcher *copy_fetcher;
    uint64_t applied; /* newest view version reported as applied */
    bool leaving;
    bool store_lost; /* this proxy cannot reach the store */
    bool recovering; /* at the last tick */
};

/* configuration.c */
void node_update_shares(struct node *n);
void node_apply_catalog(struct node *n, struct catalog *c, const char *source);

/* feeds.c */
bool node_follows_peers(const struct node *n);
void node_check_registry(struct node *n, clock_ms now);

/* freshness.c */
bool node_catalog_is_fresh(void *ctx, clock_ms now);
int64_t node_announced_evidence_age(const struct node *n, clock_ms now);
void node_receive_evidence(struct node *n,
                           const struct agreement_message *message,
                           bool registered, clock_ms now);
void node_check_freshness(struct node *n, clock_ms now);

/* rate_limits.c */
bool node_limits_open(struct node *n, const struct node_config *config,
                      char **error);
void node_limits_close(struct node *n);
struct rate_client *node_limits_client(const struct node *n);
void node_limits_set_peers(struct node *n);
void node_limits_set_registered(struct node *n);
void node_limits_set_catalog(struct node *n);
void node_limits_write_metrics(const struct node *n, GString *out);

/* node.c */
clock_ms node_now(void *ctx);
void node_tick_promoter(struct node *n, clock_ms now);

/* peer_messages.c */
void node_list_unreachable(const struct node *n, clock_ms now,
                           struct service_set *out);
void node_send_messages(struct node *n, bool changed, clock_ms now);
bool node_update_applied(struct node *n);
void node_apply_view(struct node *n);
void node_on_message(void *ctx, const struct agreement_message *message,
                     const char *host, size_t bytes);
void node_apply_peers(struct node *n, const struct node_peer *peers,
                      size_t count);

/* members.c */
void node_update_members(struct node *n);
bool node_is_replaced(const struct node *n, const struct member_range *r,
                      const struct known_member *m);
struct member_range node_members_of(const struct node *n, const char *service);
void node_maintain_lists(struct node *n, clock_ms now);
void node_check_stored_list(struct node *n, clock_ms now);
void node_apply_members(struct node *n, const struct member_entry *entries,
                        size_t count);

/* fetch.c */
struct copy_fetcher *copy_fetcher_create(struct node *n,
                                         const struct node_config *config,
                                         char **error);
void copy_fetcher_destroy(struct copy_fetcher *f);
void copy_fetcher_tick(struct copy_fetcher *f, clock_ms now);
void copy_fetcher_on_message(struct copy_fetcher *f, const char *host,
                             const struct agreement_message *message,
                             clock_ms now);

#endif
