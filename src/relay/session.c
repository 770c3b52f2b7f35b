#include "relay/session_internal.h"

#include "base/event_log.h"

#include <string.h>

static void
prepared_free(void *p)
{
    struct prepared_statement *stmt = p;

    g_free(stmt->statement_text);
    g_free(stmt);
}

/* Creates a session on a database. events must outlive the session. The
   database is looked up again for each transaction, since the configuration
   may change; an unknown name is reported then. */
struct session *
session_create(struct relay *r, const char *database, struct sview api_key,
               const struct session_events *events, void *ctx)
{
    struct session *s = g_new0(struct session, 1);

    s->relay = r;
    s->events = events;
    s->ctx = ctx;
    s->database = g_strdup(database);
    s->key = account_key_of(api_key);
    struct catalog *c = r->config.catalog(r->config.ctx);
    const struct database_route *route = catalog_route(c, database);
    s->on_public_route = route != NULL && route->is_public;
    session_fix_account(s, c);
    s->settings =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->prepared =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, prepared_free);
    r->counters.sessions++;
    return s;
}

/* Releases the member connection, if any. An open transaction is rolled back;
   an outstanding answer is discarded. */
void
session_release_link(struct session *s)
{
    struct pooled_link *l = s->pooled;

    s->pooled = NULL;
    if (l == NULL) {
        return;
    }
    if (s->step == STEP_SETUP || s->step == STEP_BEGIN ||
        s->step == STEP_STATEMENT) {
        pooled_abandon(l);
    }
    else {
        pooled_release(l, s->begun);
    }
}

/* Ends and frees the session. An open transaction is rolled back; a request in
   progress is not answered. */
void
session_end(struct session *s)
{
    if (s->step == STEP_QUEUED) {
        service_withdraw(s->service, &s->connection_request);
    }
    session_drop_permit(s);
    session_release_link(s);
    s->step = STEP_IDLE;
    s->transaction = TRANSACTION_NONE;
    session_update_active(s);
    g_hash_table_destroy(s->settings);
    g_hash_table_destroy(s->prepared);
    catalog_unref(s->catalog);
    catalog_unref(s->account_catalog);
    catalog_unref(s->permit_catalog);
    g_free(s->account_name);
    g_free(s->database);
    g_free(s->begin_id);
    g_free(s->begin_text);
    g_free(s);
}

/* Returns true if no request is in progress and no transaction is open. */
bool
session_is_idle(const struct session *s)
{
    return s->step == STEP_IDLE && s->transaction == TRANSACTION_NONE;
}

/* Returns the state of the session's transaction, as the last answer gave it
   unless the transaction has failed since. */
enum transaction_state
session_transaction_state(const struct session *s)
{
    return s->transaction;
}

/* Returns true if the last single statement or transaction of the session was
   committed, or may have been. */
bool
session_may_have_committed(const struct session *s)
{
    return s->may_have_committed;
}

/* Records whether the request that is being answered has committed. */
static void
update_committed(struct session *s, const struct answer *a)
{
    const enum verb v = s->request.verb;
    const bool commits = v == VERB_COMMIT ? s->wrote : s->writes;

    if (v == VERB_BEGIN || v == VERB_BEGIN_READ) {
        s->may_have_committed = false;
    }
    else if (verb_runs_at_member(v) && s->transaction == TRANSACTION_NONE) {
        s->may_have_committed =
            commits &&
            (a->failure == FAILURE_NONE || a->failure == FAILURE_TIMEOUT ||
             a->failure == FAILURE_UNKNOWN_OUTCOME);
    }
}

static void
count_latency(struct relay *r, int64_t ms)
{
    int bucket = 0;

    while (bucket < 15 && ms >= (1LL << bucket)) {
        bucket++;
    }
    r->counters.latency[bucket]++;
}

/* Ends the request in progress with an answer, whose transaction state and,
   if unknown, position are set here. */
void
session_answer(struct session *s, struct answer *a)
{
    struct relay *r = s->relay;
    const clock_ms now = session_now(s);

    if (verb_runs_at_member(s->request.verb)) {
        r->counters.statements++;
        r->counters.succeeded += a->failure == FAILURE_NONE;
        count_latency(r, now - s->arrived_at);
    }
    if (a->failure != FAILURE_NONE) {
        r->counters.failures[a->failure]++;
        event_log(EVENT_REQUEST, "statement_failed",
                  "id=%.*s database=%s service=%s account=%s outcome=%s "
                  "detail=\"%.*s\" attempts=%d took_ms=%lld member=%s "
                  "silent_ms=%lld queue=%zu catalog=%llu",
                  (int)s->request.id.n, s->request.id.p, s->database,
                  s->service != NULL ? service_name(s->service) : "-",
                  s->account_name != NULL ? s->account_name : "-",
                  failure_name(a->failure), (int)a->detail.n, a->detail.p,
                  s->attempts, (long long)(now - s->arrived_at),
                  s->member[0] != '\0' ? s->member : "-",
                  (long long)s->silent_ms,
                  s->service != NULL ? service_queue_length(s->service) : 0,
                  (unsigned long long)(s->catalog ? s->catalog->version : 0));
    }
    else if (verb_runs_at_member(s->request.verb) &&
             now - s->arrived_at > s->route->target_ms) {
        event_log(EVENT_REQUEST, "statement_late",
                  "id=%.*s database=%s service=%s account=%s attempts=%d "
                  "took_ms=%lld waited_ms=%lld member=%s queue=%zu",
                  (int)s->request.id.n, s->request.id.p, s->database,
                  service_name(s->service),
                  s->account_name != NULL ? s->account_name : "-", s->attempts,
                  (long long)(now - s->arrived_at),
                  (long long)(s->sent_at - s->arrived_at), s->member,
                  service_queue_length(s->service));
    }
    update_committed(s, a);
    session_drop_permit(s);
    a->retry_after_ms = s->retry_after_ms;
    s->retry_after_ms = 0;
    a->state = s->transaction;
    if (!a->position.known) {
        a->position = s->token;
    }
    s->step = STEP_IDLE;
    s->idle_since = now;
    session_update_active(s);
    s->events->answered(s->ctx, a);
}

/* Answers a request that the proxy handles without a member. */
void
session_answer_success(struct session *s)
{
    struct answer a = {.failure = FAILURE_NONE};

    session_answer(s, &a);
}

/* Answers with a failure and releases the connection. An open transaction
   fails as a whole. */
void
session_answer_failure(struct session *s, enum failure why, const char *detail)
{
    struct answer a = {.failure = why, .detail = sview_from(detail)};

    session_release_link(s);
    if (s->transaction == TRANSACTION_OPEN) {
        s->transaction = s->request.verb == VERB_COMMIT ? TRANSACTION_NONE
                                                        : TRANSACTION_FAILED;
    }
    s->begun = false;
    session_answer(s, &a);
}

/* Returns NULL if the session has not prepared a statement of this name. */
const struct prepared_statement *
session_find_prepared(const struct session *s, struct sview name)
{
    char *key = g_strndup(name.p, name.n);
    const struct prepared_statement *stmt =
        g_hash_table_lookup(s->prepared, key);

    g_free(key);
    return stmt;
}

/* Looks up the database in the newest configuration. Returns false if it or
   its service is unknown. */
static bool
look_up_route(struct session *s)
{
    struct relay *r = s->relay;

    catalog_unref(s->catalog);
    s->catalog = catalog_ref(r->config.catalog(r->config.ctx));
    s->route = catalog_route(s->catalog, s->database);
    if (s->route == NULL) {
        return false;
    }
    s->on_public_route = s->route->is_public;
    s->service = r->config.service(r->config.ctx, s->route->service);
    return s->service != NULL;
}

/* Starts a statement that is executed by a member. */
static void
start_statement(struct session *s)
{
    s->attempts = 0;
    s->silent_ms = 0;
    s->member[0] = '\0';
    s->connection_request.needs_primary = false;
    s->connection_request.avoid_member[0] = '\0';
    s->connection_request.granted = exchange_granted;
    s->connection_request.refused = exchange_refused;
    s->connection_request.ctx = s;
    if (s->transaction == TRANSACTION_NONE && !look_up_route(s)) {
        session_answer_failure(s, FAILURE_NO_DATABASE, s->database);
        return;
    }
    if (!session_authorized(s)) {
        return;
    }
    if (s->transaction == TRANSACTION_OPEN &&
        session_must_end_transaction(s, s->arrived_at)) {
        session_answer_failure(s, FAILURE_ABORTED, "shutting down");
        return;
    }
    if (session_is_answering_all(s, s->arrived_at)) {
        session_answer_failure(s, FAILURE_BUSY, "shutting down");
        return;
    }
    s->writes = s->request.verb == VERB_WRITE;
    if (s->request.verb == VERB_EXECUTE) {
        const struct prepared_statement *stmt =
            session_find_prepared(s, s->request.name);
        if (stmt == NULL) {
            session_answer_failure(s, FAILURE_NO_STATEMENT, "not prepared");
            return;
        }
        s->writes = stmt->writes;
    }
    s->deadline = s->arrived_at + s->route->statement_timeout_ms;
    if (s->pooled != NULL) {
        exchange_proceed(s);
        return;
    }
    exchange_start(s);
}

/* Starts a transaction. The member is chosen for the first statement, so that
   no connection is occupied earlier. */
static void
begin(struct session *s)
{
    if (!look_up_route(s)) {
        session_answer_failure(s, FAILURE_NO_DATABASE, s->database);
        return;
    }
    if (!session_authorized(s)) {
        return;
    }
    s->transaction = TRANSACTION_OPEN;
    s->read_only = s->request.verb == VERB_BEGIN_READ;
    s->wrote = false;
    s->begun = false;
    s->aborted_by_proxy = false;
    g_free(s->begin_id);
    g_free(s->begin_text);
    s->begin_id = g_strndup(s->request.id.p, s->request.id.n);
    s->begin_text = g_strndup(s->request.text.p, s->request.text.n);
    session_answer_success(s);
}

static void
rollback(struct session *s)
{
    session_release_link(s);
    s->begun = false;
    s->transaction = TRANSACTION_NONE;
    session_answer_success(s);
}

static void
set_setting(struct session *s)
{
    const struct request *r = &s->request;

    g_hash_table_replace(s->settings, g_strndup(r->name.p, r->name.n),
                         g_strndup(r->rest.p, r->rest.n));
    s->settings_hash = settings_hash(s->settings);
    session_answer_success(s);
}

static void
prepare(struct session *s)
{
    const struct request *r = &s->request;
    struct prepared_statement *stmt = g_new0(struct prepared_statement, 1);

    stmt->writes = r->verb == VERB_PREPARE_WRITE;
    stmt->statement_text = g_strndup(r->rest.p, r->rest.n);
    g_hash_table_replace(s->prepared, g_strndup(r->name.p, r->name.n), stmt);
    session_answer_success(s);
}

static void
deallocate(struct session *s)
{
    char *name = g_strndup(s->request.name.p, s->request.name.n);
    const bool known = g_hash_table_remove(s->prepared, name);

    g_free(name);
    if (!known) {
        session_answer_failure(s, FAILURE_NO_STATEMENT, "not prepared");
        return;
    }
    session_answer_success(s);
}

/* Handles a request in a failed transaction, which only ROLLBACK and COMMIT
   end. */
static void
request_in_failed_transaction(struct session *s)
{
    if (s->request.verb == VERB_ROLLBACK) {
        rollback(s);
    }
    else if (s->request.verb == VERB_COMMIT) {
        s->transaction = TRANSACTION_NONE;
        session_answer_failure(s, FAILURE_ABORTED, "transaction failed");
    }
    else if (s->aborted_by_proxy) {
        s->aborted_by_proxy = false;
        session_answer_failure(s, FAILURE_ABORTED, "transaction ended");
    }
    else {
        session_answer_failure(s, FAILURE_MALFORMED, "transaction failed");
    }
}

/* Handles one request. The string views of the request must stay valid until
   it is answered, and the next request must not be made earlier. */
void
session_request(struct session *s, const struct request *r)
{
    s->request = *r;
    s->arrived_at = session_now(s);
    s->attempts = 0;
    s->may_have_run = false;
    s->connection_request.avoid_member[0] = '\0';
    if (s->transaction == TRANSACTION_FAILED) {
        request_in_failed_transaction(s);
        return;
    }
    const bool open = s->transaction == TRANSACTION_OPEN;
    switch (r->verb) {
    case VERB_BEGIN:
    case VERB_BEGIN_READ:
        if (open) {
            session_answer_failure(s, FAILURE_MALFORMED,
                                   "transaction already open");
            return;
        }
        begin(s);
        return;
    case VERB_ROLLBACK:
        rollback(s);
        return;
    case VERB_COMMIT:
        if (!open) {
            session_answer_failure(s, FAILURE_MALFORMED, "no transaction");
            return;
        }
        start_statement(s);
        return;
    case VERB_READ:
    case VERB_WRITE:
    case VERB_EXECUTE:
        start_statement(s);
        return;
    case VERB_SET:
        set_setting(s);
        return;
    case VERB_PREPARE_READ:
    case VERB_PREPARE_WRITE:
        prepare(s);
        return;
    case VERB_DEALLOCATE:
        deallocate(s);
        return;
    default:
        session_answer_failure(s, FAILURE_MALFORMED, "not understood");
    }
}
