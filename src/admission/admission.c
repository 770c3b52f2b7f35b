#include "admission/admission.h"

#include <glib.h>

#include "admission/dispatch.h"

/* A batch statement that runs longer than this many times the mean of its kind
   counts as a straggler. Stragglers in tests/admission/model_queue.c take ten
   times the mean. */
#define PREEMPT_MEAN_FACTOR 2

#define COST_TABLE_ENTRIES 4096
/* Assumed mean cost of a kind before the first measurement. */
#define DEFAULT_MEAN_COST_US 1000
/* Ageing: a statement yields to shorter ones that are submitted within this
   many times its own cost, and to no later ones, so that it cannot starve. */
#define AGEING_COST_FACTOR 4

/* Assigns each kind a rank by its priority; equal priorities share a rank. */
static void
rank_kinds(struct admission *a)
{
    for (int i = 0; i < a->kind_count; i++) {
        int at = i;

        while (at > 0 && a->kinds[a->kinds_by_rank[at - 1]].config.priority >
                             a->kinds[i].config.priority) {
            a->kinds_by_rank[at] = a->kinds_by_rank[at - 1];
            at--;
        }
        a->kinds_by_rank[at] = i;
    }
    for (int i = 0; i < a->kind_count; i++) {
        struct kind *k = &a->kinds[a->kinds_by_rank[i]];

        if (i > 0 && k->config.priority !=
                         a->kinds[a->kinds_by_rank[i - 1]].config.priority) {
            a->rank_count++;
        }
        k->rank = a->rank_count;
    }
    a->rank_count++;
}

/* Creates the admission control of one database. Members start usable, without
   connections or batch permits. ops and kinds are copied, but the kinds' names
   must outlive the object. */
struct admission *
admission_create(const struct admission_ops *ops, void *ctx,
                 const struct admission_kind *kinds, int kind_count,
                 int member_count)
{
    struct admission *a = g_new0(struct admission, 1);
    uint32_t batch_ranks = 0;

    g_assert(kind_count > 0 && kind_count <= ADMISSION_MAX_KINDS);
    g_assert(member_count > 0 && member_count <= ADMISSION_MAX_MEMBERS);
    a->ops = *ops;
    a->ctx = ctx;
    a->costs = cost_table_create(COST_TABLE_ENTRIES);
    a->kind_count = kind_count;
    a->member_count = member_count;
    for (int i = 0; i < kind_count; i++) {
        a->kinds[i].config = kinds[i];
        a->kinds[i].mean_us = DEFAULT_MEAN_COST_US;
        a->kinds[i].next_expiry = CLOCK_NEVER;
        queue_init(&a->kinds[i].queue);
        request_list_init(&a->kinds[i].running_short);
    }
    rank_kinds(a);
    for (int i = 0; i < kind_count; i++) {
        if (kinds[i].class == ADMISSION_BATCH) {
            batch_ranks |= 1U << a->kinds[i].rank;
        }
    }
    for (int i = 0; i < member_count; i++) {
        a->members[i].usable = true;
        pressure_init(&a->members[i].pressure, a->rank_count, batch_ranks);
    }
    for (int i = 0; i < ADMISSION_REFUSAL_COUNT; i++) {
        request_list_init(&a->pending_refusals[i]);
    }
    request_list_init(&a->permit_holders);
    return a;
}

/* Frees the object; NULL is allowed. No callbacks run: the caller must cancel
   or drop its queued requests first. */
void
admission_destroy(struct admission *a)
{
    if (a != NULL) {
        cost_table_destroy(a->costs);
        g_free(a);
    }
}

/* Sets the policy. Must be called before the first submission. */
void
admission_set_policy(struct admission *a, enum admission_policy policy)
{
    g_assert(a->submissions == 0);
    a->policy = policy;
    for (int i = 0; i < a->member_count; i++) {
        dispatch_update_capacity(a, i);
    }
}

/* Returns the estimated queue wait in microseconds on the best member, from
   the cost of the queued requests of the same class that are served earlier. A
   member without connections counts as no wait, because connections may be
   lent to it at any time and the deadline bounds the wait in any case. */
static int64_t
estimate_wait(const struct admission *a, const struct admission_request *req,
              const int64_t overtaken_us[ADMISSION_MAX_MEMBERS])
{
    const struct kind *own = &a->kinds[req->kind];
    int64_t best = INT64_MAX;

    for (uint32_t remaining = req->members; remaining != 0;
         remaining &= remaining - 1) {
        int index = __builtin_ctz(remaining);
        const struct member *m = &a->members[index];
        int connections = own->config.class == ADMISSION_BATCH
                              ? MIN(m->batch_permits, m->surplus)
                              : m->floor + m->surplus;
        int64_t ahead = -overtaken_us[index] -
                        req->cost_us / __builtin_popcount(req->members);

        for (int i = 0; i < a->kind_count; i++) {
            const struct kind *k = &a->kinds[i];

            if (k->rank <= own->rank && k->config.class == own->config.class) {
                ahead += k->queue.queued_cost_us[index];
            }
        }
        best = MIN(best, connections == 0 ? 0 : ahead / connections);
    }
    return best == INT64_MAX ? 0 : best;
}

/* Queues a request, or schedules its refusal if the queue is full, its kind is
   shed on all its members or it is not expected to meet its deadline. */
static void
enqueue(struct admission *a, struct admission_request *req)
{
    struct kind *k = &a->kinds[req->kind];
    bool fifo = a->policy == ADMISSION_POLICY_FIFO;
    int64_t overtaken_us[ADMISSION_MAX_MEMBERS] = {0};
    int64_t wait_us;

    if (k->queue.count >= k->config.queue_limit) {
        dispatch_queue_refusal(a, req, ADMISSION_QUEUE_FULL);
        return;
    }
    if (!fifo && k->config.class == ADMISSION_SHORT && req->members != 0 &&
        (req->members & ~a->shed_members[req->kind]) == 0) {
        dispatch_queue_refusal(a, req, ADMISSION_SHED);
        return;
    }
    req->state = ADMISSION_WAITING;
    queue_insert(&k->queue, req, overtaken_us);
    wait_us = estimate_wait(a, req, overtaken_us);
    if (!fifo &&
        a->now + (wait_us + req->cost_us) / US_PER_MS > req->deadline_at) {
        if (a->now + req->cost_us / US_PER_MS > req->deadline_at) {
            cost_table_decay(a->costs, req->fingerprint);
        }
        queue_remove(&k->queue, req);
        dispatch_queue_refusal(a, req, ADMISSION_DEADLINE);
        return;
    }
    k->next_expiry = MIN(k->next_expiry, req->deadline_at);
}

/* Submits a request; grant or refuse follows, possibly before this returns.
   Sets submitted_at, and limits deadline_at to the kind's deadline. */
void
admission_submit(struct admission *a, clock_ms now,
                 struct admission_request *req)
{
    struct kind *k = &a->kinds[req->kind];

    g_assert(req->state == ADMISSION_IDLE);
    a->now = now;
    a->submissions++;
    req->submitted_at = now;
    if (req->deadline_at == 0 || req->deadline_at > now + k->config.deadline) {
        req->deadline_at = now + k->config.deadline;
    }
    req->queued = true;
    req->holds_batch_permit = false;
    req->on_surplus = false;
    req->cost_us = cost_table_mean(a->costs, req->fingerprint, k->mean_us);
    req->sort_key = a->policy == ADMISSION_POLICY_FIFO
                        ? a->submissions
                        : now * US_PER_MS + AGEING_COST_FACTOR * req->cost_us;
    if (a->draining) {
        dispatch_queue_refusal(a, req, ADMISSION_DRAINING);
    }
    else {
        enqueue(a, req);
    }
    dispatch_run(a);
}

/* Withdraws a queued request, for instance after its client has disconnected.
   No callback follows. Does nothing for a request that is not queued. */
void
admission_cancel(struct admission *a, struct admission_request *req)
{
    if (req->state == ADMISSION_WAITING) {
        struct queue *q = &a->kinds[req->kind].queue;

        queue_remove(q, req);
        q->count += ADMISSION_BREAK == ADMISSION_BREAK_COUNTS ? 1 : 0;
    }
    else if (req->state == ADMISSION_REFUSING) {
        request_list_unlink(req);
    }
    else {
        return;
    }
    req->state = ADMISSION_IDLE;
    req->queued = false;
}

/* Changes the acceptable members of a queued request, for instance after a
   change of primary. The request keeps its place. With members == 0 it waits
   until a later call names a member. */
void
admission_set_members(struct admission *a, clock_ms now,
                      struct admission_request *req, uint32_t members)
{
    struct kind *k = &a->kinds[req->kind];
    int64_t overtaken_us[ADMISSION_MAX_MEMBERS] = {0};

    a->now = now;
    if (req->state != ADMISSION_WAITING) {
        return;
    }
    queue_remove(&k->queue, req);
    req->members = members;
    if (k->config.class == ADMISSION_SHORT && members != 0 &&
        (members & ~a->shed_members[req->kind]) == 0) {
        dispatch_queue_refusal(a, req, ADMISSION_SHED);
    }
    else {
        queue_insert(&k->queue, req, overtaken_us);
    }
    dispatch_run(a);
}

/* Sets the number of connections of a member that need no loan. */
void
admission_set_floor(struct admission *a, clock_ms now, int member,
                    int connections)
{
    a->now = now;
    a->members[member].floor = connections;
    dispatch_update_capacity(a, member);
    dispatch_run(a);
}

/* Sets the number of lent connections of a member. Running requests continue
   when it shrinks; the member gets no new ones until its use is below the new
   limit. */
void
admission_set_surplus(struct admission *a, clock_ms now, int member,
                      int connections)
{
    a->now = now;
    a->members[member].surplus = connections;
    dispatch_update_capacity(a, member);
    dispatch_run(a);
}

void
admission_set_batch_permits(struct admission *a, clock_ms now, int member,
                            int batch_permits)
{
    a->now = now;
    a->members[member].batch_permits = batch_permits;
    dispatch_update_capacity(a, member);
    dispatch_run(a);
}

/* Sets whether new requests may be granted on a member. */
void
admission_set_member_usable(struct admission *a, clock_ms now, int member,
                            bool usable)
{
    a->now = now;
    a->members[member].usable = usable;
    dispatch_update_capacity(a, member);
    dispatch_run(a);
}

/* While draining, new requests are refused but queued ones are still served:
   a graceful shutdown completes every accepted request. */
void
admission_set_draining(struct admission *a, bool draining)
{
    a->draining = draining;
}

/* Ends a granted request and frees its connection. busy_us is the time for
   which the connection was in use; a negative value is not taken into the
   costs. */
void
admission_release(struct admission *a, clock_ms now,
                  struct admission_request *req, int64_t busy_us)
{
    struct kind *k = &a->kinds[req->kind];
    struct member *m = &a->members[req->member];

    g_assert(req->state == ADMISSION_RUNNING);
    a->now = now;
    request_list_unlink(req);
    req->state = ADMISSION_IDLE;
    m->floor_used -= req->on_surplus ? 0 : 1;
    m->surplus_used -= req->on_surplus ? 1 : 0;
    m->batch_used -= req->holds_batch_permit ? 1 : 0;
    req->holds_batch_permit = false;
    if (busy_us >= 0) {
        cost_table_add(a->costs, req->fingerprint, busy_us);
        k->mean_us +=
            k->measured ? (busy_us - k->mean_us) / 16 : busy_us - k->mean_us;
        k->measured = true;
    }
    dispatch_update_capacity(a, req->member);
    if (ADMISSION_BREAK != ADMISSION_BREAK_CONSERVATION) {
        dispatch_run(a);
    }
}

/* Counts running short statements that exceed their kind's straggler limit
   against the member's batch permits and raises the cost of their fingerprint.
   Returns the next time at which a statement may exceed the limit. */
static clock_ms
charge_short_stragglers(struct admission *a, struct kind *k)
{
    struct admission_request *head = &k->running_short;
    clock_ms limit = k->config.straggler_limit;

    if (limit == 0) {
        return CLOCK_NEVER;
    }
    while (head->next != head && head->next->started_at + limit <= a->now) {
        struct admission_request *req = head->next;

        request_list_unlink(req);
        request_list_append(&a->permit_holders, req);
        req->holds_batch_permit = ADMISSION_BREAK != ADMISSION_BREAK_STRAGGLER;
        a->members[req->member].batch_used +=
            ADMISSION_BREAK == ADMISSION_BREAK_STRAGGLER ? 0 : 1;
        dispatch_update_capacity(a, req->member);
        cost_table_raise(a->costs, req->fingerprint,
                         (a->now - req->started_at) * US_PER_MS);
        k->stragglers++;
    }
    return head->next == head ? CLOCK_NEVER : head->next->started_at + limit;
}

/* Calls preempt for batch statements that run on a member where their kind is
   shed. Statements within PREEMPT_MEAN_FACTOR times the mean of their kind are
   left alone, because they end soon. */
static void
preempt_batch_stragglers(struct admission *a)
{
    struct admission_request *req = a->permit_holders.next;

    if (a->ops.preempt == NULL || a->policy == ADMISSION_POLICY_FIFO) {
        return;
    }
    while (req != &a->permit_holders) {
        struct admission_request *next = req->next;
        const struct kind *k = &a->kinds[req->kind];
        const int64_t run_us = (a->now - req->started_at) * US_PER_MS;

        if (k->config.class == ADMISSION_BATCH && !req->preempted &&
            k->measured && run_us > PREEMPT_MEAN_FACTOR * k->mean_us &&
            pressure_sheds(&a->members[req->member].pressure, k->rank)) {
            req->preempted = true;
            a->ops.preempt(a->ctx, req);
        }
        req = next;
    }
}

/* Schedules the refusal of queued requests whose deadline has passed. */
static void
expire_queued(struct admission *a, struct kind *k)
{
    struct admission_request *req;

    if (a->now < k->next_expiry || ADMISSION_BREAK == ADMISSION_BREAK_EXPIRY) {
        return;
    }
    k->next_expiry = CLOCK_NEVER;
    req = k->queue.head.next;
    while (req != &k->queue.head) {
        struct admission_request *next = req->next;

        if (req->deadline_at <= a->now) {
            queue_remove(&k->queue, req);
            dispatch_queue_refusal(a, req, ADMISSION_DEADLINE);
        }
        else {
            k->next_expiry = MIN(k->next_expiry, req->deadline_at);
        }
        req = next;
    }
}

/* Refuses queued requests whose deadline has passed, detects stragglers and
   adjusts load shedding. Returns the time at which it must be called again,
   at the latest. */
clock_ms
admission_tick(struct admission *a, clock_ms now)
{
    clock_ms due = CLOCK_NEVER;
    bool relaxed = false;

    a->now = now;
    for (int i = 0; i < a->kind_count; i++) {
        struct kind *k = &a->kinds[i];
        struct admission_request *first;

        expire_queued(a, k);
        due = MIN(due, charge_short_stragglers(a, k));
        first = k->queue.head.next;
        /* The first request has waited longest only in FIFO order: a wait
           below the target does not show that the others are below it. */
        if (first != &k->queue.head &&
            now - first->submitted_at > PRESSURE_TARGET_MS) {
            dispatch_report_delay(a, k, first->members,
                                  now - first->submitted_at);
        }
    }
    for (int i = 0; i < a->member_count; i++) {
        relaxed |= pressure_relax(&a->members[i].pressure, now);
    }
    if (relaxed) {
        dispatch_apply_pressure(a);
    }
    preempt_batch_stragglers(a);
    dispatch_run(a);
    for (int i = 0; i < a->member_count; i++) {
        due = MIN(due, pressure_next_relax(&a->members[i].pressure));
    }
    for (int i = 0; i < a->kind_count; i++) {
        struct kind *k = &a->kinds[i];

        due = MIN(due, k->next_expiry);
        if (k->queue.count > 0 && k->config.class == ADMISSION_SHORT &&
            k->rank < a->rank_count - 1) {
            due = MIN(due, now + PRESSURE_TARGET_MS);
        }
    }
    return due;
}

size_t
admission_queued(const struct admission *a, int kind)
{
    return a->kinds[kind].queue.count;
}

/* Returns the number of refusals since creation. */
uint64_t
admission_refused(const struct admission *a, int kind,
                  enum admission_refusal reason)
{
    return a->kinds[kind].refused[reason];
}

/* Returns the number of grants since creation. */
uint64_t
admission_granted(const struct admission *a, int kind)
{
    return a->kinds[kind].granted;
}

/* Returns the number of statements of a kind that have exceeded its straggler
   limit since creation. */
uint64_t
admission_stragglers(const struct admission *a, int kind)
{
    return a->kinds[kind].stragglers;
}

/* Returns the number of queued requests of a class that accept a member. The
   loan holder reports it as demand to the lender. */
int
admission_waiting(const struct admission *a, int member,
                  enum admission_class class)
{
    int waiting = 0;

    for (int i = 0; i < a->kind_count; i++) {
        if (a->kinds[i].config.class == class) {
            waiting += a->kinds[i].queue.waiting[member];
        }
    }
    return waiting;
}

/* Returns the number of a member's connections with a granted request. */
int
admission_in_use(const struct admission *a, int member)
{
    return a->members[member].floor_used + a->members[member].surplus_used;
}

/* Returns the number of lent connections among admission_in_use(). */
int
admission_surplus_in_use(const struct admission *a, int member)
{
    return a->members[member].surplus_used;
}

/* Returns the number of batch permits in use on a member, by batch statements
   and by short stragglers; stragglers can take it over the limit. */
int
admission_batch_in_use(const struct admission *a, int member)
{
    return a->members[member].batch_used;
}

/* Returns true while requests of a kind are shed on a member. */
bool
admission_sheds(const struct admission *a, int kind, int member)
{
    return (a->shed_members[kind] >> member & 1) != 0;
}
