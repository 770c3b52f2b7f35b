#include "load/direct.h"
#include "load/flow.h"

#define LOG_MODULE "latency"
#include "base/log.h"

#include <inttypes.h>
#include <stdio.h>

/* Blocks of direct and proxied statements take turns, so that a disturbance
   on the machine meets both. */
#define LATENCY_BLOCKS 10
#define LATENCY_KEYS 64

/* Writes a lookup. */
static void
write_lookup(void *ctx, struct rng *rng, GString *sql)
{
    (void)ctx;
    g_string_printf(
        sql, "SELECT value FROM entries WHERE id = 'latency-%" PRIu64 "'",
        rng_below(rng, LATENCY_KEYS));
}

/* Writes an increment. */
static void
write_increment(void *ctx, struct rng *rng, GString *sql)
{
    (void)ctx;
    g_string_printf(sql,
                    "UPDATE entries SET value = value + 1 "
                    "WHERE id = 'latency-%" PRIu64 "'",
                    rng_below(rng, LATENCY_KEYS));
}

/* One way to the data: a single connection in a closed loop. */
struct way {
    struct flow *flow;
    struct samples all;
};

/* Opens a way. */
static bool
way_open(struct way *w, struct ev_loop *loop, const struct load_options *o,
         const char *address, const char *kind, bool write)
{
    const char *const addresses[] = {address, NULL};
    const struct flow_options f = {
        .addresses = addresses,
        .database = o->database,
        .user = kind == NULL ? CLIENT_CONTROL_USER : "load",
        .kind = kind,
        .connections = 1,
        .statement = write ? write_increment : write_lookup,
        .seed = (uint64_t)o->seed,
    };

    samples_init(&w->all);
    w->flow = flow_create(loop, &f);
    return flow_wait_connected(loop, w->flow);
}

/* Runs a way for one block. */
static void
way_block(struct way *w, struct ev_loop *loop, double seconds)
{
    flow_open_window(w->flow);
    flow_start(w->flow);
    flow_wait(loop, seconds);
    flow_close_window(w->flow);
    flow_wait_settled(loop, w->flow);
    const GArray *v = flow_latencies(w->flow)->values;
    g_array_append_vals(w->all.values, v->data, v->len);
}

/* Measures one statement directly and through the proxy. */
static bool
measure(struct ev_loop *loop, const struct load_options *o, int member,
        bool write)
{
    const char *kind =
        write ? (strcmp(o->site, "guild") == 0 ? "reservation" : "filing")
              : (strcmp(o->site, "guild") == 0 ? "browse" : "lookup");
    struct way direct;
    struct way proxy;
    bool ok = way_open(&direct, loop, o, o->members[member], NULL, write);

    ok = way_open(&proxy, loop, o, o->proxies[0], kind, write) && ok;
    for (int i = 0; ok && i < LATENCY_BLOCKS; i++) {
        way_block(&direct, loop, o->seconds / (4.0 * LATENCY_BLOCKS));
        way_block(&proxy, loop, o->seconds / (4.0 * LATENCY_BLOCKS));
    }
    if (ok) {
        const char *prefix = write ? "latency_write" : "latency";
        const int64_t d = samples_percentile(&direct.all, 50.0);
        const int64_t p = samples_percentile(&proxy.all, 50.0);
        printf("%s_direct_p50_us=%" PRId64 "\n", prefix, d);
        printf("%s_proxy_p50_us=%" PRId64 "\n", prefix, p);
        printf("%s_added_p50_us=%" PRId64 "\n", prefix, p - d);
        printf("%s_proxy_p99_us=%" PRId64 "\n", prefix,
               samples_percentile(&proxy.all, 99.0));
    }
    flow_destroy(direct.flow);
    flow_destroy(proxy.flow);
    samples_clear(&direct.all);
    samples_clear(&proxy.all);
    return ok;
}

/* Measures what a proxy adds to a lookup and to an increment, over one
   connection each in a closed loop. */
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
