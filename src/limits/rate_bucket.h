#ifndef LIMITS_RATE_BUCKET_H
#define LIMITS_RATE_BUCKET_H

#include "base/clock.h"
#include "directory/catalog.h"
#include "limits/limit_message.h"
#include "limits/witness_list.h"

/* The witness's side of rate limits: a token bucket for each account, with
   this witness's part of the limit. All buckets are empty when the process
   starts. All times are on the boot clock. */
struct rate_bucket;

/* Further accounts of the configuration are not granted anything. */
#define RATE_BUCKET_ACCOUNTS_MAX 65536

/* In any span of window_ms, at most (rate x window + burst) x (1 + excess) +
   slack operations of an account may run. */
struct rate_bounds {
    int64_t window_ms;
    int excess_permille;
    int slack;
};

struct rate_bucket_counters {
    uint64_t requests;
    uint64_t granted;
    uint64_t denied;
};

struct rate_bucket *rate_bucket_create(const struct rate_bounds *bounds);
void rate_bucket_destroy(struct rate_bucket *b);
void rate_bucket_set_catalog(struct rate_bucket *b, const struct catalog *c,
                             clock_ms now);
void rate_bucket_set_part(struct rate_bucket *b, struct witness_part part,
                          clock_ms now);
uint32_t rate_bucket_take(struct rate_bucket *b, uint64_t account,
                          uint32_t wanted, clock_ms now, uint32_t *next_ms);
void rate_bucket_answer(struct rate_bucket *b, const struct limit_request *q,
                        clock_ms now, struct limit_reply *out);
const struct rate_bucket_counters *
rate_bucket_counters(const struct rate_bucket *b);

#endif
