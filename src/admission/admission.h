#ifndef ADMISSION_ADMISSION_H
#define ADMISSION_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#define ADMISSION_MAX_MEMBERS 9
#define ADMISSION_MAX_KINDS 16

enum admission_class { ADMISSION_SHORT, ADMISSION_BATCH };

enum admission_refusal {
    ADMISSION_QUEUE_FULL,
    ADMISSION_DEADLINE,
    ADMISSION_SHED,
    ADMISSION_DRAINING,
    ADMISSION_REFUSAL_COUNT
};

/* FIFO is the baseline of the measurements: one order of arrival over all
   kinds, without priority, cost, shedding or batch permits. */
enum admission_policy { ADMISSION_POLICY_SHARES, ADMISSION_POLICY_FIFO };

enum admission_state {
    ADMISSION_IDLE,
    ADMISSION_WAITING,
    ADMISSION_REFUSING, /* off its queue; the refuse callback is due */
    ADMISSION_RUNNING
};

struct admission_kind {
    const char *name;
    enum admission_class class;
    int priority; /* 0 is served first */
    uint32_t queue_limit;
    clock_ms deadline;
    clock_ms straggler_limit; /* 0: none */
};

/* Embedded in the caller's record and zeroed by it before the first use. The
   caller sets kind, fingerprint, members, owner and, if it is shorter than
   the kind's, deadline_at (0: the kind's). The record must stay in place
   until it was cancelled, refused or released. */
struct admission_request {
    struct admission_request *next, *prev; /* owned by admission */
    int kind;
    uint64_t fingerprint; /* 0: unknown */
    uint32_t members;     /* bit set of acceptable members */
    clock_ms submitted_at, deadline_at;
    void *owner;
    bool queued;             /* submitted and neither granted nor refused */
    bool holds_batch_permit; /* on the batch account, also as straggler */
    bool on_surplus;         /* granted on a lent connection, not the floor */
    int member;
    clock_ms started_at;
    /* The rest belongs to admission. */
    enum admission_state state;
    bool preempted; /* kept when the request is submitted again */
    int64_t cost_us;
    int64_t order; /* lowest is served first within equal priority */
};

struct admission_ops {
    /* Both may call back into admission. */
    void (*grant)(void *ctx, struct admission_request *req, int member);
    void (*refuse)(void *ctx, struct admission_request *req,
                   enum admission_refusal reason);
    /* May be NULL. A batch statement runs far longer than usual where more
       important work waits; the owner may cancel it and submit it again. Asked
       at most once for each request. */
    void (*preempt)(void *ctx, struct admission_request *req);
};

struct admission;

struct admission *admission_create(const struct admission_ops *ops, void *ctx,
                                   const struct admission_kind *kinds,
                                   int kind_count, int member_count);
void admission_destroy(struct admission *a);
void admission_set_policy(struct admission *a, enum admission_policy policy);
void admission_submit(struct admission *a, clock_ms now,
                      struct admission_request *req);
void admission_cancel(struct admission *a, struct admission_request *req);
void admission_set_members(struct admission *a, clock_ms now,
                           struct admission_request *req, uint32_t members);
void admission_set_floor(struct admission *a, clock_ms now, int member,
                         int connections);
void admission_set_surplus(struct admission *a, clock_ms now, int member,
                           int connections);
void admission_set_batch_permits(struct admission *a, clock_ms now, int member,
                                 int permits);
void admission_set_member_usable(struct admission *a, clock_ms now, int member,
                                 bool usable);
void admission_set_draining(struct admission *a, bool draining);
void admission_release(struct admission *a, clock_ms now,
                       struct admission_request *req, int64_t busy_us);
clock_ms admission_tick(struct admission *a, clock_ms now);
size_t admission_queued(const struct admission *a, int kind);
uint64_t admission_refused(const struct admission *a, int kind,
                           enum admission_refusal reason);
uint64_t admission_granted(const struct admission *a, int kind);
uint64_t admission_stragglers(const struct admission *a, int kind);
int admission_waiting(const struct admission *a, int member,
                      enum admission_class class);
int admission_in_use(const struct admission *a, int member);
int admission_surplus_in_use(const struct admission *a, int member);
int admission_batch_in_use(const struct admission *a, int member);
bool admission_sheds(const struct admission *a, int kind, int member);

#endif
