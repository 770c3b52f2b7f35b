#ifndef ADMISSION_ADMISSION_H
#define ADMISSION_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/* Admission control in front of one database: queues requests by kind, grants
   them connections of the database's members and sheds load. Each proxy has a
   floor (connections of a member that it may always use) and a surplus (lent
   connections above the floor). Short requests use both; batch requests use
   only the surplus and need a batch permit of the member as well. */

#define ADMISSION_MAX_MEMBERS 9
#define ADMISSION_MAX_KINDS 16

enum admission_class { ADMISSION_SHORT, ADMISSION_BATCH };

enum admission_refusal {
    ADMISSION_QUEUE_FULL,
    ADMISSION_DEADLINE, /* has passed, or cannot be met */
    ADMISSION_SHED,
    ADMISSION_DRAINING,
    ADMISSION_REFUSAL_COUNT
};

/* FIFO serves as the baseline in measurements: all kinds in order of arrival,
   without priorities, costs, load shedding or batch permits. */
enum admission_policy { ADMISSION_POLICY_PRIORITY, ADMISSION_POLICY_FIFO };

enum admission_state {
    ADMISSION_IDLE,
    ADMISSION_WAITING,
    ADMISSION_REFUSING, /* dequeued; the refuse callback is pending */
    ADMISSION_RUNNING
};

struct admission_kind {
    const char *name;
    enum admission_class class;
    int priority; /* 0 is served first */
    uint32_t queue_limit;
    clock_ms deadline;        /* from submission */
    clock_ms straggler_limit; /* run time of a short statement; 0: none */
};

/* A request for a connection. Embedded in the caller's record, which zeroes it
   before the first use. The caller sets kind, fingerprint, members, owner and
   deadline_at; a deadline_at of 0 or beyond the kind's deadline is replaced by
   the latter. The record must not move or be freed until it is cancelled,
   refused or released. */
struct admission_request {
    struct admission_request *next, *prev; /* owned by admission */
    int kind;
    uint64_t fingerprint; /* of the statement; 0: unknown */
    uint32_t members;     /* bit set of acceptable members */
    clock_ms submitted_at, deadline_at;
    void *owner;
    bool queued;             /* submitted and neither granted nor refused */
    bool holds_batch_permit; /* batch statement, or short straggler */
    bool on_surplus;         /* granted on a lent connection, not the floor */
    int member;              /* on which it was granted */
    clock_ms started_at;
    /* The remaining fields are private to admission. */
    enum admission_state state;
    bool preempted; /* preempt() was called; not reset by admission_submit() */
    int64_t cost_us;  /* estimate */
    int64_t sort_key; /* lowest is served first within equal priority */
};

struct admission_ops {
    /* grant and refuse may call back into admission. */
    void (*grant)(void *ctx, struct admission_request *req, int member);
    void (*refuse)(void *ctx, struct admission_request *req,
                   enum admission_refusal reason);
    /* A batch statement runs far longer than the mean of its kind on a member
       where that kind is shed. The owner may cancel it and submit it again.
       Called at most once per request. May be NULL. */
    void (*preempt)(void *ctx, struct admission_request *req);
};

struct admission;

/* Every function below that takes now may call grant and refuse before it
   returns. */
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
                                 int batch_permits);
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
