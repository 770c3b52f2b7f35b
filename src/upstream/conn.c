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

#define CONN_READ_BUFFER_BYTES 65536
#define CONN_MAX_IDLE_BUFFER_BYTES 16384

/* TCP_USER_TIMEOUT: the kernel closes a connection when sent data stays
   unacknowledged for this long. This detects peers that are gone and network
   devices that have dropped the connection's state. */
#define CONN_TCP_USER_TIMEOUT_MS 5000
#define CONN_KEEPALIVE_IDLE_S 5
#define CONN_KEEPALIVE_INTERVAL_S 1
#define CONN_KEEPALIVE_COUNT 3

static char read_buffer[CONN_READ_BUFFER_BYTES];

/* Calls closed() once, then frees the connection. */
static void
conn_fail(struct upstream_conn *c, const char *why)
{
    if (c->failed) {
        return;
    }
    c->failed = true;
    ev_io_stop(c->loop, &c->read_watcher);
    ev_io_stop(c->loop, &c->write_watcher);
    ev_timer_stop(c->loop, &c->connect_timer);
    c->ops->closed(c->ctx, c, why);
    upstream_conn_close(c);
}

/* Returns the received bytes that are not consumed yet. Valid until more is
   read or consumed. */
struct sview
upstream_conn_input(const struct upstream_conn *c)
{
    return (struct sview){.p = c->in->str + c->in_consumed,
                          .n = c->in->len - c->in_consumed};
}

void
upstream_conn_consume(struct upstream_conn *c, size_t n)
{
    c->in_consumed += n;
    if (c->in_consumed == c->in->len) {
        c->in_consumed = 0;
        g_string_truncate(c->in, 0);
    }
}

/* Moves unconsumed input to the start of the buffer. */
static void
compact_input(struct upstream_conn *c)
{
    if (c->in_consumed > 0) {
        g_string_erase(c->in, 0, (gssize)c->in_consumed);
        c->in_consumed = 0;
    }
}

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
    c->last_received_at = clock_monotonic_ms();
    compact_input(c);
    g_string_append_len(c->in, read_buffer, n);
    c->ops->readable(c->ctx, c);
}

static void
on_writable(struct ev_loop *loop, ev_io *w, int revents)
{
    (void)loop;
    (void)revents;
    upstream_conn_flush(w->data);
}

/* Sends the buffered output as far as the socket accepts it; the loop sends
   the rest. After a send error the socket is shut down, so that the next read
   fails and closed() is called from the loop rather than from here. */
void
upstream_conn_flush(struct upstream_conn *c)
{
    while (c->out_sent < c->out->len) {
        const ssize_t n = send(c->write_watcher.fd, c->out->str + c->out_sent,
                               c->out->len - c->out_sent, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && errno == EAGAIN) {
            ev_io_start(c->loop, &c->write_watcher);
            return;
        }
        if (n < 0) {
            ev_io_stop(c->loop, &c->write_watcher);
            shutdown(c->write_watcher.fd, SHUT_RDWR);
            return;
        }
        c->sent_since_attach = true;
        c->out_sent += (size_t)n;
    }
    ev_io_stop(c->loop, &c->write_watcher);
    c->out_sent = 0;
    if (c->out->allocated_len > CONN_MAX_IDLE_BUFFER_BYTES) {
        g_string_free(c->out, TRUE);
        c->out = g_string_new(NULL);
    }
    else {
        g_string_truncate(c->out, 0);
    }
}

/* Disables Nagle's algorithm and enables the kernel's detection of dead
   peers. */
static void
set_socket_options(int fd)
{
    const int on = 1;
    const int idle = CONN_KEEPALIVE_IDLE_S;
    const int interval = CONN_KEEPALIVE_INTERVAL_S;
    const int count = CONN_KEEPALIVE_COUNT;
    const unsigned int timeout = CONN_TCP_USER_TIMEOUT_MS;

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
    ev_timer_stop(c->loop, &c->connect_timer);
    ev_io_stop(c->loop, &c->read_watcher);
    ev_io_stop(c->loop, &c->write_watcher);
    c->open = true;
    c->last_received_at = clock_monotonic_ms();
    set_socket_options(PQsocket(c->pg));
    ev_io_init(&c->read_watcher, on_readable, PQsocket(c->pg), EV_READ);
    ev_io_init(&c->write_watcher, on_writable, PQsocket(c->pg), EV_WRITE);
    c->read_watcher.data = c;
    c->write_watcher.data = c;
    ev_io_start(c->loop, &c->read_watcher);
    c->ops->ready(c->ctx, c);
}

/* Returns the first line of libpq's error message, which may have several
   lines. */
static const char *
first_error_line(struct upstream_conn *c)
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
        conn_fail(c, first_error_line(c));
        return;
    }
    /* libpq may have changed the descriptor as well as the direction. */
    ev_io_stop(loop, &c->read_watcher);
    ev_io_set(&c->read_watcher, PQsocket(c->pg),
              s == PGRES_POLLING_READING ? EV_READ : EV_WRITE);
    ev_io_start(loop, &c->read_watcher);
}

/* Ends a connection attempt that takes too long. A failure of
   PQconnectStartParams() is also reported here (with a zero timeout), so that
   closed() is never called before upstream_conn_open() has returned. */
static void
on_connect_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct upstream_conn *c = w->data;

    (void)loop;
    (void)revents;
    conn_fail(c, PQstatus(c->pg) == CONNECTION_BAD
                     ? first_error_line(c)
                     : "connection attempt timed out");
}

/* Starts to connect; never returns NULL. ops->ready or ops->closed is called
   later from the event loop. */
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
    snprintf(c->remote_address, sizeof(c->remote_address), "%s:%s",
             t->address->host, port);
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
    ev_timer_init(&c->connect_timer, on_connect_timeout,
                  bad ? 0.0 : (double)t->connect_timeout_ms / 1000.0, 0.0);
    c->connect_timer.data = c;
    ev_timer_start(loop, &c->connect_timer);
    ev_io_init(&c->read_watcher, on_connecting, PQsocket(c->pg), EV_WRITE);
    c->read_watcher.data = c;
    if (!bad) {
        ev_io_start(loop, &c->read_watcher);
    }
    return c;
}

/* Closes and frees the connection without calling closed(). */
void
upstream_conn_close(struct upstream_conn *c)
{
    c->failed = true;
    ev_io_stop(c->loop, &c->read_watcher);
    ev_io_stop(c->loop, &c->write_watcher);
    ev_timer_stop(c->loop, &c->connect_timer);
    PQfinish(c->pg);
    g_string_free(c->in, TRUE);
    g_string_free(c->out, TRUE);
    g_hash_table_destroy(c->prepared);
    g_free(c);
}

/* Closes and frees the connection and calls closed(), as if the member had
   closed it. */
void
upstream_conn_abort(struct upstream_conn *c, const char *why)
{
    conn_fail(c, why);
}

/* Makes ops and ctx the user of the connection and resumes reading. */
void
upstream_conn_attach(struct upstream_conn *c,
                     const struct upstream_conn_ops *ops, void *ctx)
{
    c->ops = ops;
    c->ctx = ctx;
    c->sent_since_attach = false;
    if (c->open) {
        ev_io_start(c->loop, &c->read_watcher);
    }
}

/* Stops or resumes reading, for backpressure. */
void
upstream_conn_pause(struct upstream_conn *c, bool pause)
{
    if (pause) {
        ev_io_stop(c->loop, &c->read_watcher);
    }
    else if (c->open && !c->failed) {
        ev_io_start(c->loop, &c->read_watcher);
    }
}

/* Returns the process id of the connection's backend on the member, for cancel
   requests. */
int
upstream_conn_pid(const struct upstream_conn *c)
{
    return PQbackendPID(c->pg);
}
