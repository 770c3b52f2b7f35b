#include "relay/service.h"

#include "base/event_log.h"
#include "relay/placement.h"
#include "relay/samples.h"

#include <string.h>

/* Statements that one proxy has at a member: one more than the member's slots
   keeps them busy during the round trip. */
#define EXTRA_STATEMENTS 1
/* A member that has answered nothing for this long, while something was
   asked, gets no new work until it answers again. Several times the longest
   usual wait for a slot. */
#define SILENT_MS 400
/* First and longest pause before a failed member is tried again. */
#define RETRY_FIRST_MS 50
#define RETRY_LONGEST_MS 400
/* Pause after a member refused a connection for being full. */
#define FULL_RETRY_MS 100
/* Pause after the believed primary refused work for being a replica. */
#define NOT_PRIMARY_RETRY_MS 40
/* First estimate of a statement's time, until some were measured. */
#define STATEMENT_FIRST_US 15000
/* A replica that was behind is not asked again for about its usual lag. */
#define LAG_RETRY_MS 30
/* The bound on staleness is met with this much to spare, for the time that
   passes before a request is read. */
#define STALENESS_MARGIN_MS 100
/* An entry that disappears may come back within 2 s when the store was away;
   afterwards the member counts as gone. */
#define GONE_AFTER_MS 2500
/* One that is gone is kept for this long at most: as the primary until another
   one leads, else for the answers that it still owes. */
#define GONE_KEPT_MS 6000
/* Work in progress at a replaced primary that still answers may finish. */
#define FENCE_GRACE_MS 250
/* A connection whose answer was given up is closed this long after the request
   was sent; an answer that comes at all comes sooner. */
#define ABANDONED_MS 700
#define IDLE_CLOSE_MS 15000
/* Work without any member that could serve it waits this long for one. */
#define NO_MEMBER_HOLD_MS 300
#define CHANGE_HOLD_MS 1200
/* A lease that has been out for this long, or a primary that has not answered
   for this long, will not be back soon: work that needs it is refused at
   once, so that its caller can turn to another proxy. */
#define NO_LEASE_HOLD_MS 150
#define UNREACHABLE_HOLD_MS 700
#define QUEUE_MAX 512

enum link_state {
    LINK_OPENING,
    LINK_IDLE,
    LINK_GRANTED,
    LINK_ABANDONED, /* its user gave up waiting for the answer */
    LINK_CLEANING,  /* a rollback by the proxy is in progress */
};

struct member {
    struct service *service;
    struct member_entry entry;
    GPtrArray *links; /* of struct pooled_link */
    clock_ms gone_at; /* 0 while listed */
    clock_ms last_heard;
    clock_ms unreachable_since; /* 0 while it answers */
    clock_ms retry_at;
    clock_ms full_until;
    clock_ms not_primary_until;
    clock_ms lag_until;
    int failures;
    int64_t statement_us;
};

struct pooled_link {
    struct member *member;
    struct member_link *link;
    enum link_state state;
    bool as_primary;
    uint64_t epoch; /* of the lead when it was granted */
    bool active;    /* counts against the limit of statements */
    int outstanding;
    bool timed; /* the outstanding request is a statement */
    clock_ms sent_at;
    clock_ms changed_at;
    bool lease_at_send;
    GHashTable *values;
    uint64_t values_hash;
    GHashTable *prepared;
    const struct pooled_user *user;
    void *ctx;
};

struct service {
    char *name;
    char *failure_domain;
    const struct member_codec *codec;
    bool (*lease_valid)(void *ctx, const char *service, clock_ms now);
    clock_ms (*now)(void *ctx);
    void *ctx;
    GPtrArray *members; /* of struct member */
    GQueue queue;       /* of struct work, by priority, then arrival */
    int share;
    uint64_t epoch;
    char primary[MEMBER_ID_BYTES];
    bool changing;
    clock_ms fenced_at;
    clock_ms resumed_at;
    clock_ms lease_lost_at; /* 0 while it is valid */
    struct samples samples;
    bool dispatching;
    bool dispatch_again;
    struct service_counters counters;
};

static void dispatch(struct service *s);

/* Returns the present time. */
static clock_ms
now_of(const struct service *s)
{
    return s->now(s->ctx);
}

/* Returns the later of two moments. */
static clock_ms
later(clock_ms a, clock_ms b)
{
    return a > b ? a : b;
}

/* Notes that a member answered. */
static void
member_heard(struct member *m, clock_ms now)
{
    if (m->unreachable_since != 0) {
        event_log(EVENT_STATE, "member_reachable",
                  "service=%s member=%s silent_ms=%lld", m->service->name,
                  m->entry.id, (long long)(now - m->unreachable_since));
    }
    m->last_heard = now;
    m->unreachable_since = 0;
    m->failures = 0;
    m->retry_at = 0;
}

/* Notes that a member could not be reached or has become silent. */
static void
member_failed(struct member *m, const char *why, clock_ms now)
{
    if (m->unreachable_since == 0) {
        m->unreachable_since = now;
        event_log(EVENT_STATE, "member_unreachable",
                  "service=%s member=%s why=\"%s\" last_heard_ms=%lld",
                  m->service->name, m->entry.id, why,
                  (long long)(now - m->last_heard));
    }
    const int64_t pause = RETRY_FIRST_MS << MIN(m->failures, 3);
    m->retry_at = now + MIN(pause, RETRY_LONGEST_MS);
    m->failures++;
}

/* Closes a link and takes it out of its member's list. The user is told when
   it has one. */
static void
link_drop(struct pooled_link *l, const char *why)
{
    const struct pooled_user *user = l->user;

    l->user = NULL;
    g_ptr_array_remove_fast(l->member->links, l);
    if (l->link != NULL) {
        l->member->service->codec->close(l->link);
    }
    if (user != NULL) {
        user->lost(l->ctx, why);
    }
    g_hash_table_destroy(l->values);
    g_hash_table_destroy(l->prepared);
    g_free(l);
}

/* Makes a link available to others. */
static void
link_idle(struct pooled_link *l, clock_ms now)
{
    l->state = LINK_IDLE;
    l->active = false;
    l->user = NULL;
    l->changed_at = now;
}

/* The member accepted the connection. */
static void
on_opened(void *ctx, const struct token *position)
{
    struct pooled_link *l = ctx;
    struct service *s = l->member->service;

    (void)position;
    const clock_ms now = now_of(s);
    member_heard(l->member, now);
    link_idle(l, now);
    dispatch(s);
}

/* The member refused the connection. */
static void
on_refused(void *ctx, enum failure why)
{
    struct pooled_link *l = ctx;
    struct member *m = l->member;
    const clock_ms now = now_of(m->service);

    m->service->counters.links_refused++;
    event_log(EVENT_STATE, "link_refused", "service=%s member=%s why=%s",
              m->service->name, m->entry.id, failure_name(why));
    if (why == FAILURE_CONNECTIONS) {
        member_heard(m, now);
        m->full_until = now + FULL_RETRY_MS;
    }
    else {
        member_failed(m, failure_name(why), now);
    }
    link_drop(l, failure_name(why));
}

/* The connection ended. */
static void
on_closed(void *ctx, const char *why)
{
    struct pooled_link *l = ctx;
    struct member *m = l->member;
    struct service *s = m->service;

    s->counters.links_lost++;
    /* An open connection may end alone; if the member is gone, the attempt to
       open the next one shows it. */
    if (l->state == LINK_OPENING) {
        member_failed(m, why, now_of(s));
    }
    link_drop(l, why);
    dispatch(s);
}

/* An answer arrived. */
static void
on_answered(void *ctx, const struct answer *a)
{
    struct pooled_link *l = ctx;
    struct member *m = l->member;
    struct service *s = m->service;
    const clock_ms now = now_of(s);

    member_heard(m, now);
    l->outstanding--;
    if (l->timed && l->outstanding == 0) {
        m->statement_us += ((now - l->sent_at) * 1000 - m->statement_us) / 16;
        l->timed = false;
    }
    if (l->as_primary && l->lease_at_send && l->epoch == s->epoch &&
        a->failure != FAILURE_READ_ONLY) {
        samples_add(&s->samples, l->sent_at, &a->position);
    }
    if (a->failure == FAILURE_READ_ONLY && l->as_primary) {
        m->not_primary_until = now + NOT_PRIMARY_RETRY_MS;
    }
    if (a->failure == FAILURE_LAGGING) {
        m->lag_until = now + LAG_RETRY_MS;
    }
    if (l->state == LINK_GRANTED) {
        if (l->user != NULL) {
            l->user->answered(l->ctx, a);
        }
        return;
    }
    if (l->outstanding > 0) {
        return;
    }
    if (a->state != TRANSACTION_NONE) {
        if (l->state == LINK_CLEANING) {
            link_drop(l, "rollback failed");
            return;
        }
        pooled_release(l, true);
        return;
    }
    link_idle(l, now);
    dispatch(s);
}

static const struct member_link_events link_events = {
    .opened = on_opened,
    .refused = on_refused,
    .answered = on_answered,
    .closed = on_closed,
};

/* Starts a connection to a member. */
static void
link_open(struct member *m, clock_ms now)
{
    struct service *s = m->service;
    struct pooled_link *l = g_new0(struct pooled_link, 1);

    l->member = m;
    l->state = LINK_OPENING;
    l->sent_at = now;
    l->changed_at = now;
    l->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    l->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    l->link = s->codec->open(s->codec->ctx, &m->entry, &link_events, l);
    g_ptr_array_add(m->links, l);
    s->counters.links_opened++;
    if (l->link == NULL) {
        member_failed(m, "connect", now);
        link_drop(l, "connect");
    }
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
    return s;
}

/* Closes a member's links and frees it. */
static void
member_free(struct member *m, const char *why)
{
    while (m->links->len > 0) {
        link_drop(m->links->pdata[m->links->len - 1], why);
    }
    g_ptr_array_free(m->links, TRUE);
    g_free(m);
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
static struct member *
find_member(const struct service *s, const char *id)
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
    if (find_member(s, m->id) != NULL || now - unlisted_at >= GONE_AFTER_MS) {
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
        struct member *m = find_member(s, entries[k].id);
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
    dispatch(s);
}

/* Sets how many connections to each member this proxy may have. */
void
service_set_share(struct service *s, int connections)
{
    s->share = connections;
}

/* Tells whether a link is in use under a lead that has ended. */
static bool
is_outdated(const struct pooled_link *l)
{
    return l->as_primary && l->epoch != l->member->service->epoch &&
           l->state != LINK_IDLE && l->state != LINK_OPENING;
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
    dispatch(s);
}

/* Tells whether no work is in progress any more under an earlier lead. */
bool
service_settled(const struct service *s)
{
    for (guint i = 0; i < s->members->len; i++) {
        const struct member *m = s->members->pdata[i];
        for (guint k = 0; k < m->links->len; k++) {
            const struct pooled_link *l = m->links->pdata[k];
            if (is_outdated(l) && l->outstanding > 0) {
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
    const struct member *m = find_member(s, s->primary);

    /* A primary that the directory does not name yet was never tried. */
    if (m == NULL) {
        return false;
    }
    return (m->unreachable_since != 0 && now - m->unreachable_since >= 100) ||
           m->not_primary_until > now;
}

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
                if (is_outdated(l) && l->outstanding > 0) {
                    link_drop(l, "primary replaced");
                }
            }
        }
    }
}

/* Returns how long a link has waited for an answer or its opening, without
   the time before the process was resumed. */
static int64_t
waited_ms(const struct pooled_link *l, clock_ms now)
{
    if (l->state != LINK_OPENING && l->outstanding == 0) {
        return 0;
    }
    return now - later(l->sent_at, l->member->service->resumed_at);
}

/* Closes a link that is of no use any more. */
static void
close_useless(struct pooled_link *l, clock_ms now)
{
    const struct service *s = l->member->service;
    const int64_t waited = waited_ms(l, now);

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
        if (waited_ms(l, now) >= SILENT_MS && l->state != LINK_OPENING &&
            now - later(m->last_heard, m->service->resumed_at) >= SILENT_MS) {
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
    dispatch(s);
}

/* The process was suspended until now: silence before does not count. */
void
service_resumed(struct service *s, clock_ms now)
{
    s->resumed_at = now;
}

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

/* Describes a member for placement. */
static struct placement_member
view_of(const struct service *s, const struct member *m, const struct work *w,
        bool lease, clock_ms now)
{
    struct placement_member p = {
        .usable = m->unreachable_since == 0,
        .primary = lease && strcmp(m->entry.id, s->primary) == 0 &&
                   now >= m->not_primary_until,
        .caught_up = now >= m->lag_until && !m->entry.draining &&
                     (m->gone_at == 0 || now - m->gone_at < GONE_AFTER_MS),
        .local = strcmp(m->entry.failure_domain, s->failure_domain) == 0,
        .avoided = strcmp(w->avoid, m->entry.id) == 0,
        .limit = m->entry.slots + EXTRA_STATEMENTS,
        .statement_us = m->statement_us,
    };

    bool idle = false;
    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *l = m->links->pdata[k];
        p.executing += l->active;
        idle = idle || l->state == LINK_IDLE;
    }
    p.link_free =
        idle || (m->links->len < (guint)s->share && now >= m->full_until);
    return p;
}

/* Hands a link to work. */
static void
grant(struct service *s, struct member *m, struct pooled_link *l,
      struct work *w, bool primary)
{
    unqueue(s, w);
    l->state = LINK_GRANTED;
    l->as_primary = primary;
    l->epoch = s->epoch;
    l->active = true;
    l->changed_at = now_of(s);
    (void)m;
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
    const struct member *m = find_member(s, s->primary);

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

#define MEMBERS_MAX 32

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
        if (now - w->arrived >= hold_ms(s, now)) {
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
        grant(s, m, l, w, views[chosen].primary);
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

/* Places queued work in order, as far as there is room. */
static void
dispatch(struct service *s)
{
    if (s->dispatching) {
        s->dispatch_again = true;
        return;
    }
    s->dispatching = true;
    do {
        s->dispatch_again = false;
        const clock_ms now = now_of(s);
        const bool lease = !s->changing && s->primary[0] != '\0' &&
                           s->lease_valid(s->ctx, s->name, now);
        GList *next = s->queue.head;
        while (next != NULL) {
            struct work *w = next->data;
            next = next->next;
            /* A grant may change the queue, so the scan starts again. */
            if (place(s, w, lease, now)) {
                next = s->queue.head;
            }
        }
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
    const clock_ms now = now_of(s);

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
    dispatch(s);
}

/* Takes work out of the queue without calling it back. */
void
service_withdraw(struct service *s, struct work *w)
{
    unqueue(s, w);
}

/* Sets who is told about a granted link. */
void
pooled_attach(struct pooled_link *l, const struct pooled_user *user, void *ctx)
{
    l->user = user;
    l->ctx = ctx;
}

/* Sends a request over a granted link. */
void
pooled_send(struct pooled_link *l, const struct request *r,
            const struct token *after)
{
    struct service *s = l->member->service;
    const clock_ms now = now_of(s);

    l->outstanding++;
    l->sent_at = now;
    l->active = true;
    l->timed = verb_runs_at_member(r->verb);
    l->lease_at_send = l->as_primary && s->lease_valid(s->ctx, s->name, now);
    s->codec->send(l->link, r, after);
}

/* Marks a link in a transaction as waiting for its caller. */
void
pooled_rest(struct pooled_link *l)
{
    l->active = false;
    dispatch(l->member->service);
}

/* Gives a link back, undoing the open transaction first if asked to. */
void
pooled_release(struct pooled_link *l, bool rollback)
{
    struct service *s = l->member->service;
    const struct request undo = {.verb = VERB_ROLLBACK,
                                 .text = SVIEW("ROLLBACK")};

    l->user = NULL;
    if (!rollback) {
        link_idle(l, now_of(s));
        dispatch(s);
        return;
    }
    l->state = LINK_CLEANING;
    l->changed_at = now_of(s);
    pooled_send(l, &undo, NULL);
    l->active = false;
}

/* Leaves a link whose answer is not awaited any more. It returns to the pool
   when the answer has come. */
void
pooled_abandon(struct pooled_link *l)
{
    l->user = NULL;
    l->state = LINK_ABANDONED;
    l->changed_at = now_of(l->member->service);
}

/* Closes a link whose state is in doubt. */
void
pooled_discard(struct pooled_link *l)
{
    struct service *s = l->member->service;

    l->user = NULL;
    link_drop(l, "discarded");
    dispatch(s);
}

/* Tells whether statements may still be sent on a link: one to the primary
   needs the lead that it was granted under and a valid lease. */
bool
pooled_is_current(const struct pooled_link *l, clock_ms now)
{
    const struct service *s = l->member->service;

    return !l->as_primary || (l->epoch == s->epoch && !s->changing &&
                              s->lease_valid(s->ctx, s->name, now));
}

/* Tells whether the link was granted as one to the primary. */
bool
pooled_is_primary(const struct pooled_link *l)
{
    return l->as_primary;
}

/* Returns the id of the member at the other end. */
const char *
pooled_member(const struct pooled_link *l)
{
    return l->member->entry.id;
}

/* Returns the hash of the settings that are in force on the connection. */
uint64_t
pooled_values_hash(const struct pooled_link *l)
{
    return l->values_hash;
}

/* Returns the settings that are in force on the connection. */
GHashTable *
pooled_values(struct pooled_link *l)
{
    return l->values;
}

/* Records the hash of the settings after they were changed. */
void
pooled_set_values_hash(struct pooled_link *l, uint64_t hash)
{
    l->values_hash = hash;
}

/* Returns the names prepared on the connection. */
GHashTable *
pooled_prepared(struct pooled_link *l)
{
    return l->prepared;
}
