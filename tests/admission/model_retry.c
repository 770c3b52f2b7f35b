#include "admission/retry_budget.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Model of a retry storm on a virtual clock: a server that answers one
   request per millisecond first come, first served, callers at 80 % of that
   rate with a 200 ms time-out, and one stall of a second. Prints the share of
   calls answered in time after the stall, and the time until 95 % of the
   calls of half a second are, with and without the retry budget.
   Usage: model_retry SEED. */

#define RUN_MS 40000
#define STALL_AT 10000
#define STALL_MS 1000
#define TIMEOUT_MS 200
#define DEADLINE_MS 2000
#define ATTEMPTS 4
#define LOAD_PERCENT 80
#define WINDOW_MS 500
#define MAX_SENT (RUN_MS * ATTEMPTS)

struct attempt {
    int call;
    int number;
    clock_ms sent_at;
    int next; /* next retry that is due in the same millisecond, or -1 */
};

struct model {
    struct attempt sent[MAX_SENT];
    int sent_count;
    struct attempt retries[MAX_SENT];
    int retry_count;
    int due[RUN_MS];
    clock_ms called_at[RUN_MS];
    clock_ms answered_at[RUN_MS]; /* by call; 0: not in time */
    int calls;
};

static const struct retry_backoff backoff = {.base = 50, .ceiling = 400};

/* Schedules the retry of an attempt that timed out. */
static void
retry(struct model *m, struct retry_budget *budget, struct rng *rng,
      clock_ms now, const struct attempt *old)
{
    clock_ms at;

    if (old->number >= ATTEMPTS || m->answered_at[old->call] != 0 ||
        !retry_backoff_next(&backoff, rng, now,
                            m->called_at[old->call] + DEADLINE_MS, old->number,
                            &at) ||
        at >= RUN_MS || (budget != NULL && !retry_budget_take(budget))) {
        return;
    }
    at += at == now ? 1 : 0;
    if (at < RUN_MS) {
        m->retries[m->retry_count] = (struct attempt){
            .call = old->call, .number = old->number + 1, .next = m->due[at]};
        m->due[at] = m->retry_count++;
    }
}

static void
run(struct model *m, uint64_t seed, bool with_budget)
{
    struct retry_budget budget;
    struct rng rng;
    int served = 0;
    int timed = 0;

    memset(m, 0, sizeof(*m));
    memset(m->due, -1, sizeof(m->due));
    rng_seed(&rng, seed);
    retry_budget_init(&budget);
    for (clock_ms now = 1; now < RUN_MS; now++) {
        if (rng_below(&rng, 100) < LOAD_PERCENT) {
            retry_budget_on_call(&budget);
            m->called_at[m->calls] = now;
            m->sent[m->sent_count++] =
                (struct attempt){m->calls++, 1, now, -1};
        }
        for (int i = m->due[now]; i >= 0; i = m->retries[i].next) {
            m->sent[m->sent_count] = m->retries[i];
            m->sent[m->sent_count++].sent_at = now;
        }
        while (timed < m->sent_count &&
               m->sent[timed].sent_at + TIMEOUT_MS <= now) {
            retry(m, with_budget ? &budget : NULL, &rng, now,
                  &m->sent[timed++]);
        }
        if (served < m->sent_count &&
            (now < STALL_AT || now >= STALL_AT + STALL_MS)) {
            const struct attempt *a = &m->sent[served++];

            if (now - a->sent_at < TIMEOUT_MS &&
                m->answered_at[a->call] == 0) {
                m->answered_at[a->call] = now;
            }
        }
    }
}

/* Prints the figures of a run; returns the share answered after the stall. */
static double
report(const struct model *m, const char *name)
{
    int after = 0;
    int answered = 0;
    int window_calls = 0;
    int window_answered = 0;
    clock_ms window = STALL_AT + STALL_MS;
    clock_ms recovered = -1;

    for (int i = 0; i < m->calls; i++) {
        clock_ms at = m->called_at[i];

        if (at < STALL_AT + STALL_MS || at > RUN_MS - DEADLINE_MS) {
            continue;
        }
        after++;
        answered += m->answered_at[i] != 0;
        if (at >= window + WINDOW_MS) {
            if (recovered < 0 && window_answered * 100 >= window_calls * 95) {
                recovered = window + WINDOW_MS - STALL_AT - STALL_MS;
            }
            window += WINDOW_MS;
            window_calls = 0;
            window_answered = 0;
        }
        window_calls++;
        window_answered += m->answered_at[i] != 0;
    }
    printf("%s_answered_after_stall=%.4f\n%s_recovery_ms=%lld\n"
           "%s_attempts_per_call=%.3f\n",
           name, (double)answered / after, name, (long long)recovered, name,
           (double)m->sent_count / m->calls);
    return (double)answered / after;
}

int
main(int argc, char **argv)
{
    static struct model m;
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    double unbounded;

    run(&m, seed, false);
    unbounded = report(&m, "unbounded");
    run(&m, seed, true);
    /* The budget stays only while this measurement supports it. */
    return report(&m, "budget") <= unbounded;
}
