#ifndef ADMISSION_DISPATCH_H
#define ADMISSION_DISPATCH_H

#include "admission/admission.h"
#include "admission/cost_table.h"
#include "admission/pressure.h"
#include "admission/queue.h"

/* Internal to the slice: the state of one database and the choice of what is
   granted next. */

#define US_PER_MS 1000

/* The tests build the slice once more for each invariant with one rule left
   out, to show that the randomised run notices (docs/invariants-admission.md).
   0 is the product. */
#ifndef ADMISSION_BREAK
#define ADMISSION_BREAK 0
#endif
#define ADMISSION_BREAK_CAP 1
#define ADMISSION_BREAK_BATCH_PERMIT 2
#define ADMISSION_BREAK_EXPIRY 3
#define ADMISSION_BREAK_CONSERVATION 4
#define ADMISSION_BREAK_BATCH_FLOOR 5
#define ADMISSION_BREAK_COUNTS 6
#define ADMISSION_BREAK_STRAGGLER 7
#define ADMISSION_BREAK_PRIORITY 8

struct kind {
    struct admission_kind config;
    int rank;        /* index of its priority among those in use */
    int64_t mean_us; /* exponential mean over all fingerprints */
    bool measured;
    struct queue queue;
    struct admission_request running; /* by start; watched for stragglers */
    clock_ms next_expiry;             /* no queued request expires before */
    uint64_t granted;
    uint64_t stragglers;
    uint64_t refused[ADMISSION_REFUSAL_COUNT];
};

struct member {
    int floor, surplus, permits;
    int floor_used, surplus_used;
    int batch_used; /* batch grants and stragglers */
    bool usable;
    struct pressure pressure;
};

struct admission {
    struct admission_ops ops;
    void *ctx;
    enum admission_policy policy;
    struct cost_table *costs;
    struct kind kinds[ADMISSION_MAX_KINDS];
    int kind_count;
    int by_rank[ADMISSION_MAX_KINDS]; /* kinds, most important first */
    int ranks;
    struct member members[ADMISSION_MAX_MEMBERS];
    int member_count;
    uint32_t free[2];                   /* by class: members with capacity */
    uint32_t shed[ADMISSION_MAX_KINDS]; /* by kind: members it may not use */
    struct admission_request refusing[ADMISSION_REFUSAL_COUNT];
    struct admission_request charged; /* running, past the limit */
    int64_t arrivals;
    clock_ms now;
    bool draining;
    bool dispatching;
};

void dispatch_update_free(struct admission *a, int index);
void dispatch_refuse_later(struct admission *a, struct admission_request *req,
                           enum admission_refusal reason);
void dispatch_apply_pressure(struct admission *a);
void dispatch_report_delay(struct admission *a, const struct kind *k,
                           uint32_t members, clock_ms delay);
void dispatch_run(struct admission *a);

#endif
