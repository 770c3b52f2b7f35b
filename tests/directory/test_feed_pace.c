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

/* Returns the duty of a proxy that relies on its peers. */
static struct feed_duty
following(void)
{
    return (struct feed_duty){.proxies = FEED_FLEET_LARGE + 1,
                              .evidence_age_ms = 1000,
                              .first_evidence_ms = 2000,
                              .since_start_ms = 30000};
}

/* Guards against a proxy that leaves the store to others in a small fleet, or
   although others rely on it. */
static void
test_watchers_and_small_fleets_ask(void **state)
{
    struct feed_duty d = following();

    (void)state;
    assert_true(feed_pace_hold_ms(&d) > 0);
    d.proxies = FEED_FLEET_LARGE;
    assert_int_equal(feed_pace_hold_ms(&d), 0);
    d = following();
    d.watches = true;
    assert_int_equal(feed_pace_hold_ms(&d), 0);
}

/* Guards against a configuration that is not in force in time because all
   proxies that ask the store are cut off, frozen or killed: the others ask
   themselves before the bound of 5 s is over. */
static void
test_asks_when_peers_know_nothing_new(void **state)
{
    struct feed_duty d = following();

    (void)state;
    for (d.evidence_age_ms = 0; d.evidence_age_ms < 10000;
         d.evidence_age_ms += 100) {
        const int64_t hold = feed_pace_hold_ms(&d);
        assert_int_equal(hold == 0, d.evidence_age_ms >= FEED_EVIDENCE_MAX_MS);
        /* Asked again when the evidence that it has now expires. */
        assert_true(d.evidence_age_ms + hold <= FEED_EVIDENCE_MAX_MS ||
                    hold == 0);
    }
    assert_true(FEED_EVIDENCE_MAX_MS <= 4000);
}

/* Guards against a proxy that waits for evidence that never comes, as in a
   fleet of an earlier build, and against one that never asks at all. */
static void
test_waits_for_first_evidence_only_after_start(void **state)
{
    struct feed_duty d = following();

    (void)state;
    d.evidence_age_ms = -1;
    d.since_start_ms = 500;
    assert_int_equal(feed_pace_hold_ms(&d), 1500);
    d.since_start_ms = 2000;
    assert_int_equal(feed_pace_hold_ms(&d), 0);
    d = following();
    d.since_answer_ms = FEED_IDLE_MAX_MS;
    assert_int_equal(feed_pace_hold_ms(&d), 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_few_requests_while_all_register),
        cmocka_unit_test(test_delay_ends_with_the_changes),
        cmocka_unit_test(test_watchers_and_small_fleets_ask),
        cmocka_unit_test(test_asks_when_peers_know_nothing_new),
        cmocka_unit_test(test_waits_for_first_evidence_only_after_start),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
