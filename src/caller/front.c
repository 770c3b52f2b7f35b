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
#define FRONT_DEADLINE_CHECK_S 0.05

/* Writes the numeric address of a peer. */
static void
format_peer(const struct sockaddr_storage *a, char *out, size_t size)
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

/* Gives a new caller its process id and secret, by which it can be
   cancelled. */
static void
register_caller(struct front *f, struct caller *c)
{
    do {
        c->pid = ++f->next_pid;
    } while (c->pid == 0 ||
             g_hash_table_contains(f->callers, GUINT_TO_POINTER(c->pid)));
    if (RAND_bytes((unsigned char *)&c->secret, sizeof(c->secret)) != 1) {
        g_error("no random numbers for cancel keys");
    }
    g_hash_table_insert(f->callers, GUINT_TO_POINTER(c->pid), c);
}

/* Accepts one connection. Returns false when none waits. */
static bool
accept_one(struct front *f)
{
    struct sockaddr_storage a = {0};
    socklen_t n = sizeof(a);
    char peer[64];
    const int on = 1;
    const int fd = accept4(f->listen_fd, (struct sockaddr *)&a, &n,
                           SOCK_NONBLOCK | SOCK_CLOEXEC);

    if (fd < 0) {
        if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
            LOG_ERROR("accept", NULL, "%s", strerror(errno));
        }
        return false;
    }
    if (g_hash_table_size(f->callers) >= (guint)f->settings->max_callers) {
        GString *s = g_string_new(NULL);
        frame_put_error(s, "FATAL", "53300", "too many callers", NULL,
                        "outcome=not_run");
        const ssize_t sent = send(fd, s->str, s->len, MSG_NOSIGNAL);
        (void)sent;
        g_string_free(s, TRUE);
        close(fd);
        return true;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    format_peer(&a, peer, sizeof(peer));
    register_caller(f, caller_create(f, fd, peer));
    return true;
}

/* Accepts what waits, a bounded number at a time. */
static void
on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
    (void)loop;
    (void)revents;
    for (int i = 0; i < FRONT_ACCEPTS_PER_EVENT && accept_one(w->data); i++) {
    }
}

/* Looks for exchanges without a sign of life. */
static void
on_deadline_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct front *f = w->data;
    const clock_ms now = clock_now();
    GList *next;

    (void)loop;
    (void)revents;
    /* A check ends at most the request that it looks at, and a request that
       begins meanwhile goes to the tail, so the next link stays valid. */
    for (GList *l = f->running.head; l != NULL; l = next) {
        next = l->next;
        exchange_check_deadline(l->data, now);
    }
}

/* Opens the listening socket and begins to accept callers. groups holds one
   entry for each database, in settings order. On failure returns NULL and
   sets error to an owned text. */
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
    /* Distinct between proxies, since any of them may get the cancel. */
    f->next_pid = (uint32_t)s->id << 16;
    g_queue_init(&f->running);
    for (int i = 0; i < s->database_count; i++) {
        retry_budget_init(&f->budgets[i]);
    }
    rng_seed(&f->rng, (uint64_t)clock_now_us() ^ (uint64_t)s->id << 48);
    ev_io_init(&f->accept_io, on_accept, fd, EV_READ);
    f->accept_io.data = f;
    ev_io_start(loop, &f->accept_io);
    ev_timer_init(&f->deadline_timer, on_deadline_timer,
                  FRONT_DEADLINE_CHECK_S, FRONT_DEADLINE_CHECK_S);
    f->deadline_timer.data = f;
    ev_timer_start(loop, &f->deadline_timer);
    return f;
}

/* Closes every caller's connection. */
static void
close_all_callers(struct front *f)
{
    GList *list = g_hash_table_get_values(f->callers);

    for (GList *l = list; l != NULL; l = l->next) {
        caller_close(l->data);
    }
    g_list_free(list);
}

/* Closes the listening socket and every caller. */
void
front_destroy(struct front *f)
{
    f->drained = NULL;
    close_all_callers(f);
    ev_io_stop(f->loop, &f->accept_io);
    ev_timer_stop(f->loop, &f->deadline_timer);
    if (f->listen_fd >= 0) {
        close(f->listen_fd);
    }
    statement_cache_destroy(f->statements);
    g_hash_table_destroy(f->callers);
    g_free(f);
}

/* Tells whether a queued batch may be refused at a shutdown: it was never
   sent, and its wait for a permit could outlast the drain limit. */
static bool
is_waiting_batch(const struct caller *c)
{
    return c->state == CALLER_QUEUED && !c->batch.sent &&
           c->front->settings->kinds[c->kind].class == SETTINGS_CLASS_BATCH;
}

/* Begins a graceful shutdown: no new callers, idle callers are closed between
   transactions, the others when theirs ends. Short requests that wait are
   served; batches that wait are told that they were not run. drained() is
   called when nobody is left. */
void
front_drain(struct front *f, void (*drained)(void *ctx), void *ctx)
{
    f->draining = true;
    f->drained = drained;
    f->drained_ctx = ctx;
    ev_io_stop(f->loop, &f->accept_io);
    close(f->listen_fd);
    f->listen_fd = -1;
    GList *list = g_hash_table_get_values(f->callers);
    for (GList *l = list; l != NULL; l = l->next) {
        struct caller *c = l->data;
        if (is_waiting_batch(c)) {
            request_abandon(c);
            caller_count(c, COUNTER_REFUSED_DRAINING);
            request_fail(c, "57P03", "the proxy is shutting down",
                         "outcome=not_run");
        }
        if (c->state == CALLER_STARTUP ||
            (c->state == CALLER_READY && !c->has_connection &&
             caller_input(c).n == 0)) {
            frame_put_error(c->out, "FATAL", "57P01",
                            "the proxy is shutting down", NULL,
                            "outcome=not_run");
            caller_close_after_flush(c);
        }
    }
    if (list == NULL) {
        drained(ctx);
    }
    g_list_free(list);
}

/* Returns the number of open caller connections. */
guint
front_caller_count(const struct front *f)
{
    return g_hash_table_size(f->callers);
}

/* Returns the counters of all databases and kinds. */
const struct counters *
front_counters(const struct front *f)
{
    return &f->counters;
}

/* Registers who is told of cancel requests for callers of other proxies. */
void
front_set_foreign_cancel(struct front *f,
                         void (*cancel)(void *ctx, uint32_t pid,
                                        uint32_t secret),
                         void *ctx)
{
    f->forward_cancel = cancel;
    f->forward_cancel_ctx = ctx;
}

/* Cancels what a caller runs, when the secret is right. Returns false when
   this proxy has no such caller. */
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
                     c->batch.sent ? "outcome=unknown" : "outcome=not_run");
        caller_flush(c);
    }
    else if (c->state == CALLER_RUNNING) {
        caller_count(c, COUNTER_CANCELS);
        group_cancel_statement(c->group, c->request.conn);
    }
    return true;
}
