#include "load/client.h"

#include "base/clock.h"

#include <glib.h>
#include <string.h>

/* Longest time for a statement or a connection attempt, after which it counts
   as lost. It is longer than all deadlines in the example settings. */
#define CLIENT_TIMEOUT_S 20.0
#define CLIENT_PACE_S 0.002

/* Discards notices; errors arrive as results. */
static void
ignore_notice(void *ctx, const PGresult *r)
{
    (void)ctx;
    (void)r;
}

/* Connects with libpq. If not blocking, only starts the attempt, to be
   continued with PQconnectPoll(). The caller owns the result; NULL if out of
   memory. */
PGconn *
client_open(const struct client_target *t, bool blocking)
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

/* Closes the connection; no callback is called. */
void
client_close(struct client *c)
{
    ev_io_stop(c->loop, &c->read_watcher);
    ev_io_stop(c->loop, &c->write_watcher);
    ev_timer_stop(c->loop, &c->timeout);
    ev_timer_stop(c->loop, &c->pace_timer);
    if (c->conn != NULL) {
        PQfinish(c->conn);
    }
    c->conn = NULL;
    c->connecting = false;
    c->busy = false;
    g_clear_pointer(&c->value, g_free);
}

/* Returns true if a statement can be sent. */
bool
client_is_idle(const struct client *c)
{
    return c->conn != NULL && !c->connecting && !c->busy;
}

/* Returns the token that the proxy reported last, or NULL. Valid until the
   next input on the connection. */
const char *
client_token(const struct client *c)
{
    return c->conn == NULL ? NULL
                           : PQparameterStatus(c->conn, "galenastep.token");
}

/* Returns the outcome that the error's hint states. Without a hint, a lost
   connection, an error without SQLSTATE and SQLSTATE 08007 mean unknown. */
static enum client_outcome
outcome_of_error(const PGresult *r, bool lost)
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

/* Adds a result to the answer. The first error determines the outcome. */
static void
add_result(struct client *c, const PGresult *r)
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
            a->outcome = outcome_of_error(r, a->lost);
            g_strlcpy(a->sqlstate, code == NULL ? "" : code,
                      sizeof(a->sqlstate));
        }
        break;
    }
}

/* Calls done() with the complete answer. The callback may send the next
   statement or close the client. */
static void
finish(struct client *c)
{
    struct client_answer a = c->answer;
    char *value = g_steal_pointer(&c->value);

    c->busy = false;
    ev_timer_stop(c->loop, &c->timeout);
    ev_timer_stop(c->loop, &c->pace_timer);
    a.value = value;
    a.lost = PQstatus(c->conn) != CONNECTION_OK;
    if (a.lost) {
        client_close(c);
    }
    else {
        ev_io_start(c->loop, &c->read_watcher);
    }
    c->callbacks->done(c->ctx, &a);
    g_free(value);
}

/* Closes a failed connection and reports it to the callback that fits its
   state. */
static void
report_lost_connection(struct client *c)
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

/* Processes the results that have arrived. */
static void
drain_results(struct client *c)
{
    while (c->busy && PQisBusy(c->conn) == 0) {
        PGresult *r = PQgetResult(c->conn);
        if (r == NULL) {
            finish(c);
            return;
        }
        add_result(c, r);
        PQclear(r);
    }
}

/* Returns true if reading may continue at the configured rate; otherwise stops
   reading for CLIENT_PACE_S. */
static bool
may_read_now(struct client *c)
{
    if (c->pace_bytes_per_second == 0 || !c->busy) {
        return true;
    }
    const int64_t us = clock_monotonic_us() - c->paced_since_us;
    if (c->paced_bytes <= c->pace_bytes_per_second / 1000000 * us) {
        return true;
    }
    ev_io_stop(c->loop, &c->read_watcher);
    ev_timer_set(&c->pace_timer, CLIENT_PACE_S, 0.0);
    ev_timer_start(c->loop, &c->pace_timer);
    return false;
}

/* Continues the connection attempt. */
static void
poll_connect(struct client *c)
{
    switch (PQconnectPoll(c->conn)) {
    case PGRES_POLLING_OK:
        c->connecting = false;
        ev_timer_stop(c->loop, &c->timeout);
        ev_io_stop(c->loop, &c->write_watcher);
        ev_io_start(c->loop, &c->read_watcher);
        PQsetnonblocking(c->conn, 1);
        c->callbacks->connected(c->ctx, true);
        return;
    case PGRES_POLLING_READING:
        ev_io_stop(c->loop, &c->write_watcher);
        ev_io_start(c->loop, &c->read_watcher);
        return;
    case PGRES_POLLING_WRITING:
        ev_io_stop(c->loop, &c->read_watcher);
        ev_io_start(c->loop, &c->write_watcher);
        return;
    default:
        report_lost_connection(c);
        return;
    }
}

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
    if (!may_read_now(c)) {
        return;
    }
    const bool ok = PQconsumeInput(c->conn) == 1;
    if (c->busy) {
        /* After a read error, libpq delivers the error as a result. */
        drain_results(c);
        return;
    }
    PQisBusy(c->conn); /* parses messages that arrived while idle */
    if (!ok || PQstatus(c->conn) != CONNECTION_OK) {
        report_lost_connection(c);
    }
}

/* Sends what libpq has buffered. */
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
        ev_io_stop(loop, &c->write_watcher);
    }
}

/* Resumes reading at the limited rate. */
static void
on_pace(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct client *c = w->data;

    (void)revents;
    ev_io_start(loop, &c->read_watcher);
    ev_feed_event(loop, &c->read_watcher, EV_READ);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct client *c = w->data;

    (void)loop;
    (void)revents;
    c->timed_out = true;
    report_lost_connection(c);
}

/* Initialises a client without a connection. callbacks must outlive it. */
void
client_init(struct client *c, struct ev_loop *loop,
            const struct client_callbacks *callbacks, void *ctx)
{
    *c = (struct client){.loop = loop, .callbacks = callbacks, .ctx = ctx};
    ev_init(&c->read_watcher, on_readable);
    ev_init(&c->write_watcher, on_writable);
    ev_timer_init(&c->timeout, on_timeout, 0.0, 0.0);
    ev_timer_init(&c->pace_timer, on_pace, 0.0, 0.0);
    c->read_watcher.data = c;
    c->write_watcher.data = c;
    c->timeout.data = c;
    c->pace_timer.data = c;
}

/* Starts to connect, after closing an open connection. connected() reports the
   result later from the loop. */
void
client_connect(struct client *c, const struct client_target *t)
{
    client_close(c);
    c->conn = client_open(t, false);
    c->connecting = true;
    c->timed_out = false;
    ev_timer_set(&c->timeout, CLIENT_TIMEOUT_S, 0.0);
    if (c->conn == NULL || PQsocket(c->conn) < 0) {
        /* Report the failure from the loop, by an immediate timeout. */
        ev_timer_set(&c->timeout, 0.0, 0.0);
        ev_timer_start(c->loop, &c->timeout);
        return;
    }
    ev_timer_start(c->loop, &c->timeout);
    ev_io_set(&c->read_watcher, PQsocket(c->conn), EV_READ);
    ev_io_set(&c->write_watcher, PQsocket(c->conn), EV_WRITE);
    ev_io_start(c->loop, &c->write_watcher);
}

/* Sends a statement on an idle connection; done() is called later from the
   loop. */
void
client_send(struct client *c, const char *sql)
{
    c->busy = true;
    c->answer = (struct client_answer){.outcome = CLIENT_ACKED};
    g_clear_pointer(&c->value, g_free);
    c->paced_bytes = 0;
    c->paced_since_us = clock_monotonic_us();
    ev_timer_set(&c->timeout, CLIENT_TIMEOUT_S, 0.0);
    ev_timer_start(c->loop, &c->timeout);
    if (PQsendQuery(c->conn, sql) != 1) {
        /* libpq may still hold an error that the server sent before it closed
           the connection; it is read as a result. */
        c->answer.outcome = CLIENT_UNKNOWN;
        ev_feed_event(c->loop, &c->read_watcher, EV_READ);
        return;
    }
    if (c->callbacks->row != NULL) {
        PQsetSingleRowMode(c->conn);
    }
    if (PQflush(c->conn) == 1) {
        ev_io_start(c->loop, &c->write_watcher);
    }
}
