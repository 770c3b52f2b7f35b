#include "limits/rate_bucket.h"
#include "limits/rate_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

static const struct rate_bounds bounds = {
    .window_ms = 5000, .excess_permille = 100, .slack = 20};

/* Makes a configuration with one account. */
static struct catalog *
make_catalog(const char *name, int64_t rate_milli, int64_t burst_milli)
{
    struct catalog *c = catalog_create(1);
    struct account *a = g_new0(struct account, 1);

    a->name = g_strdup(name);
    a->rate_milli_per_s = rate_milli;
    a->burst_milli = burst_milli;
    catalog_add_account(c, a);
    c->has_accounts = true;
    return c;
}

static void
configure(struct rate_bucket *b, int64_t rate_milli, int64_t burst_milli,
          clock_ms now)
{
    struct catalog *c = make_catalog("a", rate_milli, burst_milli);

    rate_bucket_set_catalog(b, c, now);
    catalog_unref(c);
}

static uint32_t
take(struct rate_bucket *b, uint32_t wanted, clock_ms now)
{
    uint32_t next_ms;

    return rate_bucket_take(b, limit_account_hash("a"), wanted, now, &next_ms);
}

static void
set_part(struct rate_bucket *b, int divisor, bool is_new, clock_ms now)
{
    const struct witness_part p = {.divisor = divisor, .is_new = is_new};

    rate_bucket_set_part(b, p, now);
}

/* Guards against tokens that the process before this one may have granted. */
static void
test_starts_empty(void **state)
{
    struct rate_bucket *b = rate_bucket_create(&bounds);

    (void)state;
    configure(b, 70000, 70000, 1000);
    set_part(b, 7, false, 1000);
    assert_int_equal(take(b, 10, 1000), 0);
    /* 10 a second for one of seven parts. */
    assert_int_equal(take(b, 10, 1500), 5);
    rate_bucket_destroy(b);
}

/* Guards against parts that grant more at once than burst and half of the
   slack. */
static void
test_part_of_limit(void **state)
{
    struct rate_bucket *b = rate_bucket_create(&bounds);

    (void)state;
    configure(b, 70000, 70000, 1000);
    set_part(b, 7, false, 1000);
    /* (70 + 20 / 2) / 7 = 11.4, however long it fills. */
    assert_int_equal(take(b, 1000, 100000), 11);
    assert_int_equal(take(b, 1000, 101000), 11);
    rate_bucket_destroy(b);
}

/* Guards against an account that gets less than rate x window + burst in each
   window while it asks for more, and against windows over that and the
   tolerance. */
static void
test_window(void **state)
{
    struct rate_bucket *b = rate_bucket_create(&bounds);
    const clock_ms window = bounds.window_ms + RATE_RUN_MS;
    uint32_t granted[6000] = {0};
    const int steps = (int)G_N_ELEMENTS(granted);
    const int in_window = (int)(window / 10);
    uint32_t sum = 0;

    (void)state;
    configure(b, 42000, 42000, 1000);
    set_part(b, 7, false, 1000);
    for (int i = 0; i < steps; i++) {
        /* Nothing is asked for in the first half of the time, so that the
           bucket is full then. */
        granted[i] = i < steps / 2 ? 0 : take(b, 1000, 1000 + 10 * i);
        sum += granted[i];
        if (i >= in_window) {
            sum -= granted[i - in_window];
        }
        /* A seventh of (42 x 5 + 42) x 1.1 + 20. */
        assert_true(sum <= 42);
    }
    /* A seventh of 42 x 5 + 42, in a window that is longer by the time in
       which a permit is used. */
    assert_true(sum >= 36);
    rate_bucket_destroy(b);
}

/* Guards against the full pace before this witness knows what was granted in
   the window that began before it. */
static void
test_first_window(void **state)
{
    struct rate_bucket *b = rate_bucket_create(&bounds);
    uint32_t first = 0;
    uint32_t later = 0;

    (void)state;
    configure(b, 70000, 350000, 1000);
    set_part(b, 7, false, 1000);
    for (clock_ms at = 1010; at <= 11000; at += 10) {
        const uint32_t n = take(b, 1000, at);
        first += at <= 6000 ? n : 0;
        later += at > 7000 ? n : 0;
    }
    assert_in_range(first, 48, 50); /* 10 a second */
    assert_in_range(later, 76, 82); /* 20 a second, for 4 s */
    rate_bucket_destroy(b);
}

/* Guards against grants by a proxy that is no witness, and for accounts that
   it does not know. */
static void
test_grants_only_its_part(void **state)
{
    struct rate_bucket *b = rate_bucket_create(&bounds);
    uint32_t next_ms = 1;

    (void)state;
    configure(b, 70000, 70000, 1000);
    assert_int_equal(take(b, 1, 9000), 0);
    set_part(b, 7, false, 9000);
    assert_int_equal(
        rate_bucket_take(b, limit_account_hash("b"), 1, 9000, &next_ms), 0);
    assert_int_equal(next_ms, 0);
    assert_int_equal(take(b, 1, 9000), 1);
    set_part(b, 0, false, 9001);
    assert_int_equal(take(b, 1, 9001), 0);
    rate_bucket_destroy(b);
}

/* Guards against a full bucket for a part that another witness has just had.
 */
static void
test_new_part_is_empty(void **state)
{
    struct rate_bucket *b = rate_bucket_create(&bounds);

    (void)state;
    configure(b, 70000, 70000, 1000);
    set_part(b, 7, true, 9000);
    assert_int_equal(take(b, 10, 9000), 0);
    assert_int_equal(take(b, 10, 9100), 1);
    rate_bucket_destroy(b);
}

/* Guards against a lowered limit that is not kept at once, and against a
   raised one that counts before all witnesses can know it. */
static void
test_changed_limit(void **state)
{
    struct rate_bucket *b = rate_bucket_create(&bounds);

    (void)state;
    configure(b, 70000, 700000, 1000);
    set_part(b, 7, false, 1000);
    configure(b, 7000, 7000, 100000);
    /* (7 + 10) / 7 = 2.4, although 101 had been stored. */
    assert_int_equal(take(b, 1000, 100000), 2);
    configure(b, 70000, 700000, 101000);
    assert_int_equal(take(b, 1000, 103999), 2);
    /* 700 + 70 x 5 in 5 s are 30 a second for one of seven parts. */
    assert_int_equal(take(b, 1000, 104000 + 1000), 30);
    rate_bucket_destroy(b);
}

/* Guards against tokens for an account that is removed and added again. */
static void
test_removed_account(void **state)
{
    struct rate_bucket *b = rate_bucket_create(&bounds);
    struct catalog *other = make_catalog("b", 1000, 1000);

    (void)state;
    configure(b, 70000, 70000, 1000);
    set_part(b, 7, false, 1000);
    assert_int_equal(take(b, 1000, 100000), 11);
    rate_bucket_set_catalog(b, other, 100001);
    configure(b, 70000, 70000, 100002);
    assert_int_equal(take(b, 1000, 100002), 0);
    catalog_unref(other);
    rate_bucket_destroy(b);
}

/* Guards against a limit that is exceeded for want of an excess that covers
   the time in which a permit is used, and against an account that is never
   served because its part holds less than one token. */
static void
test_without_excess(void **state)
{
    const struct rate_bounds strict = {.window_ms = 5000};
    struct rate_bucket *b = rate_bucket_create(&strict);
    const clock_ms start = 1000000;
    uint32_t granted = 0;

    (void)state;
    configure(b, 70000, 70000, 1000);
    set_part(b, 7, false, 1000);
    for (clock_ms at = start; at <= start + 5000 + RATE_RUN_MS; at += 10) {
        granted += take(b, 1000, at);
    }
    /* A seventh of 70 x 5 + 70. */
    assert_in_range(granted, 57, 60);
    configure(b, 500, 1000, start + 100000);
    assert_int_equal(take(b, 1, start + 200000), 1);
    rate_bucket_destroy(b);
}

/* Guards against proxies that all return for the same token. */
static void
test_slots(void **state)
{
    struct rate_bucket *b = rate_bucket_create(&bounds);
    const uint64_t hash = limit_account_hash("a");
    uint32_t first;
    uint32_t second;

    (void)state;
    configure(b, 70000, 70000, 1000);
    set_part(b, 7, false, 1000);
    assert_int_equal(rate_bucket_take(b, hash, 1, 1000, &first), 0);
    assert_int_equal(rate_bucket_take(b, hash, 1, 1000, &second), 0);
    assert_int_equal(first, 100);
    assert_int_equal(second, 200);
    rate_bucket_destroy(b);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_starts_empty),
        cmocka_unit_test(test_part_of_limit),
        cmocka_unit_test(test_window),
        cmocka_unit_test(test_first_window),
        cmocka_unit_test(test_grants_only_its_part),
        cmocka_unit_test(test_new_part_is_empty),
        cmocka_unit_test(test_changed_limit),
        cmocka_unit_test(test_removed_account),
        cmocka_unit_test(test_without_excess),
        cmocka_unit_test(test_slots),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
