#include "ticket/submission.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define TEXT(n, ms)                                                           \
    "[ticket]\nnumber=" #n "\nauthor=ada\ncomment=\n\n[staleness f]\nk=" #ms  \
    "\n"

/* Counts of the callbacks and the last answer. */
struct trace {
    int inserts, reads, accepted, answers;
    enum ticket_outcome outcome;
    char other_author[32];
    uint64_t other_hash;
};

static void
on_insert(void *ctx, const char *key, const char *text)
{
    assert_int_equal(strlen(key), 20);
    assert_non_null(text);
    ((struct trace *)ctx)->inserts++;
}

static void
on_read(void *ctx, const char *key)
{
    (void)key;
    ((struct trace *)ctx)->reads++;
}

static void
on_accepted(void *ctx, const struct ticket *t)
{
    (void)t;
    ((struct trace *)ctx)->accepted++;
}

static void
on_answer(void *ctx, const struct ticket_answer *a)
{
    struct trace *t = ctx;

    t->answers++;
    t->outcome = a->outcome;
    g_strlcpy(t->other_author, a->other_author ? a->other_author : "", 32);
    t->other_hash = a->other_hash;
}

static const struct ticket_submission_ops ops = {on_insert, on_read,
                                                 on_accepted, on_answer};
static const struct ticket_configured_database configured[] = {{"f", 4}};
static const struct ticket_rules rules = {configured, 1, NULL};
static struct ticket_state *tickets;
static struct rng rng;

/* Starts a submission of text at time 0. */
static struct ticket_submission *
start(struct trace *t, const char *text)
{
    memset(t, 0, sizeof(*t));
    struct ticket_submission *s =
        ticket_submission_create(&ops, t, tickets, &rules, &rng);

    ticket_submission_start(s, 0, text, strlen(text));
    return s;
}

/* Calls ticket_submission_tick() at the next deadline and returns that time.
 */
static clock_ms
advance(struct ticket_submission *s)
{
    clock_ms now = ticket_submission_deadline(s);

    ticket_submission_tick(s, now);
    return now;
}

/* Guards against reporting success or failure after an insert without an
   answer: the row must be read, and inserted again if it is absent. */
static void
test_lost_answer_is_read_back(void **state)
{
    (void)state;
    struct trace t;
    struct ticket_submission *s = start(&t, TEXT(5, 1));

    ticket_submission_on_insert(s, 1, TICKET_STORE_UNANSWERED, NULL);
    clock_ms now = advance(s);

    assert_int_equal(t.reads, 1);
    ticket_submission_on_read(s, now, TICKET_STORE_ABSENT, NULL);
    now = advance(s);
    assert_int_equal(t.inserts, 2);
    ticket_submission_on_insert(s, now, TICKET_STORE_EXISTS, TEXT(5, 1));
    assert_int_equal(t.outcome, TICKET_ACCEPTED);
    assert_int_equal(t.accepted, 1);
    ticket_submission_destroy(s);
}

/* Guards against "not accepted" although an insert got no answer, and against
   "unknown" although every insert was refused. */
static void
test_outage_reports_the_truth(void **state)
{
    (void)state;
    for (int lost = 0; lost <= 1; lost++) {
        struct trace t;
        struct ticket_submission *s = start(&t, TEXT(5, 1));

        ticket_submission_on_insert(
            s, 1, lost ? TICKET_STORE_UNANSWERED : TICKET_STORE_NOT_DONE,
            NULL);
        for (int i = 0; i < 1000 && t.answers == 0; i++) {
            clock_ms now = advance(s);

            ticket_submission_on_insert(s, now, TICKET_STORE_NOT_DONE, NULL);
            ticket_submission_on_read(s, now, TICKET_STORE_NOT_DONE, NULL);
        }
        assert_int_equal(t.answers, 1);
        assert_int_equal(t.outcome,
                         lost ? TICKET_UNKNOWN : TICKET_NOT_ACCEPTED);
        assert_int_equal(t.accepted, 0);
        /* An answer after the end is ignored. */
        ticket_submission_on_insert(s, 20000, TICKET_STORE_DONE, NULL);
        assert_int_equal(t.answers, 1);
        ticket_submission_destroy(s);
    }
}

/* Guards against reporting "not accepted" while an insert is still pending at
   the deadline. */
static void
test_silent_store_is_unknown(void **state)
{
    (void)state;
    struct trace t;
    struct ticket_submission *s = start(&t, TEXT(5, 1));

    assert_int_equal(advance(s), TICKET_SUBMISSION_TIMEOUT_MS);
    assert_int_equal(t.outcome, TICKET_UNKNOWN);
    ticket_submission_destroy(s);
}

/* Guards against accepting two different tickets with one number, and against
   reporting a conflict for identical ones. The stored row is merged in both
   cases. */
static void
test_conflict_and_repetition(void **state)
{
    (void)state;
    struct trace t;
    struct ticket_submission *s = start(&t, TEXT(5, 1));

    ticket_submission_on_insert(s, 1, TICKET_STORE_EXISTS, TEXT(5, 2));
    assert_int_equal(t.outcome, TICKET_CONFLICT);
    assert_string_equal(t.other_author, "ada");
    assert_true(t.other_hash != 0);
    assert_int_equal(t.accepted, 1);
    ticket_submission_destroy(s);
    s = start(&t, TEXT(5, 1));
    ticket_submission_on_insert(s, 1, TICKET_STORE_EXISTS, TEXT(5, 1));
    assert_int_equal(t.outcome, TICKET_ALREADY_ACCEPTED);
    ticket_submission_destroy(s);
}

/* Guards against inserting a row below the window that polls read, where other
   proxies would not see it, and against refusing an old ticket that is
   submitted again. */
static void
test_low_number_is_only_read(void **state)
{
    (void)state;
    struct ticket_error err;
    struct ticket *high =
        ticket_parse(TEXT(100, 1), strlen(TEXT(100, 1)), &err);
    struct trace t;

    ticket_state_apply(tickets, high);
    ticket_free(high);
    struct ticket_submission *s = start(&t, TEXT(92, 1));

    assert_int_equal(t.inserts, 0);
    assert_int_equal(t.reads, 1);
    ticket_submission_on_read(s, 1, TICKET_STORE_ABSENT, NULL);
    assert_int_equal(t.outcome, TICKET_INVALID);
    ticket_submission_destroy(s);
    s = start(&t, TEXT(92, 1));
    ticket_submission_on_read(s, 1, TICKET_STORE_DONE, TEXT(92, 1));
    assert_int_equal(t.outcome, TICKET_ALREADY_ACCEPTED);
    ticket_submission_destroy(s);
    s = start(&t, TEXT(93, 1));
    assert_int_equal(t.inserts, 1);
    ticket_submission_destroy(s);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_lost_answer_is_read_back),
        cmocka_unit_test(test_outage_reports_the_truth),
        cmocka_unit_test(test_silent_store_is_unknown),
        cmocka_unit_test(test_conflict_and_repetition),
        cmocka_unit_test(test_low_number_is_only_read),
    };

    rng_seed(&rng, 1);
    tickets = ticket_state_create(NULL, NULL);
    int failed = cmocka_run_group_tests(tests, NULL, NULL);

    ticket_state_destroy(tickets);
    return failed;
}
