#include "relay/service_internal.h"

#include "base/event_log.h"

#include <string.h>

/* Initial value of a member's mean statement time. */
#define INITIAL_STATEMENT_US 15000
/* Initial value of a member's window: a transaction does not block the other
   statements of the proxy. */
#define INITIAL_WINDOW 2.0

clock_ms
service_now(const struct service *s)
{
    return s->now(s->ctx);
}

clock_ms
clock_later(clock_ms a, clock_ms b)
{
    return a > b ? a : b;
}

/* Creates a service without members. The strings of config are copied; codec
   and ctx must outlive the service. */
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
    s->turns = turns_create();
    s->limits = (struct connection_limits){.working = 2, .total = 2};
    rng_seed(&s->rng, config->seed);
    return s;
}

/* Closes all connections and frees the service. No request may be queued. */
void
service_destroy(struct service *s)
{
    for (guint i = 0; i < s->members->len; i++) {
        member_free(s->members->pdata[i], "shutdown");
    }
    g_ptr_array_free(s->members, TRUE);
    turns_destroy(s->turns);
    g_free(s->name);
    g_free(s->failure_domain);
    g_free(s);
}

const char *
service_name(const struct service *s)
{
    return s->name;
}

const struct service_counters *
service_counters(const struct service *s)
{
    return &s->counters;
}

size_t
service_queue_length(const struct service *s)
{
    return s->queue.length;
}

/* Returns NULL if there is no such member. */
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

static struct member *
member_create(struct service *s, clock_ms now)
{
    struct member *m = g_new0(struct member, 1);

    m->service = s;
    m->links = g_ptr_array_new();
    m->last_answer_at = now;
    m->idle_credit_at = now;
    m->window = INITIAL_WINDOW;
    m->mean_statement_us = INITIAL_STATEMENT_US;
    g_ptr_array_add(s->members, m);
    return m;
}

/* Adds a member that the directory listed before this process started. It is
   treated like a member whose entry disappeared at unlisted_since, and ignored
   if it is already known or that was too long ago. */
void
service_add_unlisted_member(struct service *s, const struct member_entry *m,
                            clock_ms unlisted_since, clock_ms now)
{
    if (service_find_member(s, m->id) != NULL ||
        now - unlisted_since >= UNLISTED_GRACE_MS) {
        return;
    }
    struct member *added = member_create(s, now);
    added->entry = *m;
    added->unlisted_at = unlisted_since;
    event_log(EVENT_STATE, "member_remembered",
              "service=%s member=%s address=%s:%u", s->name, m->id, m->host,
              m->port);
}

/* Sets the members listed by the directory. A member that is no longer listed
   stays in use for UNLISTED_GRACE_MS, since entries disappear temporarily
   during an outage of the store. */
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
        if (!listed && m->unlisted_at == 0) {
            m->unlisted_at = now;
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
        m->unlisted_at = 0;
        m->entry = entries[k];
    }
    service_update_home(s);
    service_dispatch(s);
}

/* Sets how many connections to each member this proxy may have. */
void
service_set_connection_limits(struct service *s,
                              const struct connection_limits *limits)
{
    s->limits = *limits;
    service_update_home(s);
}

/* Sets the primary; ignored if the epoch is the current one. While
   primary_changing is true there is none. Statements in progress at the
   previous primary may finish within OLD_PRIMARY_GRACE_MS if it is
   reachable. */
void
service_set_primary(struct service *s, uint64_t epoch, const char *primary,
                    bool primary_changing, clock_ms now)
{
    if (epoch == s->epoch) {
        return;
    }
    if (primary_changing && s->primary_changing) {
        s->epoch = epoch; /* a step of the change in progress */
        return;
    }
    event_log(EVENT_STATE, "lead",
              "service=%s epoch=%llu primary=%s "
              "changing=%d before=%s",
              s->name, (unsigned long long)epoch, primary, primary_changing,
              s->primary);
    s->epoch = epoch;
    s->primary_changing = primary_changing;
    g_strlcpy(s->primary, primary, sizeof(s->primary));
    s->primary_changed_at = now;
    service_update_home(s);
    service_dispatch(s);
}

/* Sets *position to the newest known position of the primary and *at to its
   time. Returns false if none is known. */
bool
service_newest_primary_position(const struct service *s, clock_ms *at,
                                struct token *position)
{
    return position_samples_newest(&s->position_samples, at, position);
}

/* Adds a position of the primary that another proxy has observed. Every commit
   acknowledged before at must be at or below it. */
void
service_add_primary_position(struct service *s, clock_ms at,
                             const struct token *position)
{
    position_samples_add(&s->position_samples, at, position);
    service_dispatch(s);
}

/* Returns true if no request is in progress at an earlier primary. */
bool
service_old_primary_idle(const struct service *s)
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

/* Returns true if the presumed primary has been unreachable from this proxy
   for 100 ms, or has recently answered that it is a replica. */
bool
service_primary_unreachable(const struct service *s, clock_ms now)
{
    const struct member *m = service_find_member(s, s->primary);

    /* No connection was attempted yet to a primary that is not listed. */
    if (m == NULL) {
        return false;
    }
    return (m->unreachable_since != 0 && now - m->unreachable_since >= 100) ||
           m->not_primary_until > now;
}

/* Called after the process was suspended. Earlier time does not count as
   waiting for an answer. */
void
service_resumed(struct service *s, clock_ms now)
{
    s->resumed_at = now;
}

/* Returns true if service_tick() has nothing to expire: no request is queued,
   no connection is open or being opened except one that is kept, and all
   members are reachable. */
bool
service_is_idle(const struct service *s)
{
    if (s->queue.length > 0) {
        return false;
    }
    for (guint i = 0; i < s->members->len; i++) {
        const struct member *m = s->members->pdata[i];
        const bool kept =
            m->home && m->links->len == 1 && link_is_kept(m->links->pdata[0]);
        const bool to_open = m->home && !kept && !s->limits.accounts;
        if (m->links->len > kept || m->unreachable_since != 0 || to_open) {
            return false;
        }
    }
    return true;
}
