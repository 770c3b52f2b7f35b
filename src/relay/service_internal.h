#ifndef RELAY_SERVICE_INTERNAL_H
#define RELAY_SERVICE_INTERNAL_H

#include "base/rng.h"
#include "relay/link_setup.h"
#include "relay/placement.h"
#include "relay/position_samples.h"
#include "relay/replica_lag.h"
#include "relay/service.h"
#include "relay/turns.h"

/* Shared by service.c, links.c, opening_pace.c, upkeep.c, queue.c,
   candidates.c, dispatch.c and explain_placement.c only. */

/* A directory entry that disappears during an outage of the store is back
   within 2 s; after this time an unlisted member is treated as removed. */
#define UNLISTED_GRACE_MS 2500
/* Until then an unlisted member gets work as the primary, and is kept while it
   has requests without an answer. */
#define UNLISTED_KEEP_MAX_MS 6000

enum link_state {
    LINK_OPENING,
    LINK_IDLE,
    LINK_GRANTED,
    LINK_ABANDONED,    /* the user stopped waiting for the answer */
    LINK_ROLLING_BACK, /* the proxy has sent a ROLLBACK */
};

#define CANDIDATES_MAX 32

/* What dispatch.c does with a queued request. */
enum placement_action {
    PLACEMENT_REFUSE_LATE,
    PLACEMENT_REFUSE_NO_MEMBER,
    PLACEMENT_AWAIT_MEMBER,   /* no member can serve it */
    PLACEMENT_AWAIT_CAPACITY, /* all suitable members are at their limits */
    PLACEMENT_AWAIT_OPENING,  /* of a connection that is being opened */
    PLACEMENT_AWAIT_FREE,     /* connection in use, or lag of a replica */
    PLACEMENT_GRANT,
    PLACEMENT_OPEN, /* a connection, unless enough are being opened */
};

struct placement_decision {
    enum placement_action action;
    int member; /* its index, or -1 */
    /* Answer to the caller, or the one that it would get after wait_ms. */
    const char *why;
    int64_t wait_ms;
    bool replicas_allowed;
    bool lagged; /* all usable replicas are behind */
    int n;
    struct placement_member candidates[CANDIDATES_MAX];
};

struct member {
    struct service *service;
    struct member_entry entry;
    GPtrArray *links;     /* of struct pooled_link */
    clock_ms unlisted_at; /* 0 while the directory lists it */
    clock_ms last_answer_at;
    clock_ms unreachable_since; /* 0 while it answers */
    clock_ms retry_at;   /* while unreachable: no connection attempt before */
    clock_ms full_until; /* no new connection before: it refused one because
                            it had too many */
    clock_ms not_primary_until; /* not used as the primary before */
    struct replica_lag lag;
    struct token missing_position; /* position that it last lacked; unknown
                                      once it has caught up */
    clock_ms lag_retry_at; /* before, it only gets reads that its position
                              satisfies; not used for connections on demand */
    int64_t lag_retry_ms;
    int failures;        /* in a row; determines retry_at */
    int refusals;        /* of connections, in a row; determines full_until */
    clock_ms busy_until; /* gets no statement before: it refused one because
                            of its load */
    /* Connections opened on demand that may be in use at once, from 1 to
       limits.working. */
    double window;
    /* Time for which connections may still be open, in connection
       milliseconds, while limits.idle_permille is set. */
    double idle_credit_ms;
    clock_ms idle_credit_at;
    int64_t mean_statement_us;
    bool home;             /* this proxy keeps a connection to it */
    clock_ms home_open_at; /* when to open that connection; 0 while one exists
                              or is being opened */
    /* Requests of the present dispatch that wait until a connection to it is
       free, and this number at the start of its present pass. */
    int waiting;
    int waiting_before;
    clock_ms opened_at;       /* start of the last opening */
    int64_t mean_opening_us;  /* decays; see member_opening_us() */
    clock_ms opening_at;      /* end of the last opening */
    int64_t open_interval_ms; /* least time between two openings on demand */
    int64_t open_jitter;      /* random part of it, in thousandths */
};

struct pooled_link {
    struct member *member;
    char *account; /* whose requests it serves; NULL: those of no account */
    struct member_link *codec_link;
    enum link_state state;
    bool as_primary; /* granted as a connection to the primary */
    uint64_t epoch;  /* of the primary when the link was granted */
    bool evictable; /* need not be kept for a request that waits for it: it was
                       granted, or that request was withdrawn */
    bool rested;    /* the transaction has waited for a statement */
    bool active;    /* counts towards the member's limit of statements */
    int outstanding; /* requests without an answer */
    bool timed;      /* the outstanding request is a statement, whose time
                        counts in mean_statement_us */
    clock_ms sent_at;
    clock_ms changed_at;       /* last change of state */
    bool lease_at_send;        /* the lease was valid at sent_at */
    struct token min_position; /* position that the last request required */
    struct link_setup *setup;
    const struct pooled_user *user;
    void *ctx;
};

struct service {
    char *name;
    char *failure_domain;
    const struct member_codec *codec;
    bool (*lease_valid)(void *ctx, const char *service, clock_ms now);
    clock_ms (*now)(void *ctx);
    void *ctx;
    GPtrArray *members; /* of struct member */
    GQueue queue;       /* of struct connection_request; order: see queue.c */
    struct turns *turns;
    struct connection_limits limits; /* of each member */
    struct rng rng;
    uint64_t epoch;                /* of the primary */
    char primary[MEMBER_ID_BYTES]; /* empty if unknown */
    bool primary_changing;
    clock_ms primary_changed_at;
    clock_ms resumed_at;        /* the process was suspended until then */
    clock_ms lease_lost_at;     /* 0 while the lease is valid */
    clock_ms lease_regained_at; /* 0 if it was never lost */
    clock_ms ticked_at;         /* last call of service_tick() */
    struct position_samples position_samples; /* of the primary's position */
    /* Reads that may still go to the primary because the replicas lag, in
       thousandths. */
    int lagged_reads_credit;
    bool refreshes_position;
    clock_ms position_asked_at; /* by service_refresh_position() */
    bool dispatching;
    bool dispatch_again; /* service_dispatch() was called while dispatching */
    struct service_counters counters;
};

/* service.c */
clock_ms service_now(const struct service *s);
clock_ms clock_later(clock_ms a, clock_ms b);
struct member *service_find_member(const struct service *s, const char *id);

/* position_refresh.c */
void service_refresh_position(struct service *s, clock_ms now);

/* links.c */
void member_mark_reachable(struct member *m, clock_ms now);
void member_mark_unreachable(struct member *m, const char *why, clock_ms now);
void link_drop(struct pooled_link *l, const char *why);
void link_make_idle(struct pooled_link *l, clock_ms now);
void link_open(struct member *m, const char *account, clock_ms now);
bool link_serves(const struct pooled_link *l, const struct account *a);
bool account_equal(const struct account *a, const struct account *b);
void member_free(struct member *m, const char *why);
bool link_is_outdated(const struct pooled_link *l);

void member_opening_ended(struct member *m, int64_t took_ms, clock_ms now);
void member_opening_refused(struct member *m, clock_ms now);
int64_t member_opening_us(const struct member *m, clock_ms now);
clock_ms member_open_from(const struct member *m);
int64_t link_waited_ms(const struct pooled_link *l, clock_ms now);

/* upkeep.c */
void service_update_home(struct service *s);
bool link_is_kept(const struct pooled_link *l);

/* queue.c */
void service_queue_remove(struct service *s, struct connection_request *w,
                          bool served);
int64_t service_expected_wait_ms(const struct service *s,
                                 const struct connection_request *w,
                                 int *ahead);

/* candidates.c */
struct pooled_link *candidate_idle_link(const struct member *m,
                                        const struct connection_request *w);
struct pooled_link *member_longest_idle(const struct member *m, clock_ms now);
bool member_must_evict(const struct member *m, clock_ms now);
struct placement_member candidate_describe(const struct member *m,
                                           const struct connection_request *w,
                                           bool lease, clock_ms now);
bool candidates_weigh_lag(const struct service *s, struct placement_member *p,
                          int n, const struct connection_request *w,
                          clock_ms now);

/* dispatch.c */
bool service_may_use_primary(const struct service *s, clock_ms now);
void service_decide(const struct service *s, struct connection_request *w,
                    bool lease, clock_ms now, struct placement_decision *d);
void service_dispatch(struct service *s);

#endif
