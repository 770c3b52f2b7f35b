#include "load/direct.h"
#include "load/flow.h"

#include "base/clock.h"

#define LOG_MODULE "overload"
#include "base/log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define OVERLOAD_KEYS 1000
#define OVERLOAD_WARM_UP_S 0.5
#define OVERLOAD_CAPACITY_S 1.0
/* Connections per member, enough to saturate its two execution slots. Reserved
   control connections are used, so that the proxies keep all their
   connections. */
#define OVERLOAD_CONNECTIONS_PER_MEMBER 3

/* Offered rate of filings as a fraction of the primary's capacity. */
#define BATCHES_FILING_SHARE 0.2
#define BATCHES_FILING_CLIENTS 24
#define BATCHES_RENEWAL_CLIENTS 12

/* Offered rate at the peak as a fraction of the capacity of the primary
   (reservations) and of the replicas (browsing). The limit for reservations is
   0.9; browsing exceeds the capacity. */
#define CREST_RESERVATION_SHARE 0.8
#define CREST_BROWSE_SHARE 1.6
#define CREST_FACTOR 10.0 /* peak rate divided by the rate before it */
#define CREST_RAMP_S 2.0
#define CREST_RESERVATION_CLIENTS 120
/* More than the replicas can serve within the deadline of browsing, so that
   excess statements reach the proxies instead of waiting for a connection in
   this tool. */
#define CREST_BROWSE_CLIENTS 1200

/* A rate that rises linearly from base to peak, starting at start_s. */
struct ramp {
    double base;
    double peak;
    double start_s;
    double length_s;
};

static double
ramp_rate(void *ctx, double seconds)
{
    const struct ramp *r = ctx;
    const double x = (seconds - r->start_s) / r->length_s;

    return r->base + (r->peak - r->base) * CLAMP(x, 0.0, 1.0);
}

static void
format_lookup(void *ctx, struct rng *rng, GString *sql)
{
    (void)ctx;
    g_string_printf(
        sql, "SELECT value FROM entries WHERE id = 'overload-%" PRIu64 "'",
        rng_below(rng, OVERLOAD_KEYS));
}

static void
format_increment(void *ctx, struct rng *rng, GString *sql)
{
    (void)ctx;
    g_string_printf(sql,
                    "UPDATE entries SET value = value + 1 "
                    "WHERE id = 'overload-%" PRIu64 "'",
                    rng_below(rng, OVERLOAD_KEYS));
}

static void
format_renewal(void *ctx, struct rng *rng, GString *sql)
{
    (void)ctx;
    g_string_printf(sql,
                    "UPDATE renewals SET value = value + 1 "
                    "WHERE id = 'overload-%" PRIu64 "'",
                    rng_below(rng, OVERLOAD_KEYS));
}

/* Returns how many statements per second the given members execute in a closed
   loop without a proxy; 0 if they cannot be reached. */
static double
measure_direct_capacity(const struct load_options *o,
                        const char *const *members,
                        void (*statement)(void *, struct rng *, GString *))
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    const struct flow_options f = {
        .addresses = members,
        .database = o->database,
        .user = CLIENT_CONTROL_USER,
        .connections = OVERLOAD_CONNECTIONS_PER_MEMBER *
                       (int)g_strv_length((char **)members),
        .statement = statement,
        .seed = (uint64_t)o->seed,
    };
    struct flow *flow = flow_create(loop, &f);
    double rate = 0.0;

    if (flow_wait_connected(loop, flow)) {
        flow_start(flow);
        flow_wait(loop, OVERLOAD_WARM_UP_S);
        const int64_t from = clock_monotonic_us();
        flow_open_window(flow);
        flow_wait(loop, OVERLOAD_CAPACITY_S);
        flow_close_window(flow);
        rate = (double)flow_counts(flow)->finished_in_window * 1e6 /
               (double)(clock_monotonic_us() - from);
        flow_stop_and_drain(loop, flow);
    }
    flow_destroy(flow);
    return rate;
}

/* Returns the primary's capacity in increments per second; 0 if unknown. */
static double
measure_primary_capacity(const struct load_options *o)
{
    const int primary = direct_find_primary(o);

    if (primary == DIRECT_NO_PRIMARY) {
        return 0.0;
    }
    const char *const members[] = {o->members[primary], NULL};
    return measure_direct_capacity(o, members, format_increment);
}

/* Returns the replicas' total capacity in lookups per second; 0 if unknown. */
static double
measure_replica_capacity(const struct load_options *o)
{
    const int primary = direct_find_primary(o);
    const int n = direct_member_count(o);
    const char **replicas = g_new0(const char *, n + 1);
    int count = 0;

    for (int i = 0; i < n; i++) {
        if (i != primary) {
            replicas[count++] = o->members[i];
        }
    }
    const double rate =
        primary == DIRECT_NO_PRIMARY
            ? 0.0
            : measure_direct_capacity(o, replicas, format_lookup);
    g_free(replicas);
    return rate;
}

/* Creates a flow through all proxies; without a ramp, a closed loop. */
static struct flow *
open_flow(const struct load_options *o, const char *kind, int connections,
          struct ramp *ramp,
          void (*statement)(void *, struct rng *, GString *), uint64_t seed)
{
    const struct flow_options f = {
        .addresses = (const char *const *)o->proxies,
        .database = o->database,
        .user = "load",
        .kind = kind,
        .connections = connections,
        .rate = ramp == NULL ? NULL : ramp_rate,
        .peak_rate = ramp == NULL ? 0.0 : MAX(ramp->base, ramp->peak),
        .statement = statement,
        .ctx = ramp,
        .seed = seed,
    };

    return flow_create(ev_default_loop(EVFLAG_AUTO), &f);
}

/* Runs the flows that are not NULL, measures them for the given time and stops
   them. Unanswered renewals are not waited for, since they may take long: the
   caller closes their connections. */
static void
run_window(struct ev_loop *loop, double seconds, struct flow *filings,
           struct flow *renewals)
{
    struct flow *const list[] = {filings, renewals};

    for (size_t i = 0; i < G_N_ELEMENTS(list); i++) {
        if (list[i] != NULL) {
            flow_start(list[i]);
        }
    }
    flow_wait(loop, OVERLOAD_WARM_UP_S);
    for (size_t i = 0; i < G_N_ELEMENTS(list); i++) {
        if (list[i] != NULL) {
            flow_open_window(list[i]);
        }
    }
    flow_wait(loop, seconds);
    for (size_t i = 0; i < G_N_ELEMENTS(list); i++) {
        if (list[i] != NULL) {
            flow_close_window(list[i]);
            flow_stop(list[i]);
        }
    }
    if (filings != NULL) {
        flow_stop_and_drain(loop, filings);
    }
}

static void
report_filings(struct flow *f, const char *suffix)
{
    const struct flow_counts *c = flow_counts(f);

    printf("filing_p99_ms_%s=%.2f\n", suffix,
           (double)durations_percentile(flow_latencies(f), 99.0) / 1000.0);
    printf("filing_served_share_%s=%.4f\n", suffix,
           (double)c->acked / (double)MAX(c->offered, 1));
}

/* Runs renewals in a closed loop, concurrently with filings unless these are
   NULL. Sets *finished to the number acknowledged in the window. */
static bool
run_renewals(const struct load_options *o, struct flow *filings,
             int64_t *finished)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    struct flow *f = open_flow(o, "renewal", BATCHES_RENEWAL_CLIENTS, NULL,
                               format_renewal, (uint64_t)o->seed + 1);
    const bool ok = flow_wait_connected(loop, f);

    if (ok) {
        run_window(loop, o->seconds, filings, f);
        *finished = flow_counts(f)->finished_in_window;
    }
    flow_destroy(f);
    return ok;
}

/* Measures the influence of long (batch) and short work on each other: filings
   at a constant rate and renewals in a closed loop, first each alone and then
   together. */
bool
batches_run(const struct load_options *o)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    const double capacity = measure_primary_capacity(o);
    struct ramp rate = {.base = BATCHES_FILING_SHARE * capacity,
                        .peak = BATCHES_FILING_SHARE * capacity,
                        .length_s = 1.0};

    if (capacity <= 0.0) {
        LOG_ERROR("capacity", NULL, "the primary's capacity is unknown");
        return false;
    }
    struct flow *filings =
        open_flow(o, "filing", BATCHES_FILING_CLIENTS, &rate, format_increment,
                  (uint64_t)o->seed);
    int64_t alone = 0;
    int64_t together = 0;
    bool ok = flow_wait_connected(loop, filings);
    if (ok) {
        run_window(loop, o->seconds, filings, NULL);
        report_filings(filings, "alone");
    }
    ok = ok && run_renewals(o, NULL, &alone) &&
         run_renewals(o, filings, &together);
    if (ok) {
        report_filings(filings, "with_batches");
        printf("batches_alone=%" PRId64 "\n", alone);
        printf("batches_with_filings=%" PRId64 "\n", together);
        printf("batch_throughput_ratio=%.3f\n",
               (double)together / (double)MAX(alone, 1));
    }
    flow_destroy(filings);
    return ok;
}

static void
report_crest(struct flow *reservations, struct flow *browsing,
             int64_t reservations_at_peak, double capacity, double seconds)
{
    const struct flow_counts *r = flow_counts(reservations);
    const struct flow_counts *b = flow_counts(browsing);
    const double goodput =
        (double)(reservations_at_peak + b->finished_in_window) / seconds;

    printf("crest_capacity_per_second=%.0f\n", capacity);
    printf("crest_browse_offered_per_second=%.0f\n",
           (double)b->offered / seconds);
    printf("crest_reservations_offered=%" PRId64 "\n", r->offered);
    printf("crest_reservation_served_share=%.5f\n",
           (double)r->acked / (double)MAX(r->offered, 1));
    printf("crest_reservation_p99_ms=%.2f\n",
           (double)durations_percentile(flow_latencies(reservations), 99.0) /
               1000.0);
    printf("crest_browse_served_share=%.4f\n",
           (double)b->acked / (double)MAX(b->offered, 1));
    printf("crest_goodput_ratio=%.3f\n", goodput / capacity);
}

/* Measures a peak in demand: the offered rate rises tenfold within two seconds
   and stays there. Latency and served share of reservations include the rise;
   goodput is measured at the full rate only. */
bool
crest_run(const struct load_options *o)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    const double primary = measure_primary_capacity(o);
    const double replicas = measure_replica_capacity(o);

    if (primary <= 0.0 || replicas <= 0.0) {
        LOG_ERROR("capacity", NULL, "the members' capacity is unknown");
        return false;
    }
    struct ramp reservation_rate = {.base = CREST_RESERVATION_SHARE * primary /
                                            CREST_FACTOR,
                                    .peak = CREST_RESERVATION_SHARE * primary,
                                    .start_s = 1.0,
                                    .length_s = CREST_RAMP_S};
    struct ramp browse_rate = {.base = CREST_BROWSE_SHARE * replicas /
                                       CREST_FACTOR,
                               .peak = CREST_BROWSE_SHARE * replicas,
                               .start_s = 1.0,
                               .length_s = CREST_RAMP_S};
    struct flow *reservations =
        open_flow(o, "reservation", CREST_RESERVATION_CLIENTS,
                  &reservation_rate, format_increment, (uint64_t)o->seed);
    struct flow *browsing =
        open_flow(o, "browse", CREST_BROWSE_CLIENTS, &browse_rate,
                  format_lookup, (uint64_t)o->seed + 1);
    const bool ok = flow_wait_connected(loop, reservations) &&
                    flow_wait_connected(loop, browsing);
    if (ok) {
        flow_start(reservations);
        flow_start(browsing);
        flow_wait(loop, 1.0);
        flow_open_window(reservations);
        flow_wait(loop, CREST_RAMP_S);
        flow_open_window(browsing);
        const int64_t before = flow_counts(reservations)->finished_in_window;
        flow_wait(loop, o->seconds);
        flow_close_window(reservations);
        flow_close_window(browsing);
        const int64_t at_peak =
            flow_counts(reservations)->finished_in_window - before;
        flow_stop_and_drain(loop, reservations);
        flow_stop_and_drain(loop, browsing);
        report_crest(reservations, browsing, at_peak, primary + replicas,
                     o->seconds);
    }
    flow_destroy(reservations);
    flow_destroy(browsing);
    return ok;
}
