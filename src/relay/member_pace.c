#include "relay/member_pace.h"

#include <float.h>
#include <glib.h>

/* Work that all proxies together may have in progress when a member has just
   started. Answers double it, so that 134 proxies reach 0.9 of a member's
   capacity within 1.4 s. */
#define START_IN_PROGRESS 7.0f
/* The least that is left after refusals, so that the proxies keep trying. */
#define FLOOR_IN_PROGRESS 3.0f
/* The least that is left at a member that is slow but refuses nothing. With
   less, each of many proxies would get answers too rarely to notice that the
   member's queue is gone. */
#define SLOW_IN_PROGRESS 48.0f
/* Time over which the first tries of the proxies are spread, per proxy.
   Opening a connection takes a slot of the member for 12 ms, and members have
   at least four slots. */
#define SPREAD_PER_PROXY_MS 3
/* The same for the first writes at a promoted member, to which connections may
   be open. */
#define PROMOTED_SPREAD_PER_PROXY_MS 1
/* Assumed latency while none is known. */
#define FIRST_LATENCY_MS 25.0f
/* Growth per answer outside of the ramp while the latency is the usual one, as
   a part of the limit or of one statement. */
#define GROWTH 0.5f
/* The same above the limit at which the member last refused work. The quotient
   of this and DECREASE is the share of refusals to which a fleet with too much
   work settles if latencies give no warning. */
#define GROWTH_REFUSED 0.02f
#define DECREASE 0.5f
#define DECREASE_SLOW 0.85f
/* A lower limit is raised to QUIET_LIMIT after QUIET_MS without a decrease,
   while answers are fast and none was a refusal: a proxy that sends little
   gets too few answers to double it. Two, since a transaction may use one. */
#define QUIET_LIMIT 2.0f
#define QUIET_MS 3000
#define QUIET_REFUSED 0.02f
/* Multiples of the usual latency: up to the first one, another connection may
   be opened; up to the second, the limit grows; above the third, it shrinks.
   Cold caches make a member less than twice as slow. */
#define OPEN_BELOW 2.0f
#define GROW_BELOW 4.5f
#define SHRINK_ABOVE 6.0f
/* Weights of an answer in the short-term mean. A fast answer proves that the
   member has no long queue; a slow one may be a long statement. */
#define RECENT_FALL_WEIGHT 0.6f
#define RECENT_RISE_WEIGHT 0.25f
/* Weight in the long-term mean while answers are faster than that. While they
   are slower, it follows them with the time constant, so that a lasting change
   is accepted in the end and a queue is not. */
#define USUAL_FALL_WEIGHT 0.2f
#define USUAL_RISE_MS 60000.0f
/* The first answers have equal weights in both means. */
#define FIRST_ANSWERS 8
/* Greatest latency, as a multiple of the usual one, from which the time
   between two statements is computed. */
#define INTERVAL_MAX 3.0f
/* Delay of the next connection attempt after one was refused because the
   member has too many connections, and how often it doubles. */
#define FULL_DELAY_MS 100
#define FULL_DOUBLINGS 4
/* Weight of an outcome in the shares of refusals and failures, and the shares
   above which a member counts as full or failing. */
#define SHARE_WEIGHT 0.125f
#define FULL_ABOVE 0.1f
#define FAILING_ABOVE 0.2f
/* So many timeouts without an answer in between mean silence. */
#define SILENT_TIMEOUTS 2

static float
share_of_fleet(const struct member_pace *p, float in_progress)
{
    return MIN(in_progress / (float)MAX(p->proxies, 1), 1.0f);
}

static float
expected_ms(const struct member_pace *p)
{
    return p->recent_ms > 0 ? p->recent_ms : FIRST_LATENCY_MS;
}

/* Returns the time between two statements at the current limit. High latencies
   are not used in full: they are old when this proxy has sent little since. */
static float
interval_ms(const struct member_pace *p)
{
    const float ms = p->usual_ms > 0
                         ? MIN(p->recent_ms, p->usual_ms * INTERVAL_MAX)
                         : FIRST_LATENCY_MS;

    return p->limit < 1 ? ms / p->limit : 0;
}

/* Returns the recent latency as a multiple of the usual one. */
static float
slowness(const struct member_pace *p)
{
    return p->usual_ms > 0 ? p->recent_ms / p->usual_ms : 1.0f;
}

static int64_t
random_below(struct rng *rng, float bound_ms)
{
    return (int64_t)rng_below(rng, (uint64_t)MAX(bound_ms, 0) + 1);
}

static void
add_outcome(struct member_pace *p, bool refused, bool failed)
{
    p->refused += ((refused ? 1.0f : 0.0f) - p->refused) * SHARE_WEIGHT;
    p->failed += ((failed ? 1.0f : 0.0f) - p->failed) * SHARE_WEIGHT;
}

/* Lowers the limit, but only once for the work of one round trip: what was
   sent before the last decrease says nothing about the new limit. Returns true
   if it did. */
static bool
decrease(struct member_pace *p, float factor, float floor_in_progress,
         clock_ms now)
{
    p->ramping = false;
    if (now - p->decreased_at < (clock_ms)expected_ms(p)) {
        return false;
    }
    p->decreased_at = now;
#ifndef RELAY_BREAK_NO_DECREASE
    const float least = share_of_fleet(p, floor_in_progress);
    p->limit = MIN(p->limit, MAX(p->limit * factor, least));
#else
    (void)factor;
    (void)floor_in_progress;
#endif
    return true;
}

/* Delays the next statement by a random time of one interval on average. */
static void
put_off(struct member_pace *p, clock_ms now, struct rng *rng)
{
    const float ms = MAX(interval_ms(p), expected_ms(p));

    p->next_at =
        MAX(p->next_at, now + (int64_t)(ms / 2) + random_below(rng, ms));
}

void
member_pace_set_proxies(struct member_pace *p, int proxies)
{
    p->proxies = (uint16_t)CLAMP(proxies, 1, UINT16_MAX);
}

/* Begins a ramp: a small limit for all proxies together, which answers
   double. A promoted member keeps half of its limit if that is more, since it
   has answered so far. */
void
member_pace_start(struct member_pace *p, enum pace_start why, clock_ms now,
                  struct rng *rng)
{
#ifdef RELAY_BREAK_NO_RAMP_AFTER_LOSS
    if (p->usual_ms > 0) {
        return;
    }
#endif
    const float first = share_of_fleet(p, START_IN_PROGRESS);

    p->ceiling = FLT_MAX;
    p->limit = why == PACE_START_PROMOTED ? MAX(p->limit / 2, first) : first;
    p->ramping = true;
    p->unused = false;
    p->decreased_at = now;
    if (why != PACE_START_PROMOTED) {
        p->recent_ms = p->usual_ms; /* its queue is empty */
    }
    p->silent = 0;
    p->refused = 0;
    p->failed = 0;
    if (why != PACE_START_REACHABLE) {
        const int per_proxy_ms = why == PACE_START_NEW
                                     ? SPREAD_PER_PROXY_MS
                                     : PROMOTED_SPREAD_PER_PROXY_MS;
        p->next_at =
            now + random_below(rng, (float)(per_proxy_ms * (p->proxies - 1)));
    }
}

/* Sets up the state for a member that has become known. */
void
member_pace_init(struct member_pace *p, int proxies, clock_ms now,
                 struct rng *rng)
{
    *p = (struct member_pace){.answered_at = now, .decreased_at = now};
    member_pace_set_proxies(p, proxies);
    member_pace_start(p, PACE_START_NEW, now, rng);
    p->unused = true;
}

/* Returns true if more work may be sent to a member that has so much in
   progress for this proxy. */
bool
member_pace_may_send(const struct member_pace *p, int in_progress,
                     clock_ms now)
{
    return now >= p->next_at && in_progress < MAX((int)p->limit, 1);
}

/* Returns true if a connection may be opened, in addition to those in use. At
   a slow member, a second one would only hold another place in its queue. */
bool
member_pace_may_open(const struct member_pace *p, int in_progress,
                     clock_ms now)
{
    return now >= p->open_at && member_pace_may_send(p, in_progress, now) &&
           (in_progress == 0 || slowness(p) < OPEN_BELOW);
}

/* Called when a statement is sent or a connection attempt begins. */
void
member_pace_sent(struct member_pace *p, clock_ms now, struct rng *rng)
{
    if (p->limit < QUIET_LIMIT && now - p->decreased_at >= QUIET_MS &&
        p->refused < QUIET_REFUSED && slowness(p) < OPEN_BELOW) {
        p->limit = QUIET_LIMIT;
    }
    const float ms = interval_ms(p);
    if (ms > 0) {
        p->next_at = now + (int64_t)(ms * 0.75f) + random_below(rng, ms / 2);
    }
}

/* Raises the limit after an answer, up to max. */
static void
increase(struct member_pace *p, int max)
{
    const float growth = p->limit < p->ceiling ? GROWTH : GROWTH_REFUSED;
    const float part =
        p->ramping ? 1.0f : growth * MIN(GROW_BELOW - slowness(p), 1.0f);

    p->limit += MIN(p->limit, 1.0f) * MAX(part, 0.0f);
    p->limit = MIN(p->limit, (float)MAX(max, 1));
    if (p->limit >= (float)max) {
        p->ramping = false;
    }
}

/* Called when the member has accepted a connection. The time that it took is
   not compared with that of statements. The first statement at a member that
   is new to this proxy is not delayed again after the opening: with 134
   proxies it would have waited 0.8 s in all. */
void
member_pace_opened(struct member_pace *p, int max)
{
    p->silent = 0;
    p->full -= p->full > 0;
    if (p->unused) {
        p->next_at = 0;
        p->unused = false;
    }
    if (p->ramping) {
        increase(p, max);
    }
}

static void
add_latency(struct member_pace *p, float ms, clock_ms now)
{
    const float elapsed_ms = (float)(now - p->answered_at);

    p->answered_at = now;
    if (p->answers < FIRST_ANSWERS) {
        p->answers++;
    }
    const float first =
        p->answers < FIRST_ANSWERS ? 1.0f / (float)p->answers : 0.0f;
    const float recent =
        ms < p->recent_ms ? RECENT_FALL_WEIGHT : RECENT_RISE_WEIGHT;
    p->recent_ms += (ms - p->recent_ms) * MAX(recent, first);
    const float weight =
        p->recent_ms < p->usual_ms
            ? USUAL_FALL_WEIGHT
            : MIN(elapsed_ms / USUAL_RISE_MS, USUAL_FALL_WEIGHT);
    p->usual_ms += (p->recent_ms - p->usual_ms) * MAX(weight, first);
}

/* Called when a statement was served; in_progress is the work that this proxy
   had at the member until then. The limit grows only if it was used. Returns
   true if the limit was lowered. */
bool
member_pace_served(struct member_pace *p, int64_t latency_ms, int in_progress,
                   int max, clock_ms now)
{
    p->silent = 0;
    add_latency(p, (float)MAX(latency_ms, 1), now);
    add_outcome(p, false, false);
    if (slowness(p) > SHRINK_ABOVE) {
        return decrease(p, DECREASE_SLOW, SLOW_IN_PROGRESS, now);
    }
    if (slowness(p) < GROW_BELOW && (float)in_progress >= p->limit / 2) {
        increase(p, max);
    }
    return false;
}

/* Called when the member answered that it could not do what it should have
   done. Its latency is not used: fast failures would look like a fast member.
   Returns true if the limit was lowered. */
bool
member_pace_failed(struct member_pace *p, clock_ms now, struct rng *rng)
{
    p->silent = 0;
    add_outcome(p, false, true);
    if (p->failed <= FAILING_ABOVE) {
        return false;
    }
    put_off(p, now, rng);
    return decrease(p, DECREASE, FLOOR_IN_PROGRESS, now);
}

/* Called when the member refused work because its queue is full. Returns true
   if the limit was lowered. */
bool
member_pace_refused(struct member_pace *p, clock_ms now, struct rng *rng)
{
    p->silent = 0;
    add_outcome(p, true, false);
    const bool lowered = decrease(p, DECREASE, FLOOR_IN_PROGRESS, now);
    if (lowered) {
        p->ceiling = p->limit;
    }
    put_off(p, now, rng);
    return lowered;
}

/* Called when the member refused a connection because it has too many. The
   delay of the next attempt doubles with each refusal, and halves again with
   each connection that is accepted. Statements on open connections are not
   delayed. Returns true if the limit was lowered. */
bool
member_pace_refused_connection(struct member_pace *p, clock_ms now,
                               struct rng *rng)
{
    const float ms = (float)(FULL_DELAY_MS << MIN(p->full, FULL_DOUBLINGS));

    p->silent = 0;
    p->full = MIN(p->full + 1, FULL_DOUBLINGS);
    p->open_at = now + (int64_t)(ms / 2) + random_below(rng, ms);
    add_outcome(p, true, false);
    return decrease(p, DECREASE, FLOOR_IN_PROGRESS, now);
}

/* Called when an answer is overdue. After several in a row the member gets one
   statement at a time until it answers. Returns true if the limit was
   lowered. */
bool
member_pace_timed_out(struct member_pace *p, clock_ms now, struct rng *rng)
{
    p->silent = (uint8_t)MIN(p->silent + 1, UINT8_MAX);
    const bool lowered =
        decrease(p, p->silent >= SILENT_TIMEOUTS ? 0.0f : DECREASE,
                 FLOOR_IN_PROGRESS, now);
    if (p->silent >= SILENT_TIMEOUTS) {
        p->ramping = true;
    }
    put_off(p, now, rng);
    return lowered;
}

/* Called when the member closed a connection. It may have restarted, so the
   ramp begins again. The next attempt is not delayed: it shows whether the
   member is down, which the change of a primary must learn soon. */
void
member_pace_lost(struct member_pace *p, clock_ms now, struct rng *rng)
{
    member_pace_start(p, PACE_START_REACHABLE, now, rng);
    p->next_at = now;
}

/* Called when the member did not accept a connection. The next attempts of the
   proxies are spread, since all have found it unreachable at the same time. */
void
member_pace_unreachable(struct member_pace *p, clock_ms now, struct rng *rng)
{
    member_pace_start(p, PACE_START_NEW, now, rng);
}

const char *
pace_decrease_name(enum pace_decrease why)
{
    static const char *const names[PACE_DECREASES] = {
        "busy", "connections", "timeout", "lost", "failed", "slow",
    };
    return names[why];
}

/* Returns what the latest answers say about the member. */
enum pace_condition
member_pace_condition(const struct member_pace *p)
{
    if (p->silent >= SILENT_TIMEOUTS) {
        return PACE_SILENT;
    }
    if (p->refused > FULL_ABOVE) {
        return PACE_FULL;
    }
    if (p->failed > FAILING_ABOVE) {
        return PACE_FAILING;
    }
    return slowness(p) >= GROW_BELOW ? PACE_SLOW : PACE_NORMAL;
}
