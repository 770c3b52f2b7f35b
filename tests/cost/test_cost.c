#include "base/rng.h"
#include "cost/report.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Guards against costs that are lost or counted twice. With random usage,
   which may exceed what the fleet reports, the rows and the unattributed cost
   must add up to the total, and none may be negative. */
static void
test_rows_sum_to_real_cost(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 500; seed++) {
        struct rng rng;

        rng_seed(&rng, seed);
        struct cost_ledger *l = cost_ledger_create();

        for (uint64_t proxy = 1; proxy <= 1 + rng_below(&rng, 5); proxy++) {
            struct cost_meter *m = cost_meter_create(proxy, 1);

            for (int i = 0; i < 20; i++) {
                char name[] = "a";
                struct cost_usage u = {0};

                name[0] = (char)('a' + rng_below(&rng, 5));
                u.cpu_us = rng_below(&rng, 100000000);
                u.connection_ms = rng_below(&rng, 10000000);
                u.bytes = rng_below(&rng, 100000000000);
                u.store_reads = rng_below(&rng, 1000);
                u.store_writes = rng_below(&rng, 1000);
                assert_true(cost_meter_add(m, name, "filing", &u));
            }
            char *text = cost_meter_serialize(m);

            assert_true(cost_ledger_merge(l, text, strlen(text)));
            g_free(text);
            cost_meter_destroy(m);
        }
        struct cost_prices p = {0};
        struct cost_fleet f = {0};

        p.vms = 1 + (int64_t)rng_below(&rng, 5);
        p.vm_hour = (cost_nano)rng_below(&rng, 1000000000);
        p.connection_hour = (cost_nano)rng_below(&rng, 100000000);
        p.store_read = (cost_nano)rng_below(&rng, 1000);
        p.store_write = (cost_nano)rng_below(&rng, 10000);
        p.gb = (cost_nano)rng_below(&rng, 1000000000);
        f.period_ms = (int64_t)rng_below(&rng, 7200000);
        f.connections = (int64_t)rng_below(&rng, 200);
        f.store_reads = rng_below(&rng, 100000);
        f.store_writes = rng_below(&rng, 100000);
        f.bytes = rng_below(&rng, 10000000000000);
        GArray *usage = cost_ledger_rows(l);
        struct cost_report *r = cost_report_create(usage, &f, &p);
        cost_nano sum = cost_breakdown_sum(&r->unattributed);

        assert_true(r->unattributed.vms >= 0);
        assert_true(r->unattributed.connections >= 0);
        assert_true(r->unattributed.store >= 0);
        assert_true(r->unattributed.traffic >= 0);
        for (guint i = 0; i < r->rows->len; i++) {
            sum += cost_breakdown_sum(
                &g_array_index(r->rows, struct cost_report_row, i).cost);
        }
        assert_true(sum == cost_breakdown_sum(&r->total));
        cost_report_destroy(r);
        g_array_free(usage, TRUE);
        cost_ledger_destroy(l);
    }
}

/* Guards against counting usage twice when a push is repeated or reordered,
   and against losing usage from before a restart. */
static void
test_repeats_count_once(void **state)
{
    (void)state;
    struct cost_ledger *l = cost_ledger_create();
    struct cost_usage u = {.statements = 10};

    for (uint64_t incarnation = 1; incarnation <= 2; incarnation++) {
        struct cost_meter *m = cost_meter_create(7, incarnation);

        cost_meter_add(m, "a", "k", &u);
        char *first = cost_meter_serialize(m);

        cost_meter_add(m, "a", "k", &u);
        char *second = cost_meter_serialize(m);

        assert_true(cost_ledger_merge(l, second, strlen(second)));
        assert_true(cost_ledger_merge(l, first, strlen(first)));
        assert_true(cost_ledger_merge(l, second, strlen(second)));
        assert_false(cost_ledger_merge(l, second, strlen(second) - 1));
        assert_false(cost_meter_add(m, "a,b", "k", &u));
        g_free(first);
        g_free(second);
        cost_meter_destroy(m);
    }
    GArray *rows = cost_ledger_rows(l);

    assert_int_equal(rows->len, 1);
    assert_int_equal(g_array_index(rows, struct cost_row, 0).used.statements,
                     40);
    g_array_free(rows, TRUE);
    cost_ledger_destroy(l);
}

/* Guards against charging a period for earlier usage. */
static void
test_period_is_a_difference(void **state)
{
    (void)state;
    struct cost_row old[] = {{"a", "k", {.bytes = 5}},
                             {"c", "k", {.bytes = 1}}};
    struct cost_row new_rows[] = {{"a", "k", {.bytes = 9}},
                                  {"b", "k", {.bytes = 2}},
                                  {"c", "k", {.bytes = 1}}};
    GArray *before = g_array_new(FALSE, FALSE, sizeof(struct cost_row));
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct cost_row));

    g_array_append_vals(before, old, 2);
    g_array_append_vals(rows, new_rows, 3);
    cost_rows_subtract(rows, before);
    assert_int_equal(g_array_index(rows, struct cost_row, 0).used.bytes, 4);
    assert_int_equal(g_array_index(rows, struct cost_row, 1).used.bytes, 2);
    assert_int_equal(g_array_index(rows, struct cost_row, 2).used.bytes, 0);
    g_array_free(before, TRUE);
    g_array_free(rows, TRUE);
}

#define PRICES                                                                \
    "[prices]\nvm_hour=0.04\nvms=5\nconnection_hour=0.001\n"                  \
    "store_read=0.0000002\nstore_write=0.000001\n"

/* Guards against prices that are wrong by a power of ten or missing, and
   against changes of the report's format. */
static void
test_prices_and_csv(void **state)
{
    (void)state;
    GKeyFile *file = g_key_file_new();
    struct cost_prices p = {0};
    char reason[128];

    g_key_file_load_from_data(file, PRICES, strlen(PRICES), 0, NULL);
    assert_false(cost_prices_read(file, &p, reason, sizeof(reason)));
    assert_non_null(strstr(reason, "gb"));
    g_key_file_set_value(file, "prices", "gb", "0.0000000001");
    assert_false(cost_prices_read(file, &p, reason, sizeof(reason)));
    g_key_file_set_value(file, "prices", "gb", "0.09");
    assert_true(cost_prices_read(file, &p, reason, sizeof(reason)));
    assert_int_equal(p.store_read, 200);
    assert_int_equal(p.vm_hour, 40000000);
    struct cost_row row = {"a", "k", {.cpu_us = 900000000}};
    GArray *usage = g_array_new(FALSE, FALSE, sizeof(row));
    const struct cost_fleet f = {.period_ms = 3600000};

    g_array_append_val(usage, row);
    struct cost_report *r = cost_report_create(usage, &f, &p);
    char *csv = cost_report_csv(r);

    /* 900 s of CPU time on one of five cores in an hour. */
    assert_non_null(strstr(csv, "a,k,900000000,0,0,0,0,0,0.010000000,"));
    assert_non_null(strstr(csv, "unattributed,,0,0,0,0,0,0,0.190000000,"));
    char *key = NULL;
    char *value = NULL;

    assert_true(cost_report_table_row(r, 0, "2026-12", &key, &value));
    assert_string_equal(key, "2026-12.a.k");
    g_free(key);
    g_free(value);
    assert_false(cost_report_table_row(r, 2, "2026-12", &key, &value));
    g_free(csv);
    cost_report_destroy(r);
    g_array_free(usage, TRUE);
    g_key_file_free(file);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_rows_sum_to_real_cost),
        cmocka_unit_test(test_repeats_count_once),
        cmocka_unit_test(test_period_is_a_difference),
        cmocka_unit_test(test_prices_and_csv),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
