#include "relay/relay_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Plays reads on a replica that is behind; the others leave. */

struct read {
    struct work work;
    struct pooled_link *link;
    int failures;
};

/* Gives the connection back after an answer. */
static void
on_answered(void *ctx, const struct answer *a)
{
    struct read *r = ctx;
    struct pooled_link *l = r->link;

    r->failures += a->failure != FAILURE_NONE;
    r->link = NULL;
    pooled_release(l, false);
}

static const struct pooled_user user = {.answered = on_answered};

/* Sends the read with the position that it needs. */
static void
on_granted(void *ctx, struct pooled_link *l)
{
    struct read *r = ctx;
    const struct request q = {
        .verb = VERB_READ, .id = SVIEW("q"), .text = SVIEW("READ x")};

    r->link = l;
    pooled_set_user(l, &user, r);
    pooled_send(l, &q, &r->work.min_position);
}

/* These reads have time. */
static void
on_refused(void *ctx, const char *why)
{
    (void)ctx;
    fail_msg("refused: %s", why);
}

/* Submits a read of a session that has seen a position, 0 if none. */
static void
submit(struct fixture *f, struct read *r, uint64_t seen)
{
    *r = (struct read){0};
    r->work = (struct work){
        .priority = 1,
        .floor = {.term = 3, .position = seen, .known = seen > 0},
        .arrived_at = f->now,
        .deadline = f->now + 800,
        .target = f->now + 200,
        .staleness_ms = 1500,
        .granted = on_granted,
        .refused = on_refused,
        .ctx = r,
    };
    service_submit(f->service, &r->work);
    fixture_accept_all(f);
}

/* Guards against a replica that serves no read at all after it lacked a
   position that only one session needs. At a crest with one replica 1.2 s
   behind, its share of the reads crowded the two other members. */
static void
test_replica_behind_serves_older_reads(void **state)
{
    struct fixture f;
    struct read fresh;
    struct read older;
    const struct token old = {.term = 3, .position = 90, .known = true};
    const struct token newest = {.term = 3, .position = 110, .known = true};
    struct member_entry m[3] = {
        {.id = "m1", .service = "db", .slots = 2, .draining = true},
        {.id = "m2", .service = "db", .slots = 2},
        {.id = "m3", .service = "db", .slots = 2, .draining = true},
    };

    (void)state;
    fixture_setup(&f, FRESHNESS_BOUNDED);
    f.lease = false;
    service_set_members(f.service, m, 3, f.now);
    service_add_sample(f.service, f.now - 1400, &old);
    service_add_sample(f.service, f.now, &newest);
    submit(&f, &fresh, 110);
    assert_non_null(fresh.link);
    assert_string_equal(pooled_member(fresh.link), "m2");
    fixture_answer(fixture_last_used_link(&f), FAILURE_LAGGING,
                   TRANSACTION_NONE, 3, 95);
    assert_int_equal(fresh.failures, 1);
    submit(&f, &older, 0);
    assert_non_null(older.link);
    fixture_answer(fixture_last_used_link(&f), FAILURE_NONE, TRANSACTION_NONE,
                   3, 96);
    /* What it lacked is not asked for again at once. */
    submit(&f, &fresh, 110);
    assert_null(fresh.link);
    /* It is, as soon as it was seen to have it. */
    submit(&f, &older, 0);
    assert_non_null(older.link);
    fixture_answer(fixture_last_used_link(&f), FAILURE_NONE, TRANSACTION_NONE,
                   3, 110);
    assert_non_null(fresh.link);
    fixture_answer(fixture_last_used_link(&f), FAILURE_NONE, TRANSACTION_NONE,
                   3, 110);
    fixture_teardown(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_replica_behind_serves_older_reads),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
