#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "model.h"

#define CASES 200

/* qsort() callback. The unsigned comparison sorts -1, a case that did not
   recover, as the longest time. */
static int
compare_times(const void *a, const void *b)
{
    const uint64_t x = (uint64_t) * (const int64_t *)a;
    const uint64_t y = (uint64_t) * (const int64_t *)b;

    return x < y ? -1 : x > y;
}

/* Measures one policy over CASES seeds and prints the figures. Returns false
   if an invariant was broken. */
static bool
measure(enum failover_policy policy, const char *prefix, uint64_t seed)
{
    int64_t gap[CASES];
    int64_t took[CASES];
    const char *violation = NULL;

    for (int i = 0; i < CASES; i++) {
        gap[i] = scenario_failover_gap(seed + (uint64_t)i, policy, &violation);
        if (violation == NULL) {
            took[i] = scenario_planned_switch(seed + (uint64_t)i, policy,
                                              &violation);
        }
        if (violation != NULL) {
            printf("violated=%s case=%llu\n", violation,
                   (unsigned long long)seed + (unsigned long long)i);
            return false;
        }
    }
    qsort(gap, CASES, sizeof(gap[0]), compare_times);
    qsort(took, CASES, sizeof(took[0]), compare_times);
    printf("%sfailover_gap_ms_p50=%lld\n", prefix, (long long)gap[CASES / 2]);
    printf("%sfailover_gap_ms_max=%lld\n", prefix, (long long)gap[CASES - 1]);
    printf("%splanned_switch_ms_max=%lld\n", prefix,
           (long long)took[CASES - 1]);
    return true;
}

/* Runs random cases until at least the given number of steps is done. Returns
   false if an invariant was broken. */
static bool
soak(uint64_t seed, int64_t steps, enum failover_policy policy, bool trace)
{
    int64_t done = 0;
    int64_t settle_max = 0;
    unsigned long long cases = 0;
    unsigned long long acks = 0;
    unsigned long long acks_after_seal = 0;

    for (; done < steps; seed++, cases++) {
        struct model_options opt = scenario_options(seed);
        int64_t settle = 0;
        opt.policy = policy;
        opt.trace = trace;
        struct model *m = model_create(&opt);
        done += scenario_random(m, &settle);
        settle_max = MAX(settle_max, settle);
        acks += m->acks;
        acks_after_seal += m->acks_after_seal;
        const char *violation = m->violation;
        const int64_t at = m->now;
        model_destroy(m);
        if (violation != NULL) {
            printf("violated=%s case=%llu at_ms=%lld\n", violation,
                   (unsigned long long)seed, (long long)at);
            return false;
        }
    }
    printf("steps=%lld\ncases=%llu\nacks=%llu\nacks_after_seal=%llu\n"
           "settle_ms_max=%lld\n",
           (long long)done, cases, acks, acks_after_seal,
           (long long)settle_max);
    return true;
}

/* Usage: soak_failover [--steps N] [--seed S] [--simple] [--trace]
   or soak_failover --measure [--seed S]. One step is one simulated
   millisecond. Exits with 1 if an invariant was broken. */
int
main(int argc, char **argv)
{
    int64_t steps = 1000000;
    uint64_t seed = 1;
    enum failover_policy policy = FAILOVER_POLICY_STAGGERED;
    bool trace = false;
    bool figures = false;

    for (int i = 1; i < argc; i++) {
        if (strcmp(argv[i], "--steps") == 0 && i + 1 < argc) {
            steps = strtoll(argv[++i], NULL, 10);
        }
        else if (strcmp(argv[i], "--seed") == 0 && i + 1 < argc) {
            seed = strtoull(argv[++i], NULL, 10);
        }
        else if (strcmp(argv[i], "--simple") == 0) {
            policy = FAILOVER_POLICY_SIMPLE;
        }
        else if (strcmp(argv[i], "--trace") == 0) {
            trace = true;
        }
        else if (strcmp(argv[i], "--measure") == 0) {
            figures = true;
        }
        else {
            (void)fprintf(stderr, "unknown argument: %s\n", argv[i]);
            return 2;
        }
    }
    if (figures) {
        return measure(FAILOVER_POLICY_STAGGERED, "", seed) &&
                       measure(FAILOVER_POLICY_SIMPLE, "baseline_", seed)
                   ? EXIT_SUCCESS
                   : EXIT_FAILURE;
    }
    return soak(seed, steps, policy, trace) ? EXIT_SUCCESS : EXIT_FAILURE;
}
