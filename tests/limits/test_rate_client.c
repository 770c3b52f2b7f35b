#include "limits/rate_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define SENT_MAX 64
#define CALLERS 48

/* A client whose witnesses are played by the test. */
struct fixture {
    clock_ms now;
    struct rate_client *client;
    struct account account;
    char to[SENT_MAX][64];
    struct limit_request sent[SENT_MAX];
    int sent_count;
    int granted;
    int refused;
    char why[32];
    int64_t retry_after_ms;
    struct rate_request requests[CALLERS];
};

static clock_ms
now(void *ctx)
{
    const struct fixture *f = ctx;

    return f->now;
}

static void
send_request(void *ctx, const char *witness, const struct limit_request *q)
{
    struct fixture *f = ctx;

    assert_true(f->sent_count < SENT_MAX);
    g_strlcpy(f->to[f->sent_count], witness, sizeof(f->to[0]));
    f->sent[f->sent_count++] = *q;
}

static void
on_granted(void *ctx)
{
    struct fixture *f = ctx;

    f->granted++;
}

static void
on_refused(void *ctx, const char *why, int64_t retry_after_ms)
{
    struct fixture *f = ctx;

    f->refused++;
    g_strlcpy(f->why, why, sizeof(f->why));
    f->retry_after_ms = retry_after_ms;
}

/* Creates a client with n witnesses; w2 is in its own failure domain. */
static void
setup(struct fixture *f, int n)
{
    const struct rate_witness witnesses[] = {
        {.name = "w1"},
        {.name = "w2", .same_domain = true},
        {.name = "w3"},
        {.name = "w4"}};
    const struct rate_client_config config = {.name = "p",
                                              .incarnation = 7,
                                              .now = now,
                                              .send = send_request,
                                              .ctx = f};

    memset(f, 0, sizeof(*f));
    f->now = 10000;
    f->account.name = (char *)"a";
    f->client = rate_client_create(&config);
    rate_client_set_witnesses(f->client, witnesses, n);
}

static void
acquire(struct fixture *f, int n)
{
    f->requests[n] = (struct rate_request){.account = &f->account,
                                           .granted = on_granted,
                                           .refused = on_refused,
                                           .ctx = f};
    rate_client_acquire(f->client, &f->requests[n]);
}

static void
advance(struct fixture *f, int64_t ms)
{
    const clock_ms end = f->now + ms;

    while (f->now < end) {
        f->now++;
        if (f->now >= rate_client_next_tick(f->client)) {
            rate_client_tick(f->client);
        }
        rate_client_flush(f->client);
    }
}

/* Answers the n-th request that was sent. */
static void
reply(struct fixture *f, int n, uint32_t granted, uint32_t next_ms)
{
    struct limit_reply r = {.incarnation = f->sent[n].incarnation,
                            .id = f->sent[n].id,
                            .count = f->sent[n].count};

    g_strlcpy(r.from, f->to[n], sizeof(r.from));
    for (int i = 0; i < r.count; i++) {
        r.items[i].account = f->sent[n].items[i].account;
        r.items[i].granted = granted;
        r.items[i].next_ms = next_ms;
    }
    rate_client_receive(f->client, &r);
    rate_client_flush(f->client);
}

/* Guards against one message for each of several operations that arrive
   together, and against traffic between failure domains without need. */
static void
test_coalesces(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f, 4);
    for (int i = 0; i < 5; i++) {
        acquire(&f, i);
    }
    rate_client_flush(f.client);
    assert_int_equal(f.sent_count, 1);
    assert_string_equal(f.to[0], "w2");
    assert_int_equal(f.sent[0].items[0].wanted, 5);
    reply(&f, 0, 5, 0);
    assert_int_equal(f.granted, 5);
    assert_int_equal(f.requests[0].valid_until, 10000 + RATE_RUN_MS);
    rate_client_destroy(f.client);
}

/* Guards against permits that count more than once, or for another process. */
static void
test_duplicate_replies(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f, 1);
    acquire(&f, 0);
    rate_client_flush(f.client);
    f.sent[0].incarnation++;
    reply(&f, 0, 1, 0);
    assert_int_equal(f.granted, 0);
    f.sent[0].incarnation--;
    reply(&f, 0, 1, 0);
    assert_int_equal(f.granted, 1);
    acquire(&f, 1);
    reply(&f, 0, 1, 0);
    assert_int_equal(f.granted, 1);
    rate_client_withdraw(f.client, &f.requests[1]);
    rate_client_destroy(f.client);
}

/* Guards against a refusal while some witness may still have a permit, and
   against a wait when none can have one. */
static void
test_rate_limited(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f, 3);
    acquire(&f, 0);
    rate_client_flush(f.client);
    reply(&f, 0, 0, 100);
    assert_int_equal(f.sent_count, 2);
    reply(&f, 1, 0, 40);
    assert_int_equal(f.refused, 0);
    reply(&f, 2, 0, 70);
    assert_int_equal(f.refused, 1);
    assert_string_equal(f.why, "rate_limited");
    assert_int_equal(f.retry_after_ms, 40);
    acquire(&f, 1);
    assert_int_equal(f.refused, 2);
    assert_int_equal(f.sent_count, 3);
    advance(&f, 41);
    acquire(&f, 2);
    rate_client_flush(f.client);
    assert_int_equal(f.sent_count, 4);
    assert_string_equal(f.to[3], f.to[1]);
    reply(&f, 3, 1, 0);
    assert_int_equal(f.granted, 1);
    rate_client_destroy(f.client);
}

/* Guards against a witness that does not reply: the next is asked after 60 ms,
   three at most, and the silent ones only by probes from then on. */
static void
test_no_reply(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f, 4);
    acquire(&f, 0);
    rate_client_flush(f.client);
    advance(&f, RATE_ASK_TIMEOUT_MS - 1);
    assert_int_equal(f.sent_count, 1);
    advance(&f, 2L * RATE_ASK_TIMEOUT_MS);
    assert_int_equal(f.refused, 0);
    advance(&f, 3);
    assert_int_equal(f.refused, 1);
    assert_string_equal(f.why, "limit_unknown");
    /* Three asks and their probes; only the fourth witness is left. */
    acquire(&f, 1);
    rate_client_flush(f.client);
    const int last = f.sent_count - 1;
    assert_int_equal(f.sent[last].count, 1);
    for (int i = 0; i < last; i++) {
        assert_string_not_equal(f.to[i], f.to[last]);
    }
    reply(&f, last, 1, 0);
    assert_int_equal(f.granted, 1);
    rate_client_destroy(f.client);
}

/* Guards against the loss of permits whose reply is late, and against their
   use after RATE_PERMIT_MS. */
static void
test_late_reply(void **state)
{
    for (int late = 0; late < 2; late++) {
        struct fixture f;
        (void)state;
        setup(&f, 1);
        acquire(&f, 0);
        rate_client_flush(f.client);
        advance(&f, late ? RATE_PERMIT_MS : RATE_PERMIT_MS - 1);
        assert_int_equal(f.refused, 1); /* the only witness was silent */
        reply(&f, 0, 1, 0);
        acquire(&f, 1);
        assert_int_equal(f.granted, late ? 0 : 1);
        if (late) {
            rate_client_withdraw(f.client, &f.requests[1]);
        }
        rate_client_destroy(f.client);
    }
}

/* Guards against a permit that is used after the process was suspended. */
static void
test_expires_while_suspended(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f, 1);
    acquire(&f, 0);
    rate_client_flush(f.client);
    f.now += 5000; /* the boot clock goes on */
    reply(&f, 0, 1, 0);
    assert_int_equal(f.granted, 0);
    assert_int_equal(rate_client_counters(f.client)->expired, 1);
    rate_client_withdraw(f.client, &f.requests[0]);
    rate_client_destroy(f.client);
}

/* Guards against the loss of a permit of an operation that did not run, and
   against a longer life of such a permit. */
static void
test_return(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f, 1);
    acquire(&f, 0);
    rate_client_flush(f.client);
    reply(&f, 0, 1, 0);
    assert_int_equal(rate_client_stock(f.client, "a"), 0);
    rate_client_return(f.client, "a", f.requests[0].valid_until);
    assert_int_equal(rate_client_stock(f.client, "a"), 1);
    assert_int_equal(rate_client_stock(f.client, "b"), 0);
    f.now += RATE_PERMIT_MS - 1;
    acquire(&f, 1);
    assert_int_equal(f.granted, 2);
    assert_int_equal(f.requests[1].valid_until, f.requests[0].valid_until);
    rate_client_return(f.client, "a", f.requests[1].valid_until);
    f.now++;
    assert_int_equal(rate_client_stock(f.client, "a"), 0);
    acquire(&f, 2);
    assert_int_equal(f.granted, 2);
    rate_client_withdraw(f.client, &f.requests[2]);
    rate_client_destroy(f.client);
}

/* Guards against permits that expire unused for accounts with little use, and
   against a message for each operation of those with much. */
static void
test_prefetch(void **state)
{
    for (int busy = 0; busy < 2; busy++) {
        struct fixture f;
        (void)state;
        setup(&f, 1);
        int answered = 0;
        const int step = busy ? 20 : 100; /* 50 or 10 operations a second */
        for (int i = 0; i < CALLERS; i++) {
            acquire(&f, i);
            rate_client_flush(f.client);
            for (; answered < f.sent_count; answered++) {
                reply(&f, answered, f.sent[answered].items[0].wanted, 0);
            }
            advance(&f, step);
        }
        assert_int_equal(f.granted, CALLERS);
        if (busy) {
            assert_true(f.sent_count < CALLERS / 2 + 10);
            assert_true(f.sent[f.sent_count - 1].items[0].wanted >= 3);
        }
        else {
            assert_int_equal(f.sent_count, CALLERS);
            assert_int_equal(rate_client_counters(f.client)->expired, 0);
        }
        rate_client_destroy(f.client);
    }
}

/* Guards against a queue without bounds while no witness replies. */
static void
test_waiting_is_bounded(void **state)
{
    struct fixture f;
    struct rate_request *many =
        g_new0(struct rate_request, RATE_WAITING_MAX + 1);

    (void)state;
    setup(&f, 1);
    for (int i = 0; i <= RATE_WAITING_MAX; i++) {
        many[i] = (struct rate_request){.account = &f.account,
                                        .granted = on_granted,
                                        .refused = on_refused,
                                        .ctx = &f};
        rate_client_acquire(f.client, &many[i]);
    }
    assert_int_equal(f.refused, 1);
    assert_string_equal(f.why, "limit_unknown");
    for (int i = 0; i < RATE_WAITING_MAX; i++) {
        rate_client_withdraw(f.client, &many[i]);
    }
    assert_int_equal(rate_client_waiting(f.client), 0);
    rate_client_destroy(f.client);
    g_free(many);
}

/* Guards against callbacks after a withdrawal, and against the loss of the
   permit that then arrives. */
static void
test_withdraw(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f, 1);
    acquire(&f, 0);
    rate_client_flush(f.client);
    rate_client_withdraw(f.client, &f.requests[0]);
    reply(&f, 0, 1, 0);
    assert_int_equal(f.granted + f.refused, 0);
    acquire(&f, 1);
    assert_int_equal(f.granted, 1);
    rate_client_destroy(f.client);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_coalesces),
        cmocka_unit_test(test_duplicate_replies),
        cmocka_unit_test(test_rate_limited),
        cmocka_unit_test(test_no_reply),
        cmocka_unit_test(test_late_reply),
        cmocka_unit_test(test_expires_while_suspended),
        cmocka_unit_test(test_return),
        cmocka_unit_test(test_prefetch),
        cmocka_unit_test(test_waiting_is_bounded),
        cmocka_unit_test(test_withdraw),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
