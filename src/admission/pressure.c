#include "admission/pressure.h"

/* Interval between two increases of shedding, so that the effect of one shows
   before the next. */
#define SHED_STEP_MS 20
/* One rank is admitted again after this time without a delay over the target.
   Longer than SHED_STEP_MS, so that shedding starts fast and ends slowly. */
#define RELAX_MS 300
/* The same for batch kinds. A batch statement occupies one of a member's slots
   for hundreds of milliseconds and only stragglers are cancelled, so admitting
   one too early during a load peak halves the member's capacity for that
   time. */
#define BATCH_RELAX_MS 10000

/* Batch kinds that are shed on a member stay shed while at least this share of
   its short requests waits longer than WAIT_THRESHOLD_MS. In
   tests/admission/model_queue.c (seeds 1 and 5) the share is under 8 % when
   filings run beside batches, and mostly above it at peak load. */
#define BUSY_SHARE_PERMILLE 100
#define WAIT_THRESHOLD_MS 2
/* Number of grants over which the moving share averages, roughly. */
#define WAIT_SHARE_SPAN 64

/* Starts without load shedding. */
void
pressure_init(struct pressure *p, int rank_count, uint32_t batch_ranks)
{
    *p = (struct pressure){
        .rank_count = rank_count,
        .level = rank_count,
        .batch_ranks = batch_ranks,
        .over_target_since = CLOCK_NEVER,
        .level_changed_at = -SHED_STEP_MS,
    };
}

/* Records the queue delay of a short request of the given rank. When all
   delays have been over the target for SHED_STEP_MS, sheds one more rank: the
   least important first, and never the delayed rank itself. A short burst
   followed by a delay within the target sheds nothing. Returns true when the
   level has changed. */
bool
pressure_report_delay(struct pressure *p, clock_ms now, int rank,
                      clock_ms delay)
{
    if (rank >= p->rank_count - 1) {
        return false;
    }
    p->waited_permille_scaled += (delay > WAIT_THRESHOLD_MS ? 1000 : 0) -
                                 p->waited_permille_scaled / WAIT_SHARE_SPAN;
    if (p->waited_permille_scaled / WAIT_SHARE_SPAN >= BUSY_SHARE_PERMILLE) {
        p->last_busy_at = now;
    }
    if (delay <= PRESSURE_TARGET_MS) {
        p->over_target_since = CLOCK_NEVER;
        return false;
    }
    if (p->over_target_since == CLOCK_NEVER) {
        p->over_target_since = now;
    }
    p->last_over_target_at = now;
    if (p->level - 1 <= rank || now - p->over_target_since < SHED_STEP_MS ||
        now - p->level_changed_at < SHED_STEP_MS) {
        return false;
    }
    p->level--;
    p->level_changed_at = now;
    return true;
}

/* Admits one more rank when no delay was over the target for the relax time.
   Returns true when the level has changed. */
bool
pressure_relax(struct pressure *p, clock_ms now)
{
    if (now < pressure_next_relax(p)) {
        return false;
    }
    p->level++;
    p->level_changed_at = now;
    p->last_over_target_at = now;
    return true;
}

bool
pressure_sheds(const struct pressure *p, int rank)
{
    return rank >= p->level;
}

/* Returns the time from which pressure_relax() has an effect; CLOCK_NEVER when
   nothing is shed. */
clock_ms
pressure_next_relax(const struct pressure *p)
{
    if (p->level == p->rank_count) {
        return CLOCK_NEVER;
    }
    if ((p->batch_ranks >> p->level & 1) == 0) {
        return p->last_over_target_at + RELAX_MS;
    }
    return (p->last_busy_at > p->last_over_target_at
                ? p->last_busy_at
                : p->last_over_target_at) +
           BATCH_RELAX_MS;
}
