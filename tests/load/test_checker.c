/* Tests the checker of the consistency experiment, which must not miss a
   violation: each rule gets a correct history and one that breaks the rule. */
#include "load/checker.h"
#include "load/durations.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

static void
expect(struct checker *c, const struct checker_counts *wanted)
{
    assert_memory_equal(&c->counts, wanted, sizeof(*wanted));
    checker_destroy(c);
}

/* A read must include the session's own writes and must not be older than an
   earlier read. */
static void
test_stale_reads(void **state)
{
    struct checker *c = checker_create();
    struct checked_row *r = checker_add_row(c, "entries", "a");

    (void)state;
    checker_check_read(c, r, NULL);
    checker_record_write(r, CHECKER_ACKED);
    checker_check_read(c, r, "1");
    checker_record_write(r, CHECKER_UNKNOWN);
    checker_check_read(c, r, "1");
    checker_check_read(c, r, "2");
    assert_int_equal(c->counts.stale_own_reads, 0);
    checker_check_read(c, r, "1"); /* older than the read before */
    checker_check_read(c, r, NULL);
    expect(c, &(struct checker_counts){.stale_own_reads = 2});
}

/* The final value must be at least the acknowledged increments and at most the
   acknowledged and unknown ones. */
static void
test_final_values(void **state)
{
    struct checker *c = checker_create();
    struct checked_row *r = checker_add_row(c, "entries", "a");

    (void)state;
    for (int i = 0; i < 5; i++) {
        checker_record_write(r, CHECKER_ACKED);
    }
    checker_record_write(r, CHECKER_UNKNOWN);
    checker_record_write(r, CHECKER_FAILED);
    checker_check_final_value(c, r, "5");
    checker_check_final_value(c, r, "6");
    assert_int_equal(c->counts.lost_writes, 0);
    assert_int_equal(c->counts.duplicate_writes, 0);
    checker_check_final_value(c, r, "3");
    checker_check_final_value(c, r, "7");
    expect(c,
           &(struct checker_counts){.lost_writes = 2, .duplicate_writes = 1});
}

/* An increment that was reported as not run must have no effect. */
static void
test_false_not_run(void **state)
{
    struct checker *c = checker_create();
    struct checked_row *r = checker_add_row(c, "entries", "once");

    (void)state;
    checker_record_write(r, CHECKER_NOT_RUN);
    checker_check_final_value(c, r, NULL);
    assert_int_equal(c->counts.false_not_run, 0);
    checker_check_final_value(c, r, "1");
    checker_check_final_value(c, r, "2");
    expect(c, &(struct checker_counts){.false_not_run = 2,
                                       .duplicate_writes = 1});
}

/* A transaction must see its own changes and no uncommitted ones of others. */
static void
test_mixed_transactions(void **state)
{
    struct checker *c = checker_create();
    struct checked_row *r = checker_add_row(c, "entries", "a");

    (void)state;
    checker_record_write(r, CHECKER_ACKED);
    checker_check_transaction_read(c, r, "2", 1);
    checker_check_pair(c, "4", "4");
    checker_check_pair(c, "4", "5");
    checker_check_setting(c, "s1", "s1");
    checker_check_setting(c, NULL, NULL);
    assert_int_equal(c->counts.mixed_transactions, 0);
    checker_check_transaction_read(c, r, "3", 1);
    checker_check_pair(c, "5", "4");
    checker_check_setting(c, "s1", "s2");
    checker_check_setting(c, NULL, "s2");
    checker_check_setting(c, "s1", NULL);
    assert_int_equal(c->counts.mixed_transactions, 5);
    /* without its own increment */
    checker_check_transaction_read(c, r, "1", 1);
    expect(c, &(struct checker_counts){.mixed_transactions = 5,
                                       .stale_own_reads = 1});
}

/* Checks the given rows as an answer that should have three rows of eight
   bytes. */
static void
check_rows(struct checker *c, const char *const *rows, bool complete)
{
    struct checked_answer a;

    checker_answer_begin(&a, 3, 8);
    for (int i = 0; rows[i] != NULL; i++) {
        checker_answer_check_row(&a, rows[i], (int64_t)strlen(rows[i]));
    }
    checker_answer_end(c, &a, complete);
}

/* An answer must have all rows, in order and with the right contents. */
static void
test_answers(void **state)
{
    static const char *const whole[] = {"0 ......", "1 ......", "2 ......",
                                        NULL};
    static const char *const missing[] = {"0 ......", "1 ......", NULL};
    static const char *const order[] = {"0 ......", "2 ......", "1 ......",
                                        NULL};
    static const char *const shorter[] = {"0 ......", "1 .....", "2 ......",
                                          NULL};
    static const char *const contents[] = {"0 ......", "1 ....x.", "2 ......",
                                           NULL};
    static const char *const more[] = {"0 ......", "1 ......", "2 ......",
                                       "3 ......", NULL};
    struct checker *c = checker_create();

    (void)state;
    check_rows(c, whole, true);
    check_rows(c, missing, false); /* ended with an error */
    assert_int_equal(c->counts.incomplete_answers, 0);
    check_rows(c, missing, true);
    check_rows(c, order, true);
    check_rows(c, shorter, true);
    check_rows(c, contents, true);
    check_rows(c, more, false);
    expect(c, &(struct checker_counts){.incomplete_answers = 5});
}

/* Percentiles use the nearest-rank method. */
static void
test_percentiles(void **state)
{
    struct durations s;

    (void)state;
    durations_init(&s);
    assert_int_equal(durations_percentile(&s, 50.0), 0);
    for (int64_t i = 100; i >= 1; i--) {
        durations_add(&s, i);
    }
    assert_int_equal(durations_percentile(&s, 50.0), 50);
    assert_int_equal(durations_percentile(&s, 99.0), 99);
    assert_int_equal(durations_percentile(&s, 100.0), 100);
    assert_int_equal(durations_percentile(&s, 0.0), 1);
    durations_clear(&s);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_stale_reads),
        cmocka_unit_test(test_final_values),
        cmocka_unit_test(test_false_not_run),
        cmocka_unit_test(test_mixed_transactions),
        cmocka_unit_test(test_answers),
        cmocka_unit_test(test_percentiles),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
