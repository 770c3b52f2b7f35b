#include "base/http_server.h"

#include "base/acceptor.h"
#include "base/listener.h"
#include "base/stream.h"

#include <errno.h>
#include <string.h>

#define REQUEST_MAX_BYTES 8192
/* A client that does not read its responses is disconnected. */
#define UNSENT_MAX_BYTES ((size_t)1 << 20)
/* Load balancers probe once a second, metrics scrapers every few seconds. */
#define IDLE_TIMEOUT_S 30.0

struct http_server {
    struct ev_loop *loop;
    struct acceptor *acceptor;
    http_handler_fn handler;
    void *ctx;
    GQueue clients; /* of struct http_client */
};

struct http_client {
    struct http_server *http;
    struct stream *stream;
    ev_timer idle_timer;
    GList link;
};

static void
client_close(struct http_client *c)
{
    g_queue_unlink(&c->http->clients, &c->link);
    ev_timer_stop(c->http->loop, &c->idle_timer);
    stream_close(c->stream);
    g_free(c);
}

static void
on_idle_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)loop;
    (void)revents;
    client_close(w->data);
}

static void
respond(struct http_client *c, const char *path)
{
    GString *body = g_string_new(NULL);
    GString *out = g_string_new(NULL);
    const int status = c->http->handler(c->http->ctx, path, body);

    g_string_printf(out,
                    "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    status,
                    status == 200   ? "OK"
                    : status == 400 ? "Bad Request"
                    : status == 404 ? "Not Found"
                                    : "Service Unavailable",
                    body->len);
    g_string_append_len(out, body->str, (gssize)body->len);
    stream_write(c->stream, out->str, out->len);
    g_string_free(out, TRUE);
    g_string_free(body, TRUE);
}

/* Answers all requests whose headers have been received completely. */
static void
on_readable(void *ctx)
{
    struct http_client *c = ctx;

    ev_timer_again(c->http->loop, &c->idle_timer);
    for (;;) {
        const struct sview in = stream_input(c->stream);
        const char *end = memmem(in.p, in.n, "\r\n\r\n", 4);
        if (end == NULL) {
            if (in.n > REQUEST_MAX_BYTES) {
                client_close(c);
            }
            return;
        }
        char *head = g_strndup(in.p, (gsize)(end - in.p));
        char **words = g_strsplit_set(head, " \r", 3);
        stream_consume(c->stream, (size_t)(end - in.p) + 4);
        respond(c, g_strv_length(words) > 1 ? words[1] : "");
        g_strfreev(words);
        g_free(head);
        if (stream_unsent(c->stream) > UNSENT_MAX_BYTES) {
            client_close(c);
            return;
        }
    }
}

static void
on_closed(void *ctx, const char *why)
{
    (void)why;
    client_close(ctx);
}

static const struct stream_callbacks stream_callbacks = {
    .readable = on_readable,
    .closed = on_closed,
};

static void
on_accepted(void *ctx, int fd)
{
    struct http_server *h = ctx;
    struct http_client *c = g_new0(struct http_client, 1);

    c->http = h;
    c->stream = stream_from_fd(h->loop, fd, &stream_callbacks, c);
    c->link.data = c;
    ev_timer_init(&c->idle_timer, on_idle_timeout, IDLE_TIMEOUT_S,
                  IDLE_TIMEOUT_S);
    c->idle_timer.data = c;
    ev_timer_start(h->loop, &c->idle_timer);
    g_queue_push_tail_link(&h->clients, &c->link);
}

/* Starts to listen on a numeric address. handler is called with ctx for each
   request. On failure returns NULL and sets *error, which the caller frees
   with g_free(). */
struct http_server *
http_server_create(struct ev_loop *loop, const char *host, uint16_t port,
                   http_handler_fn handler, void *ctx, char **error)
{
    const int fd = listener_open(host, port);

    if (fd < 0) {
        *error =
            g_strdup_printf("listen %s:%u: %s", host, port, g_strerror(errno));
        return NULL;
    }
    struct http_server *h = g_new0(struct http_server, 1);
    h->loop = loop;
    h->handler = handler;
    h->ctx = ctx;
    g_queue_init(&h->clients);
    h->acceptor = acceptor_create(loop, fd, "http", on_accepted, h);
    return h;
}

/* Closes the listening socket and all connections. NULL is allowed. */
void
http_server_destroy(struct http_server *h)
{
    if (h == NULL) {
        return;
    }
    acceptor_destroy(h->acceptor);
    struct http_client *c;
    while ((c = g_queue_peek_head(&h->clients)) != NULL) {
        client_close(c);
    }
    g_free(h);
}
