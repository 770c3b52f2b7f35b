#include "admission/admission.h"

#include <glib.h>

#include "admission/cost_table.h"
#include "admission/pressure.h"
#include "admission/queue.h"

#define COST_ENTRIES 4096
#define US_PER_MS 1000
/* Mean cost that is assumed of a kind before anything was measured. */
#define COST_UNKNOWN_US 1000
/* Ageing: a statement yields to shorter ones that are submitted within this
   many times its own cost, and to none after that. */
#define AGEING 4

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

/* Recomputes which classes a member has capacity for. The total is checked
   besides the two parts: after a loan ended, a statement may still be on its
   connection, and until it ends the member takes nothing new. */
static void
update_free(struct admission *a, int index)
{
    struct member *m = &a->members[index];
    uint32_t bit = 1U << index;
    bool below =
        m->usable && m->floor_used + m->surplus_used < m->floor + m->surplus;
    bool surplus = below && m->surplus_used < m->surplus;
    bool batch = a->policy == ADMISSION_POLICY_FIFO
                     ? below
                     : surplus && m->batch_used < m->permits;

    a->free[ADMISSION_SHORT] &= ~bit;
    a->free[ADMISSION_BATCH] &= ~bit;
    if (surplus || (below && m->floor_used < m->floor)) {
        a->free[ADMISSION_SHORT] |= bit;
    }
    if (batch) {
        a->free[ADMISSION_BATCH] |= bit;
    }
}

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
    for (int i = 0; i < member_count; i++) {
        a->members[i].usable = true;
        pressure_init(&a->members[i].pressure, a->ranks);
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
        update_free(a, i);
    }
}

/* Moves a request that is on no list to those whose refusal is due. The
   callbacks run later, when no list is being walked. */
static void
plan_refusal(struct admission *a, struct admission_request *req,
             enum admission_refusal reason)
{
    req->state = ADMISSION_REFUSING;
    request_list_append(&a->refusing[reason], req);
}

/* Runs the refuse callbacks that are due. */
static void
flush_refusals(struct admission *a)
{
    for (int reason = 0; reason < ADMISSION_REFUSAL_COUNT; reason++) {
        struct admission_request *head = &a->refusing[reason];

        while (head->next != head) {
            struct admission_request *req = head->next;

            request_list_unlink(req);
            req->state = ADMISSION_IDLE;
            req->queued = false;
            a->kinds[req->kind].refused[reason]++;
            a->ops.refuse(a->ctx, req, (enum admission_refusal)reason);
        }
    }
}

/* Rebuilds the members that each kind may not use, and refuses the queued
   short work that has none left. Batches are held back and keep their place:
   their deadlines are long and their queue is bounded. */
static void
apply_pressure(struct admission *a)
{
    for (int i = 0; i < a->kind_count; i++) {
        struct kind *k = &a->kinds[i];
        struct admission_request *req = k->queue.head.next;

        a->shed[i] = 0;
        for (int m = 0; m < a->member_count; m++) {
            if (pressure_sheds(&a->members[m].pressure, k->rank)) {
                a->shed[i] |= 1U << m;
            }
        }
        if (a->shed[i] == 0 || k->config.class == ADMISSION_BATCH) {
            continue;
        }
        while (req != &k->queue.head) {
            struct admission_request *next = req->next;

            if (req->members != 0 && (req->members & ~a->shed[i]) == 0) {
                queue_remove(&k->queue, req);
                plan_refusal(a, req, ADMISSION_SHED);
            }
            req = next;
        }
    }
}

/* Reports a queue delay of short work that exceeds the target on each of the
   members. Work of batch kinds waits for permits as a rule, and that wait
   says nothing about overload. */
static void
report_delay(struct admission *a, const struct kind *k, uint32_t members,
             clock_ms delay)
{
    bool changed = false;

    if (a->policy == ADMISSION_POLICY_FIFO || delay <= PRESSURE_TARGET_MS ||
        k->config.class == ADMISSION_BATCH) {
        return;
    }
    for (uint32_t rest = members; rest != 0; rest &= rest - 1) {
        struct member *m = &a->members[__builtin_ctz(rest)];

        /* An unusable member delays its work without being overloaded. */
        if (m->usable) {
            changed |= pressure_signal(&m->pressure, a->now, k->rank);
        }
    }
    if (changed) {
        apply_pressure(a);
    }
}

/* Returns the next request to grant, or NULL: the most important kind with a
   request that some free member may serve, and the lowest order among kinds
   of equal priority. FIFO compares over all kinds. */
static struct admission_request *
pick(struct admission *a)
{
    struct admission_request *best = NULL;

    for (int i = 0; i < a->kind_count; i++) {
        int index = a->by_rank[i];
        struct kind *k = &a->kinds[index];
        struct admission_request *req;

        if (best != NULL && a->policy != ADMISSION_POLICY_FIFO &&
            k->rank != a->kinds[best->kind].rank) {
            break;
        }
        if (k->queue.count == 0) {
            continue;
        }
        req =
            queue_first(&k->queue, a->free[k->config.class] & ~a->shed[index]);
        if (req != NULL && (best == NULL || req->order < best->order)) {
            best = req;
        }
    }
    return best;
}

/* Chooses among free members: one with a free floor connection first for
   short work, so that lent connections stay for batches, then the one with
   the fewest statements. */
static int
choose_member(const struct admission *a, uint32_t members, bool batch)
{
    int best = -1;
    int best_score = 0;

    for (uint32_t rest = members; rest != 0; rest &= rest - 1) {
        int index = __builtin_ctz(rest);
        const struct member *m = &a->members[index];
        int score = m->floor_used + m->surplus_used;

        if (!batch && m->floor_used >= m->floor) {
            score += m->floor + m->surplus + 1;
        }
        if (best < 0 || score < best_score) {
            best = index;
            best_score = score;
        }
    }
    return best;
}

/* Takes a connection of a member for a request. */
static void
occupy(struct admission *a, struct admission_request *req, int index)
{
    struct member *m = &a->members[index];
    struct kind *k = &a->kinds[req->kind];
    bool batch = k->config.class == ADMISSION_BATCH;
    bool fifo = a->policy == ADMISSION_POLICY_FIFO;

    req->state = ADMISSION_RUNNING;
    req->queued = false;
    req->member = index;
    req->started_at = a->now;
    req->on_surplus = (batch && !fifo) || m->floor_used >= m->floor;
    req->holds_batch_permit = batch;
    m->floor_used += req->on_surplus ? 0 : 1;
    m->surplus_used += req->on_surplus ? 1 : 0;
    m->batch_used += batch ? 1 : 0;
    request_list_append(batch ? &a->charged : &k->running, req);
    k->granted++;
    update_free(a, index);
}

/* Grants one request that is on its queue, or refuses it when it can no
   longer finish by its deadline. */
static void
grant(struct admission *a, struct admission_request *req)
{
    struct kind *k = &a->kinds[req->kind];
    uint32_t members =
        req->members & a->free[k->config.class] & ~a->shed[req->kind];
    clock_ms delay = a->now - req->submitted_at;

    queue_remove(&k->queue, req);
    if (a->now >= req->deadline_at ||
        (a->policy != ADMISSION_POLICY_FIFO &&
         a->now + req->cost_us / US_PER_MS > req->deadline_at)) {
        plan_refusal(a, req, ADMISSION_DEADLINE);
        return;
    }
    occupy(a, req,
           choose_member(a, members, k->config.class == ADMISSION_BATCH));
    report_delay(a, k, 1U << req->member, delay);
    a->ops.grant(a->ctx, req, req->member);
}

/* Grants and refuses until nothing more can be done. A callback that calls
   back into admission only changes the state; the outermost call goes on with
   the result, so the stack stays flat. */
static void
dispatch(struct admission *a)
{
    struct admission_request *req;

    if (a->dispatching) {
        return;
    }
    a->dispatching = true;
    flush_refusals(a);
    while ((req = pick(a)) != NULL) {
        grant(a, req);
        flush_refusals(a);
    }
    a->dispatching = false;
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
        plan_refusal(a, req, ADMISSION_QUEUE_FULL);
        return;
    }
    if (!fifo && k->config.class == ADMISSION_SHORT && req->members != 0 &&
        (req->members & ~a->shed[req->kind]) == 0) {
        plan_refusal(a, req, ADMISSION_SHED);
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
        plan_refusal(a, req, ADMISSION_DEADLINE);
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
        plan_refusal(a, req, ADMISSION_DRAINING);
    }
    else {
        enqueue(a, req);
    }
    dispatch(a);
}

/* Withdraws a queued request whose caller went away; no callback follows. */
void
admission_cancel(struct admission *a, struct admission_request *req)
{
    if (req->state == ADMISSION_WAITING) {
        queue_remove(&a->kinds[req->kind].queue, req);
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
        plan_refusal(a, req, ADMISSION_SHED);
    }
    else {
        queue_insert(&k->queue, req, behind_us);
    }
    dispatch(a);
}

/* Sets the number of floor connections of a member. */
void
admission_set_floor(struct admission *a, clock_ms now, int member,
                    int connections)
{
    a->now = now;
    a->members[member].floor = connections;
    update_free(a, member);
    dispatch(a);
}

/* Sets the number of lent connections in force. Nothing that runs is revoked
   when it shrinks; no new grant is made until the member is below. */
void
admission_set_surplus(struct admission *a, clock_ms now, int member,
                      int connections)
{
    a->now = now;
    a->members[member].surplus = connections;
    update_free(a, member);
    dispatch(a);
}

/* Sets the number of batch permits in force on a member. */
void
admission_set_batch_permits(struct admission *a, clock_ms now, int member,
                            int permits)
{
    a->now = now;
    a->members[member].permits = permits;
    update_free(a, member);
    dispatch(a);
}

/* Says whether a member takes new work at all. */
void
admission_set_member_usable(struct admission *a, clock_ms now, int member,
                            bool usable)
{
    a->now = now;
    a->members[member].usable = usable;
    update_free(a, member);
    dispatch(a);
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
    update_free(a, req->member);
    dispatch(a);
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
        req->holds_batch_permit = true;
        a->members[req->member].batch_used++;
        update_free(a, req->member);
        cost_table_raise(a->costs, req->fingerprint,
                         (a->now - req->started_at) * US_PER_MS);
        k->stragglers++;
    }
    return head->next == head ? CLOCK_NEVER : head->next->started_at + limit;
}

/* Plans the refusal of queued requests whose deadline has come. */
static void
expire(struct admission *a, struct kind *k)
{
    struct admission_request *req = k->queue.head.next;

    if (a->now < k->next_expiry) {
        return;
    }
    k->next_expiry = CLOCK_NEVER;
    while (req != &k->queue.head) {
        struct admission_request *next = req->next;

        if (req->deadline_at <= a->now) {
            queue_remove(&k->queue, req);
            plan_refusal(a, req, ADMISSION_DEADLINE);
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
        if (first != &k->queue.head) {
            report_delay(a, k, first->members, now - first->submitted_at);
        }
    }
    for (int i = 0; i < a->member_count; i++) {
        relaxed |= pressure_relax(&a->members[i].pressure, now);
    }
    if (relaxed) {
        apply_pressure(a);
    }
    dispatch(a);
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
