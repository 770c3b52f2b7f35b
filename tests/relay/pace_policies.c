#include "relay/pace_policies.h"

#include <glib.h>
#include <math.h>

#define FIXED_RAMP_MS 2000
#define AIMD_STEP 0.25

const char *
policy_name(enum policy policy)
{
    static const char *const names[POLICIES] = {
        "none", "fixed", "aimd", "slow_start", "gradient", "pace",
    };
    return names[policy];
}

void
policy_init(struct policy_state *s, enum policy policy, int max, int proxies,
            clock_ms now, struct rng *rng)
{
    *s = (struct policy_state){.policy = policy,
                               .max = max,
                               .rng = rng,
                               .limit = 2,
                               .threshold = max,
                               .since = now - FIXED_RAMP_MS};
    member_pace_init(&s->pace, proxies, now, rng);
}

static double
current_limit(const struct policy_state *s, clock_ms now)
{
    switch (s->policy) {
    case POLICY_NONE:
        return s->max;
    case POLICY_FIXED:
        return (double)s->max *
               MIN((double)(now - s->since) / FIXED_RAMP_MS, 1.0);
    default:
        return MIN(s->limit, s->max);
    }
}

bool
policy_may_send(const struct policy_state *s, int in_progress, clock_ms now)
{
    if (s->policy == POLICY_PACE) {
        return member_pace_may_send(&s->pace, in_progress, now);
    }
    return in_progress < MAX((int)current_limit(s, now), 1);
}

bool
policy_may_open(const struct policy_state *s, int in_progress, clock_ms now)
{
    if (s->policy == POLICY_PACE) {
        return member_pace_may_open(&s->pace, in_progress, now);
    }
    return policy_may_send(s, in_progress, now);
}

/* Returns the time before which an unreachable member is not tried again. */
clock_ms
policy_earliest(const struct policy_state *s)
{
    return s->policy == POLICY_PACE ? s->pace.next_at : 0;
}

void
policy_sent(struct policy_state *s, clock_ms now)
{
    if (s->policy == POLICY_PACE) {
        member_pace_sent(&s->pace, now, s->rng);
    }
}

void
policy_opened(struct policy_state *s)
{
    if (s->policy == POLICY_PACE) {
        member_pace_opened(&s->pace, s->max);
    }
}

static void
follow_gradient(struct policy_state *s, double ms)
{
    s->short_ms = s->short_ms == 0 ? ms : s->short_ms + (ms - s->short_ms) / 4;
    s->long_ms = s->long_ms == 0 ? ms : s->long_ms + (ms - s->long_ms) / 64;
    const double gradient = CLAMP(1.5 * s->long_ms / s->short_ms, 0.5, 1.0);
    const double wanted = s->limit * gradient + sqrt(s->limit);
    s->limit = CLAMP(s->limit + (wanted - s->limit) / 5, 1.0, (double)s->max);
}

void
policy_served(struct policy_state *s, int64_t ms, int in_progress,
              clock_ms now)
{
    switch (s->policy) {
    case POLICY_AIMD:
        s->limit = MIN(s->limit + AIMD_STEP, s->max);
        return;
    case POLICY_SLOW_START:
        s->limit += s->limit < s->threshold ? 1.0 : AIMD_STEP;
        s->limit = MIN(s->limit, s->max);
        return;
    case POLICY_GRADIENT:
        follow_gradient(s, (double)MAX(ms, 1));
        return;
    case POLICY_PACE:
        member_pace_served(&s->pace, ms, in_progress, s->max, now);
        return;
    default:
        return;
    }
}

void
policy_refused(struct policy_state *s, bool connection, clock_ms now)
{
    if (s->policy == POLICY_PACE && connection) {
        member_pace_refused_connection(&s->pace, now, s->rng);
        return;
    }
    if (s->policy == POLICY_PACE) {
        member_pace_refused(&s->pace, now, s->rng);
        return;
    }
    s->limit = MAX(s->limit / 2, 1.0);
    s->threshold = s->limit;
}

void
policy_lost(struct policy_state *s, clock_ms now)
{
    if (s->policy == POLICY_PACE) {
        member_pace_lost(&s->pace, now, s->rng);
    }
}

void
policy_reachable(struct policy_state *s, clock_ms now)
{
    s->since = now;
    s->limit = 1;
    s->threshold = s->max;
    if (s->policy == POLICY_PACE) {
        member_pace_start(&s->pace, PACE_START_REACHABLE, now, s->rng);
    }
}

void
policy_unreachable(struct policy_state *s, clock_ms now)
{
    if (s->policy == POLICY_PACE) {
        member_pace_unreachable(&s->pace, now, s->rng);
    }
}
