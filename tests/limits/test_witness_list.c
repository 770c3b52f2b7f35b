#include "limits/witness_list.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static const char *const seven[] = {"a", "b", "c", "d", "e", "f", "g"};
static const char *const changed[] = {"b", "c", "d", "e", "f", "g", "h"};

/* Lets the first n proxies other than self answer a request sent at now. */
static void
answer(struct witness_list *l, const char *const *names, int n,
       const char *self, uint64_t hash, int64_t listed_ms, clock_ms now)
{
    for (int i = 0; i < 7 && n > 0; i++) {
        if (strcmp(names[i], self) != 0) {
            const struct witness_answer a = {.witnesses = hash,
                                             .listed_ms = listed_ms};
            witness_list_answered(l, names[i], &a, now - 5, now);
            n--;
        }
    }
}

static int
divisor(struct witness_list *l, clock_ms now)
{
    return witness_list_part(l, now).divisor;
}

/* Guards against the loss of a witness's part when it restarts: its row stood,
   the others list it, so it continues at once. */
static void
test_registered_continues(void **state)
{
    struct witness_list *l = witness_list_create("a", 1000);

    (void)state;
    witness_list_set(l, seven, 7, 1000);
    witness_list_set_registered(l);
    assert_int_equal(divisor(l, 1000), 0);
    answer(l, seven, 2, "a", witness_list_hash(l), 50000, 1010);
    assert_int_equal(divisor(l, 1010), 0);
    answer(l, seven, 3, "a", witness_list_hash(l), 50000, 1020);
    const struct witness_part p = witness_list_part(l, 1020);
    assert_int_equal(p.divisor, 7);
    assert_false(p.is_new);
    witness_list_destroy(l);
}

/* Guards against a new witness that grants while its predecessor still may. */
static void
test_new_waits(void **state)
{
    struct witness_list *l = witness_list_create("h", 1000);

    (void)state;
    witness_list_set(l, changed, 7, 1000);
    for (clock_ms t = 2000; t < 5000; t += 100) {
        /* Four others have the list, which is one too few. */
        answer(l, changed, 4, "h", witness_list_hash(l), t - 1000, t);
        assert_int_equal(divisor(l, t), 0);
    }
    for (clock_ms t = 5000; t < 5000 + WITNESS_WAIT_MS; t += 100) {
        answer(l, changed, 5, "h", witness_list_hash(l), t - 1000, t);
        assert_int_equal(divisor(l, t), 0);
    }
    answer(l, changed, 5, "h", witness_list_hash(l), 7000, 8000);
    const struct witness_part p = witness_list_part(l, 8000);
    assert_int_equal(p.divisor, 7);
    assert_true(p.is_new);
    witness_list_destroy(l);
}

/* Guards against a witness that others have replaced and that does not know:
   it stops before its replacement begins. */
static void
test_replaced_stops(void **state)
{
    struct witness_list *l = witness_list_create("a", 1000);

    (void)state;
    witness_list_set(l, seven, 7, 1000);
    witness_list_set_registered(l);
    answer(l, seven, 6, "a", witness_list_hash(l), 50000, 1005);
    assert_int_equal(divisor(l, 1005), 7);
    /* All others but two have the new list from now on. */
    for (clock_ms t = 1100; t < 1000 + WITNESS_CONFIRM_MS; t += 100) {
        answer(l, seven, 6, "a", 1, -1, t);
        answer(l, seven, 2, "a", witness_list_hash(l), 50000, t);
    }
    assert_int_equal(divisor(l, 1000 + WITNESS_CONFIRM_MS), 0);
    assert_true(WITNESS_CONFIRM_MS < WITNESS_WAIT_MS);
    witness_list_destroy(l);
}

/* Guards against a witness that was cut off and replaced meanwhile, and
   against the loss of its part if it was not. */
static void
test_after_a_cut(void **state)
{
    for (int replaced = 0; replaced < 2; replaced++) {
        struct witness_list *l = witness_list_create("a", 1000);
        (void)state;
        witness_list_set(l, seven, 7, 1000);
        witness_list_set_registered(l);
        answer(l, seven, 6, "a", witness_list_hash(l), 50000, 1005);
        assert_int_equal(divisor(l, 1005), 7);
        assert_int_equal(divisor(l, 9000), 0);
        answer(l, seven, 6, "a", witness_list_hash(l), replaced ? 100 : 60000,
               9005);
        const struct witness_part p = witness_list_part(l, 9005);
        assert_int_equal(p.divisor, replaced ? 0 : 7);
        assert_false(p.is_new);
        witness_list_destroy(l);
    }
}

/* Guards against a smaller fleet whose parts grow before the proxy that left
   has stopped. A part that shrinks counts at once. */
static void
test_part_grows_late(void **state)
{
    struct witness_list *l = witness_list_create("a", 1000);

    (void)state;
    witness_list_set(l, seven, 5, 1000);
    witness_list_set_registered(l);
    answer(l, seven, 4, "a", witness_list_hash(l), 50000, 1005);
    assert_int_equal(divisor(l, 1005), 5);
    witness_list_set(l, seven, 6, 1100);
    assert_int_equal(divisor(l, 1100), 6);
    witness_list_set(l, seven, 4, 1200);
    for (clock_ms t = 1300; t < 1300 + WITNESS_WAIT_MS; t += 100) {
        answer(l, seven, 3, "a", witness_list_hash(l), 50000, t);
        assert_int_equal(divisor(l, t), 6);
    }
    answer(l, seven, 3, "a", witness_list_hash(l), 50000,
           1300 + WITNESS_WAIT_MS);
    assert_int_equal(divisor(l, 1300 + WITNESS_WAIT_MS), 4);
    witness_list_destroy(l);
}

/* Guards against a part that is too large because this proxy does not know of
   the proxies that others list. */
static void
test_others_know_more(void **state)
{
    const struct witness_answer more = {
        .witnesses = 1, .count = 5, .listed_ms = 50000};
    struct witness_list *l = witness_list_create("a", 1000);

    (void)state;
    witness_list_set(l, seven, 3, 1000);
    witness_list_set_registered(l);
    answer(l, seven, 2, "a", witness_list_hash(l), 50000, 1005);
    assert_int_equal(divisor(l, 1005), 3);
    witness_list_answered(l, "b", &more, 1006, 1010);
    assert_int_equal(divisor(l, 1010), 5);
    witness_list_destroy(l);
}

/* Guards against a single proxy that never grants for want of others. */
static void
test_alone(void **state)
{
    const char *const self[] = {"a"};
    struct witness_list *l = witness_list_create("a", 1000);

    (void)state;
    witness_list_set(l, self, 1, 1000);
    assert_int_equal(divisor(l, 1000), 0);
    assert_int_equal(divisor(l, 1000 + WITNESS_WAIT_MS), 1);
    assert_int_equal(divisor(l, 90000), 1);
    witness_list_destroy(l);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_registered_continues),
        cmocka_unit_test(test_new_waits),
        cmocka_unit_test(test_replaced_stops),
        cmocka_unit_test(test_after_a_cut),
        cmocka_unit_test(test_part_grows_late),
        cmocka_unit_test(test_others_know_more),
        cmocka_unit_test(test_alone),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
