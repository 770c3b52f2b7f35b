#include "upstream/control_conn.h"

#include "upstream/conn.h"
#include "upstream/group_sql.h"
#include "wire/frame.h"

#include <stdio.h>

#define LOG_MODULE "upstream"
#include "base/log.h"

#define CONTROL_MAX_CALLS 64
#define CONTROL_MAX_ANSWER_BYTES 65536
#define CONTROL_CONNECT_TIMEOUT_MS 1000

/* One call that waits for its answer. */
struct control_call {
    control_reply reply;
    void *ctx;
    clock_ms deadline;
    char *sql;
};

struct control_conn {
    struct ev_loop *loop;
    struct upstream_target target;
    struct upstream_conn *conn;
    GQueue calls; /* of struct control_call */
    ev_timer timer;
    GString *answer; /* of the call at the head */
    bool failed;     /* the call at the head got an error */
    bool closing;    /* refuses further calls */
    char peer[64];
};

/* Ends the call at the head with an answer. */
static void
finish_call(struct control_conn *k, bool ok, struct sview text)
{
    struct control_call *call = g_queue_pop_head(&k->calls);

    if (call != NULL) {
        call->reply(call->ctx, ok, text);
        g_free(call->sql);
        g_free(call);
    }
}

/* Ends every waiting call with the same error. Calls that the replies add
   are not touched, so only those queued now are ended. */
static void
fail_calls(struct control_conn *k, const char *why)
{
    for (guint n = g_queue_get_length(&k->calls); n > 0; n--) {
        finish_call(k, false, sview_from(why));
    }
    g_string_truncate(k->answer, 0);
    k->failed = false;
}

/* Sends the calls that were queued before the connection was there. */
static void
on_ready(void *ctx, struct upstream_conn *c)
{
    struct control_conn *k = ctx;

    for (GList *l = k->calls.head; l != NULL; l = l->next) {
        frame_put_query(c->out, ((struct control_call *)l->data)->sql);
    }
    upstream_conn_flush(c);
}

/* Takes one message of an answer. */
static void
on_frame(struct control_conn *k, const struct frame *f)
{
    if (f->type == 'D' && k->answer->len == 0) {
        const struct sview v = frame_first_column(f->body);
        g_string_append_len(k->answer, v.p, (gssize)v.n);
    }
    else if (f->type == 'E') {
        const struct sview v = frame_error_field(f->body, 'M');
        k->failed = true;
        g_string_truncate(k->answer, 0);
        g_string_append_len(k->answer, v.p, (gssize)v.n);
    }
    else if (f->type == 'Z') {
        GString *answer = k->answer;
        const bool ok = !k->failed;
        k->answer = g_string_new(NULL);
        k->failed = false;
        finish_call(k, ok, (struct sview){answer->str, answer->len});
        g_string_free(answer, TRUE);
    }
}

/* Takes all whole messages from the connection. A reply may destroy the
   connection through a failed call, so it is looked up again each time. */
static void
on_readable(void *ctx, struct upstream_conn *c)
{
    struct control_conn *k = ctx;
    struct frame f;

    while (k->conn == c) {
        const enum frame_status s =
            frame_next(upstream_conn_input(c), CONTROL_MAX_ANSWER_BYTES, &f);
        if (s == FRAME_INCOMPLETE) {
            return;
        }
        if (s != FRAME_COMPLETE) {
            k->conn = NULL;
            upstream_conn_close(c);
            fail_calls(k, "malformed answer");
            return;
        }
        on_frame(k, &f);
        if (k->conn == c) {
            upstream_conn_consume(c, f.total_bytes);
        }
    }
}

/* Fails what was in flight; the next call connects again. */
static void
on_closed(void *ctx, struct upstream_conn *c, const char *why)
{
    struct control_conn *k = ctx;

    (void)c;
    k->conn = NULL;
    fail_calls(k, why);
}

static const struct upstream_conn_ops control_ops = {
    .ready = on_ready,
    .readable = on_readable,
    .closed = on_closed,
};

/* Closes the connection when its oldest call is overdue: the answers are in
   order, so nothing behind that call can be told apart any more. */
static void
on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct control_conn *k = w->data;
    const struct control_call *head = g_queue_peek_head(&k->calls);

    (void)loop;
    (void)revents;
    if (head == NULL || clock_now() < head->deadline) {
        return;
    }
    if (k->conn != NULL) {
        upstream_conn_close(k->conn);
        k->conn = NULL;
    }
    fail_calls(k, "timed out");
}

#define CONTROL_TIMER_S 0.05

/* Creates the connection's record; it connects with the first call. */
struct control_conn *
control_conn_create(struct ev_loop *loop, const struct settings_address *a,
                    const char *database, const char *password)
{
    struct control_conn *k = g_new0(struct control_conn, 1);

    k->loop = loop;
    k->target = (struct upstream_target){
        .address = a,
        .database = database,
        .user = GROUP_CONTROL_USER,
        .password = password,
        .connect_timeout_ms = CONTROL_CONNECT_TIMEOUT_MS,
    };
    k->answer = g_string_new(NULL);
    g_queue_init(&k->calls);
    snprintf(k->peer, sizeof(k->peer), "%s:%u", a->host, a->port);
    ev_timer_init(&k->timer, on_timer, CONTROL_TIMER_S, CONTROL_TIMER_S);
    k->timer.data = k;
    ev_timer_start(loop, &k->timer);
    return k;
}

/* Closes the connection. Waiting calls are answered with an error first. */
void
control_conn_destroy(struct control_conn *k)
{
    if (k->conn != NULL) {
        upstream_conn_close(k->conn);
        k->conn = NULL;
    }
    k->closing = true;
    fail_calls(k, "shutting down");
    ev_timer_stop(k->loop, &k->timer);
    g_string_free(k->answer, TRUE);
    g_free(k);
}

/* Sends one statement; reply gets the first column of its first row, or an
   error text. It is called from the loop, or at once when too many calls
   wait. */
void
control_conn_call(struct control_conn *k, const char *sql, clock_ms timeout_ms,
                  control_reply reply, void *ctx)
{
    if (k->closing || g_queue_get_length(&k->calls) >= CONTROL_MAX_CALLS) {
        reply(ctx, false, SVIEW("shutting down, or too many calls wait"));
        return;
    }
    struct control_call *call = g_new0(struct control_call, 1);
    call->reply = reply;
    call->ctx = ctx;
    call->deadline = clock_now() + timeout_ms;
    call->sql = g_strdup(sql);
    g_queue_push_tail(&k->calls, call);
    if (k->conn == NULL) {
        k->conn = upstream_conn_open(k->loop, &k->target, &control_ops, k);
    }
    else if (k->conn->open) {
        frame_put_query(k->conn->out, sql);
        upstream_conn_flush(k->conn);
    }
}

/* Returns the member's address for log lines. */
const char *
control_conn_peer(const struct control_conn *k)
{
    return k->peer;
}

/* Returns a parameter that the member reported when the connection was opened,
   such as server_version; NULL while there is no connection. */
const char *
control_conn_parameter(const struct control_conn *k, const char *name)
{
    if (k->conn == NULL || !k->conn->open) {
        return NULL;
    }
    return PQparameterStatus(k->conn->pg, name);
}
