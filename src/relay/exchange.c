#include "relay/session_internal.h"

#include "base/event_log.h"

#include <string.h>
#include <xxhash.h>

/* Executes a session's request at a member: queues it for a connection, sends
   the settings, prepared statements and BEGIN that it needs and then the
   statement, and tries again after failures that allow it. */

/* A read without an answer after this time is sent to another member, since
   the answer may be lost or the member overloaded. Well above the usual time
   of a statement and below the latency target of most reads. */
#define READ_RETRY_AFTER_MS 300
#define ATTEMPTS_MAX 5

static bool
may_retry(const struct session *s)
{
    const clock_ms now = session_now(s);

    return s->attempts < ATTEMPTS_MAX && now < s->deadline &&
           !session_is_answering_all(s, now);
}

/* Queues the request until a connection is granted. */
void
exchange_submit(struct session *s)
{
    const struct database_route *r = s->route;
    struct connection_request *w = &s->connection_request;
    const bool reads =
        s->transaction == TRANSACTION_OPEN ? s->read_only : !s->writes;

    w->priority = r->priority;
    w->needs_primary =
        w->needs_primary || !reads || r->freshness == FRESHNESS_PRIMARY;
    w->floor =
        r->freshness == FRESHNESS_PRIMARY ? (struct token){0} : s->token;
    w->arrived_at = s->arrived_at;
    w->deadline = s->deadline;
    w->target = s->arrived_at + r->target_ms;
    w->staleness_ms = r->max_staleness_ms;
    w->settings_hash = s->settings_hash;
    s->step = STEP_QUEUED;
    s->attempts++;
    session_update_active(s);
    service_submit(s->service, w);
}

/* Queues the request again, or answers with the failure if there is no attempt
   or time left. Only for requests that have certainly not been executed, and
   for reads. */
static void
retry(struct session *s, enum failure why, const char *detail)
{
    if (!may_retry(s)) {
        session_answer_failure(s, why, detail);
        return;
    }
    if (!session_authorized(s)) {
        return;
    }
    s->relay->counters.retried++;
    event_log(EVENT_REQUEST, "statement_retried",
              "id=%.*s database=%s service=%s why=%s detail=\"%s\" "
              "attempt=%d member=%s after_ms=%lld",
              (int)s->request.id.n, s->request.id.p, s->database,
              service_name(s->service), failure_name(why), detail, s->attempts,
              s->connection_request.avoid_member[0] != '\0'
                  ? s->connection_request.avoid_member
                  : "-",
              (long long)(session_now(s) - s->arrived_at));
    exchange_start(s);
}

/* Returns the connection after a failed attempt, or closes it if it is not
   reusable, and sets its member to be avoided by the next attempt. */
static void
release_member(struct session *s, bool reusable)
{
    struct pooled_link *l = s->pooled;

    g_strlcpy(s->connection_request.avoid_member, pooled_member(l),
              sizeof(s->connection_request.avoid_member));
    s->pooled = NULL;
    s->begun = false;
    if (reusable) {
        pooled_release(l, false);
    }
    else {
        pooled_discard(l);
    }
}

/* Returns true if the answer to the request acknowledges a commit that
   sync_replicas protects, and the primary may have been replaced before the
   commit: the new one may lack it. */
static bool
commit_may_be_lost(const struct session *s)
{
    const struct service_limits *limits =
        g_hash_table_lookup(s->catalog->services, s->route->service);
    const bool commits = s->transaction == TRANSACTION_NONE
                             ? s->writes
                             : s->request.verb == VERB_COMMIT && s->wrote;

    return commits && limits != NULL && limits->sync_replicas > 0 &&
           !pooled_held_lease(s->pooled, session_now(s));
}

/* Passes the member's answer to the caller. Returns the connection to the pool
   unless the transaction stays open. */
static void
finish_statement(struct session *s, const struct answer *from)
{
    struct answer a = *from;
    struct pooled_link *l = s->pooled;
    const bool ok = a.failure == FAILURE_NONE;

#ifndef RELAY_BREAK_SYNCHRONOUS
    if (ok && commit_may_be_lost(s)) {
        s->step = STEP_IDLE;
        s->begun = false;
        session_answer_failure(s, FAILURE_UNKNOWN_OUTCOME, "lease lost");
        return;
    }
#endif
    if (ok && a.position.known) {
        token_raise(&s->token, a.position.term, a.position.position);
    }
    if (s->transaction == TRANSACTION_OPEN && s->request.verb != VERB_COMMIT) {
        if (ok && a.state == TRANSACTION_OPEN) {
            s->wrote = s->wrote || s->writes;
            s->step = STEP_IDLE;
            pooled_set_inactive(l);
            session_answer(s, &a);
            return;
        }
        /* The member rolled back the transaction, or its state is unknown. */
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

/* Handles the member's answer to the caller's statement. */
static void
handle_statement_answer(struct session *s, const struct answer *a)
{
    const bool single = s->transaction == TRANSACTION_NONE;

    if (a->failure == FAILURE_NO_STATEMENT) {
        link_setup_forget_names(pooled_setup(s->pooled));
    }
    if (single && failure_means_not_run(a->failure)) {
        s->has_permit = session_limited_account(s) != NULL;
        s->connection_request.needs_primary =
            s->connection_request.needs_primary ||
            a->failure == FAILURE_LAGGING;
        s->step = STEP_IDLE;
        release_member(s, a->state == TRANSACTION_NONE);
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

/* Handles the member's answer to BEGIN. */
static void
handle_begin_answer(struct session *s, const struct answer *a)
{
    if (a->failure == FAILURE_NONE && a->state == TRANSACTION_OPEN) {
        s->begun = true;
        exchange_proceed(s);
        return;
    }
    s->has_permit = session_limited_account(s) != NULL &&
                    failure_means_not_run(a->failure);
    s->connection_request.needs_primary =
        s->connection_request.needs_primary || a->failure == FAILURE_LAGGING;
    s->step = STEP_IDLE;
    release_member(s, a->state == TRANSACTION_NONE);
    retry(s, FAILURE_ABORTED, failure_name(a->failure));
}

/* Handles the member's answer to a request of send_setup_request(). */
static void
handle_setup_answer(struct session *s, const struct answer *a)
{
    s->setup_answers_left--;
    if (a->failure != FAILURE_NONE) {
        s->step = STEP_IDLE;
        if (s->begun) {
            session_answer_failure(s, FAILURE_ABORTED, "settings failed");
            return;
        }
        release_member(s, false);
        retry(s, FAILURE_BUSY, "settings failed");
        return;
    }
    if (s->setup_answers_left == 0) {
        exchange_proceed(s);
    }
}

static void
on_answered(void *ctx, const struct answer *a)
{
    struct session *s = ctx;

    if (s->step == STEP_SETUP) {
        handle_setup_answer(s, a);
    }
    else if (s->step == STEP_BEGIN) {
        handle_begin_answer(s, a);
    }
    else {
        handle_statement_answer(s, a);
    }
}

/* Called when the connection to the member is lost. The answer to the caller
   depends on what had been sent: a write that may have been executed has an
   unknown outcome, an open transaction is aborted, and everything else is
   tried again. */
static void
on_lost(void *ctx, const char *why)
{
    struct session *s = ctx;
    const enum step step = s->step;

    g_strlcpy(s->connection_request.avoid_member, pooled_member(s->pooled),
              sizeof(s->connection_request.avoid_member));
    s->pooled = NULL;
    if (step == STEP_IDLE) {
        /* The transaction was waiting for its next statement. */
        s->begun = false;
        s->aborted_by_proxy = true;
        s->transaction = TRANSACTION_FAILED;
        return;
    }
    if (step == STEP_RATE_LIMIT) {
        session_drop_permit(s);
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
        s->may_have_run = s->may_have_run || step == STEP_STATEMENT;
        retry(s, FAILURE_BUSY, why);
    }
}

/* Sends a SET, RESET or PREPARE request that the caller's statement needs. */
static void
send_setup_request(struct session *s, enum verb verb, const char *name,
                   const char *rest)
{
    const struct request r = {
        .verb = verb, .name = sview_from(name), .rest = sview_from(rest)};

    s->setup_answers_left++;
    pooled_send(s->pooled, &r, NULL);
}

/* Returns true if the settings in effect on the connection are those of the
   session. Their hashes only save the comparison of unequal ones. */
static bool
has_session_settings(const struct session *s)
{
    const struct link_setup *setup = pooled_setup(s->pooled);
    GHashTableIter i;
    void *name;
    void *value;

    if (link_setup_settings_hash(setup) != s->settings_hash ||
        g_hash_table_size(link_setup_settings(setup)) !=
            g_hash_table_size(s->settings)) {
        return false;
    }
    g_hash_table_iter_init(&i, s->settings);
    while (g_hash_table_iter_next(&i, &name, &value)) {
        if (!link_setup_has_setting(setup, name, value)) {
            return false;
        }
    }
    return true;
}

/* Makes the connection's settings equal to those of the session. A connection
   with additional settings is reset first. */
static void
send_settings(struct session *s)
{
#ifdef RELAY_BREAK_SETTINGS
    return;
#endif
    const struct link_setup *setup = pooled_setup(s->pooled);
    GHashTableIter i;
    void *name;
    void *value;
    bool extra = false;

    g_hash_table_iter_init(&i, link_setup_settings(setup));
    while (g_hash_table_iter_next(&i, &name, NULL)) {
        extra = extra || !g_hash_table_contains(s->settings, name);
    }
    if (extra) {
        send_setup_request(s, VERB_RESET, "", "");
    }
    g_hash_table_iter_init(&i, s->settings);
    while (g_hash_table_iter_next(&i, &name, &value)) {
        if (!link_setup_has_setting(setup, name, value)) {
            send_setup_request(s, VERB_SET, name, value);
        }
    }
}

/* Returns the name of a prepared statement on member connections, to be freed
   by the caller. It is derived from the statement, so that sessions that
   prepare the same statement share it. */
static char *
member_statement_name(const struct prepared_statement *stmt)
{
    return g_strdup_printf(
        "%c%016llx", stmt->writes ? 'w' : 'r',
        (unsigned long long)XXH64(stmt->statement_text,
                                  strlen(stmt->statement_text), stmt->writes));
}

/* Prepares the statement of an EXECUTE on the connection if needed. */
static void
send_prepare(struct session *s)
{
    const struct prepared_statement *stmt =
        session_find_prepared(s, s->request.name);
    char *name = member_statement_name(stmt);

    if (!link_setup_has_name(pooled_setup(s->pooled), name)) {
        send_setup_request(
            s, stmt->writes ? VERB_PREPARE_WRITE : VERB_PREPARE_READ, name,
            stmt->statement_text);
    }
    g_free(name);
}

/* Sends the caller's statement. A single read on a replica carries the minimum
   position; in a transaction, BEGIN has carried it. */
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
        name = member_statement_name(session_find_prepared(s, r.name));
        r.name = sview_from(name);
    }
    s->step = STEP_STATEMENT;
    s->has_permit = false; /* used */
    s->sent_at = session_now(s);
    g_strlcpy(s->member, pooled_member(s->pooled), sizeof(s->member));
    pooled_send(s->pooled, &r,
                check ? &s->connection_request.min_position : NULL);
    g_free(name);
}

/* Returns NULL if the granted connection may still be used, otherwise why
   not. The account of an open transaction may become known: it was no other
   one before. */
static const char *
find_obstacle(const struct session *s)
{
    if (!pooled_is_current(s->pooled, session_now(s))) {
        return "primary changed";
    }
    if (!session_keeps_request_account(s) &&
        !(s->begun && s->connection_request.account == NULL)) {
        return "account changed";
    }
    return NULL;
}

/* Sends what comes next on the granted connection: settings and prepared
   statements, BEGIN, or the caller's statement. */
void
exchange_proceed(struct session *s)
{
    if (!session_authorized(s)) {
        return;
    }
    const char *obstacle = find_obstacle(s);
    if (obstacle != NULL) {
        s->step = STEP_IDLE;
        if (s->begun) {
            session_answer_failure(s, FAILURE_ABORTED, obstacle);
            return;
        }
        release_member(s, true);
        s->connection_request.avoid_member[0] = '\0';
        retry(s, FAILURE_BUSY, obstacle);
        return;
    }
    if (session_needs_permit(s)) {
        session_acquire_permit(
            s); /* it has expired while the request waited */
        return;
    }
    if (s->step != STEP_SETUP && s->step != STEP_BEGIN) {
        s->setup_answers_left = 0;
        if (!has_session_settings(s)) {
            send_settings(s);
        }
        if (s->request.verb == VERB_EXECUTE) {
            send_prepare(s);
        }
        if (s->setup_answers_left > 0) {
            s->step = STEP_SETUP;
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
        s->has_permit = false; /* used */
        pooled_send(s->pooled, &r,
                    pooled_is_primary(s->pooled)
                        ? NULL
                        : &s->connection_request.min_position);
        return;
    }
    send_statement(s);
}

static const struct pooled_user pooled_user = {
    .answered = on_answered,
    .lost = on_lost,
};

void
exchange_granted(void *ctx, struct pooled_link *l)
{
    struct session *s = ctx;

    s->pooled = l;
    s->step = STEP_IDLE;
    pooled_set_user(l, &pooled_user, s);
    exchange_proceed(s);
}

/* The queued request will not get a connection. It has not been executed. */
void
exchange_refused(void *ctx, const char *why)
{
    struct session *s = ctx;

    s->step = STEP_IDLE;
    session_answer_failure(
        s, s->transaction == TRANSACTION_OPEN ? FAILURE_ABORTED : FAILURE_BUSY,
        why);
}

/* Applies the timeouts of a session: of a transaction that waits for its next
   statement, and of a request that has been sent. Queued requests time out in
   the service's queue. */
void
exchange_check_timeouts(struct session *s, clock_ms now)
{
    if (s->step == STEP_IDLE) {
        if (s->pooled != NULL &&
            (now - s->idle_since > s->catalog->transaction_idle_ms ||
             session_must_end_transaction(s, now))) {
            session_release_link(s);
            s->begun = false;
            s->aborted_by_proxy = true;
            s->transaction = TRANSACTION_FAILED;
        }
        return;
    }
    const bool shutting_down = session_is_answering_all(s, now);
    if (s->step == STEP_RATE_LIMIT && now >= s->deadline) {
        session_drop_permit(s);
        exchange_refused(s, "limit_unknown");
        return;
    }
    if (s->step == STEP_QUEUED || s->step == STEP_RATE_LIMIT) {
        if (shutting_down) {
            if (s->step == STEP_QUEUED) {
                service_withdraw(s->service, &s->connection_request);
            }
            session_drop_permit(s);
            s->step = STEP_IDLE;
            session_answer_failure(s,
                                   s->transaction == TRANSACTION_OPEN
                                       ? FAILURE_ABORTED
                                       : FAILURE_BUSY,
                                   "shutting down");
        }
        return;
    }
    const bool single_read = !s->writes && s->transaction == TRANSACTION_NONE;
    if (single_read && now - s->sent_at >= READ_RETRY_AFTER_MS &&
        now < s->deadline && !shutting_down && s->attempts < ATTEMPTS_MAX &&
        s->step == STEP_STATEMENT) {
        g_strlcpy(s->connection_request.avoid_member, pooled_member(s->pooled),
                  sizeof(s->connection_request.avoid_member));
        session_release_link(s);
        s->step = STEP_IDLE;
        s->may_have_run = true;
        retry(s, FAILURE_TIMEOUT, "no answer yet");
        return;
    }
    if (now >= s->deadline || shutting_down) {
        const bool sent = s->step == STEP_STATEMENT;
        s->silent_ms = pooled_silent_ms(s->pooled, now);
        g_strlcpy(s->member, pooled_member(s->pooled), sizeof(s->member));
        session_release_link(s);
        s->step = STEP_IDLE;
        s->begun = false;
        session_answer_failure(s, sent ? FAILURE_TIMEOUT : FAILURE_ABORTED,
                               now >= s->deadline ? "statement timeout"
                                                  : "shutting down");
    }
}
