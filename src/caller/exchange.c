#include "caller/caller.h"

#include <stdio.h>
#include <string.h>

#define LOG_MODULE "exchange"
#include "base/log.h"

/* Larger DataRow messages are relayed in pieces instead of being buffered
   whole. */
#define EXCHANGE_MAX_BUFFERED_MESSAGE_BYTES 32768

/* Returns the section whose answer is arriving. */
static enum section
current_section(const struct exchange *e)
{
    return e->sections[e->current];
}

/* Handles the answer to the state query before a read; nothing is forwarded to
   the caller before it. If the member is out of date or its state is unknown,
   the answer to the read is dropped. */
static void
handle_state_before(struct caller *c, const struct frame *f)
{
    struct exchange *e = &c->exchange;
    const int member = c->request.conn->member;
    const int64_t bound = group_max_staleness(c->group, c->kind);
    struct group_state s;

    if (f->type == 'E') {
        e->discarding = true;
        return;
    }
    if (f->type != 'D') {
        return;
    }
    if (!group_state_parse(frame_first_column(f->body), &s)) {
        e->discarding = true;
        return;
    }
    group_record_state(c->group, member, &s);
    const bool primary = s.role == GROUP_ROLE_PRIMARY;
    const bool confirmed = !c->token.known && primary;
    const bool current = token_is_satisfied(&c->token, s.term, s.position);
    const bool fresh = primary || s.staleness_ms <= bound;
    if (confirmed || (current && fresh)) {
        if (confirmed) {
            token_raise(&c->token, s.term, s.position);
            caller_count(c, COUNTER_READS_CONFIRMED);
        }
        return;
    }
    e->discarding = true;
}

/* Raises the session's token to the state that the member reports after the
   message batch. */
static void
handle_state_after(struct caller *c, const struct frame *f)
{
    struct group_state s;

    if (f->type == 'D' && group_state_parse(frame_first_column(f->body), &s)) {
        group_record_state(c->group, c->request.conn->member, &s);
        if (!c->exchange.discarding) {
            token_raise(&c->token, s.term, s.position);
        }
    }
}

/* Returns the buffer for the answer: the caller's output, or the buffer that
   holds it back until the request key is committed. */
GString *
exchange_output(struct caller *c)
{
    return c->exchange.keyed ? c->keyed_answer : c->out;
}

static void
forward(struct caller *c, struct sview bytes)
{
    if (!c->exchange.discarding) {
        g_string_append_len(exchange_output(c), bytes.p, (gssize)bytes.n);
        c->exchange.forwarded = !c->exchange.keyed;
    }
}

/* Forwards an ErrorResponse of the database with the outcome appended to its
   hint. */
static void
forward_error(struct caller *c, const struct frame *f)
{
    struct exchange *e = &c->exchange;
    const struct message_batch *b = &c->message_batch;
    struct frame_reader r = {.rest = f->body};
    GString *out = exchange_output(c);

    e->body_failed = true;
    body_clear_expected_replies(c, c->request.conn);
    if (e->discarding) {
        return;
    }
    e->forwarded = !e->keyed;
    if (b->refusal_sqlstate != NULL) {
        frame_put_error(out, "ERROR", b->refusal_sqlstate, b->refusal_message,
                        NULL, "outcome=not_run");
        return;
    }
    caller_count(c, COUNTER_FAILED_BY_DATABASE);
    const bool unknown =
        sview_equal(frame_error_field(f->body, 'C'), SVIEW("08007"));
    const char *outcome = unknown ? "outcome=unknown" : "outcome=failed";
    const size_t at = frame_begin(out, 'E');
    bool hinted = false;
    while (!r.failed && r.rest.n > 0 && r.rest.p[0] != '\0') {
        const char field = frame_read_bytes(&r, 1).p[0];
        const struct sview v = frame_read_cstring(&r);
        g_string_append_c(out, field);
        g_string_append_len(out, v.p, (gssize)v.n);
        if (field == 'H') {
            g_string_append_printf(out, "; %s", outcome);
            hinted = true;
        }
        g_string_append_c(out, '\0');
    }
    if (!hinted) {
        g_string_append_c(out, 'H');
        frame_put_cstring(out, outcome);
    }
    g_string_append_c(out, '\0');
    frame_end(out, at);
}

/* Marks the running statement as preempted, so that the group may cancel it
   and it runs again. Returns false if that is not allowed: it must be a single
   read or write outside of a transaction, with no part of its answer
   forwarded. The cancelled run is rolled back by the member, so the statement
   takes effect only once. */
bool
exchange_try_preempt(struct caller *c)
{
    struct exchange *e = &c->exchange;

    if (c->state != CALLER_RUNNING || c->message_batch.extended ||
        c->message_batch.multiple || c->message_batch.ends_with_flush ||
        e->keyed || e->forwarded || e->body_done || e->discarding ||
        c->cancel_requested || (e->tx_status != 'I' && e->tx_status != '\0') ||
        (c->message_batch.class != STATEMENT_READ &&
         c->message_batch.class != STATEMENT_WRITE)) {
        return false;
    }
    e->preempted = true;
    return true;
}

/* Handles one message of the answer to the caller's own messages. */
static void
handle_body(struct caller *c, const struct frame *f, struct sview whole)
{
    struct exchange *e = &c->exchange;

    if (f->type == 'E' && e->preempted && !e->forwarded &&
        sview_equal(frame_error_field(f->body, 'C'), SVIEW("57014"))) {
        /* The member has rolled the statement back; run it again. */
        e->discarding = true;
        return;
    }
    if (f->type == 'E') {
        forward_error(c, f);
        return;
    }
    if (f->type == 'C') {
        const struct sview tag = {.p = f->body.p,
                                  .n = strnlen(f->body.p, f->body.n)};
        g_snprintf(e->tag, sizeof(e->tag), "%.*s", (int)tag.n, tag.p);
    }
    if (f->type == 'A') {
        return;
    }
    body_send_local_replies(c);
    if (body_match_reply(c, f->type)) {
        forward(c, whole);
    }
    body_send_local_replies(c);
}

/* Returns the transaction status of a ReadyForQuery message. A malformed
   message counts as a failed transaction. */
static char
ready_status_of(const struct frame *f)
{
    char status = 'E';

    if (f->body.n == 1) {
        status = f->body.p[0];
    }
    return status;
}

/* Handles the error for the settings of the session. The connection still has
   those of another session, so the answer to the caller's messages, if they
   were sent along, is dropped. */
static void
handle_rejected_setting(struct caller *c, const struct frame *f)
{
    struct exchange *e = &c->exchange;
    const struct sview state = frame_error_field(f->body, 'C');
    const struct sview message = frame_error_field(f->body, 'M');

    c->request.conn->settings_hash = CONN_SETTINGS_UNKNOWN;
    e->discarding = true;
    if (e->preempted && sview_equal(state, SVIEW("57014"))) {
        return;
    }
    g_snprintf(e->rejection, sizeof(e->rejection), "%.*s", (int)state.n,
               state.p);
    g_snprintf(e->rejection_message, sizeof(e->rejection_message), "%.*s",
               (int)message.n, message.p);
}

/* Answers a request for which the member has rejected the settings of the
   session with the member's error. */
static void
refuse_for_settings(struct caller *c)
{
    struct exchange *e = &c->exchange;

    caller_count(c, COUNTER_FAILED_BY_DATABASE);
    group_finish(c->group, &c->request, GROUP_RETURN_CLEAN);
    c->has_connection = false;
    request_fail(c, e->rejection, e->rejection_message,
                 e->body_pending ? "outcome=not_run" : "outcome=failed");
}

/* Ends the body of a request that will run elsewhere. The messages that follow
   its Flush belong to the other run. */
static void
end_discarded_body(struct caller *c)
{
    c->exchange.awaits_more = false;
    frame_end(c->request.conn->out, frame_begin(c->request.conn->out, 'S'));
    upstream_conn_flush(c->request.conn);
}

/* Handles the ReadyForQuery that ends the current section. After the last
   section the request ends, or is retried if its answer was dropped. */
static void
end_section(struct caller *c, const struct frame *f)
{
    struct exchange *e = &c->exchange;

    if (current_section(e) == SECTION_BODY) {
        body_send_local_replies(c);
        e->body_done = true;
        e->tx_status = ready_status_of(f);
        if (e->keyed) {
            keyed_after_body(c);
        }
    }
    if (e->keyed && (current_section(e) == SECTION_KEY_COMMIT ||
                     current_section(e) == SECTION_ROLLBACK)) {
        e->tx_status = ready_status_of(f);
    }
    e->current++;
    if (e->current < e->count) {
        if (e->discarding && e->awaits_more) {
            end_discarded_body(c);
        }
        return;
    }
    if (e->body_pending && !e->discarding) {
        exchange_send_pending(c);
        return;
    }
    if (e->discarding && e->tx_status != 'I') {
        frame_put_query(c->request.conn->out, "ROLLBACK");
        upstream_conn_flush(c->request.conn);
        e->tx_status = 'I';
        exchange_add_section(e, SECTION_ROLLBACK);
        return;
    }
    if (e->keyed && !keyed_finish(c)) {
        return;
    }
    if (!e->discarding) {
        request_end(c);
        return;
    }
    if (e->rejection[0] != '\0') {
        refuse_for_settings(c);
        return;
    }
    const struct upstream_conn *u = c->request.conn;
    const int member = u->member;
    const bool primary = member == group_primary(c->group);
    if (!e->preempted) {
        c->request.route.excluded |= 1U << member;
        if (primary) {
            group_suspend_member(c->group, member);
        }
    }
    e->tx_status = 'I';
    /* A dropped answer or a cancelled statement has no effect, so the outcome
       is not_run if no other attempt follows. */
    c->message_batch.sent = false;
    group_finish(c->group, &c->request, GROUP_RETURN_CLEAN);
    c->has_connection = false;
    if (e->preempted) {
        request_retry(c, COUNTER_RETRY_PREEMPTED);
        return;
    }
    request_retry(c, primary ? COUNTER_RETRY_PRIMARY_BEHIND
                             : COUNTER_RETRY_REPLICA_BEHIND);
}

/* Dispatches one complete message from the member to its section. */
static void
handle_message(struct caller *c, const struct frame *f, struct sview whole)
{
    const enum section s = current_section(&c->exchange);

    if (f->type == 'Z') {
        end_section(c, f);
        return;
    }
    if (s == SECTION_BODY) {
        handle_body(c, f, whole);
    }
    else if (s == SECTION_STATE_BEFORE) {
        handle_state_before(c, f);
    }
    else if (s == SECTION_STATE_AFTER) {
        handle_state_after(c, f);
    }
    else if (s == SECTION_KEY_CLAIM) {
        keyed_handle_claim(c, f);
    }
    else if (s == SECTION_KEY_STORE || s == SECTION_KEY_COMMIT) {
        keyed_handle_commit(c, f);
    }
    else if (s == SECTION_SETTINGS && f->type == 'E') {
        handle_rejected_setting(c, f);
    }
    else if (s == SECTION_LEASE_LIMIT && f->type == 'E') {
        c->request.conn->settings_hash = CONN_SETTINGS_UNKNOWN;
    }
}

/* Forwards the next piece of a large message. */
static void
relay_piece(struct caller *c, struct upstream_conn *u)
{
    struct exchange *e = &c->exchange;
    struct sview in = upstream_conn_input(u);

    in.n = MIN(in.n, e->relay_bytes_left);
    forward(c, in);
    e->relay_bytes_left -= in.n;
    upstream_conn_consume(u, in.n);
}

/* Starts relaying a large DataRow in pieces. */
static void
relay_begin(struct caller *c, const struct frame *f)
{
    body_send_local_replies(c);
    c->exchange.relay_bytes_left = f->total_bytes;
}

/* Returns true if the member waits for the messages that follow a Flush. They
   are not sent while it is open whether the answer will be dropped. */
bool
exchange_takes_more(const struct caller *c)
{
    const struct exchange *e = &c->exchange;

    return e->awaits_more && !e->discarding &&
           current_section(e) == SECTION_BODY;
}

static void
protocol_failure(struct upstream_conn *u)
{
    LOG_WARNING("answer", u->remote_address,
                "malformed message from the member");
    upstream_conn_abort(u, "malformed message");
}

/* Handles input from the member. A message may end the caller's request and
   release u, so both are checked before each message. c stays valid: it is
   only freed by events of its own socket. */
static void
on_readable(void *ctx, struct upstream_conn *u)
{
    struct caller *c = ctx;
    struct front *front = c->front;
    const size_t max = INT32_MAX;
    struct frame f = {0};

    c->exchange.silence_deadline =
        clock_monotonic_ms() + front->settings->kinds[c->kind].deadline_ms;
    while (c->state == CALLER_RUNNING && c->request.conn == u) {
        if (c->exchange.relay_bytes_left > 0) {
            if (upstream_conn_input(u).n == 0) {
                break;
            }
            relay_piece(c, u);
            continue;
        }
        const struct sview in = upstream_conn_input(u);
        const enum frame_status s = frame_next(in, max, &f);
        const bool row = in.n >= FRAME_HEADER_BYTES && in.p[0] == 'D' &&
                         current_section(&c->exchange) == SECTION_BODY;
        if (s == FRAME_INCOMPLETE) {
            if (row && f.total_bytes > EXCHANGE_MAX_BUFFERED_MESSAGE_BYTES) {
                relay_begin(c, &f);
                continue;
            }
            break;
        }
        if (s != FRAME_COMPLETE) {
            protocol_failure(u);
            break;
        }
        const struct sview whole = {.p = in.p, .n = f.total_bytes};
        const bool last =
            f.type == 'Z' && c->exchange.current + 1 == c->exchange.count;
        if (last) {
            /* Consume f first: handling it may release the connection. */
            char status = ready_status_of(&f);
            upstream_conn_consume(u, f.total_bytes);
            f.body = (struct sview){.p = &status, .n = 1};
            handle_message(c, &f, whole);
        }
        else {
            handle_message(c, &f, whole);
            upstream_conn_consume(u, f.total_bytes);
        }
    }
    if (c->state != CALLER_CLOSING) {
        caller_flush(c);
    }
    if ((c->state == CALLER_READY && caller_input(c).n > 0) ||
        request_may_continue(c)) {
        caller_process_input(c);
    }
}

/* Called when the connection is lost while the caller uses it. Retries the
   request if that is safe; otherwise reports the outcome to the caller. */
static void
on_closed(void *ctx, struct upstream_conn *u, const char *why)
{
    struct caller *c = ctx;
    struct exchange *e = &c->exchange;
    struct message_batch *b = &c->message_batch;
    const bool sent_since_attach = u->sent_since_attach;
    const char status = e->tx_status;
    const bool running = c->state == CALLER_RUNNING;
    const bool in_transaction = status == 'T' || status == 'E';

    LOG_INFO("exchange", u->remote_address, "connection lost: %s", why);
    body_clear_expected_replies(c, NULL);
    e->tx_status = 'I';
    c->has_connection = false;
    group_finish(c->group, &c->request, GROUP_RETURN_CLOSED);
    if (running && e->keyed) {
        /* If the lost run was committed, the next run finds its key. */
        request_retry_after_backoff(c, COUNTER_RETRY_KEYED);
        return;
    }
    if (!running || in_transaction) {
        const bool commit = running && b->ends_transaction;
        const bool ending = c->front->ending;
        caller_count(c, commit ? COUNTER_UNKNOWN_OUTCOME
                               : COUNTER_TRANSACTION_LOST);
        frame_put_error(c->out, "FATAL",
                        commit   ? "08007"
                        : ending ? "57P01"
                                 : "08006",
                        commit   ? "connection to the database was lost while "
                                   "the transaction was being committed"
                        : ending ? "the proxy is shutting down; the "
                                   "transaction was rolled back"
                                 : "connection to the database was lost; the "
                                   "transaction was rolled back",
                        u->remote_address,
                        commit ? "outcome=unknown" : "outcome=failed");
        caller_close_after_flush(c);
        return;
    }
    if (!sent_since_attach || e->body_pending) {
        request_retry(c, COUNTER_RETRY_NOT_SENT);
        return;
    }
    if (exchange_needs_state_before(b->class) && !e->forwarded) {
        request_retry_after_backoff(c, e->timed_out ? COUNTER_RETRY_READ_SILENT
                                                    : COUNTER_RETRY_READ_LOST);
        return;
    }
    if (e->body_done) {
        /* The answer is complete and only the position after it is missing.
           The token is unknown until the session's next confirmed read. */
        c->token.known = false;
        c->state = CALLER_RUNNING;
        request_end(c);
        caller_process_input(c);
        return;
    }
    if (e->forwarded) {
        /* Part of the answer was forwarded. Close the caller's connection so
           that the caller does not take it for the whole answer. */
        caller_count(c, COUNTER_UNKNOWN_OUTCOME);
        frame_put_error(c->out, "FATAL", "08007",
                        "connection to the database was lost within an answer",
                        u->remote_address, "outcome=unknown");
        caller_close_after_flush(c);
        return;
    }
    caller_count(c, COUNTER_UNKNOWN_OUTCOME);
    request_fail(c, "08007",
                 "connection to the database was lost before its answer",
                 "outcome=unknown");
    caller_process_input(c);
}

const struct upstream_conn_ops exchange_ops = {
    .readable = on_readable,
    .closed = on_closed,
};

/* Aborts the exchange if the member has sent nothing for the deadline of the
   caller's kind. The deadline is extended while the caller has not read its
   output, since reading from the member may be paused then. */
void
exchange_check_deadline(struct caller *c, clock_ms now)
{
    struct upstream_conn *u = c->request.conn;

    if (now < c->exchange.silence_deadline) {
        return;
    }
    if (c->out->len > c->out_sent) {
        c->exchange.silence_deadline =
            now + c->front->settings->kinds[c->kind].deadline_ms;
        return;
    }
    LOG_WARNING("exchange", u->remote_address,
                "no answer within the deadline");
    c->exchange.timed_out = true;
    upstream_conn_abort(u, "no answer within the deadline");
}
