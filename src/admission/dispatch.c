#include "admission/dispatch.h"

#include <glib.h>

/* A grant needs this many mean costs before the deadline. In overload the
   queue is as old as the deadline allows; with one mean, half of what is
   granted there would finish too late and waste its slot. */
#define GRANT_COSTS 2

/* Recomputes which classes a member has capacity for. The total is checked
   besides the two parts: after a loan ended, a statement may still be on its
   connection, and until it ends the member takes nothing new. */
void
dispatch_update_free(struct admission *a, int index)
{
    struct member *m = &a->members[index];
    uint32_t bit = 1U << index;
    int limit = m->floor + m->surplus +
                (ADMISSION_BREAK == ADMISSION_BREAK_CAP ? 1 : 0);
    bool below = m->usable && m->floor_used + m->surplus_used < limit;
    bool surplus = below && (m->surplus_used < m->surplus ||
                             ADMISSION_BREAK == ADMISSION_BREAK_CAP);
    bool permit = m->batch_used < m->permits ||
                  ADMISSION_BREAK == ADMISSION_BREAK_BATCH_PERMIT;
    bool lent =
        surplus || (below && ADMISSION_BREAK == ADMISSION_BREAK_BATCH_FLOOR);
    bool batch = a->policy == ADMISSION_POLICY_FIFO ? below : lent && permit;

    a->free[ADMISSION_SHORT] &= ~bit;
    a->free[ADMISSION_BATCH] &= ~bit;
    if (surplus || (below && m->floor_used < m->floor)) {
        a->free[ADMISSION_SHORT] |= bit;
    }
    if (batch) {
        a->free[ADMISSION_BATCH] |= bit;
    }
}

/* Moves a request that is on no list to those whose refusal is due. The
   callbacks run later, when no list is being walked. */
void
dispatch_refuse_later(struct admission *a, struct admission_request *req,
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
void
dispatch_apply_pressure(struct admission *a)
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
                dispatch_refuse_later(a, req, ADMISSION_SHED);
            }
            req = next;
        }
    }
}

/* Reports a queue delay of short work on each of the members. Work of batch
   kinds waits for permits as a rule, and that wait says nothing about
   overload. */
void
dispatch_report_delay(struct admission *a, const struct kind *k,
                      uint32_t members, clock_ms delay)
{
    bool changed = false;

    if (a->policy == ADMISSION_POLICY_FIFO ||
        k->config.class == ADMISSION_BATCH) {
        return;
    }
    for (uint32_t rest = members; rest != 0; rest &= rest - 1) {
        struct member *m = &a->members[__builtin_ctz(rest)];

        /* A member that takes no work delays it without being overloaded. */
        if (m->usable && m->floor + m->surplus > 0) {
            changed |= pressure_report(&m->pressure, a->now, k->rank, delay);
        }
    }
    if (changed) {
        dispatch_apply_pressure(a);
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
            ADMISSION_BREAK != ADMISSION_BREAK_PRIORITY &&
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
    g_assert(best >= 0);
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
    req->on_surplus = (batch && !fifo && m->surplus_used < m->surplus) ||
                      m->floor_used >= m->floor;
    req->holds_batch_permit = batch;
    m->floor_used += req->on_surplus ? 0 : 1;
    m->surplus_used += req->on_surplus ? 1 : 0;
    m->batch_used += batch ? 1 : 0;
    request_list_append(batch ? &a->charged : &k->running, req);
    k->granted++;
    dispatch_update_free(a, index);
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
         a->now + GRANT_COSTS * req->cost_us / US_PER_MS > req->deadline_at)) {
        dispatch_refuse_later(a, req, ADMISSION_DEADLINE);
        return;
    }
    occupy(a, req,
           choose_member(a, members, k->config.class == ADMISSION_BATCH));
    dispatch_report_delay(a, k, 1U << req->member, delay);
    a->ops.grant(a->ctx, req, req->member);
}

/* Grants and refuses until nothing more can be done. A callback that calls
   back into admission only changes the state; the outermost call goes on with
   the result, so the stack stays flat. */
void
dispatch_run(struct admission *a)
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
