#include "directory/member_list.h"
#include "relay/connection_share.h"
#include "relay/placement.h"
#include "relay/position_samples.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Guards against proxies that together open more connections than a member
   accepts, and against too few free connections for a restart of all proxies
   while the member still counts their dead connections. */
static void
test_share(void **state)
{
    (void)state;
    for (int max = 4; max <= 200; max++) {
        for (int proxies = 1; proxies <= max - 1; proxies++) {
            const int share = connection_share(max, proxies);
            assert_true(share >= 1);
            assert_true(share * proxies <= max - 1);
        }
    }
    assert_int_equal(connection_share(16, 5), 2);
    assert_int_equal(connection_share(28, 4), 3);
    /* Each restarted proxy gets one connection besides the dead ones. */
    assert_true(16 - 5 * connection_share(16, 5) >= 5);
    assert_true(28 - 4 * connection_share(28, 4) >= 4);
    /* More proxies than connections: one each; the member refuses the rest. */
    assert_int_equal(connection_share(16, 40), 1);
}

/* Load: more proxies than a member accepts connections. Guards against proxies
   that together keep more connections open than it accepts, and against limits
   that change where all of them fit. */
static void
test_connections_on_demand(void **state)
{
    (void)state;
    for (int max = 4; max <= 200; max++) {
        for (int proxies = 1; proxies <= 400; proxies++) {
            const struct connection_limits l =
                connection_limits(max, proxies, false);
            assert_true(l.working >= 1 && l.total >= l.working);
            if (proxies <= max - 1) {
                assert_int_equal(l.idle_permille, 0);
                assert_int_equal(l.working, connection_share(max, proxies));
                assert_int_equal(connection_limits(max, proxies, true).working,
                                 connection_share_at_start(max, proxies));
            }
            else {
                assert_true(l.idle_permille > 0);
                assert_true(l.idle_permille * proxies <=
                            MAX((max - 1) * 1000, proxies));
            }
        }
    }
}

/* Returns a member without load. */
static struct placement_member
free_member(bool primary)
{
    return (struct placement_member){
        .usable = true,
        .primary = primary,
        .caught_up = true,
        .same_failure_domain = true,
        .connection_available = true,
        .connection_idle = true,
        .slots = 2,
        .max_executing = 3,
        .mean_statement_us = 10000,
    };
}

/* Guards against reads on the primary while replicas are free, and against
   writes on a replica. */
static void
test_reads_prefer_replicas(void **state)
{
    struct placement_member m[3] = {free_member(true), free_member(false),
                                    free_member(false)};

    (void)state;
    assert_int_equal(placement_choose(m, 3, true, true), 0);
    assert_int_equal(placement_choose(m, 3, false, true), 1);
    m[1].executing = 1;
    assert_int_equal(placement_choose(m, 3, false, true), 2);
    m[2].executing = 3;
    m[1].executing = 3;
    assert_int_equal(placement_choose(m, 3, false, true), 0);
    m[0].executing = 3;
    assert_int_equal(placement_choose(m, 3, false, true), PLACEMENT_WAIT);
    assert_int_equal(placement_choose(m, 3, false, false), PLACEMENT_WAIT);
    m[0].primary = false;
    assert_int_equal(placement_choose(m, 3, true, true), PLACEMENT_NONE);
}

/* Guards against a read on a replica that is known to lag, or on any replica
   while the required position is unknown. */
static void
test_reads_need_a_known_position(void **state)
{
    struct placement_member m[2] = {free_member(true), free_member(false)};

    (void)state;
    assert_int_equal(placement_choose(m, 2, false, false), 0);
    m[1].caught_up = false;
    assert_int_equal(placement_choose(m, 2, false, true), 0);
    m[0].usable = false;
    assert_int_equal(placement_choose(m, 2, false, true), PLACEMENT_NONE);
}

/* Guards against moving a session to a more recent member while a lagging
   replica can still serve it, and against overloading that replica while
   others are free. */
static void
test_reads_prefer_lagging_replica(void **state)
{
    struct placement_member m[2] = {free_member(false), free_member(false)};

    (void)state;
    m[1].behind = true;
    assert_int_equal(placement_choose(m, 2, false, true), 1);
    m[1].executing = 2;
    assert_int_equal(placement_choose(m, 2, false, true), 0);
    m[1].executing = 0;
    m[1].caught_up = false;
    assert_int_equal(placement_choose(m, 2, false, true), 0);
}

/* Load: reads of 12 ms at a near member that has a free slot, and
   then at one that has none. Guards against paying for traffic between failure
   domains while the near member answers as soon, and against a wait for a slot
   while a member elsewhere is free. */
static void
test_reads_stay_in_the_failure_domain(void **state)
{
    struct placement_member m[2] = {free_member(false), free_member(false)};

    (void)state;
    for (int i = 0; i < 2; i++) {
        m[i].slots = 3;
        m[i].max_executing = 4;
        m[i].mean_statement_us = 12000;
    }
    m[1].same_failure_domain = false;
    for (m[0].executing = 0; m[0].executing < m[0].slots; m[0].executing++) {
        assert_int_equal(placement_choose(m, 2, false, true), 0);
    }
    assert_int_equal(placement_choose(m, 2, false, true), 1);
}

/* Load: reads of a proxy that has a connection to one of two replicas. Guards
   against opening one, which occupies a slot, while the other is not busy. */
static void
test_open_connections_are_used_first(void **state)
{
    struct placement_member m[2] = {free_member(false), free_member(false)};

    (void)state;
    m[0].connection_idle = false;
    assert_int_equal(placement_choose(m, 2, false, true), 1);
    m[1].executing = 1;
    assert_int_equal(placement_choose(m, 2, false, true), 1);
    m[1].executing = 2;
    assert_int_equal(placement_choose(m, 2, false, true), 0);
}

/* Guards against a minimum position that does not include all commits
   acknowledged before the given time, and against a higher one than needed. */
static void
test_position_samples(void **state)
{
    struct position_samples s = {0};
    struct token min;

    (void)state;
    assert_false(position_samples_min_position(&s, 0, &min));
    for (int i = 1; i <= 200; i++) {
        const struct token t = {
            .term = 2, .position = (uint64_t)i, .known = true};
        position_samples_add(&s, (clock_ms)i * 100, &t);
    }
    assert_true(position_samples_min_position(&s, 19950, &min));
    assert_int_equal(min.position, 200);
    assert_true(position_samples_min_position(&s, 19000, &min));
    assert_int_equal(min.position, 190);
    assert_false(position_samples_min_position(&s, 20001, &min));
    /* Without the overwritten samples, the minimum is higher, not lower. */
    assert_true(position_samples_min_position(&s, 100, &min));
    assert_int_equal(min.position, 200 - POSITION_SAMPLES_MAX + 1);
}

/* Guards against a stored list that cannot be read back, and against stopping
   at an invalid line. */
static void
test_member_list(void **state)
{
    const struct member_entry m[2] = {
        {.id = "i-2",
         .service = "db",
         .host = "10.0.0.2",
         .port = 5,
         .failure_domain = "a",
         .slots = 2,
         .says_primary = true},
        {.id = "i-1",
         .service = "db",
         .host = "10.0.0.1",
         .port = 6,
         .failure_domain = "b",
         .slots = 4},
    };
    const struct member_entry swapped[2] = {m[1], m[0]};

    (void)state;
    char *text = member_list_format(m, 2);
    char *swapped_text = member_list_format(swapped, 2);
    assert_string_equal(text, swapped_text);
    char *with_invalid_lines =
        g_strconcat("nonsense\n", text, "i-3 db h 99999 a 2 x\n", NULL);
    GArray *list = member_list_parse(sview_from(with_invalid_lines));
    assert_int_equal(list->len, 2);
    const struct member_entry *first =
        &g_array_index(list, struct member_entry, 0);
    assert_string_equal(first->id, "i-1");
    assert_int_equal(first->slots, 4);
    assert_false(first->says_primary);
    g_array_free(list, TRUE);
    g_free(with_invalid_lines);
    g_free(swapped_text);
    g_free(text);
}

/* Guards against proxies without a connection for seconds after a power loss
   of all proxies: the first to start took all connections that the dead ones
   had left (of 16 for five proxies, three took two each and two got none). */
static void
test_share_at_start(void **state)
{
    (void)state;
    for (int max = 2; max < 200; max++) {
        for (int proxies = 1; proxies < 40; proxies++) {
            const int share = connection_share(max, proxies);
            const int start = connection_share_at_start(max, proxies);
            assert_true(start >= 1);
            assert_true(start <= share);
            if (start > 1) {
                assert_true((share + start) * proxies <= max - 1);
            }
        }
    }
    assert_int_equal(connection_share_at_start(16, 5), 1);
    assert_true(
        5 * (connection_share(16, 5) + connection_share_at_start(16, 5)) < 16);
    assert_int_equal(connection_share_at_start(28, 4), 3);
    for (int proxies = 1; proxies < 12; proxies++) {
        assert_true(connection_share_max(16, proxies) * proxies <= 15);
        assert_true(connection_share_max(16, proxies) >=
                    connection_share(16, proxies));
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_share),
        cmocka_unit_test(test_connections_on_demand),
        cmocka_unit_test(test_share_at_start),
        cmocka_unit_test(test_reads_prefer_replicas),
        cmocka_unit_test(test_reads_need_a_known_position),
        cmocka_unit_test(test_reads_prefer_lagging_replica),
        cmocka_unit_test(test_reads_stay_in_the_failure_domain),
        cmocka_unit_test(test_open_connections_are_used_first),
        cmocka_unit_test(test_position_samples),
        cmocka_unit_test(test_member_list),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
