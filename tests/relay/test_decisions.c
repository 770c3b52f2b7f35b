#include "relay/placement.h"
#include "relay/samples.h"
#include "relay/share.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Guards against proxies that together take more connections than a member
   has, and against too few free ones for a restart of all proxies while the
   member still counts their dead connections. */
static void
test_share(void **state)
{
    (void)state;
    for (int max = 4; max <= 200; max++) {
        for (int proxies = 1; proxies <= max - 1; proxies++) {
            const int share = share_connections(max, proxies);
            assert_true(share >= 1);
            assert_true(share * proxies <= max - 1);
        }
    }
    assert_int_equal(share_connections(16, 5), 2);
    assert_int_equal(share_connections(28, 4), 3);
    /* Each restarted proxy gets a connection beside the dead ones. */
    assert_true(16 - 5 * share_connections(16, 5) >= 5);
    assert_true(28 - 4 * share_connections(28, 4) >= 4);
    /* More proxies than connections: one each, and the member refuses. */
    assert_int_equal(share_connections(16, 40), 1);
}

/* Returns a member that is free. */
static struct placement_member
free_member(bool primary)
{
    return (struct placement_member){
        .usable = true,
        .primary = primary,
        .caught_up = true,
        .local = true,
        .link_free = true,
        .limit = 3,
        .statement_us = 10000,
    };
}

/* Guards against reads that crowd the primary while replicas are free, and
   against writes that go anywhere else. */
static void
test_placement_spares_the_primary(void **state)
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

/* Guards against a read on a replica that is known to be behind, and on one
   whose required position is not known. */
static void
test_placement_needs_a_position(void **state)
{
    struct placement_member m[2] = {free_member(true), free_member(false)};

    (void)state;
    assert_int_equal(placement_choose(m, 2, false, false), 0);
    m[1].caught_up = false;
    assert_int_equal(placement_choose(m, 2, false, true), 0);
    m[0].usable = false;
    assert_int_equal(placement_choose(m, 2, false, true), PLACEMENT_NONE);
}

/* Guards against a floor that misses commits acknowledged before the moment
   asked for, and against one that demands more than needed. */
static void
test_samples(void **state)
{
    struct samples s = {0};
    struct token floor;

    (void)state;
    assert_false(samples_floor(&s, 0, &floor));
    for (int i = 1; i <= 200; i++) {
        const struct token t = {
            .term = 2, .position = (uint64_t)i, .known = true};
        samples_add(&s, i * 100, &t);
    }
    assert_true(samples_floor(&s, 19950, &floor));
    assert_int_equal(floor.position, 200);
    assert_true(samples_floor(&s, 19000, &floor));
    assert_int_equal(floor.position, 190);
    assert_false(samples_floor(&s, 20001, &floor));
    /* Samples that were overwritten leave a higher floor, never a lower. */
    assert_true(samples_floor(&s, 100, &floor));
    assert_int_equal(floor.position, 200 - SAMPLES_MAX + 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_share),
        cmocka_unit_test(test_placement_spares_the_primary),
        cmocka_unit_test(test_placement_needs_a_position),
        cmocka_unit_test(test_samples),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
