#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include "failover/round.h"
#include "model.h"

#define CASES 200

/* Creates a model of three members and runs it until it has settled. */
static struct model *
create_settled_model(uint64_t seed, int proxies)
{
    const struct model_options opt = {
        .seed = seed, .members = 3, .proxies = proxies};
    struct model *m = model_create(&opt);

    model_run(m, 2000);
    assert_true(model_settled(m));
    return m;
}

/* Runs until proxy 0 is in the given state. */
static void
run_until_state(struct model *m, enum failover_state state)
{
    for (int i = 0; i < 5000; i++) {
        if (failover_get_state(m->proxy[0].f) == state) {
            return;
        }
        model_run(m, 1);
    }
    fail_msg("state %s not reached", failover_state_name(state));
}

/* Checks that the group settles within 4 s with no invariant broken, and frees
   the model. */
static void
settle_and_destroy(struct model *m)
{
    for (int i = 0; i < 4000 && !model_settled(m); i++) {
        model_run(m, 1);
    }
    assert_true(model_settled(m));
    assert_null(m->violation);
    model_destroy(m);
}

/* A proxy must not replace a working primary because only its own link to the
   primary is cut. */
static void
test_cut_off_alone(void **state)
{
    struct model *m = create_settled_model(1, 3);

    (void)state;
    model_set_cut(m, model_proxy_node(0), 0, true);
    model_run(m, 10000);
    for (int i = 0; i < 3; i++) {
        assert_int_equal(m->proxy[i].seal_calls, 0);
        assert_int_equal(m->proxy[i].primary, 0);
    }
    assert_int_equal(failover_get_counters(m->proxy[0].f)->confirmed_elsewhere,
                     1);
    model_heal(m);
    settle_and_destroy(m);
}

/* A primary that answers the proxies but is cut off from its replicas can
   acknowledge no write and must be replaced. */
static void
test_primary_without_replicas(void **state)
{
    struct model *m = create_settled_model(2, 3);

    (void)state;
    model_isolate(m, 0, 0, 3, true);
    model_run(m, 4000);
    assert_int_not_equal(model_acknowledging_primary(m), FAILOVER_NO_MEMBER);
    assert_int_not_equal(model_acknowledging_primary(m), 0);
    model_heal(m);
    settle_and_destroy(m);
}

/* The loss of only the answer to the promote call must lead neither to a
   second promotion in a new term nor to a group without a primary. */
static void
test_promote_answer_lost(void **state)
{
    struct model *m = create_settled_model(3, 1);

    (void)state;
    model_kill_member(m, 0);
    run_until_state(m, FAILOVER_PROMOTING);
    m->cut[1][model_proxy_node(0)] = true;
    m->cut[2][model_proxy_node(0)] = true;
    model_run(m, 250);
    assert_int_equal(m->proxy[0].primary, FAILOVER_NO_MEMBER);
    model_heal(m);
    settle_and_destroy(m);
}

/* When the proxy that runs a round dies, after any number of seals, another
   one must complete the failover; otherwise the group would stay sealed. */
static void
test_promoter_dies(void **state)
{
    (void)state;
    for (int ms = 0; ms < 12; ms++) {
        struct model *m = create_settled_model(4, 2);
        model_kill_member(m, 0);
        run_until_state(m, FAILOVER_SEALING);
        model_run(m, ms);
        model_kill_proxy(m, 0);
        model_run(m, 4000);
        assert_int_not_equal(model_acknowledging_primary(m),
                             FAILOVER_NO_MEMBER);
        assert_int_equal(m->proxy[1].primary, model_acknowledging_primary(m));
        model_heal(m);
        settle_and_destroy(m);
    }
}

/* A proxy that is paused during its round and resumes after others have
   completed the failover must not change the term again. */
static void
test_promoter_paused(void **state)
{
    (void)state;
    for (int ms = 0; ms < 12; ms++) {
        struct model *m = create_settled_model(5, 3);
        model_kill_member(m, 0);
        run_until_state(m, FAILOVER_SEALING);
        model_run(m, ms);
        model_pause_proxy(m, 0, 3000);
        model_run(m, 2900);
        const int acker = model_acknowledging_primary(m);
        assert_int_not_equal(acker, FAILOVER_NO_MEMBER);
        const uint64_t term = m->member[acker].term;
        model_run(m, 1000);
        assert_int_equal(m->member[acker].term, term);
        assert_int_equal(m->proxy[0].term, term);
        model_heal(m);
        settle_and_destroy(m);
    }
}

/* Proxies that all start a round at the same time must not go on preempting
   each other with ever higher terms. */
static void
test_same_rank(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 50; seed++) {
        struct model *m = create_settled_model(seed, 5);
        for (int i = 0; i < 5; i++) {
            failover_set_rank(m->proxy[i].f, m->now, 0);
        }
        model_kill_member(m, 0);
        model_run(m, 4000);
        assert_int_not_equal(model_acknowledging_primary(m),
                             FAILOVER_NO_MEMBER);
        model_heal(m);
        settle_and_destroy(m);
    }
}

/* The most advanced member must be promoted, even if it is leaving; between
   equally advanced members a leaving one must not be. */
static void
test_choice(void **state)
{
    struct members m;
    struct round r;

    (void)state;
    members_init(&m, 3, NULL);
    m.view[0].leaving = true;
    round_start(&r, 7, 0, 300);
    round_record_grant(&r, 0, 5, 100);
    round_record_grant(&r, 1, 5, 100);
    assert_int_equal(round_choose_primary(&r, &m), 1);
    round_record_grant(&r, 0, 5, 101);
    assert_int_equal(round_choose_primary(&r, &m), 0);
    round_record_grant(&r, 2, 6, 50);
    assert_int_equal(round_choose_primary(&r, &m), 2);
    members_clear(&m);
}

/* An answer to a call of an earlier round, or a repeated answer, must not be
   accepted. */
static void
test_late_answer(void **state)
{
    struct round r;

    (void)state;
    round_start(&r, 7, 0, 300);
    r.seal_call_id[1] = 41;
    r.promote_call_id = 42;
    round_start(&r, 8, 500, 300);
    assert_false(round_match_seal_answer(&r, 1, 41));
    assert_false(round_match_promote_answer(&r, 42));
    r.seal_call_id[1] = 43;
    assert_false(round_match_seal_answer(&r, 1, 41));
    assert_true(round_match_seal_answer(&r, 1, 43));
    assert_false(round_match_seal_answer(&r, 1, 43));
}

/* A leaving primary must be replaced, and not by another leaving member. */
static void
test_leaving_primary(void **state)
{
    struct model *m = create_settled_model(6, 3);

    (void)state;
    for (int i = 0; i < 3; i++) {
        failover_set_leaving(m->proxy[i].f, m->now, 0, true);
        failover_set_leaving(m->proxy[i].f, m->now, 1, true);
    }
    model_run(m, 1000);
    assert_int_equal(model_acknowledging_primary(m), 2);
    settle_and_destroy(m);
}

/* While the only non-leaving replica is behind, attempts to replace a leaving
   primary must become rarer, because each of them holds writes. Without the
   growing delay there would be one every second. */
static void
test_leaving_not_replaceable(void **state)
{
    struct model *m = create_settled_model(9, 1);

    (void)state;
    model_set_cut(m, 0, 2, true);
    failover_set_leaving(m->proxy[0].f, m->now, 0, true);
    failover_set_leaving(m->proxy[0].f, m->now, 1, true);
    model_run(m, 20000);
    assert_int_equal(model_acknowledging_primary(m), 0);
    assert_in_range(failover_get_counters(m->proxy[0].f)->switches_started, 1,
                    6);
    model_heal(m);
    model_run(m, 20000);
    assert_int_equal(model_acknowledging_primary(m), 2);
    settle_and_destroy(m);
}

/* A member stranded by a higher sealed term must be readmitted without waiting
   for the long retry delay of a leaving primary. */
static void
test_repair_not_delayed(void **state)
{
    struct model *m = create_settled_model(10, 1);

    (void)state;
    model_set_cut(m, 0, 2, true);
    failover_set_leaving(m->proxy[0].f, m->now, 0, true);
    failover_set_leaving(m->proxy[0].f, m->now, 1, true);
    model_run(m, 10000);
    failover_set_leaving(m->proxy[0].f, m->now, 0, false);
    m->member[2].sealed = (UINT64_C(2) << FAILOVER_PROXY_ID_BITS) + 9;
    model_heal(m);
    settle_and_destroy(m);
}

/* When no member catches up during a planned switch, the primary must stay and
   writes must be released. */
static void
test_switch_called_off(void **state)
{
    struct model *m = create_settled_model(7, 2);

    (void)state;
    model_isolate(m, 0, 1, 3, true);
    model_run(m, 100);
    failover_set_running_transactions(m->proxy[0].f, m->now, 1);
    assert_true(
        failover_request_switch(m->proxy[0].f, m->now, FAILOVER_NO_MEMBER));
    model_run(m, 20);
    assert_true(m->proxy[0].hold);
    assert_true(m->proxy[1].hold);
    m->member[1].heard_primary_at = -1000;
    m->member[2].heard_primary_at = -1000;
    model_run(m, 150);
    assert_false(m->proxy[0].hold);
    assert_int_equal(m->proxy[0].primary, 0);
    assert_int_equal(m->proxy[0].seal_calls, 0);
    model_heal(m);
    settle_and_destroy(m);
}

/* A primary that its replicas can reach but no proxy can is not replaced
   automatically; an operator must be able to replace it. */
static void
test_operator_replaces_unreachable(void **state)
{
    struct model *m = create_settled_model(8, 2);

    (void)state;
    model_isolate(m, 0, model_proxy_node(0), model_proxy_node(2), true);
    model_run(m, 3000);
    assert_int_equal(m->proxy[0].seal_calls, 0);
    assert_true(failover_request_switch(m->proxy[0].f, m->now, 2));
    model_run(m, 300);
    assert_int_equal(model_acknowledging_primary(m), 2);
    model_heal(m);
    settle_and_destroy(m);
}

/* Settings out of range must be rejected with a message that names the key. */
static void
test_settings(void **state)
{
    struct failover_settings s;
    char why[100];

    (void)state;
    failover_settings_default(&s);
    assert_true(failover_settings_check(&s, why, sizeof(why)));
    s.backoff_cap_ms = s.backoff_base_ms - 1;
    assert_false(failover_settings_check(&s, why, sizeof(why)));
    assert_string_equal(why, "backoff_cap_ms=99 is outside 100..60000");
}

/* qsort() callback. */
static int
compare_times(const void *a, const void *b)
{
    return *(const int *)a < *(const int *)b
               ? -1
               : *(const int *)a > *(const int *)b;
}

/* The time without a primary must stay within the bounds of design
   section 1.2. Times are simulated and so do not depend on the machine that
   runs the test. */
static void
test_bounds(void **state)
{
    int gap[CASES];

    (void)state;
    for (int i = 0; i < CASES; i++) {
        const char *violation = NULL;
        const uint64_t seed = 1 + (uint64_t)i;
        gap[i] = (int)scenario_failover_gap(seed, FAILOVER_POLICY_STAGGERED,
                                            &violation);
        assert_null(violation);
        assert_in_range(gap[i], 0, 4000);
        assert_in_range(scenario_planned_switch(
                            seed, FAILOVER_POLICY_STAGGERED, &violation),
                        0, 200);
        assert_null(violation);
    }
    qsort(gap, CASES, sizeof(gap[0]), compare_times);
    assert_in_range(gap[CASES / 2], 0, 1000);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_cut_off_alone),
        cmocka_unit_test(test_primary_without_replicas),
        cmocka_unit_test(test_promote_answer_lost),
        cmocka_unit_test(test_promoter_dies),
        cmocka_unit_test(test_promoter_paused),
        cmocka_unit_test(test_same_rank),
        cmocka_unit_test(test_choice),
        cmocka_unit_test(test_late_answer),
        cmocka_unit_test(test_leaving_primary),
        cmocka_unit_test(test_leaving_not_replaceable),
        cmocka_unit_test(test_repair_not_delayed),
        cmocka_unit_test(test_switch_called_off),
        cmocka_unit_test(test_operator_replaces_unreachable),
        cmocka_unit_test(test_settings),
        cmocka_unit_test(test_bounds),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
