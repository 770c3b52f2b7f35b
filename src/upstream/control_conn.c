#include "upstream/control_conn.h"

#include "upstream/conn.h"
#include "upstream/group_sql.h"
#include "wire/frame.h"

#include <stdio.h>

#define LOG_MODULE "upstream"
#include "base/log.h"

#define CONTROL_CONN_MAX_CALLS 64
#define CONTROL_CONN_MAX_ANSWER_BYTES 65536
#define CONTROL_CONN_CONNECT_TIMEOUT_MS 1000

struct control_call {
    control_conn_reply_cb reply;
    void *ctx;
    clock_ms deadline;
    char *sql;
};

struct control_conn {
    struct ev_loop *loop;
    struct upstream_target target;
    struct upstream_conn *conn;
    GQueue calls; /* of struct control_call, oldest first */
    ev_timer deadline_timer;
    GString *answer;         /* to the oldest call, as received so far */
    bool got_error;          /* the oldest call was answered with an error */
    bool closing;            /* refuses further calls */
    char remote_address[64]; /* "HOST:PORT", for log lines */
};

/* Removes the oldest call and passes it its answer. */
static void
finish_call(struct control_conn *cc, bool ok, struct sview text)
{
    struct control_call *call = g_queue_pop_head(&cc->calls);

    if (call != NULL) {
        call->reply(call->ctx, ok, text);
        g_free(call->sql);
        g_free(call);
    }
}

/* Ends every queued call with the same error. Calls that a reply callback adds
   meanwhile stay queued. */
static void
fail_calls(struct control_conn *cc, const char *why)
{
    for (guint n = g_queue_get_length(&cc->calls); n > 0; n--) {
        finish_call(cc, false, sview_from(why));
    }
    g_string_truncate(cc->answer, 0);
    cc->got_error = false;
}

/* Sends the calls that were queued while connecting. */
static void
on_ready(void *ctx, struct upstream_conn *c)
{
    struct control_conn *cc = ctx;

    for (GList *l = cc->calls.head; l != NULL; l = l->next) {
        frame_put_query(c->out, ((struct control_call *)l->data)->sql);
    }
    upstream_conn_flush(c);
}

/* Handles one protocol message: 'D' is a data row, 'E' an error, 'Z' the end
   of an answer. */
static void
on_frame(struct control_conn *cc, const struct frame *f)
{
    if (f->type == 'D' && cc->answer->len == 0) {
        const struct sview v = frame_first_column(f->body);
        g_string_append_len(cc->answer, v.p, (gssize)v.n);
    }
    else if (f->type == 'E') {
        const struct sview v = frame_error_field(f->body, 'M');
        cc->got_error = true;
        g_string_truncate(cc->answer, 0);
        g_string_append_len(cc->answer, v.p, (gssize)v.n);
    }
    else if (f->type == 'Z') {
        GString *answer = cc->answer;
        const bool ok = !cc->got_error;
        cc->answer = g_string_new(NULL);
        cc->got_error = false;
        finish_call(cc, ok, (struct sview){answer->str, answer->len});
        g_string_free(answer, TRUE);
    }
}

/* Handles all complete messages. A reply callback may cause the connection to
   be closed, so cc->conn is compared again after each message. */
static void
on_readable(void *ctx, struct upstream_conn *c)
{
    struct control_conn *cc = ctx;
    struct frame f;

    while (cc->conn == c) {
        const enum frame_status s = frame_next(
            upstream_conn_input(c), CONTROL_CONN_MAX_ANSWER_BYTES, &f);
        if (s == FRAME_INCOMPLETE) {
            return;
        }
        if (s != FRAME_COMPLETE) {
            cc->conn = NULL;
            upstream_conn_close(c);
            fail_calls(cc, "malformed answer");
            return;
        }
        on_frame(cc, &f);
        if (cc->conn == c) {
            upstream_conn_consume(c, f.total_bytes);
        }
    }
}

/* Fails the calls in flight; the next call reconnects. */
static void
on_closed(void *ctx, struct upstream_conn *c, const char *why)
{
    struct control_conn *cc = ctx;

    (void)c;
    cc->conn = NULL;
    fail_calls(cc, why);
}

static const struct upstream_conn_ops control_conn_ops = {
    .ready = on_ready,
    .readable = on_readable,
    .closed = on_closed,
};

/* Closes the connection and fails all calls when the oldest one has timed out.
   Answers are matched to calls by their order, so a late answer would be taken
   for the answer to a later call. */
static void
on_deadline_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct control_conn *cc = w->data;
    const struct control_call *head = g_queue_peek_head(&cc->calls);

    (void)loop;
    (void)revents;
    if (head == NULL || clock_monotonic_ms() < head->deadline) {
        return;
    }
    if (cc->conn != NULL) {
        upstream_conn_close(cc->conn);
        cc->conn = NULL;
    }
    fail_calls(cc, "timed out");
}

#define CONTROL_CONN_DEADLINE_CHECK_S 0.05

/* Creates a control connection, which connects with its first call. The
   address and the strings must outlive it. */
struct control_conn *
control_conn_create(struct ev_loop *loop, const struct settings_address *a,
                    const char *database, const char *password)
{
    struct control_conn *cc = g_new0(struct control_conn, 1);

    cc->loop = loop;
    cc->target = (struct upstream_target){
        .address = a,
        .database = database,
        .user = GROUP_CONTROL_USER,
        .password = password,
        .connect_timeout_ms = CONTROL_CONN_CONNECT_TIMEOUT_MS,
    };
    cc->answer = g_string_new(NULL);
    g_queue_init(&cc->calls);
    snprintf(cc->remote_address, sizeof(cc->remote_address), "%s:%u", a->host,
             a->port);
    ev_timer_init(&cc->deadline_timer, on_deadline_timer,
                  CONTROL_CONN_DEADLINE_CHECK_S,
                  CONTROL_CONN_DEADLINE_CHECK_S);
    cc->deadline_timer.data = cc;
    ev_timer_start(loop, &cc->deadline_timer);
    return cc;
}

/* Closes and frees the connection. Queued calls are answered with an error
   before this returns. */
void
control_conn_destroy(struct control_conn *cc)
{
    if (cc->conn != NULL) {
        upstream_conn_close(cc->conn);
        cc->conn = NULL;
    }
    cc->closing = true;
    fail_calls(cc, "shutting down");
    ev_timer_stop(cc->loop, &cc->deadline_timer);
    g_string_free(cc->answer, TRUE);
    g_free(cc);
}

/* Sends one statement, connecting first if needed. reply is called exactly
   once: from the event loop, or before this returns if the connection is being
   destroyed or CONTROL_CONN_MAX_CALLS calls are queued. */
void
control_conn_call(struct control_conn *cc, const char *sql,
                  clock_ms timeout_ms, control_conn_reply_cb reply, void *ctx)
{
    if (cc->closing ||
        g_queue_get_length(&cc->calls) >= CONTROL_CONN_MAX_CALLS) {
        reply(ctx, false, SVIEW("shutting down, or too many calls wait"));
        return;
    }
    struct control_call *call = g_new0(struct control_call, 1);
    call->reply = reply;
    call->ctx = ctx;
    call->deadline = clock_monotonic_ms() + timeout_ms;
    call->sql = g_strdup(sql);
    g_queue_push_tail(&cc->calls, call);
    if (cc->conn == NULL) {
        cc->conn =
            upstream_conn_open(cc->loop, &cc->target, &control_conn_ops, cc);
    }
    else if (cc->conn->open) {
        frame_put_query(cc->conn->out, sql);
        upstream_conn_flush(cc->conn);
    }
}

/* Returns the member's address as "HOST:PORT", for log lines. */
const char *
control_conn_address(const struct control_conn *cc)
{
    return cc->remote_address;
}

/* Returns a server parameter that the member reported when the connection was
   opened, such as server_version; NULL while it is not open. */
const char *
control_conn_parameter(const struct control_conn *cc, const char *name)
{
    if (cc->conn == NULL || !cc->conn->open) {
        return NULL;
    }
    return PQparameterStatus(cc->conn->pg, name);
}
