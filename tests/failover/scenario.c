#include "model.h"

#define SETTLE_LIMIT_MS 4000
#define FAULT_KINDS 12

/* Derives the size and options of a case from its seed. */
struct model_options
scenario_options(uint64_t seed)
{
    static const int members[] = {3, 3, 3, 5, 5, 7, 9};
    struct rng r;

    rng_seed(&r, seed ^ UINT64_C(0x6f7074696f6e73));
    return (struct model_options){
        .seed = seed,
        .members = members[rng_below(&r, G_N_ELEMENTS(members))],
        .proxies = 1 + (int)rng_below(&r, MODEL_PROXIES_MAX),
        .dead_members_refuse = rng_below(&r, 2) == 0,
        .observers = rng_below(&r, 3) == 0,
    };
}

/* Returns a random number from 0 to n-1. */
static int
draw(struct model *m, int n)
{
    return (int)rng_below(&m->rng, (uint64_t)n);
}

/* Returns the primary, if there is one, with probability 1/2, otherwise a
   random member. */
static int
draw_member(struct model *m)
{
    const int acker = model_acknowledging_primary(m);

    return acker != FAILOVER_NO_MEMBER && draw(m, 2) == 0
               ? acker
               : draw(m, m->opt.members);
}

/* Injects one random fault. */
static void
inject_fault(struct model *m)
{
    const int i = draw_member(m);
    const int p = draw(m, m->opt.proxies);
    const int first = model_proxy_node(0);
    struct failover *f = m->proxy[p].f;

    switch (draw(m, FAULT_KINDS)) {
    case 0:
        model_kill_member(m, i);
        break;
    case 1:
        m->member[i].alive = true;
        break;
    case 2:
        model_isolate(m, i, 0, m->opt.members, draw(m, 4) != 0);
        break;
    case 3:
        model_isolate(m, i, first, first + 1 + p, draw(m, 4) != 0);
        break;
    case 4:
        model_isolate(m, i, 0, MODEL_NODE_COUNT, draw(m, 4) != 0);
        break;
    case 5:
        model_pause_proxy(m, p, 50 + draw(m, 3000));
        break;
    case 6:
        model_kill_proxy(m, p);
        break;
    case 7:
        if (f == NULL) {
            model_start_proxy(m, p);
        }
        break;
    case 8:
        m->loss_permille = draw(m, 300);
        m->dup_permille = draw(m, 300);
        break;
    case 9:
        m->slow_permille = draw(m, 400);
        break;
    case 10:
        if (f != NULL && m->now >= m->proxy[p].paused_until) {
            (void)failover_request_switch(
                f, m->now, draw(m, 2) == 0 ? FAILOVER_NO_MEMBER : i);
        }
        break;
    default:
        if (f != NULL && m->now >= m->proxy[p].paused_until) {
            failover_set_leaving(f, m->now, i, draw(m, 2) == 0);
        }
        break;
    }
}

/* Injects several random faults, ends them all and runs until the group has
   settled and accepts writes. Returns the number of steps run; *settle_ms is
   set to the time from the end of the faults until the group had settled. */
int64_t
scenario_random(struct model *m, int64_t *settle_ms)
{
    const bool slow = draw(m, 4) == 0;

    model_run(m, 1500);
    if (slow) {
        model_kill_member(m, 0);
    }
    for (int faults = 2 + draw(m, 8); faults > 0; faults--) {
        inject_fault(m);
        if (draw(m, 3) == 0) {
            inject_fault(m);
        }
        if (slow) {
            /* Slow answers make rounds overlap, so that answers of earlier
               rounds arrive late. */
            m->slow_answer_permille = 300 + draw(m, 600);
            m->dup_permille = 200;
        }
        model_run(m, 1 + draw(m, draw(m, 3) == 0 ? 2000 : 300));
    }
    model_heal(m);
    for (int p = 0; p < m->opt.proxies; p++) {
        for (int i = 0; i < m->opt.members; i++) {
            failover_set_leaving(m->proxy[p].f, m->now, i, false);
        }
    }
    const int64_t healed = m->now;
    while (!model_settled(m) && m->violation == NULL &&
           m->now < healed + SETTLE_LIMIT_MS) {
        model_run(m, 1);
    }
    *settle_ms = m->now - healed;
    if (!model_settled(m)) {
        model_fail(m, "one_primary_known");
    }
    m->first_ack_at = -1;
    m->first_ack_above_term = 0;
    model_run(m, 100);
    if (m->first_ack_at < 0) {
        model_fail(m, "writes_resume");
    }
    return m->now;
}

/* Kills the primary (2 of 4 cases) or isolates it from all nodes or from the
   other members. Returns the time in ms until the first client write is
   acknowledged in a later term, or -1 if none is within 20 s. */
int64_t
scenario_failover_gap(uint64_t seed, enum failover_policy policy,
                      const char **violation)
{
    struct model_options opt = scenario_options(seed);

    opt.members = 3;
    opt.policy = policy;
    struct model *m = model_create(&opt);
    model_run(m, 2000 + draw(m, 400));
    m->first_ack_above_term = MODEL_FIRST_TERM;
    switch (draw(m, 4)) {
    case 0:
        model_isolate(m, 0, 0, MODEL_NODE_COUNT, true);
        break;
    case 1:
        model_isolate(m, 0, 0, m->opt.members, true);
        break;
    default:
        model_kill_member(m, 0);
        break;
    }
    const int64_t lost = m->now;
    while (m->first_ack_at < 0 && m->violation == NULL &&
           m->now < lost + 20000) {
        model_run(m, 1);
    }
    *violation = m->violation;
    const int64_t gap = m->first_ack_at < 0 ? -1 : m->first_ack_at - lost;
    model_destroy(m);
    return gap;
}

/* Requests a planned switch at a random proxy while transactions run for up to
   300 ms. Returns the time in ms until the first client write is acknowledged
   in the new term, or -1 if none is within 1 s. A write of any proxy that is
   refused or lost during the switch breaks the invariant
   switch_fails_no_write. */
int64_t
scenario_planned_switch(uint64_t seed, enum failover_policy policy,
                        const char **violation)
{
    struct model_options opt = scenario_options(seed);

    opt.members = 3;
    opt.policy = policy;
    struct model *m = model_create(&opt);
    model_run(m, 2000 + draw(m, 400));
    m->first_ack_above_term = MODEL_FIRST_TERM;
    struct failover *f = m->proxy[draw(m, opt.proxies)].f;
    const int64_t start = m->now;
    const int64_t ends = start + (draw(m, 2) == 0 ? 0 : draw(m, 301));
    failover_set_running_transactions(f, m->now, ends > start ? 3 : 0);
    if (failover_request_switch(f, m->now, FAILOVER_NO_MEMBER)) {
        while (m->first_ack_at < 0 && m->violation == NULL &&
               m->now < start + 1000) {
            if (m->now == ends) {
                failover_set_running_transactions(f, m->now, 0);
            }
            model_run(m, 1);
        }
    }
    const struct term_record *old = group_term_record(m, MODEL_FIRST_TERM);
    const struct term_record *new = &g_array_index(
        m->term_records, struct term_record, m->term_records->len - 1);
    if (m->refused_writes > 0 ||
        (new != old &&new->start->index < old->stored_index[0])) {
        model_fail(m, "switch_fails_no_write");
    }
    *violation = m->violation;
    const int64_t took = m->first_ack_at < 0 ? -1 : m->first_ack_at - start;
    model_destroy(m);
    return took;
}
