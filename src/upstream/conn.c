#include "upstream/conn.h"

#define LOG_MODULE "upstream"
#include "base/log.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONN_READ_BYTES 65536
#define CONN_KEPT_BUFFER_BYTES 16384

/* A connection whose peer acknowledges nothing for this long is closed by the
   kernel, which catches paths that lost track of the connection. */
#define CONN_USER_TIMEOUT_MS 5000
#define CONN_KEEPALIVE_IDLE_S 5
#define CONN_KEEPALIVE_INTERVAL_S 1
#define CONN_KEEPALIVE_COUNT 3

static char read_buffer[CONN_READ_BYTES];

/* Reports the end of the connection to its user, once. */
static void
conn_fail(struct upstream_conn *c, const char *why)
{
    if (c->failed) {
        return;
    }
    c->failed = true;
    ev_io_stop(c->loop, &c->rd);
    ev_io_stop(c->loop, &c->wr);
    ev_timer_stop(c->loop, &c->timer);
    c->ops->closed(c->ctx, c, why);
    upstream_conn_close(c);
}

/* Returns what is in the receive buffer and not consumed yet. */
struct sview
upstream_conn_input(const struct upstream_conn *c)
{
    return (struct sview){.p = c->in->str + c->in_used,
                          .n = c->in->len - c->in_used};
}

/* Marks n bytes of the input as consumed. */
void
upstream_conn_consume(struct upstream_conn *c, size_t n)
{
    c->in_used += n;
    if (c->in_used == c->in->len) {
        c->in_used = 0;
        g_string_truncate(c->in, 0);
    }
}

/* Moves unconsumed input to the start of the buffer. */
static void
compact_input(struct upstream_conn *c)
{
    if (c->in_used > 0) {
        g_string_erase(c->in, 0, (gssize)c->in_used);
        c->in_used = 0;
    }
}

/* Reads once and hands the input to the user. */
static void
on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
    struct upstream_conn *c = w->data;

    (void)loop;
    (void)revents;
    const ssize_t n = recv(w->fd, read_buffer, sizeof(read_buffer), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        conn_fail(c, n == 0 ? "closed by the member" : strerror(errno));
        return;
    }
    c->last_heard = clock_now();
    compact_input(c);
    g_string_append_len(c->in, read_buffer, n);
    c->ops->readable(c->ctx, c);
}

/* Continues to write when the socket has room. */
static void
on_writable(struct ev_loop *loop, ev_io *w, int revents)
{
    (void)loop;
    (void)revents;
    upstream_conn_flush(w->data);
}

/* Writes what is queued; the rest waits for the socket. A write error is
   left to the reader, which sees the same failure from the loop. */
void
upstream_conn_flush(struct upstream_conn *c)
{
    while (c->out_sent < c->out->len) {
        const ssize_t n = send(c->wr.fd, c->out->str + c->out_sent,
                               c->out->len - c->out_sent, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && errno == EAGAIN) {
            ev_io_start(c->loop, &c->wr);
            return;
        }
        if (n < 0) {
            ev_io_stop(c->loop, &c->wr);
            shutdown(c->wr.fd, SHUT_RDWR);
            return;
        }
        c->touched = true;
        c->out_sent += (size_t)n;
    }
    ev_io_stop(c->loop, &c->wr);
    c->out_sent = 0;
    if (c->out->allocated_len > CONN_KEPT_BUFFER_BYTES) {
        g_string_free(c->out, TRUE);
        c->out = g_string_new(NULL);
    }
    else {
        g_string_truncate(c->out, 0);
    }
}

/* Sets the options by which the kernel finds silent connections. */
static void
set_socket_options(int fd)
{
    const int on = 1;
    const int idle = CONN_KEEPALIVE_IDLE_S;
    const int interval = CONN_KEEPALIVE_INTERVAL_S;
    const int count = CONN_KEEPALIVE_COUNT;
    const unsigned int timeout = CONN_USER_TIMEOUT_MS;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

/* Takes the socket over from libpq once it is authenticated. */
static void
conn_established(struct upstream_conn *c)
{
    ev_timer_stop(c->loop, &c->timer);
    ev_io_stop(c->loop, &c->rd);
    ev_io_stop(c->loop, &c->wr);
    c->open = true;
    c->last_heard = clock_now();
    set_socket_options(PQsocket(c->pg));
    ev_io_init(&c->rd, on_readable, PQsocket(c->pg), EV_READ);
    ev_io_init(&c->wr, on_writable, PQsocket(c->pg), EV_WRITE);
    c->rd.data = c;
    c->wr.data = c;
    ev_io_start(c->loop, &c->rd);
    c->ops->ready(c->ctx, c);
}

/* Returns the first line of libpq's error text, which may have several. */
static const char *
first_line(struct upstream_conn *c)
{
    g_strlcpy(c->error, PQerrorMessage(c->pg), sizeof(c->error));
    c->error[strcspn(c->error, "\n")] = '\0';
    return c->error;
}

/* Advances libpq's connection state machine. */
static void
on_connecting(struct ev_loop *loop, ev_io *w, int revents)
{
    struct upstream_conn *c = w->data;

    (void)revents;
    const PostgresPollingStatusType s = PQconnectPoll(c->pg);
    if (s == PGRES_POLLING_OK) {
        conn_established(c);
        return;
    }
    if (s == PGRES_POLLING_FAILED) {
        conn_fail(c, first_line(c));
        return;
    }
    /* libpq may have changed the descriptor as well as the direction. */
    ev_io_stop(loop, &c->rd);
    ev_io_set(&c->rd, PQsocket(c->pg),
              s == PGRES_POLLING_READING ? EV_READ : EV_WRITE);
    ev_io_start(loop, &c->rd);
}

/* Gives up a connection attempt; also reports a first libpq failure, so that
   closed() is never called before upstream_conn_open() returned. */
static void
on_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct upstream_conn *c = w->data;

    (void)loop;
    (void)revents;
    conn_fail(c, PQstatus(c->pg) == CONNECTION_BAD
                     ? first_line(c)
                     : "connection attempt timed out");
}

/* Begins to connect. ops->ready or ops->closed follows from the loop. */
struct upstream_conn *
upstream_conn_open(struct ev_loop *loop, const struct upstream_target *t,
                   const struct upstream_conn_ops *ops, void *ctx)
{
    struct upstream_conn *c = g_new0(struct upstream_conn, 1);
    char port[8];
    char options[64] = "";
    const char *const keys[] = {"hostaddr", "port",    "dbname",
                                "user",     "sslmode", "application_name",
                                "password", "options", NULL};
    const char *const values[] = {t->address->host, port,      t->database,
                                  t->user,          "disable", "galenastep",
                                  t->password,      options,   NULL};

    snprintf(port, sizeof(port), "%u", t->address->port);
    if (t->idle_timeout_ms > 0) {
        snprintf(options, sizeof(options), "-c idle_session_timeout=%lld",
                 (long long)t->idle_timeout_ms);
        c->lent = true;
    }
    snprintf(c->peer, sizeof(c->peer), "%s:%s", t->address->host, port);
    c->loop = loop;
    c->ops = ops;
    c->ctx = ctx;
    c->in = g_string_new(NULL);
    c->out = g_string_new(NULL);
    c->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    c->pg = PQconnectStartParams(keys, values, 0);
    if (c->pg == NULL) {
        g_error("libpq is out of memory");
    }
    const bool bad = PQstatus(c->pg) == CONNECTION_BAD;
    ev_timer_init(&c->timer, on_timeout,
                  bad ? 0.0 : (double)t->connect_timeout_ms / 1000.0, 0.0);
    c->timer.data = c;
    ev_timer_start(loop, &c->timer);
    ev_io_init(&c->rd, on_connecting, PQsocket(c->pg), EV_WRITE);
    c->rd.data = c;
    if (!bad) {
        ev_io_start(loop, &c->rd);
    }
    return c;
}

/* Closes and frees the connection without telling its user. */
void
upstream_conn_close(struct upstream_conn *c)
{
    c->failed = true;
    ev_io_stop(c->loop, &c->rd);
    ev_io_stop(c->loop, &c->wr);
    ev_timer_stop(c->loop, &c->timer);
    PQfinish(c->pg);
    g_string_free(c->in, TRUE);
    g_string_free(c->out, TRUE);
    g_hash_table_destroy(c->prepared);
    g_free(c);
}

/* Ends the connection and tells its user, as if the member had closed it. */
void
upstream_conn_abort(struct upstream_conn *c, const char *why)
{
    conn_fail(c, why);
}

/* Hands the connection to another user. */
void
upstream_conn_attach(struct upstream_conn *c,
                     const struct upstream_conn_ops *ops, void *ctx)
{
    c->ops = ops;
    c->ctx = ctx;
    c->touched = false;
    if (c->open) {
        ev_io_start(c->loop, &c->rd);
    }
}

/* Stops or resumes reading, for back-pressure. */
void
upstream_conn_pause(struct upstream_conn *c, bool pause)
{
    if (pause) {
        ev_io_stop(c->loop, &c->rd);
    }
    else if (c->open && !c->failed) {
        ev_io_start(c->loop, &c->rd);
    }
}

/* Returns the member's process id of this connection, for cancel requests. */
int
upstream_conn_pid(const struct upstream_conn *c)
{
    return PQbackendPID(c->pg);
}
