#include "relay/session_internal.h"

#include "base/event_log.h"

#include <string.h>
#include <xxhash.h>

/* A read that has no answer by now is sent to another member as well: the
   answer may be lost, or the member overloaded. Well above the usual time of
   a statement, below the latency objective of most reads. */
#define READ_RETRY_MS 300
#define ATTEMPTS_MAX 5

/* Tells whether the failed request may be tried again inside the proxy. */
static bool
may_retry(const struct session *s)
{
    return s->attempts < ATTEMPTS_MAX && session_now(s) < s->deadline;
}

/* Queues the request for a connection. */
void
exchange_submit(struct session *s)
{
    const struct database_route *r = s->route;
    struct work *w = &s->work;
    const bool reads =
        s->transaction == TRANSACTION_OPEN ? s->read_only : !s->writes;

    w->priority = r->priority;
    w->needs_primary =
        w->needs_primary || !reads || r->freshness == FRESHNESS_PRIMARY;
    w->floor =
        r->freshness == FRESHNESS_PRIMARY ? (struct token){0} : s->token;
    w->arrived = s->arrived;
    w->deadline = s->deadline;
    w->target = s->arrived + r->target_ms;
    w->staleness_ms = r->max_staleness_ms;
    w->values_hash = s->values_hash;
    s->step = STEP_QUEUED;
    s->attempts++;
    session_update_listing(s);
    service_submit(s->service, w);
}

/* Tries again elsewhere what has certainly not run, or only reads. */
static void
retry(struct session *s, enum failure why, const char *detail)
{
    if (!may_retry(s)) {
        session_answer_failure(s, why, detail);
        return;
    }
    s->relay->counters.retried++;
    event_log(EVENT_REQUEST, "statement_retried",
              "id=%.*s database=%s service=%s why=%s detail=\"%s\" "
              "attempt=%d member=%s after_ms=%lld",
              (int)s->request.id.n, s->request.id.p, s->database,
              service_name(s->service), failure_name(why), detail, s->attempts,
              s->work.avoid[0] != '\0' ? s->work.avoid : "-",
              (long long)(session_now(s) - s->arrived));
    exchange_submit(s);
}

/* Remembers the member of the failed attempt and lets go of its link. */
static void
leave_member(struct session *s, bool keep)
{
    struct pooled_link *l = s->pooled;

    g_strlcpy(s->work.avoid, pooled_member(l), sizeof(s->work.avoid));
    s->pooled = NULL;
    s->begun = false;
    if (keep) {
        pooled_release(l, false);
    }
    else {
        pooled_discard(l);
    }
}

/* Ends the request after its transaction at the member has ended, or for a
   single statement. */
static void
finish_statement(struct session *s, const struct answer *from)
{
    struct answer a = *from;
    struct pooled_link *l = s->pooled;
    const bool ok = a.failure == FAILURE_NONE;

    if (ok && a.position.known) {
        token_raise(&s->token, a.position.term, a.position.position);
    }
    if (s->transaction == TRANSACTION_OPEN && s->request.verb != VERB_COMMIT) {
        if (ok && a.state == TRANSACTION_OPEN) {
            s->wrote = s->wrote || s->writes;
            s->step = STEP_IDLE;
            pooled_rest(l);
            session_answer(s, &a);
            return;
        }
        /* The member has undone the transaction, or its state is unknown. */
        s->transaction = TRANSACTION_FAILED;
    }
    else {
        s->transaction = TRANSACTION_NONE;
    }
    s->pooled = NULL;
    s->begun = false;
    s->step = STEP_IDLE;
    pooled_release(l, a.state != TRANSACTION_NONE);
    session_answer(s, &a);
}

/* A statement was answered by the member. */
static void
take_statement(struct session *s, const struct answer *a)
{
    const bool single = s->transaction == TRANSACTION_NONE;

    if (a->failure == FAILURE_NO_STATEMENT) {
        g_hash_table_remove_all(pooled_prepared(s->pooled));
    }
    if (single && failure_is_not_run(a->failure)) {
        s->work.needs_primary =
            s->work.needs_primary || a->failure == FAILURE_LAGGING;
        s->step = STEP_IDLE;
        leave_member(s, a->state == TRANSACTION_NONE);
        retry(s, FAILURE_BUSY, failure_name(a->failure));
        return;
    }
    if (!single && a->failure == FAILURE_READ_ONLY) {
        s->step = STEP_IDLE;
        session_answer_failure(s, FAILURE_ABORTED, "primary changed");
        return;
    }
    finish_statement(s, a);
}

/* Opening the transaction at the member was answered. */
static void
take_begin(struct session *s, const struct answer *a)
{
    if (a->failure == FAILURE_NONE && a->state == TRANSACTION_OPEN) {
        s->begun = true;
        exchange_proceed(s);
        return;
    }
    s->work.needs_primary =
        s->work.needs_primary || a->failure == FAILURE_LAGGING;
    s->step = STEP_IDLE;
    leave_member(s, a->state == TRANSACTION_NONE);
    retry(s, FAILURE_ABORTED, failure_name(a->failure));
}

/* One of the proxy's own requests that prepare the connection was answered. */
static void
take_setting(struct session *s, const struct answer *a)
{
    s->settings_left--;
    if (a->failure != FAILURE_NONE) {
        s->step = STEP_IDLE;
        if (s->begun) {
            session_answer_failure(s, FAILURE_ABORTED, "settings failed");
            return;
        }
        leave_member(s, false);
        retry(s, FAILURE_BUSY, "settings failed");
        return;
    }
    if (s->settings_left == 0) {
        exchange_proceed(s);
    }
}

/* Takes an answer of the member according to what was sent. */
static void
on_answered(void *ctx, const struct answer *a)
{
    struct session *s = ctx;

    if (s->step == STEP_SETTINGS) {
        take_setting(s, a);
    }
    else if (s->step == STEP_BEGIN) {
        take_begin(s, a);
    }
    else {
        take_statement(s, a);
    }
}

/* The connection to the member is gone. What the caller is told depends on
   what had been sent. */
static void
on_lost(void *ctx, const char *why)
{
    struct session *s = ctx;
    const enum step step = s->step;

    g_strlcpy(s->work.avoid, pooled_member(s->pooled), sizeof(s->work.avoid));
    s->pooled = NULL;
    if (step == STEP_IDLE) {
        /* Between the statements of a transaction. */
        s->begun = false;
        s->undone = true;
        s->transaction = TRANSACTION_FAILED;
        return;
    }
    s->step = STEP_IDLE;
    const bool was_begun = s->begun;
    s->begun = false;
    if (step == STEP_STATEMENT && s->request.verb == VERB_COMMIT) {
        session_answer_failure(
            s, s->wrote ? FAILURE_UNKNOWN_OUTCOME : FAILURE_ABORTED, why);
    }
    else if (was_begun) {
        session_answer_failure(s, FAILURE_ABORTED, why);
    }
#ifdef RELAY_BREAK_OUTCOME
    else if (step == STEP_STATEMENT && s->writes) {
        session_answer_failure(s, FAILURE_BUSY, why);
    }
#elif !defined(RELAY_BREAK_ONCE)
    else if (step == STEP_STATEMENT && s->writes) {
        session_answer_failure(s, FAILURE_UNKNOWN_OUTCOME, why);
    }
#endif
    else {
        retry(s, FAILURE_BUSY, why);
    }
}

/* Sends one request that prepares the connection. */
static void
send_setting(struct session *s, enum verb verb, const char *name,
             const char *rest)
{
    const struct request r = {
        .verb = verb, .name = sview_from(name), .rest = sview_from(rest)};

    s->settings_left++;
    pooled_send(s->pooled, &r, NULL);
}

/* Brings the connection's settings to those of the session. */
static void
send_values(struct session *s)
{
#ifdef RELAY_BREAK_SETTINGS
    pooled_set_values_hash(s->pooled, s->values_hash);
    return;
#endif
    GHashTable *there = pooled_values(s->pooled);
    GHashTableIter i;
    void *name;
    void *value;
    bool surplus = false;

    g_hash_table_iter_init(&i, there);
    while (g_hash_table_iter_next(&i, &name, NULL)) {
        surplus = surplus || !g_hash_table_contains(s->values, name);
    }
    if (surplus) {
        send_setting(s, VERB_RESET, "", "");
        g_hash_table_remove_all(there);
        g_hash_table_remove_all(pooled_prepared(s->pooled));
    }
    g_hash_table_iter_init(&i, s->values);
    while (g_hash_table_iter_next(&i, &name, &value)) {
        const char *old = g_hash_table_lookup(there, name);
        if (old == NULL || strcmp(old, value) != 0) {
            send_setting(s, VERB_SET, name, value);
            g_hash_table_replace(there, g_strdup(name), g_strdup(value));
        }
    }
    pooled_set_values_hash(s->pooled, s->values_hash);
}

/* Returns the name under which a shape is prepared on member connections.
   It depends on the shape alone, so that sessions share it. */
static char *
shared_name(const struct prepared_shape *d)
{
    return g_strdup_printf(
        "%c%016llx", d->writes ? 'w' : 'r',
        (unsigned long long)XXH64(d->shape, strlen(d->shape), d->writes));
}

/* Prepares the shape of an EXECUTE on the connection unless it is there. */
static void
send_prepare(struct session *s)
{
    const struct prepared_shape *d = session_find_prepared(s, s->request.name);
    char *name = shared_name(d);

    if (!g_hash_table_contains(pooled_prepared(s->pooled), name)) {
        send_setting(s, d->writes ? VERB_PREPARE_WRITE : VERB_PREPARE_READ,
                     name, d->shape);
        g_hash_table_add(pooled_prepared(s->pooled), g_strdup(name));
    }
    g_free(name);
}

/* Sends the caller's statement. A read on a replica carries the position that
   the replica must have. */
static void
send_statement(struct session *s)
{
    struct request r = s->request;
    char *name = NULL;
#ifdef RELAY_BREAK_POSITION
    const bool check = false;
#else
    const bool check =
        !pooled_is_primary(s->pooled) && s->transaction == TRANSACTION_NONE;
#endif

    if (r.verb == VERB_EXECUTE) {
        name = shared_name(session_find_prepared(s, r.name));
        r.name = sview_from(name);
    }
    s->step = STEP_STATEMENT;
    s->sent_at = session_now(s);
    g_strlcpy(s->member, pooled_member(s->pooled), sizeof(s->member));
    pooled_send(s->pooled, &r, check ? &s->work.after : NULL);
    g_free(name);
}

/* Takes the next step on the granted connection: settings, the opening of the
   transaction, the statement itself. */
void
exchange_proceed(struct session *s)
{
    if (!pooled_is_current(s->pooled, session_now(s))) {
        s->step = STEP_IDLE;
        if (s->begun) {
            session_answer_failure(s, FAILURE_ABORTED, "primary changed");
            return;
        }
        leave_member(s, true);
        s->work.avoid[0] = '\0';
        retry(s, FAILURE_BUSY, "primary changed");
        return;
    }
    if (s->step != STEP_SETTINGS && s->step != STEP_BEGIN) {
        s->settings_left = 0;
        if (pooled_values_hash(s->pooled) != s->values_hash) {
            send_values(s);
        }
        if (s->request.verb == VERB_EXECUTE) {
            send_prepare(s);
        }
        if (s->settings_left > 0) {
            s->step = STEP_SETTINGS;
            return;
        }
    }
    if (s->transaction == TRANSACTION_OPEN && !s->begun) {
        const struct request r = {
            .verb = s->read_only ? VERB_BEGIN_READ : VERB_BEGIN,
            .id = sview_from(s->begin_id),
            .text = sview_from(s->begin_text),
        };
        s->step = STEP_BEGIN;
        pooled_send(s->pooled, &r,
                    pooled_is_primary(s->pooled) ? NULL : &s->work.after);
        return;
    }
    send_statement(s);
}

static const struct pooled_user pooled_user = {
    .answered = on_answered,
    .lost = on_lost,
};

/* A connection was granted. */
void
exchange_granted(void *ctx, struct pooled_link *l)
{
    struct session *s = ctx;

    s->pooled = l;
    s->step = STEP_IDLE;
    pooled_attach(l, &pooled_user, s);
    exchange_proceed(s);
}

/* No connection will be granted: the statement was not run. */
void
exchange_refused(void *ctx, const char *why)
{
    struct session *s = ctx;

    s->step = STEP_IDLE;
    session_answer_failure(
        s, s->transaction == TRANSACTION_OPEN ? FAILURE_ABORTED : FAILURE_BUSY,
        why);
}

/* Checks the deadlines of a session's request. */
void
exchange_check(struct session *s, clock_ms now)
{
    if (s->step == STEP_IDLE) {
        if (s->pooled != NULL &&
            now - s->rest_since > s->catalog->transaction_idle_ms) {
            session_drop_link(s);
            s->begun = false;
            s->undone = true;
            s->transaction = TRANSACTION_FAILED;
        }
        return;
    }
    if (s->step == STEP_QUEUED) {
        return;
    }
    const bool read_alone = !s->writes && s->transaction == TRANSACTION_NONE;
    if (read_alone && now - s->sent_at >= READ_RETRY_MS && now < s->deadline &&
        s->attempts < ATTEMPTS_MAX && s->step == STEP_STATEMENT) {
        g_strlcpy(s->work.avoid, pooled_member(s->pooled),
                  sizeof(s->work.avoid));
        session_drop_link(s);
        s->step = STEP_IDLE;
        retry(s, FAILURE_TIMEOUT, "no answer yet");
        return;
    }
    if (now >= s->deadline) {
        const bool run = s->step == STEP_STATEMENT;
        session_drop_link(s);
        s->step = STEP_IDLE;
        s->begun = false;
        session_answer_failure(s, run ? FAILURE_TIMEOUT : FAILURE_ABORTED,
                               "statement timeout");
    }
}
