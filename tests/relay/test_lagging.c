#include "relay/relay_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Reads on a lagging replica while all other members are draining. */

struct read_job {
    struct connection_request connection_request;
    struct pooled_link *link;
    int failures;
};

static void
on_answered(void *ctx, const struct answer *a)
{
    struct read_job *r = ctx;
    struct pooled_link *l = r->link;

    r->failures += a->failure != FAILURE_NONE;
    r->link = NULL;
    pooled_release(l, false);
}

static const struct pooled_user user = {.answered = on_answered};

/* Sends the read with its minimum position. */
static void
on_granted(void *ctx, struct pooled_link *l)
{
    struct read_job *r = ctx;
    const struct request q = {
        .verb = VERB_READ, .id = SVIEW("q"), .text = SVIEW("READ x")};

    r->link = l;
    pooled_set_user(l, &user, r);
    pooled_send(l, &q, &r->connection_request.min_position);
}

/* No read of this test may be refused. */
static void
on_refused(void *ctx, const char *why)
{
    (void)ctx;
    fail_msg("refused: %s", why);
}

/* Submits a read of a session that has seen a position; 0 means none. */
static void
submit(struct fixture *f, struct read_job *r, uint64_t seen)
{
    *r = (struct read_job){0};
    r->connection_request = (struct connection_request){
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
    service_submit(f->service, &r->connection_request);
    fixture_accept_all(f);
}

/* Guards against a replica that gets no reads at all after it lacked a
   position that only one session requires. With one replica 1.2 s behind at
   peak load, its reads overloaded the two other members. */
static void
test_replica_behind_serves_older_reads(void **state)
{
    struct fixture f;
    struct read_job fresh;
    struct read_job older;
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
    service_add_primary_position(f.service, f.now - 1400, &old);
    service_add_primary_position(f.service, f.now, &newest);
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
    /* It is not asked again at once for a position that it lacked, */
    submit(&f, &fresh, 110);
    assert_null(fresh.link);
    /* but it is once its answers show that it has the position. */
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
