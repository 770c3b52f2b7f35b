#include "capacity/usage.h"

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

/* Measures the watch of databases and one failover round, against groups in
   the same process whose answers arrive with the next tick. Prints key=value
   lines. */

#define MEMBERS 3
#define TICK_MS 10 /* as WATCH_TICK_S */
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

/* A database group, watched by one proxy. */
struct watched {
    struct failover *f;
    GArray *calls; /* unanswered */
    GArray *taken; /* scratch */
    uint64_t term[MEMBERS];
    uint64_t sealed[MEMBERS];
    int primary;
    int lost; /* a member without answers, or -1 */
    clock_ms lost_at;
    uint64_t sent[4]; /* by kind */
};

static clock_ms now;

/* Notes one call. */
static void
note_call(struct watched *w, struct call c)
{
    w->sent[c.kind]++;
    g_array_append_val(w->calls, c);
}

/* Action: probe. */
static void
on_probe(void *ctx, int member, uint64_t id)
{
    note_call(ctx, (struct call){CALL_PROBE, member, 0, id});
}

/* Action: seal. */
static void
on_seal(void *ctx, int member, uint64_t term, uint64_t id)
{
    note_call(ctx, (struct call){CALL_SEAL, member, term, id});
}

/* Action: promote. */
static void
on_promote(void *ctx, int member, uint64_t term, uint64_t id)
{
    note_call(ctx, (struct call){CALL_PROMOTE, member, term, id});
}

/* Action: follow. */
static void
on_follow(void *ctx, int member, uint64_t term, int primary, uint64_t id)
{
    (void)primary;
    note_call(ctx, (struct call){CALL_FOLLOW, member, term, id});
}

/* Action: the primary changed. */
static void
on_primary(void *ctx, int member, uint64_t term)
{
    (void)ctx;
    (void)member;
    (void)term;
}

/* Action: hold writes. */
static void
on_hold(void *ctx, bool hold)
{
    (void)ctx;
    (void)hold;
}

/* Action: a log line, dropped. */
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

/* Answers one call as the group would. */
static void
answer(struct watched *w, const struct call *c)
{
    const int m = c->member;

    if (c->kind == CALL_PROBE) {
        const struct failover_probe_answer p = {
            .term = w->term[m],
            .position = 1000,
            .role = m == w->primary ? FAILOVER_ROLE_PRIMARY
                                    : FAILOVER_ROLE_REPLICA,
            .silence_ms = w->primary == w->lost ? now - w->lost_at : 0,
            .sealed = w->sealed[m],
            .rtt_us = 1000,
        };

        failover_probe_answered(w->f, now, m, c->id, &p);
    }
    else if (c->kind == CALL_SEAL) {
        const bool granted = c->term > w->sealed[m];

        w->sealed[m] = granted ? c->term : w->sealed[m];
        failover_seal_answered(w->f, now, m, c->id, granted, w->term[m], 1000);
    }
    else if (c->kind == CALL_PROMOTE) {
        w->primary = m;
        w->term[m] = c->term;
        failover_promote_answered(w->f, now, m, c->id, true);
    }
    else {
        w->term[m] = c->term;
        failover_follow_answered(w->f, now, m, c->id, true);
    }
}

/* Answers what was sent since the last step, then ticks. */
static void
step(struct watched *w)
{
    GArray *taken = w->calls;

    w->calls = w->taken;
    w->taken = taken;
    for (guint i = 0; i < taken->len; i++) {
        const struct call c = g_array_index(taken, struct call, i);

        if (c.member != w->lost) {
            answer(w, &c);
        }
    }
    g_array_set_size(taken, 0);
    failover_tick(w->f, now);
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

/* Makes room for calls. It precedes the start, which already probes, and is
   no part of the measured memory. */
static void
watched_prepare(struct watched *w)
{
    w->calls = g_array_sized_new(FALSE, FALSE, sizeof(struct call), 16);
    w->taken = g_array_sized_new(FALSE, FALSE, sizeof(struct call), 16);
}

/* Releases what a watched group holds. */
static void
watched_clear(struct watched *w)
{
    failover_destroy(w->f);
    g_array_free(w->calls, TRUE);
    g_array_free(w->taken, TRUE);
}

/* Starts the watch of one group whose members have a common term. */
static void
watched_init(struct watched *w, struct rng *rng, int rank, int64_t interval)
{
    struct failover_config config = {.proxy_id = 1,
                                     .member_count = MEMBERS,
                                     .rank = rank,
                                     .actions = &actions,
                                     .ctx = w,
                                     .rng = rng};

    failover_settings_default(&config.settings);
    if (interval > 0) {
        config.settings.probe_interval_ms = interval;
        config.settings.pause_gap_ms =
            MAX(config.settings.pause_gap_ms, interval);
    }
    for (int m = 0; m < MEMBERS; m++) {
        w->term[m] = 1 << 16 | 7;
        w->sealed[m] = w->term[m];
    }
    w->lost = -1;
    w->f = failover_create(&config, now);
    if (!w->f) {
        g_error("settings refused");
    }
}

/* Runs all groups for some time. */
static void
run(struct watched *w, unsigned n, clock_ms time)
{
    for (clock_ms end = now + time; now < end; now += TICK_MS) {
        for (unsigned i = 0; i < n; i++) {
            step(&w[i]);
        }
    }
}

/* Measures a steady watch of n databases with a rank. */
static void
measure_watch(unsigned n, int rank)
{
    const char *role = rank < 0 ? "observed" : "watched";
    struct watched *w = g_new0(struct watched, n);
    struct rng rng;
    uint64_t probes = 0;

    rng_seed(&rng, 1);
    for (unsigned i = 0; i < n; i++) {
        watched_prepare(&w[i]);
    }
    double heap = usage_heap_bytes();
    for (unsigned i = 0; i < n; i++) {
        watched_init(&w[i], &rng, rank, 0);
    }
    heap = usage_heap_bytes() - heap;
    run(w, n, WARM_UP_MS);
    for (unsigned i = 0; i < n; i++) {
        probes -= w[i].sent[CALL_PROBE];
    }
    double cpu = usage_cpu_us();
    run(w, n, STEADY_MS);
    cpu = usage_cpu_us() - cpu;
    for (unsigned i = 0; i < n; i++) {
        probes += w[i].sent[CALL_PROBE];
    }
    printf("%s_%u_bytes_per_database=%.0f\n", role, n, heap / n);
    printf("%s_%u_cpu_us_per_second_and_database=%.2f\n", role, n,
           cpu / n / (STEADY_MS / 1000.0));
    printf("%s_%u_probes_per_second_and_database=%.2f\n", role, n,
           (double)probes / n / (STEADY_MS / 1000.0));
    for (unsigned i = 0; i < n; i++) {
        watched_clear(&w[i]);
    }
    g_free(w);
}

/* Loses the primary of one group at a random time of the probe interval.
   Returns the time until another one was promoted. */
static clock_ms
lose_primary(int64_t interval, uint64_t seed, uint64_t *calls, double *cpu)
{
    struct watched w = {0};
    struct rng rng;

    rng_seed(&rng, seed);
    watched_prepare(&w);
    watched_init(&w, &rng, 0, interval);
    run(&w, 1, WARM_UP_MS + (clock_ms)rng_below(&rng, (uint64_t)interval));
    memset(w.sent, 0, sizeof(w.sent));
    w.lost = w.primary;
    w.lost_at = now;
    *cpu = usage_cpu_us();
    while (failover_get_counters(w.f)->rounds_completed == 0 &&
           now < w.lost_at + LIMIT_MS) {
        run(&w, 1, TICK_MS);
    }
    *cpu = usage_cpu_us() - *cpu;
    *calls = w.sent[CALL_SEAL] + w.sent[CALL_PROMOTE] + w.sent[CALL_FOLLOW];
    watched_clear(&w);
    return now - w.lost_at;
}

/* Measures failover rounds with a probe interval. */
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

/* Does nothing; its calls are what is measured. */
static void
on_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
    (void)loop;
    (void)revents;
    (*(uint64_t *)t->data)++;
}

/* Ends the loop. */
static void
on_end(struct ev_loop *loop, ev_timer *t, int revents)
{
    (void)t;
    (void)revents;
    ev_break(loop, EVBREAK_ALL);
}

/* Measures n timers of 10 ms, of which every database has three; the daemon
   starts them together, so they are due together. */
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
    double cpu = usage_cpu_us();
    ev_run(loop, 0);
    cpu = usage_cpu_us() - cpu;
    printf("timers_%s_%u_cpu_us_per_second=%.0f\n",
           together ? "together" : "spread", n, cpu / 2);
    printf("timers_%s_%u_calls_per_second=%lu\n",
           together ? "together" : "spread", n, (unsigned long)(calls / 2));
    ev_loop_destroy(loop);
    g_free(t);
}

/* Measures libpq's memory for a connection, against a loopback socket that
   never answers. */
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
        g_error("no loopback socket");
    }
    g_snprintf(info, sizeof(info),
               "host=127.0.0.1 port=%u user=u dbname=d sslmode=disable",
               ntohs(a.sin_port));
    double heap = usage_heap_bytes();
    for (int i = 0; i < CONNECTIONS; i++) {
        c[i] = PQconnectStart(info);
    }
    printf("control_connection_bytes=%.0f\n",
           (usage_heap_bytes() - heap) / CONNECTIONS);
    for (int i = 0; i < CONNECTIONS; i++) {
        PQfinish(c[i]);
    }
    close(fd);
}

/* Prints the size of a probe's Query message and of its answer. */
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
        measure_watch(10, rank);
        measure_watch(17, rank);
        measure_watch(100, rank);
        measure_watch(1000, rank);
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
