#include "caller/caller.h"

#include "base/listener.h"

#define LOG_MODULE "front"
#include "base/log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/rand.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define FRONT_ACCEPTS_PER_EVENT 64
/* Accepted at most when a shutdown starts, so that new connections cannot hold
   it up: the length of the listen queue. */
#define FRONT_DRAIN_ACCEPTS 1024
#define FRONT_DEADLINE_CHECK_S 0.05
/* How long a caller that has been sent everything may take to close its
   side. */
#define FRONT_LINGER_MS 200
/* Connections above max_callers that may linger so that their callers can read
   the refusal. Further ones are closed at once. */
#define FRONT_MAX_LINGERING 256

/* Formats an address as host:port. */
static void
format_address(const struct sockaddr_storage *a, char *out, size_t size)
{
    char host[INET6_ADDRSTRLEN] = "";
    uint16_t port = 0;

    if (a->ss_family == AF_INET) {
        const struct sockaddr_in *in = (const struct sockaddr_in *)a;
        inet_ntop(AF_INET, &in->sin_addr, host, sizeof(host));
        port = ntohs(in->sin_port);
    }
    else if (a->ss_family == AF_INET6) {
        const struct sockaddr_in6 *in = (const struct sockaddr_in6 *)a;
        inet_ntop(AF_INET6, &in->sin6_addr, host, sizeof(host));
        port = ntohs(in->sin6_port);
    }
    g_snprintf(out, (gulong)size, "%s:%u", host, port);
}

/* Assigns the process id and secret that a cancel request must name. */
static void
register_caller(struct front *f, struct caller *c)
{
    do {
        c->pid = ++f->next_pid;
    } while (c->pid == 0 ||
             g_hash_table_contains(f->callers, GUINT_TO_POINTER(c->pid)));
    if (RAND_bytes((unsigned char *)&c->secret, sizeof(c->secret)) != 1) {
        g_error("RAND_bytes() failed: no cancel key can be created");
    }
    g_hash_table_insert(f->callers, GUINT_TO_POINTER(c->pid), c);
}

static void
put_surplus_error(GString *out)
{
    frame_put_error(out, "FATAL", "53300", "too many callers", NULL,
                    "outcome=not_run");
}

/* Refuses a connection without waiting for its caller to read the error, which
   is lost if the start-up packet has arrived. */
static void
refuse_at_once(int fd)
{
    GString *s = g_string_new(NULL);

    put_surplus_error(s);
    const ssize_t sent = send(fd, s->str, s->len, MSG_NOSIGNAL);
    (void)sent;
    g_string_free(s, TRUE);
    close(fd);
}

/* Accepts one connection. Returns false if none is pending. */
static bool
accept_one(struct front *f)
{
    struct sockaddr_storage a = {0};
    socklen_t n = sizeof(a);
    char remote_address[64];
    const int on = 1;
    const int fd = accept4(f->listen_fd, (struct sockaddr *)&a, &n,
                           SOCK_NONBLOCK | SOCK_CLOEXEC);

    if (fd < 0) {
        if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
            LOG_ERROR("accept", NULL, "%s", strerror(errno));
        }
        return false;
    }
    const guint lingering = g_queue_get_length(&f->lingering);
    const bool surplus = g_hash_table_size(f->callers) - lingering >=
                         (guint)f->settings->max_callers;
    if (surplus && lingering >= FRONT_MAX_LINGERING) {
        refuse_at_once(fd);
        return true;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    format_address(&a, remote_address, sizeof(remote_address));
    struct caller *c = caller_create(f, fd, remote_address);
    register_caller(f, c);
    if (surplus) {
        put_surplus_error(c->out);
        c->refused_unheard = true;
        caller_close_after_flush(c);
    }
    return true;
}

/* Accepts up to FRONT_ACCEPTS_PER_EVENT pending connections. */
static void
on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
    (void)loop;
    (void)revents;
    for (int i = 0; i < FRONT_ACCEPTS_PER_EVENT && accept_one(w->data); i++) {
    }
}

/* Closes callers that have been sent everything and have not closed their side
   in time. */
static void
close_lingering(struct front *f, clock_ms now)
{
    struct caller *c;

    while ((c = g_queue_peek_head(&f->lingering)) != NULL &&
           now - c->lingering_since >= FRONT_LINGER_MS) {
        caller_close(c);
    }
}

/* Checks the running exchanges for members that have stopped answering, and
   closes callers that linger. */
static void
on_deadline_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct front *f = w->data;
    const clock_ms now = clock_monotonic_ms();
    GList *next;

    (void)loop;
    (void)revents;
    /* A check ends at most the request that it looks at, and requests started
       meanwhile are appended to the tail, so next stays valid. */
    for (GList *l = f->running.head; l != NULL; l = next) {
        next = l->next;
        exchange_check_deadline(l->data, now);
    }
    close_lingering(f, now);
}

/* Opens the listening socket and starts accepting callers. groups is indexed
   like s->databases and, like s, must outlive the front. On failure returns
   NULL and sets *error to a newly allocated message. */
struct front *
front_create(struct ev_loop *loop, const struct settings *s,
             struct group **groups, char **error)
{
    const int fd = listener_open(s->listen.host, s->listen.port);

    if (fd < 0) {
        *error = g_strdup_printf("listen %s:%u: %s", s->listen.host,
                                 s->listen.port, strerror(errno));
        return NULL;
    }
    struct front *f = g_new0(struct front, 1);
    f->loop = loop;
    f->settings = s;
    f->groups = groups;
    f->listen_fd = fd;
    f->statements = statement_cache_create(
        (size_t)s->cache_entries, (const char *const *)s->read_only_functions);
    f->callers = g_hash_table_new(g_direct_hash, g_direct_equal);
    /* Process ids must differ between proxies, since a cancel request may
       arrive at any of them. */
    f->next_pid = (uint32_t)s->id << 16;
    g_queue_init(&f->running);
    g_queue_init(&f->lingering);
    for (int i = 0; i < s->database_count; i++) {
        retry_budget_init(&f->budgets[i]);
    }
    rng_seed(&f->rng, (uint64_t)clock_monotonic_us() ^ (uint64_t)s->id << 48);
    ev_io_init(&f->accept_watcher, on_accept, fd, EV_READ);
    f->accept_watcher.data = f;
    ev_io_start(loop, &f->accept_watcher);
    ev_timer_init(&f->deadline_timer, on_deadline_timer,
                  FRONT_DEADLINE_CHECK_S, FRONT_DEADLINE_CHECK_S);
    f->deadline_timer.data = f;
    ev_timer_start(loop, &f->deadline_timer);
    return f;
}

static void
close_all_callers(struct front *f)
{
    GList *list = g_hash_table_get_values(f->callers);

    for (GList *l = list; l != NULL; l = l->next) {
        caller_close(l->data);
    }
    g_list_free(list);
}

/* Closes the listening socket and all caller connections without calling the
   drained callback. */
void
front_destroy(struct front *f)
{
    f->drained = NULL;
    close_all_callers(f);
    ev_io_stop(f->loop, &f->accept_watcher);
    ev_timer_stop(f->loop, &f->deadline_timer);
    if (f->listen_fd >= 0) {
        close(f->listen_fd);
    }
    statement_cache_destroy(f->statements);
    g_hash_table_destroy(f->callers);
    g_free(f);
}

/* Returns true if a request of a batch kind is to be refused when draining
   starts: it was never sent, and waiting for a permit could exceed the drain
   limit. */
static bool
is_waiting_batch_request(const struct caller *c)
{
    return c->state == CALLER_QUEUED && !c->message_batch.sent &&
           c->front->settings->kinds[c->kind].class == SETTINGS_CLASS_BATCH;
}

/* Starts a graceful shutdown. New callers are refused; idle callers are
   disconnected, the others at the end of their transaction. Queued requests
   and requests that have arrived are still served, except those of batch kinds
   that wait, which are refused with outcome=not_run. drained() is called when
   the last caller has disconnected, which may be before this function
   returns. */
void
front_drain(struct front *f, void (*drained)(void *ctx), void *ctx)
{
    f->draining = true;
    f->drained = drained;
    f->drained_ctx = ctx;
    ev_io_stop(f->loop, &f->accept_watcher);
    /* Closing the socket resets connections that have not been accepted. */
    for (int i = 0; i < FRONT_DRAIN_ACCEPTS && accept_one(f); i++) {
    }
    close(f->listen_fd);
    f->listen_fd = -1;
    GList *list = g_hash_table_get_values(f->callers);
    for (GList *l = list; l != NULL; l = l->next) {
        struct caller *c = l->data;
        if (is_waiting_batch_request(c)) {
            request_abandon(c);
            caller_count(c, COUNTER_REFUSED_DRAINING);
            request_fail(c, "57P03", "the proxy is shutting down",
                         "outcome=not_run");
        }
        caller_close_if_drained(c);
    }
    if (list == NULL) {
        drained(ctx);
    }
    g_list_free(list);
}

/* Returns true if a running statement may be cancelled at the end of a
   shutdown. A cancelled COMMIT or single write could be acknowledged before
   the replicas have it, so the member is left to finish these. */
static bool
may_cancel(const struct caller *c)
{
    const char status = c->exchange.tx_status;

    return c->state == CALLER_RUNNING && c->request.conn != NULL &&
           !c->message_batch.ends_transaction &&
           (status == 'T' || status == 'E' ||
            c->message_batch.class == STATEMENT_READ);
}

/* Asks the members to cancel the statements that run for callers, so that
   their outcome is known before front_end(). */
void
front_cancel_statements(struct front *f)
{
    for (const GList *l = f->running.head; l != NULL; l = l->next) {
        struct caller *c = l->data;
        if (may_cancel(c)) {
            caller_count(c, COUNTER_CANCELS);
            group_cancel_statement(c->group, c->request.conn);
        }
    }
}

/* Ends one caller at the end of a shutdown. A request that was not sent to a
   member has not run, one that was sent has an unknown outcome, and an open
   transaction is rolled back. */
static void
end_caller(struct caller *c)
{
    if (c->state == CALLER_QUEUED || c->state == CALLER_BACKOFF) {
        request_abandon(c);
        caller_count(c, COUNTER_REFUSED_DRAINING);
        request_fail(c, "57P03", "the proxy is shutting down",
                     c->message_batch.sent ? "outcome=unknown"
                                           : "outcome=not_run");
    }
    else if (c->state == CALLER_RUNNING) {
        upstream_conn_abort(c->request.conn, "the proxy is shutting down");
    }
    else if (c->state == CALLER_READY && c->has_connection) {
        caller_count(c, COUNTER_TRANSACTION_LOST);
        request_abandon(c);
        frame_put_error(c->out, "FATAL", "57P01",
                        "the proxy is shutting down; the transaction was "
                        "rolled back",
                        NULL, "outcome=failed");
        caller_close_after_flush(c);
    }
    else if (c->state != CALLER_CLOSING) {
        frame_put_error(c->out, "FATAL", "57P01", "the proxy is shutting down",
                        NULL, "outcome=not_run");
        caller_close_after_flush(c);
    }
}

/* Ends a shutdown that has reached its limit: answers every request with its
   outcome as far as it is known, and disconnects all callers. Follows
   front_drain(). Waiting requests are refused first, since connections that
   become free would be granted to them. */
void
front_end(struct front *f)
{
    GList *list = g_hash_table_get_values(f->callers);

    f->ending = true;
    for (int waiting = 1; waiting >= 0; waiting--) {
        for (GList *l = list; l != NULL; l = l->next) {
            struct caller *c = l->data;
            const bool waits =
                c->state == CALLER_QUEUED || c->state == CALLER_BACKOFF;
            if (waits == (waiting != 0)) {
                end_caller(c);
            }
        }
    }
    g_list_free(list);
}

/* Returns the number of caller connections. */
guint
front_caller_count(const struct front *f)
{
    return g_hash_table_size(f->callers);
}

const struct counters *
front_counters(const struct front *f)
{
    return &f->counters;
}

/* Sets the callback for cancel requests whose process id and secret belong to
   no caller of this proxy. */
void
front_set_cancel_forwarder(struct front *f,
                           void (*cancel)(void *ctx, uint32_t pid,
                                          uint32_t secret),
                           void *ctx)
{
    f->forward_cancel = cancel;
    f->forward_cancel_ctx = ctx;
}

/* Cancels the request of the caller with this process id. Returns false if
   there is no such caller or the secret does not match. */
bool
front_cancel(struct front *f, uint32_t pid, uint32_t secret)
{
    struct caller *c = g_hash_table_lookup(f->callers, GUINT_TO_POINTER(pid));

    if (c == NULL || c->secret != secret) {
        return false;
    }
    if (c->state == CALLER_QUEUED || c->state == CALLER_BACKOFF) {
        request_abandon(c);
        caller_count(c, COUNTER_CANCELS);
        request_fail(c, "57014", "canceling statement due to user request",
                     c->message_batch.sent ? "outcome=unknown"
                                           : "outcome=not_run");
        if (c->state != CALLER_CLOSING) {
            caller_flush(c);
            /* Requests behind this one may have been read already. */
            ev_feed_event(f->loop, &c->read_watcher, EV_CUSTOM);
        }
    }
    else if (c->state == CALLER_RUNNING) {
        caller_count(c, COUNTER_CANCELS);
        group_cancel_statement(c->group, c->request.conn);
    }
    return true;
}
