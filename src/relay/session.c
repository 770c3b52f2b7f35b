#include "relay/session_internal.h"

#include "base/event_log.h"

#include <string.h>
#include <xxhash.h>

/* Frees a prepared statement's record. */
static void
prepared_free(void *p)
{
    struct prepared_shape *d = p;

    g_free(d->shape);
    g_free(d);
}

/* Creates a session on a database. The name is looked up again at each
   transaction, since the configuration may change. */
struct session *
session_create(struct relay *r, const char *database,
               const struct session_events *events, void *ctx)
{
    struct session *s = g_new0(struct session, 1);

    s->relay = r;
    s->events = events;
    s->ctx = ctx;
    s->database = g_strdup(database);
    s->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->prepared =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, prepared_free);
    r->counters.sessions++;
    return s;
}

/* Lets go of the member connection. */
void
session_drop_link(struct session *s)
{
    struct pooled_link *l = s->pooled;

    s->pooled = NULL;
    if (l == NULL) {
        return;
    }
    if (s->step == STEP_SETTINGS || s->step == STEP_BEGIN ||
        s->step == STEP_STATEMENT) {
        pooled_abandon(l);
    }
    else {
        pooled_release(l, s->begun);
    }
}

/* Ends the session. What is open is rolled back; an answer that is still to
   come is dropped. */
void
session_end(struct session *s)
{
    if (s->step == STEP_QUEUED) {
        service_withdraw(s->service, &s->work);
    }
    session_drop_link(s);
    s->step = STEP_IDLE;
    s->transaction = TRANSACTION_NONE;
    session_update_listing(s);
    g_hash_table_destroy(s->values);
    g_hash_table_destroy(s->prepared);
    catalog_unref(s->catalog);
    g_free(s->database);
    g_free(s->begin_id);
    g_free(s->begin_text);
    g_free(s);
}

/* Tells whether the session is between transactions and requests. */
bool
session_is_idle(const struct session *s)
{
    return s->step == STEP_IDLE && s->transaction == TRANSACTION_NONE;
}

/* Counts a statement's time in a histogram of powers of two milliseconds. */
static void
count_latency(struct relay *r, int64_t ms)
{
    int bucket = 0;

    while (bucket < 15 && ms >= (1LL << bucket)) {
        bucket++;
    }
    r->counters.latency[bucket]++;
}

/* Answers the request in progress and ends it. */
void
session_answer(struct session *s, struct answer *a)
{
    struct relay *r = s->relay;
    const clock_ms now = session_now(s);

    if (verb_runs_at_member(s->request.verb)) {
        r->counters.statements++;
        r->counters.succeeded += a->failure == FAILURE_NONE;
        count_latency(r, now - s->arrived);
    }
    if (a->failure != FAILURE_NONE) {
        r->counters.failures[a->failure]++;
        event_log(EVENT_REQUEST, "statement_failed",
                  "id=%.*s database=%s service=%s outcome=%s detail=\"%.*s\" "
                  "attempts=%d took_ms=%lld member=%s queue=%zu catalog=%llu",
                  (int)s->request.id.n, s->request.id.p, s->database,
                  s->service != NULL ? service_name(s->service) : "-",
                  failure_name(a->failure), (int)a->detail.n, a->detail.p,
                  s->attempts, (long long)(now - s->arrived),
                  s->member[0] != '\0' ? s->member : "-",
                  s->service != NULL ? service_queue_length(s->service) : 0,
                  (unsigned long long)(s->catalog ? s->catalog->version : 0));
    }
    else if (verb_runs_at_member(s->request.verb) &&
             now - s->arrived > s->route->target_ms) {
        event_log(EVENT_REQUEST, "statement_late",
                  "id=%.*s database=%s service=%s attempts=%d took_ms=%lld "
                  "waited_ms=%lld member=%s queue=%zu",
                  (int)s->request.id.n, s->request.id.p, s->database,
                  service_name(s->service), s->attempts,
                  (long long)(now - s->arrived),
                  (long long)(s->sent_at - s->arrived), s->member,
                  service_queue_length(s->service));
    }
    a->state = s->transaction;
    if (!a->position.known) {
        a->position = s->token;
    }
    s->step = STEP_IDLE;
    s->rest_since = now;
    session_update_listing(s);
    s->events->answered(s->ctx, a);
}

/* Answers with success without asking a member. */
void
session_answer_done(struct session *s)
{
    struct answer a = {.failure = FAILURE_NONE};

    session_answer(s, &a);
}

/* Answers with a failure. In a transaction the whole transaction has failed,
   and the connection is given back. */
void
session_answer_failure(struct session *s, enum failure why, const char *detail)
{
    struct answer a = {.failure = why, .detail = sview_from(detail)};

    session_drop_link(s);
    if (s->transaction == TRANSACTION_OPEN) {
        s->transaction = s->request.verb == VERB_COMMIT ? TRANSACTION_NONE
                                                        : TRANSACTION_FAILED;
    }
    s->begun = false;
    session_answer(s, &a);
}

/* Returns the session's prepared statement that the request names. */
const struct prepared_shape *
session_find_prepared(const struct session *s, struct sview name)
{
    char *key = g_strndup(name.p, name.n);
    const struct prepared_shape *d = g_hash_table_lookup(s->prepared, key);

    g_free(key);
    return d;
}

/* Hashes the settings independently of their order; 0 when there are none. */
static uint64_t
hash_values(GHashTable *values)
{
    GHashTableIter i;
    void *name;
    void *value;
    uint64_t hash = 0;

    g_hash_table_iter_init(&i, values);
    while (g_hash_table_iter_next(&i, &name, &value)) {
        char *pair = g_strconcat(name, "=", value, NULL);
        hash += XXH64(pair, strlen(pair), 1) | 1;
        g_free(pair);
    }
    return hash;
}

/* Looks the database up in the newest configuration. Returns false when no
   route has its name. */
static bool
choose_route(struct session *s)
{
    struct relay *r = s->relay;

    catalog_unref(s->catalog);
    s->catalog = catalog_ref(r->config.catalog(r->config.ctx));
    s->route = catalog_route(s->catalog, s->database);
    if (s->route == NULL) {
        return false;
    }
    s->service = r->config.service(r->config.ctx, s->route->service);
    return s->service != NULL;
}

/* Starts a statement that a member runs. */
static void
start_statement(struct session *s)
{
    s->attempts = 0;
    s->member[0] = '\0';
    s->work.needs_primary = false;
    s->work.avoid[0] = '\0';
    s->work.granted = exchange_granted;
    s->work.refused = exchange_refused;
    s->work.ctx = s;
    if (s->transaction == TRANSACTION_NONE && !choose_route(s)) {
        session_answer_failure(s, FAILURE_NO_DATABASE, s->database);
        return;
    }
    s->writes = s->request.verb == VERB_WRITE;
    if (s->request.verb == VERB_EXECUTE) {
        const struct prepared_shape *d =
            session_find_prepared(s, s->request.name);
        if (d == NULL) {
            session_answer_failure(s, FAILURE_NO_STATEMENT, "not prepared");
            return;
        }
        s->writes = d->writes;
    }
    s->deadline = s->arrived + s->route->statement_timeout_ms;
    if (s->pooled != NULL) {
        exchange_proceed(s);
        return;
    }
    exchange_submit(s);
}

/* Starts a transaction. The member is chosen at its first statement, so that
   no connection is held before. */
static void
begin(struct session *s)
{
    if (!choose_route(s)) {
        session_answer_failure(s, FAILURE_NO_DATABASE, s->database);
        return;
    }
    s->transaction = TRANSACTION_OPEN;
    s->read_only = s->request.verb == VERB_BEGIN_READ;
    s->wrote = false;
    s->begun = false;
    s->undone = false;
    g_free(s->begin_id);
    g_free(s->begin_text);
    s->begin_id = g_strndup(s->request.id.p, s->request.id.n);
    s->begin_text = g_strndup(s->request.text.p, s->request.text.n);
    session_answer_done(s);
}

/* Ends the transaction without keeping anything. */
static void
rollback(struct session *s)
{
    session_drop_link(s);
    s->begun = false;
    s->transaction = TRANSACTION_NONE;
    session_answer_done(s);
}

/* Records a setting of the session. */
static void
set_value(struct session *s)
{
    const struct request *r = &s->request;

    g_hash_table_replace(s->values, g_strndup(r->name.p, r->name.n),
                         g_strndup(r->rest.p, r->rest.n));
    s->values_hash = hash_values(s->values);
    session_answer_done(s);
}

/* Records a prepared statement of the session. */
static void
prepare(struct session *s)
{
    const struct request *r = &s->request;
    struct prepared_shape *d = g_new0(struct prepared_shape, 1);

    d->writes = r->verb == VERB_PREPARE_WRITE;
    d->shape = g_strndup(r->rest.p, r->rest.n);
    g_hash_table_replace(s->prepared, g_strndup(r->name.p, r->name.n), d);
    session_answer_done(s);
}

/* Forgets a prepared statement. */
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
    session_answer_done(s);
}

/* Handles a request in a transaction that has failed. */
static void
request_in_failed(struct session *s)
{
    if (s->request.verb == VERB_ROLLBACK) {
        rollback(s);
    }
    else if (s->request.verb == VERB_COMMIT) {
        s->transaction = TRANSACTION_NONE;
        session_answer_failure(s, FAILURE_ABORTED, "transaction failed");
    }
    else if (s->undone) {
        s->undone = false;
        session_answer_failure(s, FAILURE_ABORTED, "transaction ended");
    }
    else {
        session_answer_failure(s, FAILURE_MALFORMED, "transaction failed");
    }
}

/* Handles one request. Its views must stay valid until it is answered; the
   next request comes after the answer. */
void
session_request(struct session *s, const struct request *r)
{
    s->request = *r;
    s->arrived = session_now(s);
    s->attempts = 0;
    s->work.avoid[0] = '\0';
    if (s->transaction == TRANSACTION_FAILED) {
        request_in_failed(s);
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
        set_value(s);
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
