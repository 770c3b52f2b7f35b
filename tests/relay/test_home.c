#include "relay/home.h"
#include "relay/relay_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* The connection that a proxy keeps to one replica where a member accepts
   fewer connections than there are proxies. */

/* Counts the proxies at each replica, with sizes[d] proxies in domain d. */
static void
count_homes(const struct home_replica *r, int n, const int *sizes, int domains,
            int max_homes, int *counts)
{
    static const char *const names[] = {"a", "b", "c", "d"};

    memset(counts, 0, sizeof(*counts) * (size_t)(n + 1));
    for (int d = 0; d < domains; d++) {
        for (int rank = 0; rank < sizes[d]; rank++) {
            struct home_place p = {0};
            struct home_replica copy[4];
            for (int k = 0; k < domains; k++) {
                for (int i = 0; i < sizes[k]; i++) {
                    home_place_add(&p, names[k]);
                }
            }
            home_place_set_own(&p, names[d], rank);
            memcpy(copy, r, sizeof(*r) * (size_t)n);
            const int i = home_choose(copy, n, &p, max_homes);
            counts[i >= 0 ? i : n]++;
        }
    }
}

/* Guards against a replica that more proxies keep a connection to than its
   limit allows, and against replicas with unequal parts. */
static void
test_replicas_get_equal_parts(void **state)
{
    const struct home_replica two[2] = {{"m3", "c"}, {"m2", "b"}};
    const struct home_replica same[3] = {
        {"m2", "b"}, {"m3", "b"}, {"m4", "a"}};
    const int fleet[3] = {45, 45, 44};
    int counts[5];

    (void)state;
    count_homes(two, 2, fleet, 3, 68, counts);
    assert_int_equal(counts[0], 67);
    assert_int_equal(counts[1], 67);
    assert_int_equal(counts[2], 0);
    for (int a = 0; a < 40; a += 3) {
        for (int b = 0; b < 40; b += 3) {
            for (int c = 1; c < 40; c += 6) {
                const int sizes[3] = {a, b, c};
                const int all = a + b + c;
                count_homes(same, 3, sizes, 3, 1000, counts);
                for (int i = 0; i < 3; i++) {
                    assert_true(counts[i] <= (all + 2) / 3);
                }
                assert_int_equal(counts[3], 0);
                count_homes(two, 2, sizes, 3, 20, counts);
                assert_true(counts[0] <= 20 && counts[1] <= 20);
                assert_int_equal(counts[2], MAX(all - 40, 0));
            }
        }
    }
}

/* Guards against reads that leave the failure domain of a proxy although a
   replica is in it. */
static void
test_own_failure_domain_first(void **state)
{
    struct home_replica r[2] = {{"m3", "c"}, {"m2", "b"}};

    (void)state;
    for (int rank = 0; rank < 40; rank++) {
        struct home_place p = {0};
        for (int i = 0; i < 120; i++) {
            home_place_add(&p, i % 3 == 0 ? "c" : i % 3 == 1 ? "a" : "b");
        }
        home_place_set_own(&p, "c", rank);
        const int i = home_choose(r, 2, &p, 60);
        assert_string_equal(r[i].id, "m3");
    }
}

/* Sets the limits of a proxy whose place makes "m2" its home. */
static void
set_limits(struct fixture *f)
{
    struct fleet_share share = {.max_connections = 85, .proxies = 134};

    for (int i = 0; i < 134; i++) {
        home_place_add(&share.place, "a");
    }
    home_place_set_own(&share.place, "a", 0);
    const struct connection_limits limits = connection_limits_in_fleet(&share);
    service_set_connection_limits(f->service, &limits);
}

/* Accepts the connections that are being opened. */
static void
accept_new(struct fixture *f)
{
    const struct token position = {.term = 3, .position = 1, .known = true};

    for (int i = 0; i < f->link_count; i++) {
        struct member_link *l = f->links[i];
        if (!l->closed && l->busy_until == 0) {
            l->busy_until = 1; /* accepted */
            l->events->opened(l->ctx, &position);
        }
    }
}

/* Advances the time, and accepts connections within 25 ms. */
static void
advance(struct fixture *f, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += 25) {
        fixture_advance_time(f, 25);
        accept_new(f);
    }
}

/* Returns the number of open connections to a member. */
static int
count_open(const struct fixture *f, const char *member)
{
    int n = 0;

    for (int i = 0; i < f->link_count; i++) {
        n += !f->links[i]->closed && strcmp(f->links[i]->member, member) == 0;
    }
    return n;
}

/* Guards against a connection that is opened only when a request needs it, or
   closed for being idle, and against others that are kept as long. */
static void
test_home_is_opened_early_and_kept(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_BOUNDED);
    set_limits(&f);
    assert_int_equal(f.link_count, 0);
    advance(&f, 600);
    assert_int_equal(count_open(&f, "m2"), 1);
    accept_new(&f);
    for (int i = 0; i < 60; i++) {
        advance(&f, 1000);
        assert_int_equal(count_open(&f, "m2"), 1);
    }
    assert_int_equal(f.link_count, 1);
    assert_true(service_is_idle(f.service));
    struct session *s = fixture_session(&f);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    accept_new(&f);
    fixture_answer(fixture_last_used_link(&f), FAILURE_NONE, TRANSACTION_NONE,
                   3, 7);
    assert_int_equal(count_open(&f, "m1"), 1);
    advance(&f, 10000);
    assert_int_equal(count_open(&f, "m1"), 0);
    assert_int_equal(count_open(&f, "m2"), 1);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against a home that is the primary or has left, and against a former
   home whose connection is kept. */
static void
test_home_moves(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_BOUNDED);
    set_limits(&f);
    advance(&f, 600);
    accept_new(&f);
    service_set_primary(f.service, 2, "", true, f.now);
    advance(&f, 600);
    assert_int_equal(count_open(&f, "m2"), 1);
    service_set_primary(f.service, 3, "m2", false, f.now);
    advance(&f, 600);
    advance(&f, 10000);
    assert_int_equal(count_open(&f, "m2"), 0);
    assert_int_equal(count_open(&f, "m1") + count_open(&f, "m3"), 1);
    f.members[0].draining = true;
    service_set_members(f.service, f.members, 3, f.now);
    advance(&f, 600);
    advance(&f, 10000);
    assert_int_equal(count_open(&f, "m1"), 0);
    assert_int_equal(count_open(&f, "m3"), 1);
    fixture_teardown(&f);
}

/* Guards against reads that wait while a transaction rests on the connection
   to the home. */
static void
test_resting_transaction_does_not_block(void **state)
{
    struct fixture f;
    const struct token position = {.term = 3, .position = 1, .known = true};

    (void)state;
    fixture_setup(&f, FRESHNESS_BOUNDED);
    set_limits(&f);
    advance(&f, 600);
    accept_new(&f);
    service_add_primary_position(f.service, f.now, &position);
    struct session *s = fixture_session(&f);
    fixture_request(s, VERB_BEGIN_READ, "BEGIN READ");
    fixture_request(s, VERB_READ, "READ x");
    struct member_link *l = fixture_last_used_link(&f);
    assert_string_equal(l->member, "m2");
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    const int answers = f.answers;
    struct session *other = fixture_session(&f);
    fixture_request(other, VERB_READ, "READ x");
    accept_new(&f);
    assert_ptr_not_equal(fixture_last_used_link(&f), l);
    fixture_answer(fixture_last_used_link(&f), FAILURE_NONE, TRANSACTION_NONE,
                   3, 7);
    assert_int_equal(f.answers, answers + 1);
    session_end(s);
    session_end(other);
    fixture_teardown(&f);
}

/* Load: four writes and a read arrive while nothing is open to the primary and
   the read's home is free. Guards against openings for requests that need none
   there: the queue's length was the limit for each member. */
static void
test_openings_are_bounded(void **state)
{
    struct fixture f;
    struct session *s[5];
    const struct token position = {.term = 3, .position = 1, .known = true};

    (void)state;
    fixture_setup(&f, FRESHNESS_BOUNDED);
    set_limits(&f);
    advance(&f, 600);
    service_add_primary_position(f.service, f.now, &position);
    for (int i = 0; i < 5; i++) {
        s[i] = fixture_session(&f);
        fixture_request(s[i], i < 4 ? VERB_WRITE : VERB_READ, "x");
        assert_true(count_open(&f, "m1") <= MIN(i + 1, 4));
    }
    assert_int_equal(count_open(&f, "m2"), 1);
    assert_int_equal(count_open(&f, "m3"), 0);
    for (int i = 0; i < 5; i++) {
        session_end(s[i]);
    }
    fixture_teardown(&f);
}

/* Guards against attempts at a member that refuses connections, or takes long
   to open them, at the rate of the requests: they took all of its slots. */
static void
test_refused_openings_get_rarer(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_BOUNDED);
    set_limits(&f);
    advance(&f, 600);
    const int before = f.link_count;
    struct session *s = fixture_session(&f);
    for (int i = 0; i < 400; i++) {
        fixture_advance_time(&f, 25);
        if (session_is_idle(s)) {
            fixture_request(s, VERB_WRITE, "WRITE x v");
        }
        struct member_link *l = f.links[f.link_count - 1];
        if (!l->closed && l->busy_until == 0) {
            l->events->refused(l->ctx, FAILURE_CONNECTION_LIMIT);
        }
    }
    /* 10 s with at most 320 ms between the attempts were 45 and more. */
    assert_true(f.link_count - before <= 14);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against a proxy that opens connections early where every proxy has
   its own, as before. */
static void
test_no_home_with_enough_connections(void **state)
{
    struct fleet_share share = {.max_connections = 85, .proxies = 84};

    (void)state;
    for (int i = 0; i < 84; i++) {
        home_place_add(&share.place, "a");
    }
    const struct connection_limits l = connection_limits_in_fleet(&share);
    const struct connection_limits old = connection_limits(85, 84, false);
    assert_int_equal(l.max_homes, 0);
    assert_int_equal(l.idle_permille, 0);
    assert_int_equal(l.working, old.working);
    assert_int_equal(l.total, old.total);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_replicas_get_equal_parts),
        cmocka_unit_test(test_own_failure_domain_first),
        cmocka_unit_test(test_home_is_opened_early_and_kept),
        cmocka_unit_test(test_home_moves),
        cmocka_unit_test(test_resting_transaction_does_not_block),
        cmocka_unit_test(test_openings_are_bounded),
        cmocka_unit_test(test_refused_openings_get_rarer),
        cmocka_unit_test(test_no_home_with_enough_connections),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
