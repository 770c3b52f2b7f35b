#include "admission/cost_table.h"
#include "admission/pressure.h"
#include "admission/retry_budget.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Guards against retries beyond a tenth of the calls, a budget that is empty
   at the start, and credit lost to rounding. */
static void
test_budget_limits_retries_to_a_tenth(void **state)
{
    struct retry_budget b;
    int spent = 0;

    (void)state;
    retry_budget_init(&b);
    while (retry_budget_take(&b)) {
        spent++;
    }
    assert_int_equal(spent, 10);
    for (int call = 0; call < 1000; call++) {
        retry_budget_on_call(&b);
        spent += retry_budget_take(&b);
    }
    assert_int_equal(spent, 110);
    for (int call = 0; call < 1000; call++) {
        retry_budget_on_call(&b);
    }
    for (spent = 0; retry_budget_take(&b); spent++) {
    }
    assert_int_equal(spent, 10);
}

/* Guards against a retry past the deadline, a delay over the ceiling, and an
   overflow of the doubled delay. */
static void
test_backoff_stays_within_bounds(void **state)
{
    const struct retry_backoff backoff = {.base = 50, .ceiling = 400};
    struct rng rng;
    clock_ms at;

    (void)state;
    rng_seed(&rng, 7);
    for (int attempt = 1; attempt < 200; attempt++) {
        bool allowed =
            retry_backoff_next(&backoff, &rng, 1000, 1300, attempt, &at);

        assert_in_range(at, 1000, attempt == 1 ? 1050 : 1400);
        assert_int_equal(allowed, at < 1300);
    }
}

/* Guards against shedding a more important kind before a less important one,
   shedding after a single burst, and never admitting a shed kind again. */
static void
test_pressure_sheds_least_important_first(void **state)
{
    struct pressure p;
    clock_ms now = 1000;

    (void)state;
    pressure_init(&p, 3, 0);
    assert_false(pressure_report_delay(&p, now, 0, 50));
    assert_false(pressure_report_delay(&p, now + 15, 0, 1));
    assert_false(pressure_report_delay(&p, now + 30, 0, 50));
    assert_true(pressure_report_delay(&p, now + 60, 0, 50));
    assert_true(pressure_sheds(&p, 2) && !pressure_sheds(&p, 1));
    assert_true(pressure_report_delay(&p, now + 100, 0, 50));
    assert_true(pressure_sheds(&p, 1) && !pressure_sheds(&p, 0));
    assert_false(pressure_report_delay(&p, now + 200, 0, 50));
    assert_true(pressure_relax(&p, pressure_next_relax(&p)));
    assert_true(pressure_relax(&p, pressure_next_relax(&p)));
    assert_int_equal(pressure_next_relax(&p), CLOCK_NEVER);
    assert_false(pressure_sheds(&p, 2));
}

/* Guards against a table that grows or evicts entries in use, and against a
   mean that stays high forever after one slow period. */
static void
test_costs_are_bounded_and_decay(void **state)
{
    struct cost_table *t = cost_table_create(64);

    (void)state;
    for (uint64_t other = 2; other < 5000; other++) {
        cost_table_add(t, 1, 700);
        cost_table_add(t, other, 9);
    }
    assert_int_equal(cost_table_mean(t, 1, 0), 700);
    assert_int_equal(cost_table_mean(t, 999999, 42), 42);
    cost_table_raise(t, 1, 80000);
    assert_int_equal(cost_table_mean(t, 1, 0), 80000);
    for (int i = 0; i < 40; i++) {
        cost_table_decay(t, 1);
    }
    assert_true(cost_table_mean(t, 1, 0) < 1000);
    cost_table_destroy(t);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_budget_limits_retries_to_a_tenth),
        cmocka_unit_test(test_backoff_stays_within_bounds),
        cmocka_unit_test(test_pressure_sheds_least_important_first),
        cmocka_unit_test(test_costs_are_bounded_and_decay),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
