#ifndef FAILOVER_MEMBERS_H
#define FAILOVER_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#define FAILOVER_MEMBERS_MAX 9
#define FAILOVER_NOBODY (-1)
/* Probes in flight per member; the interval and timeout of the defaults need
   2, a planned switch needs more. */
#define FAILOVER_PROBE_SLOTS 4

enum failover_role {
    FAILOVER_ROLE_REPLICA,
    FAILOVER_ROLE_PRIMARY,
};

/* One answer of group_state(). term is the term the member leads or follows;
   sealed is the highest term sealed there; rtt_us was measured by the
   caller. */
struct failover_probe {
    uint64_t term;
    uint64_t position;
    enum failover_role role;
    int64_t silence_ms;
    uint64_t sealed;
    int64_t rtt_us;
};

struct probe_slot {
    uint64_t call; /* 0 marks a free slot */
    clock_ms sent;
};

/* What one proxy knows of one member. */
struct member_view {
    char *domain;
    bool leaving;
    struct failover_probe last;
    clock_ms answered_sent; /* send time of the newest answer, or -1 */
    clock_ms probe_due;
    int64_t failures; /* consecutive */
    struct probe_slot slots[FAILOVER_PROBE_SLOTS];
    clock_ms stray_since; /* not following the primary, or -1 */
    clock_ms follow_due;
};

struct members {
    int count;
    struct member_view view[FAILOVER_MEMBERS_MAX];
};

void members_init(struct members *m, int count, const char *const *domains);
void members_clear(struct members *m);
int members_majority(const struct members *m);
void members_sent(struct members *m, int i, uint64_t call, clock_ms now);
bool members_answer(struct members *m, int i, uint64_t call,
                    const struct failover_probe *answer);
bool members_fail(struct members *m, int i, uint64_t call);
void members_expire(struct members *m, int i, clock_ms now,
                    int64_t timeout_ms);
bool members_in_flight(const struct members *m, int i);
void members_forget_calls(struct members *m);
bool members_fresh(const struct members *m, int i, clock_ms since);
int members_fresh_count(const struct members *m, clock_ms since);
int members_sealed_above(const struct members *m, uint64_t term);
uint64_t members_highest_term(const struct members *m);
bool members_hear_primary(const struct members *m, clock_ms since,
                          uint64_t known_term, int64_t bound_ms);

#endif
