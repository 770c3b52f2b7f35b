#ifndef LIMITS_RATE_LIMITS_H
#define LIMITS_RATE_LIMITS_H

#include "limits/rate_bucket.h"
#include "limits/rate_client.h"

/* The rate limits at one proxy: its client, and its buckets while it is a
   witness. Has no clock and no network of its own. All times are on the boot
   clock. */
struct rate_limits;

struct rate_limits_config {
    const char *name;
    uint64_t incarnation;
    struct rate_bounds bounds;
    clock_ms (*now)(void *ctx); /* the boot clock */
    void (*send_request)(void *ctx, const char *to,
                         const struct limit_request *q);
    void (*send_reply)(void *ctx, const char *to, const struct limit_reply *r);
    void *ctx;
};

struct rate_limits *rate_limits_create(const struct rate_limits_config *c);
void rate_limits_destroy(struct rate_limits *l);
struct rate_client *rate_limits_client(struct rate_limits *l);
const struct rate_bucket_counters *
rate_limits_bucket_counters(const struct rate_limits *l);
int rate_limits_divisor(struct rate_limits *l);

void rate_limits_set_witnesses(struct rate_limits *l,
                               const struct rate_witness *witnesses, int n);
void rate_limits_set_registered(struct rate_limits *l);
void rate_limits_set_catalog(struct rate_limits *l, const struct catalog *c);
void rate_limits_request(struct rate_limits *l, const struct limit_request *q);
void rate_limits_reply(struct rate_limits *l, const struct limit_reply *r);
void rate_limits_flush(struct rate_limits *l);
void rate_limits_tick(struct rate_limits *l);
clock_ms rate_limits_next_tick(const struct rate_limits *l);

#endif
