#include "relay/relay_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Overload of the primary's three connections for three seconds: 400
   statements per second of 10 ms each, with a capacity of 300 per second. */

#define STATEMENT_MS 10
#define STEP_MS 5
#define STEPS 600
#define STATEMENTS_PER_STEP 2
#define TARGET_MS 120
#define TIMEOUT_MS 800

struct job {
    struct connection_request connection_request;
    struct fixture *fixture;
    struct pooled_link *link;
    clock_ms sent_at;
    bool done;
    bool in_time;
    bool refused;
};

static void
on_answered(void *ctx, const struct answer *a)
{
    struct job *j = ctx;
    struct pooled_link *l = j->link;

    (void)a;
    j->done = true;
    j->in_time =
        j->fixture->now <= j->connection_request.arrived_at + TARGET_MS;
    j->link = NULL;
    pooled_release(l, false);
}

static const struct pooled_user user = {.answered = on_answered};

static void
on_granted(void *ctx, struct pooled_link *l)
{
    struct job *j = ctx;
    const struct request r = {
        .verb = VERB_READ, .id = SVIEW("q"), .text = SVIEW("READ x")};

    j->link = l;
    j->sent_at = j->fixture->now;
    pooled_set_user(l, &user, j);
    pooled_send(l, &r, NULL);
}

/* Records the refusal, which leaves the caller time to retry. */
static void
on_refused(void *ctx, const char *why)
{
    struct job *j = ctx;

    (void)why;
    j->refused = true;
}

/* Answers the statements that have run for STATEMENT_MS. */
static void
answer_finished_statements(struct fixture *f)
{
    for (int i = 0; i < f->link_count; i++) {
        struct member_link *l = f->links[i];
        if (!l->closed && l->answered < l->sent_count &&
            f->now >= l->busy_until) {
            l->answered++;
            /* The answer's callback may send the next statement, which starts
               now. */
            l->busy_until = f->now + STATEMENT_MS;
            l->sent_count = 0;
            l->answered = 0;
            fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 9);
        }
    }
}

/* Guards against answering everything late under overload because the oldest
   statement is served first. At least 0.8 of the member's capacity must be
   answered in time, and every statement must be answered or refused. */
static void
test_overload_keeps_answers_in_time(void **state)
{
    struct fixture f;
    static struct job jobs[STEPS * STATEMENTS_PER_STEP];
    int count = 0;
    int in_time = 0;
    int open = 0;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    for (int step = 0; step < STEPS + 400; step++) {
        f.now += STEP_MS;
        for (int i = 0; step < STEPS && i < STATEMENTS_PER_STEP; i++) {
            struct job *j = &jobs[count++];
            *j = (struct job){.fixture = &f};
            j->connection_request =
                (struct connection_request){.priority = 1,
                                            .needs_primary = true,
                                            .arrived_at = f.now,
                                            .deadline = f.now + TIMEOUT_MS,
                                            .target = f.now + TARGET_MS,
                                            .granted = on_granted,
                                            .refused = on_refused,
                                            .ctx = j};
            service_submit(f.service, &j->connection_request);
        }
        fixture_accept_all(&f);
        answer_finished_statements(&f);
        if (step % 5 == 0) {
            service_tick(f.service, f.now);
        }
    }
    for (int i = 0; i < count; i++) {
        in_time += jobs[i].in_time;
        open += !jobs[i].done && !jobs[i].refused;
    }
    print_message("in_time=%d of %d\n", in_time, count);
    assert_int_equal(open, 0);
    assert_true(in_time >= STEPS * STEP_MS / STATEMENT_MS * 3 * 8 / 10);
    fixture_teardown(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_overload_keeps_answers_in_time),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
