#include "relay/service_internal.h"

#include "base/event_log.h"

#include <string.h>

/* First estimate of a statement's time, until some were measured. */
#define STATEMENT_FIRST_US 15000

/* Returns the present time. */
clock_ms
service_now(const struct service *s)
{
    return s->now(s->ctx);
}

/* Returns the later of two moments. */
clock_ms
clock_later(clock_ms a, clock_ms b)
{
    return a > b ? a : b;
}

/* Creates a service without members. */
struct service *
service_create(const struct service_config *config)
{
    struct service *s = g_new0(struct service, 1);

    s->name = g_strdup(config->name);
    s->failure_domain = g_strdup(config->failure_domain);
    s->codec = config->codec;
    s->lease_valid = config->lease_valid;
    s->now = config->now;
    s->ctx = config->ctx;
    s->members = g_ptr_array_new();
    g_queue_init(&s->queue);
    s->share = 2;
    s->share_most = 2;
    return s;
}

/* Frees a service. No work is queued any more. */
void
service_destroy(struct service *s)
{
    for (guint i = 0; i < s->members->len; i++) {
        member_free(s->members->pdata[i], "shutdown");
    }
    g_ptr_array_free(s->members, TRUE);
    g_free(s->name);
    g_free(s->failure_domain);
    g_free(s);
}

/* Returns the service's name. */
const char *
service_name(const struct service *s)
{
    return s->name;
}

/* Returns the counters. */
const struct service_counters *
service_counters(const struct service *s)
{
    return &s->counters;
}

/* Returns how much work waits. */
size_t
service_queue_length(const struct service *s)
{
    return s->queue.length;
}

/* Finds a member by its id. */
struct member *
service_find_member(const struct service *s, const char *id)
{
    for (guint i = 0; i < s->members->len; i++) {
        struct member *m = s->members->pdata[i];
        if (strcmp(m->entry.id, id) == 0) {
            return m;
        }
    }
    return NULL;
}

/* Adds a member. */
static struct member *
member_create(struct service *s, clock_ms now)
{
    struct member *m = g_new0(struct member, 1);

    m->service = s;
    m->links = g_ptr_array_new();
    m->last_heard = now;
    m->statement_us = STATEMENT_FIRST_US;
    g_ptr_array_add(s->members, m);
    return m;
}

/* Adds a member that was listed before this process started. It is used like
   one that has just disappeared from the list. */
void
service_remember(struct service *s, const struct member_entry *m,
                 clock_ms unlisted_at, clock_ms now)
{
    if (service_find_member(s, m->id) != NULL ||
        now - unlisted_at >= GONE_AFTER_MS) {
        return;
    }
    struct member *added = member_create(s, now);
    added->entry = *m;
    added->gone_at = unlisted_at;
    event_log(EVENT_STATE, "member_remembered",
              "service=%s member=%s address=%s:%u", s->name, m->id, m->host,
              m->port);
}

/* Takes over the members that the directory lists. A member that is no longer
   listed stays in use for GONE_AFTER_MS, since entries disappear for a while
   around an outage of the store. */
void
service_set_members(struct service *s, const struct member_entry *entries,
                    size_t n, clock_ms now)
{
    for (guint i = 0; i < s->members->len; i++) {
        struct member *m = s->members->pdata[i];
        bool listed = false;
        for (size_t k = 0; k < n && !listed; k++) {
            listed = strcmp(entries[k].id, m->entry.id) == 0;
        }
        if (!listed && m->gone_at == 0) {
            m->gone_at = now;
            event_log(EVENT_STATE, "member_unlisted", "service=%s member=%s",
                      s->name, m->entry.id);
        }
    }
    for (size_t k = 0; k < n; k++) {
        struct member *m = service_find_member(s, entries[k].id);
        if (m == NULL) {
            m = member_create(s, now);
            event_log(EVENT_STATE, "member_listed",
                      "service=%s member=%s address=%s:%u draining=%d "
                      "says_primary=%d",
                      s->name, entries[k].id, entries[k].host, entries[k].port,
                      entries[k].draining, entries[k].says_primary);
        }
        else if (m->entry.draining != entries[k].draining ||
                 m->entry.says_primary != entries[k].says_primary) {
            event_log(EVENT_STATE, "member_changed",
                      "service=%s member=%s draining=%d says_primary=%d",
                      s->name, entries[k].id, entries[k].draining,
                      entries[k].says_primary);
        }
        m->gone_at = 0;
        m->entry = entries[k];
    }
    service_dispatch(s);
}

/* Sets how many connections to each member this proxy may have, and how many
   together with those whose answer seems lost. */
void
service_set_share(struct service *s, int connections, int most)
{
    s->share = connections;
    s->share_most = most;
}

/* Takes over who leads. While changing, nobody does. Work in progress at the
   member that led before is given FENCE_GRACE_MS if the member answers. */
void
service_set_lead(struct service *s, uint64_t epoch, const char *primary,
                 bool changing, clock_ms now)
{
    if (epoch == s->epoch) {
        return;
    }
    event_log(EVENT_STATE, "lead",
              "service=%s epoch=%llu primary=%s "
              "changing=%d before=%s",
              s->name, (unsigned long long)epoch, primary, changing,
              s->primary);
    s->epoch = epoch;
    s->changing = changing;
    g_strlcpy(s->primary, primary, sizeof(s->primary));
    s->fenced_at = now;
    service_dispatch(s);
}

/* Returns the newest position of the primary that is known and when it held.
   Returns false when there is none. */
bool
service_newest_sample(const struct service *s, clock_ms *at,
                      struct token *position)
{
    return samples_newest(&s->samples, at, position);
}

/* Takes a position of the primary that another proxy has learnt: every commit
   acknowledged before at is at or below it. */
void
service_add_sample(struct service *s, clock_ms at,
                   const struct token *position)
{
    samples_add(&s->samples, at, position);
    service_dispatch(s);
}

/* Tells whether no work is in progress any more under an earlier lead. */
bool
service_settled(const struct service *s)
{
    for (guint i = 0; i < s->members->len; i++) {
        const struct member *m = s->members->pdata[i];
        for (guint k = 0; k < m->links->len; k++) {
            const struct pooled_link *l = m->links->pdata[k];
            if (link_is_outdated(l) && l->outstanding > 0) {
                return false;
            }
        }
    }
    return true;
}

/* Tells whether the believed primary does not answer this proxy. */
bool
service_primary_unreachable(const struct service *s, clock_ms now)
{
    const struct member *m = service_find_member(s, s->primary);

    /* A primary that the directory does not name yet was never tried. */
    if (m == NULL) {
        return false;
    }
    return (m->unreachable_since != 0 && now - m->unreachable_since >= 100) ||
           m->not_primary_until > now;
}

/* The process was suspended until now: silence before does not count. */
void
service_resumed(struct service *s, clock_ms now)
{
    s->resumed_at = now;
}

/* Tells whether there is nothing that a tick could end: no work waits and no
   connection stands. */
bool
service_is_idle(const struct service *s)
{
    if (s->queue.length > 0) {
        return false;
    }
    for (guint i = 0; i < s->members->len; i++) {
        const struct member *m = s->members->pdata[i];
        if (m->links->len > 0 || m->unreachable_since != 0) {
            return false;
        }
    }
    return true;
}
