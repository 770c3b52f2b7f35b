#ifndef NODE_NODE_H
#define NODE_NODE_H

#include "base/traffic.h"
#include "coordination/promoter.h"
#include "directory/catalog.h"
#include "node/shutdown.h"
#include "relay/session.h"

#include <ev.h>

/* A proxy on a platform: connects the relay, the agreement on the view and the
   promoter, and runs their timers. It acts on the platform through struct
   node_platform; the platform reports results and changes through the
   functions below. */
struct node;

struct node_platform {
    /* Replaces the view in the store if it has not changed since it was read.
       Answered by node_set_view(), then node_view_written(). */
    void (*write_view)(void *ctx, const struct view *next);
    /* Reads the view. Answered by node_set_view(). */
    void (*read_view)(void *ctx);
    /* Orders a promotion, unless valid_until (CLOCK_BOOTTIME) has passed when
       the order could be sent. Answered by node_order_answered(). */
    void (*order)(void *ctx, const char *service, const char *member,
                  uint64_t fence, clock_ms valid_until);
    /* Deletes the registration of a lost proxy, unless it has changed since it
       was read. */
    void (*unregister_proxy)(void *ctx, const char *name);
    /* Stores the member list for processes that start while entries are
       missing from the directory. */
    void (*write_members)(void *ctx, const char *text);
    /* Requests the configuration and the member list again: a change seems to
       be missing. Answered by node_set_catalog() and node_set_members(). */
    void (*refresh_directory)(void *ctx);
    /* Requests the list of proxies again. Answered by node_set_peers(). */
    void (*refresh_proxies)(void *ctx);
    /* Requests the configuration again: its evidence is getting old. Answered
       by node_set_catalog() and node_set_catalog_checked(). Called in strict
       mode only. */
    void (*refresh_configuration)(void *ctx);
    const struct member_codec *codec;
    void *ctx;
};

struct node_config {
    struct ev_loop *loop;
    const char *name;
    const char *failure_domain;
    const char *host;
    uint16_t peer_port; /* UDP for messages, TCP for copies; same for all */
    /* Rate limits of accounts; UDP port, same for all, 0: not enforced. */
    uint16_t limits_port;
    int64_t rate_window_ms;
    int rate_excess_permille;
    int rate_slack;
    const char *key;        /* shared by all proxies */
    bool strict_revocation; /* API keys need a recent configuration */
    int64_t revocation_ms;  /* within which a withdrawn key is refused */
    const struct node_platform *platform;
    struct traffic *traffic; /* counts the messages between proxies */
};

/* A proxy registered in the store. */
struct node_peer {
    char name[VIEW_NAME_BYTES];
    char host[MEMBER_HOST_BYTES];
    char failure_domain[MEMBER_NAME_BYTES];
    uint16_t port;
};

struct node *node_create(const struct node_config *config, char **error);
void node_destroy(struct node *n);
struct relay *node_relay(struct node *n);
struct catalog *node_catalog(struct node *n);
int64_t node_catalog_age_ms(const struct node *n);
bool node_is_ready(const struct node *n);
bool node_watches_directory(const struct node *n);
bool node_watches_configuration(const struct node *n);
bool node_is_large_fleet(const struct node *n);
int64_t node_feed_hold_ms(const struct node *n, int64_t since_answer_ms,
                          int64_t first_evidence_ms);
bool node_should_disconnect_callers(const struct node *n);
void node_begin_shutdown(struct node *n, const struct shutdown_schedule *s);
void node_answer_all(struct node *n);
size_t node_order_count(const struct node *n);
void node_write_metrics(const struct node *n, GString *out);
int node_explain_route(const struct node *n, const char *query, GString *body);

void node_set_catalog(struct node *n, struct catalog *c);
void node_set_catalog_checked(struct node *n, clock_ms asked_at);
void node_set_members_version(struct node *n, uint64_t version);
uint64_t node_members_version(const struct node *n);
void node_set_members(struct node *n, const struct member_entry *entries,
                      size_t count);
void node_set_store_era(struct node *n, uint64_t era);
bool node_is_holder(const struct node *n);
void node_set_stored_members(struct node *n, const char *text);
void node_set_peers(struct node *n, const struct node_peer *peers,
                    size_t count);
void node_set_store_lost(struct node *n, bool lost);
void node_set_known_to_peers(struct node *n);
void node_set_view(struct node *n, const struct view *v, clock_ms asked_at,
                   bool registered);
void node_set_no_view(struct node *n);
void node_view_written(struct node *n, bool done);
void node_order_answered(struct node *n, const char *service,
                         enum order_result result);

#endif
