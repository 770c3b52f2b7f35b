#include "relay/session.h"

#include "base/event_log.h"

#include <string.h>
#include <xxhash.h>

/* A read that has no answer by now is sent to another member as well: the
   answer may be lost, or the member overloaded. Well above the usual time of
   a statement, below the latency objective of most reads. */
#define READ_RETRY_MS 300
#define ATTEMPTS_MAX 5

enum step {
    STEP_IDLE,
    STEP_QUEUED,    /* waits for a connection */
    STEP_SETTINGS,  /* settings and prepared statement are being set */
    STEP_BEGIN,     /* the transaction is being opened at the member */
    STEP_STATEMENT, /* the caller's statement is at the member */
};

struct prepared_shape {
    bool writes;
    char *shape;
};

struct session {
    struct relay *relay;
    const struct session_events *events;
    void *ctx;
    char *database;
    GList link; /* in the relay's list of sessions with a request */
    bool listed;

    struct catalog *catalog; /* keeps route valid */
    const struct database_route *route;
    struct service *service;

    enum transaction_state transaction;
    bool read_only;
    bool wrote;
    bool begun;     /* BEGIN was sent on the pinned link */
    char *begin_id; /* of the caller's BEGIN, sent with the statement */
    char *begin_text;
    bool undone; /* ended by the proxy; the caller does not know yet */
    clock_ms rest_since;

    GHashTable *values; /* setting -> value */
    uint64_t values_hash;
    GHashTable *prepared; /* name -> struct prepared_shape */
    struct token token;

    struct request request; /* in progress; views belong to the codec */
    bool writes;
    enum step step;
    int settings_left;
    int attempts;
    clock_ms arrived;
    clock_ms deadline;
    clock_ms sent_at;
    struct work work;
    struct pooled_link *pooled;
};

struct relay {
    struct relay_config config;
    GQueue active; /* sessions with a request or an open transaction */
    struct relay_counters counters;
};

static void proceed(struct session *s);

/* Returns the present time. */
static clock_ms
now_of(const struct session *s)
{
    return s->relay->config.now(s->relay->config.ctx);
}

/* Creates the relay. */
struct relay *
relay_create(const struct relay_config *config)
{
    struct relay *r = g_new0(struct relay, 1);

    r->config = *config;
    g_queue_init(&r->active);
    return r;
}

/* Frees the relay; all sessions have ended. */
void
relay_destroy(struct relay *r)
{
    g_free(r);
}

/* Returns the counters. */
const struct relay_counters *
relay_counters(const struct relay *r)
{
    return &r->counters;
}

/* Frees a prepared statement's record. */
static void
prepared_free(void *p)
{
    struct prepared_shape *d = p;

    g_free(d->shape);
    g_free(d);
}

/* Puts the session on the list that the tick looks at, or takes it off. */
static void
update_listing(struct session *s)
{
    const bool wanted =
        s->step != STEP_IDLE || s->transaction != TRANSACTION_NONE;

    if (wanted && !s->listed) {
        s->link = (GList){.data = s};
        g_queue_push_tail_link(&s->relay->active, &s->link);
    }
    else if (!wanted && s->listed) {
        g_queue_unlink(&s->relay->active, &s->link);
    }
    s->listed = wanted;
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
static void
drop_link(struct session *s)
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
    drop_link(s);
    s->step = STEP_IDLE;
    s->transaction = TRANSACTION_NONE;
    update_listing(s);
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
static void
answer(struct session *s, struct answer *a)
{
    struct relay *r = s->relay;
    const clock_ms now = now_of(s);

    if (verb_runs_at_member(s->request.verb)) {
        r->counters.statements++;
        r->counters.succeeded += a->failure == FAILURE_NONE;
        count_latency(r, now - s->arrived);
    }
    if (a->failure != FAILURE_NONE) {
        r->counters.failures[a->failure]++;
        event_log(EVENT_REQUEST, "statement_failed",
                  "id=%.*s database=%s service=%s outcome=%s detail=\"%.*s\" "
                  "attempts=%d took_ms=%lld member=%s catalog=%llu",
                  (int)s->request.id.n, s->request.id.p, s->database,
                  s->service != NULL ? service_name(s->service) : "-",
                  failure_name(a->failure), (int)a->detail.n, a->detail.p,
                  s->attempts, (long long)(now - s->arrived), s->work.avoid,
                  (unsigned long long)(s->catalog ? s->catalog->version : 0));
    }
    a->state = s->transaction;
    if (!a->position.known) {
        a->position = s->token;
    }
    s->step = STEP_IDLE;
    s->rest_since = now;
    update_listing(s);
    s->events->answered(s->ctx, a);
}

/* Answers with success without asking a member. */
static void
answer_done(struct session *s)
{
    struct answer a = {.failure = FAILURE_NONE};

    answer(s, &a);
}

/* Answers with a failure. In a transaction the whole transaction has failed,
   and the connection is given back. */
static void
answer_failure(struct session *s, enum failure why, const char *detail)
{
    struct answer a = {.failure = why, .detail = sview_from(detail)};

    drop_link(s);
    if (s->transaction == TRANSACTION_OPEN) {
        s->transaction = s->request.verb == VERB_COMMIT ? TRANSACTION_NONE
                                                        : TRANSACTION_FAILED;
    }
    s->begun = false;
    answer(s, &a);
}

/* Tells whether the failed request may be tried again inside the proxy. */
static bool
may_retry(const struct session *s)
{
    return s->attempts < ATTEMPTS_MAX && now_of(s) < s->deadline;
}

/* Queues the request for a connection. */
static void
submit(struct session *s)
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
    w->staleness_ms = r->max_staleness_ms;
    w->values_hash = s->values_hash;
    s->step = STEP_QUEUED;
    s->attempts++;
    update_listing(s);
    service_submit(s->service, w);
}

/* Tries again elsewhere what has certainly not run, or only reads. */
static void
retry(struct session *s, enum failure why, const char *detail)
{
    if (!may_retry(s)) {
        answer_failure(s, why, detail);
        return;
    }
    s->relay->counters.retried++;
    event_log(EVENT_REQUEST, "statement_retried",
              "id=%.*s database=%s why=%s detail=\"%s\" attempt=%d avoid=%s",
              (int)s->request.id.n, s->request.id.p, s->database,
              failure_name(why), detail, s->attempts, s->work.avoid);
    submit(s);
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
            answer(s, &a);
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
    answer(s, &a);
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
        answer_failure(s, FAILURE_ABORTED, "primary changed");
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
        proceed(s);
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
            answer_failure(s, FAILURE_ABORTED, "settings failed");
            return;
        }
        leave_member(s, false);
        retry(s, FAILURE_BUSY, "settings failed");
        return;
    }
    if (s->settings_left == 0) {
        proceed(s);
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
        answer_failure(s, s->wrote ? FAILURE_UNKNOWN_OUTCOME : FAILURE_ABORTED,
                       why);
    }
    else if (was_begun) {
        answer_failure(s, FAILURE_ABORTED, why);
    }
    else if (step == STEP_STATEMENT && s->writes) {
        answer_failure(s, FAILURE_UNKNOWN_OUTCOME, why);
    }
    else {
        retry(s, FAILURE_BUSY, why);
    }
}

static const struct pooled_user pooled_user = {
    .answered = on_answered,
    .lost = on_lost,
};

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

/* Returns the session's prepared statement that the request names. */
static const struct prepared_shape *
find_prepared(const struct session *s, struct sview name)
{
    char *key = g_strndup(name.p, name.n);
    const struct prepared_shape *d = g_hash_table_lookup(s->prepared, key);

    g_free(key);
    return d;
}

/* Prepares the shape of an EXECUTE on the connection unless it is there. */
static void
send_prepare(struct session *s)
{
    const struct prepared_shape *d = find_prepared(s, s->request.name);
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
    const bool check =
        !pooled_is_primary(s->pooled) && s->transaction == TRANSACTION_NONE;

    if (r.verb == VERB_EXECUTE) {
        name = shared_name(find_prepared(s, r.name));
        r.name = sview_from(name);
    }
    s->step = STEP_STATEMENT;
    s->sent_at = now_of(s);
    pooled_send(s->pooled, &r, check ? &s->work.after : NULL);
    g_free(name);
}

/* Takes the next step on the granted connection: settings, the opening of the
   transaction, the statement itself. */
static void
proceed(struct session *s)
{
    if (!pooled_is_current(s->pooled, now_of(s))) {
        s->step = STEP_IDLE;
        if (s->begun) {
            answer_failure(s, FAILURE_ABORTED, "primary changed");
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

/* A connection was granted. */
static void
on_granted(void *ctx, struct pooled_link *l)
{
    struct session *s = ctx;

    s->pooled = l;
    s->step = STEP_IDLE;
    pooled_attach(l, &pooled_user, s);
    proceed(s);
}

/* No connection will be granted: the statement was not run. */
static void
on_refused(void *ctx, const char *why)
{
    struct session *s = ctx;

    s->step = STEP_IDLE;
    answer_failure(
        s, s->transaction == TRANSACTION_OPEN ? FAILURE_ABORTED : FAILURE_BUSY,
        why);
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
    s->work.needs_primary = false;
    s->work.avoid[0] = '\0';
    s->work.granted = on_granted;
    s->work.refused = on_refused;
    s->work.ctx = s;
    if (s->transaction == TRANSACTION_NONE && !choose_route(s)) {
        answer_failure(s, FAILURE_NO_DATABASE, s->database);
        return;
    }
    s->writes = s->request.verb == VERB_WRITE;
    if (s->request.verb == VERB_EXECUTE) {
        const struct prepared_shape *d = find_prepared(s, s->request.name);
        if (d == NULL) {
            answer_failure(s, FAILURE_NO_STATEMENT, "not prepared");
            return;
        }
        s->writes = d->writes;
    }
    s->deadline = s->arrived + s->route->statement_timeout_ms;
    if (s->pooled != NULL) {
        proceed(s);
        return;
    }
    submit(s);
}

/* Starts a transaction. The member is chosen at its first statement, so that
   no connection is held before. */
static void
begin(struct session *s)
{
    if (!choose_route(s)) {
        answer_failure(s, FAILURE_NO_DATABASE, s->database);
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
    answer_done(s);
}

/* Ends the transaction without keeping anything. */
static void
rollback(struct session *s)
{
    drop_link(s);
    s->begun = false;
    s->transaction = TRANSACTION_NONE;
    answer_done(s);
}

/* Records a setting of the session. */
static void
set_value(struct session *s)
{
    const struct request *r = &s->request;

    g_hash_table_replace(s->values, g_strndup(r->name.p, r->name.n),
                         g_strndup(r->rest.p, r->rest.n));
    s->values_hash = hash_values(s->values);
    answer_done(s);
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
    answer_done(s);
}

/* Forgets a prepared statement. */
static void
deallocate(struct session *s)
{
    char *name = g_strndup(s->request.name.p, s->request.name.n);
    const bool known = g_hash_table_remove(s->prepared, name);

    g_free(name);
    if (!known) {
        answer_failure(s, FAILURE_NO_STATEMENT, "not prepared");
        return;
    }
    answer_done(s);
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
        answer_failure(s, FAILURE_ABORTED, "transaction failed");
    }
    else if (s->undone) {
        s->undone = false;
        answer_failure(s, FAILURE_ABORTED, "transaction ended");
    }
    else {
        answer_failure(s, FAILURE_MALFORMED, "transaction failed");
    }
}

/* Handles one request. Its views must stay valid until it is answered; the
   next request comes after the answer. */
void
session_request(struct session *s, const struct request *r)
{
    s->request = *r;
    s->arrived = now_of(s);
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
            answer_failure(s, FAILURE_MALFORMED, "transaction already open");
            return;
        }
        begin(s);
        return;
    case VERB_ROLLBACK:
        rollback(s);
        return;
    case VERB_COMMIT:
        if (!open) {
            answer_failure(s, FAILURE_MALFORMED, "no transaction");
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
        answer_failure(s, FAILURE_MALFORMED, "not understood");
    }
}

/* Checks the deadlines of a session's request. */
static void
check(struct session *s, clock_ms now)
{
    if (s->step == STEP_IDLE) {
        if (s->pooled != NULL &&
            now - s->rest_since > s->catalog->transaction_idle_ms) {
            drop_link(s);
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
        drop_link(s);
        s->step = STEP_IDLE;
        retry(s, FAILURE_TIMEOUT, "no answer yet");
        return;
    }
    if (now >= s->deadline) {
        const bool run = s->step == STEP_STATEMENT;
        drop_link(s);
        s->step = STEP_IDLE;
        s->begun = false;
        answer_failure(s, run ? FAILURE_TIMEOUT : FAILURE_ABORTED,
                       "statement timeout");
    }
}

/* Checks the deadlines of all sessions that have something open. */
void
relay_tick(struct relay *r, clock_ms now)
{
    GList *next = r->active.head;

    while (next != NULL) {
        struct session *s = next->data;
        next = next->next;
        check(s, now);
    }
}
