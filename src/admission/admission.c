#include "admission/admission.h"

#include <glib.h>

#include "admission/dispatch.h"

/* A batch statement that runs this many times its kind's mean is taken for a
   straggler; model_queue draws stragglers of ten times the mean. */
#define PREEMPT_FACTOR 2

#define COST_ENTRIES 4096
/* Mean cost that is assumed of a kind before anything was measured. */
#define COST_UNKNOWN_US 1000
/* Ageing: a statement yields to shorter ones that are submitted within this
   many times its own cost, and to none after that. */
#define AGEING 4

/* Ranks the kinds by priority; equal priorities share a rank. */
static void
rank_kinds(struct admission *a)
{
    for (int i = 0; i < a->kind_count; i++) {
        int at = i;

        while (at > 0 && a->kinds[a->by_rank[at - 1]].config.priority >
                             a->kinds[i].config.priority) {
            a->by_rank[at] = a->by_rank[at - 1];
            at--;
        }
        a->by_rank[at] = i;
    }
    for (int i = 0; i < a->kind_count; i++) {
        struct kind *k = &a->kinds[a->by_rank[i]];

        if (i > 0 && k->config.priority !=
                         a->kinds[a->by_rank[i - 1]].config.priority) {
            a->ranks++;
        }
        k->rank = a->ranks;
    }
    a->ranks++;
}

/* Creates the admission of one database. Members start usable, without
   connections or permits. The kinds are copied; their names must outlive the
   object. */
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
    a->costs = cost_table_create(COST_ENTRIES);
    a->kind_count = kind_count;
    a->member_count = member_count;
    for (int i = 0; i < kind_count; i++) {
        a->kinds[i].config = kinds[i];
        a->kinds[i].mean_us = COST_UNKNOWN_US;
        a->kinds[i].next_expiry = CLOCK_NEVER;
        queue_init(&a->kinds[i].queue);
        request_list_init(&a->kinds[i].running);
    }
    rank_kinds(a);
    for (int i = 0; i < kind_count; i++) {
        if (kinds[i].class == ADMISSION_BATCH) {
            batch_ranks |= 1U << a->kinds[i].rank;
        }
    }
    for (int i = 0; i < member_count; i++) {
        a->members[i].usable = true;
        pressure_init(&a->members[i].pressure, a->ranks, batch_ranks);
    }
    for (int i = 0; i < ADMISSION_REFUSAL_COUNT; i++) {
        request_list_init(&a->refusing[i]);
    }
    request_list_init(&a->charged);
    return a;
}

/* Frees the object; NULL is allowed. Calls nobody back: the caller cancels or
   forgets its queued requests first. */
void
admission_destroy(struct admission *a)
{
    if (a != NULL) {
        cost_table_destroy(a->costs);
        g_free(a);
    }
}

/* Chooses the policy; allowed only before the first submission. */
void
admission_set_policy(struct admission *a, enum admission_policy policy)
{
    g_assert(a->arrivals == 0);
    a->policy = policy;
    for (int i = 0; i < a->member_count; i++) {
        dispatch_update_free(a, i);
    }
}

/* Returns the estimated queue wait in microseconds on the best member, from
   the cost of the work of the same class ahead. Members without connections
   count as no wait: a loan may come at any time, and the deadline bounds the
   wait in any case. */
static int64_t
estimate_wait(const struct admission *a, const struct admission_request *req,
              const int64_t behind_us[ADMISSION_MAX_MEMBERS])
{
    const struct kind *own = &a->kinds[req->kind];
    int64_t best = INT64_MAX;

    for (uint32_t rest = req->members; rest != 0; rest &= rest - 1) {
        int index = __builtin_ctz(rest);
        const struct member *m = &a->members[index];
        int connections = own->config.class == ADMISSION_BATCH
                              ? MIN(m->permits, m->surplus)
                              : m->floor + m->surplus;
        int64_t ahead = -behind_us[index] -
                        req->cost_us / __builtin_popcount(req->members);

        for (int i = 0; i < a->kind_count; i++) {
            const struct kind *k = &a->kinds[i];

            if (k->rank <= own->rank && k->config.class == own->config.class) {
                ahead += k->queue.load_us[index];
            }
        }
        best = MIN(best, connections == 0 ? 0 : ahead / connections);
    }
    return best == INT64_MAX ? 0 : best;
}

/* Puts a request on its queue, or plans its refusal. */
static void
enqueue(struct admission *a, struct admission_request *req)
{
    struct kind *k = &a->kinds[req->kind];
    bool fifo = a->policy == ADMISSION_POLICY_FIFO;
    int64_t behind_us[ADMISSION_MAX_MEMBERS] = {0};
    int64_t wait_us;

    if (k->queue.count >= k->config.queue_limit) {
        dispatch_refuse_later(a, req, ADMISSION_QUEUE_FULL);
        return;
    }
    if (!fifo && k->config.class == ADMISSION_SHORT && req->members != 0 &&
        (req->members & ~a->shed[req->kind]) == 0) {
        dispatch_refuse_later(a, req, ADMISSION_SHED);
        return;
    }
    req->state = ADMISSION_WAITING;
    queue_insert(&k->queue, req, behind_us);
    wait_us = estimate_wait(a, req, behind_us);
    if (!fifo &&
        a->now + (wait_us + req->cost_us) / US_PER_MS > req->deadline_at) {
        if (a->now + req->cost_us / US_PER_MS > req->deadline_at) {
            cost_table_decay(a->costs, req->fingerprint);
        }
        queue_remove(&k->queue, req);
        dispatch_refuse_later(a, req, ADMISSION_DEADLINE);
        return;
    }
    k->next_expiry = MIN(k->next_expiry, req->deadline_at);
}

/* Submits a request. Its grant or refusal may come before this returns. Sets
   submitted_at; sets deadline_at, or shortens it to the kind's deadline. */
void
admission_submit(struct admission *a, clock_ms now,
                 struct admission_request *req)
{
    struct kind *k = &a->kinds[req->kind];

    g_assert(req->state == ADMISSION_IDLE);
    a->now = now;
    a->arrivals++;
    req->submitted_at = now;
    if (req->deadline_at == 0 || req->deadline_at > now + k->config.deadline) {
        req->deadline_at = now + k->config.deadline;
    }
    req->queued = true;
    req->holds_batch_permit = false;
    req->on_surplus = false;
    req->cost_us = cost_table_mean(a->costs, req->fingerprint, k->mean_us);
    req->order = a->policy == ADMISSION_POLICY_FIFO
                     ? a->arrivals
                     : now * US_PER_MS + AGEING * req->cost_us;
    if (a->draining) {
        dispatch_refuse_later(a, req, ADMISSION_DRAINING);
    }
    else {
        enqueue(a, req);
    }
    dispatch_run(a);
}

/* Withdraws a queued request whose caller went away; no callback follows. */
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
   change of primary. It keeps its place. 0 keeps it waiting for a member. */
void
admission_set_members(struct admission *a, clock_ms now,
                      struct admission_request *req, uint32_t members)
{
    struct kind *k = &a->kinds[req->kind];
    int64_t behind_us[ADMISSION_MAX_MEMBERS] = {0};

    a->now = now;
    if (req->state != ADMISSION_WAITING) {
        return;
    }
    queue_remove(&k->queue, req);
    req->members = members;
    if (k->config.class == ADMISSION_SHORT && members != 0 &&
        (members & ~a->shed[req->kind]) == 0) {
        dispatch_refuse_later(a, req, ADMISSION_SHED);
    }
    else {
        queue_insert(&k->queue, req, behind_us);
    }
    dispatch_run(a);
}

/* Sets the number of floor connections of a member. */
void
admission_set_floor(struct admission *a, clock_ms now, int member,
                    int connections)
{
    a->now = now;
    a->members[member].floor = connections;
    dispatch_update_free(a, member);
    dispatch_run(a);
}

/* Sets the number of lent connections in force. Nothing that runs is revoked
   when it shrinks; no new grant is made until the member is below. */
void
admission_set_surplus(struct admission *a, clock_ms now, int member,
                      int connections)
{
    a->now = now;
    a->members[member].surplus = connections;
    dispatch_update_free(a, member);
    dispatch_run(a);
}

/* Sets the number of batch permits in force on a member. */
void
admission_set_batch_permits(struct admission *a, clock_ms now, int member,
                            int permits)
{
    a->now = now;
    a->members[member].permits = permits;
    dispatch_update_free(a, member);
    dispatch_run(a);
}

/* Says whether a member takes new work at all. */
void
admission_set_member_usable(struct admission *a, clock_ms now, int member,
                            bool usable)
{
    a->now = now;
    a->members[member].usable = usable;
    dispatch_update_free(a, member);
    dispatch_run(a);
}

/* While draining, new requests are refused and queued ones are still served,
   because a graceful shutdown interrupts no request in flight. */
void
admission_set_draining(struct admission *a, bool draining)
{
    a->draining = draining;
}

/* Ends a granted request. busy_us is the time for which its connection was
   in use, or negative when that time says nothing about the cost. */
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
    dispatch_update_free(a, req->member);
    if (ADMISSION_BREAK != ADMISSION_BREAK_CONSERVATION) {
        dispatch_run(a);
    }
}

/* Charges running short statements that passed their kind's limit to the
   batch account and raises their fingerprint's cost. Returns the next time at
   which one may pass it. */
static clock_ms
charge_stragglers(struct admission *a, struct kind *k)
{
    struct admission_request *head = &k->running;
    clock_ms limit = k->config.straggler_limit;

    if (limit == 0) {
        return CLOCK_NEVER;
    }
    while (head->next != head && head->next->started_at + limit <= a->now) {
        struct admission_request *req = head->next;

        request_list_unlink(req);
        request_list_append(&a->charged, req);
        req->holds_batch_permit = ADMISSION_BREAK != ADMISSION_BREAK_STRAGGLER;
        a->members[req->member].batch_used +=
            ADMISSION_BREAK == ADMISSION_BREAK_STRAGGLER ? 0 : 1;
        dispatch_update_free(a, req->member);
        cost_table_raise(a->costs, req->fingerprint,
                         (a->now - req->started_at) * US_PER_MS);
        k->stragglers++;
    }
    return head->next == head ? CLOCK_NEVER : head->next->started_at + limit;
}

/* Asks owners to give up batch statements that hold a slot of a member on
   which their kind is shed. Only statements that run several times longer than
   their kind's mean are meant: the others end soon. */
static void
preempt_stragglers(struct admission *a)
{
    struct admission_request *req = a->charged.next;

    if (a->ops.preempt == NULL || a->policy == ADMISSION_POLICY_FIFO) {
        return;
    }
    while (req != &a->charged) {
        struct admission_request *next = req->next;
        const struct kind *k = &a->kinds[req->kind];
        const int64_t run_us = (a->now - req->started_at) * US_PER_MS;

        if (k->config.class == ADMISSION_BATCH && !req->preempted &&
            k->measured && run_us > PREEMPT_FACTOR * k->mean_us &&
            pressure_sheds(&a->members[req->member].pressure, k->rank)) {
            req->preempted = true;
            a->ops.preempt(a->ctx, req);
        }
        req = next;
    }
}

/* Plans the refusal of queued requests whose deadline has come. */
static void
expire(struct admission *a, struct kind *k)
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
            dispatch_refuse_later(a, req, ADMISSION_DEADLINE);
        }
        else {
            k->next_expiry = MIN(k->next_expiry, req->deadline_at);
        }
        req = next;
    }
}

/* Expires queued requests, charges stragglers and adapts shedding. Returns
   the time of the next call that is needed. */
clock_ms
admission_tick(struct admission *a, clock_ms now)
{
    clock_ms due = CLOCK_NEVER;
    bool relaxed = false;

    a->now = now;
    for (int i = 0; i < a->kind_count; i++) {
        struct kind *k = &a->kinds[i];
        struct admission_request *first;

        expire(a, k);
        due = MIN(due, charge_stragglers(a, k));
        first = k->queue.head.next;
        /* A short wait of the first says nothing about those behind. */
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
    preempt_stragglers(a);
    dispatch_run(a);
    for (int i = 0; i < a->member_count; i++) {
        due = MIN(due, pressure_due(&a->members[i].pressure));
    }
    for (int i = 0; i < a->kind_count; i++) {
        struct kind *k = &a->kinds[i];

        due = MIN(due, k->next_expiry);
        if (k->queue.count > 0 && k->config.class == ADMISSION_SHORT &&
            k->rank < a->ranks - 1) {
            due = MIN(due, now + PRESSURE_TARGET_MS);
        }
    }
    return due;
}

/* Returns the number of queued requests of a kind. */
size_t
admission_queued(const struct admission *a, int kind)
{
    return a->kinds[kind].queue.count;
}

/* Returns how many requests of a kind were refused for a reason. */
uint64_t
admission_refused(const struct admission *a, int kind,
                  enum admission_refusal reason)
{
    return a->kinds[kind].refused[reason];
}

/* Returns how many requests of a kind were granted. */
uint64_t
admission_granted(const struct admission *a, int kind)
{
    return a->kinds[kind].granted;
}

/* Returns how many statements of a kind passed its straggler limit. */
uint64_t
admission_stragglers(const struct admission *a, int kind)
{
    return a->kinds[kind].stragglers;
}

/* Returns how many queued requests of a class accept a member: what the loan
   holder should ask for. */
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

/* Returns the number of connections of a member with granted work. */
int
admission_in_use(const struct admission *a, int member)
{
    return a->members[member].floor_used + a->members[member].surplus_used;
}

/* Returns how many of those are lent ones. */
int
admission_surplus_in_use(const struct admission *a, int member)
{
    return a->members[member].surplus_used;
}

/* Returns the batch account of a member: batch grants and stragglers. */
int
admission_batch_in_use(const struct admission *a, int member)
{
    return a->members[member].batch_used;
}

/* Returns true while work of a kind is shed on a member. */
bool
admission_sheds(const struct admission *a, int kind, int member)
{
    return (a->shed[kind] >> member & 1) != 0;
}
