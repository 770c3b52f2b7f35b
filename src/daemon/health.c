#include "daemon/health.h"

#include "base/listener.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEALTH_TIMEOUT_S 2.0
#define HEALTH_REQUEST_BYTES 2048

struct health {
    struct ev_loop *loop;
    int fd;
    ev_io io;
    bool serving;
    GList *clients; /* of struct health_client */
};

/* One connection of the balancer. */
struct health_client {
    struct health *health;
    int fd;
    ev_io io;
    ev_timer timer;
};

/* Closes a client's connection and frees its record. */
static void
client_free(void *p)
{
    struct health_client *c = p;

    ev_io_stop(c->health->loop, &c->io);
    ev_timer_stop(c->health->loop, &c->timer);
    close(c->fd);
    g_free(c);
}

/* Ends a client. */
static void
client_close(struct health_client *c)
{
    c->health->clients = g_list_remove(c->health->clients, c);
    client_free(c);
}

/* Answers as soon as something was sent; what was asked does not matter. */
static void
on_request(struct ev_loop *loop, ev_io *w, int revents)
{
    static const char ok[] = "HTTP/1.0 200 OK\r\nContent-Length: 3\r\n"
                             "Connection: close\r\n\r\nok\n";
    static const char draining[] =
        "HTTP/1.0 503 Service Unavailable\r\nContent-Length: 9\r\n"
        "Connection: close\r\n\r\ndraining\n";
    struct health_client *c = w->data;
    char request[HEALTH_REQUEST_BYTES];

    (void)loop;
    (void)revents;
    if (recv(c->fd, request, sizeof(request), 0) > 0) {
        const char *answer = c->health->serving ? ok : draining;
        const ssize_t n = send(c->fd, answer, strlen(answer), MSG_NOSIGNAL);
        (void)n;
    }
    client_close(c);
}

/* Gives up a client that sends nothing. */
static void
on_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)loop;
    (void)revents;
    client_close(w->data);
}

/* Accepts one client. */
static void
on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
    struct health *h = w->data;
    const int fd = accept4(h->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

    (void)revents;
    if (fd < 0) {
        return;
    }
    struct health_client *c = g_new0(struct health_client, 1);
    c->health = h;
    c->fd = fd;
    h->clients = g_list_prepend(h->clients, c);
    ev_io_init(&c->io, on_request, fd, EV_READ);
    ev_timer_init(&c->timer, on_timeout, HEALTH_TIMEOUT_S, 0.0);
    c->io.data = c;
    c->timer.data = c;
    ev_io_start(loop, &c->io);
    ev_timer_start(loop, &c->timer);
}

/* Opens the listening socket. On failure returns NULL and sets error to an
   owned text. */
struct health *
health_create(struct ev_loop *loop, const struct settings_address *a,
              char **error)
{
    const int fd = listener_open(a->host, a->port);

    if (fd < 0) {
        *error = g_strdup_printf("health_listen %s:%u: %s", a->host, a->port,
                                 strerror(errno));
        return NULL;
    }
    struct health *h = g_new0(struct health, 1);
    h->loop = loop;
    h->fd = fd;
    h->serving = true;
    ev_io_init(&h->io, on_accept, fd, EV_READ);
    h->io.data = h;
    ev_io_start(loop, &h->io);
    return h;
}

/* Closes everything; NULL is allowed. */
void
health_destroy(struct health *h)
{
    if (h == NULL) {
        return;
    }
    g_list_free_full(h->clients, client_free);
    ev_io_stop(h->loop, &h->io);
    close(h->fd);
    g_free(h);
}

/* Sets what the balancer is told. */
void
health_set_serving(struct health *h, bool serving)
{
    if (h != NULL) {
        h->serving = serving;
    }
}
