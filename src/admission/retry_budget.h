#ifndef ADMISSION_RETRY_BUDGET_H
#define ADMISSION_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/rng.h"

/* Retries that one database may still spend, in thousandths, so that sums of
   a tenth stay exact. Plain data; one per database and proxy. */
struct retry_budget {
    int64_t balance_milli;
    uint64_t spent;
    uint64_t denied;
};

void retry_budget_init(struct retry_budget *b);
void retry_budget_on_call(struct retry_budget *b);
bool retry_budget_take(struct retry_budget *b);

/* Delay before the first retry and its upper bound; each retry doubles. */
struct retry_backoff {
    clock_ms base;
    clock_ms ceiling;
};

bool retry_backoff_next(const struct retry_backoff *backoff, struct rng *rng,
                        clock_ms now, clock_ms deadline_at, int attempt,
                        clock_ms *retry_at);

#endif
