#include "relay/service_internal.h"

#include <string.h>

/* Describes the members as candidates for a request (placement.h). */

/* A proxy may have this many statements more at a member than the member has
   slots, which keeps the slots busy during the round trip. With accounts it
   has none: requests wait in the proxy's queue, in turns, and not in the
   member's. In the model of accounts, one account that sends eight times its
   usual made the p99 of the others 1.5 times as long with one more, and 1.3
   without. */
#define EXTRA_STATEMENTS 1
/* An answer that takes longer may be lost: statements usually take 15 ms and
   rarely more than 200 ms. Another connection may then be opened in place of
   the one that waits. */
#define ANSWER_OVERDUE_MS 250
/* Requests do not wait for a connection that takes this time to answer or to
   open: its member may not answer any more, which is certain only after
   SILENCE_TIMEOUT_MS. */
#define WAIT_OVERDUE_MS 150
/* A connection is not closed for another before it has been idle for this
   time, or used. */
#define UNUSED_KEPT_MS 100
/* Usual time of an opening with its round trips. */
#define USUAL_OPENING_US 14000

/* Returns an idle link of a member that serves the request's account, or NULL:
   preferably one with the same settings, otherwise one without settings. */
struct pooled_link *
candidate_idle_link(const struct member *m, const struct connection_request *w)
{
    struct pooled_link *best = NULL;

    for (guint k = 0; k < m->links->len; k++) {
        struct pooled_link *l = m->links->pdata[k];
        if (l->state != LINK_IDLE || !link_serves(l, w->account)) {
            continue;
        }
        const uint64_t hash = link_setup_settings_hash(l->setup);
        if (hash == w->settings_hash) {
            return l;
        }
        if (best == NULL || hash == 0) {
            best = l;
        }
    }
    return best;
}

/* Returns the link of a member that has been idle for the longest time, or
   NULL. One that was just opened is left out: a request of its account may
   still wait for it. */
struct pooled_link *
member_longest_idle(const struct member *m, clock_ms now)
{
    struct pooled_link *longest = NULL;

    for (guint k = 0; k < m->links->len; k++) {
        struct pooled_link *l = m->links->pdata[k];
        if (l->state != LINK_IDLE ||
            (!l->evictable && now - l->changed_at < UNUSED_KEPT_MS)) {
            continue;
        }
        if (longest == NULL || l->changed_at < longest->changed_at) {
            longest = l;
        }
    }
    return longest;
}

/* Returns true if an idle connection must be closed before another is opened:
   this proxy has as many as it may, or has kept idle ones for as long as it
   may. Called for an account that has no idle connection, so that the idle
   ones are those of others. */
bool
member_must_evict(const struct member *m, clock_ms now)
{
    const struct connection_limits *l = &m->service->limits;

    return member_longest_idle(m, now) != NULL &&
           ((int)m->links->len >= l->total || now < m->full_until ||
            (l->idle_permille > 0 && m->idle_credit_ms <= 0));
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
   only for connections that are opened on demand, and not for those of
   transactions. */
static int64_t
free_link_wait_us(const struct member *m, const struct placement_member *p,
                  const struct connection_request *w, clock_ms now)
{
    int active = 0;

    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *l = m->links->pdata[k];
        active += l->state == LINK_GRANTED && l->active && !l->rested &&
                  link_serves(l, w->account) &&
                  link_waited_ms(l, now) < WAIT_OVERDUE_MS;
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

/* Returns the time until a connection that is being opened is expected to be
   open for this request; 0 if all are for requests ahead of it. Without this,
   a request opened connections to several members. */
static int64_t
opening_wait_us(const struct member *m, const struct connection_request *w,
                clock_ms now)
{
    int64_t elapsed_ms = 0;
    int left = 0;

    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *l = m->links->pdata[k];
        if (l->state == LINK_OPENING && link_serves(l, w->account) &&
            link_waited_ms(l, now) < WAIT_OVERDUE_MS) {
            left++;
            elapsed_ms = MAX(elapsed_ms, now - l->sent_at);
        }
    }
    if (left == 0) {
        return 0;
    }
    for (const GList *q = m->service->queue.head;
         left > 0 && q != NULL && q->data != w; q = q->next) {
        const struct connection_request *o = q->data;
        left -= o->needs_opening == m && account_equal(o->account, w->account);
    }
    const int64_t us =
        MAX(member_opening_us(m, now), USUAL_OPENING_US) - elapsed_ms * 1000;
    return left > 0 ? MAX(us, 1) : 0;
}

/* Returns after which time a replica is expected to have the position that a
   request requires. Where connections stay open, this is 0 or INT64_MAX: a
   replica that was found to lag is tried again after a delay. */
static int64_t
lag_wait_ms(const struct member *m, const struct connection_request *w,
            clock_ms now)
{
    const struct service *s = m->service;

    if (s->limits.idle_permille > 0) {
        return replica_lag_wait_ms(&m->lag, &s->position_samples,
                                   &w->min_position, w->arrived_at, now);
    }
    const struct token *position = &m->lag.position;
    const bool has = position->known && w->min_position.known &&
                     token_is_satisfied(&w->min_position, position->term,
                                        position->position);
    return has || now >= m->lag_retry_at ? 0 : INT64_MAX;
}

/* Returns true if a transaction of an account may occupy one more connection
   to a member: at most as many as would then be left for others. Transactions
   rest for seconds, and one account could otherwise occupy all connections. */
static bool
may_occupy(const struct member *m, const struct account *a)
{
    int left = m->service->limits.total;
    int occupied = 0;

    if (!m->service->limits.accounts) {
        return true;
    }
    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *l = m->links->pdata[k];
        left -= l->state != LINK_IDLE;
        occupied += l->rested && link_serves(l, a);
    }
    return occupied == 0 || occupied < left;
}

/* Sets how many statements of this proxy a member executes, and whether a
   connection is available for the request. */
static void
describe_connections(struct placement_member *p, const struct member *m,
                     const struct connection_request *w, clock_ms now)
{
    const struct connection_limits *limits = &m->service->limits;
    const bool on_demand = limits->idle_permille > 0;
    int working = 0;

    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *l = m->links->pdata[k];
        const bool overdue = link_waited_ms(l, now) >= ANSWER_OVERDUE_MS;
        const bool opening = on_demand && l->state == LINK_OPENING;
        const bool unused = l->state == LINK_IDLE || link_rests(l);
        p->executing += (l->active || opening) && !overdue;
        working += !overdue && !(on_demand && unused);
        p->connection_idle =
            p->connection_idle ||
            (l->state == LINK_IDLE && link_serves(l, w->account));
    }
    const int limit = on_demand ? (int)m->window : limits->working;
    const bool fits =
        (int)m->links->len < limits->total && now >= m->full_until;
    const bool may_open = (working < limit && fits) ||
                          (working <= limit && member_must_evict(m, now));
    p->connection_available =
        now >= m->busy_until && may_occupy(m, w->account) &&
        (p->connection_idle ||
         (may_open && (!on_demand || now >= member_open_from(m))));
}

/* Describes a member as a candidate for a request. lease is true if this proxy
   may use the primary. */
struct placement_member
candidate_describe(const struct member *m, const struct connection_request *w,
                   bool lease, clock_ms now)
{
    const struct service *s = m->service;
    const bool listed =
        m->unlisted_at == 0 || now - m->unlisted_at < UNLISTED_GRACE_MS;
    const int64_t lag_ms = lag_wait_ms(m, w, now);
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
        .max_executing =
            m->entry.slots + (s->limits.accounts ? 0 : EXTRA_STATEMENTS),
        .mean_statement_us = m->mean_statement_us,
    };

    describe_connections(&p, m, w, now);
    if (s->limits.idle_permille > 0) {
        p.open_us = MAX(member_opening_us(m, now), 1);
        p.opening_wait_us = p.connection_idle ? 0 : opening_wait_us(m, w, now);
        p.wait_us = p.opening_wait_us > 0 ? p.opening_wait_us
                                          : free_link_wait_us(m, &p, w, now);
    }
    if (!p.primary && p.caught_up) {
        p.lag_us = lag_ms * 1000;
        p.wait_us = MAX(p.wait_us, p.lag_us);
    }
    return p;
}

/* Decides between the primary and a wait for a read that the replicas can
   serve only after a wait. Removes the primary from the candidates if too many
   such reads have gone there, and the wait does not make the read miss its
   target. Otherwise removes the replicas that would take more than half of the
   time to the target: a replica that falls back further is noticed late.
   Returns true if all usable replicas are behind for the read. */
bool
candidates_weigh_lag(const struct service *s, struct placement_member *p,
                     int n, const struct connection_request *w, clock_ms now)
{
    struct placement_member *primary = NULL;
    int64_t least_us = INT64_MAX;

    for (int i = 0; i < n; i++) {
        if (p[i].usable && p[i].primary) {
            primary = &p[i];
        }
        else if (p[i].usable && p[i].caught_up) {
            least_us = MIN(least_us, p[i].lag_us);
        }
    }
    if (primary == NULL || least_us == INT64_MAX) {
        return false;
    }
    const int64_t us = least_us + 2 * primary->mean_statement_us;
    if (least_us > 0 && s->lagged_reads_credit < 1000 &&
        now + us / 1000 < w->target) {
        primary->usable = false;
        return true;
    }
    const clock_ms half = w->arrived_at + (w->target - w->arrived_at) / 2;
    for (int i = 0; i < n; i++) {
        if (p[i].lag_us > 0 && now + p[i].lag_us / 1000 > half) {
            p[i].caught_up = false;
        }
    }
    return least_us > 0;
}
