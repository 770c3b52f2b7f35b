#ifndef TESTS_RELAY_PACE_POLICIES_H
#define TESTS_RELAY_PACE_POLICIES_H

#include "relay/member_pace.h"

/* Ways to limit a proxy's work at a member, for comparison in the model. */

enum policy {
    POLICY_NONE,       /* no limit but the number of connections */
    POLICY_FIXED,      /* grows to the maximum within a fixed time */
    POLICY_AIMD,       /* fixed step per answer, halved on a refusal */
    POLICY_SLOW_START, /* doubled until the first refusal, then as AIMD */
    POLICY_GRADIENT,   /* ratio of long-term and short-term latency */
    POLICY_PACE,       /* src/relay/member_pace.c */
    POLICIES,
};

struct policy_state {
    enum policy policy;
    int max;
    struct rng *rng;
    struct member_pace pace;
    double limit;
    double short_ms;
    double long_ms;
    double threshold;
    clock_ms since;
};

const char *policy_name(enum policy policy);
void policy_init(struct policy_state *s, enum policy policy, int max,
                 int proxies, clock_ms now, struct rng *rng);
bool policy_may_send(const struct policy_state *s, int in_progress,
                     clock_ms now);
bool policy_may_open(const struct policy_state *s, int in_progress,
                     clock_ms now);
clock_ms policy_earliest(const struct policy_state *s);
void policy_sent(struct policy_state *s, clock_ms now);
void policy_opened(struct policy_state *s);
void policy_served(struct policy_state *s, int64_t ms, int in_progress,
                   clock_ms now);
void policy_refused(struct policy_state *s, bool connection, clock_ms now);
void policy_lost(struct policy_state *s, clock_ms now);
void policy_unreachable(struct policy_state *s, clock_ms now);
void policy_reachable(struct policy_state *s, clock_ms now);

#endif
