#include "capacity/fleet_sim.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

/* All times are in simulated time. */
#define STEP_MS 100
#define FAULTS_MS 60000
#define OBJECTS 6
#define SMALL_SEEDS 60
#define FLEET_SEEDS 8

/* The last node that was seen to lend each object, and when. */
struct lenders {
    uint32_t node[OBJECTS];
    clock_ms seen_at[OBJECTS];
};

/* Returns the time limit for an update to reach all nodes: 3 + 2 log2(n)
   rounds. An epidemic protocol with one push and one pull per round needs
   less, which leaves room for lost messages. */
static clock_ms
spread_bound_ms(unsigned nodes)
{
    clock_ms round = nodes <= MEMBERSHIP_FULL_MESH_MAX
                         ? MEMBERSHIP_HEARTBEAT_MS
                         : MEMBERSHIP_ROUND_MS;

    return round * (3 + 2 * (clock_ms)g_bit_storage(nodes - 1));
}

/* Returns the time limit for all views to be correct after faults: a standing
   suspicion expires or is refuted, and the refutation spreads. Dead members
   are contacted only every fourth round. */
static clock_ms
convergence_bound_ms(unsigned nodes)
{
    return 2 * (MEMBERSHIP_DEAD_MS +
                (clock_ms)g_bit_storage(nodes) * MEMBERSHIP_ROUND_MS / 2) +
           2 * spread_bound_ms(nodes) + 4 * (clock_ms)MEMBERSHIP_ROUND_MS;
}

/* Checks the invariants of every step: no node exceeds the byte budget, and no
   two nodes lend the same object within the time of a lease. */
static void
check_step(const struct sim *s, struct lenders *l, uint64_t seed)
{
    for (unsigned i = 0; i < s->options.nodes; i++) {
        const struct sim_node *n = &s->nodes[i];

        if (n->max_bytes_per_second > MEMBERSHIP_BUDGET_BYTES) {
            fail_msg("seed %lu: node %u sent %u bytes in a second",
                     (unsigned long)seed, i, n->max_bytes_per_second);
        }
        if (n->state != SIM_RUNNING || !n->o) {
            continue;
        }
        for (unsigned k = 0; k < OBJECTS; k++) {
            if (!ownership_may_lend(n->o, sim_object_name(k), s->now)) {
                continue;
            }
            if (l->seen_at[k] > 0 && l->node[k] != i &&
                s->now - l->seen_at[k] < OWNERSHIP_LEASE_MS) {
                fail_msg("seed %lu: nodes %u and %u lend %s within %ld ms",
                         (unsigned long)seed, l->node[k], i,
                         sim_object_name(k), (long)(s->now - l->seen_at[k]));
            }
            l->node[k] = i;
            l->seen_at[k] = s->now;
        }
    }
}

/* Runs the simulation and checks the invariants after each step. */
static void
run_checked(struct sim *s, clock_ms ms, struct lenders *l, uint64_t seed)
{
    clock_ms until = s->now + ms;

    while (s->now < until) {
        sim_run(s, s->now + STEP_MS);
        check_step(s, l, seed);
    }
}

/* Starts or ends a random fault. */
static void
random_fault(struct sim *s, struct rng *r)
{
    unsigned n = s->options.nodes;
    unsigned a = (unsigned)rng_below(r, n);
    unsigned b = (unsigned)rng_below(r, n);

    switch (rng_below(r, 8)) {
    case 0: /* cut one direction of a link */
        sim_set_link_cut(s, a, b, true);
        break;
    case 1:
        sim_set_link_cut(s, a, b, false);
        sim_set_link_cut(s, b, a, false);
        break;
    case 2: /* a partition, in one or both directions */
        for (unsigned i = 0; i < n; i++) {
            s->nodes[i].group = (unsigned)rng_below(r, 2);
        }
        s->cut[0][1] = rng_below(r, 2) != 0;
        s->cut[1][0] = rng_below(r, 2) != 0;
        break;
    case 3:
        s->cut[0][1] = s->cut[1][0] = false;
        break;
    case 4:
        sim_pause(s, a, true);
        break;
    case 5:
        sim_pause(s, a, false);
        break;
    case 6:
        sim_stop(s, a);
        break;
    default:
        sim_start(s, a);
        break;
    }
}

static void
end_all_faults(struct sim *s)
{
    unsigned n = s->options.nodes;

    s->cut[0][1] = s->cut[1][0] = false;
    for (unsigned i = 0; i < n; i++) {
        for (unsigned j = 0; j < n; j++) {
            sim_set_link_cut(s, i, j, false);
        }
        if (s->nodes[i].state == SIM_STOPPED) {
            sim_start(s, i);
        }
        sim_pause(s, i, false);
    }
}

/* Asserts that every running node sees the node 'other' in a phase. */
static void
assert_all_see(const struct sim *s, unsigned other, enum member_phase phase,
               uint64_t seed)
{
    struct member_info info;

    for (unsigned i = 0; i < s->options.nodes; i++) {
        if (i == other || s->nodes[i].state != SIM_RUNNING) {
            continue;
        }
        assert_true(membership_get(s->nodes[i].m, other, &info));
        if (info.phase != phase) {
            fail_msg("seed %lu: node %u sees %u as %s, not %s",
                     (unsigned long)seed, i, other,
                     member_phase_name(info.phase), member_phase_name(phase));
        }
    }
}

/* Asserts that all nodes agree on the owner of each object. */
static void
assert_one_owner(const struct sim *s, uint64_t seed)
{
    for (unsigned k = 0; k < OBJECTS; k++) {
        uint32_t owner = ownership_rank(s->nodes[0].o, sim_object_name(k), 0);
        unsigned lenders = 0;

        for (unsigned i = 0; i < s->options.nodes; i++) {
            const struct ownership *o = s->nodes[i].o;

            if (ownership_rank(o, sim_object_name(k), 0) != owner) {
                fail_msg("seed %lu: %s has owners %u and %u",
                         (unsigned long)seed, sim_object_name(k), owner,
                         ownership_rank(o, sim_object_name(k), 0));
            }
            lenders += ownership_may_lend(o, sim_object_name(k), s->now);
        }
        if (s->options.loss_permille == 0) {
            assert_int_equal(lenders,
                             s->options.nodes <= MEMBERSHIP_FULL_MESH_MAX);
        }
    }
}

/* Runs one seed: random faults, then a time without faults, then one
   update. */
static void
run_random(unsigned nodes, unsigned loss_permille, uint64_t seed)
{
    const struct sim_options options = {
        .nodes = nodes,
        .domains = MIN(nodes, 4),
        .seed = seed,
        .loss_permille = loss_permille,
        .delay_min_ms = 1,
        .delay_max_ms = 80,
        .objects = OBJECTS,
    };
    struct sim *s = sim_create(&options);
    struct lenders l = {0};
    struct rng r;

    rng_seed(&r, seed * 7919 + nodes);
    for (clock_ms t = 0; t < FAULTS_MS; t += 1000) {
        if (rng_below(&r, 2)) {
            random_fault(s, &r);
        }
        run_checked(s, 1000, &l, seed);
    }
    end_all_faults(s);
    run_checked(s, convergence_bound_ms(nodes), &l, seed);
    if (loss_permille == 0) {
        for (unsigned i = 0; i < nodes; i++) {
            assert_all_see(s, i, MEMBER_LIVE, seed);
        }
        run_checked(s, OWNERSHIP_TAKEOVER_MS, &l, seed);
        assert_one_owner(s, seed);
    }
    else {
        /* Lost messages may cause a suspicion at any time, but not a death. */
        for (unsigned i = 0; i < nodes * nodes; i++) {
            assert_false(sim_node_sees(s, i / nodes, i % nodes, MEMBER_DEAD));
        }
        assert_one_owner(s, seed);
    }
    unsigned leaving = (unsigned)rng_below(&r, nodes);
    membership_leave(s->nodes[leaving].m, s->now);
    run_checked(s, spread_bound_ms(nodes), &l, seed);
    if (loss_permille == 0) {
        assert_all_see(s, leaving, MEMBER_LEAVING, seed);
    }
    sim_destroy(s);
}

/* Guards against views that stay wrong, two owners, double lending and an
   exceeded byte budget in a full mesh after random faults. */
static void
test_random_small(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= SMALL_SEEDS; seed++) {
        run_random(3 + (unsigned)(seed % 6), 0, seed);
    }
    /* Regression: with eight members, probes used up the budget of heartbeats,
       and the missing heartbeats caused further probes without end. */
    run_random(8, 0, 1451);
}

/* The same in gossip mode. */
static void
test_random_fleet(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= FLEET_SEEDS; seed++) {
        run_random(10 + (unsigned)(seed % 4) * 10, 0, seed);
    }
}

/* Guards against live members that are declared dead because of lost messages
   alone. */
static void
test_random_loss(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 10; seed++) {
        run_random(seed % 2 ? 5 : 20, 20, seed);
    }
}

/* Creates a simulation without faults that has run for ten seconds. */
static struct sim *
create_settled_sim(unsigned nodes, uint64_t seed)
{
    const struct sim_options options = {
        .nodes = nodes,
        .domains = MIN(nodes, 4),
        .seed = seed,
        .delay_min_ms = 1,
        .delay_max_ms = 20,
        .objects = OBJECTS,
    };
    struct sim *s = sim_create(&options);

    sim_run(s, s->now + 10000);
    return s;
}

/* Guards against a live member that becomes suspect or dead because of one bad
   link, in one or both directions, although others can reach it. */
static void
test_bad_link_is_harmless(void **state)
{
    (void)state;
    /* Up to seed 26, where members refused probes because the budget was used
       up. */
    for (uint64_t seed = 1; seed <= 26; seed++) {
        unsigned nodes = seed % 2 ? 5 : 30;
        struct sim *s = create_settled_sim(nodes, seed);
        struct lenders l = {0};

        sim_set_link_cut(s, 0, 1, true);
        if (seed % 3) {
            sim_set_link_cut(s, 1, 0, true);
        }
        run_checked(s, 60000, &l, seed);
        assert_int_equal(s->deaths_seen, 0);
        for (unsigned i = 0; i < nodes; i++) {
            if (membership_counters(s->nodes[i].m)->suspicions > 0) {
                fail_msg("seed %lu: node %u raised a suspicion",
                         (unsigned long)seed, i);
            }
        }
        sim_destroy(s);
    }
}

/* Guards against a stopped member that stays in use and a restarted one that
   stays out of use. A member is dead after 3 s plus one interval and the time
   for probes and for spreading the update. */
static void
test_death_and_return(void **state)
{
    (void)state;
    struct sim *s = create_settled_sim(5, 3);
    struct lenders l = {0};

    sim_stop(s, 2);
    run_checked(s, MEMBERSHIP_DEAD_MS + 2 * MEMBERSHIP_HEARTBEAT_MS, &l, 3);
    assert_all_see(s, 2, MEMBER_DEAD, 3);
    sim_start(s, 2);
    run_checked(s, spread_bound_ms(5), &l, 3);
    assert_all_see(s, 2, MEMBER_LIVE, 3);
    sim_destroy(s);
}

/* Guards against a paused proxy that, once resumed, declares others dead
   because of its own pause, or stays dead itself. */
static void
test_pause_and_resume(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 6; seed++) {
        unsigned nodes = seed % 2 ? 5 : 20;
        struct sim *s = create_settled_sim(nodes, seed);
        struct lenders l = {0};

        sim_pause(s, 1, true);
        run_checked(s, 30000, &l, seed);
        assert_all_see(s, 1, MEMBER_DEAD, seed);
        sim_pause(s, 1, false);
        run_checked(s, convergence_bound_ms(nodes), &l, seed);
        assert_all_see(s, 1, MEMBER_LIVE, seed);
        assert_int_equal(membership_counters(s->nodes[1].m)->deaths, 0);
        assert_int_equal(membership_counters(s->nodes[1].m)->resumes, 1);
        sim_destroy(s);
    }
}

/* Guards against lending in the minority part of a partition. */
static void
test_minority_does_not_lend(void **state)
{
    (void)state;
    struct sim *s = create_settled_sim(5, 4);
    struct lenders l = {0};

    s->nodes[3].group = s->nodes[4].group = 1;
    s->cut[0][1] = s->cut[1][0] = true;
    run_checked(s, 20000, &l, 4);
    for (unsigned k = 0; k < OBJECTS; k++) {
        unsigned lenders = 0;

        for (unsigned i = 0; i < 5; i++) {
            bool lends =
                ownership_may_lend(s->nodes[i].o, sim_object_name(k), s->now);

            assert_false(lends && i >= 3);
            lenders += lends;
        }
        assert_int_equal(lenders, 1);
    }
    sim_destroy(s);
}

/* Guards against wrong decisions because of a VM list that lags behind: a
   member that is not listed yet is learned from its own messages, the leaving
   mark of a single list is enough, and a removed member is forgotten only once
   it is dead. */
static void
test_lagging_list(void **state)
{
    (void)state;
    struct sim *s = create_settled_sim(5, 5);
    struct lenders l = {0};

    membership_list_remove(s->nodes[0].m, s->now, 1);
    assert_all_see(s, 1, MEMBER_LIVE, 5);
    membership_list_mark_leaving(s->nodes[2].m, s->now, 3);
    run_checked(s, spread_bound_ms(5), &l, 5);
    assert_all_see(s, 3, MEMBER_LEAVING, 5);
    for (unsigned k = 0; k < OBJECTS; k++) {
        for (unsigned i = 0; i < 5; i++) {
            assert_int_not_equal(
                ownership_rank(s->nodes[i].o, sim_object_name(k), 0), 3);
        }
    }
    sim_stop(s, 1);
    run_checked(s, 6000, &l, 5);
    for (unsigned i = 0; i < 5; i++) {
        if (i != 1) {
            membership_list_remove(s->nodes[i].m, s->now, 1);
            assert_int_equal(membership_size(s->nodes[i].m), 4);
        }
    }
    sim_start(s, 1); /* lists the others, which do not list it */
    run_checked(s, convergence_bound_ms(5), &l, 5);
    assert_all_see(s, 1, MEMBER_LIVE, 5);
    sim_destroy(s);
}

/* Guards against ranks in the same failure domain although there are others,
   and against cached ranks that differ from newly computed ones after
   changes. */
static void
test_ranks(void **state)
{
    (void)state;
    struct sim *s = create_settled_sim(40, 6);
    struct lenders l = {0};

    sim_stop(s, 7);
    sim_stop(s, 11);
    membership_leave(s->nodes[5].m, s->now);
    run_checked(s, 40000, &l, 6);
    sim_start(s, 7);
    run_checked(s, 20000, &l, 6);
    for (unsigned k = 0; k < OBJECTS; k++) {
        struct member_info a;
        struct member_info b;
        struct member_info c;
        const char *x = sim_object_name(k);
        const struct ownership *o = s->nodes[0].o;
        struct ownership *fresh = ownership_create(s->nodes[0].m, NULL, NULL);

        ownership_track(fresh, x, s->now);
        assert_true(
            membership_get(s->nodes[0].m, ownership_rank(o, x, 0), &a));
        assert_true(
            membership_get(s->nodes[0].m, ownership_rank(o, x, 1), &b));
        assert_true(
            membership_get(s->nodes[0].m, ownership_rank(o, x, 2), &c));
        assert_string_not_equal(a.domain, b.domain);
        assert_string_not_equal(a.domain, c.domain);
        assert_string_not_equal(b.domain, c.domain);
        for (unsigned r = 0; r < OWNERSHIP_RANKS; r++) {
            assert_int_equal(ownership_rank(o, x, r),
                             ownership_rank(fresh, x, r));
        }
        ownership_destroy(fresh);
    }
    sim_destroy(s);
}

/* Usage: test_membership [FILTER] */
int
main(int argc, char **argv)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_random_small),
        cmocka_unit_test(test_random_fleet),
        cmocka_unit_test(test_random_loss),
        cmocka_unit_test(test_bad_link_is_harmless),
        cmocka_unit_test(test_death_and_return),
        cmocka_unit_test(test_pause_and_resume),
        cmocka_unit_test(test_minority_does_not_lend),
        cmocka_unit_test(test_lagging_list),
        cmocka_unit_test(test_ranks),
    };

    if (argc > 1) {
        cmocka_set_test_filter(argv[1]);
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
