#ifndef RELAY_EXPLAIN_ROUTE_H
#define RELAY_EXPLAIN_ROUTE_H

#include "relay/placement.h"
#include "relay/service.h"

/* Says where a statement would go now and why, without sending it. Nothing of
   the proxy's state changes. */

#define EXPLAINED_MEMBERS_MAX 32

enum explained_outcome {
    EXPLAINED_SENT,   /* on an idle connection */
    EXPLAINED_QUEUED, /* waits for a connection */
    EXPLAINED_REFUSED,
};

struct explained_member {
    char id[MEMBER_ID_BYTES];
    char failure_domain[MEMBER_NAME_BYTES];
    bool primary; /* by the view, with or without a lease */
    bool reachable;
    bool listed;
    bool draining;
    bool suitable;   /* may serve the statement */
    bool chosen;     /* is to serve it, perhaps after a wait */
    int connections; /* open or being opened, and of these idle */
    int idle_connections;
    int64_t expected_us;       /* of the statement there, with penalties */
    struct placement_member p; /* as it was compared with the others */
};

/* What a service would do with a request. */
struct explained_placement {
    enum explained_outcome outcome;
    const char *why;    /* of the refusal or of the wait */
    const char *target; /* id of the chosen member, or NULL */
    /* A request that no member can serve is refused after this time with
       refusal; -1 otherwise. */
    int64_t refused_after_ms;
    const char *refusal;
    uint64_t connections_opened; /* at once, for it or for requests ahead */
    char primary[MEMBER_ID_BYTES];
    uint64_t epoch;
    bool primary_changing;
    bool lease;
    bool needs_primary;
    bool replicas_allowed; /* by the staleness bound and the known position of
                              the primary */
    bool replicas_lag;     /* all of them are behind for it */
    size_t queue_length;
    int ahead; /* queued requests that are served before it */
    int64_t expected_wait_ms;
    int member_count;
    struct explained_member members[EXPLAINED_MEMBERS_MAX];
};

enum route_kind { ROUTE_READ, ROUTE_WRITE, ROUTE_TRANSACTION };

struct route_query {
    const char *database;
    const char *account; /* name; NULL: a caller without an API key */
    enum route_kind kind;
};

/* What the proxy knows beside the service. */
struct route_state {
    const struct catalog *catalog;
    struct service *(*service)(void *ctx, const char *name);
    void *ctx;
    clock_ms now;
    int64_t catalog_age_ms;  /* since the store last answered for it */
    int64_t evidence_age_ms; /* -1: none */
    bool catalog_fresh;
    bool limits_enforced; /* rate limits of accounts */
    bool shutting_down;   /* all requests are refused */
    /* Returns how many permits of an account are in stock; used only if
       limits_enforced. */
    int (*permits)(void *ctx, const char *account);
};

struct route_explanation {
    struct route_query query;
    struct route_state state;
    const struct database_route *route;
    const struct account *account; /* NULL: none */
    int permits;                   /* in stock; -1: the account needs none */
    enum failure refusal; /* before a member is chosen; or FAILURE_NONE */
    const char *refusal_text;
    struct explained_placement placement; /* also set with a refusal */
};

void explain_placement(const struct service *s,
                       const struct connection_request *request,
                       struct explained_placement *out);
bool explain_route(struct route_explanation *e, const struct route_query *q,
                   const struct route_state *state, const char **error);
void explain_route_write_json(const struct route_explanation *e, GString *out);
bool route_kind_from_name(const char *name, enum route_kind *kind);
const char *route_kind_name(enum route_kind kind);

#endif
