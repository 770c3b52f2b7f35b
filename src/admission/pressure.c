#include "admission/pressure.h"

/* At most one more rank is shed in this time, so that the effect of a step
   shows before the next. */
#define STEP_MS 20
/* A rank is admitted again after this time without a signal. Longer than a
   step, so that shedding starts fast and ends slowly. */
#define HOLD_MS 300
/* For batch kinds: one batch holds a slot for hundreds of milliseconds, and
   only stragglers are cancelled, so admitting it too early during a peak
   halves a member for that time. */
#define SLOW_HOLD_MS 10000

/* Batches stay out of a member while this share of its short work waits
   longer than WAITED_MS. In model_queue (seeds 1 and 5) the share is under
   8 % when filings run beside batches, and mostly above it at the peak. */
#define BUSY_PERMILLE 100
#define WAITED_MS 2
/* The moving share spans about this many grants. */
#define WAITED_SPAN 64

/* Starts with nothing shed. */
void
pressure_init(struct pressure *p, int ranks, uint32_t slow)
{
    *p = (struct pressure){
        .ranks = ranks,
        .level = ranks,
        .slow = slow,
        .above_since = CLOCK_NEVER,
        .changed_at = -STEP_MS,
    };
}

/* Notes how long short work of the given rank has waited. When the delay has
   been above the target without a break for the step time, sheds one more
   rank, the least important first and never the delayed one. A single burst
   that one good delay follows sheds nothing. Returns true when the level
   changed. */
bool
pressure_report(struct pressure *p, clock_ms now, int rank, clock_ms delay)
{
    if (rank >= p->ranks - 1) {
        return false;
    }
    p->waited += (delay > WAITED_MS ? 1000 : 0) - p->waited / WAITED_SPAN;
    if (p->waited / WAITED_SPAN >= BUSY_PERMILLE) {
        p->busy_at = now;
    }
    if (delay <= PRESSURE_TARGET_MS) {
        p->above_since = CLOCK_NEVER;
        return false;
    }
    if (p->above_since == CLOCK_NEVER) {
        p->above_since = now;
    }
    p->signalled_at = now;
    if (p->level - 1 <= rank || now - p->above_since < STEP_MS ||
        now - p->changed_at < STEP_MS) {
        return false;
    }
    p->level--;
    p->changed_at = now;
    return true;
}

/* Admits one more rank when no signal came for the hold time. Returns true
   when the level changed. */
bool
pressure_relax(struct pressure *p, clock_ms now)
{
    if (now < pressure_due(p)) {
        return false;
    }
    p->level++;
    p->changed_at = now;
    p->signalled_at = now;
    return true;
}

/* Returns true when work of the rank is shed on this member. */
bool
pressure_sheds(const struct pressure *p, int rank)
{
    return rank >= p->level;
}

/* Returns the time of the next call of pressure_relax that has an effect. */
clock_ms
pressure_due(const struct pressure *p)
{
    if (p->level == p->ranks) {
        return CLOCK_NEVER;
    }
    if ((p->slow >> p->level & 1) == 0) {
        return p->signalled_at + HOLD_MS;
    }
    return (p->busy_at > p->signalled_at ? p->busy_at : p->signalled_at) +
           SLOW_HOLD_MS;
}
