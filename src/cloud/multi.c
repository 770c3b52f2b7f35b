#include "cloud/multi.h"

#include <glib.h>

/* Idle connections kept for reuse: the three services. */
#define IDLE_CONNECTIONS 8L

struct cloud_multi {
    struct ev_loop *loop;
    CURLM *handle;
    ev_timer timer;
    cloud_multi_fn ended;
    void *ctx;
};

/* Hands ended transfers to the owner. */
static void
report_ended(struct cloud_multi *m)
{
    const CURLMsg *msg;
    int left = 0;

    while ((msg = curl_multi_info_read(m->handle, &left)) != NULL) {
        if (msg->msg == CURLMSG_DONE) {
            m->ended(m->ctx, msg->easy_handle, msg->data.result);
        }
    }
}

/* Tells libcurl that a socket is ready. */
static void
on_io(struct ev_loop *loop, ev_io *io, int events)
{
    struct cloud_multi *m = io->data;
    int running = 0;
    int mask = (events & EV_READ ? CURL_CSELECT_IN : 0) |
               (events & EV_WRITE ? CURL_CSELECT_OUT : 0);

    (void)loop;
    curl_multi_socket_action(m->handle, io->fd, mask, &running);
    report_ended(m);
}

/* Tells libcurl that its time is up. */
static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct cloud_multi *m = timer->data;
    int running = 0;

    (void)loop;
    (void)events;
    curl_multi_socket_action(m->handle, CURL_SOCKET_TIMEOUT, 0, &running);
    report_ended(m);
}

/* Starts, changes or stops the watcher of a socket. */
static int
watch_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *watcher)
{
    struct cloud_multi *m = ctx;
    ev_io *io = watcher;

    (void)easy;
    if (io) {
        ev_io_stop(m->loop, io);
    }
    if (what == CURL_POLL_REMOVE) {
        g_free(io);
        curl_multi_assign(m->handle, fd, NULL);
        return 0;
    }
    if (!io) {
        io = g_new0(ev_io, 1);
        curl_multi_assign(m->handle, fd, io);
    }
    ev_io_init(io, on_io, fd,
               (what & CURL_POLL_IN ? EV_READ : 0) |
                   (what & CURL_POLL_OUT ? EV_WRITE : 0));
    io->data = m;
    ev_io_start(m->loop, io);
    return 0;
}

/* Sets the timer that libcurl asks for; -1 stops it. */
static int
set_timer(CURLM *handle, long timeout_ms, void *ctx)
{
    struct cloud_multi *m = ctx;

    (void)handle;
    ev_timer_stop(m->loop, &m->timer);
    if (timeout_ms >= 0) {
        ev_timer_set(&m->timer, (double)timeout_ms / 1000.0, 0.);
        ev_timer_start(m->loop, &m->timer);
    }
    return 0;
}

/* Creates a multi handle on loop. */
struct cloud_multi *
cloud_multi_new(struct ev_loop *loop, cloud_multi_fn ended, void *ctx)
{
    struct cloud_multi *m = g_new0(struct cloud_multi, 1);

    m->loop = loop;
    m->ended = ended;
    m->ctx = ctx;
    m->handle = curl_multi_init();
    ev_timer_init(&m->timer, on_timer, 0., 0.);
    m->timer.data = m;
    curl_multi_setopt(m->handle, CURLMOPT_SOCKETFUNCTION, watch_socket);
    curl_multi_setopt(m->handle, CURLMOPT_SOCKETDATA, m);
    curl_multi_setopt(m->handle, CURLMOPT_TIMERFUNCTION, set_timer);
    curl_multi_setopt(m->handle, CURLMOPT_TIMERDATA, m);
    curl_multi_setopt(m->handle, CURLMOPT_MAXCONNECTS, IDLE_CONNECTIONS);
    return m;
}

/* Frees the handle. All easy handles were removed before. */
void
cloud_multi_free(struct cloud_multi *m)
{
    curl_multi_cleanup(m->handle);
    ev_timer_stop(m->loop, &m->timer);
    g_free(m);
}

/* Starts a transfer. */
void
cloud_multi_add(struct cloud_multi *m, CURL *easy)
{
    curl_multi_add_handle(m->handle, easy);
}

/* Ends a transfer at once. */
void
cloud_multi_remove(struct cloud_multi *m, CURL *easy)
{
    curl_multi_remove_handle(m->handle, easy);
}
