#include "load/direct.h"
#include "load/flow.h"
#include "load/session.h"

#include "base/clock.h"

#define LOG_MODULE "consistency"
#include "base/log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define CONSISTENCY_LAG_CHANGE_S 0.35
/* Longer than the deadlines of short caller kinds. Statements still in flight
   after this time count as unknown. */
#define CONSISTENCY_DRAIN_LIMIT_S 3.5
#define CONSISTENCY_LAG_MAX_MS 400
/* Time in which statements of closed connections may still commit. */
#define CONSISTENCY_COMMIT_WAIT_S 1.0

/* Sets a replication lag on one random member or on none, so that reads meet
   replicas that are behind. */
static void
change_lag(PGconn *direct, const struct load_options *o, struct rng *rng)
{
    const int members = direct_member_count(o);
    const int lagging = (int)rng_below(rng, (uint64_t)members + 1);

    for (int i = 0; i < members; i++) {
        const uint64_t ms =
            i == lagging ? 50 + rng_below(rng, CONSISTENCY_LAG_MAX_MS) : 0;
        char sql[96];
        snprintf(sql, sizeof(sql),
                 "SELECT fake_fault('lag', '%d %" PRIu64 "')", i, ms);
        g_free(direct_query(direct, sql));
    }
}

/* Returns a row's value, which the caller frees; NULL if there is no row. */
static char *
read_row(PGconn *direct, const char *table, const char *key)
{
    char *sql =
        g_strdup_printf("SELECT value FROM %s WHERE id = '%s'", table, key);
    char *value = direct_query(direct, sql);

    g_free(sql);
    return value;
}

/* Compares every row with the value that the primary holds. */
static void
check_rows(PGconn *direct, struct session_shared *state)
{
    for (guint i = 0; i < state->checker->rows->len; i++) {
        const struct checked_row *r =
            g_ptr_array_index(state->checker->rows, i);
        if (r == state->pair) {
            continue;
        }
        char *value = read_row(direct, r->table, r->key);
        checker_check_final_value(state->checker, r, value);
        g_free(value);
    }
    char *key_a = g_strdup_printf("%s-a", state->pair->key);
    char *key_b = g_strdup_printf("%s-b", state->pair->key);
    char *a = read_row(direct, "entries", key_a);
    char *b = read_row(direct, "entries", key_b);
    checker_check_final_value(state->checker, state->pair, a);
    if (g_strcmp0(a, b) != 0) {
        state->checker->counts.mixed_transactions++;
    }
    g_free(a);
    g_free(b);
    g_free(key_a);
    g_free(key_b);
}

/* Runs the sessions for the given time, stops them and removes the lag. */
static void
run_sessions(struct session_shared *state, struct session **sessions,
             PGconn *direct)
{
    const struct load_options *o = state->options;
    struct rng rng;

    rng_seed(&rng, (uint64_t)o->seed);
    for (int i = 0; i < o->clients; i++) {
        sessions[i] = session_create(state, i, rng_next(&rng));
        session_start(sessions[i]);
    }
    int64_t deadline = flow_deadline(o->seconds);
    while (clock_monotonic_us() < deadline) {
        change_lag(direct, o, &rng);
        flow_wait(state->loop, CONSISTENCY_LAG_CHANGE_S);
    }
    for (int i = 0; i < o->clients; i++) {
        session_stop(sessions[i]);
    }
    deadline = flow_deadline(CONSISTENCY_DRAIN_LIMIT_S);
    while (clock_monotonic_us() < deadline) {
        int left = 0;
        for (int i = 0; i < o->clients; i++) {
            left += !session_is_stopped(sessions[i]);
        }
        if (left == 0) {
            break;
        }
        flow_wait(state->loop, 0.1);
    }
    for (int i = 0; i < o->clients; i++) {
        session_destroy(sessions[i]);
    }
    for (int i = 0; i < direct_member_count(o); i++) {
        char sql[64];
        snprintf(sql, sizeof(sql), "SELECT fake_fault('lag', '%d 0')", i);
        g_free(direct_query(direct, sql));
    }
    flow_wait(state->loop, CONSISTENCY_COMMIT_WAIT_S);
}

static void
report(const struct session_shared *state, int64_t mixed_statements)
{
    const struct checker_counts *c = &state->checker->counts;

    printf("consistency_statements=%" PRId64 "\n", state->statements);
    printf("consistency_acknowledged=%" PRId64 "\n", state->acked);
    printf("consistency_unknown=%" PRId64 "\n", state->unknown);
    printf("consistency_not_run=%" PRId64 "\n", state->not_run);
    printf("consistency_roams=%" PRId64 "\n", state->roams);
    printf("consistency_lost_connections=%" PRId64 "\n",
           state->lost_connections);
    printf("stale_own_reads=%" PRId64 "\n", c->stale_own_reads);
    printf("mixed_transactions=%" PRId64 "\n",
           c->mixed_transactions + mixed_statements);
    printf("incomplete_answers=%" PRId64 "\n", c->incomplete_answers);
    printf("lost_writes=%" PRId64 "\n", c->lost_writes);
    printf("duplicate_writes=%" PRId64 "\n", c->duplicate_writes);
    printf("false_not_run=%" PRId64 "\n", c->false_not_run);
}

/* Runs sessions that move between proxies and checks all their answers.
   Proxies may be killed and drained during the run. */
bool
consistency_run(const struct load_options *o)
{
    struct session_shared state = {
        .loop = ev_default_loop(EVFLAG_AUTO),
        .options = o,
        .checker = checker_create(),
    };
    struct session **sessions = g_new0(struct session *, o->clients);
    PGconn *direct = direct_open_primary(o);
    char key[32];
    bool ok = false;

    if (direct == NULL) {
        goto done;
    }
    snprintf(key, sizeof(key), "pair%d", (int)(o->seed % 1000000));
    state.pair = checker_add_row(state.checker, "entries", key);
    char *first_pair_key = g_strdup_printf("%s-a", key);
    char *existing = read_row(direct, "entries", first_pair_key);
    g_free(first_pair_key);
    if (existing != NULL) {
        LOG_ERROR("start", NULL,
                  "the rows of seed %" G_GINT64_FORMAT
                  " exist already; choose another seed",
                  o->seed);
        g_free(existing);
        goto done;
    }
    const int64_t mixed = direct_read_counter(direct, "mixed_statements");
    run_sessions(&state, sessions, direct);
    PQfinish(direct);
    direct = direct_open_primary(o);
    if (direct == NULL || state.acked == 0) {
        LOG_ERROR("end", NULL,
                  "the run cannot be checked; %" PRId64
                  " statements were acknowledged",
                  state.acked);
        goto done;
    }
    check_rows(direct, &state);
    report(&state, direct_read_counter(direct, "mixed_statements") - mixed);
    ok = true;
done:
    PQfinish(direct);
    g_free(sessions);
    checker_destroy(state.checker);
    return ok;
}
