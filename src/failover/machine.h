#ifndef FAILOVER_MACHINE_H
#define FAILOVER_MACHINE_H

/* Private to src/failover: the state shared by its files. */

#include "failover/failover.h"
#include "failover/round.h"

enum switch_reason {
    SWITCH_OPERATOR,
    SWITCH_LEAVING,
    SWITCH_REPAIR, /* a member is stuck on a term that nobody completed */
};

struct planned_switch {
    enum switch_reason reason;
    int target; /* or FAILOVER_NOBODY */
    clock_ms started;
    clock_ms limit;
    int failed;           /* switches called off in a row */
    clock_ms leaving_due; /* the same for a leaving primary */
    clock_ms retry_due;   /* earliest start of the next automatic switch */
};

struct failover {
    struct failover_settings set;
    const struct failover_actions *act;
    void *ctx;
    struct rng *rng;
    uint32_t proxy_id;
    int rank;
    clock_ms now; /* time of the newest input */
    uint64_t last_call;

    enum failover_state state;
    struct members members;
    struct round round;
    struct planned_switch sw;
    struct failover_counters counters;

    int primary;   /* announced, or FAILOVER_NOBODY */
    int leader;    /* newest known, announced or not */
    uint64_t term; /* of leader */
    clock_ms adopted_at;
    clock_ms primary_seen; /* newest good answer of the primary */

    clock_ms suspect_since;
    clock_ms suspect_due;
    uint64_t suspect_sealed; /* highest term when suspect_due was set */
    bool elsewhere_noted;
    int attempts; /* rounds failed in a row */

    clock_ms following_until;
    uint64_t follow_call[FAILOVER_MEMBERS_MAX];
    clock_ms stranded_since; /* or -1 */
    int64_t repair_jitter_ms;
    clock_ms leaving_since; /* the primary is leaving, or -1 */

    int running; /* transactions on the primary */
    bool own_hold;
    clock_ms peer_hold_until; /* or -1 */
    bool holding;             /* as last announced */
};

/* failover.c */
uint64_t machine_next_call(struct failover *f);
void machine_note(struct failover *f, enum log_level level, const char *step,
                  int member, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));
void machine_announce(struct failover *f, int member, uint64_t term);
void machine_update_hold(struct failover *f);
int64_t machine_start_delay(struct failover *f);

/* watch.c */
void watch_probe(struct failover *f, int member);
void watch_probe_all(struct failover *f);
void watch_send_due(struct failover *f);
void watch_adopt(struct failover *f, int member, uint64_t term);
void watch_suspect(struct failover *f, int64_t wait_ms);
void watch_lose_primary(struct failover *f, const char *why);
void watch_answer(struct failover *f, int member);
void watch_step(struct failover *f);
bool watch_lost_quorum(const struct failover *f);
void watch_suspect_step(struct failover *f);

/* promote.c */
void promote_begin(struct failover *f, int preferred, int seal_first);
void promote_fail(struct failover *f, const char *why);
void promote_complete(struct failover *f);
void promote_seal_step(struct failover *f);
void promote_step(struct failover *f);
void promote_lost_answer(struct failover *f);
void promote_check(struct failover *f);
void promote_follow(struct failover *f, int member);

/* switch.c */
bool switch_start(struct failover *f, enum switch_reason reason, int target);
void switch_step(struct failover *f);
void switch_cancel(struct failover *f, const char *why);
void switch_automatic(struct failover *f);

#endif
