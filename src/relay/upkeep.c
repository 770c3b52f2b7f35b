#include "relay/service_internal.h"

#include "base/event_log.h"

#include <string.h>

/* A member that has answered nothing for this long, while something was
   asked, gets no new work until it answers again. Several times the longest
   usual wait for a slot. */
#define SILENT_MS 400
/* One that is gone is kept for this long at most: as the primary until another
   one leads, else for the answers that it still owes. */
#define GONE_KEPT_MS 6000
/* Work in progress at a replaced primary that still answers may finish. */
#define FENCE_GRACE_MS 250
/* A connection whose answer was given up is closed this long after the request
   was sent; an answer that comes at all comes sooner. */
#define ABANDONED_MS 700
#define IDLE_CLOSE_MS 15000

/* Gives up what is in progress at a primary that was replaced. */
static void
drop_outdated(struct service *s, clock_ms now)
{
    for (guint i = 0; i < s->members->len; i++) {
        struct member *m = s->members->pdata[i];
        const bool answers = m->unreachable_since == 0;
        if (answers && now < s->fenced_at + FENCE_GRACE_MS) {
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

/* Closes a link that is of no use any more. */
static void
close_useless(struct pooled_link *l, clock_ms now)
{
    const struct service *s = l->member->service;
    const int64_t waited = link_waited_ms(l, now);

    switch (l->state) {
    case LINK_OPENING:
        if (waited < SILENT_MS) {
            return;
        }
        member_failed(l->member, "connect timeout", now);
        link_drop(l, "connect timeout");
        return;
    case LINK_ABANDONED:
    case LINK_CLEANING:
        if (waited < ABANDONED_MS) {
            return;
        }
        link_drop(l, "no answer");
        return;
    case LINK_IDLE:
        if (now - l->changed_at < IDLE_CLOSE_MS &&
            l->member->links->len <= (guint)s->share) {
            return;
        }
        link_drop(l, "idle");
        return;
    case LINK_GRANTED:
        return;
    }
}

/* Notices that a member has become silent: something was asked, and no
   connection has brought an answer since. */
static void
check_silence(struct member *m, clock_ms now)
{
    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *l = m->links->pdata[k];
        if (link_waited_ms(l, now) >= SILENT_MS && l->state != LINK_OPENING &&
            now - clock_later(m->last_heard, m->service->resumed_at) >=
                SILENT_MS) {
            member_failed(m, "silent", now);
            return;
        }
    }
}

/* Tries to reach a member that did not answer. */
static void
probe(struct member *m, clock_ms now)
{
    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *l = m->links->pdata[k];
        if (l->state == LINK_OPENING) {
            return;
        }
    }
    link_open(m, now);
}

/* Looks after the links of a member. */
static void
check_links(struct member *m, clock_ms now)
{
    for (guint k = m->links->len; k > 0; k--) {
        if (k <= m->links->len) {
            close_useless(m->links->pdata[k - 1], now);
        }
    }
    if (m->unreachable_since == 0) {
        check_silence(m, now);
    }
    else if (now >= m->retry_at && m->gone_at == 0) {
        probe(m, now);
    }
}

/* Tells whether a member that is gone is not needed any more. */
static bool
is_removable(const struct member *m, clock_ms now)
{
    if (m->gone_at == 0 || now - m->gone_at < GONE_AFTER_MS) {
        return false;
    }
    if (now - m->gone_at >= GONE_KEPT_MS) {
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

/* Periodic work: expiry of queued work, silent members, gone members. */
void
service_tick(struct service *s, clock_ms now)
{
    drop_outdated(s, now);
    if (s->lease_valid(s->ctx, s->name, now)) {
        s->lease_lost_at = 0;
    }
    else if (s->lease_lost_at == 0) {
        s->lease_lost_at = now;
    }
    for (guint i = s->members->len; i > 0; i--) {
        struct member *m = s->members->pdata[i - 1];
        check_links(m, now);
        if (is_removable(m, now)) {
            event_log(EVENT_STATE, "member_gone", "service=%s member=%s",
                      s->name, m->entry.id);
            g_ptr_array_remove_fast(s->members, m);
            member_free(m, "member gone");
        }
    }
    service_dispatch(s);
}
