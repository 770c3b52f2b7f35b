#ifndef FAILOVER_INTERNAL_H
#define FAILOVER_INTERNAL_H

/* State machine data and functions shared by the files of src/failover. */

#include "failover/failover.h"
#include "failover/round.h"

enum switch_reason {
    SWITCH_OPERATOR, /* requested by an operator */
    SWITCH_LEAVING,  /* the primary is leaving the group */
    /* The primary is kept but gets a new term, which readmits the members
       that sealed a higher term without a promotion following. */
    SWITCH_REPAIR,
};

struct planned_switch {
    enum switch_reason reason;
    int target; /* or FAILOVER_NO_MEMBER for the best member */
    clock_ms started_at;
    clock_ms deadline;
    int consecutive_failures;
    clock_ms leaving_retry_due; /* additional limit for SWITCH_LEAVING */
    clock_ms retry_due;         /* earliest start of an automatic switch */
};

/* Times that are not set are -1. */
struct failover {
    struct failover_settings params;          /* copy of config.settings */
    const struct failover_actions *callbacks; /* config.actions */
    void *ctx;
    struct rng *rng;
    uint32_t proxy_id;
    int rank;
    clock_ms now; /* time of the newest input */
    uint64_t last_call_id;

    enum failover_state state;
    struct members members;
    struct round round;
    struct planned_switch switch_state;
    struct failover_counters counters;

    int announced_primary; /* or FAILOVER_NO_MEMBER */
    int known_primary;     /* the newest, even if taken as lost */
    uint64_t term;         /* of known_primary */
    clock_ms primary_adopted_at;
    clock_ms primary_answered_at; /* last answer as a working primary */

    clock_ms suspect_since;
    clock_ms round_due; /* earliest start of a round while SUSPECT */
    uint64_t highest_term_when_scheduled; /* when round_due was set */
    bool confirm_logged; /* event "confirm", since suspect_since */
    int failed_rounds;   /* consecutive */

    clock_ms following_until;
    uint64_t follow_call_id[FAILOVER_MAX_MEMBERS]; /* 0: none in flight */
    clock_ms stranded_since; /* a member sealed a term above the primary's */
    int64_t repair_jitter_ms;
    clock_ms leaving_since; /* the primary is leaving and replaceable */

    int running_transactions;       /* on the primary, through this proxy */
    bool own_write_hold;            /* for a planned switch of this proxy */
    clock_ms peer_write_hold_until; /* for a planned switch of a peer */
    bool writes_held;               /* last value passed to hold_writes() */
};

/* failover.c */
uint64_t failover_next_call_id(struct failover *f);
void failover_log(struct failover *f, enum log_level level, const char *step,
                  int member, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));
void failover_announce_primary(struct failover *f, int member, uint64_t term);
void failover_update_write_hold(struct failover *f);
int64_t failover_start_delay_ms(struct failover *f);

/* watch.c */
void watch_probe(struct failover *f, int member);
void watch_probe_all(struct failover *f);
void watch_send_due_probes(struct failover *f);
void watch_adopt_primary(struct failover *f, int member, uint64_t term);
void watch_enter_suspect(struct failover *f, int64_t wait_ms);
void watch_handle_primary_lost(struct failover *f, const char *why);
void watch_handle_probe_answer(struct failover *f, int member);
void watch_watching_step(struct failover *f);
bool watch_primary_lost_quorum(const struct failover *f);
void watch_suspect_step(struct failover *f);

/* promote.c */
void promote_start_round(struct failover *f, int preferred, int seal_first);
void promote_fail_round(struct failover *f, const char *why);
void promote_complete_round(struct failover *f);
void promote_sealing_step(struct failover *f);
void promote_promoting_step(struct failover *f);
void promote_handle_lost_answer(struct failover *f);
void promote_handle_still_replica(struct failover *f);
void promote_send_follow(struct failover *f, int member);

/* switch.c */
bool switch_start(struct failover *f, enum switch_reason reason, int target);
void switch_step(struct failover *f);
void switch_cancel(struct failover *f, const char *why);
void switch_start_automatic(struct failover *f);

#endif
