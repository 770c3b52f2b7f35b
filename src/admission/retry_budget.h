#ifndef ADMISSION_RETRY_BUDGET_H
#define ADMISSION_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/rng.h"

/* Token bucket that limits the retries of one proxy to one database. The
   balance is kept in thousandths of a retry, so that credits of a tenth add up
   without rounding. */
struct retry_budget {
    int64_t balance_milli;
    uint64_t spent;  /* retries */
    uint64_t denied; /* retries refused for lack of budget */
};

void retry_budget_init(struct retry_budget *b);
void retry_budget_on_call(struct retry_budget *b);
bool retry_budget_take(struct retry_budget *b);

/* Exponential backoff: base is the longest delay before the first retry. It
   doubles with each further retry, up to ceiling. */
struct retry_backoff {
    clock_ms base;
    clock_ms ceiling;
};

bool retry_backoff_next(const struct retry_backoff *backoff, struct rng *rng,
                        clock_ms now, clock_ms deadline_at, int attempt,
                        clock_ms *retry_at);

#endif
