#ifndef TESTS_RELAY_PACE_MODEL_H
#define TESTS_RELAY_PACE_MODEL_H

#include "relay/pace_policies.h"

#include <glib.h>

/* The members, proxies and messages of model_member_pace. */

#define MEMBERS 3
#define SLOTS 6
#define QUEUE_MAX 48
#define MAX_CONNECTIONS 85
#define MEAN_STATEMENT_MS 27.5
#define ONE_WAY_MS 1
#define TIMEOUT_MS 800
#define PROXIES_MAX 134
#define WIRE_MS 512 /* more than any message takes */
#define REQUESTS_MAX 16384

enum message_kind {
    MESSAGE_OPEN,
    MESSAGE_STATEMENT,
    MESSAGE_OPENED,
    MESSAGE_SERVED,
    MESSAGE_BUSY,
    MESSAGE_FULL,
    MESSAGE_UNREACHABLE, /* nothing listens */
};

struct message {
    enum message_kind kind;
    int proxy;
    int member;
    int request; /* of a statement */
    int epoch;   /* of the member */
    clock_ms sent_at;
    bool opening; /* what BUSY refers to */
};

struct member {
    bool up;
    int epoch; /* number of restarts */
    clock_ms cold_until;
    guint queue_max;
    int connections;
    GQueue queue; /* of struct message */
    struct message running[SLOTS];
    clock_ms ends_at[SLOTS]; /* 0: free */
    int arrived;
    int refused;
};

/* A member, as a proxy sees it. */
struct view {
    struct policy_state policy;
    int idle;
    int opening;
    int busy;
    clock_ms idle_since;
    bool unreachable;
    int failures;
    int refusals;
    clock_ms retry_at;
    clock_ms full_until;
    clock_ms busy_until;
    int64_t mean_us;
};

struct proxy {
    bool lost;
    struct view views[MEMBERS];
    GQueue waiting; /* of struct request */
};

struct request {
    int proxy;
    clock_ms arrived_at;
    int sent_to; /* member, or -1 */
    int avoid;   /* member that refused or lost it, or -1 */
    bool done;
    bool served;
};

struct pace_model {
    clock_ms now;
    struct rng rng;
    int proxy_count;
    int working; /* connections of a proxy to a member */
    bool on_demand;
    struct proxy proxies[PROXIES_MAX];
    struct member members[MEMBERS];
    struct request requests[REQUESTS_MAX];
    int request_count;
    GArray *wire[WIRE_MS];
    double load; /* requests per ms */
    double due;
};

extern struct pace_model pace_model;

/* pace_model.c */
void pace_model_start(uint64_t seed, int proxies, enum policy policy);
void pace_model_step(void);
void pace_model_send(const struct message *m, int64_t delay_ms);

/* pace_model_member.c */
void pace_member_receive(const struct message *msg);
void pace_member_run(struct member *m);
int pace_member_statements(const struct member *m);
void pace_member_stop(int index);

/* pace_model_proxy.c */
void pace_proxy_receive(const struct message *m);
void pace_proxy_tick(int proxy);
void pace_proxy_dispatch(int proxy);
void pace_request_return(struct request *r, int from);

#endif
