#ifndef LOAD_FLOW_H
#define LOAD_FLOW_H

#include "base/rng.h"
#include "load/client.h"
#include "load/durations.h"

#include <glib.h>

/* Generates statements of one caller kind on several connections, either at a
   given rate (open loop), or each connection sends the next one as soon as it
   is answered (closed loop). */
struct flow;

struct flow_options {
    /* Assigned to the connections in turn; NULL-terminated. */
    const char *const *addresses;
    const char *database;
    const char *user;
    const char *kind; /* caller kind; NULL: none is sent */
    int connections;
    /* Offered statements per second at the given time since the start, at most
       peak_rate; NULL for a closed loop. */
    double (*rate)(void *ctx, double seconds);
    double peak_rate;
    /* Sets sql to the next statement. */
    void (*statement)(void *ctx, struct rng *rng, GString *sql);
    /* Optional: called for every acknowledged statement. */
    void (*acked)(void *ctx, int64_t intended_us, int64_t done_us);
    void *ctx;
    uint64_t seed;
};

/* Counts since flow_open_window() of the statements whose intended send time
   lies in the measurement window. */
struct flow_counts {
    int64_t offered;
    int64_t acked;
    int64_t not_run;
    int64_t failed;
    int64_t unknown;
    int64_t finished_in_window; /* acknowledged in the window, also if intended
                                   before it */
};

struct flow *flow_create(struct ev_loop *loop, const struct flow_options *o);
void flow_destroy(struct flow *f);
bool flow_is_connected(const struct flow *f);
void flow_start(struct flow *f);
void flow_stop(struct flow *f);
bool flow_is_drained(const struct flow *f);
void flow_open_window(struct flow *f);
void flow_close_window(struct flow *f);
const struct flow_counts *flow_counts(const struct flow *f);
struct durations *flow_latencies(struct flow *f);

/* Returns the monotonic time in microseconds after the given delay. */
int64_t flow_deadline(double seconds);
/* Runs the loop for the given time. */
void flow_wait(struct ev_loop *loop, double seconds);
/* Runs the loop until the flow's connections are open; returns false if some
   are not within FLOW_CONNECT_LIMIT_S. */
bool flow_wait_connected(struct ev_loop *loop, struct flow *f);
/* Stops the flow and runs the loop until all statements are answered, for
   FLOW_DRAIN_LIMIT_S at most. */
void flow_stop_and_drain(struct ev_loop *loop, struct flow *f);

#endif
