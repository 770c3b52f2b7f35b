#include "load/flow.h"

#include "base/clock.h"

#define LOG_MODULE "flow"
#include "base/log.h"

#include <math.h>
#include <sys/timerfd.h>
#include <unistd.h>

#define FLOW_CONNECT_LIMIT_S 20.0
/* Above the deadlines of short kinds. Statements that are not answered by then
   count as not served. */
#define FLOW_SETTLE_LIMIT_S 3.5
#define FLOW_RECONNECT_S 0.05
#define FLOW_STEP_S 0.01

/* One connection of the flow. */
struct flow_client {
    struct flow *flow;
    struct client client;
    const char *address;
    ev_timer reconnect;
    int64_t intended_us;
    bool counted; /* the statement was intended in the window */
};

/* A statement that waits for a free connection. */
struct arrival {
    int64_t intended_us;
    bool counted;
};

struct flow {
    struct ev_loop *loop;
    struct flow_options options;
    struct rng rng;
    struct flow_client *clients;
    GQueue idle;     /* of struct flow_client */
    GArray *backlog; /* of struct arrival */
    guint backlog_head;
    int timer_fd; /* finer than the loop's timers of 1 ms */
    ev_io timer;
    int64_t started_us;
    double next_us;
    bool running;
    bool window;
    GString *sql;
    struct flow_counts counts;
    struct samples latencies;
};

/* Sends a statement on an idle connection. */
static void
send_on(struct flow_client *k, struct arrival a)
{
    struct flow *f = k->flow;

    k->intended_us = a.intended_us;
    k->counted = a.counted;
    g_string_truncate(f->sql, 0);
    f->options.statement(f->options.ctx, &f->rng, f->sql);
    client_send(&k->client, f->sql->str);
}

/* Notes a statement that is meant to start now. */
static struct arrival
arrive(struct flow *f, int64_t intended_us)
{
    if (f->window) {
        f->counts.offered++;
    }
    return (struct arrival){.intended_us = intended_us, .counted = f->window};
}

/* Gives an idle connection its next statement, or lets it wait. */
static void
next_on(struct flow_client *k)
{
    struct flow *f = k->flow;

    if (f->running && f->options.rate == NULL) {
        send_on(k, arrive(f, clock_now_us()));
        return;
    }
    if (f->backlog_head < f->backlog->len) {
        send_on(k, g_array_index(f->backlog, struct arrival, f->backlog_head));
        f->backlog_head++;
        return;
    }
    g_array_set_size(f->backlog, 0);
    f->backlog_head = 0;
    g_queue_push_tail(&f->idle, k);
}

/* Sets the timer to the next intended time. */
static void
arm(struct flow *f)
{
    const int64_t us = MAX((int64_t)f->next_us - clock_now_us(), 1);
    const struct itimerspec t = {
        .it_value = {.tv_sec = us / 1000000, .tv_nsec = us % 1000000 * 1000},
    };

    timerfd_settime(f->timer_fd, 0, &t, NULL);
}

/* Draws the time to the next arrival at the highest rate; arrivals at a lower
   rate are thinned out of these. */
static void
draw_next(struct flow *f)
{
    const double u =
        ((double)(rng_next(&f->rng) >> 11) + 1.0) / (double)(1ULL << 53);

    f->next_us += -log(u) * 1e6 / f->options.peak_rate;
}

/* Starts the statements whose time has come. */
static void
on_timer(struct ev_loop *loop, ev_io *w, int revents)
{
    struct flow *f = w->data;
    const struct flow_options *o = &f->options;
    uint64_t expirations;

    (void)loop;
    (void)revents;
    if (read(f->timer_fd, &expirations, sizeof(expirations)) < 0 ||
        !f->running) {
        return;
    }
    const double now = (double)clock_now_us();
    while (f->next_us <= now) {
        const double at = (f->next_us - (double)f->started_us) / 1e6;
        const double draw =
            (double)rng_below(&f->rng, 1000000) / 1e6 * o->peak_rate;
        if (draw < o->rate(o->ctx, at)) {
            const struct arrival a = arrive(f, (int64_t)f->next_us);
            struct flow_client *k = g_queue_pop_head(&f->idle);
            if (k != NULL) {
                send_on(k, a);
            }
            else {
                g_array_append_val(f->backlog, a);
            }
        }
        draw_next(f);
    }
    arm(f);
}

/* Opens a connection of the flow. */
static void
open_client(struct flow_client *k)
{
    const struct flow_options *o = &k->flow->options;
    const struct client_target t = {
        .address = k->address,
        .database = o->database,
        .user = o->user,
        .kind = o->kind,
        .token = o->kind == NULL ? NULL : "none",
    };

    client_connect(&k->client, &t);
}

/* Tries again after a pause. */
static void
on_reconnect(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct flow_client *k = w->data;

    (void)loop;
    (void)revents;
    open_client(k);
}

/* Reconnects after a pause. */
static void
reconnect_later(struct flow_client *k)
{
    ev_timer_stop(k->flow->loop, &k->reconnect);
    ev_timer_set(&k->reconnect, FLOW_RECONNECT_S, 0.0);
    ev_timer_start(k->flow->loop, &k->reconnect);
}

/* A connection is open. */
static void
on_connected(void *ctx, bool ok)
{
    struct flow_client *k = ctx;

    if (!ok) {
        reconnect_later(k);
        return;
    }
    next_on(k);
}

/* An idle connection was closed. */
static void
on_closed(void *ctx)
{
    struct flow_client *k = ctx;

    g_queue_remove(&k->flow->idle, k);
    reconnect_later(k);
}

/* Counts an outcome. */
static void
count(struct flow *f, enum client_outcome outcome)
{
    switch (outcome) {
    case CLIENT_ACKED:
        f->counts.acked++;
        return;
    case CLIENT_NOT_RUN:
        f->counts.not_run++;
        return;
    case CLIENT_FAILED:
        f->counts.failed++;
        return;
    case CLIENT_UNKNOWN:
        f->counts.unknown++;
        return;
    }
}

/* A statement was answered. */
static void
on_done(void *ctx, const struct client_answer *a)
{
    struct flow_client *k = ctx;
    struct flow *f = k->flow;
    const int64_t now = clock_now_us();

    if (a->outcome == CLIENT_ACKED) {
        f->counts.finished_in_window += f->window;
        if (f->options.acked != NULL) {
            f->options.acked(f->options.ctx, k->intended_us, now);
        }
        if (k->counted) {
            samples_add(&f->latencies, now - k->intended_us);
        }
    }
    if (k->counted) {
        count(f, a->outcome);
    }
    if (a->lost) {
        reconnect_later(k);
        return;
    }
    next_on(k);
}

static const struct client_callbacks callbacks = {
    .connected = on_connected,
    .done = on_done,
    .closed = on_closed,
};

/* Creates a flow and begins to open its connections. */
struct flow *
flow_create(struct ev_loop *loop, const struct flow_options *o)
{
    struct flow *f = g_new0(struct flow, 1);
    const int n = (int)g_strv_length((char **)o->addresses);

    g_assert(n > 0);
    f->loop = loop;
    f->options = *o;
    rng_seed(&f->rng, o->seed);
    g_queue_init(&f->idle);
    f->backlog = g_array_new(FALSE, FALSE, sizeof(struct arrival));
    f->sql = g_string_new(NULL);
    samples_init(&f->latencies);
    f->timer_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    ev_io_init(&f->timer, on_timer, f->timer_fd, EV_READ);
    f->timer.data = f;
    ev_io_start(loop, &f->timer);
    f->clients = g_new0(struct flow_client, o->connections);
    for (int i = 0; i < o->connections; i++) {
        struct flow_client *k = &f->clients[i];
        k->flow = f;
        k->address = o->addresses[i % n];
        ev_timer_init(&k->reconnect, on_reconnect, 0.0, 0.0);
        k->reconnect.data = k;
        client_init(&k->client, loop, &callbacks, k);
        open_client(k);
    }
    return f;
}

/* Closes the connections and frees the flow. */
void
flow_destroy(struct flow *f)
{
    for (int i = 0; i < f->options.connections; i++) {
        ev_timer_stop(f->loop, &f->clients[i].reconnect);
        client_close(&f->clients[i].client);
    }
    ev_io_stop(f->loop, &f->timer);
    close(f->timer_fd);
    g_queue_clear(&f->idle);
    g_array_free(f->backlog, TRUE);
    g_string_free(f->sql, TRUE);
    samples_clear(&f->latencies);
    g_free(f->clients);
    g_free(f);
}

/* Tells whether every connection is open and idle. */
bool
flow_is_connected(const struct flow *f)
{
    return g_queue_get_length((GQueue *)&f->idle) ==
           (guint)f->options.connections;
}

/* Begins to send. */
void
flow_start(struct flow *f)
{
    f->running = true;
    f->started_us = clock_now_us();
    f->next_us = (double)f->started_us;
    if (f->options.rate != NULL) {
        draw_next(f);
        arm(f);
        return;
    }
    struct flow_client *k;
    while ((k = g_queue_pop_head(&f->idle)) != NULL) {
        next_on(k);
    }
}

/* Stops to send; what was intended before is still sent. */
void
flow_stop(struct flow *f)
{
    f->running = false;
}

/* Tells whether every statement was answered. */
bool
flow_is_settled(const struct flow *f)
{
    return flow_is_connected(f) && f->backlog_head == f->backlog->len;
}

/* Begins to count, from zero. */
void
flow_open_window(struct flow *f)
{
    f->counts = (struct flow_counts){0};
    g_array_set_size(f->latencies.values, 0);
    for (int i = 0; i < f->options.connections; i++) {
        f->clients[i].counted = false;
    }
    f->window = true;
}

/* Ends the window; its outstanding statements are still counted. */
void
flow_close_window(struct flow *f)
{
    f->window = false;
}

/* Returns the window's counts. */
const struct flow_counts *
flow_counts(const struct flow *f)
{
    return &f->counts;
}

/* Returns the latencies of the window's acknowledged statements, measured
   from the intended send time. */
struct samples *
flow_latencies(struct flow *f)
{
    return &f->latencies;
}

/* Ends a wait. */
static void
on_wait_over(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)w;
    (void)revents;
    ev_break(loop, EVBREAK_ONE);
}

/* Runs the loop for a time. */
void
flow_wait(struct ev_loop *loop, double seconds)
{
    ev_timer t;

    ev_now_update(loop);
    ev_timer_init(&t, on_wait_over, seconds, 0.0);
    ev_timer_start(loop, &t);
    ev_run(loop, 0);
    ev_timer_stop(loop, &t);
}

/* Returns the time that lies seconds ahead. */
int64_t
flow_deadline(double seconds)
{
    return clock_now_us() + (int64_t)(seconds * 1e6);
}

/* Runs the loop until the flow's connections are open. */
bool
flow_wait_connected(struct ev_loop *loop, struct flow *f)
{
    const int64_t deadline = flow_deadline(FLOW_CONNECT_LIMIT_S);

    while (!flow_is_connected(f)) {
        if (clock_now_us() > deadline) {
            LOG_ERROR("connect", f->options.addresses[0],
                      "%u of %d connections are open",
                      g_queue_get_length(&f->idle), f->options.connections);
            return false;
        }
        flow_wait(loop, FLOW_STEP_S);
    }
    return true;
}

/* Stops the flow and waits for its answers, for a bounded time. */
void
flow_wait_settled(struct ev_loop *loop, struct flow *f)
{
    const int64_t deadline = flow_deadline(FLOW_SETTLE_LIMIT_S);

    flow_stop(f);
    while (!flow_is_settled(f) && clock_now_us() < deadline) {
        flow_wait(loop, FLOW_STEP_S);
    }
}
