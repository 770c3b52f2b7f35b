#include "load/flow.h"

#include "base/clock.h"

#define LOG_MODULE "flow"
#include "base/log.h"

#include <math.h>
#include <sys/timerfd.h>
#include <unistd.h>

#define FLOW_CONNECT_LIMIT_S 20.0
/* Longer than the deadlines of short caller kinds. Statements that are not
   answered by then count as not served. */
#define FLOW_DRAIN_LIMIT_S 3.5
#define FLOW_RECONNECT_S 0.05
#define FLOW_STEP_S 0.01

/* One connection of the flow. */
struct flow_client {
    struct flow *flow;
    struct client client;
    const char *address;
    ev_timer reconnect;
    int64_t intended_us;
    bool in_window; /* the intended send time is in the window */
};

/* A statement that is due, and waits for a free connection in an open loop. */
struct arrival {
    int64_t intended_us;
    bool in_window;
};

struct flow {
    struct ev_loop *loop;
    struct flow_options options;
    struct rng rng;
    struct flow_client *clients;
    GQueue idle;     /* of struct flow_client */
    GArray *backlog; /* of struct arrival */
    guint backlog_head;
    int timer_fd; /* more precise than libev's timers (1 ms) */
    ev_io timer;
    int64_t started_us;
    double next_arrival_us;
    bool running;
    bool window_is_open;
    GString *sql;
    struct flow_counts counts;
    struct durations latencies;
};

/* Sends a statement on an idle connection. Its latency counts from the
   intended send time, so that waiting for a connection is included. */
static void
send_arrival(struct flow_client *k, struct arrival a)
{
    struct flow *f = k->flow;

    k->intended_us = a.intended_us;
    k->in_window = a.in_window;
    g_string_truncate(f->sql, 0);
    f->options.statement(f->options.ctx, &f->rng, f->sql);
    client_send(&k->client, f->sql->str);
}

/* Counts a statement that is due now. */
static struct arrival
record_arrival(struct flow *f, int64_t intended_us)
{
    if (f->window_is_open) {
        f->counts.offered++;
    }
    return (struct arrival){.intended_us = intended_us,
                            .in_window = f->window_is_open};
}

/* Sends the next statement on an idle connection, if one is due. */
static void
send_next(struct flow_client *k)
{
    struct flow *f = k->flow;

    if (f->running && f->options.rate == NULL) {
        send_arrival(k, record_arrival(f, clock_monotonic_us()));
        return;
    }
    if (f->backlog_head < f->backlog->len) {
        send_arrival(
            k, g_array_index(f->backlog, struct arrival, f->backlog_head));
        f->backlog_head++;
        return;
    }
    g_array_set_size(f->backlog, 0);
    f->backlog_head = 0;
    g_queue_push_tail(&f->idle, k);
}

/* Sets the timer to the next arrival. */
static void
set_arrival_timer(struct flow *f)
{
    const int64_t us =
        MAX((int64_t)f->next_arrival_us - clock_monotonic_us(), 1);
    const struct itimerspec t = {
        .it_value = {.tv_sec = us / 1000000, .tv_nsec = us % 1000000 * 1000},
    };

    timerfd_settime(f->timer_fd, 0, &t, NULL);
}

/* Draws the next arrival of a Poisson process with the peak rate. on_timer()
   drops arrivals at random while the rate is lower (thinning). */
static void
draw_next_arrival(struct flow *f)
{
    const double u =
        ((double)(rng_next(&f->rng) >> 11) + 1.0) / (double)(1ULL << 53);

    f->next_arrival_us += -log(u) * 1e6 / f->options.peak_rate;
}

/* Sends or queues the statements that are due. */
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
    const double now = (double)clock_monotonic_us();
    while (f->next_arrival_us <= now) {
        const double at = (f->next_arrival_us - (double)f->started_us) / 1e6;
        const double draw =
            (double)rng_below(&f->rng, 1000000) / 1e6 * o->peak_rate;
        if (draw < o->rate(o->ctx, at)) {
            const struct arrival a =
                record_arrival(f, (int64_t)f->next_arrival_us);
            struct flow_client *k = g_queue_pop_head(&f->idle);
            if (k != NULL) {
                send_arrival(k, a);
            }
            else {
                g_array_append_val(f->backlog, a);
            }
        }
        draw_next_arrival(f);
    }
    set_arrival_timer(f);
}

static void
connect_client(struct flow_client *k)
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

static void
on_reconnect(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct flow_client *k = w->data;

    (void)loop;
    (void)revents;
    connect_client(k);
}

static void
reconnect_later(struct flow_client *k)
{
    ev_timer_stop(k->flow->loop, &k->reconnect);
    ev_timer_set(&k->reconnect, FLOW_RECONNECT_S, 0.0);
    ev_timer_start(k->flow->loop, &k->reconnect);
}

static void
on_connected(void *ctx, bool ok)
{
    struct flow_client *k = ctx;

    if (!ok) {
        reconnect_later(k);
        return;
    }
    send_next(k);
}

static void
on_closed(void *ctx)
{
    struct flow_client *k = ctx;

    g_queue_remove(&k->flow->idle, k);
    reconnect_later(k);
}

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

/* Records an answer, then sends the next statement or reconnects. */
static void
on_done(void *ctx, const struct client_answer *a)
{
    struct flow_client *k = ctx;
    struct flow *f = k->flow;
    const int64_t now = clock_monotonic_us();

    if (a->outcome == CLIENT_ACKED) {
        f->counts.finished_in_window += f->window_is_open;
        if (f->options.acked != NULL) {
            f->options.acked(f->options.ctx, k->intended_us, now);
        }
        if (k->in_window) {
            durations_add(&f->latencies, now - k->intended_us);
        }
    }
    if (k->in_window) {
        count(f, a->outcome);
    }
    if (a->lost) {
        reconnect_later(k);
        return;
    }
    send_next(k);
}

static const struct client_callbacks callbacks = {
    .connected = on_connected,
    .done = on_done,
    .closed = on_closed,
};

/* Creates a flow and starts to connect. o is copied, but not its strings and
   ctx. */
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
    durations_init(&f->latencies);
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
        connect_client(k);
    }
    return f;
}

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
    durations_clear(&f->latencies);
    g_free(f->clients);
    g_free(f);
}

/* Returns true if every connection is open and idle. */
bool
flow_is_connected(const struct flow *f)
{
    return g_queue_get_length((GQueue *)&f->idle) ==
           (guint)f->options.connections;
}

/* Starts to send. */
void
flow_start(struct flow *f)
{
    f->running = true;
    f->started_us = clock_monotonic_us();
    f->next_arrival_us = (double)f->started_us;
    if (f->options.rate != NULL) {
        draw_next_arrival(f);
        set_arrival_timer(f);
        return;
    }
    struct flow_client *k;
    while ((k = g_queue_pop_head(&f->idle)) != NULL) {
        send_next(k);
    }
}

/* Stops the generation of statements; those that are already queued are still
   sent. */
void
flow_stop(struct flow *f)
{
    f->running = false;
}

/* Returns true if every statement was answered. */
bool
flow_is_drained(const struct flow *f)
{
    return flow_is_connected(f) && f->backlog_head == f->backlog->len;
}

/* Resets the counts and opens the measurement window. */
void
flow_open_window(struct flow *f)
{
    f->counts = (struct flow_counts){0};
    g_array_set_size(f->latencies.values, 0);
    for (int i = 0; i < f->options.connections; i++) {
        f->clients[i].in_window = false;
    }
    f->window_is_open = true;
}

/* Closes the window. Its statements are still counted when they are answered
   later. */
void
flow_close_window(struct flow *f)
{
    f->window_is_open = false;
}

const struct flow_counts *
flow_counts(const struct flow *f)
{
    return &f->counts;
}

/* Returns the latencies in microseconds of the window's acknowledged
   statements, measured from the intended send time. Owned by the flow. */
struct durations *
flow_latencies(struct flow *f)
{
    return &f->latencies;
}

static void
on_wait_over(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)w;
    (void)revents;
    ev_break(loop, EVBREAK_ONE);
}

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

int64_t
flow_deadline(double seconds)
{
    return clock_monotonic_us() + (int64_t)(seconds * 1e6);
}

bool
flow_wait_connected(struct ev_loop *loop, struct flow *f)
{
    const int64_t deadline = flow_deadline(FLOW_CONNECT_LIMIT_S);

    while (!flow_is_connected(f)) {
        if (clock_monotonic_us() > deadline) {
            LOG_ERROR("connect", f->options.addresses[0],
                      "%u of %d connections are open at the time limit",
                      g_queue_get_length(&f->idle), f->options.connections);
            return false;
        }
        flow_wait(loop, FLOW_STEP_S);
    }
    return true;
}

void
flow_stop_and_drain(struct ev_loop *loop, struct flow *f)
{
    const int64_t deadline = flow_deadline(FLOW_DRAIN_LIMIT_S);

    flow_stop(f);
    while (!flow_is_drained(f) && clock_monotonic_us() < deadline) {
        flow_wait(loop, FLOW_STEP_S);
    }
}
