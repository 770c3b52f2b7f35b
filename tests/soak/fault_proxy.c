#include "soak/soak.h"

#include "base/deferred_free.h"
#include "base/listener.h"

#include <sys/socket.h>
#include <unistd.h>

struct relayed_connection {
    struct fault_proxy *proxy;
    struct stream *client; /* connection accepted from the client */
    struct stream *server;
    bool silent; /* forwards nothing any more, in either direction */
    GList link;
};

struct fault_proxy {
    struct ev_loop *loop;
    char *to_host;
    uint16_t to_port;
    int fd;
    ev_io io;
    enum fault fault;
    bool holding; /* FAULT_HOLD keeps bytes */
    void (*held)(void *ctx);
    void *held_ctx;
    struct deferred_free *deferred_free;
    GQueue connections;
};

/* Closes both connections and frees the pair later from the loop. */
static void
connection_close(struct relayed_connection *p)
{
    g_queue_unlink(&p->proxy->connections, &p->link);
    stream_close(p->client);
    stream_close(p->server);
    deferred_free_add(p->proxy->deferred_free, p);
}

/* Forwards received bytes, or drops them while a fault applies. */
static void
forward(struct relayed_connection *p, struct stream *from, struct stream *to,
        bool from_server)
{
    const enum fault f = p->proxy->fault;
    const struct sview in = stream_input(from);

    if (f == FAULT_HOLD && !from_server) {
        if (!p->proxy->holding && in.n > 0) {
            p->proxy->holding = true;
            p->proxy->held(p->proxy->held_ctx);
        }
        return;
    }
    if (p->silent || f == FAULT_SILENT ||
        (from_server && f == FAULT_ONE_WAY)) {
        /* The byte stream has a gap from here on, so nothing more may be
           forwarded even after the fault ends. */
        p->silent = true;
        stream_consume(from, in.n);
        return;
    }
    stream_write(to, in.p, in.n);
    stream_consume(from, in.n);
}

static void
on_client_readable(void *ctx)
{
    struct relayed_connection *p = ctx;

    forward(p, p->client, p->server, false);
}

static void
on_server_readable(void *ctx)
{
    struct relayed_connection *p = ctx;

    forward(p, p->server, p->client, true);
}

static void
on_closed(void *ctx, const char *why)
{
    (void)why;
    connection_close(ctx);
}

static const struct stream_callbacks client_events = {
    .readable = on_client_readable, .closed = on_closed};
static const struct stream_callbacks server_events = {
    .readable = on_server_readable, .closed = on_closed};

/* Accepts a connection and connects to the server. FAULT_REFUSE resets the new
   connection (zero linger time). */
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
    struct relayed_connection *x = g_new0(struct relayed_connection, 1);
    x->proxy = p;
    x->link.data = x;
    x->client = stream_from_fd(loop, fd, &client_events, x);
    x->server =
        stream_connect(loop, p->to_host, p->to_port, &server_events, x);
    g_queue_push_tail_link(&p->connections, &x->link);
    if (x->server == NULL) {
        connection_close(x);
    }
}

/* Starts listening; aborts the soak if the port is in use. */
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
    p->deferred_free = deferred_free_create(loop, g_free);
    g_queue_init(&p->connections);
    ev_io_init(&p->io, on_accept, p->fd, EV_READ);
    p->io.data = p;
    ev_io_start(loop, &p->io);
    return p;
}

/* Closes the listener and all connections. */
void
fault_proxy_destroy(struct fault_proxy *p)
{
    struct relayed_connection *x;

    ev_io_stop(p->loop, &p->io);
    close(p->fd);
    while ((x = g_queue_peek_head(&p->connections)) != NULL) {
        connection_close(x);
    }
    deferred_free_destroy(p->deferred_free);
    g_free(p->to_host);
    g_free(p);
}

/* Sets the fault for open and new connections. A connection that has dropped
   bytes stays silent when the fault ends. */
void
fault_proxy_set_fault(struct fault_proxy *p, enum fault f)
{
    const bool held = p->holding;

    p->fault = f;
    p->holding = false;
    for (GList *l = p->connections.head; held && l != NULL;) {
        GList *next = l->next;
        on_client_readable(l->data);
        l = next;
    }
}

void
fault_proxy_on_held(struct fault_proxy *p, void (*held)(void *ctx), void *ctx)
{
    p->held = held;
    p->held_ctx = ctx;
}

/* Makes all open connections silent until they close; new ones work. */
void
fault_proxy_silence_connections(struct fault_proxy *p)
{
    for (GList *l = p->connections.head; l != NULL; l = l->next) {
        ((struct relayed_connection *)l->data)->silent = true;
    }
}

/* Closes all open connections. */
void
fault_proxy_close_connections(struct fault_proxy *p)
{
    struct relayed_connection *x;

    while ((x = g_queue_peek_head(&p->connections)) != NULL) {
        connection_close(x);
    }
}
