#include "admission/retry_budget.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Simulates a retry storm: a server answers one request per millisecond in
   order of arrival and stalls for one second; callers send at 80 % of its rate
   and time out after 200 ms. Prints, with and without the retry budget, the
   share of calls after the stall that are answered in time, and the time until
   95 % of the calls of a half-second window are. Exits with 1 unless
   the share is higher with the budget. Usage: model_retry SEED. */

#define RUN_MS 40000
#define STALL_AT_MS 10000
#define STALL_MS 1000
#define TIMEOUT_MS 200
#define DEADLINE_MS 2000
#define MAX_ATTEMPTS 4
#define LOAD_PERCENT 80
#define WINDOW_MS 500
#define MAX_SENT (RUN_MS * MAX_ATTEMPTS)

struct attempt {
    int call;
    int attempt_number;
    clock_ms sent_at;
    int next; /* index of the next retry due in the same millisecond, or -1 */
};

struct model {
    struct attempt sent[MAX_SENT];
    int sent_count;
    struct attempt retries[MAX_SENT];
    int retry_count;
    int first_retry_due[RUN_MS]; /* by time: index into retries, or -1 */
    clock_ms called_at[RUN_MS];
    clock_ms answered_at[RUN_MS]; /* by call; 0: not answered in time */
    int calls;
};

static const struct retry_backoff backoff = {.base = 50, .ceiling = 400};

/* Schedules a retry for an attempt that has timed out, unless the call is
   answered or the attempts, the deadline or the budget are used up. */
static void
schedule_retry(struct model *m, struct retry_budget *budget, struct rng *rng,
               clock_ms now, const struct attempt *old)
{
    clock_ms at;

    if (old->attempt_number >= MAX_ATTEMPTS ||
        m->answered_at[old->call] != 0 ||
        !retry_backoff_next(&backoff, rng, now,
                            m->called_at[old->call] + DEADLINE_MS,
                            old->attempt_number, &at) ||
        at >= RUN_MS || (budget != NULL && !retry_budget_take(budget))) {
        return;
    }
    at += at == now ? 1 : 0;
    if (at < RUN_MS) {
        m->retries[m->retry_count] =
            (struct attempt){.call = old->call,
                             .attempt_number = old->attempt_number + 1,
                             .next = m->first_retry_due[at]};
        m->first_retry_due[at] = m->retry_count++;
    }
}

static void
run(struct model *m, uint64_t seed, bool with_budget)
{
    struct retry_budget budget;
    struct rng rng;
    int served = 0;
    int timeouts_checked = 0;

    memset(m, 0, sizeof(*m));
    memset(m->first_retry_due, -1, sizeof(m->first_retry_due));
    rng_seed(&rng, seed);
    retry_budget_init(&budget);
    for (clock_ms now = 1; now < RUN_MS; now++) {
        if (rng_below(&rng, 100) < LOAD_PERCENT) {
            retry_budget_on_call(&budget);
            m->called_at[m->calls] = now;
            m->sent[m->sent_count++] =
                (struct attempt){m->calls++, 1, now, -1};
        }
        for (int i = m->first_retry_due[now]; i >= 0; i = m->retries[i].next) {
            m->sent[m->sent_count] = m->retries[i];
            m->sent[m->sent_count++].sent_at = now;
        }
        while (timeouts_checked < m->sent_count &&
               m->sent[timeouts_checked].sent_at + TIMEOUT_MS <= now) {
            schedule_retry(m, with_budget ? &budget : NULL, &rng, now,
                           &m->sent[timeouts_checked++]);
        }
        if (served < m->sent_count &&
            (now < STALL_AT_MS || now >= STALL_AT_MS + STALL_MS)) {
            const struct attempt *a = &m->sent[served++];

            if (now - a->sent_at < TIMEOUT_MS &&
                m->answered_at[a->call] == 0) {
                m->answered_at[a->call] = now;
            }
        }
    }
}

/* Prints the results; returns the share of calls after the stall that were
   answered in time. */
static double
report(const struct model *m, const char *name)
{
    int calls_after_stall = 0;
    int answered = 0;
    int window_calls = 0;
    int window_answered = 0;
    clock_ms window_start = STALL_AT_MS + STALL_MS;
    clock_ms recovery_ms = -1;

    for (int i = 0; i < m->calls; i++) {
        clock_ms at = m->called_at[i];

        if (at < STALL_AT_MS + STALL_MS || at > RUN_MS - DEADLINE_MS) {
            continue;
        }
        calls_after_stall++;
        answered += m->answered_at[i] != 0;
        if (at >= window_start + WINDOW_MS) {
            if (recovery_ms < 0 &&
                window_answered * 100 >= window_calls * 95) {
                recovery_ms =
                    window_start + WINDOW_MS - STALL_AT_MS - STALL_MS;
            }
            window_start += WINDOW_MS;
            window_calls = 0;
            window_answered = 0;
        }
        window_calls++;
        window_answered += m->answered_at[i] != 0;
    }
    printf("%s_answered_after_stall=%.4f\n%s_recovery_ms=%lld\n"
           "%s_attempts_per_call=%.3f\n",
           name, (double)answered / calls_after_stall, name,
           (long long)recovery_ms, name, (double)m->sent_count / m->calls);
    return (double)answered / calls_after_stall;
}

int
main(int argc, char **argv)
{
    static struct model m;
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    double answered_without_budget;

    run(&m, seed, false);
    answered_without_budget = report(&m, "unbounded");
    run(&m, seed, true);
    /* The retry budget is justified only while it raises this share. */
    return report(&m, "budget") <= answered_without_budget;
}
