#include "base/acceptor.h"

#include "base/event_log.h"

#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

/* Pause after a failure that would repeat at once, such as the lack of a free
   descriptor: the connection stays in the queue, and the socket readable. */
#define RETRY_DELAY_S 0.1

struct acceptor {
    struct ev_loop *loop;
    int fd;
    const char *name;
    ev_io io;
    ev_timer retry_timer;
    bool failing;
    acceptor_fn accepted;
    void *ctx;
};

static void
pause_accepting(struct acceptor *a, int error)
{
    if (!a->failing) {
        event_log(EVENT_STATE, "accept_failed", "listener=%s why=\"%s\"",
                  a->name, g_strerror(error));
    }
    a->failing = true;
    ev_io_stop(a->loop, &a->io);
    ev_timer_set(&a->retry_timer, RETRY_DELAY_S, 0.0);
    ev_timer_start(a->loop, &a->retry_timer);
}

static void
on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
    struct acceptor *a = w->data;

    (void)loop;
    (void)revents;
    for (;;) {
        const int fd =
            accept4(a->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            a->failing = false;
            a->accepted(a->ctx, fd);
        }
        else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return;
        }
        else if (errno != EINTR && errno != ECONNABORTED) {
            pause_accepting(a, errno);
            return;
        }
    }
}

static void
on_retry_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct acceptor *a = w->data;

    (void)revents;
    ev_io_start(loop, &a->io);
}

/* Starts to accept. The acceptor owns listen_fd; name, a literal, tells the
   listener apart in logs. accepted must not destroy the acceptor. */
struct acceptor *
acceptor_create(struct ev_loop *loop, int listen_fd, const char *name,
                acceptor_fn accepted, void *ctx)
{
    struct acceptor *a = g_new0(struct acceptor, 1);

    a->loop = loop;
    a->fd = listen_fd;
    a->name = name;
    a->accepted = accepted;
    a->ctx = ctx;
    ev_io_init(&a->io, on_readable, listen_fd, EV_READ);
    a->io.data = a;
    ev_timer_init(&a->retry_timer, on_retry_timer, RETRY_DELAY_S, 0.0);
    a->retry_timer.data = a;
    ev_io_start(loop, &a->io);
    return a;
}

/* Closes the listening socket. NULL is allowed. */
void
acceptor_destroy(struct acceptor *a)
{
    if (a == NULL) {
        return;
    }
    ev_io_stop(a->loop, &a->io);
    ev_timer_stop(a->loop, &a->retry_timer);
    close(a->fd);
    g_free(a);
}
