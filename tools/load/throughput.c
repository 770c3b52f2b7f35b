#include "load/direct.h"
#include "load/flow.h"
#include "load/pid_usage.h"

#include "base/clock.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define THROUGHPUT_KEYS 1000
#define THROUGHPUT_WARM_UP_S 0.5
/* One connection in this many sends writes. */
#define THROUGHPUT_WRITE_EVERY 10

static void
format_lookup(void *ctx, struct rng *rng, GString *sql)
{
    (void)ctx;
    g_string_printf(
        sql, "SELECT value FROM entries WHERE id = 'throughput-%" PRIu64 "'",
        rng_below(rng, THROUGHPUT_KEYS));
}

static void
format_increment(void *ctx, struct rng *rng, GString *sql)
{
    (void)ctx;
    g_string_printf(sql,
                    "UPDATE entries SET value = value + 1 "
                    "WHERE id = 'throughput-%" PRIu64 "'",
                    rng_below(rng, THROUGHPUT_KEYS));
}

static void
report(const struct load_options *o, const struct flow_counts *r,
       const struct flow_counts *w, double seconds, int64_t cpu_us)
{
    const int64_t total = r->finished_in_window + w->finished_in_window;

    printf("statements_total=%" PRId64 "\n", total);
    printf("statements_per_second=%.0f\n", (double)total / seconds);
    printf("statements_refused=%" PRId64 "\n", r->not_run + r->failed +
                                                   r->unknown + w->not_run +
                                                   w->failed + w->unknown);
    if (o->proxy_pid > 0 && total > 0) {
        printf("proxy_cpu_share=%.3f\n", (double)cpu_us / 1e6 / seconds);
        printf("proxy_cpu_us_per_statement=%.1f\n",
               (double)cpu_us / (double)total);
        printf("statements_per_proxy_core_second=%.0f\n",
               (double)total / MAX((double)cpu_us / 1e6, 1e-6));
    }
}

/* Measures the throughput of one proxy in a closed loop. Of ten connections,
   nine send lookups and one sends increments. The share of reads on replicas
   comes from the stand-in's own counters of table reads, which include reads
   whose answer was dropped. */
bool
throughput_run(const struct load_options *o)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    const bool guild = strcmp(o->site, "guild") == 0;
    const int writers = MAX(o->clients / THROUGHPUT_WRITE_EVERY, 1);
    const char *const addresses[] = {o->proxies[0], NULL};
    struct flow_options f = {
        .addresses = addresses,
        .database = o->database,
        .user = "load",
        .kind = guild ? "browse" : "lookup",
        .connections = MAX(o->clients - writers, 1),
        .statement = format_lookup,
        .seed = (uint64_t)o->seed,
    };
    PGconn *direct = direct_open_primary(o);

    if (direct == NULL) {
        return false;
    }
    struct flow *reads = flow_create(loop, &f);
    f.kind = guild ? "reservation" : "filing";
    f.connections = writers;
    f.statement = format_increment;
    struct flow *writes = flow_create(loop, &f);
    bool ok =
        flow_wait_connected(loop, reads) && flow_wait_connected(loop, writes);
    if (ok) {
        flow_start(reads);
        flow_start(writes);
        flow_wait(loop, THROUGHPUT_WARM_UP_S);
        const int64_t from_primary =
            direct_read_counter(direct, "reads_primary");
        const int64_t from_replicas =
            direct_read_counter(direct, "reads_replica");
        const int64_t cpu = pid_cpu_us(o->proxy_pid);
        const int64_t from = clock_monotonic_us();
        flow_open_window(reads);
        flow_open_window(writes);
        flow_wait(loop, o->seconds);
        flow_close_window(reads);
        flow_close_window(writes);
        const double seconds = (double)(clock_monotonic_us() - from) / 1e6;
        const int64_t used = pid_cpu_us(o->proxy_pid) - cpu;
        const double primary =
            (double)(direct_read_counter(direct, "reads_primary") -
                     from_primary);
        const double replicas =
            (double)(direct_read_counter(direct, "reads_replica") -
                     from_replicas);
        flow_stop_and_drain(loop, reads);
        flow_stop_and_drain(loop, writes);
        report(o, flow_counts(reads), flow_counts(writes), seconds, used);
        printf("replica_read_share=%.4f\n",
               replicas / MAX(primary + replicas, 1.0));
    }
    flow_destroy(reads);
    flow_destroy(writes);
    PQfinish(direct);
    return ok;
}
