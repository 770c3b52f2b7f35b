#include "caller/caller.h"

#include <string.h>

#define LOG_MODULE "request"
#include "base/log.h"

/* A connection with more prepared statements is reset before its next use. */
#define REQUEST_MAX_PREPARED_STATEMENTS 512

/* Removes the caller from the list of running exchanges. Returns false if it
   was not in the list. */
static bool
remove_from_running(struct caller *c)
{
    if (!c->in_running_list) {
        return false;
    }
    g_queue_unlink(&c->front->running, &c->running_link);
    c->in_running_list = false;
    return true;
}

/* Consumes the messages of the batch and makes the caller ready for the next
   request. */
static void
finish_message_batch(struct caller *c)
{
    c->in_consumed += c->message_batch.bytes;
    c->state = CALLER_READY;
    message_batch_clear(&c->message_batch);
    remove_from_running(c);
    ev_io_start(c->front->loop, &c->read_watcher);
}

static char
ready_status(const struct caller *c)
{
    char status = 'I';

    if (c->has_connection) {
        status = c->exchange.tx_status;
    }
    return status;
}

/* Disconnects a caller that is between transactions while the proxy shuts
   down. Requests that it has sent ahead are not run. */
void
request_close_if_draining(struct caller *c)
{
    if (!c->front->draining || c->has_connection ||
        c->state == CALLER_CLOSING) {
        return;
    }
    frame_put_error(c->out, "FATAL", "57P01", "the proxy is shutting down",
                    NULL, "outcome=not_run");
    caller_close_after_flush(c);
}

/* Ends a request that the proxy has answered without a member. */
static void
finish_local(struct caller *c)
{
    if (c->message_batch.ends_with_flush) {
        c->skip_to_sync = true;
    }
    else {
        frame_put_ready(c->out, ready_status(c));
    }
    finish_message_batch(c);
    request_close_if_draining(c);
}

/* Ends the current request with an ErrorResponse of the proxy. outcome becomes
   its hint. */
void
request_fail(struct caller *c, const char *sqlstate, const char *message,
             const char *outcome)
{
    frame_put_error(c->out, "ERROR", sqlstate, message, NULL, outcome);
    finish_local(c);
}

/* Sends CommandComplete and ends the request. */
static void
answer_tag(struct caller *c, const char *tag)
{
    const size_t at = frame_begin(c->out, 'C');

    frame_put_cstring(c->out, tag);
    frame_end(c->out, at);
    finish_local(c);
}

/* Answers SHOW of a galenastep.* setting. */
static void
answer_show(struct caller *c)
{
    const char *name = c->message_batch.set_name;
    char token[TOKEN_TEXT_BYTES];
    const char *value = "";

    token_format(&c->token, group_name(c->group), token);
    if (strcmp(name, "galenastep.token") == 0) {
        value = token;
    }
    else if (strcmp(name, "galenastep.kind") == 0) {
        value = c->front->settings->kinds[c->kind].name;
    }
    else if (strcmp(name, "galenastep.session") == 0) {
        value = c->session == NULL ? "" : c->session;
    }
    else if (strcmp(name, "galenastep.request_key") == 0) {
        value = c->request_key == NULL ? "" : c->request_key;
    }
    size_t at = frame_begin(c->out, 'T');
    frame_put_u16(c->out, 1);
    frame_put_cstring(c->out, name);
    frame_put_u32(c->out, 0);
    frame_put_u16(c->out, 0);
    frame_put_u32(c->out, 25); /* type oid of text */
    frame_put_u16(c->out, UINT16_MAX);
    frame_put_u32(c->out, UINT32_MAX);
    frame_put_u16(c->out, 0);
    frame_end(c->out, at);
    at = frame_begin(c->out, 'D');
    frame_put_u16(c->out, 1);
    frame_put_u32(c->out, (uint32_t)strlen(value));
    g_string_append(c->out, value);
    frame_end(c->out, at);
    answer_tag(c, "SHOW");
}

/* Answers SET or RESET of a galenastep.* setting. */
static void
answer_proxy_set(struct caller *c)
{
    const char *error;
    const char *value =
        c->message_batch.set_is_reset ? "" : c->message_batch.set_value;

    if (!startup_apply_setting(c, sview_from(c->message_batch.set_name),
                               sview_from(value), &error)) {
        request_fail(c, error == NULL ? "42704" : "22023",
                     error == NULL ? "unknown galenastep setting" : error,
                     "outcome=not_run");
        return;
    }
    startup_report_token(c);
    answer_tag(c, c->message_batch.set_is_reset ? "RESET" : "SET");
}

/* Answers a request that needs no member. Returns false if it must be sent to
   one. */
static bool
answer_locally(struct caller *c)
{
    struct message_batch *b = &c->message_batch;
    const bool own =
        b->set_name != NULL && g_str_has_prefix(b->set_name, "galenastep.");

    if (b->refusal_sqlstate != NULL && !c->has_connection) {
        caller_count(c, b->refusal_counter);
        request_fail(c, b->refusal_sqlstate, b->refusal_message,
                     "outcome=not_run");
        return true;
    }
    if (b->extended) {
        return false;
    }
    if (b->class == STATEMENT_EMPTY && !c->has_connection) {
        frame_end(c->out, frame_begin(c->out, 'I'));
        finish_local(c);
        return true;
    }
    if (b->class == STATEMENT_SHOW && own) {
        answer_show(c);
        return true;
    }
    if (b->class == STATEMENT_SET && own) {
        answer_proxy_set(c);
        return true;
    }
    if (b->class == STATEMENT_RESET_ALL && !c->has_connection) {
        session_settings_clear(&c->settings);
        answer_tag(c, "RESET");
        return true;
    }
    return false;
}

/* Starts an exchange on the connection that was granted to the caller. */
static void
start_exchange(struct caller *c)
{
    c->state = CALLER_RUNNING;
    c->message_batch.sent = true;
    if (c->message_batch.refusal_sqlstate != NULL) {
        caller_count(c, c->message_batch.refusal_counter);
    }
    g_queue_push_tail_link(&c->front->running, &c->running_link);
    c->in_running_list = true;
    exchange_begin(c, c->request.conn);
    if (c->exchange.awaits_more) {
        /* What follows the Flush may have arrived already. */
        ev_io_start(c->front->loop, &c->read_watcher);
        ev_feed_event(c->front->loop, &c->read_watcher, EV_CUSTOM);
    }
}

static void
on_granted(void *ctx, struct upstream_conn *u)
{
    struct caller *c = ctx;

    (void)u;
    c->has_connection = true;
    c->exchange.tx_status = 'I';
    start_exchange(c);
}

/* Called when the group refuses the request. Its outcome is unknown if an
   earlier attempt was sent to a member. */
static void
on_refused(void *ctx, enum admission_refusal reason)
{
    static const struct {
        const char *sqlstate;
        const char *message;
        enum counter counter;
    } reasons[ADMISSION_REFUSAL_COUNT] = {
        [ADMISSION_QUEUE_FULL] = {"53300", "too many requests are waiting",
                                  COUNTER_REFUSED_QUEUE_FULL},
        [ADMISSION_DEADLINE] = {"53400",
                                "the request cannot run before its deadline",
                                COUNTER_REFUSED_DEADLINE},
        [ADMISSION_SHED] = {"53400",
                            "refused in favour of more important requests",
                            COUNTER_REFUSED_SHED},
        [ADMISSION_DRAINING] = {"57P03", "the proxy is shutting down",
                                COUNTER_REFUSED_DRAINING},
    };
    struct caller *c = ctx;

    caller_count(c, reasons[reason].counter);
    request_fail(c, reasons[reason].sqlstate, reasons[reason].message,
                 c->message_batch.sent ? "outcome=unknown"
                                       : "outcome=not_run");
    if (c->state == CALLER_CLOSING) {
        return;
    }
    /* A refusal may arrive outside of the caller's input handling. */
    caller_flush(c);
    ev_feed_event(c->front->loop, &c->read_watcher, EV_CUSTOM);
}

static bool
on_preempt(void *ctx)
{
    return exchange_try_preempt(ctx);
}

/* Submits the request to the group, which queues it until a connection is
   granted or the request is refused. */
static void
submit_request(struct caller *c)
{
    c->state = CALLER_QUEUED;
    c->request.admission.kind = c->kind;
    c->request.admission.fingerprint = c->message_batch.fingerprint;
    c->request.route.token = c->token;
    c->request.granted = on_granted;
    c->request.refused = on_refused;
    c->request.preempt = on_preempt;
    c->request.ctx = c;
    group_submit(c->group, &c->request);
}

static bool
may_use_replica(const struct message_batch *b)
{
    switch (b->class) {
    case STATEMENT_READ:
    case STATEMENT_BEGIN_READ_ONLY:
    case STATEMENT_SHOW:
        return true;
    default:
        return !b->executes; /* true if the batch only prepares or describes */
    }
}

/* Starts the request that message_batch_scan() has collected. */
void
request_begin(struct caller *c)
{
    caller_count(c, COUNTER_STATEMENTS);
    if (answer_locally(c)) {
        return;
    }
    if (!c->message_batch.executes) {
        c->message_batch.class = STATEMENT_READ;
    }
    if (c->has_connection) {
        start_exchange(c);
        return;
    }
    c->request.route = (struct route_query){
        .need = may_use_replica(&c->message_batch) ? ROUTE_NEED_READ
                                                   : ROUTE_NEED_PRIMARY,
        .max_staleness_ms = group_max_staleness(c->group, c->kind),
    };
    c->request.admission.deadline_at = 0;
    c->attempts = 0;
    retry_budget_on_call(&c->front->budgets[c->database]);
    submit_request(c);
}

/* Returns true if input has arrived that follows a Flush and can be sent to
   the member. */
bool
request_may_continue(const struct caller *c)
{
    return c->state == CALLER_RUNNING && exchange_takes_more(c) &&
           caller_input(c).n > c->message_batch.bytes;
}

/* Scans and sends the part of a request that follows a Flush. The part before
   it is dropped from the input, so that from here on the request cannot be
   retried. Returns false if no further part can follow now. */
bool
request_continue(struct caller *c)
{
    struct message_batch *b = &c->message_batch;
    const enum statement_class class = b->class;
    const bool ends_transaction = b->ends_transaction;

    c->exchange.forwarded = true;
    c->in_consumed += b->bytes;
    b->bytes = 0;
    ev_io_start(c->front->loop, &c->read_watcher);
    const enum frame_status s = message_batch_scan(c);
    b->sent = true;
    b->ends_transaction = b->ends_transaction || ends_transaction;
    if (!b->executes || class == STATEMENT_WRITE) {
        b->class = class;
    }
    if (s == FRAME_INCOMPLETE) {
        return false;
    }
    if (s != FRAME_COMPLETE || b->refusal_sqlstate != NULL) {
        caller_count(c, COUNTER_REFUSED_PROTOCOL);
        frame_put_error(c->out, "FATAL", "08P01",
                        "message cannot follow a Flush", NULL,
                        "outcome=unknown");
        caller_close_after_flush(c);
        return false;
    }
    exchange_continue(c);
    return true;
}

/* Submits the request again without delay. It was not executed, was rolled
   back, or only reads. */
void
request_retry(struct caller *c, enum counter why)
{
    remove_from_running(c);
    if (c->front->ending) {
        caller_count(c, COUNTER_REFUSED_DRAINING);
        request_fail(c, "57P03", "the proxy is shutting down",
                     c->message_batch.sent ? "outcome=unknown"
                                           : "outcome=not_run");
        return;
    }
    caller_count(c, why);
    submit_request(c);
}

static void
on_backoff(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct caller *c = w->data;

    (void)loop;
    (void)revents;
    submit_request(c);
}

/* Retries a request that was lost with its connection, after a delay with full
   jitter within the request's deadline. The request is a read or a write with
   a request key. All callers of a database share one retry budget; if it is
   used up, the request fails with an unknown outcome. */
void
request_retry_after_backoff(struct caller *c, enum counter why)
{
    /* In milliseconds. */
    static const struct retry_backoff backoff = {.base = 10, .ceiling = 500};
    const clock_ms now = clock_monotonic_ms();
    clock_ms at;

    remove_from_running(c);
    if (c->front->ending ||
        !retry_budget_take(&c->front->budgets[c->database]) ||
        !retry_backoff_next(&backoff, &c->front->rng, now,
                            c->request.admission.deadline_at, ++c->attempts,
                            &at)) {
        caller_count(c, COUNTER_RETRY_BUDGET_EMPTY);
        caller_count(c, COUNTER_UNKNOWN_OUTCOME);
        request_fail(c, "08007",
                     "connection to the database was lost, and no retry is "
                     "left",
                     "outcome=unknown");
        if (c->state != CALLER_CLOSING) {
            caller_flush(c);
            ev_feed_event(c->front->loop, &c->read_watcher, EV_CUSTOM);
        }
        return;
    }
    caller_count(c, why);
    c->state = CALLER_BACKOFF;
    ev_timer_init(&c->backoff, on_backoff, (double)(at - now) / 1000.0, 0.0);
    c->backoff.data = c;
    ev_timer_start(c->front->loop, &c->backoff);
}

/* Withdraws a waiting request, or cancels a running one and discards its
   connection. Sends no answer. Called when the caller disconnects or cancels,
   or when the proxy drains. */
void
request_abandon(struct caller *c)
{
    const bool running = remove_from_running(c);

    if (c->state == CALLER_BACKOFF) {
        ev_timer_stop(c->front->loop, &c->backoff);
        return;
    }
    if (c->state == CALLER_QUEUED) {
        group_cancel(c->group, &c->request);
        return;
    }
    if (!c->has_connection) {
        return;
    }
    body_clear_expected_replies(c, NULL);
    if (running) {
        group_cancel_statement(c->group, c->request.conn);
    }
    c->has_connection = false;
    group_finish(c->group, &c->request, GROUP_RETURN_DISCARD);
}

/* Selects prepared statements that no member has parsed. */
static gboolean
is_not_accepted(void *key, void *value, void *ctx)
{
    (void)key;
    (void)ctx;
    return !((struct prepared *)value)->accepted;
}

/* Applies the SET, RESET or RESET ALL of a finished batch to the session. */
static void
store_settings(struct caller *c, struct upstream_conn *u, bool in_transaction)
{
    struct message_batch *b = &c->message_batch;

    if (b->class == STATEMENT_RESET_ALL) {
        session_settings_clear(&c->settings);
        u->dirty = true;
        return;
    }
    if (b->class != STATEMENT_SET) {
        return;
    }
    const char *text = b->set_is_reset ? NULL : b->set_text;
    bool ok;
    if (in_transaction) {
        ok = session_settings_put(&c->tx_settings, b->set_name, text);
    }
    else if (text == NULL) {
        session_settings_remove(&c->settings, b->set_name);
        ok = true;
    }
    else {
        ok = session_settings_put(&c->settings, b->set_name, text);
    }
    u->settings_hash =
        in_transaction || !ok ? CONN_SETTINGS_UNKNOWN : c->settings.hash;
}

/* Ends a transaction: keeps its settings if it was committed, drops its
   portals and returns the connection to the group. */
static void
end_transaction(struct caller *c, struct upstream_conn *u)
{
    if (c->tx_settings.items != NULL) {
        u->settings_hash = CONN_SETTINGS_UNKNOWN;
        if (strcmp(c->exchange.tag, "COMMIT") == 0) {
            session_settings_merge(&c->settings, &c->tx_settings);
        }
        session_settings_clear(&c->tx_settings);
    }
    if (c->portals != NULL) {
        g_hash_table_remove_all(c->portals);
    }
    if (g_hash_table_size(u->prepared) > REQUEST_MAX_PREPARED_STATEMENTS) {
        u->dirty = true;
    }
    c->has_connection = false;
    group_finish(c->group, &c->request, GROUP_RETURN_CLEAN);
}

/* Counts a finished request by its class and the role of the member. */
static void
count_finished(struct caller *c, const struct upstream_conn *u)
{
    switch (c->message_batch.class) {
    case STATEMENT_READ:
        caller_count(c, u->member == group_primary(c->group)
                            ? COUNTER_READS_PRIMARY
                            : COUNTER_READS_REPLICA);
        break;
    case STATEMENT_WRITE:
        caller_count(c, COUNTER_WRITES);
        break;
    case STATEMENT_END:
        caller_count(c, COUNTER_TRANSACTIONS);
        break;
    default:
        break;
    }
}

/* Ends a request whose answer is complete. */
void
request_end(struct caller *c)
{
    struct upstream_conn *u = c->request.conn;
    const char status = c->exchange.tx_status;

    if (u != NULL) {
        count_finished(c, u);
        if (!c->exchange.body_failed) {
            store_settings(c, u, status != 'I');
        }
        if (status == 'I') {
            end_transaction(c, u);
        }
    }
    if (c->exchange.body_failed && c->statements != NULL) {
        g_hash_table_foreach_remove(c->statements, is_not_accepted, NULL);
    }
    startup_report_token(c);
    frame_put_ready(c->out, ready_status(c));
    finish_message_batch(c);
    request_close_if_draining(c);
}
