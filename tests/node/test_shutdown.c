#include "node/shutdown.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>

#include <cmocka.h>

/* Guards against steps that do not fit into a short grace period: requests
   were broken off 300 ms after SIGTERM with a grace period of 1 s. The users'
   rules give open transactions the first half of the grace period, and let
   requests be broken off at members that are at work in its last sixth. */
static void
test_steps_fit_into_the_grace_period(void **state)
{
    static const int64_t graces[] = {
        SHUTDOWN_GRACE_MIN_MS, 750, 1000, 1500, 2500, 6000, 30000, 3600000};

    (void)state;
    for (size_t i = 0; i < sizeof(graces) / sizeof(graces[0]); i++) {
        const int64_t grace = graces[i];
        struct shutdown_schedule s;
        shutdown_schedule_init(&s, grace);
        assert_true(s.drain_ms > 0 && s.drain_ms <= s.end_transactions_ms);
        assert_int_equal(s.end_transactions_ms, grace / 2);
        assert_true(s.answer_all_ms * 6 >= grace * 5);
        assert_true(s.close_ms > s.answer_all_ms);
        assert_true(s.exit_ms > s.close_ms);
        assert_true(s.unregister_ms > 0 &&
                    s.close_ms + s.unregister_ms < grace);
        assert_true(s.check_interval_ms > 0);
        assert_true(s.exit_ms + s.check_interval_ms < grace);
    }
}

/* Plays a stop with a check each millisecond; callers leave so many
   milliseconds after SIGTERM, or never if left_ms is negative. Returns when
   the given phase begins, or -1. */
static int64_t
phase_begins(int64_t grace_ms, int64_t left_ms, enum shutdown_phase wanted)
{
    enum shutdown_phase phase = SHUTDOWN_NOTICE;
    struct shutdown_schedule s;

    shutdown_schedule_init(&s, grace_ms);
    for (int64_t ms = 0; ms <= grace_ms; ms++) {
        const size_t callers = left_ms < 0 || ms < left_ms ? 3 : 0;
        phase = shutdown_next_phase(&s, phase, ms, callers);
        if (phase == wanted) {
            return ms;
        }
    }
    return -1;
}

static void
test_phases(void **state)
{
    struct shutdown_schedule s;

    (void)state;
    shutdown_schedule_init(&s, 6000);
    /* Without callers the process still runs until the load balancer has
       noticed. */
    assert_int_equal(phase_begins(6000, 0, SHUTDOWN_UNREGISTERING),
                     s.drain_ms + 1);
    assert_int_equal(phase_begins(6000, 4000, SHUTDOWN_UNREGISTERING), 4000);
    assert_int_equal(phase_begins(6000, 4000, SHUTDOWN_CLOSING), -1);
    assert_int_equal(phase_begins(6000, -1, SHUTDOWN_CLOSING), s.close_ms);
    assert_int_equal(phase_begins(6000, -1, SHUTDOWN_UNREGISTERING), -1);
    assert_int_equal(phase_begins(6000, -1, SHUTDOWN_DONE), s.exit_ms);
    assert_int_equal(phase_begins(6000, s.close_ms + 20, SHUTDOWN_DONE),
                     s.close_ms + 20);
    assert_int_equal(shutdown_next_phase(&s, SHUTDOWN_NONE, 10000, 0),
                     SHUTDOWN_NONE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_steps_fit_into_the_grace_period),
        cmocka_unit_test(test_phases),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
