#include "fleet/rpc_conn.h"

#include "fleet/rpc_codec.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_CHUNK_BYTES 16384
/* A peer that acknowledges no data for this long is considered dead
   (docs/design.md, section 13, "connection silent"). */
#define USER_TIMEOUT_MS 5000
#define KEEPALIVE_IDLE_S 5

struct rpc_conn {
    struct ev_loop *loop;
    int fd;
    ev_io read_watcher;
    ev_io write_watcher;
    ev_timer stall_timer;
    struct rpc_reader reader;
    GByteArray *out;
    size_t out_sent;
    struct rpc_conn_ops ops;
    void *ctx;
    int refs;
    bool paused;
    bool stall_timer_running;
};

/* Keeps the memory allocated while a function of this file is on the stack. */
static void
conn_ref(struct rpc_conn *c)
{
    c->refs++;
}

/* Frees the memory with the last reference. */
static void
conn_unref(struct rpc_conn *c)
{
    if (--c->refs == 0) {
        rpc_reader_clear(&c->reader);
        g_byte_array_free(c->out, TRUE);
        g_free(c);
    }
}

/* Closes the socket and stops all watchers. */
static void
conn_close_socket(struct rpc_conn *c)
{
    if (c->fd < 0) {
        return;
    }
    ev_io_stop(c->loop, &c->read_watcher);
    ev_io_stop(c->loop, &c->write_watcher);
    ev_timer_stop(c->loop, &c->stall_timer);
    close(c->fd);
    c->fd = -1;
}

/* Closes the connection and calls on_end. */
static void
conn_end(struct rpc_conn *c, enum rpc_conn_end why)
{
    if (c->fd < 0) {
        return;
    }
    conn_close_socket(c);
    c->ops.on_end(c->ctx, why);
}

/* Runs the stall timer while a record is incomplete or output is pending. It
   is restarted only when that state begins, a record is complete or output was
   written, so a peer cannot keep the connection open by sending single
   bytes. */
static void
conn_update_stall_timer(struct rpc_conn *c, bool progress)
{
    bool waiting = c->fd >= 0 && (rpc_reader_in_record(&c->reader) ||
                                  rpc_conn_pending(c) > 0);

    if (!waiting) {
        ev_timer_stop(c->loop, &c->stall_timer);
    }
    else if (progress || !c->stall_timer_running) {
        ev_timer_again(c->loop, &c->stall_timer);
    }
    c->stall_timer_running = waiting;
}

/* Closes a connection whose record or output has made no progress. */
static void
on_stall(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)loop;
    (void)events;
    struct rpc_conn *c = w->data;

    conn_ref(c);
    conn_end(c, RPC_CONN_STALLED);
    conn_unref(c);
}

/* Passes received bytes to the reader and each complete record to the
   handler. */
static void
conn_feed(struct rpc_conn *c, struct sview in)
{
    bool progress = false;

    while (c->fd >= 0 && in.n > 0) {
        enum rpc_read_status s = rpc_reader_feed(&c->reader, &in);

        if (s == RPC_READ_OVERSIZED) {
            conn_end(c, RPC_CONN_OVERSIZED);
            return;
        }
        if (s == RPC_READ_MALFORMED) {
            conn_end(c, RPC_CONN_MALFORMED);
            return;
        }
        if (s == RPC_READ_RECORD) {
            GByteArray *record = c->reader.record;

            c->ops.on_record(c->ctx, (struct sview){(const char *)record->data,
                                                    record->len});
            rpc_reader_reset(&c->reader);
            progress = true;
        }
    }
    conn_update_stall_timer(c, progress);
}

static void
on_readable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)loop;
    (void)events;
    struct rpc_conn *c = w->data;
    char buffer[READ_CHUNK_BYTES];
    ssize_t n = read(c->fd, buffer, sizeof(buffer));

    conn_ref(c);
    if (n > 0) {
        conn_feed(c, (struct sview){buffer, (size_t)n});
    }
    else if (n == 0 || (errno != EAGAIN && errno != EINTR)) {
        conn_end(c, RPC_CONN_CLOSED);
    }
    conn_unref(c);
}

static void
on_writable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)loop;
    (void)events;
    struct rpc_conn *c = w->data;

    conn_ref(c);
    rpc_conn_flush(c);
    if (c->fd >= 0 && rpc_conn_pending(c) == 0 && c->ops.on_drained) {
        c->ops.on_drained(c->ctx);
    }
    conn_unref(c);
}

/* Sets TCP_NODELAY, keepalive and TCP_USER_TIMEOUT. Errors are ignored,
   because the timeouts of calls remain. */
void
rpc_conn_set_socket_options(int fd)
{
    int on = 1;
    int idle = KEEPALIVE_IDLE_S;
    unsigned user_timeout = USER_TIMEOUT_MS;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
               sizeof(user_timeout));
}

/* Takes ownership of a connected, non-blocking socket. stall_s limits the time
   that a record or pending output may take. Copies ops. */
struct rpc_conn *
rpc_conn_create(struct ev_loop *loop, int fd, const struct rpc_conn_ops *ops,
                void *ctx, ev_tstamp stall_s)
{
    struct rpc_conn *c = g_new0(struct rpc_conn, 1);

    c->loop = loop;
    c->fd = fd;
    c->ops = *ops;
    c->ctx = ctx;
    c->refs = 1;
    c->out = g_byte_array_new();
    rpc_reader_init(&c->reader);
    ev_io_init(&c->read_watcher, on_readable, fd, EV_READ);
    ev_io_init(&c->write_watcher, on_writable, fd, EV_WRITE);
    ev_init(&c->stall_timer, on_stall);
    c->stall_timer.repeat = stall_s;
    c->read_watcher.data = c->write_watcher.data = c->stall_timer.data = c;
    ev_io_start(loop, &c->read_watcher);
    return c;
}

/* Closes the connection without calling on_end. May be called from the
   callbacks in ops. */
void
rpc_conn_destroy(struct rpc_conn *c)
{
    if (c) {
        conn_close_socket(c);
        conn_unref(c);
    }
}

/* Returns the buffer to which records are appended; rpc_conn_flush sends
   them. */
GByteArray *
rpc_conn_output(struct rpc_conn *c)
{
    return c->out;
}

/* Returns the number of bytes that are not written yet. */
size_t
rpc_conn_pending(const struct rpc_conn *c)
{
    return c->out->len - c->out_sent;
}

/* Writes as much output as the socket accepts; the rest follows when it
   becomes writable. Errors are reported by the read side. */
void
rpc_conn_flush(struct rpc_conn *c)
{
    bool progress = false;

    while (c->fd >= 0 && rpc_conn_pending(c) > 0) {
        ssize_t n = send(c->fd, c->out->data + c->out_sent,
                         rpc_conn_pending(c), MSG_NOSIGNAL);

        if (n > 0) {
            c->out_sent += (size_t)n;
            progress = true;
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno != EAGAIN) {
            /* The data is lost. Drop it and let the read side detect the end
               of the connection, so that on_end is never called from within a
               function that sends. */
            c->out_sent = c->out->len;
            shutdown(c->fd, SHUT_RDWR);
        }
        break;
    }
    if (rpc_conn_pending(c) == 0) {
        g_byte_array_set_size(c->out, 0);
        c->out_sent = 0;
        if (c->fd >= 0) {
            ev_io_stop(c->loop, &c->write_watcher);
        }
    }
    else if (c->fd >= 0) {
        ev_io_start(c->loop, &c->write_watcher);
    }
    conn_update_stall_timer(c, progress);
}

/* Stops or resumes reading, as flow control for a peer that sends calls faster
   than it reads replies. */
void
rpc_conn_pause(struct rpc_conn *c, bool paused)
{
    if (c->fd < 0 || c->paused == paused) {
        return;
    }
    c->paused = paused;
    if (paused) {
        ev_io_stop(c->loop, &c->read_watcher);
    }
    else {
        ev_io_start(c->loop, &c->read_watcher);
    }
}
