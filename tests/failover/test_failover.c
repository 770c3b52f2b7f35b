#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include "failover/round.h"
#include "model.h"

#define CASES 200

/* Creates a settled group of three members. */
static struct model *
start(uint64_t seed, int proxies)
{
    const struct model_options opt = {
        .seed = seed, .members = 3, .proxies = proxies};
    struct model *m = model_create(&opt);

    model_run(m, 2000);
    assert_true(model_settled(m));
    return m;
}

/* Runs until the machine of proxy 0 is in a state. */
static void
run_until(struct model *m, enum failover_state state)
{
    for (int i = 0; i < 5000; i++) {
        if (failover_get_state(m->proxy[0].f) == state) {
            return;
        }
        model_run(m, 1);
    }
    fail_msg("state %s not reached", failover_state_name(state));
}

/* Ends a case: the group must settle within 4 s with no invariant broken. */
static void
finish(struct model *m)
{
    for (int i = 0; i < 4000 && !model_settled(m); i++) {
        model_run(m, 1);
    }
    assert_true(model_settled(m));
    assert_null(m->violation);
    model_destroy(m);
}

/* Guards against a proxy that replaces a working primary because its own link
   to it is cut. */
static void
test_cut_off_alone(void **state)
{
    struct model *m = start(1, 3);

    (void)state;
    model_set_cut(m, model_node(0), 0, true);
    model_run(m, 10000);
    for (int i = 0; i < 3; i++) {
        assert_int_equal(m->proxy[i].seals, 0);
        assert_int_equal(m->proxy[i].primary, 0);
    }
    assert_int_equal(failover_get_counters(m->proxy[0].f)->confirmed_elsewhere,
                     1);
    model_heal(m);
    finish(m);
}

/* Guards against leaving a primary in place that answers its proxies but that
   its replicas no longer hear. */
static void
test_primary_without_replicas(void **state)
{
    struct model *m = start(2, 3);

    (void)state;
    model_isolate(m, 0, 0, 3, true);
    model_run(m, 4000);
    assert_int_not_equal(model_acker(m), FAILOVER_NOBODY);
    assert_int_not_equal(model_acker(m), 0);
    model_heal(m);
    finish(m);
}

/* Guards against a second promotion in a new term, or none, when only the
   answer of promote is lost. */
static void
test_promote_answer_lost(void **state)
{
    struct model *m = start(3, 1);

    (void)state;
    model_kill_member(m, 0);
    run_until(m, FAILOVER_PROMOTING);
    m->cut[1][model_node(0)] = true;
    m->cut[2][model_node(0)] = true;
    model_run(m, 250);
    assert_int_equal(m->proxy[0].primary, FAILOVER_NOBODY);
    model_heal(m);
    finish(m);
}

/* Guards against a group that stays sealed when its promoter dies, after any
   part of the seals. */
static void
test_promoter_dies(void **state)
{
    (void)state;
    for (int ms = 0; ms < 12; ms++) {
        struct model *m = start(4, 2);
        model_kill_member(m, 0);
        run_until(m, FAILOVER_SEALING);
        model_run(m, ms);
        model_kill_proxy(m, 0);
        model_run(m, 4000);
        assert_int_not_equal(model_acker(m), FAILOVER_NOBODY);
        assert_int_equal(m->proxy[1].primary, model_acker(m));
        model_heal(m);
        finish(m);
    }
}

/* Guards against harm by a promoter that resumes after others have finished
   its work: the term must not change again. */
static void
test_promoter_paused(void **state)
{
    (void)state;
    for (int ms = 0; ms < 12; ms++) {
        struct model *m = start(5, 3);
        model_kill_member(m, 0);
        run_until(m, FAILOVER_SEALING);
        model_run(m, ms);
        model_pause_proxy(m, 0, 3000);
        model_run(m, 2900);
        const int acker = model_acker(m);
        assert_int_not_equal(acker, FAILOVER_NOBODY);
        const uint64_t term = m->member[acker].term;
        model_run(m, 1000);
        assert_int_equal(m->member[acker].term, term);
        assert_int_equal(m->proxy[0].term, term);
        model_heal(m);
        finish(m);
    }
}

/* Guards against promoters that keep sealing over each other when all of them
   start at the same time. */
static void
test_same_rank(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 50; seed++) {
        struct model *m = start(seed, 5);
        for (int i = 0; i < 5; i++) {
            failover_set_rank(m->proxy[i].f, m->now, 0);
        }
        model_kill_member(m, 0);
        model_run(m, 4000);
        assert_int_not_equal(model_acker(m), FAILOVER_NOBODY);
        model_heal(m);
        finish(m);
    }
}

/* Guards against promoting a member that is leaving when another is as
   advanced, and against passing over the most advanced one. */
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

/* Guards against counting an answer that was meant for an earlier round. */
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

/* Guards against a primary that stays while it is leaving, and against its
   replacement by another that is leaving. */
static void
test_leaving_primary(void **state)
{
    struct model *m = start(6, 3);

    (void)state;
    for (int i = 0; i < 3; i++) {
        failover_set_leaving(m->proxy[i].f, m->now, 0, true);
        failover_set_leaving(m->proxy[i].f, m->now, 1, true);
    }
    model_run(m, 1000);
    assert_int_equal(model_acker(m), 2);
    finish(m);
}

/* Guards against holding writes every second for a leaving primary that no
   staying member can replace yet. */
static void
test_leaving_not_replaceable(void **state)
{
    struct model *m = start(9, 1);

    (void)state;
    model_set_cut(m, 0, 2, true);
    failover_set_leaving(m->proxy[0].f, m->now, 0, true);
    failover_set_leaving(m->proxy[0].f, m->now, 1, true);
    model_run(m, 20000);
    assert_int_equal(model_acker(m), 0);
    assert_in_range(failover_get_counters(m->proxy[0].f)->switches_started, 1,
                    6);
    model_heal(m);
    model_run(m, 20000);
    assert_int_equal(model_acker(m), 2);
    finish(m);
}

/* Guards against a stuck member that waits as long as the next attempt to
   switch a leaving primary. */
static void
test_repair_not_delayed(void **state)
{
    struct model *m = start(10, 1);

    (void)state;
    model_set_cut(m, 0, 2, true);
    failover_set_leaving(m->proxy[0].f, m->now, 0, true);
    failover_set_leaving(m->proxy[0].f, m->now, 1, true);
    model_run(m, 10000);
    failover_set_leaving(m->proxy[0].f, m->now, 0, false);
    m->member[2].sealed = (UINT64_C(2) << FAILOVER_PROXY_ID_BITS) + 9;
    model_heal(m);
    finish(m);
}

/* Guards against writes that stay held when a planned switch finds no member
   that has caught up. */
static void
test_switch_called_off(void **state)
{
    struct model *m = start(7, 2);

    (void)state;
    model_isolate(m, 0, 1, 3, true);
    model_run(m, 100);
    failover_set_running(m->proxy[0].f, m->now, 1);
    assert_true(
        failover_request_switch(m->proxy[0].f, m->now, FAILOVER_NOBODY));
    model_run(m, 20);
    assert_true(m->proxy[0].hold);
    assert_true(m->proxy[1].hold);
    m->member[1].heard = -1000;
    m->member[2].heard = -1000;
    model_run(m, 150);
    assert_false(m->proxy[0].hold);
    assert_int_equal(m->proxy[0].primary, 0);
    assert_int_equal(m->proxy[0].seals, 0);
    model_heal(m);
    finish(m);
}

/* Guards against a group without a way out when its primary serves its
   replicas but can be reached by no proxy. */
static void
test_operator_replaces_unreachable(void **state)
{
    struct model *m = start(8, 2);

    (void)state;
    model_isolate(m, 0, model_node(0), model_node(2), true);
    model_run(m, 3000);
    assert_int_equal(m->proxy[0].seals, 0);
    assert_true(failover_request_switch(m->proxy[0].f, m->now, 2));
    model_run(m, 300);
    assert_int_equal(model_acker(m), 2);
    model_heal(m);
    finish(m);
}

/* Guards against settings out of range reaching the machine. */
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

/* Orders times. */
static int
compare(const void *a, const void *b)
{
    return *(const int *)a < *(const int *)b
               ? -1
               : *(const int *)a > *(const int *)b;
}

/* Guards against a gap above the bounds of design section 1.2. The times are
   simulated, so they are the same on every machine. */
static void
test_bounds(void **state)
{
    int gap[CASES];

    (void)state;
    for (int i = 0; i < CASES; i++) {
        const char *violation = NULL;
        const uint64_t seed = 1 + (uint64_t)i;
        gap[i] =
            (int)scenario_gap(seed, FAILOVER_POLICY_STAGGERED, &violation);
        assert_null(violation);
        assert_in_range(gap[i], 0, 4000);
        assert_in_range(
            scenario_switch(seed, FAILOVER_POLICY_STAGGERED, &violation), 0,
            200);
        assert_null(violation);
    }
    qsort(gap, CASES, sizeof(gap[0]), compare);
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
