#include "cloud/ticket_result.h"
#include "platform.h"

#include "base/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <curl/curl.h>

#define TEXT(ms)                                                              \
    "[ticket]\nnumber=5\nauthor=ada\ncomment=\n\n[staleness f]\nk=" #ms "\n"
#define TICK_S 0.02

/* A submission driven by the event loop, as in the daemon. */
static struct ev_loop *loop;
static struct cloud_client *client;
static struct ticket_submission *submission;
static char base[64];
static int answers;
static enum ticket_outcome outcome;
static int lost_inserts;

/* Configures faults of the fake platform without the client under test. */
static void
set_fault(const char *json)
{
    CURL *easy = curl_easy_init();
    char *url = g_strconcat(base, "/fault", NULL);
    FILE *null = fopen("/dev/null", "w");

    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, json);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, null);
    assert_int_equal(curl_easy_perform(easy), CURLE_OK);
    curl_easy_cleanup(easy);
    (void)fclose(null);
    g_free(url);
}

static void
insert_done(void *ctx, const struct cloud_result *r)
{
    const char *row = NULL;
    enum ticket_store_result result = cloud_ticket_insert_result(r, &row);

    (void)ctx;
    if (result == TICKET_STORE_UNANSWERED) {
        lost_inserts++;
        set_fault("{\"lose_answers\":false}");
    }
    ticket_submission_on_insert(submission, clock_monotonic_ms(), result, row);
}

static void
read_done(void *ctx, const struct cloud_result *r)
{
    const char *row = NULL;
    enum ticket_store_result result = cloud_ticket_read_result(r, &row);

    (void)ctx;
    ticket_submission_on_read(submission, clock_monotonic_ms(), result, row);
}

static void
op_insert(void *ctx, const char *key, const char *text)
{
    cloud_table_insert(client, CLOUD_TICKET_TABLE, key, text, 1, insert_done,
                       ctx);
}

static void
op_read(void *ctx, const char *key)
{
    cloud_table_get(client, CLOUD_TICKET_TABLE, key, 1, read_done, ctx);
}

static void
op_accepted(void *ctx, const struct ticket *t)
{
    (void)ctx;
    (void)t;
}

static void
op_answer(void *ctx, const struct ticket_answer *answer)
{
    (void)ctx;
    answers++;
    outcome = answer->outcome;
    ev_break(loop, EVBREAK_ALL);
}

static void
on_tick(struct ev_loop *l, ev_timer *timer, int events)
{
    (void)l;
    (void)timer;
    (void)events;
    ticket_submission_tick(submission, clock_monotonic_ms());
}

/* Submits text and runs the loop until the answer. The submission's own time
   limit ensures that there is one. */
static enum ticket_outcome
submit(const char *text)
{
    static const struct ticket_submission_ops ops = {op_insert, op_read,
                                                     op_accepted, op_answer};
    static const struct ticket_configured_database fixed[] = {{"f", 4}};
    static const struct ticket_rules rules = {fixed, 1, NULL};
    struct ticket_state *tickets = ticket_state_create(NULL, NULL);
    struct rng rng;
    ev_timer tick;

    rng_seed(&rng, 1);
    answers = 0;
    submission = ticket_submission_create(&ops, NULL, tickets, &rules, &rng);
    ev_timer_init(&tick, on_tick, TICK_S, TICK_S);
    ev_timer_start(loop, &tick);
    ticket_submission_start(submission, clock_monotonic_ms(), text,
                            strlen(text));
    ev_run(loop, 0);
    ev_timer_stop(loop, &tick);
    ticket_submission_destroy(submission);
    ticket_state_destroy(tickets);
    assert_int_equal(answers, 1);
    return outcome;
}

/* Guards against translating HTTP results wrongly: a lost response as a
   failure, a repeated ticket as a conflict, or a conflict as a success. */
static void
test_outcomes_over_http(void **state)
{
    (void)state;
    set_fault("{\"lose_answers\":true}");
    assert_int_equal(submit(TEXT(1)), TICKET_ACCEPTED);
    assert_int_equal(lost_inserts, 1);
    assert_int_equal(submit(TEXT(1)), TICKET_ALREADY_ACCEPTED);
    assert_int_equal(submit(TEXT(2)), TICKET_CONFLICT);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_outcomes_over_http),
    };
    struct fake_platform *fake = fake_platform_start(0);

    loop = ev_loop_new(0);
    (void)g_snprintf(base, sizeof(base), "http://127.0.0.1:%d",
                     fake_platform_port(fake));
    char *table = g_strconcat(base, "/table", NULL);
    const struct cloud_settings s = {.table_url = table,
                                     .object_url = base,
                                     .vms_url = base,
                                     .timeout_ms = 5000,
                                     .rate = 1000};

    client = cloud_client_create(loop, &s, 1);
    int failed = cmocka_run_group_tests(tests, NULL, NULL);

    cloud_client_destroy(client);
    fake_platform_stop(fake);
    ev_loop_destroy(loop);
    g_free(table);
    return failed;
}
