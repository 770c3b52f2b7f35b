#include "relay/relay_fixture.h"
#include "relay/session_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Sessions of an account with a rate limit. The test plays the members and the
   only witness. */
struct limited {
    struct fixture f;
    struct rate_client *client;
    struct limit_request last;
    int asked; /* requests with items sent to the witness */
    int answers;
    enum failure failure;
    char detail[64];
    int64_t retry_after_ms;
};

static clock_ms
limited_now(void *ctx)
{
    const struct limited *t = ctx;

    return t->f.now;
}

static struct catalog *
limited_catalog(void *ctx)
{
    const struct limited *t = ctx;

    return t->f.catalog;
}

static struct service *
limited_service(void *ctx, const char *name)
{
    const struct limited *t = ctx;

    return strcmp(name, "db") == 0 ? t->f.service : NULL;
}

static void
send_request(void *ctx, const char *witness, const struct limit_request *q)
{
    struct limited *t = ctx;

    (void)witness;
    if (q->count > 0) {
        t->asked++;
        t->last = *q;
    }
}

static void
on_answered(void *ctx, const struct answer *a)
{
    struct limited *t = ctx;

    t->answers++;
    t->failure = a->failure;
    g_snprintf(t->detail, sizeof(t->detail), "%.*s", (int)a->detail.n,
               a->detail.p);
    t->retry_after_ms = a->retry_after_ms;
}

static const struct session_events limited_events = {.answered = on_answered};

static struct session *
begin(struct limited *t)
{
    const struct rate_client_config client = {.name = "p",
                                              .incarnation = 1,
                                              .now = limited_now,
                                              .send = send_request,
                                              .ctx = t};
    const struct rate_witness witness = {.name = "w"};
    const struct account_key key = account_key_of(SVIEW("secret"));

    memset(t, 0, sizeof(*t));
    fixture_setup(&t->f, FRESHNESS_PRIMARY);
    struct account *a = g_new0(struct account, 1);
    a->name = g_strdup("shop");
    a->rate_milli_per_s = 1000;
    a->burst_milli = 1000;
    t->f.catalog->has_accounts = true;
    catalog_add_account(t->f.catalog, a);
    catalog_add_key(t->f.catalog, &key, "shop");
    t->client = rate_client_create(&client);
    rate_client_set_witnesses(t->client, &witness, 1);
    const struct relay_config config = {.catalog = limited_catalog,
                                        .service = limited_service,
                                        .now = limited_now,
                                        .rate_client = t->client,
                                        .ctx = t};
    relay_destroy(t->f.relay);
    t->f.relay = relay_create(&config);
    struct session *s = session_create(t->f.relay, "boats", SVIEW("secret"),
                                       &limited_events, t);
    s->connection_request.account = a;
    return s;
}

static void
end(struct limited *t, struct session *s)
{
    session_end(s);
    assert_int_equal(rate_client_waiting(t->client), 0);
    fixture_teardown(&t->f);
    rate_client_destroy(t->client);
}

/* Sends what the client has to send, and answers its last request. */
static void
reply(struct limited *t, uint32_t granted, uint32_t next_ms)
{
    rate_client_flush(t->client);
    struct limit_reply r = {.from = "w",
                            .incarnation = t->last.incarnation,
                            .id = t->last.id,
                            .count = t->last.count};
    for (int i = 0; i < r.count; i++) {
        r.items[i].account = t->last.items[i].account;
        r.items[i].granted = granted;
        r.items[i].next_ms = next_ms;
    }
    assert_true(rate_client_receive(t->client, &r) != 0);
    rate_client_flush(t->client);
}

/* Guards against an operation that reaches a member without a permit. */
static void
test_permit_first(void **state)
{
    struct limited t;
    struct session *s = begin(&t);

    (void)state;
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_accept_all(&t.f);
    assert_null(fixture_last_used_link(&t.f));
    reply(&t, 1, 0);
    fixture_accept_all(&t.f);
    fixture_answer(fixture_last_used_link(&t.f), FAILURE_NONE,
                   TRANSACTION_NONE, 3, 7);
    assert_int_equal(t.answers, 1);
    assert_int_equal(t.failure, FAILURE_NONE);
    assert_int_equal(rate_client_counters(t.client)->returned, 0);
    end(&t, s);
}

/* Guards against a refusal that waits, that lacks its reason or that leaves a
   transaction open. */
static void
test_refused(void **state)
{
    for (int open = 0; open < 2; open++) {
        struct limited t;
        struct session *s = begin(&t);
        (void)state;
        if (open) {
            fixture_request(s, VERB_BEGIN, "BEGIN");
            assert_int_equal(t.failure, FAILURE_NONE);
        }
        fixture_request(s, VERB_READ, "READ x");
        reply(&t, 0, 35);
        assert_int_equal(t.answers, 1 + open);
        assert_int_equal(t.failure, open ? FAILURE_ABORTED : FAILURE_BUSY);
        assert_string_equal(t.detail, "rate_limited");
        assert_int_equal(t.retry_after_ms, 35);
        assert_true(session_is_idle(s) != open);
        if (open) {
            fixture_request(s, VERB_ROLLBACK, "ROLLBACK");
        }
        /* Known now: refused without a message. */
        fixture_request(s, VERB_READ, "READ x");
        assert_string_equal(t.detail, "rate_limited");
        assert_int_equal(t.asked, 1);
        end(&t, s);
    }
}

/* Guards against an operation that waits for a permit although its key was
   withdrawn, and against the use of a permit that arrives later. */
static void
test_key_withdrawn_while_waiting(void **state)
{
    struct limited t;
    struct session *s = begin(&t);

    (void)state;
    fixture_request(s, VERB_WRITE, "WRITE x v");
    rate_client_flush(t.client);
    assert_int_equal(rate_client_waiting(t.client), 1);
    catalog_unref(t.f.catalog);
    t.f.catalog = catalog_create(2);
    t.f.catalog->has_accounts = true;
    relay_configuration_changed(t.f.relay);
    assert_int_equal(t.answers, 1);
    assert_int_equal(t.failure, FAILURE_UNAUTHORIZED);
    assert_int_equal(rate_client_waiting(t.client), 0);
    reply(&t, 1, 0);
    fixture_accept_all(&t.f);
    assert_null(fixture_last_used_link(&t.f));
    assert_int_equal(t.answers, 1);
    end(&t, s);
}

/* Guards against a refusal on a public route for the limit of an account that
   the session has lost: the operation does without a permit, and returns one
   that it has got already. */
static void
test_account_lost_while_waiting(void **state)
{
    for (int queued = 0; queued < 2; queued++) {
        struct limited t;
        struct session *s = begin(&t);
        (void)state;
        struct catalog *c = catalog_create(2);
        struct database_route *r =
            g_memdup2(catalog_route(t.f.catalog, "boats"), sizeof(*r));
        r->database = g_strdup("boats");
        r->service = g_strdup("db");
        r->is_public = true;
        catalog_add_route(c, r);
        c->has_accounts = true;
        fixture_request(s, VERB_WRITE, "WRITE x v");
        rate_client_flush(t.client);
        if (queued) {
            reply(&t, 1, 0);
        }
        catalog_unref(t.f.catalog);
        t.f.catalog = c;
        relay_configuration_changed(t.f.relay);
        assert_int_equal(t.answers, 0);
        assert_int_equal(rate_client_waiting(t.client), 0);
        assert_int_equal(rate_client_counters(t.client)->returned, queued);
        if (!queued) {
            reply(&t, 0, 0); /* the witness does not know the account */
        }
        fixture_accept_all(&t.f);
        fixture_answer(fixture_last_used_link(&t.f), FAILURE_NONE,
                       TRANSACTION_NONE, 3, 7);
        assert_int_equal(t.answers, 1);
        assert_int_equal(t.failure, FAILURE_NONE);
        end(&t, s);
    }
}

/* Guards against a transaction that counts more than once, or as none if it
   has only a COMMIT. */
static void
test_transaction(void **state)
{
    struct limited t;
    struct session *s = begin(&t);

    (void)state;
    fixture_request(s, VERB_BEGIN, "BEGIN");
    fixture_request(s, VERB_WRITE, "WRITE x v");
    reply(&t, 1, 0);
    fixture_accept_all(&t.f);
    struct member_link *l = fixture_last_used_link(&t.f);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    fixture_advance_time(&t.f, 1000);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    fixture_request(s, VERB_COMMIT, "COMMIT");
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 8);
    assert_int_equal(t.answers, 4);
    assert_int_equal(t.failure, FAILURE_NONE);
    assert_int_equal(t.asked, 1);
    fixture_request(s, VERB_BEGIN, "BEGIN");
    fixture_request(s, VERB_COMMIT, "COMMIT");
    rate_client_flush(t.client);
    assert_int_equal(t.asked, 2);
    end(&t, s);
}

/* Guards against a second permit for an attempt that did not run, and against
   a retry without one for an attempt that may have run. */
static void
test_retries(void **state)
{
    struct limited t;
    struct session *s = begin(&t);

    (void)state;
    fixture_request(s, VERB_READ, "READ x");
    reply(&t, 1, 0);
    fixture_accept_all(&t.f);
    fixture_answer(fixture_last_used_link(&t.f), FAILURE_BUSY,
                   TRANSACTION_NONE, 3, 7);
    fixture_advance_time(&t.f, 100);
    fixture_accept_all(&t.f);
    rate_client_flush(t.client);
    assert_int_equal(t.asked, 1);
    struct member_link *l = fixture_last_used_link(&t.f);
    assert_int_equal(l->sent[l->sent_count - 1].verb, VERB_READ);
    const int sent = l->sent_count;
    l->events->closed(l->ctx, "reset");
    rate_client_flush(t.client);
    assert_int_equal(t.asked, 2);
    fixture_advance_time(&t.f, 50);
    fixture_accept_all(&t.f);
    assert_int_equal(l->sent_count, sent);
    assert_int_equal(t.answers, 0);
    reply(&t, 1, 0);
    fixture_advance_time(&t.f, 100);
    fixture_accept_all(&t.f);
    fixture_answer(fixture_last_used_link(&t.f), FAILURE_NONE,
                   TRANSACTION_NONE, 3, 7);
    assert_int_equal(t.answers, 1);
    assert_int_equal(t.failure, FAILURE_NONE);
    end(&t, s);
}

/* Guards against the loss of the permit of an operation that was refused
   before it ran. */
static void
test_returned(void **state)
{
    struct limited t;
    struct session *s = begin(&t);

    (void)state;
    fixture_request(s, VERB_WRITE, "WRITE x v");
    reply(&t, 1, 0);
    relay_begin_shutdown(t.f.relay, t.f.now, t.f.now);
    relay_answer_all(t.f.relay, t.f.now);
    assert_int_equal(t.failure, FAILURE_BUSY);
    assert_int_equal(rate_client_counters(t.client)->returned, 1);
    end(&t, s);
}

/* Guards against an operation that has waited for a connection for longer than
   its permit lasts: it would count in a later window. */
static void
test_expired_in_queue(void **state)
{
    struct limited t;
    struct session *s = begin(&t);

    (void)state;
    fixture_request(s, VERB_WRITE, "WRITE x v");
    reply(&t, 1, 0);
    t.f.now += RATE_RUN_MS;
    fixture_accept_all(&t.f);
    assert_null(fixture_last_used_link(&t.f));
    reply(&t, 1, 0);
    assert_int_equal(t.asked, 2);
    struct member_link *l = fixture_last_used_link(&t.f);
    assert_non_null(l);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 7);
    assert_int_equal(t.failure, FAILURE_NONE);
    end(&t, s);
}

/* Puts a new configuration with the same account into force, and drops the one
   before. */
static void
replace_catalog(struct limited *t)
{
    struct catalog *c = catalog_create(t->f.catalog->version + 1);
    const struct account_key key = account_key_of(SVIEW("secret"));
    const struct database_route *before = catalog_route(t->f.catalog, "boats");
    struct database_route *r = g_memdup2(before, sizeof(*before));
    struct account *a = g_new0(struct account, 1);

    r->database = g_strdup(before->database);
    r->service = g_strdup(before->service);
    catalog_add_route(c, r);
    c->transaction_idle_ms = t->f.catalog->transaction_idle_ms;
    c->has_accounts = true;
    a->name = g_strdup("shop");
    a->rate_milli_per_s = 1000;
    a->burst_milli = 1000;
    catalog_add_account(c, a);
    catalog_add_key(c, &key, "shop");
    catalog_unref(t->f.catalog);
    t->f.catalog = c;
}

/* Guards against a permit that is returned to an account of a configuration
   that has been freed since it was requested. */
static void
test_configuration_replaced(void **state)
{
    struct limited t;
    struct session *s = begin(&t);

    (void)state;
    session_set_request_account(s); /* as of an earlier request */
    replace_catalog(&t);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    reply(&t, 1, 0);
    relay_begin_shutdown(t.f.relay, t.f.now, t.f.now);
    relay_answer_all(t.f.relay, t.f.now);
    assert_int_equal(t.failure, FAILURE_BUSY);
    assert_int_equal(rate_client_counters(t.client)->returned, 1);
    end(&t, s);
}

/* Guards against a callback to a session that has ended, and against a request
   that waits for a permit beyond its timeout. */
static void
test_withdrawn(void **state)
{
    for (int timeout = 0; timeout < 2; timeout++) {
        struct limited t;
        struct session *s = begin(&t);
        (void)state;
        fixture_request(s, VERB_WRITE, "WRITE x v");
        rate_client_flush(t.client);
        assert_int_equal(rate_client_waiting(t.client), 1);
        if (timeout) {
            t.f.now += 800;
            relay_tick(t.f.relay, t.f.now);
            assert_int_equal(t.failure, FAILURE_BUSY);
            assert_string_equal(t.detail, "limit_unknown");
            assert_int_equal(rate_client_waiting(t.client), 0);
        }
        end(&t, s);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_permit_first),
        cmocka_unit_test(test_refused),
        cmocka_unit_test(test_key_withdrawn_while_waiting),
        cmocka_unit_test(test_account_lost_while_waiting),
        cmocka_unit_test(test_transaction),
        cmocka_unit_test(test_retries),
        cmocka_unit_test(test_returned),
        cmocka_unit_test(test_expired_in_queue),
        cmocka_unit_test(test_configuration_replaced),
        cmocka_unit_test(test_withdrawn),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
