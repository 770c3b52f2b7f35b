#include "admission/retry_budget.h"

#define ONE_RETRY_MILLI ((int64_t)1000)
/* Each call earns a tenth of a retry, so that retries add at most 10 % load in
   the long run. */
#define EARNED_PER_CALL_MILLI 100
/* Unspent credit covers retries during a short fault at low traffic. */
#define CAPACITY_MILLI (10 * ONE_RETRY_MILLI)
/* Further doublings exceed any ceiling and would overflow. */
#define MAX_BACKOFF_DOUBLINGS 20

/* Starts with a full budget, so that a proxy can retry right after its start.
   The design follows RetryBudget of the Firefly resilience library, which
   counts calls and retries instead of measuring rates over time windows. */
void
retry_budget_init(struct retry_budget *b)
{
    *b = (struct retry_budget){.balance_milli = CAPACITY_MILLI};
}

/* Credits the first attempt of a call. Retries earn nothing. */
void
retry_budget_on_call(struct retry_budget *b)
{
    b->balance_milli += EARNED_PER_CALL_MILLI;
    if (b->balance_milli > CAPACITY_MILLI) {
        b->balance_milli = CAPACITY_MILLI;
    }
}

/* Spends one retry. Returns false when the balance is too low. */
bool
retry_budget_take(struct retry_budget *b)
{
    if (b->balance_milli < ONE_RETRY_MILLI) {
        b->denied++;
        return false;
    }
    b->balance_milli -= ONE_RETRY_MILLI;
    b->spent++;
    return true;
}

/* Computes the time of a retry; attempt is 1 for the first one. The delay is
   uniformly distributed between 0 and the exponential backoff (full jitter),
   so that callers that failed together do not retry together. Returns false
   when retry_at is not before the deadline. */
bool
retry_backoff_next(const struct retry_backoff *backoff, struct rng *rng,
                   clock_ms now, clock_ms deadline_at, int attempt,
                   clock_ms *retry_at)
{
    int doublings = attempt - 1 < MAX_BACKOFF_DOUBLINGS
                        ? attempt - 1
                        : MAX_BACKOFF_DOUBLINGS;
    clock_ms bound = backoff->base << (doublings < 0 ? 0 : doublings);

    if (bound > backoff->ceiling) {
        bound = backoff->ceiling;
    }
    *retry_at = now + (clock_ms)rng_below(rng, (uint64_t)bound + 1);
    return *retry_at < deadline_at;
}
