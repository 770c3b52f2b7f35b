#include "caller/caller.h"

#define LOG_MODULE "caller"
#include "base/log.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLER_READ_BYTES 65536
#define CALLER_MAX_IDLE_BUFFER_BYTES 1024

static char read_buffer[CALLER_READ_BYTES];

/* Returns the received bytes that have not been consumed yet. */
struct sview
caller_input(const struct caller *c)
{
    return (struct sview){.p = c->in->str + c->in_consumed,
                          .n = c->in->len - c->in_consumed};
}

void
caller_count(struct caller *c, enum counter which)
{
    c->front->counters.value[c->database][c->kind][which]++;
}

/* Releases the memory of an empty buffer to keep idle callers small. */
static void
shrink_buffer(GString **buffer)
{
    if ((*buffer)->len == 0 &&
        (*buffer)->allocated_len > CALLER_MAX_IDLE_BUFFER_BYTES) {
        g_string_free(*buffer, TRUE);
        *buffer = g_string_new(NULL);
    }
}

/* Writes queued output and waits for the socket if it cannot take all of it.
   Reading from the member is paused while more than caller_buffer_bytes are
   queued and resumes once at most half of that is left. */
void
caller_flush(struct caller *c)
{
    while (c->out_sent < c->out->len) {
        const ssize_t n = send(c->fd, c->out->str + c->out_sent,
                               c->out->len - c->out_sent, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && errno == EAGAIN) {
            ev_io_start(c->front->loop, &c->write_watcher);
            break;
        }
        if (n < 0) {
            /* The read callback then sees the end of the connection and closes
               c. */
            shutdown(c->fd, SHUT_RDWR);
            g_string_truncate(c->out, 0);
            c->out_sent = 0;
            break;
        }
        c->out_sent += (size_t)n;
    }
    const size_t queued = c->out->len - c->out_sent;
    if (queued == 0) {
        ev_io_stop(c->front->loop, &c->write_watcher);
        g_string_truncate(c->out, 0);
        c->out_sent = 0;
        shrink_buffer(&c->out);
    }
    else if (c->out_sent > (size_t)c->front->settings->caller_buffer_bytes) {
        g_string_erase(c->out, 0, (gssize)c->out_sent);
        c->out_sent = 0;
    }
    if (queued == 0 && c->state == CALLER_CLOSING && c->lingering_since == 0) {
        /* Closing the socket while input is unread would reset the connection,
           and the caller could lose the last answer. */
        shutdown(c->fd, SHUT_WR);
        c->lingering_since = clock_monotonic_ms();
        g_queue_push_tail_link(&c->front->lingering, &c->lingering_link);
    }
    if (c->has_connection && c->request.conn != NULL) {
        const size_t limit = (size_t)c->front->settings->caller_buffer_bytes;
        if (queued > limit) {
            upstream_conn_pause(c->request.conn, true);
        }
        else if (queued <= limit / 2) {
            upstream_conn_pause(c->request.conn, false);
        }
    }
}

static void
on_writable(struct ev_loop *loop, ev_io *w, int revents)
{
    struct caller *c = w->data;

    (void)loop;
    (void)revents;
    caller_flush(c);
}

/* Stops handling requests and closes the connection once all queued output has
   been written and the caller has closed its side, or has not done so in time.
   Further input is discarded. A request under way is withdrawn and an open
   transaction rolled back at once, since the caller may take its time. */
void
caller_close_after_flush(struct caller *c)
{
    request_abandon(c);
    c->state = CALLER_CLOSING;
    ev_io_start(c->front->loop, &c->read_watcher);
    caller_flush(c);
}

/* Returns true if bytes from the caller have arrived that were not read yet.
 */
static bool
has_unread(const struct caller *c)
{
    char byte;

    return recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Disconnects a caller during a shutdown if it has no session yet or is idle
   between transactions, and no further input of it has arrived. */
void
caller_close_if_drained(struct caller *c)
{
    const bool idle = c->state == CALLER_READY && !c->has_connection &&
                      caller_input(c).n == 0;

    if (!c->front->draining || (c->state != CALLER_STARTUP && !idle) ||
        has_unread(c)) {
        return;
    }
    c->refused_unheard = c->state == CALLER_STARTUP;
    frame_put_error(c->out, "FATAL", "57P01", "the proxy is shutting down",
                    NULL, "outcome=not_run");
    caller_close_after_flush(c);
}

/* Ends the connection of a caller whose input cannot be a request. Its open
   transaction is rolled back. */
static void
refuse_message(struct caller *c, enum frame_status s)
{
    const bool oversized = s == FRAME_TOO_LARGE;

    caller_count(c, COUNTER_REFUSED_PROTOCOL);
    if (c->has_connection) {
        caller_count(c, COUNTER_TRANSACTION_LOST);
    }
    frame_put_error(c->out, "FATAL", oversized ? "54000" : "08P01",
                    oversized ? "message is larger than max_message_bytes"
                              : "malformed protocol message",
                    NULL,
                    c->has_connection ? "outcome=failed" : "outcome=not_run");
    LOG_INFO("read", c->remote_address, "connection refused: %s message",
             oversized ? "oversized" : "malformed");
    caller_close_after_flush(c);
}

/* Handles start-up packets and complete requests from the input until one has
   to wait for a member. */
void
caller_process_input(struct caller *c)
{
    while (c->state == CALLER_STARTUP && startup_process(c)) {
    }
    while (request_may_continue(c) && request_continue(c)) {
    }
    while (c->state == CALLER_READY) {
        const enum frame_status s = message_batch_scan(c);
        if (s == FRAME_INCOMPLETE) {
            break;
        }
        if (s == FRAME_COMPLETE) {
            request_begin(c);
            continue;
        }
        refuse_message(c, s);
        return;
    }
    if (c->in_consumed == c->in->len) {
        c->in_consumed = 0;
        g_string_truncate(c->in, 0);
        shrink_buffer(&c->in);
    }
    caller_close_if_drained(c);
    if (c->state != CALLER_CLOSING) {
        caller_flush(c);
    }
}

/* Returns how many unconsumed bytes may be buffered before reading stops. */
static size_t
input_limit(const struct caller *c)
{
    if (c->state == CALLER_READY || c->state == CALLER_STARTUP ||
        (c->state == CALLER_RUNNING && exchange_takes_more(c))) {
        return SIZE_MAX; /* bounded by message_batch_scan() */
    }
    return c->message_batch.bytes + CALLER_READ_BYTES;
}

static void
on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
    struct caller *c = w->data;

    if ((revents & EV_CUSTOM) != 0) {
        /* A request ended outside of input handling; process the input that is
           already buffered. */
        caller_process_input(c);
        return;
    }
    if (c->state != CALLER_CLOSING &&
        c->in->len - c->in_consumed >= input_limit(c)) {
        /* Leave further pipelined requests in the socket buffer. */
        ev_io_stop(loop, &c->read_watcher);
        return;
    }
    const ssize_t n = recv(c->fd, read_buffer, sizeof(read_buffer), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        caller_close(c);
        return;
    }
    if (c->state == CALLER_CLOSING) {
        if (c->refused_unheard) {
            g_string_append_len(c->in, read_buffer, n);
            startup_process_refused(c);
        }
        else {
            g_string_truncate(c->in, 0);
            c->in_consumed = 0;
        }
        return;
    }
    if (c->in_consumed > 0 && c->state == CALLER_READY) {
        g_string_erase(c->in, 0, (gssize)c->in_consumed);
        c->in_consumed = 0;
    }
    g_string_append_len(c->in, read_buffer, n);
    caller_process_input(c);
}

/* Creates the state of a new connection and starts reading from fd, which it
   owns from now on. remote_address is the address for log messages. */
struct caller *
caller_create(struct front *f, int fd, const char *remote_address)
{
    struct caller *c = g_new0(struct caller, 1);

    c->front = f;
    c->fd = fd;
    c->state = CALLER_STARTUP;
    c->in = g_string_new(NULL);
    c->out = g_string_new(NULL);
    c->running_link.data = c;
    c->lingering_link.data = c;
    g_strlcpy(c->remote_address, remote_address, sizeof(c->remote_address));
    ev_io_init(&c->read_watcher, on_readable, fd, EV_READ);
    ev_io_init(&c->write_watcher, on_writable, fd, EV_WRITE);
    c->read_watcher.data = c;
    c->write_watcher.data = c;
    ev_io_start(f->loop, &c->read_watcher);
    return c;
}

/* Withdraws a waiting request, cancels a running one, closes the connection
   and frees c. If the proxy is draining and c was its last caller, reports
   that the drain is complete. */
void
caller_close(struct caller *c)
{
    struct front *f = c->front;

    request_abandon(c);
    ev_io_stop(f->loop, &c->read_watcher);
    ev_io_stop(f->loop, &c->write_watcher);
    if (c->lingering_since != 0) {
        g_queue_unlink(&f->lingering, &c->lingering_link);
    }
    close(c->fd);
    g_hash_table_remove(f->callers, GUINT_TO_POINTER(c->pid));
    g_string_free(c->in, TRUE);
    g_string_free(c->out, TRUE);
    g_free(c->session);
    g_free(c->request_key);
    session_settings_clear(&c->settings);
    session_settings_clear(&c->tx_settings);
    message_batch_clear(&c->message_batch);
    if (c->statements != NULL) {
        g_hash_table_destroy(c->statements);
    }
    if (c->portals != NULL) {
        g_hash_table_destroy(c->portals);
    }
    if (c->keyed_answer != NULL) {
        g_string_free(c->keyed_answer, TRUE);
    }
    if (c->exchange.expected_replies != NULL) {
        g_array_free(c->exchange.expected_replies, TRUE);
    }
    g_free(c);
    if (f->draining && g_hash_table_size(f->callers) == 0 &&
        f->drained != NULL) {
        f->drained(f->drained_ctx);
    }
}
