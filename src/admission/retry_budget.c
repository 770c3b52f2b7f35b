#include "admission/retry_budget.h"

#define MILLI ((int64_t)1000)
/* A tenth of a retry is earned per call, so retries add at most 10 % load in
   the long run. */
#define EARNED_MILLI 100
/* Saved-up retries cover a short fault at low traffic. */
#define CAPACITY_MILLI (10 * MILLI)
/* Beyond this the doubled delay is over any ceiling and would overflow. */
#define MAX_DOUBLINGS 20

/* Starts with a full budget, so that a proxy that has just started can retry.
   Source of the idea: RetryBudget of the Firefly resilience library, which
   counts calls and retries instead of measuring rates over time windows. */
void
retry_budget_init(struct retry_budget *b)
{
    *b = (struct retry_budget){.balance_milli = CAPACITY_MILLI};
}

/* Credits one first attempt. Retries themselves earn nothing. */
void
retry_budget_on_call(struct retry_budget *b)
{
    b->balance_milli += EARNED_MILLI;
    if (b->balance_milli > CAPACITY_MILLI) {
        b->balance_milli = CAPACITY_MILLI;
    }
}

/* Spends one retry. Returns false when less than a whole one is left. */
bool
retry_budget_take(struct retry_budget *b)
{
    if (b->balance_milli < MILLI) {
        b->denied++;
        return false;
    }
    b->balance_milli -= MILLI;
    b->spent++;
    return true;
}

/* Sets retry_at to a time chosen evenly from the exponential delay of the
   attempt (1 for the first retry), so that callers that failed together do
   not return together (full jitter). Returns false when that time is not
   before the deadline. */
bool
retry_backoff_next(const struct retry_backoff *backoff, struct rng *rng,
                   clock_ms now, clock_ms deadline_at, int attempt,
                   clock_ms *retry_at)
{
    int doublings = attempt - 1 < MAX_DOUBLINGS ? attempt - 1 : MAX_DOUBLINGS;
    clock_ms bound = backoff->base << (doublings < 0 ? 0 : doublings);

    if (bound > backoff->ceiling) {
        bound = backoff->ceiling;
    }
    *retry_at = now + (clock_ms)rng_below(rng, (uint64_t)bound + 1);
    return *retry_at < deadline_at;
}
