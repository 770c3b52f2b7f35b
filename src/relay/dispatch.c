#include "relay/service_internal.h"

#include "relay/placement.h"

#include <string.h>

/* Statements that one proxy has at a member: one more than the member's slots
   keeps them busy during the round trip. */
#define EXTRA_STATEMENTS 1
/* An answer that takes this long may be lost: statements take 15 ms as a rule
   and rarely more than 200 ms. Its connection does not keep the proxy from
   opening another one. */
#define STUCK_MS 250
/* The bound on staleness is met with this much to spare, for the time that
   passes before a request is read. */
#define STALENESS_MARGIN_MS 100
/* Work without any member that could serve it waits this long for one. */
#define NO_MEMBER_HOLD_MS 300
#define CHANGE_HOLD_MS 1200
/* A lease that has been out for this long, or a primary that has not answered
   for this long, will not be back soon: work that needs it is refused at
   once, so that its caller can turn to another proxy. */
#define NO_LEASE_HOLD_MS 150
#define UNREACHABLE_HOLD_MS 700
/* Usual time of a statement at a member, for whether an answer will be late.
 */
#define STATEMENT_MS 15
#define QUEUE_MAX 512
#define MEMBERS_MAX 32

/* Removes work from the queue. */
static void
unqueue(struct service *s, struct work *w)
{
    if (w->queued) {
        g_queue_unlink(&s->queue, &w->link);
        w->queued = false;
    }
}

/* Refuses queued work. */
static void
refuse(struct service *s, struct work *w, uint64_t *counter, const char *why)
{
    unqueue(s, w);
    (*counter)++;
    w->refused(w->ctx, why);
}

/* Returns an idle link of a member, preferring one with the same settings,
   then one without any. */
static struct pooled_link *
idle_link(const struct member *m, uint64_t values_hash, bool *exact)
{
    struct pooled_link *best = NULL;

    *exact = false;
    for (guint k = 0; k < m->links->len; k++) {
        struct pooled_link *l = m->links->pdata[k];
        if (l->state != LINK_IDLE) {
            continue;
        }
        if (l->values_hash == values_hash) {
            *exact = true;
            return l;
        }
        if (best == NULL || l->values_hash == 0) {
            best = l;
        }
    }
    return best;
}

/* Tells whether a replica may have the position that work needs: it was seen
   to have it, or was not found to lack it lately. A replica that is far behind
   still serves the reads that may be as old as it is. */
static bool
may_have(const struct member *m, const struct work *w, clock_ms now)
{
    return now >= m->lag_until ||
           (m->position.known && w->after.known &&
            token_is_met(&w->after, m->position.term, m->position.position));
}

/* Describes a member for placement. */
static struct placement_member
view_of(const struct service *s, const struct member *m, const struct work *w,
        bool lease, clock_ms now)
{
    struct placement_member p = {
        .usable = m->unreachable_since == 0,
        .primary = lease && strcmp(m->entry.id, s->primary) == 0 &&
                   now >= m->not_primary_until,
        .caught_up = may_have(m, w, now) && !m->entry.draining &&
                     (m->gone_at == 0 || now - m->gone_at < GONE_AFTER_MS),
        .local = strcmp(m->entry.failure_domain, s->failure_domain) == 0,
        .behind = m->missing.known,
        .avoided = strcmp(w->avoid, m->entry.id) == 0,
        .limit = m->entry.slots + EXTRA_STATEMENTS,
        .statement_us = m->statement_us,
    };

    bool idle = false;
    int working = 0;
    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *l = m->links->pdata[k];
        const bool stuck = link_waited_ms(l, now) >= STUCK_MS;
        p.executing += l->active && !stuck;
        working += !stuck;
        idle = idle || l->state == LINK_IDLE;
    }
    p.link_free =
        idle || (working < s->share && (int)m->links->len < s->share_most &&
                 now >= m->full_until);
    return p;
}

/* Hands a link to work. */
static void
grant(struct service *s, struct pooled_link *l, struct work *w, bool primary)
{
    unqueue(s, w);
    l->state = LINK_GRANTED;
    l->as_primary = primary;
    l->epoch = s->epoch;
    l->active = true;
    l->changed_at = service_now(s);
    s->counters.granted++;
    w->granted(w->ctx, l);
}

/* Finds the position that a read on a replica must check. Returns false when
   only the primary can serve. */
static bool
required_position(const struct service *s, struct work *w)
{
    if (w->needs_primary) {
        return false;
    }
    struct token floor;
    if (!samples_floor(&s->samples,
                       w->arrived - w->staleness_ms + STALENESS_MARGIN_MS,
                       &floor)) {
        return false;
    }
    w->after = floor;
    if (w->floor.known) {
        token_raise(&w->after, w->floor.term, w->floor.position);
    }
    return true;
}

/* Returns how long work waits while no member can serve it. */
static int64_t
hold_ms(const struct service *s, clock_ms now)
{
    const struct member *m = service_find_member(s, s->primary);

    if (s->changing) {
        return CHANGE_HOLD_MS;
    }
    if (s->lease_lost_at != 0 && now - s->lease_lost_at >= NO_LEASE_HOLD_MS) {
        return 0;
    }
    if (m != NULL && m->unreachable_since != 0 &&
        now - m->unreachable_since >= UNREACHABLE_HOLD_MS) {
        return 0;
    }
    return NO_MEMBER_HOLD_MS;
}

/* Returns since when no member can serve work that needs the primary; 0 when
   that is not known to have begun. Time that work waited in the queue before,
   for a member that was only busy, does not count as waiting without one. */
static clock_ms
blocked_since(const struct service *s)
{
    const struct member *m = service_find_member(s, s->primary);

    if (s->changing) {
        return s->fenced_at;
    }
    return MAX(s->lease_lost_at, m != NULL ? m->unreachable_since : 0);
}

/* Places one piece of work. Returns true when it left the queue. */
static bool
place(struct service *s, struct work *w, bool lease, clock_ms now)
{
    struct placement_member views[MEMBERS_MAX];
    const int n = (int)MIN(s->members->len, MEMBERS_MAX);

    if (now >= w->deadline) {
        refuse(s, w, &s->counters.refused_deadline, "queue_deadline");
        return true;
    }
    const bool bounded = required_position(s, w);
    for (int i = 0; i < n; i++) {
        views[i] = view_of(s, s->members->pdata[i], w, lease, now);
    }
    const int chosen = placement_choose(views, n, w->needs_primary, bounded);
    if (chosen == PLACEMENT_NONE) {
        if (now - MAX(w->arrived, blocked_since(s)) >= hold_ms(s, now)) {
            refuse(s, w, &s->counters.refused_no_member,
                   s->changing ? "primary_changing"
                   : lease     ? "no_member"
                               : "no_lease");
            return true;
        }
        return false;
    }
    if (chosen == PLACEMENT_WAIT) {
        return false;
    }
    struct member *m = s->members->pdata[chosen];
    bool exact;
    struct pooled_link *l = idle_link(m, w->values_hash, &exact);
    if (l != NULL) {
        grant(s, l, w, views[chosen].primary);
        return true;
    }
    int opening = 0;
    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *o = m->links->pdata[k];
        opening += o->state == LINK_OPENING;
    }
    if (opening < (int)s->queue.length) {
        link_open(m, now);
    }
    return false;
}

/* Places the queued work that is already late, or the rest. */
static void
place_all(struct service *s, bool lease, bool late, clock_ms now)
{
    GList *next = s->queue.head;

    while (next != NULL) {
        struct work *w = next->data;
        next = next->next;
        /* A grant may change the queue, so the scan starts again. */
        if ((now + STATEMENT_MS >= w->target) == late &&
            place(s, w, lease, now)) {
            next = s->queue.head;
        }
    }
}

/* Places queued work as far as there is room: in the order of the queue, but
   work that has missed its target goes behind all that can still meet it.
   Under overload first come, first served would make every answer late. */
void
service_dispatch(struct service *s)
{
    if (s->dispatching) {
        s->dispatch_again = true;
        return;
    }
    s->dispatching = true;
    do {
        s->dispatch_again = false;
        const clock_ms now = service_now(s);
        const bool lease = !s->changing && s->primary[0] != '\0' &&
                           s->lease_valid(s->ctx, s->name, now);
        place_all(s, lease, false, now);
        place_all(s, lease, true, now);
    } while (s->dispatch_again);
    s->dispatching = false;
}

/* Estimates how long new work of a priority would wait. */
static int64_t
expected_wait_ms(const struct service *s, const struct work *w)
{
    int64_t ahead = 0;
    int64_t rate_us = 0;
    int slots = 0;

    for (const GList *l = s->queue.head; l != NULL; l = l->next) {
        const struct work *o = l->data;
        ahead += o->priority <= w->priority;
    }
    for (guint i = 0; i < s->members->len; i++) {
        const struct member *m = s->members->pdata[i];
        if (m->unreachable_since == 0 && m->gone_at == 0) {
            slots += m->entry.slots;
            rate_us += m->statement_us * m->entry.slots;
        }
    }
    return slots == 0 ? 0 : ahead * (rate_us / slots) / slots / 1000;
}

/* Queues work behind all that is at least as urgent, and places what can be
   placed. Work that would wait beyond its deadline is refused at once. */
void
service_submit(struct service *s, struct work *w)
{
    const clock_ms now = service_now(s);

    if (s->queue.length >= QUEUE_MAX ||
        expected_wait_ms(s, w) > w->deadline - now) {
        s->counters.refused_queue++;
        w->refused(w->ctx, "queue_full");
        return;
    }
    w->link = (GList){.data = w};
    w->queued = true;
    GList *before = s->queue.tail;
    while (before != NULL) {
        const struct work *o = before->data;
        if (o->priority <= w->priority) {
            break;
        }
        before = before->prev;
    }
    if (before == NULL) {
        g_queue_push_head_link(&s->queue, &w->link);
    }
    else {
        g_queue_insert_after_link(&s->queue, before, &w->link);
    }
    service_dispatch(s);
}

/* Takes work out of the queue without calling it back. */
void
service_withdraw(struct service *s, struct work *w)
{
    unqueue(s, w);
}
