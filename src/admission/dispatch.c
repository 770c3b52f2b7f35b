#include "admission/dispatch.h"

#include <glib.h>

/* A request is granted only if this many times its estimated cost remains
   before its deadline. In overload, requests reach the head of the queue close
   to their deadline; with a factor of 1, half of those granted would finish
   too late and waste their slot on the member. */
#define GRANT_MEAN_COSTS 2

/* Recomputes for which classes a member has capacity. The total is checked as
   well as floor and surplus: a statement may still run on a lent connection
   after its loan has ended, and the member gets no new request until it
   ends. */
void
dispatch_update_capacity(struct admission *a, int index)
{
    struct member *m = &a->members[index];
    uint32_t bit = 1U << index;
    int limit = m->floor + m->surplus +
                (ADMISSION_BREAK == ADMISSION_BREAK_CAP ? 1 : 0);
    bool below = m->usable && m->floor_used + m->surplus_used < limit;
    bool surplus = below && (m->surplus_used < m->surplus ||
                             ADMISSION_BREAK == ADMISSION_BREAK_CAP);
    bool permit = m->batch_used < m->batch_permits ||
                  ADMISSION_BREAK == ADMISSION_BREAK_BATCH_PERMIT;
    bool lent =
        surplus || (below && ADMISSION_BREAK == ADMISSION_BREAK_BATCH_FLOOR);
    bool batch = a->policy == ADMISSION_POLICY_FIFO ? below : lent && permit;

    a->free_members[ADMISSION_SHORT] &= ~bit;
    a->free_members[ADMISSION_BATCH] &= ~bit;
    if (surplus || (below && m->floor_used < m->floor)) {
        a->free_members[ADMISSION_SHORT] |= bit;
    }
    if (batch) {
        a->free_members[ADMISSION_BATCH] |= bit;
    }
}

/* Schedules the refusal of a request that is on no list. The callback runs
   later, when no list is being traversed. */
void
dispatch_queue_refusal(struct admission *a, struct admission_request *req,
                       enum admission_refusal reason)
{
    req->state = ADMISSION_REFUSING;
    request_list_append(&a->pending_refusals[reason], req);
}

static void
flush_refusals(struct admission *a)
{
    for (int reason = 0; reason < ADMISSION_REFUSAL_COUNT; reason++) {
        struct admission_request *head = &a->pending_refusals[reason];

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

/* Recomputes on which members each kind is shed, and refuses queued short
   requests that are shed on all their members. Batch requests stay queued
   instead: their deadlines are long and their queue is bounded. */
void
dispatch_apply_pressure(struct admission *a)
{
    for (int i = 0; i < a->kind_count; i++) {
        struct kind *k = &a->kinds[i];
        struct admission_request *req = k->queue.head.next;

        a->shed_members[i] = 0;
        for (int m = 0; m < a->member_count; m++) {
            if (pressure_sheds(&a->members[m].pressure, k->rank)) {
                a->shed_members[i] |= 1U << m;
            }
        }
        if (a->shed_members[i] == 0 || k->config.class == ADMISSION_BATCH) {
            continue;
        }
        while (req != &k->queue.head) {
            struct admission_request *next = req->next;

            if (req->members != 0 &&
                (req->members & ~a->shed_members[i]) == 0) {
                queue_remove(&k->queue, req);
                dispatch_queue_refusal(a, req, ADMISSION_SHED);
            }
            req = next;
        }
    }
}

/* Reports a request's queue delay to the load shedding of each of the members.
   Batch requests are ignored: they usually wait for permits, which is no sign
   of overload. */
void
dispatch_report_delay(struct admission *a, const struct kind *k,
                      uint32_t members, clock_ms delay)
{
    bool changed = false;

    if (a->policy == ADMISSION_POLICY_FIFO ||
        k->config.class == ADMISSION_BATCH) {
        return;
    }
    for (uint32_t remaining = members; remaining != 0;
         remaining &= remaining - 1) {
        struct member *m = &a->members[__builtin_ctz(remaining)];

        /* A member that accepts no requests delays them without being
           overloaded. */
        if (m->usable && m->floor + m->surplus > 0) {
            changed |=
                pressure_report_delay(&m->pressure, a->now, k->rank, delay);
        }
    }
    if (changed) {
        dispatch_apply_pressure(a);
    }
}

/* Returns the next request to grant, or NULL: among the requests that a free
   member may serve, those of the most important rank, and of these the one
   with the lowest sort key. FIFO compares the sort keys of all kinds. */
static struct admission_request *
next_request(struct admission *a)
{
    struct admission_request *best = NULL;

    for (int i = 0; i < a->kind_count; i++) {
        int index = a->kinds_by_rank[i];
        struct kind *k = &a->kinds[index];
        struct admission_request *req;

        if (best != NULL && a->policy != ADMISSION_POLICY_FIFO &&
            ADMISSION_BREAK != ADMISSION_BREAK_PRIORITY &&
            k->rank != a->kinds[best->kind].rank) {
            break;
        }
        if (k->queue.count == 0) {
            continue;
        }
        req = queue_first(&k->queue, a->free_members[k->config.class] &
                                         ~a->shed_members[index]);
        if (req != NULL && (best == NULL || req->sort_key < best->sort_key)) {
            best = req;
        }
    }
    return best;
}

/* Chooses the free member with the fewest statements. Short requests prefer
   members with a free floor connection, which leaves lent connections to batch
   requests. */
static int
choose_member(const struct admission *a, uint32_t members, bool batch)
{
    int best = -1;
    int best_score = 0;

    for (uint32_t remaining = members; remaining != 0;
         remaining &= remaining - 1) {
        int index = __builtin_ctz(remaining);
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
    g_assert(best >= 0);
    return best;
}

/* Marks a request as running on a member and counts its connection as used. */
static void
assign_connection(struct admission *a, struct admission_request *req,
                  int index)
{
    struct member *m = &a->members[index];
    struct kind *k = &a->kinds[req->kind];
    bool batch = k->config.class == ADMISSION_BATCH;
    bool fifo = a->policy == ADMISSION_POLICY_FIFO;

    req->state = ADMISSION_RUNNING;
    req->queued = false;
    req->member = index;
    req->started_at = a->now;
    req->on_surplus = (batch && !fifo && m->surplus_used < m->surplus) ||
                      m->floor_used >= m->floor;
    req->holds_batch_permit = batch;
    m->floor_used += req->on_surplus ? 0 : 1;
    m->surplus_used += req->on_surplus ? 1 : 0;
    m->batch_used += batch ? 1 : 0;
    request_list_append(batch ? &a->permit_holders : &k->running_short, req);
    k->granted++;
    dispatch_update_capacity(a, index);
}

/* Grants a queued request, or refuses it when it can no longer finish by its
   deadline. */
static void
grant(struct admission *a, struct admission_request *req)
{
    struct kind *k = &a->kinds[req->kind];
    uint32_t members = req->members & a->free_members[k->config.class] &
                       ~a->shed_members[req->kind];
    clock_ms delay = a->now - req->submitted_at;

    queue_remove(&k->queue, req);
    if (a->now >= req->deadline_at ||
        (a->policy != ADMISSION_POLICY_FIFO &&
         a->now + GRANT_MEAN_COSTS * req->cost_us / US_PER_MS >
             req->deadline_at)) {
        dispatch_queue_refusal(a, req, ADMISSION_DEADLINE);
        return;
    }
    assign_connection(
        a, req, choose_member(a, members, k->config.class == ADMISSION_BATCH));
    dispatch_report_delay(a, k, 1U << req->member, delay);
    a->ops.grant(a->ctx, req, req->member);
}

/* Grants and refuses requests until no more can be granted. When a callback
   calls back into admission, the nested call only changes the state and the
   outermost one continues from there, which bounds the stack depth. */
void
dispatch_run(struct admission *a)
{
    struct admission_request *req;

    if (a->dispatching) {
        return;
    }
    a->dispatching = true;
    flush_refusals(a);
    while ((req = next_request(a)) != NULL) {
        grant(a, req);
        flush_refusals(a);
    }
    a->dispatching = false;
}
