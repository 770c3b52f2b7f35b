/* Guards against a checker that misses what it is there to find: each rule is
   shown a sound run and one that breaks it. */
#include "load/checker.h"
#include "load/samples.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* Asserts the counts of a checker and frees it. */
static void
expect(struct checker *c, const struct checker_counts *wanted)
{
    assert_memory_equal(&c->counts, wanted, sizeof(*wanted));
    checker_destroy(c);
}

/* Own writes must be seen, and reads must not go back. */
static void
test_stale_reads(void **state)
{
    struct checker *c = checker_create();
    struct checked_row *r = checker_add_row(c, "entries", "a");

    (void)state;
    checker_read(c, r, NULL);
    checker_wrote(r, CHECKER_ACKED);
    checker_read(c, r, "1");
    checker_wrote(r, CHECKER_UNKNOWN);
    checker_read(c, r, "1");
    checker_read(c, r, "2");
    assert_int_equal(c->counts.stale_own_reads, 0);
    checker_read(c, r, "1"); /* back in time */
    checker_read(c, r, NULL);
    expect(c, &(struct checker_counts){.stale_own_reads = 2});
}

/* At the end the row holds what was acknowledged and at most the unknown
   increments above it. */
static void
test_final_values(void **state)
{
    struct checker *c = checker_create();
    struct checked_row *r = checker_add_row(c, "entries", "a");

    (void)state;
    for (int i = 0; i < 5; i++) {
        checker_wrote(r, CHECKER_ACKED);
    }
    checker_wrote(r, CHECKER_UNKNOWN);
    checker_wrote(r, CHECKER_FAILED);
    checker_final(c, r, "5");
    checker_final(c, r, "6");
    assert_int_equal(c->counts.lost_writes, 0);
    assert_int_equal(c->counts.duplicate_writes, 0);
    checker_final(c, r, "3");
    checker_final(c, r, "7");
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
    checker_wrote(r, CHECKER_NOT_RUN);
    checker_final(c, r, NULL);
    assert_int_equal(c->counts.false_not_run, 0);
    checker_final(c, r, "1");
    checker_final(c, r, "2");
    expect(c, &(struct checker_counts){.false_not_run = 2,
                                       .duplicate_writes = 1});
}

/* A transaction sees its own work and nobody else's. */
static void
test_mixed_transactions(void **state)
{
    struct checker *c = checker_create();
    struct checked_row *r = checker_add_row(c, "entries", "a");

    (void)state;
    checker_wrote(r, CHECKER_ACKED);
    checker_read_in_transaction(c, r, "2", 1);
    checker_read_pair(c, "4", "4");
    checker_read_pair(c, "4", "5");
    checker_read_setting(c, "s1", "s1");
    checker_read_setting(c, NULL, NULL);
    assert_int_equal(c->counts.mixed_transactions, 0);
    checker_read_in_transaction(c, r, "3", 1);
    checker_read_pair(c, "5", "4");
    checker_read_setting(c, "s1", "s2");
    checker_read_setting(c, NULL, "s2");
    checker_read_setting(c, "s1", NULL);
    assert_int_equal(c->counts.mixed_transactions, 5);
    checker_read_in_transaction(c, r, "1", 1); /* misses its own work */
    expect(c, &(struct checker_counts){.mixed_transactions = 5,
                                       .stale_own_reads = 1});
}

/* Feeds rows to an answer of three rows with eight bytes each. */
static void
feed(struct checker *c, const char *const *rows, bool complete)
{
    struct checked_answer a;

    checker_answer_begin(&a, 3, 8);
    for (int i = 0; rows[i] != NULL; i++) {
        checker_answer_row(&a, rows[i], (int64_t)strlen(rows[i]));
    }
    checker_answer_end(c, &a, complete);
}

/* Rows must be all there, in order and with the right contents. */
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
    feed(c, whole, true);
    feed(c, missing, false); /* it ended with an error */
    assert_int_equal(c->counts.incomplete_answers, 0);
    feed(c, missing, true);
    feed(c, order, true);
    feed(c, shorter, true);
    feed(c, contents, true);
    feed(c, more, false);
    expect(c, &(struct checker_counts){.incomplete_answers = 5});
}

/* Percentiles are of the nearest rank. */
static void
test_percentiles(void **state)
{
    struct samples s;

    (void)state;
    samples_init(&s);
    assert_int_equal(samples_percentile(&s, 50.0), 0);
    for (int64_t i = 100; i >= 1; i--) {
        samples_add(&s, i);
    }
    assert_int_equal(samples_percentile(&s, 50.0), 50);
    assert_int_equal(samples_percentile(&s, 99.0), 99);
    assert_int_equal(samples_percentile(&s, 100.0), 100);
    assert_int_equal(samples_percentile(&s, 0.0), 1);
    samples_clear(&s);
}

/* Runs the tests. */
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
