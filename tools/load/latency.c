#include "load/direct.h"
#include "load/flow.h"

#define LOG_MODULE "latency"
#include "base/log.h"

#include <inttypes.h>
#include <stdio.h>

/* Direct and proxied statements alternate in blocks, so that other load on the
   machine affects both alike. */
#define LATENCY_BLOCKS 10
#define LATENCY_KEYS 64

static void
format_lookup(void *ctx, struct rng *rng, GString *sql)
{
    (void)ctx;
    g_string_printf(
        sql, "SELECT value FROM entries WHERE id = 'latency-%" PRIu64 "'",
        rng_below(rng, LATENCY_KEYS));
}

static void
format_increment(void *ctx, struct rng *rng, GString *sql)
{
    (void)ctx;
    g_string_printf(sql,
                    "UPDATE entries SET value = value + 1 "
                    "WHERE id = 'latency-%" PRIu64 "'",
                    rng_below(rng, LATENCY_KEYS));
}

/* A single connection in a closed loop, either directly to a member or through
   a proxy. */
struct path {
    struct flow *flow;
    struct durations latencies;
};

static bool
path_open(struct path *p, struct ev_loop *loop, const struct load_options *o,
          const char *address, const char *kind, bool write)
{
    const char *const addresses[] = {address, NULL};
    const struct flow_options f = {
        .addresses = addresses,
        .database = o->database,
        .user = kind == NULL ? CLIENT_CONTROL_USER : "load",
        .kind = kind,
        .connections = 1,
        .statement = write ? format_increment : format_lookup,
        .seed = (uint64_t)o->seed,
    };

    durations_init(&p->latencies);
    p->flow = flow_create(loop, &f);
    return flow_wait_connected(loop, p->flow);
}

/* Runs statements for one block and adds their latencies. */
static void
path_run_block(struct path *p, struct ev_loop *loop, double seconds)
{
    flow_open_window(p->flow);
    flow_start(p->flow);
    flow_wait(loop, seconds);
    flow_close_window(p->flow);
    flow_stop_and_drain(loop, p->flow);
    const GArray *v = flow_latencies(p->flow)->values;
    g_array_append_vals(p->latencies.values, v->data, v->len);
}

/* Measures lookups or increments, directly and through the proxy. */
static bool
measure(struct ev_loop *loop, const struct load_options *o, int member,
        bool write)
{
    const char *kind =
        write ? (strcmp(o->site, "guild") == 0 ? "reservation" : "filing")
              : (strcmp(o->site, "guild") == 0 ? "browse" : "lookup");
    struct path direct;
    struct path proxy;
    bool ok = path_open(&direct, loop, o, o->members[member], NULL, write);

    ok = path_open(&proxy, loop, o, o->proxies[0], kind, write) && ok;
    for (int i = 0; ok && i < LATENCY_BLOCKS; i++) {
        path_run_block(&direct, loop, o->seconds / (4.0 * LATENCY_BLOCKS));
        path_run_block(&proxy, loop, o->seconds / (4.0 * LATENCY_BLOCKS));
    }
    if (ok) {
        const char *prefix = write ? "latency_write" : "latency";
        const int64_t d = durations_percentile(&direct.latencies, 50.0);
        const int64_t p = durations_percentile(&proxy.latencies, 50.0);
        printf("%s_direct_p50_us=%" PRId64 "\n", prefix, d);
        printf("%s_proxy_p50_us=%" PRId64 "\n", prefix, p);
        printf("%s_added_p50_us=%" PRId64 "\n", prefix, p - d);
        printf("%s_proxy_p99_us=%" PRId64 "\n", prefix,
               durations_percentile(&proxy.latencies, 99.0));
    }
    flow_destroy(direct.flow);
    flow_destroy(proxy.flow);
    durations_clear(&direct.latencies);
    durations_clear(&proxy.latencies);
    return ok;
}

/* Measures the latency that a proxy adds to a lookup and to an increment. */
bool
latency_run(const struct load_options *o)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    const int primary = direct_find_primary(o);

    if (primary == DIRECT_NO_PRIMARY) {
        return false;
    }
    const int replica = (primary + 1) % direct_member_count(o);
    return measure(loop, o, replica, false) && measure(loop, o, primary, true);
}
