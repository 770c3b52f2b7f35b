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

/* Closes and frees a connection; its open transaction is rolled back. */
void
conn_close(struct conn *c)
{
    struct ev_loop *loop = c->host->loop;

    ev_io_stop(loop, &c->read_watcher);
    ev_io_stop(loop, &c->write_watcher);
    ev_timer_stop(loop, &c->delay_timer);
    ev_timer_stop(loop, &c->timeout_timer);
    ev_timer_stop(loop, &c->idle_timer);
    close(c->fd);
    if (c->in_ready_queue) {
        g_queue_remove(&c->host->ready_queue, c);
    }
    g_queue_remove(&c->member->slot_queue, c);
    g_queue_remove(&c->member->lock_queue, c);
    fake_group_drop_waiters(c->member->db->group, c->member->index, c);
    exec_clear(c);
    exec_end_transaction(c, false);
    host_uncount_conn(c);
    g_queue_unlink(&c->member->conns, &c->link);
    g_hash_table_remove(c->host->conns_by_pid, GUINT_TO_POINTER(c->pid));
    protocol_clear(c);
    session_clear(&c->session);
    g_free(c->lock_key);
    g_string_free(c->in, TRUE);
    g_string_free(c->out, TRUE);
    g_free(c);
}

/* Writes pending output. Returns false if the connection was closed, after an
   error or because of close_after_flush. */
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
            ev_io_start(c->host->loop, &c->write_watcher);
            return true;
        }
        if (errno != EINTR) {
            conn_close(c);
            return false;
        }
    }
    ev_io_stop(c->host->loop, &c->write_watcher);
    g_string_truncate(c->out, 0);
    c->out_pos = 0;
    if (c->close_after_flush) {
        conn_close(c);
        return false;
    }
    if (c->wait == CONN_WAIT_OUTPUT) {
        host_queue_ready_conn(c->host, c);
    }
    return true;
}

/* Writes pending output. May close and free the connection. */
void
conn_flush(struct conn *c)
{
    flush(c);
}

/* Restarts the idle timer if idle_session_timeout has changed. */
static void
arm_idle_timer(struct conn *c)
{
    if (c->idle_armed_ms == c->session.idle_timeout_ms) {
        return;
    }
    c->idle_armed_ms = c->session.idle_timeout_ms;
    ev_timer_stop(c->host->loop, &c->idle_timer);
    if (c->idle_armed_ms > 0) {
        ev_timer_set(&c->idle_timer, (double)c->idle_armed_ms / 1000, 0);
        ev_timer_start(c->host->loop, &c->idle_timer);
    }
}

/* Handles buffered messages until one has to wait or the output buffer is
   full. Returns true if input is left only because of full output. */
static bool
handle_buffered_messages(struct conn *c)
{
    bool full = false;

    while (c->wait == CONN_WAIT_NONE && !c->close_after_flush) {
        full = c->out->len - c->out_pos >= CONN_OUT_LIMIT_BYTES;
        if (full || !protocol_handle_next(c)) {
            break;
        }
    }
    if (c->in_pos > 0) {
        g_string_erase(c->in, 0, (gssize)c->in_pos);
        c->in_pos = 0;
    }
    return full && c->in->len > 0;
}

/* Handles buffered input and writes the responses. If the socket accepts a
   full output buffer at once, no write event follows, so the remaining
   messages are handled here. */
static void
process_input(struct conn *c)
{
    bool more;

    do {
        more = handle_buffered_messages(c);
        arm_idle_timer(c);
        if (c->in->len < CONN_IN_LIMIT_BYTES && !c->eof && !c->silent) {
            ev_io_start(c->host->loop, &c->read_watcher);
        }
        if (c->eof && c->wait == CONN_WAIT_NONE) {
            c->close_after_flush = true;
        }
        if (c->hold_output || !flush(c)) {
            return;
        }
    } while (more && c->out->len == 0);
}

/* Continues the statement of a connection taken from host->ready_queue. */
void
conn_resume(struct conn *c)
{
    ev_timer_stop(c->host->loop, &c->timeout_timer);
    c->wait = CONN_WAIT_NONE;
    c->hold_output = false;
    c->last_activity_at = ev_now(c->host->loop);
    if (protocol_resume(c)) {
        process_input(c);
    }
    else if (!c->hold_output) {
        flush(c);
    }
}

/* Records what the connection waits for. Starts a timer for the remaining
   statement_timeout, which covers all waits of a statement together. */
void
conn_wait(struct conn *c, enum conn_wait wait)
{
    c->wait = wait;
    if (wait != CONN_WAIT_OUTPUT && c->session.statement_timeout_ms > 0) {
        const double left = c->started_at +
                            (double)c->session.statement_timeout_ms / 1000 -
                            ev_now(c->host->loop);
        ev_timer_stop(c->host->loop, &c->timeout_timer);
        ev_timer_set(&c->timeout_timer, MAX(left, 0), 0);
        ev_timer_start(c->host->loop, &c->timeout_timer);
    }
}

/* Aborts a wait; the statement fails with the given SQLSTATE and message,
   which must be static. A statement whose rows are being sent fails once the
   buffered output is written. */
void
conn_abort(struct conn *c, const char *code, const char *message)
{
    if (c->wait == CONN_WAIT_NONE || c->in_ready_queue) {
        return;
    }
    if (c->wait == CONN_WAIT_OUTPUT) {
        c->abort_code = code;
        c->abort_message = message;
        return;
    }
    ev_timer_stop(c->host->loop, &c->delay_timer);
    g_queue_remove(&c->member->slot_queue, c);
    g_queue_remove(&c->member->lock_queue, c);
    g_clear_pointer(&c->lock_key, g_free);
    fake_group_drop_waiters(c->member->db->group, c->member->index, c);
    c->abort_code = code;
    c->abort_message = message;
    host_queue_ready_conn(c->host, c);
}

/* Cancels the statement of a connection without checking its cancel key.
   Returns false if there is no such connection. */
bool
conn_cancel_pid(struct host *h, uint32_t pid)
{
    struct conn *c =
        g_hash_table_lookup(h->conns_by_pid, GUINT_TO_POINTER(pid));

    if (c == NULL || c->silent) {
        return false;
    }
    conn_abort(c, "57014", "canceling statement due to user request");
    return true;
}

/* Handles a CancelRequest; a wrong key is ignored. */
void
conn_cancel(struct host *h, uint32_t pid, uint32_t cancel_key)
{
    struct conn *c =
        g_hash_table_lookup(h->conns_by_pid, GUINT_TO_POINTER(pid));

    if (c != NULL && c->cancel_key == cancel_key && !c->silent) {
        conn_abort(c, "57014", "canceling statement due to user request");
    }
}

/* Sends a fatal error and closes the connection once it is written. */
void
conn_fatal(struct conn *c, const char *code, const char *message)
{
    frame_put_error(c->out, "FATAL", code, message, NULL, NULL);
    c->close_after_flush = true;
}

/* Makes a connection stop responding permanently. Input is still read, to
   detect when the client closes the connection. */
void
conn_set_silent(struct conn *c)
{
    c->silent = true;
    ev_io_stop(c->host->loop, &c->write_watcher);
    ev_io_start(c->host->loop, &c->read_watcher);
}

/* Returns true if the connection can be closed as soon as its client has
   closed it. A statement that executes or waits for a slot continues, since
   closing does not cancel it; a wait for a lock or a majority needs no open
   connection. */
static bool
can_close_at_eof(const struct conn *c)
{
    return c->silent || c->phase != CONN_OPEN ||
           (c->wait != CONN_WAIT_SLOT && c->wait != CONN_WAIT_DELAY);
}

/* Returns true if the client has closed the connection or has sent Terminate,
   which clients do before closing, and the connection can be closed. */
bool
conn_peer_closed(struct conn *c)
{
    char byte = 0;

    if (!can_close_at_eof(c) || c->in_ready_queue) {
        return false;
    }
    const ssize_t n = recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n == 1) {
        return byte == 'X' && c->in->len == 0;
    }
    return n == 0 || (errno != EAGAIN && errno != EINTR);
}

static void
handle_eof(struct conn *c)
{
    c->eof = true;
    ev_io_stop(c->host->loop, &c->read_watcher);
    if (can_close_at_eof(c)) {
        conn_close(c);
    }
}

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
    c->last_activity_at = ev_now(loop);
    g_string_append_len(c->in, buffer, n);
    if (c->in->len >= CONN_IN_LIMIT_BYTES) {
        ev_io_stop(loop, &c->read_watcher);
    }
    if (c->wait == CONN_WAIT_NONE) {
        process_input(c);
    }
}

static void
on_write(struct ev_loop *loop, ev_io *w, int events)
{
    struct conn *c = w->data;

    (void)loop;
    (void)events;
    if (flush(c) && c->wait == CONN_WAIT_NONE && c->in->len > 0) {
        process_input(c);
    }
}

/* Ends the simulated execution time or the authentication delay. */
static void
on_delay_timer(struct ev_loop *loop, ev_timer *w, int events)
{
    struct conn *c = w->data;

    (void)loop;
    (void)events;
    if (c->phase == CONN_AUTH_DELAY) {
        protocol_finish_startup(c);
        process_input(c);
        return;
    }
    host_queue_ready_conn(c->host, c);
}

static void
on_statement_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)loop;
    (void)events;
    conn_abort(w->data, "57014",
               "canceling statement due to statement timeout");
}

/* Closes a connection that was idle for idle_session_timeout. Restarts the
   timer if the connection is busy or was active since. */
static void
on_idle(struct ev_loop *loop, ev_timer *w, int events)
{
    struct conn *c = w->data;
    const double limit = (double)c->session.idle_timeout_ms / 1000;

    (void)events;
    if (limit <= 0 || c->silent) {
        return;
    }
    const double left = c->last_activity_at + limit - ev_now(loop);
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

/* Serves an accepted socket; takes ownership of fd. */
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
    c->cancel_key = g_random_int();
    g_hash_table_insert(c->host->conns_by_pid, GUINT_TO_POINTER(c->pid), c);
    c->link.data = c;
    g_queue_push_tail_link(&m->conns, &c->link);
    session_init(&c->session);
    protocol_init(c);
    ev_io_init(&c->read_watcher, on_read, fd, EV_READ);
    ev_io_init(&c->write_watcher, on_write, fd, EV_WRITE);
    ev_timer_init(&c->delay_timer, on_delay_timer, 0, 0);
    ev_timer_init(&c->timeout_timer, on_statement_timeout, 0, 0);
    ev_timer_init(&c->idle_timer, on_idle, 0, 0);
    c->read_watcher.data = c;
    c->write_watcher.data = c;
    c->delay_timer.data = c;
    c->timeout_timer.data = c;
    c->idle_timer.data = c;
    ev_io_start(c->host->loop, &c->read_watcher);
}
