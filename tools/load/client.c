#include "load/client.h"

#include "base/clock.h"

#include <glib.h>
#include <string.h>

/* A statement or a connection attempt that takes longer counts as lost. It is
   above every deadline of the example settings. */
#define CLIENT_TIMEOUT_S 20.0
#define CLIENT_PACE_S 0.002

/* Drops notices; errors arrive as results. */
static void
ignore_notice(void *ctx, const PGresult *r)
{
    (void)ctx;
    (void)r;
}

/* Opens a connection: blocking, or only its first step. */
PGconn *
client_start(const struct client_target *t, bool blocking)
{
    const char *colon = strrchr(t->address, ':');
    const char *const keys[] = {"hostaddr", "port",    "dbname",     "user",
                                "sslmode",  "options", "gssencmode", NULL};
    char *host = g_strndup(t->address, (gsize)(colon - t->address));
    GString *options = g_string_new(NULL);

    if (t->kind != NULL) {
        g_string_append_printf(options, "-c galenastep.kind=%s ", t->kind);
    }
    if (t->token != NULL) {
        g_string_append_printf(options, "-c galenastep.token=%s", t->token);
    }
    const char *const values[] = {host,      colon + 1, t->database,
                                  t->user,   "disable", options->str,
                                  "disable", NULL};
    PGconn *conn = blocking ? PQconnectdbParams(keys, values, 0)
                            : PQconnectStartParams(keys, values, 0);
    if (conn != NULL) {
        PQsetNoticeReceiver(conn, ignore_notice, NULL);
    }
    g_string_free(options, TRUE);
    g_free(host);
    return conn;
}

/* Closes the connection without telling anyone. */
void
client_close(struct client *c)
{
    ev_io_stop(c->loop, &c->rd);
    ev_io_stop(c->loop, &c->wr);
    ev_timer_stop(c->loop, &c->timeout);
    ev_timer_stop(c->loop, &c->pace);
    if (c->conn != NULL) {
        PQfinish(c->conn);
    }
    c->conn = NULL;
    c->connecting = false;
    c->busy = false;
    g_clear_pointer(&c->value, g_free);
}

/* Tells whether a statement can be sent. */
bool
client_is_idle(const struct client *c)
{
    return c->conn != NULL && !c->connecting && !c->busy;
}

/* Returns the session's token as last reported, or NULL. */
const char *
client_token(const struct client *c)
{
    return c->conn == NULL ? NULL
                           : PQparameterStatus(c->conn, "galenastep.token");
}

/* Reads the outcome that an error states. */
static enum client_outcome
read_outcome(const PGresult *r, bool lost)
{
    const char *hint = PQresultErrorField(r, PG_DIAG_MESSAGE_HINT);

    if (hint != NULL && strstr(hint, "outcome=not_run") != NULL) {
        return CLIENT_NOT_RUN;
    }
    if (hint != NULL && strstr(hint, "outcome=failed") != NULL) {
        return CLIENT_FAILED;
    }
    if (hint != NULL && strstr(hint, "outcome=unknown") != NULL) {
        return CLIENT_UNKNOWN;
    }
    const char *code = PQresultErrorField(r, PG_DIAG_SQLSTATE);
    const bool unknown = lost || code == NULL || strcmp(code, "08007") == 0;
    return unknown ? CLIENT_UNKNOWN : CLIENT_FAILED;
}

/* Adds a result to the answer. The first error decides. */
static void
take_result(struct client *c, const PGresult *r)
{
    struct client_answer *a = &c->answer;
    const int n = PQntuples(r);

    switch (PQresultStatus(r)) {
    case PGRES_SINGLE_TUPLE:
    case PGRES_TUPLES_OK:
        a->rows += n;
        if (c->callbacks->row != NULL) {
            for (int i = 0; i < n; i++) {
                c->paced_bytes += PQgetlength(r, i, 0);
                c->callbacks->row(c->ctx, r);
            }
        }
        if (n > 0 && PQnfields(r) > 0) {
            g_free(c->value);
            c->value = g_strdup(PQgetvalue(r, n - 1, 0));
        }
        break;
    case PGRES_COMMAND_OK:
    case PGRES_EMPTY_QUERY:
        break;
    default:
        if (a->outcome == CLIENT_ACKED) {
            const char *code = PQresultErrorField(r, PG_DIAG_SQLSTATE);
            a->lost = PQstatus(c->conn) != CONNECTION_OK;
            a->outcome = read_outcome(r, a->lost);
            g_strlcpy(a->sqlstate, code == NULL ? "" : code,
                      sizeof(a->sqlstate));
        }
        break;
    }
}

/* Hands the finished answer over. The callback may send again or close. */
static void
finish(struct client *c)
{
    struct client_answer a = c->answer;
    char *value = g_steal_pointer(&c->value);

    c->busy = false;
    ev_timer_stop(c->loop, &c->timeout);
    ev_timer_stop(c->loop, &c->pace);
    a.value = value;
    a.lost = PQstatus(c->conn) != CONNECTION_OK;
    if (a.lost) {
        client_close(c);
    }
    else {
        ev_io_start(c->loop, &c->rd);
    }
    c->callbacks->done(c->ctx, &a);
    g_free(value);
}

/* Ends a statement whose connection broke without an answer. */
static void
fail(struct client *c)
{
    const bool connecting = c->connecting;
    const bool busy = c->busy;
    const struct client_answer a = {.outcome = CLIENT_UNKNOWN, .lost = true};

    client_close(c);
    if (connecting) {
        c->callbacks->connected(c->ctx, false);
    }
    else if (busy) {
        c->callbacks->done(c->ctx, &a);
    }
    else if (c->callbacks->closed != NULL) {
        c->callbacks->closed(c->ctx);
    }
}

/* Takes the results that are there. */
static void
drain_results(struct client *c)
{
    while (c->busy && PQisBusy(c->conn) == 0) {
        PGresult *r = PQgetResult(c->conn);
        if (r == NULL) {
            finish(c);
            return;
        }
        take_result(c, r);
        PQclear(r);
    }
}

/* Reads as long as the pace allows; true when reading may go on. */
static bool
within_pace(struct client *c)
{
    if (c->pace_bytes_per_second == 0 || !c->busy) {
        return true;
    }
    const int64_t us = clock_now_us() - c->paced_since_us;
    if (c->paced_bytes <= c->pace_bytes_per_second / 1000000 * us) {
        return true;
    }
    ev_io_stop(c->loop, &c->rd);
    ev_timer_set(&c->pace, CLIENT_PACE_S, 0.0);
    ev_timer_start(c->loop, &c->pace);
    return false;
}

/* Makes progress with opening the connection. */
static void
poll_connect(struct client *c)
{
    switch (PQconnectPoll(c->conn)) {
    case PGRES_POLLING_OK:
        c->connecting = false;
        ev_timer_stop(c->loop, &c->timeout);
        ev_io_stop(c->loop, &c->wr);
        ev_io_start(c->loop, &c->rd);
        PQsetnonblocking(c->conn, 1);
        c->callbacks->connected(c->ctx, true);
        return;
    case PGRES_POLLING_READING:
        ev_io_stop(c->loop, &c->wr);
        ev_io_start(c->loop, &c->rd);
        return;
    case PGRES_POLLING_WRITING:
        ev_io_stop(c->loop, &c->rd);
        ev_io_start(c->loop, &c->wr);
        return;
    default:
        fail(c);
        return;
    }
}

/* Handles input. */
static void
on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
    struct client *c = w->data;

    (void)loop;
    (void)revents;
    if (c->connecting) {
        poll_connect(c);
        return;
    }
    if (!within_pace(c)) {
        return;
    }
    const bool ok = PQconsumeInput(c->conn) == 1;
    if (c->busy) {
        /* After an error libpq still delivers it as a result. */
        drain_results(c);
        return;
    }
    PQisBusy(c->conn); /* parses what came while idle */
    if (!ok || PQstatus(c->conn) != CONNECTION_OK) {
        fail(c);
    }
}

/* Sends what is queued. */
static void
on_writable(struct ev_loop *loop, ev_io *w, int revents)
{
    struct client *c = w->data;

    (void)revents;
    if (c->connecting) {
        poll_connect(c);
        return;
    }
    if (PQflush(c->conn) != 1) {
        ev_io_stop(loop, &c->wr);
    }
}

/* Goes on with paced reading. */
static void
on_pace(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct client *c = w->data;

    (void)revents;
    ev_io_start(loop, &c->rd);
    ev_feed_event(loop, &c->rd, EV_READ);
}

/* Gives up a statement that takes too long. */
static void
on_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct client *c = w->data;

    (void)loop;
    (void)revents;
    c->timed_out = true;
    fail(c);
}

/* Prepares a closed client. */
void
client_init(struct client *c, struct ev_loop *loop,
            const struct client_callbacks *callbacks, void *ctx)
{
    *c = (struct client){.loop = loop, .callbacks = callbacks, .ctx = ctx};
    ev_init(&c->rd, on_readable);
    ev_init(&c->wr, on_writable);
    ev_timer_init(&c->timeout, on_timeout, 0.0, 0.0);
    ev_timer_init(&c->pace, on_pace, 0.0, 0.0);
    c->rd.data = c;
    c->wr.data = c;
    c->timeout.data = c;
    c->pace.data = c;
}

/* Opens a connection; connected() tells how it went, from the loop. */
void
client_connect(struct client *c, const struct client_target *t)
{
    client_close(c);
    c->conn = client_start(t, false);
    c->connecting = true;
    c->timed_out = false;
    ev_timer_set(&c->timeout, CLIENT_TIMEOUT_S, 0.0);
    if (c->conn == NULL || PQsocket(c->conn) < 0) {
        /* The failure is reported from the loop. */
        ev_timer_set(&c->timeout, 0.0, 0.0);
        ev_timer_start(c->loop, &c->timeout);
        return;
    }
    ev_timer_start(c->loop, &c->timeout);
    ev_io_set(&c->rd, PQsocket(c->conn), EV_READ);
    ev_io_set(&c->wr, PQsocket(c->conn), EV_WRITE);
    ev_io_start(c->loop, &c->wr);
}

/* Sends a statement on an idle connection; done() follows from the loop. */
void
client_send(struct client *c, const char *sql)
{
    c->busy = true;
    c->answer = (struct client_answer){.outcome = CLIENT_ACKED};
    g_clear_pointer(&c->value, g_free);
    c->paced_bytes = 0;
    c->paced_since_us = clock_now_us();
    ev_timer_set(&c->timeout, CLIENT_TIMEOUT_S, 0.0);
    ev_timer_start(c->loop, &c->timeout);
    if (PQsendQuery(c->conn, sql) != 1) {
        /* libpq may still hold the error that the server sent before. */
        c->answer.outcome = CLIENT_UNKNOWN;
        ev_feed_event(c->loop, &c->rd, EV_READ);
        return;
    }
    if (c->callbacks->row != NULL) {
        PQsetSingleRowMode(c->conn);
    }
    if (PQflush(c->conn) == 1) {
        ev_io_start(c->loop, &c->wr);
    }
}
