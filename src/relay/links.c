#include "relay/service_internal.h"

#include "base/event_log.h"

/* First and longest pause before a failed member is tried again. */
#define RETRY_FIRST_MS 50
#define RETRY_LONGEST_MS 400
/* Pause after a member refused a connection for being full. */
#define FULL_RETRY_MS 100
/* Pause after the believed primary refused work for being a replica. */
#define NOT_PRIMARY_RETRY_MS 40
/* A replica that lacked a position is not asked again for that or a later one
   for about its usual lag, and for longer while it stays behind. */
#define LAG_RETRY_FIRST_MS 30
#define LAG_RETRY_LONGEST_MS 240

/* Notes that a member answered. */
void
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
void
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
void
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
void
link_idle(struct pooled_link *l, clock_ms now)
{
    l->state = LINK_IDLE;
    l->active = false;
    l->user = NULL;
    l->changed_at = now;
}

/* Tells whether a link is in use under a lead that has ended. */
bool
link_is_outdated(const struct pooled_link *l)
{
    return l->as_primary && l->epoch != l->member->service->epoch &&
           l->state != LINK_IDLE && l->state != LINK_OPENING;
}

/* Returns how long a link has waited for an answer or its opening, without
   the time before the process was resumed. */
int64_t
link_waited_ms(const struct pooled_link *l, clock_ms now)
{
    if (l->state != LINK_OPENING && l->outstanding == 0) {
        return 0;
    }
    return now - clock_later(l->sent_at, l->member->service->resumed_at);
}

/* The member accepted the connection. */
static void
on_opened(void *ctx, const struct token *position)
{
    struct pooled_link *l = ctx;
    struct service *s = l->member->service;

    (void)position;
    const clock_ms now = service_now(s);
    member_heard(l->member, now);
    link_idle(l, now);
    service_dispatch(s);
}

/* The member refused the connection. */
static void
on_refused(void *ctx, enum failure why)
{
    struct pooled_link *l = ctx;
    struct member *m = l->member;
    const clock_ms now = service_now(m->service);

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
        member_failed(m, why, service_now(s));
    }
    link_drop(l, why);
    service_dispatch(s);
}

/* Takes what an answer shows of a replica's position. */
static void
note_position(struct member *m, const struct pooled_link *l,
              const struct answer *a, clock_ms now)
{
    if (a->failure == FAILURE_LAGGING) {
        m->position = a->position; /* lower than before after a promotion */
        if (token_is_met(&l->after, a->position.term, a->position.position)) {
            m->position.known = false; /* it contradicts itself */
        }
        m->missing = l->after;
        m->lag_pause_ms = CLAMP(m->lag_pause_ms * 2, LAG_RETRY_FIRST_MS,
                                LAG_RETRY_LONGEST_MS);
        m->lag_until = now + m->lag_pause_ms;
        return;
    }
    if (a->position.known) {
        token_raise(&m->position, a->position.term, a->position.position);
    }
    if (m->missing.known && m->position.known &&
        token_is_met(&m->missing, m->position.term, m->position.position)) {
        m->missing.known = false;
        m->lag_pause_ms = 0;
        m->lag_until = 0;
    }
}

/* An answer arrived. */
static void
on_answered(void *ctx, const struct answer *a)
{
    struct pooled_link *l = ctx;
    struct member *m = l->member;
    struct service *s = m->service;
    const clock_ms now = service_now(s);

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
    if (!l->as_primary) {
        note_position(m, l, a, now);
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
    service_dispatch(s);
}

static const struct member_link_events link_events = {
    .opened = on_opened,
    .refused = on_refused,
    .answered = on_answered,
    .closed = on_closed,
};

/* Starts a connection to a member. */
void
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

/* Closes a member's links and frees it. */
void
member_free(struct member *m, const char *why)
{
    while (m->links->len > 0) {
        link_drop(m->links->pdata[m->links->len - 1], why);
    }
    g_ptr_array_free(m->links, TRUE);
    g_free(m);
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
    const clock_ms now = service_now(s);

    l->outstanding++;
    l->sent_at = now;
    l->active = true;
    l->after = after != NULL ? *after : (struct token){0};
    l->timed = verb_runs_at_member(r->verb);
    l->lease_at_send = l->as_primary && s->lease_valid(s->ctx, s->name, now);
    s->codec->send(l->link, r, after);
}

/* Marks a link in a transaction as waiting for its caller. */
void
pooled_rest(struct pooled_link *l)
{
    l->active = false;
    service_dispatch(l->member->service);
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
        link_idle(l, service_now(s));
        service_dispatch(s);
        return;
    }
    l->state = LINK_CLEANING;
    l->changed_at = service_now(s);
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
    l->changed_at = service_now(l->member->service);
}

/* Closes a link whose state is in doubt. */
void
pooled_discard(struct pooled_link *l)
{
    struct service *s = l->member->service;

    l->user = NULL;
    link_drop(l, "discarded");
    service_dispatch(s);
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
