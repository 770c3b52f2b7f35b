#ifndef LOAD_FLOW_H
#define LOAD_FLOW_H

#include "base/rng.h"
#include "load/client.h"
#include "load/samples.h"

#include <glib.h>

/* A stream of statements of one caller kind over several connections: open
   loop with a given rate, or closed loop. */
struct flow;

struct flow_options {
    const char *const *addresses; /* the connections take them in turn */
    const char *database;
    const char *user;
    const char *kind; /* NULL: none named */
    int connections;
    /* Offered statements per second at a time since the start, or NULL for a
       closed loop. peak_rate bounds it. */
    double (*rate)(void *ctx, double seconds);
    double peak_rate;
    /* Writes the next statement. */
    void (*statement)(void *ctx, struct rng *rng, GString *sql);
    /* Optional: an acknowledged statement's times. */
    void (*acked)(void *ctx, int64_t intended_us, int64_t done_us);
    void *ctx;
    uint64_t seed;
};

/* Counts since flow_open_window(), of statements intended in the window. */
struct flow_counts {
    int64_t offered;
    int64_t acked;
    int64_t not_run;
    int64_t failed;
    int64_t unknown;
    int64_t finished_in_window; /* acknowledged, whenever intended */
};

struct flow *flow_create(struct ev_loop *loop, const struct flow_options *o);
void flow_destroy(struct flow *f);
bool flow_is_connected(const struct flow *f);
void flow_start(struct flow *f);
void flow_stop(struct flow *f);
bool flow_is_settled(const struct flow *f);
void flow_open_window(struct flow *f);
void flow_close_window(struct flow *f);
const struct flow_counts *flow_counts(const struct flow *f);
struct samples *flow_latencies(struct flow *f);

/* Returns the monotonic time in microseconds that lies seconds ahead. */
int64_t flow_deadline(double seconds);
/* Runs the loop for a time. */
void flow_wait(struct ev_loop *loop, double seconds);
/* Runs the loop until the flow's connections are open; false when some could
   not be opened in time. */
bool flow_wait_connected(struct ev_loop *loop, struct flow *f);
/* Stops the flow and runs the loop until its answers are there. */
void flow_wait_settled(struct ev_loop *loop, struct flow *f);

#endif
