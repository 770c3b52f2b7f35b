#include "relay/member_pace.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define MAX 16
#define PROXIES 4
#define USUAL_MS 20
#define COLD_MS 32
#define SLOW_MS 160

/* A member that has answered for a while, and the time. */
struct fixture {
    struct member_pace pace;
    struct rng rng;
    clock_ms now;
};

static struct fixture
answering_member(void)
{
    struct fixture f = {.now = 1000};

    rng_seed(&f.rng, 7);
    member_pace_init(&f.pace, PROXIES, f.now, &f.rng);
    f.now += 1000;
    for (int i = 0; i < 64; i++) {
        member_pace_served(&f.pace, USUAL_MS, (int)f.pace.limit, MAX, f.now);
        f.now += USUAL_MS;
    }
    return f;
}

/* A large state would cost memory at proxies with thousands of members. */
static void
state_is_small(void **state)
{
    (void)state;
    assert_true(sizeof(struct member_pace) <= 64);
}

/* Guards against a limit that stays low while a member answers as usual. */
static void
limit_grows_to_the_maximum(void **state)
{
    const struct fixture f = answering_member();

    (void)state;
    assert_int_equal((int)f.pace.limit, MAX);
    assert_int_equal(member_pace_condition(&f.pace), PACE_NORMAL);
    assert_true(member_pace_may_send(&f.pace, MAX - 1, f.now));
    assert_false(member_pace_may_send(&f.pace, MAX, f.now));
}

/* Guards against growth by proxies that do not use their limit: their sum
   would be far above what the member can take. */
static void
unused_limit_does_not_grow(void **state)
{
    struct fixture f = answering_member();

    (void)state;
    f.pace.limit = 8;
    for (int i = 0; i < 64; i++) {
        member_pace_served(&f.pace, USUAL_MS, 1, MAX, f.now++);
    }
    assert_true(f.pace.limit <= 8);
}

/* Guards against treating a slow member like one that refuses: its limit
   shrinks, but not to the minimum. */
static void
slow_member_is_recognized(void **state)
{
    struct fixture f = answering_member();

    (void)state;
    for (int i = 0; i < 64; i++) {
        member_pace_served(&f.pace, SLOW_MS, MAX, MAX, f.now);
        f.now += USUAL_MS;
    }
    assert_int_equal(member_pace_condition(&f.pace), PACE_SLOW);
    assert_true(f.pace.limit < MAX);
    assert_true(f.pace.limit >= 1);
    assert_false(member_pace_may_open(&f.pace, 1, f.now));
    assert_true(member_pace_may_open(&f.pace, 0, f.now));
}

/* Guards against treating a member that is only cold as slow. */
static void
cold_member_is_not_slow(void **state)
{
    struct fixture f = answering_member();

    (void)state;
    for (int i = 0; i < 64; i++) {
        member_pace_served(&f.pace, COLD_MS, MAX, MAX, f.now);
        f.now += USUAL_MS;
    }
    assert_int_equal(member_pace_condition(&f.pace), PACE_NORMAL);
    assert_int_equal((int)f.pace.limit, MAX);
}

/* Guards against flooding a member whose queue is full, and against several
   decreases for the work of one round trip. */
static void
full_member_is_recognized(void **state)
{
    struct fixture f = answering_member();

    (void)state;
    assert_true(member_pace_refused(&f.pace, f.now, &f.rng));
    assert_false(member_pace_refused(&f.pace, f.now, &f.rng));
    assert_int_equal((int)f.pace.limit, MAX / 2);
    assert_false(member_pace_may_send(&f.pace, 0, f.now));
    f.now += 500;
    assert_true(member_pace_may_send(&f.pace, 0, f.now));
    assert_int_equal(member_pace_condition(&f.pace), PACE_FULL);
}

/* Guards against delaying statements on open connections when a member only
   refuses further connections. */
static void
refused_connection_delays_connections_only(void **state)
{
    struct fixture f = answering_member();

    (void)state;
    member_pace_refused_connection(&f.pace, f.now, &f.rng);
    assert_true(member_pace_may_send(&f.pace, 0, f.now));
    assert_false(member_pace_may_open(&f.pace, 0, f.now));
    assert_true(member_pace_may_open(&f.pace, 0, f.now + 200));
}

/* Guards against treating a member that fails fast as a fast one. */
static void
failing_member_is_recognized(void **state)
{
    struct fixture f = answering_member();
    const float usual_ms = f.pace.usual_ms;

    (void)state;
    for (int i = 0; i < 64; i++) {
        if (i % 2 == 0) {
            member_pace_failed(&f.pace, f.now, &f.rng);
        }
        else {
            member_pace_served(&f.pace, USUAL_MS, MAX, MAX, f.now);
        }
        f.now += USUAL_MS;
    }
    assert_int_equal(member_pace_condition(&f.pace), PACE_FAILING);
    assert_true(f.pace.limit < MAX / 2.0f);
    assert_true(f.pace.usual_ms == usual_ms);
}

/* Guards against work being sent in numbers to a member that does not answer,
   and against a limit that stays low after its return. */
static void
silent_member_is_recognized(void **state)
{
    struct fixture f = answering_member();

    (void)state;
    for (int i = 0; i < 3; i++) {
        member_pace_timed_out(&f.pace, f.now, &f.rng);
        f.now += 250;
    }
    assert_int_equal(member_pace_condition(&f.pace), PACE_SILENT);
    assert_false(member_pace_may_send(&f.pace, 1, f.now + 1000));
    assert_true(member_pace_may_send(&f.pace, 0, f.now + 1000));
    for (int i = 0; i < 8; i++) {
        member_pace_served(&f.pace, USUAL_MS, MAX, MAX, f.now);
    }
    assert_int_equal(member_pace_condition(&f.pace), PACE_NORMAL);
    assert_true(f.pace.limit > MAX / 4.0f);
}

/* Guards against all proxies reaching a returned member at the same time. */
static void
first_tries_are_spread(void **state)
{
    struct member_pace pace;
    struct rng rng;
    int early = 0;

    (void)state;
    rng_seed(&rng, 7);
    for (int i = 0; i < 134; i++) {
        member_pace_init(&pace, 134, 0, &rng);
        member_pace_unreachable(&pace, 1000, &rng);
        assert_true(pace.limit < 0.1f);
        assert_true(member_pace_may_send(&pace, 0, 1000 + 134 * 3));
        early += member_pace_may_send(&pace, 0, 1000 + 40);
    }
    assert_in_range(early, 1, 40);
}

/* Guards against a delay before it is known that a member is down. */
static void
try_after_loss_is_not_delayed(void **state)
{
    struct fixture f = answering_member();

    (void)state;
    member_pace_refused(&f.pace, f.now, &f.rng);
    member_pace_lost(&f.pace, f.now, &f.rng);
    assert_true(member_pace_may_open(&f.pace, 0, f.now));
    assert_int_equal((int)f.pace.limit, 1);
    assert_true(f.pace.ramping);
}

/* Guards against a first statement that waits twice: for the opening, and
   afterwards. */
static void
first_statement_follows_the_opening(void **state)
{
    struct member_pace pace;
    struct rng rng;

    (void)state;
    rng_seed(&rng, 7);
    member_pace_init(&pace, 134, 1000, &rng);
    member_pace_sent(&pace, 1400, &rng);
    assert_false(member_pace_may_send(&pace, 0, 1415));
    member_pace_opened(&pace, MAX);
    assert_true(member_pace_may_send(&pace, 0, 1415));
}

/* Guards against a limit below one statement that stays, at a proxy that gets
   few answers, and against raising it right after a refusal. */
static void
quiet_proxy_is_not_limited_for_long(void **state)
{
    struct member_pace pace;
    struct rng rng;

    (void)state;
    rng_seed(&rng, 7);
    member_pace_init(&pace, 134, 1000, &rng);
    member_pace_sent(&pace, 2000, &rng);
    assert_true(pace.limit < 1);
    member_pace_sent(&pace, 4000, &rng);
    assert_int_equal((int)pace.limit, 2);
    member_pace_refused(&pace, 5000, &rng);
    member_pace_refused(&pace, 6000, &rng);
    member_pace_sent(&pace, 10000, &rng);
    assert_true(pace.limit < 1);
}

/* Guards against a promoted member being treated as one that is not known. */
static void
promoted_member_keeps_half(void **state)
{
    struct fixture f = answering_member();

    (void)state;
    member_pace_start(&f.pace, PACE_START_PROMOTED, f.now, &f.rng);
    assert_int_equal((int)f.pace.limit, MAX / 2);
    assert_true(f.pace.ramping);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(state_is_small),
        cmocka_unit_test(limit_grows_to_the_maximum),
        cmocka_unit_test(unused_limit_does_not_grow),
        cmocka_unit_test(slow_member_is_recognized),
        cmocka_unit_test(cold_member_is_not_slow),
        cmocka_unit_test(full_member_is_recognized),
        cmocka_unit_test(refused_connection_delays_connections_only),
        cmocka_unit_test(failing_member_is_recognized),
        cmocka_unit_test(silent_member_is_recognized),
        cmocka_unit_test(first_tries_are_spread),
        cmocka_unit_test(try_after_loss_is_not_delayed),
        cmocka_unit_test(first_statement_follows_the_opening),
        cmocka_unit_test(quiet_proxy_is_not_limited_for_long),
        cmocka_unit_test(promoted_member_keeps_half),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
