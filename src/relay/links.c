#include "relay/service_internal.h"

#include "base/event_log.h"

/* Without a call of service_tick() for this long, the process may have been
   suspended. */
#define TICK_GAP_MAX_MS 300
/* Delay before the next connection attempt to an unreachable member: the first
   one, and the maximum after doubling. */
#define RECONNECT_FIRST_MS 50
#define RECONNECT_MAX_MS 400
/* Delay after a member refused a connection because it has too many: the first
   one, and the maximum after doubling. Half of it is random, since all proxies
   wait for the same connections. */
#define FULL_RETRY_FIRST_MS 40
#define FULL_RETRY_MAX_MS 320
/* Delay after a member refused a statement because of its load, about one
   statement; up to twice as long at random. */
#define BUSY_RETRY_MS 10
/* Growth of a member's window with each statement that succeeds. */
#define WINDOW_STEP 0.25
/* Delay before the presumed primary gets requests again after it answered that
   it is a replica. */
#define NOT_PRIMARY_RETRY_MS 40
/* Where connections stay open: delay before a replica that lacked a position
   is asked again for a position that it is not known to have, at first about
   its usual lag, then doubled up to the maximum while it still lags. Where
   they are opened on demand, its measured lag decides (replica_lag.c). */
#define LAG_RETRY_FIRST_MS 30
#define LAG_RETRY_MAX_MS 240

/* Called whenever a member has answered. */
void
member_mark_reachable(struct member *m, clock_ms now)
{
    if (m->unreachable_since != 0) {
        event_log(EVENT_STATE, "member_reachable",
                  "service=%s member=%s silent_ms=%lld", m->service->name,
                  m->entry.id, (long long)(now - m->unreachable_since));
    }
    m->last_answer_at = now;
    m->unreachable_since = 0;
    m->failures = 0;
    m->retry_at = 0;
}

/* Called when a connection attempt to a member has failed, or when the member
   does not answer. Schedules the next attempt. */
void
member_mark_unreachable(struct member *m, const char *why, clock_ms now)
{
    if (m->unreachable_since == 0) {
        m->unreachable_since = now;
        event_log(EVENT_STATE, "member_unreachable",
                  "service=%s member=%s why=\"%s\" last_heard_ms=%lld",
                  m->service->name, m->entry.id, why,
                  (long long)(now - m->last_answer_at));
    }
    const int64_t delay_ms = RECONNECT_FIRST_MS << MIN(m->failures, 3);
    m->retry_at = now + MIN(delay_ms, RECONNECT_MAX_MS);
    m->failures++;
}

/* Closes and frees a link after removing it from its member's list. Its user,
   if any, is notified by lost(). */
void
link_drop(struct pooled_link *l, const char *why)
{
    const struct pooled_user *user = l->user;

    l->user = NULL;
    g_ptr_array_remove_fast(l->member->links, l);
    if (l->codec_link != NULL) {
        l->member->service->codec->close(l->codec_link);
    }
    if (user != NULL) {
        user->lost(l->ctx, why);
    }
    link_setup_destroy(l->setup);
    g_free(l->account);
    g_free(l);
}

/* Returns a link to the pool. */
void
link_make_idle(struct pooled_link *l, clock_ms now)
{
    l->state = LINK_IDLE;
    l->rested = false;
    l->active = false;
    l->user = NULL;
    l->changed_at = now;
}

/* Returns true if a link is in use and was granted to an earlier primary. */
bool
link_is_outdated(const struct pooled_link *l)
{
    return l->as_primary && l->epoch != l->member->service->epoch &&
           l->state != LINK_IDLE && l->state != LINK_OPENING;
}

/* Returns how long a link has waited for an answer, or for the connection to
   be accepted; 0 if it does not wait. Time before the process was resumed from
   a suspension is not counted. */
int64_t
link_waited_ms(const struct pooled_link *l, clock_ms now)
{
    if (l->state != LINK_OPENING && l->outstanding == 0) {
        return 0;
    }
    return now - clock_later(l->sent_at, l->member->service->resumed_at);
}

/* Called when a member refuses connections or statements, of which all proxies
   together have too many. */
static void
shrink_window(struct member *m)
{
    m->window = MAX(m->window / 2, 1.0);
}

/* Called when a member has refused a statement because of its load. */
static void
mark_busy(struct member *m, clock_ms now)
{
    shrink_window(m);
    m->busy_until = now + BUSY_RETRY_MS +
                    (int64_t)rng_below(&m->service->rng, BUSY_RETRY_MS + 1);
}

/* Schedules the next attempt at a member that has too many connections. */
static void
mark_full(struct member *m, clock_ms now)
{
    shrink_window(m);
    const int64_t delay_ms =
        MIN(FULL_RETRY_FIRST_MS << MIN(m->refusals, 3), FULL_RETRY_MAX_MS);

    m->refusals++;
    m->full_until =
        now + delay_ms / 2 +
        (int64_t)rng_below(&m->service->rng, (uint64_t)delay_ms / 2 + 1);
}

static void
on_opened(void *ctx, const struct token *position)
{
    struct pooled_link *l = ctx;
    struct service *s = l->member->service;

    (void)position;
    const clock_ms now = service_now(s);
    member_mark_reachable(l->member, now);
    l->member->refusals = 0;
    member_opening_ended(l->member, now - l->sent_at, now);
    link_make_idle(l, now);
    service_dispatch(s);
}

static void
on_refused(void *ctx, enum failure why)
{
    struct pooled_link *l = ctx;
    struct member *m = l->member;
    const clock_ms now = service_now(m->service);

    m->service->counters.links_refused++;
    member_opening_refused(m, now);
    event_log(EVENT_STATE, "link_refused", "service=%s member=%s why=%s",
              m->service->name, m->entry.id, failure_name(why));
    /* A member whose queue is full refuses openings too. It is reachable: all
       proxies would otherwise try it again every RECONNECT_MAX_MS. */
    if (why == FAILURE_CONNECTION_LIMIT ||
        (why == FAILURE_BUSY && m->service->limits.idle_permille > 0)) {
        member_mark_reachable(m, now);
        mark_full(m, now);
    }
    else {
        member_mark_unreachable(m, failure_name(why), now);
    }
    link_drop(l, failure_name(why));
}

static void
on_closed(void *ctx, const char *why)
{
    struct pooled_link *l = ctx;
    struct member *m = l->member;
    struct service *s = m->service;

    s->counters.links_lost++;
    /* The loss of an open connection does not prove that the member is down.
       If it is, the next connection attempt fails. */
    if (l->state == LINK_OPENING) {
        member_mark_unreachable(m, why, service_now(s));
    }
    link_drop(l, why);
    service_dispatch(s);
}

/* Updates what is known about a replica's position from its answer. */
static void
update_replica_position(struct member *m, const struct pooled_link *l,
                        const struct answer *a, clock_ms now)
{
    const struct position_samples *samples = &m->service->position_samples;

    if (a->failure == FAILURE_LAGGING) {
        m->missing_position = l->min_position;
        replica_lag_refused(&m->lag, samples, &a->position, &l->min_position,
                            now);
        m->lag_retry_ms =
            CLAMP(m->lag_retry_ms * 2, LAG_RETRY_FIRST_MS, LAG_RETRY_MAX_MS);
        m->lag_retry_at = now + m->lag_retry_ms;
        return;
    }
    replica_lag_reported(&m->lag, samples, &a->position, now);
    if (m->missing_position.known && m->lag.position.known &&
        token_is_satisfied(&m->missing_position, m->lag.position.term,
                           m->lag.position.position)) {
        m->missing_position.known = false;
        m->lag_retry_ms = 0;
        m->lag_retry_at = 0;
    }
}

/* Called for each answer. An abandoned link, or one that is being rolled back,
   returns to the pool after its last answer. */
static void
on_answered(void *ctx, const struct answer *a)
{
    struct pooled_link *l = ctx;
    struct member *m = l->member;
    struct service *s = m->service;
    const clock_ms now = service_now(s);

    member_mark_reachable(m, now);
    l->outstanding--;
    link_setup_answered(l->setup, a->failure);
    if (a->failure == FAILURE_BUSY) {
        mark_busy(m, now);
    }
    else if (l->timed && a->failure == FAILURE_NONE) {
        m->window = MIN(m->window + WINDOW_STEP, s->limits.working);
    }
    if (l->timed && l->outstanding == 0) {
        m->mean_statement_us +=
            ((now - l->sent_at) * 1000 - m->mean_statement_us) / 16;
        l->timed = false;
    }
    if (l->as_primary && l->lease_at_send && l->epoch == s->epoch &&
        a->failure != FAILURE_READ_ONLY) {
        position_samples_add(&s->position_samples, l->sent_at, &a->position);
    }
    if (a->failure == FAILURE_READ_ONLY && l->as_primary) {
        m->not_primary_until = now + NOT_PRIMARY_RETRY_MS;
    }
    if (!l->as_primary) {
        update_replica_position(m, l, a, now);
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
    if (!link_setup_is_known(l->setup)) {
        link_drop(l, "settings unknown");
        service_dispatch(s);
        return;
    }
    if (a->state != TRANSACTION_NONE) {
        if (l->state == LINK_ROLLING_BACK) {
            link_drop(l, "rollback failed");
            return;
        }
        pooled_release(l, true);
        return;
    }
    link_make_idle(l, now);
    service_dispatch(s);
}

static const struct member_link_events link_events = {
    .opened = on_opened,
    .refused = on_refused,
    .answered = on_answered,
    .closed = on_closed,
};

/* Accounts are compared by name: the catalog may have been replaced since a
   link was opened or a request queued. */
bool
account_equal(const struct account *a, const struct account *b)
{
    return g_strcmp0(a != NULL ? a->name : NULL, b != NULL ? b->name : NULL) ==
           0;
}

/* Returns true if a link serves the requests of an account. */
bool
link_serves(const struct pooled_link *l, const struct account *a)
{
#ifdef RELAY_BREAK_ACCOUNTS
    return true;
#endif
    return g_strcmp0(l->account, a != NULL ? a->name : NULL) == 0;
}

/* Starts to connect to a member for the requests of an account; NULL for those
   of no account. */
void
link_open(struct member *m, const char *account, clock_ms now)
{
    struct service *s = m->service;
    struct pooled_link *l = g_new0(struct pooled_link, 1);

    l->member = m;
    l->account = g_strdup(account);
    l->state = LINK_OPENING;
    l->sent_at = now;
    l->changed_at = now;
    l->setup = link_setup_create();
    l->codec_link =
        s->codec->open(s->codec->ctx, &m->entry, l->account, &link_events, l);
    g_ptr_array_add(m->links, l);
    m->opened_at = now;
    s->counters.links_opened++;
    if (l->codec_link == NULL) {
        member_mark_unreachable(m, "connect", now);
        link_drop(l, "connect");
    }
}

/* Closes a member's links and frees it. The users of the links are notified
   with the reason. */
void
member_free(struct member *m, const char *why)
{
    while (m->links->len > 0) {
        link_drop(m->links->pdata[m->links->len - 1], why);
    }
    g_ptr_array_free(m->links, TRUE);
    g_free(m);
}

void
pooled_set_user(struct pooled_link *l, const struct pooled_user *user,
                void *ctx)
{
    l->user = user;
    l->ctx = ctx;
}

/* Sends a request on a granted link. A replica executes it only if it has
   reached min_position; NULL requires nothing. */
void
pooled_send(struct pooled_link *l, const struct request *r,
            const struct token *min_position)
{
    struct service *s = l->member->service;
    const clock_ms now = service_now(s);

    l->outstanding++;
    l->sent_at = now;
    l->active = true;
    l->min_position = min_position != NULL ? *min_position : (struct token){0};
    l->timed = verb_runs_at_member(r->verb);
    l->lease_at_send = l->as_primary && s->lease_valid(s->ctx, s->name, now);
    link_setup_sent(l->setup, r);
    s->codec->send(l->codec_link, r, min_position);
}

/* Marks a link as idle within a transaction: until the next request it does
   not count towards the member's limit of statements. */
void
pooled_set_inactive(struct pooled_link *l)
{
    l->active = false;
    l->rested = true;
    service_dispatch(l->member->service);
}

/* Returns a granted link to the pool, after rolling back the open transaction
   if rollback is true. The user gets no more callbacks. */
void
pooled_release(struct pooled_link *l, bool rollback)
{
    struct service *s = l->member->service;
    const struct request undo = {.verb = VERB_ROLLBACK,
                                 .text = SVIEW("ROLLBACK")};

    l->user = NULL;
    if (!rollback) {
        link_make_idle(l, service_now(s));
        service_dispatch(s);
        return;
    }
    l->state = LINK_ROLLING_BACK;
    l->changed_at = service_now(s);
    pooled_send(l, &undo, NULL);
    l->active = false;
}

/* Releases a link whose answer is still outstanding. The user gets no more
   callbacks; the link returns to the pool when the answer has arrived. */
void
pooled_abandon(struct pooled_link *l)
{
    l->user = NULL;
    l->state = LINK_ABANDONED;
    l->changed_at = service_now(l->member->service);
}

/* Closes a granted link whose state at the member is unknown. The user gets no
   more callbacks. */
void
pooled_discard(struct pooled_link *l)
{
    struct service *s = l->member->service;

    l->user = NULL;
    link_drop(l, "discarded");
    service_dispatch(s);
}

/* Returns true if statements may still be sent on a link. A link to the
   primary requires that the primary has not changed since the grant and that
   the lease is valid. */
bool
pooled_is_current(const struct pooled_link *l, clock_ms now)
{
    const struct service *s = l->member->service;

    return !l->as_primary || (l->epoch == s->epoch && !s->primary_changing &&
                              s->lease_valid(s->ctx, s->name, now));
}

/* Returns true if the lease has been valid without a break since the last
   request was sent on a link, so that no other primary can have been chosen
   before the member answered. */
bool
pooled_held_lease(const struct pooled_link *l, clock_ms now)
{
    const struct service *s = l->member->service;

    return s->lease_valid(s->ctx, s->name, now) &&
           l->sent_at >= clock_later(s->resumed_at, s->lease_regained_at) &&
           now - s->ticked_at < TICK_GAP_MAX_MS;
}

/* Returns true if the member was the primary when the link was granted. */
bool
pooled_is_primary(const struct pooled_link *l)
{
    return l->as_primary;
}

/* Returns the id of the member that the link connects to. */
const char *
pooled_member(const struct pooled_link *l)
{
    return l->member->entry.id;
}

/* Returns how long the member has not answered on any of its connections. */
int64_t
pooled_silent_ms(const struct pooled_link *l, clock_ms now)
{
    return now - clock_later(l->member->last_answer_at,
                             l->member->service->resumed_at);
}

/* Returns the settings and prepared statements in effect on the connection. */
struct link_setup *
pooled_setup(const struct pooled_link *l)
{
    return l->setup;
}
