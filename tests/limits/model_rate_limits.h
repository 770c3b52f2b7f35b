#ifndef TESTS_LIMITS_MODEL_RATE_LIMITS_H
#define TESTS_LIMITS_MODEL_RATE_LIMITS_H

#include "base/rng.h"
#include "limits/rate_limits.h"

/* A model of proxies that enforce rate limits over an unreliable network, in
   virtual time. */

/* Other sizes are set by -D for the figures in docs/design/rate-limits.md. */
#ifndef PROXIES_MAX
#define PROXIES_MAX 48
#define PROXIES_START 36
#endif
#ifndef ACCOUNTS
#define ACCOUNTS 9
#endif
#define DOMAINS 4
#define RING_MS 16384
#define WINDOW_MS 5000
#define SLACK 20
#define EXCESS_PERMILLE 100

enum mode {
    MODE_CALM,    /* nothing fails */
    MODE_TROUBLE, /* proxies are killed, cut off and added */
    /* In the others only the bounds count, and callers send too much. */
    MODE_CHAOS,   /* everything fails */
    MODE_RESTART, /* mostly restarts of everything */
    MODE_LISTS,   /* proxies have different lists of witnesses for long */
    MODE_SUSPEND, /* processes are suspended over and over */
    MODES,
};

/* An operation of an account at a proxy. */
struct operation {
    struct rate_request request;
    struct model *model;
    int proxy;
    int account;
    int64_t arrived_at;
    int64_t work_left; /* running time that it waits for a connection */
    bool within;       /* the limit */
    bool has_permit;
    bool judged; /* it is among the operations that are counted */
    bool done;
    GList node; /* in the proxy's run queue, or in the pool */
};

struct message {
    struct message *next;
    int to;
    uint64_t to_incarnation; /* 0: any */
    bool is_reply;
    union {
        struct limit_request request;
        struct limit_reply reply;
    };
};

struct model_account {
    struct account account; /* configured first */
    int64_t lowered_rate;   /* 0: never lowered */
    int64_t lowered_burst;
    double use_per_s;
    double weights[PROXIES_MAX];
    double weight_sum;
    double next_arrival;
    int64_t overload_from; /* it sends 8 times as much until overload_to */
    int64_t overload_to;
    int64_t turn_ms; /* it sends nothing, then too much; 0: steadily */
    bool small;
    double exact_level; /* exact bucket over all arrivals */
    double exact_at;
    GArray *runs; /* times at which operations ran */
    long within;
    long served;        /* of those */
    long served_beyond; /* others that were served, while overloaded */
    long refused_limited;
    long refused_unknown;
};

struct model_proxy {
    char name[16];
    char domain[4];
    struct rate_limits *limits;
    bool up;
    int64_t restart_at; /* while down */
    int64_t frozen_until;
    int64_t frozen_total;  /* suspended time of this process */
    int64_t stutter_until; /* alternates between running and frozen */
    int64_t clock_offset;
    uint64_t incarnation;
    bool registered;
    int64_t store_cut_until;
    int64_t cut_since;
    int64_t net_cut_until; /* from all proxies of another side */
    int side;
    uint64_t list_version;
    int64_t list_due; /* when its feed delivers a newer list */
    uint64_t catalog_version;
    int64_t catalog_due;
    bool list_loaded; /* from the store */
    GQueue run_queue; /* of struct operation */
    GQueue waiting;   /* operations that wait for a permit */
    GQueue arrived;   /* operations that arrive while it is frozen */
    GQueue held;      /* messages that arrive while it is frozen */
};

struct model {
    struct rng rng;
    enum mode mode;
    bool verbose;
    int64_t now;
    int64_t end;
    int64_t judged_from;
    struct model_proxy proxies[PROXIES_MAX];
    int proxy_count;
    struct model_account accounts[ACCOUNTS];
    int account_count;
    int64_t wave_from;
    int64_t wave_to;
    struct message *ring[RING_MS];
    struct message *free_messages;
    uint64_t list_version;
    uint64_t catalog_version;
    int64_t lowered_everywhere_at; /* 0: not lowered, or not yet everywhere */
    int64_t next_event;
    long events;
    uint64_t wait_max; /* for a connection */
    int loss_permille;
    int late_permille;
    int twice_permille;
    long messages;
    long bytes;
    long far_bytes; /* between failure domains */
    long over;      /* windows over the bound */
    double worst;
};

/* model_faults.c */
void model_inject_faults(struct model *m);
void model_start_proxy(struct model *m, int i, bool registered);
void model_stop_proxy(struct model *m, int i);
void model_set_registered(struct model *m, int i, bool registered);
void model_update_directory(struct model *m, int i);
bool model_is_running(const struct model *m, int i);
int64_t model_local_time(const struct model *m, int i);

/* model_rate_limits.c */
extern const struct rate_limits_config model_limits_config;
void model_drop_operations(struct model *m, int i);
struct catalog *model_catalog(const struct model *m, uint64_t version);

#endif
