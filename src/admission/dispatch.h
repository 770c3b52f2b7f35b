#ifndef ADMISSION_DISPATCH_H
#define ADMISSION_DISPATCH_H

#include "admission/admission.h"
#include "admission/cost_table.h"
#include "admission/pressure.h"
#include "admission/queue.h"

/* Private to src/admission: the state of one database's admission control, and
   the choice of the request that is granted next. */

#define US_PER_MS 1000

/* Mutation testing: for each invariant, tests/meson.build compiles these
   sources once more with one rule disabled and expects the randomised test to
   fail (docs/invariants-admission.md). 0 disables nothing. */
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

/* Configuration and state of one kind of request. */
struct kind {
    struct admission_kind config;
    int rank;        /* index of its priority among those in use */
    int64_t mean_us; /* exponential mean cost over all fingerprints */
    bool measured;   /* mean_us is not the default any more */
    struct queue queue;
    /* Head of the list of running short requests within the straggler limit,
       in order of their start. */
    struct admission_request running_short;
    clock_ms next_expiry; /* no queued request expires before */
    uint64_t granted;
    uint64_t stragglers;
    uint64_t refused[ADMISSION_REFUSAL_COUNT];
};

/* Capacity, use and load shedding of one member of the database group. */
struct member {
    int floor, surplus, batch_permits;
    int floor_used, surplus_used;
    int batch_used; /* permits held by batch requests and short stragglers */
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
    int kinds_by_rank[ADMISSION_MAX_KINDS]; /* kinds, most important first */
    int rank_count;
    struct member members[ADMISSION_MAX_MEMBERS];
    int member_count;
    uint32_t free_members[2]; /* by class: members with capacity */
    uint32_t shed_members[ADMISSION_MAX_KINDS]; /* by kind: not to be used */
    /* Heads of lists: requests by the reason for which they will be refused,
       and running requests that hold a batch permit. */
    struct admission_request pending_refusals[ADMISSION_REFUSAL_COUNT];
    struct admission_request permit_holders;
    int64_t submissions;
    clock_ms now; /* of the last call */
    bool draining;
    bool dispatching; /* dispatch_run() is on the stack */
};

void dispatch_update_capacity(struct admission *a, int index);
void dispatch_queue_refusal(struct admission *a, struct admission_request *req,
                            enum admission_refusal reason);
void dispatch_apply_pressure(struct admission *a);
void dispatch_report_delay(struct admission *a, const struct kind *k,
                           uint32_t members, clock_ms delay);
void dispatch_run(struct admission *a);

#endif
