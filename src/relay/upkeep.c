#include "relay/service_internal.h"

#include "base/event_log.h"

#include <string.h>

/* Periodic checks of a service: timeouts, reconnecting, and removal of
   members. */

/* A member that has not answered any outstanding request for this long is
   treated as unreachable until it answers again. Several times the longest
   usual wait for a slot. */
#define SILENCE_TIMEOUT_MS 400
/* Time for requests in progress at a replaced primary to finish, if it is
   reachable. */
#define OLD_PRIMARY_GRACE_MS 250
/* A connection whose answer is not awaited any more is closed this long after
   the request was sent; an answer that has not arrived by then is lost. */
#define ABANDONED_CLOSE_MS 700
#define IDLE_CLOSE_MS 15000
/* Limits of the time for which connections opened on demand may be open: what
   is saved up in so much time without use, and what is owed after long use.
   In the model of a busy fleet, 2 s gave 0.117 openings a statement and 6 s
   0.094; with 8 s, openings were refused at the start of the load, since all
   proxies had saved the maximum. */
#define IDLE_CREDIT_SAVED_MS 6000
#define IDLE_DEBT_MAX_MS 200.0
/* The same where each connection serves one account. There the part is larger
   than what is in use; with 6 s of it saved up, 36 proxies had up to 35 of
   3,597 openings refused in the model, and 1 of 3,548 with this. */
#define ACCOUNTS_CREDIT_MAX_MS 1500.0

/* The proxies open the connections that they keep over this time, so that the
   openings leave the member slots for statements: 67 openings of 12 ms take a
   quarter of six slots. */
#define HOME_OPEN_SPREAD_MS 500

/* Returns true if a member may be the replica that proxies keep connections
   to. */
static bool
may_be_home(const struct service *s, const struct member *m)
{
    return m->unlisted_at == 0 && !m->entry.draining &&
           strcmp(m->entry.id, s->primary) != 0;
}

/* Chooses the replica to which this proxy keeps a connection. Called when the
   members, the primary or the limits change; without a primary, the choice
   stays. The connection to the former one is then closed like others. */
void
service_update_home(struct service *s)
{
    struct home_replica r[HOME_REPLICAS_MAX];
    const char *home = NULL;
    int n = 0;

    if (s->limits.max_homes > 0 &&
        (s->primary_changing || s->primary[0] == '\0')) {
        return;
    }
    for (guint i = 0; i < s->members->len && n < HOME_REPLICAS_MAX; i++) {
        const struct member *m = s->members->pdata[i];
        if (may_be_home(s, m)) {
            r[n++] = (struct home_replica){
                .id = m->entry.id, .failure_domain = m->entry.failure_domain};
        }
    }
    if (s->limits.max_homes > 0) {
        const int k = home_choose(r, n, &s->limits.place, s->limits.max_homes);
        home = k >= 0 ? r[k].id : NULL;
    }
    for (guint i = 0; i < s->members->len; i++) {
        struct member *m = s->members->pdata[i];
        const bool chosen = home != NULL && strcmp(m->entry.id, home) == 0;
        if (chosen != m->home) {
            m->home = chosen;
            m->home_open_at = 0;
            event_log(EVENT_STATE, "home", "service=%s member=%s home=%d",
                      s->name, m->entry.id, chosen);
        }
    }
}

/* Returns true if a link is the idle one that this proxy keeps to a replica:
   the most recently used of the idle ones. */
bool
link_is_kept(const struct pooled_link *l)
{
    const struct member *m = l->member;

    if (!m->home || l->state != LINK_IDLE) {
        return false;
    }
    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *o = m->links->pdata[k];
        if (o != l && o->state == LINK_IDLE &&
            (o->changed_at > l->changed_at ||
             (o->changed_at == l->changed_at && o > l))) {
            return false;
        }
    }
    return true;
}

/* Opens the connection that this proxy keeps to a replica, if there is none,
   after a random delay. */
static void
open_home(struct member *m, clock_ms now)
{
    struct service *s = m->service;

    if (m->links->len > 0) {
        m->home_open_at = 0;
        return;
    }
    if (m->home_open_at == 0) {
        m->home_open_at =
            now + (int64_t)rng_below(&s->rng, HOME_OPEN_SPREAD_MS);
    }
    if (now >= m->home_open_at && now >= m->full_until &&
        now >= m->busy_until) {
        m->home_open_at = 0;
        s->counters.homes_opened++;
        link_open(m, NULL, now);
    }
}

/* Closes the links with requests in progress at a replaced primary, after the
   grace time or when it is unreachable. */
static void
drop_outdated_links(struct service *s, clock_ms now)
{
    for (guint i = 0; i < s->members->len; i++) {
        struct member *m = s->members->pdata[i];
        const bool answers = m->unreachable_since == 0;
        if (answers && now < s->primary_changed_at + OLD_PRIMARY_GRACE_MS) {
            continue;
        }
        for (guint k = m->links->len; k > 0; k--) {
            if (k <= m->links->len) {
                struct pooled_link *l = m->links->pdata[k - 1];
                if (link_is_outdated(l) && l->outstanding > 0) {
                    link_drop(l, "primary replaced");
                }
            }
        }
    }
}

/* Returns how many connections to a member this proxy may have open on
   average where they are opened on demand. */
static double
part_of_connections(const struct member *m)
{
    const struct service *s = m->service;
    const bool replica = strcmp(m->entry.id, s->primary) != 0;

    return (replica ? s->limits.replica_idle_permille
                    : s->limits.idle_permille) /
           1000.0;
}

/* Returns true if an idle link must be closed so that the member's credit does
   not shrink any more. Those that were used last are kept the longest. */
static bool
idle_credit_is_used_up(const struct pooled_link *l, clock_ms now)
{
    const struct member *m = l->member;

    return m->idle_credit_ms <= 0 && member_longest_idle(m, now) == l &&
           (double)m->links->len > part_of_connections(m);
}

/* Closes a link that was not opened or answered in time, or was idle for too
   long or beyond the number of connections allowed. */
static void
close_expired_link(struct pooled_link *l, clock_ms now)
{
    const struct service *s = l->member->service;
    const int64_t waited = link_waited_ms(l, now);

    switch (l->state) {
    case LINK_OPENING:
        if (waited < SILENCE_TIMEOUT_MS) {
            return;
        }
        member_mark_unreachable(l->member, "connect timeout", now);
        link_drop(l, "connect timeout");
        return;
    case LINK_ABANDONED:
    case LINK_ROLLING_BACK:
        if (waited < ABANDONED_CLOSE_MS) {
            return;
        }
        link_drop(l, "no answer");
        return;
    case LINK_IDLE:
        if (s->limits.idle_permille > 0) {
            if (!idle_credit_is_used_up(l, now) || link_is_kept(l)) {
                return;
            }
        }
        else if (now - l->changed_at < IDLE_CLOSE_MS &&
                 l->member->links->len <= (guint)s->limits.working) {
            return;
        }
        link_drop(l, "idle");
        return;
    case LINK_GRANTED:
        return;
    }
}

/* Marks a member as unreachable if a request is overdue and no answer has
   arrived on any of its connections in the meantime. */
static void
check_silence(struct member *m, clock_ms now)
{
    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *l = m->links->pdata[k];
        if (link_waited_ms(l, now) >= SILENCE_TIMEOUT_MS &&
            l->state != LINK_OPENING &&
            now - clock_later(m->last_answer_at, m->service->resumed_at) >=
                SILENCE_TIMEOUT_MS) {
            member_mark_unreachable(m, "silent", now);
            return;
        }
    }
}

/* Opens a connection to an unreachable member unless one is being opened. */
static void
reconnect(struct member *m, clock_ms now)
{
    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *l = m->links->pdata[k];
        if (l->state == LINK_OPENING) {
            return;
        }
    }
    link_open(m, NULL, now);
}

/* Updates the time for which connections to a member may still be open. It
   grows with the proxy's part of the member's connections and shrinks with its
   open ones, so that their average stays within that part. The one that is
   kept to a replica does not count. */
static void
update_idle_credit(struct member *m, clock_ms now)
{
    const double part = part_of_connections(m);
    const double max_ms = m->service->limits.accounts
                              ? ACCOUNTS_CREDIT_MAX_MS
                              : part * IDLE_CREDIT_SAVED_MS;
    const double open = (double)m->links->len - (m->home && m->links->len > 0);
    const double elapsed_ms = (double)(now - m->idle_credit_at);

    m->idle_credit_at = now;
    m->idle_credit_ms = CLAMP(m->idle_credit_ms + elapsed_ms * (part - open),
                              -IDLE_DEBT_MAX_MS, max_ms);
#ifdef RELAY_BREAK_KEEP_CONNECTIONS
    m->idle_credit_ms = IDLE_CREDIT_SAVED_MS;
#endif
}

static void
check_member(struct member *m, clock_ms now)
{
    update_idle_credit(m, now);
    for (guint k = m->links->len; k > 0; k--) {
        if (k <= m->links->len) {
            close_expired_link(m->links->pdata[k - 1], now);
        }
    }
    if (m->unreachable_since == 0) {
        check_silence(m, now);
    }
    else if (now >= m->retry_at && m->unlisted_at == 0) {
        reconnect(m, now);
    }
    /* With accounts, the first request opens it: the proxy does not know for
       which account it will be. */
    if (m->home && m->unreachable_since == 0 && !m->service->limits.accounts) {
        open_home(m, now);
    }
}

/* Returns true if an unlisted member is not needed any more. */
static bool
is_removable(const struct member *m, clock_ms now)
{
    if (m->unlisted_at == 0 || now - m->unlisted_at < UNLISTED_GRACE_MS) {
        return false;
    }
    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *l = m->links->pdata[k];
        if (l->state == LINK_GRANTED) {
            return false; /* sessions end their work in time */
        }
    }
    if (now - m->unlisted_at >= UNLISTED_KEEP_MAX_MS) {
        return true;
    }
    if (strcmp(m->entry.id, m->service->primary) == 0) {
        return false;
    }
    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *l = m->links->pdata[k];
        if (l->outstanding > 0) {
            return false;
        }
    }
    return true;
}

/* Called periodically: applies the timeouts of links and queued requests,
   tries to reach unreachable members, and removes members that are no longer
   listed. */
void
service_tick(struct service *s, clock_ms now)
{
    drop_outdated_links(s, now);
    s->ticked_at = now;
    if (s->lease_valid(s->ctx, s->name, now)) {
        if (s->lease_lost_at != 0) {
            s->lease_regained_at = now;
        }
        s->lease_lost_at = 0;
    }
    else if (s->lease_lost_at == 0) {
        s->lease_lost_at = now;
    }
    for (guint i = s->members->len; i > 0; i--) {
        struct member *m = s->members->pdata[i - 1];
        check_member(m, now);
        if (is_removable(m, now)) {
            event_log(EVENT_STATE, "member_gone", "service=%s member=%s",
                      s->name, m->entry.id);
            g_ptr_array_remove_fast(s->members, m);
            member_free(m, "member gone");
        }
    }
    service_refresh_position(s, now);
    service_dispatch(s);
}
