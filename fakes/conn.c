#define LOG_MODULE "conn"

#include "fakes/conn.h"

#include "base/log.h"
#include "fakes/exec.h"
#include "fakes/protocol.h"
#include "wire/frame.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES ((size_t)64 * 1024)

/* Closes a connection and rolls its open transaction back. */
void
conn_close(struct conn *c)
{
    struct ev_loop *loop = c->host->loop;

    ev_io_stop(loop, &c->rd);
    ev_io_stop(loop, &c->wr);
    ev_timer_stop(loop, &c->cost);
    ev_timer_stop(loop, &c->limit);
    ev_timer_stop(loop, &c->idle);
    close(c->fd);
    if (c->is_ready) {
        g_queue_remove(&c->host->ready, c);
    }
    g_queue_remove(&c->member->slot_queue, c);
    g_queue_remove(&c->member->lock_queue, c);
    fake_group_forget(c->member->db->group, c->member->index, c);
    exec_drop(c);
    exec_end_transaction(c, false);
    host_leave(c);
    g_queue_unlink(&c->member->conns, &c->link);
    g_hash_table_remove(c->host->by_pid, GUINT_TO_POINTER(c->pid));
    protocol_clear(c);
    session_clear(&c->session);
    g_free(c->lock_key);
    g_string_free(c->in, TRUE);
    g_string_free(c->out, TRUE);
    g_free(c);
}

/* Writes pending output. The connection is closed when it was to be closed
   behind it; returns false in that case. */
static bool
flush(struct conn *c)
{
    if (c->silent) {
        return true;
    }
    while (c->out_pos < c->out->len) {
        const ssize_t n = send(c->fd, c->out->str + c->out_pos,
                               c->out->len - c->out_pos, MSG_NOSIGNAL);
        if (n > 0) {
            c->out_pos += (size_t)n;
            continue;
        }
        if (errno == EAGAIN) {
            ev_io_start(c->host->loop, &c->wr);
            return true;
        }
        if (errno != EINTR) {
            conn_close(c);
            return false;
        }
    }
    ev_io_stop(c->host->loop, &c->wr);
    g_string_truncate(c->out, 0);
    c->out_pos = 0;
    if (c->close_after_flush) {
        conn_close(c);
        return false;
    }
    if (c->wait == CONN_WAIT_DRAIN) {
        host_ready(c->host, c);
    }
    return true;
}

/* Writes pending output; the connection may be gone afterwards. */
void
conn_flush(struct conn *c)
{
    flush(c);
}

/* Starts the idle timer anew when its setting changed. */
static void
arm_idle(struct conn *c)
{
    if (c->idle_armed_ms == c->session.idle_timeout_ms) {
        return;
    }
    c->idle_armed_ms = c->session.idle_timeout_ms;
    ev_timer_stop(c->host->loop, &c->idle);
    if (c->idle_armed_ms > 0) {
        ev_timer_set(&c->idle, (double)c->idle_armed_ms / 1000, 0);
        ev_timer_start(c->host->loop, &c->idle);
    }
}

/* Handles the messages that are buffered, as far as nothing has to be waited
   for and the output is not full. Returns true when only full output keeps
   the rest from being handled. */
static bool
handle_buffered(struct conn *c)
{
    bool full = false;

    while (c->wait == CONN_WAIT_NONE && !c->close_after_flush) {
        full = c->out->len - c->out_pos >= CONN_OUT_HIGH_BYTES;
        if (full || !protocol_next(c)) {
            break;
        }
    }
    if (c->in_pos > 0) {
        g_string_erase(c->in, 0, (gssize)c->in_pos);
        c->in_pos = 0;
    }
    return full && c->in->len > 0;
}

/* Handles what is buffered and writes the answers at once. Output that was
   full and that the socket took at once sends no event, so the messages behind
   it are handled here. */
static void
process(struct conn *c)
{
    bool more;

    do {
        more = handle_buffered(c);
        arm_idle(c);
        if (c->in->len < CONN_IN_HIGH_BYTES && !c->eof && !c->silent) {
            ev_io_start(c->host->loop, &c->rd);
        }
        if (c->eof && c->wait == CONN_WAIT_NONE) {
            c->close_after_flush = true;
        }
        if (c->hold || !flush(c)) {
            return;
        }
    } while (more && c->out->len == 0);
}

/* Continues a connection whose wait is over. */
void
conn_resume(struct conn *c)
{
    ev_timer_stop(c->host->loop, &c->limit);
    c->wait = CONN_WAIT_NONE;
    c->hold = false;
    c->active_at = ev_now(c->host->loop);
    if (protocol_continue(c)) {
        process(c);
    }
    else if (!c->hold) {
        flush(c);
    }
}

/* Marks what the connection waits for and arms the rest of the statement
   timeout, which covers all waits of one statement together. */
void
conn_wait(struct conn *c, enum conn_wait wait)
{
    c->wait = wait;
    if (wait != CONN_WAIT_DRAIN && c->session.statement_timeout_ms > 0) {
        const double left = c->started_at +
                            (double)c->session.statement_timeout_ms / 1000 -
                            ev_now(c->host->loop);
        ev_timer_stop(c->host->loop, &c->limit);
        ev_timer_set(&c->limit, MAX(left, 0), 0);
        ev_timer_start(c->host->loop, &c->limit);
    }
}

/* Cuts a wait short; the statement ends with an error. Rows that are being
   sent end as soon as the socket has taken what is buffered. */
void
conn_abort(struct conn *c, const char *code, const char *message)
{
    if (c->wait == CONN_WAIT_NONE || c->is_ready) {
        return;
    }
    if (c->wait == CONN_WAIT_DRAIN) {
        c->abort_code = code;
        c->abort_message = message;
        return;
    }
    ev_timer_stop(c->host->loop, &c->cost);
    g_queue_remove(&c->member->slot_queue, c);
    g_queue_remove(&c->member->lock_queue, c);
    g_clear_pointer(&c->lock_key, g_free);
    fake_group_forget(c->member->db->group, c->member->index, c);
    c->abort_code = code;
    c->abort_message = message;
    host_ready(c->host, c);
}

/* Cancels the statement of a connection; false when there is none. */
bool
conn_cancel_pid(struct host *h, uint32_t pid)
{
    struct conn *c = g_hash_table_lookup(h->by_pid, GUINT_TO_POINTER(pid));

    if (c == NULL || c->silent) {
        return false;
    }
    conn_abort(c, "57014", "canceling statement due to user request");
    return true;
}

/* Cancels the statement of the connection with this key. */
void
conn_cancel(struct host *h, uint32_t pid, uint32_t key)
{
    struct conn *c = g_hash_table_lookup(h->by_pid, GUINT_TO_POINTER(pid));

    if (c != NULL && c->key == key && !c->silent) {
        conn_abort(c, "57014", "canceling statement due to user request");
    }
}

/* Sends a fatal error and closes the connection behind it. */
void
conn_fatal(struct conn *c, const char *code, const char *message)
{
    frame_put_error(c->out, "FATAL", code, message, NULL, NULL);
    c->close_after_flush = true;
}

/* Makes a connection stop answering for good. It is still read, so that its
   end is noticed. */
void
conn_silence(struct conn *c)
{
    c->silent = true;
    ev_io_stop(c->host->loop, &c->wr);
    ev_io_start(c->host->loop, &c->rd);
}

/* Tells whether the connection can be closed as soon as its client left. A
   statement that executes or waits for a slot goes on, as its client cannot
   take it back; one that waits for a lock or a majority needs no connection
   any more. */
static bool
may_close(const struct conn *c)
{
    return c->silent || c->phase != CONN_OPEN ||
           (c->wait != CONN_WAIT_SLOT && c->wait != CONN_WAIT_COST);
}

/* Tells whether the other end closed the connection or is about to: clients
   send Terminate first. */
bool
conn_peer_left(struct conn *c)
{
    char byte = 0;

    if (!may_close(c) || c->is_ready) {
        return false;
    }
    const ssize_t n = recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n == 1) {
        return byte == 'X' && c->in->len == 0;
    }
    return n == 0 || (errno != EAGAIN && errno != EINTR);
}

/* Handles the end of the input. */
static void
handle_eof(struct conn *c)
{
    c->eof = true;
    ev_io_stop(c->host->loop, &c->rd);
    if (may_close(c)) {
        conn_close(c);
    }
}

/* Reads what has arrived and handles it. */
static void
on_read(struct ev_loop *loop, ev_io *w, int events)
{
    struct conn *c = w->data;
    char buffer[READ_BYTES];

    (void)events;
    const ssize_t n = recv(c->fd, buffer, sizeof buffer, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        handle_eof(c);
        return;
    }
    if (c->silent) {
        return;
    }
    c->active_at = ev_now(loop);
    g_string_append_len(c->in, buffer, n);
    if (c->in->len >= CONN_IN_HIGH_BYTES) {
        ev_io_stop(loop, &c->rd);
    }
    if (c->wait == CONN_WAIT_NONE) {
        process(c);
    }
}

/* Goes on writing. */
static void
on_write(struct ev_loop *loop, ev_io *w, int events)
{
    struct conn *c = w->data;

    (void)loop;
    (void)events;
    if (flush(c) && c->wait == CONN_WAIT_NONE && c->in->len > 0) {
        process(c);
    }
}

/* Ends an execution time or the delay before the authentication answer. */
static void
on_cost(struct ev_loop *loop, ev_timer *w, int events)
{
    struct conn *c = w->data;

    (void)loop;
    (void)events;
    if (c->phase == CONN_AUTH_DELAY) {
        protocol_open(c);
        process(c);
        return;
    }
    host_ready(c->host, c);
}

/* Cancels a statement whose statement_timeout has passed. */
static void
on_limit(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)loop;
    (void)events;
    conn_abort(w->data, "57014",
               "canceling statement due to statement timeout");
}

/* Closes a connection that was idle for idle_session_timeout, or looks again
   when that time has not passed since its last activity. */
static void
on_idle(struct ev_loop *loop, ev_timer *w, int events)
{
    struct conn *c = w->data;
    const double limit = (double)c->session.idle_timeout_ms / 1000;

    (void)events;
    if (limit <= 0 || c->silent) {
        return;
    }
    const double left = c->active_at + limit - ev_now(loop);
    if (left > 0 || c->wait != CONN_WAIT_NONE ||
        c->session.tx == SESSION_BLOCK) {
        ev_timer_set(w, left > 0 ? left : limit, 0);
        ev_timer_start(loop, w);
        return;
    }
    conn_fatal(c, "57P05",
               "terminating connection due to idle-session timeout");
    flush(c);
}

/* Starts to serve an accepted socket. */
void
conn_accept(struct host_member *m, int fd)
{
    struct conn *c = g_new0(struct conn, 1);
    const int on = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    c->host = m->db->host;
    c->member = m;
    c->fd = fd;
    c->in = g_string_new(NULL);
    c->out = g_string_new(NULL);
    c->pid = ++c->host->last_pid;
    c->key = g_random_int();
    g_hash_table_insert(c->host->by_pid, GUINT_TO_POINTER(c->pid), c);
    c->link.data = c;
    g_queue_push_tail_link(&m->conns, &c->link);
    session_init(&c->session);
    protocol_init(c);
    ev_io_init(&c->rd, on_read, fd, EV_READ);
    ev_io_init(&c->wr, on_write, fd, EV_WRITE);
    ev_timer_init(&c->cost, on_cost, 0, 0);
    ev_timer_init(&c->limit, on_limit, 0, 0);
    ev_timer_init(&c->idle, on_idle, 0, 0);
    c->rd.data = c;
    c->wr.data = c;
    c->cost.data = c;
    c->limit.data = c;
    c->idle.data = c;
    ev_io_start(c->host->loop, &c->rd);
}
