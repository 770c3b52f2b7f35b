#include "relay/pace_model.h"

#include <stdio.h>

/* A model of proxies that send work to three members, the first of which
   restarts. It compares ways to limit the work at a member.

     model_member_pace SEED [all]

   A member has 6 slots and a queue of 48; it refuses work beyond that and
   connections beyond 85. A new connection takes a slot for 12 ms, a statement
   5 to 50 ms. The load is what two members can do, and 0.95 of what the first
   can. A refused or lost statement waits at its proxy again, and fails after
   800 ms. Fails if, with src/relay/member_pace.c, the first member does not
   spend 0.9 of its slots' time on statements within 2 s of its return and from
   then on, or refuses 5 % of what arrives in these 2 s or in all 6 s; or if
   every other way keeps these bounds as well. "all" adds further ways, on
   which nothing is required. */

#define SHORT_QUEUE_MAX 6
#define DOWN_AT_MS 10000
#define BACK_AT_MS 12000
#define REACH_MS 2000
#define END_MS 18000
#define COLD_MS 3000
#define FLAP_MS 700
#define FLAPS_AT_MS (BACK_AT_MS - 9 * FLAP_MS) /* down five times */
#define WINDOW_MS 250
#define REFUSED_BELOW 0.05
#define RUNS_AT_LEAST 0.9

enum scenario {
    SCENARIO_RESTART,
    SCENARIO_COLD, /* takes 1.6 times as long for COLD_MS */
    SCENARIO_FLAPS,
    SCENARIO_HALF_LOST,   /* half of the proxies are lost with the member, and
                             the others get their load */
    SCENARIO_SHORT_QUEUE, /* refuses work before its answers get slow */
    SCENARIOS,
};

static const char *const scenario_names[SCENARIOS] = {
    "restart", "cold", "flaps", "half_lost", "short_queue"};

struct result {
    double reached_ms; /* -1: not reached */
    double use;        /* of the slots, from 2 s after the return on */
    double refused_first;
    double refused_all;
    double served;
    double others; /* use of the slots of the others */
};

/* Stops and starts the first member at the times of the scenario. */
static void
run_scenario(enum scenario scenario)
{
    struct member *m = &pace_model.members[0];

    if (pace_model.now == DOWN_AT_MS && scenario != SCENARIO_FLAPS) {
        pace_member_stop(0);
        for (int i = 1; i < pace_model.proxy_count; i += 2) {
            pace_model.proxies[i].lost = scenario == SCENARIO_HALF_LOST;
        }
    }
    if (scenario == SCENARIO_FLAPS && pace_model.now >= FLAPS_AT_MS &&
        pace_model.now < BACK_AT_MS) {
        const bool up = (pace_model.now - FLAPS_AT_MS) / FLAP_MS % 2 != 0;
        if (m->up && !up) {
            pace_member_stop(0);
        }
        m->up = up;
    }
    if (pace_model.now == BACK_AT_MS) {
        m->up = true;
        m->queue_max =
            scenario == SCENARIO_SHORT_QUEUE ? SHORT_QUEUE_MAX : QUEUE_MAX;
        m->cold_until = scenario == SCENARIO_COLD ? BACK_AT_MS + COLD_MS : 0;
    }
}

static struct result
run(uint64_t seed, int proxies, enum policy policy, enum scenario scenario)
{
    const struct member *m = &pace_model.members[0];
    struct result r = {.reached_ms = -1};
    int used[END_MS] = {0};
    int arrived = 0;
    int refused = 0;
    int sum = 0;

    pace_model_start(seed, proxies, policy);
    while (pace_model.now < END_MS - 1) {
        run_scenario(scenario);
        if (pace_model.now ==
            (scenario == SCENARIO_FLAPS ? FLAPS_AT_MS : BACK_AT_MS)) {
            arrived = m->arrived;
            refused = m->refused;
        }
        pace_model_step();
        used[pace_model.now] = pace_member_statements(m);
        if (pace_model.now == BACK_AT_MS + REACH_MS) {
            r.refused_first =
                (m->refused - refused) / (double)MAX(m->arrived - arrived, 1);
        }
        if (pace_model.now >= BACK_AT_MS + REACH_MS) {
            r.others += pace_member_statements(&pace_model.members[1]) +
                        pace_member_statements(&pace_model.members[2]);
        }
        sum +=
            used[pace_model.now] -
            used[pace_model.now - WINDOW_MS >= 0 ? pace_model.now - WINDOW_MS
                                                 : 0];
        if (r.reached_ms < 0 && pace_model.now >= BACK_AT_MS + WINDOW_MS &&
            sum >= RUNS_AT_LEAST * SLOTS * WINDOW_MS) {
            r.reached_ms = (double)(pace_model.now - BACK_AT_MS);
        }
    }
    r.refused_all =
        (m->refused - refused) / (double)MAX(m->arrived - arrived, 1);
    for (int t = BACK_AT_MS + REACH_MS; t < END_MS; t++) {
        r.use += used[t];
    }
    r.use /= (double)SLOTS * (END_MS - BACK_AT_MS - REACH_MS);
    r.others /= 2.0 * SLOTS * (END_MS - BACK_AT_MS - REACH_MS);
    int served = 0;
    int asked = 0;
    for (int i = 0; i < pace_model.request_count; i++) {
        const struct request *q = &pace_model.requests[i];
        asked += q->arrived_at >= BACK_AT_MS &&
                 q->arrived_at < END_MS - 2 * TIMEOUT_MS;
        served += q->served && q->arrived_at >= BACK_AT_MS &&
                  q->arrived_at < END_MS - 2 * TIMEOUT_MS;
    }
    r.served = served / (double)MAX(asked, 1);
    return r;
}

static bool
within_bounds(const struct result *r)
{
    return r->reached_ms >= 0 && r->reached_ms <= REACH_MS &&
           r->use >= RUNS_AT_LEAST && r->refused_first < REFUSED_BELOW &&
           r->refused_all < REFUSED_BELOW;
}

/* With a short queue, the work of 36 proxies collides at random, whatever each
   of them decides alone. Those figures are only printed. */
static bool
is_required(enum scenario scenario, int proxies)
{
    return scenario != SCENARIO_SHORT_QUEUE || proxies == 4;
}

int
main(int argc, char **argv)
{
    static const int sizes[] = {4, 36, 134};
    const uint64_t seed = argc > 1 ? g_ascii_strtoull(argv[1], NULL, 10) : 1;
    const bool all = argc > 2;
    bool failed = false;
    bool other_missed = false;

    for (int c = 0; c < SCENARIOS; c++) {
        for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
            for (int p = 0; p < POLICIES; p++) {
                if (!all && p != POLICY_NONE && p != POLICY_FIXED &&
                    p != POLICY_PACE) {
                    continue;
                }
                const struct result r =
                    run(seed, sizes[k], (enum policy)p, (enum scenario)c);
                const bool good = within_bounds(&r);
                failed = failed || (p == POLICY_PACE && !good &&
                                    is_required((enum scenario)c, sizes[k]));
                other_missed = other_missed || (p != POLICY_PACE && !good);
                printf("seed=%llu scenario=%s proxies=%d policy=%s "
                       "reached_ms=%.0f use=%.3f refused_2s=%.3f "
                       "refused=%.3f served=%.3f others=%.3f %s\n",
                       (unsigned long long)seed, scenario_names[c], sizes[k],
                       policy_name((enum policy)p), r.reached_ms, r.use,
                       r.refused_first, r.refused_all, r.served, r.others,
                       good ? "ok" : "missed");
            }
        }
    }
    return failed || !other_missed ? 1 : 0;
}
