#include "capacity/process_usage.h"

#include "failover/failover.h"
#include "upstream/group_sql.h"

#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <libpq-fe.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Measures the monitoring of databases by one proxy, and failover rounds,
   against simulated database groups whose answers arrive with the next tick.
   Prints key=value lines. */

#define MEMBERS 3
#define TICK_MS 10 /* same as MONITOR_TICK_S */
#define WARM_UP_MS 3000
#define STEADY_MS 10000
#define LIMIT_MS 30000
#define CONNECTIONS 50
#define ROUNDS 200

enum call_kind { CALL_PROBE, CALL_SEAL, CALL_PROMOTE, CALL_FOLLOW };

struct call {
    enum call_kind kind;
    int member;
    uint64_t term;
    uint64_t id;
};

/* A simulated database group, monitored by one proxy. */
struct monitored_group {
    struct failover *f;
    GArray *calls;     /* not yet answered */
    GArray *answering; /* the calls that step() is answering */
    uint64_t term[MEMBERS];
    uint64_t sealed[MEMBERS];
    int primary;
    int lost_member; /* member that does not answer, or -1 */
    clock_ms lost_at;
    uint64_t calls_sent[4]; /* by enum call_kind */
};

static clock_ms now;

static void
record_call(struct monitored_group *g, struct call c)
{
    g->calls_sent[c.kind]++;
    g_array_append_val(g->calls, c);
}

static void
on_probe(void *ctx, int member, uint64_t id)
{
    record_call(ctx, (struct call){CALL_PROBE, member, 0, id});
}

static void
on_seal(void *ctx, int member, uint64_t term, uint64_t id)
{
    record_call(ctx, (struct call){CALL_SEAL, member, term, id});
}

static void
on_promote(void *ctx, int member, uint64_t term, uint64_t id)
{
    record_call(ctx, (struct call){CALL_PROMOTE, member, term, id});
}

static void
on_follow(void *ctx, int member, uint64_t term, int primary, uint64_t id)
{
    (void)primary;
    record_call(ctx, (struct call){CALL_FOLLOW, member, term, id});
}

static void
on_primary(void *ctx, int member, uint64_t term)
{
    (void)ctx;
    (void)member;
    (void)term;
}

static void
on_hold(void *ctx, bool hold)
{
    (void)ctx;
    (void)hold;
}

static void
on_note(void *ctx, enum log_level level, const char *step, int member,
        const char *text)
{
    (void)ctx;
    (void)level;
    (void)step;
    (void)member;
    (void)text;
}

/* Answers one call as a real group would. */
static void
answer_call(struct monitored_group *g, const struct call *c)
{
    const int m = c->member;

    if (c->kind == CALL_PROBE) {
        const struct failover_probe_answer p = {
            .term = g->term[m],
            .position = 1000,
            .role = m == g->primary ? FAILOVER_ROLE_PRIMARY
                                    : FAILOVER_ROLE_REPLICA,
            .silence_ms = g->primary == g->lost_member ? now - g->lost_at : 0,
            .sealed = g->sealed[m],
            .rtt_us = 1000,
        };

        failover_probe_answered(g->f, now, m, c->id, &p);
    }
    else if (c->kind == CALL_SEAL) {
        const bool granted = c->term > g->sealed[m];

        g->sealed[m] = granted ? c->term : g->sealed[m];
        failover_seal_answered(g->f, now, m, c->id, granted, g->term[m], 1000);
    }
    else if (c->kind == CALL_PROMOTE) {
        g->primary = m;
        g->term[m] = c->term;
        failover_promote_answered(g->f, now, m, c->id, true);
    }
    else {
        g->term[m] = c->term;
        failover_follow_answered(g->f, now, m, c->id, true);
    }
}

/* Answers the calls of the last step, then ticks. */
static void
step(struct monitored_group *g)
{
    GArray *answering = g->calls;

    g->calls = g->answering;
    g->answering = answering;
    for (guint i = 0; i < answering->len; i++) {
        const struct call c = g_array_index(answering, struct call, i);

        if (c.member != g->lost_member) {
            answer_call(g, &c);
        }
    }
    g_array_set_size(answering, 0);
    failover_tick(g->f, now);
}

static const struct failover_actions actions = {
    .probe = on_probe,
    .seal = on_seal,
    .promote = on_promote,
    .follow = on_follow,
    .primary_changed = on_primary,
    .hold_writes = on_hold,
    .log_event = on_note,
};

/* Allocates the call arrays. Done before group_start(), which already sends
   probes, so that they are not part of the measured memory. */
static void
group_alloc_calls(struct monitored_group *g)
{
    g->calls = g_array_sized_new(FALSE, FALSE, sizeof(struct call), 16);
    g->answering = g_array_sized_new(FALSE, FALSE, sizeof(struct call), 16);
}

static void
group_clear(struct monitored_group *g)
{
    failover_destroy(g->f);
    g_array_free(g->calls, TRUE);
    g_array_free(g->answering, TRUE);
}

/* Starts to monitor a group whose members all have the same term. rank: the
   proxy's failover rank, or -1 for a proxy that only observes. interval: probe
   interval in milliseconds, 0 for the default. */
static void
group_start(struct monitored_group *g, struct rng *rng, int rank,
            int64_t interval)
{
    struct failover_config config = {.proxy_id = 1,
                                     .member_count = MEMBERS,
                                     .rank = rank,
                                     .actions = &actions,
                                     .ctx = g,
                                     .rng = rng};

    failover_settings_default(&config.settings);
    if (interval > 0) {
        config.settings.probe_interval_ms = interval;
        config.settings.pause_gap_ms =
            MAX(config.settings.pause_gap_ms, interval);
    }
    for (int m = 0; m < MEMBERS; m++) {
        g->term[m] = 1 << 16 | 7;
        g->sealed[m] = g->term[m];
    }
    g->lost_member = -1;
    g->f = failover_create(&config, now);
    if (!g->f) {
        g_error("settings refused");
    }
}

/* Runs all groups for the given simulated time. */
static void
run(struct monitored_group *g, unsigned n, clock_ms time)
{
    for (clock_ms end = now + time; now < end; now += TICK_MS) {
        for (unsigned i = 0; i < n; i++) {
            step(&g[i]);
        }
    }
}

/* Measures memory, CPU time and probes in steady state for n databases. */
static void
measure_monitoring(unsigned n, int rank)
{
    const char *role = rank < 0 ? "observed" : "watched";
    struct monitored_group *g = g_new0(struct monitored_group, n);
    struct rng rng;
    uint64_t probes = 0;

    rng_seed(&rng, 1);
    for (unsigned i = 0; i < n; i++) {
        group_alloc_calls(&g[i]);
    }
    double heap = process_heap_bytes();
    for (unsigned i = 0; i < n; i++) {
        group_start(&g[i], &rng, rank, 0);
    }
    heap = process_heap_bytes() - heap;
    run(g, n, WARM_UP_MS);
    for (unsigned i = 0; i < n; i++) {
        probes -= g[i].calls_sent[CALL_PROBE];
    }
    double cpu = process_cpu_us();
    run(g, n, STEADY_MS);
    cpu = process_cpu_us() - cpu;
    for (unsigned i = 0; i < n; i++) {
        probes += g[i].calls_sent[CALL_PROBE];
    }
    printf("%s_%u_bytes_per_database=%.0f\n", role, n, heap / n);
    printf("%s_%u_cpu_us_per_second_and_database=%.2f\n", role, n,
           cpu / n / (STEADY_MS / 1000.0));
    printf("%s_%u_probes_per_second_and_database=%.2f\n", role, n,
           (double)probes / n / (STEADY_MS / 1000.0));
    for (unsigned i = 0; i < n; i++) {
        group_clear(&g[i]);
    }
    g_free(g);
}

/* Makes the primary of a group unresponsive at a random time within the probe
   interval. Returns the simulated time until the failover round was completed,
   and its calls and CPU time. */
static clock_ms
lose_primary(int64_t interval, uint64_t seed, uint64_t *calls, double *cpu)
{
    struct monitored_group g = {0};
    struct rng rng;

    rng_seed(&rng, seed);
    group_alloc_calls(&g);
    group_start(&g, &rng, 0, interval);
    run(&g, 1, WARM_UP_MS + (clock_ms)rng_below(&rng, (uint64_t)interval));
    memset(g.calls_sent, 0, sizeof(g.calls_sent));
    g.lost_member = g.primary;
    g.lost_at = now;
    *cpu = process_cpu_us();
    while (failover_get_counters(g.f)->rounds_completed == 0 &&
           now < g.lost_at + LIMIT_MS) {
        run(&g, 1, TICK_MS);
    }
    *cpu = process_cpu_us() - *cpu;
    *calls = g.calls_sent[CALL_SEAL] + g.calls_sent[CALL_PROMOTE] +
             g.calls_sent[CALL_FOLLOW];
    group_clear(&g);
    return now - g.lost_at;
}

/* Measures failover rounds with the given probe interval. */
static void
measure_round(int64_t interval)
{
    clock_ms sum = 0;
    clock_ms longest = 0;
    uint64_t most_calls = 0;
    double cpu_sum = 0;

    for (uint64_t seed = 1; seed <= ROUNDS; seed++) {
        uint64_t calls;
        double cpu;
        clock_ms took = lose_primary(interval, seed, &calls, &cpu);

        sum += took;
        cpu_sum += cpu;
        longest = MAX(longest, took);
        most_calls = MAX(most_calls, calls);
    }
    printf("round_interval_%ld_mean_ms=%ld\n", (long)interval,
           (long)(sum / ROUNDS));
    printf("round_interval_%ld_longest_ms=%ld\n", (long)interval,
           (long)longest);
    printf("round_interval_%ld_most_calls=%lu\n", (long)interval,
           (unsigned long)most_calls);
    printf("round_interval_%ld_cpu_us=%.1f\n", (long)interval,
           cpu_sum / ROUNDS);
}

/* Only counts its calls: the cost of the timer itself is measured. */
static void
on_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
    (void)loop;
    (void)revents;
    (*(uint64_t *)t->data)++;
}

static void
on_end(struct ev_loop *loop, ev_timer *t, int revents)
{
    (void)t;
    (void)revents;
    ev_break(loop, EVBREAK_ALL);
}

/* Measures n timers of 10 ms, of which every database has three. together: all
   are due at the same time, as in the daemon, which starts them together. */
static void
measure_timers(unsigned n, bool together)
{
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    ev_timer *t = g_new0(ev_timer, n);
    ev_timer end;
    uint64_t calls = 0;

    for (unsigned i = 0; i < n; i++) {
        ev_timer_init(&t[i], on_timer, together ? 0.0 : i * 0.01 / n,
                      TICK_MS / 1000.0);
        t[i].data = &calls;
        ev_timer_start(loop, &t[i]);
    }
    ev_timer_init(&end, on_end, 2.0, 0.0);
    ev_timer_start(loop, &end);
    double cpu = process_cpu_us();
    ev_run(loop, 0);
    cpu = process_cpu_us() - cpu;
    printf("timers_%s_%u_cpu_us_per_second=%.0f\n",
           together ? "together" : "spread", n, cpu / 2);
    printf("timers_%s_%u_calls_per_second=%lu\n",
           together ? "together" : "spread", n, (unsigned long)(calls / 2));
    ev_loop_destroy(loop);
    g_free(t);
}

/* Measures libpq's memory per connection, against a loopback socket that never
   answers. */
static void
measure_connection(void)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(a);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    PGconn *c[CONNECTIONS];
    char info[128];

    if (fd < 0 || bind(fd, (struct sockaddr *)&a, size) != 0 ||
        listen(fd, CONNECTIONS) != 0 ||
        getsockname(fd, (struct sockaddr *)&a, &size) != 0) {
        g_error("no loopback socket could be opened");
    }
    g_snprintf(info, sizeof(info),
               "host=127.0.0.1 port=%u user=u dbname=d sslmode=disable",
               ntohs(a.sin_port));
    double heap = process_heap_bytes();
    for (int i = 0; i < CONNECTIONS; i++) {
        c[i] = PQconnectStart(info);
    }
    printf("control_connection_bytes=%.0f\n",
           (process_heap_bytes() - heap) / CONNECTIONS);
    for (int i = 0; i < CONNECTIONS; i++) {
        PQfinish(c[i]);
    }
    close(fd);
}

/* Prints the size of a probe's Query message and of the answer. */
static void
measure_messages(void)
{
    static const char text[] = "4295032833 123456789 replica 12 12 4295032833";
    const size_t query = 1 + 4 + sizeof(GROUP_SQL_STATE);
    /* RowDescription with one column, DataRow, CommandComplete and
       ReadyForQuery. */
    const size_t row_description = 1 + 4 + 2 + sizeof("group_state") + 18;
    const size_t data_row = 1 + 4 + 2 + 4 + sizeof(text) - 1;
    const size_t complete = 1 + 4 + sizeof("SELECT 1");
    const size_t ready = 1 + 4 + 1;

    printf("probe_query_bytes=%zu\n", query);
    printf("probe_answer_bytes=%zu\n",
           row_description + data_row + complete + ready);
}

int
main(void)
{
    now = 100000;
    measure_messages();
    measure_connection();
    for (int rank = 0; rank >= -1; rank--) {
        measure_monitoring(10, rank);
        measure_monitoring(17, rank);
        measure_monitoring(100, rank);
        measure_monitoring(1000, rank);
    }
    measure_round(200);
    measure_round(1000);
    measure_round(2000);
    measure_timers(51, true);
    measure_timers(1000, true);
    measure_timers(51, false);
    measure_timers(1000, false);
    return 0;
}
