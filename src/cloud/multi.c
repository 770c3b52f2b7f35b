#include "cloud/multi.h"

#include <glib.h>

/* Idle connections that are kept for reuse, for the three services. */
#define MAX_IDLE_CONNECTIONS 8L

struct cloud_multi {
    struct ev_loop *loop;
    CURLM *handle;
    ev_timer timer;
    cloud_multi_done_fn done;
    void *ctx;
};

static void
report_done_transfers(struct cloud_multi *m)
{
    const CURLMsg *msg;
    int left = 0;

    while ((msg = curl_multi_info_read(m->handle, &left)) != NULL) {
        if (msg->msg == CURLMSG_DONE) {
            m->done(m->ctx, msg->easy_handle, msg->data.result);
        }
    }
}

/* Passes socket readiness to libcurl. */
static void
on_io(struct ev_loop *loop, ev_io *io, int events)
{
    struct cloud_multi *m = io->data;
    int running = 0;
    int mask = (events & EV_READ ? CURL_CSELECT_IN : 0) |
               (events & EV_WRITE ? CURL_CSELECT_OUT : 0);

    (void)loop;
    curl_multi_socket_action(m->handle, io->fd, mask, &running);
    report_done_transfers(m);
}

/* Passes the timeout that libcurl requested. */
static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct cloud_multi *m = timer->data;
    int running = 0;

    (void)loop;
    (void)events;
    curl_multi_socket_action(m->handle, CURL_SOCKET_TIMEOUT, 0, &running);
    report_done_transfers(m);
}

/* CURLMOPT_SOCKETFUNCTION: starts, changes or stops the watcher of a
   socket. */
static int
update_socket_watcher(CURL *easy, curl_socket_t fd, int what, void *ctx,
                      void *watcher)
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

/* CURLMOPT_TIMERFUNCTION: a timeout_ms of -1 stops the timer. */
static int
update_timer(CURLM *handle, long timeout_ms, void *ctx)
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

struct cloud_multi *
cloud_multi_create(struct ev_loop *loop, cloud_multi_done_fn done, void *ctx)
{
    struct cloud_multi *m = g_new0(struct cloud_multi, 1);

    m->loop = loop;
    m->done = done;
    m->ctx = ctx;
    m->handle = curl_multi_init();
    ev_timer_init(&m->timer, on_timer, 0., 0.);
    m->timer.data = m;
    curl_multi_setopt(m->handle, CURLMOPT_SOCKETFUNCTION,
                      update_socket_watcher);
    curl_multi_setopt(m->handle, CURLMOPT_SOCKETDATA, m);
    curl_multi_setopt(m->handle, CURLMOPT_TIMERFUNCTION, update_timer);
    curl_multi_setopt(m->handle, CURLMOPT_TIMERDATA, m);
    curl_multi_setopt(m->handle, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
    return m;
}

/* All easy handles must have been removed. */
void
cloud_multi_destroy(struct cloud_multi *m)
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

/* Aborts a transfer that is still running. */
void
cloud_multi_remove(struct cloud_multi *m, CURL *easy)
{
    curl_multi_remove_handle(m->handle, easy);
}
