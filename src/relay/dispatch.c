#include "relay/service_internal.h"

#include "relay/placement.h"

#include <string.h>

/* Subtracted from the staleness bound, for the time that passes before the
   member reads the request. */
#define STALENESS_MARGIN_MS 100
/* How long a request waits while no member can serve it, by default and while
   the primary is being changed. */
#define NO_MEMBER_WAIT_MS 300
#define PRIMARY_CHANGE_WAIT_MS 1200
/* A change that has taken longer waits for proxies that do not answer, and may
   still take seconds: requests are refused without waiting. */
#define PRIMARY_CHANGE_LONG_MS 2000
/* Once the lease has been invalid, or the primary unreachable, for this long,
   it is not expected back soon: requests are refused without waiting, so that
   the caller can turn to another proxy. */
#define NO_LEASE_WAIT_MS 150
#define UNREACHABLE_WAIT_MS 700
/* Usual time of a statement at a member. A request counts as late if less than
   this is left until its latency target. */
#define TYPICAL_STATEMENT_MS 15
/* Reads at the primary because the replicas lag: the primary runs all writes,
   and every read there raises its session's position, so that the next read
   finds the replicas behind again. The maximum is in thousandths. */
#define LAGGED_READS_PART 8
#define LAGGED_READS_MAX 4000

static void
refuse_request(struct service *s, struct connection_request *w,
               uint64_t *counter, const char *why)
{
    service_queue_remove(s, w, false);
    (*counter)++;
    w->refused(w->ctx, why);
}

static void
grant(struct service *s, struct pooled_link *l, struct connection_request *w,
      bool primary)
{
    service_queue_remove(s, w, true);
    l->state = LINK_GRANTED;
    l->evictable = true;
    l->as_primary = primary;
    l->epoch = s->epoch;
    l->active = true;
    l->changed_at = service_now(s);
    s->counters.granted++;
    s->counters.home_granted += l->member->home;
    w->granted(w->ctx, l);
}

/* Counts a granted read. One in LAGGED_READS_PART may go to the primary
   because the replicas lag. */
static void
count_read(struct service *s, bool lagged_at_primary)
{
    s->lagged_reads_credit = MIN(
        s->lagged_reads_credit + 1000 / LAGGED_READS_PART, LAGGED_READS_MAX);
    if (lagged_at_primary) {
        s->lagged_reads_credit -= 1000;
        s->counters.lagged_at_primary++;
    }
}

/* Sets the position that a replica must have to serve the request. Returns
   false if only the primary can serve it. */
static bool
set_min_position(const struct service *s, struct connection_request *w)
{
    if (w->needs_primary) {
        return false;
    }
    struct token floor;
    if (!position_samples_min_position(
            &s->position_samples,
            w->arrived_at - w->staleness_ms + STALENESS_MARGIN_MS, &floor)) {
        return false;
    }
    w->min_position = floor;
    if (w->floor.known) {
        token_raise(&w->min_position, w->floor.term, w->floor.position);
    }
    return true;
}

/* Returns how long a request may wait while no member can serve it. */
static int64_t
max_wait_ms(const struct service *s, clock_ms now)
{
    const struct member *m = service_find_member(s, s->primary);

    if (s->primary_changing) {
        return now - s->primary_changed_at >= PRIMARY_CHANGE_LONG_MS
                   ? 0
                   : PRIMARY_CHANGE_WAIT_MS;
    }
    if (s->lease_lost_at != 0 && now - s->lease_lost_at >= NO_LEASE_WAIT_MS) {
        return 0;
    }
    if (m != NULL && m->unreachable_since != 0 &&
        now - m->unreachable_since >= UNREACHABLE_WAIT_MS) {
        return 0;
    }
    return NO_MEMBER_WAIT_MS;
}

/* Returns since when the primary has been unavailable, or 0 if it is not known
   to be. The time that a request has waited for a busy member before then is
   not counted as waiting without a member. */
static clock_ms
blocked_since(const struct service *s)
{
    const struct member *m = service_find_member(s, s->primary);

    if (s->primary_changing) {
        return s->primary_changed_at;
    }
    return MAX(s->lease_lost_at, m != NULL ? m->unreachable_since : 0);
}

/* Returns how many connections to a member may be in the state of being opened
   for an account: where they are opened on demand, one for each queued request
   that needs one there, since an opening costs as much as half a statement. */
static int
count_wanted(const struct member *m, const struct account *a)
{
    const struct service *s = m->service;
    int wanted = 0;

    if (s->limits.idle_permille == 0) {
        return (int)s->queue.length;
    }
    for (const GList *l = s->queue.head; l != NULL; l = l->next) {
        const struct connection_request *o = l->data;
        wanted += o->needs_opening == m && account_equal(o->account, a);
    }
    return wanted;
}

/* Opens a connection to a member for a request unless enough are being opened.
   If it does not fit, the longest idle one of another account is closed for
   it. */
static void
open_if_wanted(struct member *m, struct connection_request *w, clock_ms now)
{
    struct service *s = m->service;
    int opening = 0;

    w->needs_opening = m;
    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *o = m->links->pdata[k];
        opening += o->state == LINK_OPENING && link_serves(o, w->account);
    }
    if (opening >= count_wanted(m, w->account)) {
        return;
    }
    if (member_must_evict(m, now)) {
        s->counters.links_evicted++;
        link_drop(member_longest_idle(m, now), "evicted");
    }
    link_open(m, w->account != NULL ? w->account->name : NULL, now);
}

/* Returns true if this proxy knows the primary and may use it. */
bool
service_may_use_primary(const struct service *s, clock_ms now)
{
    return !s->primary_changing && s->primary[0] != '\0' &&
           s->lease_valid(s->ctx, s->name, now);
}

/* Decides what to do with a request at this time. It changes nothing but what
   dispatch.c keeps in the request: the position that a replica must have. */
void
service_decide(const struct service *s, struct connection_request *w,
               bool lease, clock_ms now, struct placement_decision *d)
{
    *d = (struct placement_decision){.member = -1};
    if (now >= w->deadline) {
        d->action = PLACEMENT_REFUSE_LATE;
        d->why = "queue_deadline";
        return;
    }
    d->n = (int)MIN(s->members->len, CANDIDATES_MAX);
    d->replicas_allowed = set_min_position(s, w);
    for (int i = 0; i < d->n; i++) {
        d->candidates[i] =
            candidate_describe(s->members->pdata[i], w, lease, now);
    }
    d->lagged = d->replicas_allowed &&
                candidates_weigh_lag(s, d->candidates, d->n, w, now);
    const int chosen = placement_choose(d->candidates, d->n, w->needs_primary,
                                        d->replicas_allowed);
    if (chosen == PLACEMENT_NONE) {
        const int64_t waited_ms = now - MAX(w->arrived_at, blocked_since(s));
        d->wait_ms = max_wait_ms(s, now) - waited_ms;
        d->action = d->wait_ms > 0 ? PLACEMENT_AWAIT_MEMBER
                                   : PLACEMENT_REFUSE_NO_MEMBER;
        d->why = s->primary_changing ? "primary_changing"
                 : lease             ? "no_member"
                                     : "no_lease";
        return;
    }
    if (chosen == PLACEMENT_WAIT) {
        d->action = PLACEMENT_AWAIT_CAPACITY;
        return;
    }
    const struct member *m = s->members->pdata[chosen];
    d->member = chosen;
    d->action = d->candidates[chosen].opening_wait_us > 0
                    ? PLACEMENT_AWAIT_OPENING
                : d->candidates[chosen].wait_us > 0 ? PLACEMENT_AWAIT_FREE
                : candidate_idle_link(m, w) != NULL ? PLACEMENT_GRANT
                                                    : PLACEMENT_OPEN;
}

/* Grants a connection to a request, or refuses it if its deadline has passed
   or no member can serve it. Opens a connection if a suitable member has no
   idle one. Returns true if the request left the queue. */
static bool
place_request(struct service *s, struct connection_request *w, bool lease,
              clock_ms now)
{
    struct placement_decision d;

    w->needs_opening = NULL;
    service_decide(s, w, lease, now, &d);
    if (w->decision != NULL) {
        *w->decision = d;
    }
    if (d.action == PLACEMENT_REFUSE_LATE) {
        refuse_request(s, w, &s->counters.refused_deadline, d.why);
        return true;
    }
    if (d.action == PLACEMENT_REFUSE_NO_MEMBER) {
        refuse_request(s, w, &s->counters.refused_no_member, d.why);
        return true;
    }
    if (d.member < 0) {
        return false;
    }
    struct member *m = s->members->pdata[d.member];
    switch (d.action) {
    case PLACEMENT_AWAIT_OPENING:
        w->needs_opening = m;
        return false;
    case PLACEMENT_AWAIT_FREE:
        m->waiting++;
        return false;
    case PLACEMENT_GRANT:
        if (d.replicas_allowed) {
            count_read(s, d.lagged && d.candidates[d.member].primary);
        }
        grant(s, candidate_idle_link(m, w), w, d.candidates[d.member].primary);
        return true;
    default:
        open_if_wanted(m, w, now);
        return false;
    }
}

/* Starts a pass over the queue anew: requests that are still queued are
   counted again. */
static void
restart_pass(struct service *s)
{
    for (guint i = 0; i < s->members->len; i++) {
        struct member *m = s->members->pdata[i];
        m->waiting = m->waiting_before;
    }
}

/* Places the queued requests that are late, or only those that are not. */
static void
place_requests(struct service *s, bool lease, bool late, clock_ms now)
{
    GList *next = s->queue.head;

    for (guint i = 0; i < s->members->len; i++) {
        struct member *m = s->members->pdata[i];
        m->waiting_before = late ? m->waiting : 0;
    }
    restart_pass(s);
    while (next != NULL) {
        struct connection_request *w = next->data;
        next = next->next;
        /* The callbacks may change the queue, so start again. */
        if ((now + TYPICAL_STATEMENT_MS >= w->target) == late &&
            place_request(s, w, lease, now)) {
            restart_pass(s);
            next = s->queue.head;
        }
    }
}

/* Grants connections to queued requests in the order of the queue, but serves
   those that can still meet their latency target before those that cannot. In
   strict queue order every answer would be late under overload. May be called
   from the callbacks of a request; the outer call then starts again. */
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
        const bool lease = service_may_use_primary(s, now);
        place_requests(s, lease, false, now);
        place_requests(s, lease, true, now);
    } while (s->dispatch_again);
    s->dispatching = false;
}
