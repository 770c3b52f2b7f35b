#include "relay/service_internal.h"

#include "relay/placement.h"

#include <string.h>

/* A proxy may have this many statements more at a member than the member has
   slots, which keeps the slots busy during the round trip. */
#define EXTRA_STATEMENTS 1
/* An answer that takes longer may be lost: statements usually take 15 ms and
   rarely more than 200 ms. Another connection may then be opened in place of
   the one that waits. */
#define ANSWER_OVERDUE_MS 250
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
#define QUEUE_MAX 512
/* Reads at the primary because the replicas lag: the primary runs all writes,
   and every read there raises its session's position, so that the next read
   finds the replicas behind again. The maximum is in thousandths. */
#define LAGGED_READS_PART 8
#define LAGGED_READS_MAX 4000
#define CANDIDATES_MAX 32

static void
remove_from_queue(struct service *s, struct connection_request *w)
{
    if (w->queued) {
        g_queue_unlink(&s->queue, &w->queue_node);
        w->queued = false;
    }
}

static void
refuse_request(struct service *s, struct connection_request *w,
               uint64_t *counter, const char *why)
{
    remove_from_queue(s, w);
    (*counter)++;
    w->refused(w->ctx, why);
}

/* Returns an idle link of a member, or NULL: preferably one with the same
   settings, for which it sets *exact, otherwise one without settings. */
static struct pooled_link *
find_idle_link(const struct member *m, uint64_t settings_hash, bool *exact)
{
    struct pooled_link *best = NULL;

    *exact = false;
    for (guint k = 0; k < m->links->len; k++) {
        struct pooled_link *l = m->links->pdata[k];
        if (l->state != LINK_IDLE) {
            continue;
        }
        if (l->settings_hash == settings_hash) {
            *exact = true;
            return l;
        }
        if (best == NULL || l->settings_hash == 0) {
            best = l;
        }
    }
    return best;
}

/* Returns true if a link carries a transaction that waits for its next
   statement. */
static bool
link_rests(const struct pooled_link *l)
{
    return l->state == LINK_GRANTED && !l->active;
}

/* Returns the time until a connection in use is expected to be free for
   another request; 0 if none is, or if opening one takes less. Requests wait
   only for connections that are opened on demand. */
static int64_t
free_link_wait_us(const struct member *m, const struct placement_member *p,
                  const struct connection_request *w, clock_ms now)
{
    int active = 0;

    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *l = m->links->pdata[k];
        active += l->state == LINK_GRANTED && l->active &&
                  link_waited_ms(l, now) < ANSWER_OVERDUE_MS;
    }
    if (active == 0 || p->connection_idle) {
        return 0;
    }
    const int64_t us =
        m->mean_statement_us * (2 * m->waiting + 1) / (2 * (int64_t)active);
    const int64_t late_us =
        (w->target - now) * 1000 - us - 2 * m->mean_statement_us;
    const int64_t open_us =
        p->connection_available ? placement_open_us(p) : INT64_MAX;
    return us < open_us && late_us > 0 ? us : 0;
}

/* Returns after which time a replica is expected to have the position that a
   request requires. Where connections stay open, this is 0 or INT64_MAX: a
   replica that was found to lag is tried again after a delay. */
static int64_t
lag_wait_ms(const struct service *s, const struct member *m,
            const struct connection_request *w, clock_ms now)
{
    if (s->limits.idle_permille > 0) {
        return replica_lag_wait_ms(&m->lag, &s->position_samples,
                                   &w->min_position, now);
    }
    const struct token *position = &m->lag.position;
    const bool has = position->known && w->min_position.known &&
                     token_is_satisfied(&w->min_position, position->term,
                                        position->position);
    return has || now >= m->lag_retry_at ? 0 : INT64_MAX;
}

static struct placement_member
describe_member(const struct service *s, const struct member *m,
                const struct connection_request *w, bool lease, clock_ms now)
{
    const bool listed =
        m->unlisted_at == 0 || now - m->unlisted_at < UNLISTED_GRACE_MS;
    const int64_t lag_ms = lag_wait_ms(s, m, w, now);
    struct placement_member p = {
        .usable = m->unreachable_since == 0 &&
                  (m->unlisted_at == 0 ||
                   now - m->unlisted_at < UNLISTED_KEEP_MAX_MS),
        .primary = lease && strcmp(m->entry.id, s->primary) == 0 &&
                   now >= m->not_primary_until,
        .caught_up =
            listed && !m->entry.draining && lag_ms < w->deadline - now,
        .same_failure_domain =
            strcmp(m->entry.failure_domain, s->failure_domain) == 0,
        .behind = m->missing_position.known,
        .home = m->home,
        .avoided = strcmp(w->avoid_member, m->entry.id) == 0,
        .slots = m->entry.slots,
        .max_executing = m->entry.slots + EXTRA_STATEMENTS,
        .mean_statement_us = m->mean_statement_us,
    };
    const bool on_demand = s->limits.idle_permille > 0;
    bool idle = false;
    int working = 0;

    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *l = m->links->pdata[k];
        const bool overdue = link_waited_ms(l, now) >= ANSWER_OVERDUE_MS;
        const bool opening = on_demand && l->state == LINK_OPENING;
        p.executing += (l->active || opening) && !overdue;
        working += !overdue && !(on_demand && link_rests(l));
        idle = idle || l->state == LINK_IDLE;
    }
    p.connection_idle = idle;
    const int limit = on_demand ? (int)m->window : s->limits.working;
    const clock_ms open_from =
        on_demand ? MAX(m->full_until, member_open_from(m)) : m->full_until;
    p.connection_available =
        now >= m->busy_until &&
        (idle || (working < limit && (int)m->links->len < s->limits.total &&
                  now >= open_from));
    if (on_demand) {
        p.open_us = MAX(member_opening_us(m, now), 1);
        p.wait_us = free_link_wait_us(m, &p, w, now);
    }
    if (!p.primary && p.caught_up) {
        p.lag_us = lag_ms * 1000;
        p.wait_us = MAX(p.wait_us, p.lag_us);
    }
    return p;
}

/* Removes the primary from the candidates for a read that the replicas can
   serve only after a wait, if too many such reads have gone there, and the
   wait does not make it miss its target. Returns true if all usable replicas
   are behind for the read. */
static bool
spare_primary(const struct service *s, struct placement_member *p, int n,
              const struct connection_request *w, clock_ms now)
{
    int64_t least_us = INT64_MAX;

    for (int i = 0; i < n; i++) {
        if (p[i].usable && !p[i].primary && p[i].caught_up) {
            least_us = MIN(least_us, p[i].lag_us);
        }
    }
    if (least_us == 0 || least_us == INT64_MAX) {
        return false;
    }
    for (int i = 0; i < n; i++) {
        const int64_t us = least_us + 2 * p[i].mean_statement_us;
        if (p[i].primary && s->lagged_reads_credit < 1000 &&
            now + us / 1000 < w->target) {
            p[i].usable = false;
        }
    }
    return true;
}

static void
grant(struct service *s, struct pooled_link *l, struct connection_request *w,
      bool primary)
{
    remove_from_queue(s, w);
    l->state = LINK_GRANTED;
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

/* Opens a connection to a member unless enough are being opened: where they
   are opened on demand, one for each request of this dispatch that is to be
   served there, since an opening costs as much as half a statement. */
static void
open_if_wanted(struct member *m, clock_ms now)
{
    const struct service *s = m->service;
    const int wanted =
        s->limits.idle_permille > 0 ? m->wanted : (int)s->queue.length;
    int opening = 0;

    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *o = m->links->pdata[k];
        opening += o->state == LINK_OPENING;
    }
    if (opening < wanted) {
        link_open(m, now);
    }
}

/* Grants a connection to a request, or refuses it if its deadline has passed
   or no member can serve it. Opens a connection if a suitable member has no
   idle one. Returns true if the request left the queue. */
static bool
place_request(struct service *s, struct connection_request *w, bool lease,
              clock_ms now)
{
    struct placement_member candidates[CANDIDATES_MAX];
    const int n = (int)MIN(s->members->len, CANDIDATES_MAX);

    if (now >= w->deadline) {
        refuse_request(s, w, &s->counters.refused_deadline, "queue_deadline");
        return true;
    }
    const bool replicas_allowed = set_min_position(s, w);
    for (int i = 0; i < n; i++) {
        candidates[i] =
            describe_member(s, s->members->pdata[i], w, lease, now);
    }
    const bool lagged =
        replicas_allowed && spare_primary(s, candidates, n, w, now);
    const int chosen =
        placement_choose(candidates, n, w->needs_primary, replicas_allowed);
    if (chosen == PLACEMENT_NONE) {
        if (now - MAX(w->arrived_at, blocked_since(s)) >=
            max_wait_ms(s, now)) {
            refuse_request(s, w, &s->counters.refused_no_member,
                           s->primary_changing ? "primary_changing"
                           : lease             ? "no_member"
                                               : "no_lease");
            return true;
        }
        return false;
    }
    if (chosen == PLACEMENT_WAIT) {
        return false;
    }
    struct member *m = s->members->pdata[chosen];
    if (candidates[chosen].wait_us > 0) {
        m->waiting++;
        return false;
    }
    bool exact;
    struct pooled_link *l = find_idle_link(m, w->settings_hash, &exact);
    if (l != NULL) {
        if (replicas_allowed) {
            count_read(s, lagged && candidates[chosen].primary);
        }
        grant(s, l, w, candidates[chosen].primary);
        return true;
    }
    m->wanted++;
    open_if_wanted(m, now);
    return false;
}

/* Starts a pass over the queue anew: requests that are still queued are
   counted again. */
static void
restart_pass(struct service *s)
{
    for (guint i = 0; i < s->members->len; i++) {
        struct member *m = s->members->pdata[i];
        m->wanted = m->wanted_before;
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
        m->wanted_before = late ? m->wanted : 0;
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
        const bool lease = !s->primary_changing && s->primary[0] != '\0' &&
                           s->lease_valid(s->ctx, s->name, now);
        place_requests(s, lease, false, now);
        place_requests(s, lease, true, now);
    } while (s->dispatch_again);
    s->dispatching = false;
}

/* Estimates how long a new request would wait, from the requests of at least
   the same priority ahead of it and the statement times of the reachable
   members. */
static int64_t
expected_wait_ms(const struct service *s, const struct connection_request *w)
{
    int64_t ahead = 0;
    int64_t weighted_us = 0;
    int slots = 0;

    for (const GList *l = s->queue.head; l != NULL; l = l->next) {
        const struct connection_request *o = l->data;
        ahead += o->priority <= w->priority;
    }
    for (guint i = 0; i < s->members->len; i++) {
        const struct member *m = s->members->pdata[i];
        if (m->unreachable_since == 0 && m->unlisted_at == 0) {
            slots += m->entry.slots;
            weighted_us += m->mean_statement_us * m->entry.slots;
        }
    }
    return slots == 0 ? 0 : ahead * (weighted_us / slots) / slots / 1000;
}

/* Queues a request behind all of the same or a more urgent priority. A request
   that is expected to wait beyond its deadline is refused immediately.
   granted() or refused() may be called before this function returns. */
void
service_submit(struct service *s, struct connection_request *w)
{
    const clock_ms now = service_now(s);

    if (s->queue.length >= QUEUE_MAX ||
        expected_wait_ms(s, w) > w->deadline - now) {
        s->counters.refused_queue++;
        w->refused(w->ctx, "queue_full");
        return;
    }
    w->queue_node = (GList){.data = w};
    w->queued = true;
    GList *before = s->queue.tail;
    while (before != NULL) {
        const struct connection_request *o = before->data;
        if (o->priority <= w->priority) {
            break;
        }
        before = before->prev;
    }
    if (before == NULL) {
        g_queue_push_head_link(&s->queue, &w->queue_node);
    }
    else {
        g_queue_insert_after_link(&s->queue, before, &w->queue_node);
    }
    service_dispatch(s);
}

/* Removes a request from the queue. Neither granted() nor refused() is
   called. */
void
service_withdraw(struct service *s, struct connection_request *w)
{
    remove_from_queue(s, w);
}
