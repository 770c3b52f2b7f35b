#include "load/direct.h"
#include "load/flow.h"

#include "base/clock.h"

#define LOG_MODULE "failover"
#include "base/log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define FAILOVER_WRITERS 8
#define FAILOVER_WRITES_PER_SECOND 200.0
#define FAILOVER_WARM_UP_S 0.7
#define FAILOVER_STEP_S 0.005
/* Longer than the worst case that the design allows (4 s), so that a late
   recovery can be distinguished from none. */
#define FAILOVER_LIMIT_S 5.0
#define FAILOVER_REJOIN_S 1.0

/* The first write that was due after the fault and was acknowledged. Times are
   monotonic, in microseconds. */
struct recovery {
    int64_t fault_us; /* 0: no fault yet */
    int64_t acked_us; /* 0: none yet */
};

static double
constant_rate(void *ctx, double seconds)
{
    (void)ctx;
    (void)seconds;
    return FAILOVER_WRITES_PER_SECOND;
}

static void
format_increment(void *ctx, struct rng *rng, GString *sql)
{
    (void)ctx;
    g_string_printf(sql,
                    "UPDATE entries SET value = value + 1 "
                    "WHERE id = 'failover-%" PRIu64 "'",
                    rng_below(rng, 16));
}

/* Records the first acknowledgement of a write that was due after the fault.
   Acknowledgements of earlier writes may still arrive and do not count. */
static void
on_acked(void *ctx, int64_t intended_us, int64_t done_us)
{
    struct recovery *r = ctx;

    if (r->fault_us != 0 && r->acked_us == 0 && intended_us > r->fault_us) {
        r->acked_us = done_us;
    }
}

/* Kills the primary, waits for the next acknowledged write and starts the
   member again. Sets *gap_us to the time between, or -1 if no write was
   acknowledged within FAILOVER_LIMIT_S. Returns false if the case could not be
   run. */
static bool
run_case(const struct load_options *o, struct ev_loop *loop,
         struct recovery *r, int64_t *gap_us)
{
    const int primary = direct_find_primary(o);

    *gap_us = -1;
    if (primary == DIRECT_NO_PRIMARY) {
        return false;
    }
    *r = (struct recovery){0};
    flow_wait(loop, FAILOVER_WARM_UP_S);
    if (!direct_inject_fault(o, primary, "kill")) {
        return false;
    }
    r->fault_us = clock_monotonic_us();
    const int64_t deadline = flow_deadline(FAILOVER_LIMIT_S);
    while (r->acked_us == 0 && clock_monotonic_us() < deadline) {
        flow_wait(loop, FAILOVER_STEP_S);
    }
    if (r->acked_us != 0) {
        *gap_us = r->acked_us - r->fault_us;
    }
    const bool ok = direct_inject_fault(o, primary, "revive");
    flow_wait(loop, FAILOVER_REJOIN_S);
    return ok;
}

/* Prints the gaps. A case without recovery counts as unrecovered, with a gap
   of FAILOVER_LIMIT_S. */
static void
report(struct durations *gaps, int unrecovered)
{
    printf("failover_cases=%u\n", gaps->values->len);
    printf("failover_unrecovered=%d\n", unrecovered);
    printf("failover_gap_ms=%.1f\n",
           (double)durations_percentile(gaps, 50.0) / 1000.0);
    printf("failover_gap_worst_ms=%.1f\n",
           (double)durations_percentile(gaps, 100.0) / 1000.0);
}

/* Measures the time from the loss of the primary to the first acknowledged
   write, in each of several cases. */
bool
failover_run(const struct load_options *o)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    struct recovery r = {0};
    struct durations gaps;
    int unrecovered = 0;
    const struct flow_options f = {
        .addresses = (const char *const *)o->proxies,
        .database = o->database,
        .user = "load",
        .kind = strcmp(o->site, "guild") == 0 ? "reservation" : "filing",
        .connections = FAILOVER_WRITERS,
        .rate = constant_rate,
        .peak_rate = FAILOVER_WRITES_PER_SECOND,
        .statement = format_increment,
        .acked = on_acked,
        .ctx = &r,
        .seed = (uint64_t)o->seed,
    };
    struct flow *flow = flow_create(loop, &f);
    bool ok = flow_wait_connected(loop, flow);

    durations_init(&gaps);
    flow_start(flow);
    for (int i = 0; ok && i < o->cases; i++) {
        int64_t gap;
        ok = run_case(o, loop, &r, &gap);
        unrecovered += gap < 0;
        durations_add(&gaps,
                      gap < 0 ? (int64_t)(FAILOVER_LIMIT_S * 1e6) : gap);
    }
    if (ok) {
        report(&gaps, unrecovered);
    }
    flow_destroy(flow);
    durations_clear(&gaps);
    return ok;
}
