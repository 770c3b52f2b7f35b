#include "fakes/group.h"

#include "base/rng.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define MEMBERS 3
#define MAJORITY 2
#define TERM(round, owner) ((uint64_t)(round) << 16 | (uint64_t)(owner))

/* The outcome of one commit or confirmation. */
struct outcome {
    bool done;
    enum fake_group_status status;
};

static void
record_outcome(void *ctx, enum fake_group_status status)
{
    struct outcome *o = ctx;

    assert_false(o->done);
    o->done = true;
    o->status = status;
}

static struct fake_group *
create_group(clock_ms delay_ms)
{
    const struct fake_group_options options = {.members = MEMBERS,
                                               .delay_ms = delay_ms};

    return fake_group_create(&options, 0);
}

/* Starts the commit of an INSERT of one row. */
static enum fake_group_status
start_commit(struct fake_group *g, unsigned member, const char *key,
             const char *value, struct outcome *o)
{
    const struct op op = {
        .kind = OP_INSERT, .key = (char *)key, .value = (char *)value};

    *o = (struct outcome){0};
    return fake_group_commit(g, member, &op, 1, record_outcome, o);
}

/* Runs a group for span ms; returns the time at the end. */
static clock_ms
run_for(struct fake_group *g, clock_ms from, clock_ms span)
{
    for (clock_ms t = from; t <= from + span; t++) {
        fake_group_run(g, t);
    }
    return from + span;
}

static void
assert_no_violations(const struct fake_group *g)
{
    const struct fake_group_violations *v = fake_group_get_violations(g);

    assert_int_equal(v->lost_acknowledged, 0);
    assert_int_equal(v->diverged, 0);
    assert_int_equal(v->double_promotion, 0);
    assert_int_equal(v->replaced_acks, 0);
}

/* Guards against an acknowledgement by a primary that was isolated, replaced
   and connected again. */
static void
test_replaced_primary_acknowledges_nothing(void **state)
{
    (void)state;
    struct fake_group *g = create_group(0);
    char text[GROUP_STATE_BYTES];
    struct outcome cut_off;
    struct outcome fresh;
    clock_ms now = run_for(g, 0, 100);

    fake_group_set_isolated(g, 0, true);
    assert_int_equal(start_commit(g, 0, "ea", "1", &cut_off), GROUP_PENDING);
    now = run_for(g, now, 200);
    assert_false(cut_off.done);
    assert_int_equal(fake_group_seal(g, 1, TERM(2, 1), text), GROUP_OK);
    assert_int_equal(fake_group_seal(g, 2, TERM(2, 1), text), GROUP_OK);
    assert_int_equal(fake_group_promote(g, 1, TERM(2, 1), now), GROUP_OK);
    assert_int_equal(fake_group_follow(g, 2, TERM(2, 1), 1, now), GROUP_OK);
    assert_int_equal(start_commit(g, 1, "ea", "2", &fresh), GROUP_PENDING);
    now = run_for(g, now, 200);
    assert_true(fresh.done);
    assert_int_equal(fresh.status, GROUP_OK);
    assert_true(fake_group_is_primary(g, 0));
    assert_false(cut_off.done);

    fake_group_set_isolated(g, 0, false);
    now = run_for(g, now, 200);
    assert_true(cut_off.done);
    assert_int_equal(cut_off.status, GROUP_REPLACED);
    assert_false(fake_group_is_primary(g, 0));
    assert_int_equal(start_commit(g, 0, "eb", "1", &cut_off),
                     GROUP_NOT_PRIMARY);

    assert_int_equal(fake_group_follow(g, 0, TERM(2, 1), 1, now), GROUP_OK);
    run_for(g, now, 200);
    assert_string_equal(row_map_get(fake_group_visible(g, 0), "ea"), "2");
    assert_no_violations(g);
    fake_group_destroy(g);
}

/* Guards against an acknowledgement by a primary on which a higher term is
   sealed while its entry is still being replicated to a majority. */
static void
test_seal_stops_a_waiting_commit(void **state)
{
    (void)state;
    struct fake_group *g = create_group(5);
    char text[GROUP_STATE_BYTES];
    struct outcome o;
    clock_ms now = run_for(g, 0, 100);

    start_commit(g, 0, "ea", "1", &o);
    fake_group_run(g, now);
    assert_int_equal(fake_group_seal(g, 0, TERM(2, 1), text), GROUP_OK);
    assert_true(o.done);
    assert_int_equal(o.status, GROUP_REPLACED);
    run_for(g, now, 200);
    assert_null(row_map_get(fake_group_visible(g, 0), "ea"));
    assert_int_equal(fake_group_seal(g, 0, TERM(1, 9), text), GROUP_REFUSED);
    assert_no_violations(g);
    fake_group_destroy(g);
}

/* Guards against a replica that makes an entry visible before it learns from
   the primary that a majority holds the entry. */
static void
test_replica_shows_only_what_a_majority_holds(void **state)
{
    (void)state;
    struct fake_group *g = create_group(0);
    struct outcome o;
    clock_ms now = run_for(g, 0, 100);

    fake_group_set_isolated(g, 1, true);
    fake_group_set_isolated(g, 2, true);
    start_commit(g, 0, "ea", "1", &o);
    now = run_for(g, now, 200);
    assert_false(o.done);
    assert_null(row_map_get(fake_group_visible(g, 0), "ea"));

    fake_group_set_isolated(g, 1, false);
    /* The entry arrives with one heartbeat, its commit only with the next. */
    while (!o.done) {
        assert_null(row_map_get(fake_group_visible(g, 1), "ea"));
        fake_group_run(g, ++now);
    }
    assert_string_equal(row_map_get(fake_group_visible(g, 0), "ea"), "1");
    assert_null(row_map_get(fake_group_visible(g, 1), "ea"));
    now = run_for(g, now + 1, GROUP_HEARTBEAT_MS);
    assert_string_equal(row_map_get(fake_group_visible(g, 1), "ea"), "1");
    assert_null(row_map_get(fake_group_visible(g, 2), "ea"));
    fake_group_set_isolated(g, 2, false);
    run_for(g, now, 200);
    assert_string_equal(row_map_get(fake_group_visible(g, 2), "ea"), "1");
    assert_no_violations(g);
    fake_group_destroy(g);
}

/* Guards against treating entries of an older term as committed because a
   majority holds them: a promoted primary must first commit an entry of its
   own term. */
static void
test_older_term_is_committed_by_an_own_entry_only(void **state)
{
    (void)state;
    struct fake_group *g = create_group(0);
    char text[GROUP_STATE_BYTES];
    struct outcome o;
    struct outcome confirm = {0};
    clock_ms now = run_for(g, 0, 100);

    fake_group_set_isolated(g, 2, true);
    fake_group_set_lag(g, 1, 60);
    start_commit(g, 0, "ea", "1", &o);
    now = run_for(g, now, 100);
    const uint64_t end = fake_group_log_end(g, 1);
    assert_int_equal(end, fake_group_log_end(g, 0));
    fake_group_set_alive(g, 0, false, now);
    assert_int_equal(fake_group_seal(g, 1, TERM(2, 1), text), GROUP_OK);
    assert_int_equal(fake_group_seal(g, 2, TERM(2, 1), text), GROUP_OK);
    assert_int_equal(fake_group_promote(g, 1, TERM(2, 1), now), GROUP_OK);
    assert_int_equal(fake_group_confirm(g, 1, record_outcome, &confirm),
                     GROUP_PENDING);
    now = run_for(g, now, 200);
    assert_false(confirm.done);
    assert_true(fake_group_position(g, 1) <= end);

    fake_group_set_isolated(g, 2, false);
    assert_int_equal(fake_group_follow(g, 2, TERM(2, 1), 1, now), GROUP_OK);
    run_for(g, now, 200);
    assert_true(confirm.done);
    assert_int_equal(confirm.status, GROUP_OK);
    assert_string_equal(row_map_get(fake_group_visible(g, 2), "ea"), "1");
    assert_no_violations(g);
    fake_group_destroy(g);
}

/* Guards against making entries of an older term visible as soon as a majority
   holds them: a primary of a higher term could still replace them. The old
   entries need more than one message, so that they arrive before the promoted
   primary's own entry. */
static void
test_older_entries_wait_for_the_own_entry(void **state)
{
    (void)state;
    const unsigned n = 1500;
    struct fake_group *g = create_group(10);
    struct outcome o[1500];
    char text[GROUP_STATE_BYTES];
    char key[32];
    clock_ms now = run_for(g, 0, 100);
    const uint64_t start = fake_group_position(g, 0);

    fake_group_set_isolated(g, 0, true);
    for (unsigned i = 0; i < n; i++) {
        g_snprintf(key, sizeof key, "e%u", i);
        assert_int_equal(start_commit(g, 0, key, key, &o[i]), GROUP_PENDING);
    }
    now = run_for(g, now, 100);
    for (unsigned i = 0; i < 2; i++) {
        assert_int_equal(fake_group_seal(g, i, TERM(2, 1), text), GROUP_OK);
    }
    fake_group_set_isolated(g, 0, false);
    assert_int_equal(fake_group_promote(g, 0, TERM(2, 1), now), GROUP_OK);
    assert_int_equal(fake_group_follow(g, 1, TERM(2, 1), 0, now), GROUP_OK);
    bool partly = false;
    for (unsigned i = 0; i < 1000; i++) {
        fake_group_run(g, ++now);
        const uint64_t received = fake_group_log_end(g, 1);
        partly |= received > start && received < start + n;
        if (received <= start + n) {
            assert_int_equal(fake_group_position(g, 0), start);
        }
    }
    assert_true(partly);
    assert_int_equal(fake_group_position(g, 0), start + n + 1);
    assert_no_violations(g);
    fake_group_destroy(g);
}

/* Guards against a second INSERT of a key whose first one is not committed
   yet, and against a lost update between two concurrent additions. */
static void
test_uncommitted_rows_are_seen_by_later_writes(void **state)
{
    (void)state;
    struct fake_group *g = create_group(5);
    struct outcome o[4];
    struct op add = {.kind = OP_ADD, .key = "en", .value = "2"};
    clock_ms now = run_for(g, 0, 100);

    assert_int_equal(start_commit(g, 0, "ea", "1", &o[0]), GROUP_PENDING);
    assert_int_equal(start_commit(g, 0, "ea", "2", &o[1]), GROUP_DUPLICATE);
    memset(o, 0, sizeof o);
    assert_int_equal(fake_group_commit(g, 0, &add, 1, record_outcome, &o[2]),
                     GROUP_PENDING);
    assert_int_equal(fake_group_commit(g, 0, &add, 1, record_outcome, &o[3]),
                     GROUP_PENDING);
    run_for(g, now, 100);
    assert_string_equal(row_map_get(fake_group_visible(g, 0), "en"), "4");
    assert_string_equal(row_map_get(fake_group_visible(g, 0), "ea"), "1");
    assert_int_equal(row_map_count(fake_group_visible(g, 0), TABLE_ENTRIES),
                     2);
    fake_group_destroy(g);
}

/* Guards against a refused seal that does not report the higher sealed term,
   and against promoting a member in a term that is not sealed on it. */
static void
test_terms_order_calls(void **state)
{
    (void)state;
    struct fake_group *g = create_group(0);
    char text[GROUP_STATE_BYTES];
    clock_ms now = run_for(g, 0, 100);

    assert_int_equal(fake_group_promote(g, 1, TERM(2, 1), now), GROUP_REFUSED);
    assert_int_equal(fake_group_seal(g, 1, TERM(3, 2), text), GROUP_OK);
    assert_int_equal(fake_group_seal(g, 1, TERM(2, 1), text), GROUP_REFUSED);
    assert_string_equal(text, "refused 196610 1");
    assert_int_equal(fake_group_promote(g, 1, TERM(2, 1), now), GROUP_REFUSED);
    assert_int_equal(fake_group_follow(g, 1, TERM(2, 1), 0, now),
                     GROUP_REFUSED);
    assert_int_equal(fake_group_seal(g, 1, TERM(3, 2), text), GROUP_OK);
    assert_string_equal(text, "granted 65536 1");
    fake_group_destroy(g);
}

/* State of a run with random faults. */
struct random_run {
    struct fake_group *g;
    struct rng rng;
    clock_ms now;
    uint64_t round; /* of the last failover; see TERM() */
    unsigned n_commits;
    struct outcome commits[4096];
    bool alive[MEMBERS];
    uint64_t highest_position[MEMBERS]; /* highest visible one so far */
};

/* Seals a new term on a majority, promotes the most advanced sealed member and
   makes a random subset of the others follow, as competing proxies would do.
   At random, leaves the failover unfinished after sealing. */
static void
fail_over(struct random_run *run)
{
    const uint64_t term = TERM(++run->round, 1 + rng_below(&run->rng, 5));
    const unsigned first = (unsigned)rng_below(&run->rng, MEMBERS);
    unsigned sealed = 0;
    int best = -1;
    char text[GROUP_STATE_BYTES];

    for (unsigned k = 0; k < MEMBERS; k++) {
        const unsigned i = (first + k) % MEMBERS;
        if (!run->alive[i] ||
            (sealed >= MAJORITY && rng_below(&run->rng, 2)) ||
            fake_group_seal(run->g, i, term, text) != GROUP_OK) {
            continue;
        }
        sealed++;
        const uint64_t t = fake_group_log_term(run->g, i);
        const uint64_t p = fake_group_log_end(run->g, i);
        if (best < 0 || t > fake_group_log_term(run->g, (unsigned)best) ||
            (t == fake_group_log_term(run->g, (unsigned)best) &&
             p > fake_group_log_end(run->g, (unsigned)best))) {
            best = (int)i;
        }
    }
    if (sealed < MAJORITY || rng_below(&run->rng, 8) == 0) {
        return;
    }
    assert_int_equal(
        fake_group_promote(run->g, (unsigned)best, term, run->now), GROUP_OK);
    for (unsigned i = 0; i < MEMBERS; i++) {
        if ((int)i != best && run->alive[i] && rng_below(&run->rng, 8) != 0) {
            fake_group_follow(run->g, i, term, (unsigned)best, run->now);
        }
    }
}

/* Injects a random fault, fails over or repairs a member. */
static void
inject_random_fault(struct random_run *run)
{
    const unsigned i = (unsigned)rng_below(&run->rng, MEMBERS);

    switch (rng_below(&run->rng, 6)) {
    case 0:
        fake_group_set_isolated(run->g, i, true);
        break;
    case 1:
        fake_group_set_lag(run->g, i, (clock_ms)rng_below(&run->rng, 40));
        break;
    case 2:
        run->alive[i] = false;
        fake_group_set_alive(run->g, i, false, run->now);
        break;
    case 3:
        fail_over(run);
        break;
    default:
        fake_group_set_isolated(run->g, i, false);
        run->alive[i] = true;
        fake_group_set_alive(run->g, i, true, run->now);
        break;
    }
}

/* Checks that the visible entries of every member are held by a majority and
   that its position never decreases. */
static void
check_visible_entries(struct random_run *run)
{
    for (unsigned i = 0; i < MEMBERS; i++) {
        const uint64_t p = fake_group_position(run->g, i);
        unsigned holders = 0;
        for (unsigned k = 0; k < MEMBERS; k++) {
            holders += fake_group_has_entry(
                run->g, k, p, fake_group_visible_term(run->g, i));
        }
        assert_true(holders >= MAJORITY);
        assert_true(p >= run->highest_position[i]);
        run->highest_position[i] = p;
    }
}

/* Repairs all members and promotes one that all others follow. */
static void
end_faults(struct random_run *run)
{
    char text[GROUP_STATE_BYTES];
    const uint64_t term = TERM(++run->round, 1);
    unsigned best = 0;

    for (unsigned i = 0; i < MEMBERS; i++) {
        fake_group_set_isolated(run->g, i, false);
        fake_group_set_lag(run->g, i, 0);
        fake_group_set_alive(run->g, i, true, run->now);
        assert_int_equal(fake_group_seal(run->g, i, term, text), GROUP_OK);
        const uint64_t t = fake_group_log_term(run->g, i);
        if (t > fake_group_log_term(run->g, best) ||
            (t == fake_group_log_term(run->g, best) &&
             fake_group_log_end(run->g, i) >
                 fake_group_log_end(run->g, best))) {
            best = i;
        }
    }
    assert_int_equal(fake_group_promote(run->g, best, term, run->now),
                     GROUP_OK);
    for (unsigned i = 0; i < MEMBERS; i++) {
        if (i != best) {
            fake_group_follow(run->g, i, term, best, run->now);
        }
    }
    run->now = run_for(run->g, run->now, 1000);
}

/* Runs one seed and returns the number of acknowledged commits. */
static unsigned
run_seed(uint64_t seed)
{
    struct random_run *run = g_new0(struct random_run, 1);
    unsigned acked = 0;
    char key[32];

    rng_seed(&run->rng, seed);
    run->g = create_group((clock_ms)rng_below(&run->rng, 4));
    run->round = 1;
    for (unsigned i = 0; i < MEMBERS; i++) {
        run->alive[i] = true;
    }
    for (unsigned step = 0; step < 4000; step++) {
        fake_group_run(run->g, ++run->now);
        check_visible_entries(run);
        if (rng_below(&run->rng, 40) == 0) {
            inject_random_fault(run);
        }
        const unsigned i = (unsigned)rng_below(&run->rng, MEMBERS);
        if (run->n_commits < G_N_ELEMENTS(run->commits) && run->alive[i]) {
            g_snprintf(key, sizeof key, "e%u", run->n_commits);
            struct outcome *o = &run->commits[run->n_commits];
            run->n_commits +=
                start_commit(run->g, i, key, key, o) == GROUP_PENDING;
        }
    }
    end_faults(run);
    check_visible_entries(run);
    assert_no_violations(run->g);
    for (unsigned i = 0; i < run->n_commits; i++) {
        const struct outcome *o = &run->commits[i];
        if (o->done && o->status == GROUP_OK) {
            acked++;
            g_snprintf(key, sizeof key, "e%u", i);
            for (unsigned k = 0; k < MEMBERS; k++) {
                assert_non_null(
                    row_map_get(fake_group_visible(run->g, k), key));
            }
        }
    }
    for (unsigned k = 1; k < MEMBERS; k++) {
        assert_int_equal(
            row_map_count(fake_group_visible(run->g, k), TABLE_ENTRIES),
            row_map_count(fake_group_visible(run->g, 0), TABLE_ENTRIES));
    }
    fake_group_destroy(run->g);
    g_free(run);
    return acked;
}

/* Guards against promotions that lose acknowledged entries and against visible
   entries that only a minority holds, under random faults and competing
   failovers. */
static void
test_random_faults_keep_acknowledged_entries(void **state)
{
    (void)state;
    const uint64_t seeds = 100;
    unsigned acked = 0;

    for (uint64_t seed = 1; seed <= seeds; seed++) {
        acked += run_seed(seed);
    }
    /* Fewer would mean that the runs hardly exercise the commit path. */
    assert_true(acked > seeds * 100);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_replaced_primary_acknowledges_nothing),
        cmocka_unit_test(test_seal_stops_a_waiting_commit),
        cmocka_unit_test(test_replica_shows_only_what_a_majority_holds),
        cmocka_unit_test(test_older_term_is_committed_by_an_own_entry_only),
        cmocka_unit_test(test_older_entries_wait_for_the_own_entry),
        cmocka_unit_test(test_uncommitted_rows_are_seen_by_later_writes),
        cmocka_unit_test(test_terms_order_calls),
        cmocka_unit_test(test_random_faults_keep_acknowledged_entries),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
