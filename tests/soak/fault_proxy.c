#include "soak/soak.h"

#include "base/listener.h"
#include "base/reaper.h"

#include <sys/socket.h>
#include <unistd.h>

struct pair {
    struct fault_proxy *proxy;
    struct stream *near; /* the side that connected */
    struct stream *far;
    bool silent; /* passes nothing on any more, in both directions */
    GList link;
};

struct fault_proxy {
    struct ev_loop *loop;
    char *to_host;
    uint16_t to_port;
    int fd;
    ev_io io;
    enum fault fault;
    struct reaper *reaper;
    GQueue pairs;
};

/* Ends both sides. */
static void
pair_close(struct pair *p)
{
    g_queue_unlink(&p->proxy->pairs, &p->link);
    stream_close(p->near);
    stream_close(p->far);
    reaper_add(p->proxy->reaper, p);
}

/* Passes bytes on, unless a fault holds them up. */
static void
pass(struct pair *p, struct stream *from, struct stream *to, bool back)
{
    const enum fault f = p->proxy->fault;
    const struct sview in = stream_input(from);

    if (p->silent || f == FAULT_SILENT || (back && f == FAULT_ONE_WAY)) {
        /* A connection that has lost bytes never delivers again. */
        p->silent = true;
        stream_consume(from, in.n);
        return;
    }
    stream_write(to, in.p, in.n);
    stream_consume(from, in.n);
}

/* The near side sent something. */
static void
near_readable(void *ctx)
{
    struct pair *p = ctx;

    pass(p, p->near, p->far, false);
}

/* The far side sent something. */
static void
far_readable(void *ctx)
{
    struct pair *p = ctx;

    pass(p, p->far, p->near, true);
}

/* One side ended; a silent connection does not show it. */
static void
on_closed(void *ctx, const char *why)
{
    (void)why;
    pair_close(ctx);
}

static const struct stream_events near_events = {.readable = near_readable,
                                                 .closed = on_closed};
static const struct stream_events far_events = {.readable = far_readable,
                                                .closed = on_closed};

/* Accepts connections and opens the other sides. */
static void
on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
    struct fault_proxy *p = w->data;
    const int fd = accept4(p->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

    (void)revents;
    if (fd < 0) {
        return;
    }
    if (p->fault == FAULT_REFUSE) {
        const struct linger now = {.l_onoff = 1};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close(fd);
        return;
    }
    struct pair *x = g_new0(struct pair, 1);
    x->proxy = p;
    x->link.data = x;
    x->near = stream_accepted(loop, fd, &near_events, x);
    x->far = stream_connect(loop, p->to_host, p->to_port, &far_events, x);
    g_queue_push_tail_link(&p->pairs, &x->link);
    if (x->far == NULL) {
        pair_close(x);
    }
}

/* Opens the proxy; a port that is taken ends the soak. */
struct fault_proxy *
fault_proxy_create(struct ev_loop *loop, const char *host, uint16_t port,
                   const char *to_host, uint16_t to_port)
{
    struct fault_proxy *p = g_new0(struct fault_proxy, 1);

    p->loop = loop;
    p->to_host = g_strdup(to_host);
    p->to_port = to_port;
    p->fd = listener_open(host, port);
    if (p->fd < 0) {
        g_error("proxy %s:%u cannot listen", host, port);
    }
    p->reaper = reaper_create(loop, g_free);
    g_queue_init(&p->pairs);
    ev_io_init(&p->io, on_accept, p->fd, EV_READ);
    p->io.data = p;
    ev_io_start(loop, &p->io);
    return p;
}

/* Closes everything. */
void
fault_proxy_destroy(struct fault_proxy *p)
{
    struct pair *x;

    ev_io_stop(p->loop, &p->io);
    close(p->fd);
    while ((x = g_queue_peek_head(&p->pairs)) != NULL) {
        pair_close(x);
    }
    reaper_destroy(p->reaper);
    g_free(p->to_host);
    g_free(p);
}

/* Sets the fault for open and new connections. */
void
fault_proxy_set(struct fault_proxy *p, enum fault f)
{
    p->fault = f;
}

/* Silences the connections that are open now for good; new ones work. */
void
fault_proxy_silence_open(struct fault_proxy *p)
{
    for (GList *l = p->pairs.head; l != NULL; l = l->next) {
        ((struct pair *)l->data)->silent = true;
    }
}

/* Ends the connections that are open now. */
void
fault_proxy_reset_open(struct fault_proxy *p)
{
    struct pair *x;

    while ((x = g_queue_peek_head(&p->pairs)) != NULL) {
        pair_close(x);
    }
}
