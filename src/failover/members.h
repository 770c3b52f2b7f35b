#ifndef FAILOVER_MEMBERS_H
#define FAILOVER_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#define FAILOVER_MAX_MEMBERS 9
#define FAILOVER_NO_MEMBER (-1)
/* Probes in flight per member. 2 suffice for the default probe interval and
   timeout; a planned switch probes more often. */
#define FAILOVER_PROBE_SLOTS 4

enum failover_role {
    FAILOVER_ROLE_REPLICA,
    FAILOVER_ROLE_PRIMARY,
};

/* Answer of group_state() on one member. */
struct failover_probe_answer {
    uint64_t term;     /* in which the member is primary or follows one */
    uint64_t position; /* of the newest entry known to be replicated */
    enum failover_role role;
    int64_t silence_ms; /* since the member last heard from its primary */
    uint64_t sealed;    /* highest sealed term; lower ones are rejected */
    int64_t rtt_us;     /* round-trip time, measured by the caller */
};

struct probe_slot {
    uint64_t call_id; /* 0 marks a free slot */
    clock_ms sent_at;
};

/* What this proxy knows about one member. */
struct member_view {
    char *domain; /* failure domain, or NULL */
    bool leaving;
    struct failover_probe_answer last_answer;
    clock_ms answered_probe_sent_at; /* of last_answer, or -1 */
    clock_ms probe_due;
    int64_t consecutive_failures; /* of probes */
    struct probe_slot probe_slots[FAILOVER_PROBE_SLOTS];
    clock_ms not_following_since; /* not following the primary, or -1 */
    clock_ms follow_due;          /* earliest time of the next follow call */
};

/* Members are addressed by their index, 0..count-1. */
struct members {
    int count;
    struct member_view view[FAILOVER_MAX_MEMBERS];
};

void members_init(struct members *m, int count, const char *const *domains);
void members_clear(struct members *m);
int members_majority_size(const struct members *m);
void members_probe_sent(struct members *m, int i, uint64_t call_id,
                        clock_ms now);
bool members_record_answer(struct members *m, int i, uint64_t call_id,
                           const struct failover_probe_answer *answer);
bool members_record_failure(struct members *m, int i, uint64_t call_id);
void members_expire_probes(struct members *m, int i, clock_ms now,
                           int64_t timeout_ms);
bool members_has_probe_in_flight(const struct members *m, int i);
void members_reset_probes(struct members *m);
bool members_has_fresh_answer(const struct members *m, int i, clock_ms since);
int members_count_fresh_answers(const struct members *m, clock_ms since);
int members_count_sealed_above(const struct members *m, uint64_t term);
uint64_t members_highest_term(const struct members *m);
bool members_majority_hears_primary(const struct members *m, clock_ms since,
                                    uint64_t known_term, int64_t bound_ms);

#endif
