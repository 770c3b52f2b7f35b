#include "directory/feed_pace.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Load: 79 proxies that register within half a second, while 60 members report
   for five seconds. Guards against a request after each few of the changes. */
static void
test_few_requests_while_all_register(void **state)
{
    struct feed_pace p = {.first_ms = 400, .max_ms = 1600};
    int requests = 0;

    (void)state;
    for (int64_t now = 0; now < 5000;) {
        now += feed_pace_after_changes(&p, 4);
        requests++;
    }
    assert_true(requests <= 5); /* 13 with a fixed delay */
}

/* Guards against learning of a single change late because many have come
   before, and against a delay over the limit, which is part of the time within
   which a member that leaves gets no more work. */
static void
test_delay_ends_with_the_changes(void **state)
{
    struct feed_pace p = {.first_ms = 400, .max_ms = 1600};

    (void)state;
    for (int i = 0; i < 20; i++) {
        assert_true(feed_pace_after_changes(&p, 4) <= 1600);
    }
    assert_int_equal(feed_pace_after_changes(&p, 3000), 400);
    assert_int_equal(feed_pace_after_changes(&p, 4), 800);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_few_requests_while_all_register),
        cmocka_unit_test(test_delay_ends_with_the_changes),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
