#include "relay/relay_fixture.h"
#include "relay/session_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Which requests of a session are executed while the accounts of the
   configuration change, and what the caller is answered. */

static bool
has_key(const char *keys, const char *key)
{
    return strstr(keys, key) != NULL;
}

/* Puts a new version of the configuration in force. cedar and oak are the keys
   of these accounts, among "k1" and "k2"; with cedar NULL there are no
   accounts. */
static void
set_keys(struct fixture *f, const char *cedar, const char *oak, bool is_public)
{
    struct catalog *c = catalog_create(f->catalog->version + 1);
    const struct database_route *before = catalog_route(f->catalog, "boats");
    struct database_route *r = g_memdup2(before, sizeof(*before));
    const char *const names[] = {"cedar", "oak"};
    const char *const lists[] = {cedar, oak};
    const char *const keys[] = {"k1", "k2"};

    r->database = g_strdup(before->database);
    r->service = g_strdup(before->service);
    r->is_public = is_public;
    catalog_add_route(c, r);
    c->transaction_idle_ms = f->catalog->transaction_idle_ms;
    c->has_accounts = cedar != NULL;
    for (size_t i = 0; c->has_accounts && i < G_N_ELEMENTS(names); i++) {
        struct account *a = g_new0(struct account, 1);
        a->name = g_strdup(names[i]);
        assert_true(catalog_add_account(c, a));
        for (size_t k = 0; k < G_N_ELEMENTS(keys); k++) {
            const struct account_key key = account_key_of(sview_from(keys[k]));
            if (has_key(lists[i], keys[k])) {
                assert_true(catalog_add_key(c, &key, names[i]));
            }
        }
    }
    /* The node frees a version as soon as the next one is in force, unless a
       session refers to it. */
    catalog_unref(f->catalog);
    f->catalog = c;
}

/* Returns how many requests the members were sent, other than ROLLBACK. */
static int
count_sent(const struct fixture *f)
{
    int n = 0;

    for (int i = 0; i < f->link_count; i++) {
        for (int k = 0; k < f->links[i]->sent_count; k++) {
            n += f->links[i]->sent[k].verb != VERB_ROLLBACK;
        }
    }
    return n;
}

static const char *
request_account(const struct session *s)
{
    const struct account *a = s->connection_request.account;

    return a != NULL ? a->name : "-";
}

/* Makes a read and answers it at the member that gets it. */
static void
read_successfully(struct fixture *f, struct session *s)
{
    const int answers = f->answers;

    fixture_request(s, VERB_READ, "READ x");
    fixture_accept_all(f);
    assert_int_equal(f->answers, answers);
    struct member_link *l = fixture_last_used_link(f);
    assert_non_null(l);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 7);
    assert_int_equal(f->answers, answers + 1);
    assert_int_equal(f->failure, FAILURE_NONE);
}

/* Opens a transaction with one write in progress or answered. */
static struct member_link *
open_transaction(struct fixture *f, struct session *s)
{
    fixture_request(s, VERB_BEGIN, "BEGIN");
    assert_int_equal(f->failure, FAILURE_NONE);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_accept_all(f);
    struct member_link *l = fixture_last_used_link(f);
    assert_int_equal(l->sent[0].verb, VERB_BEGIN);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    assert_int_equal(f->failure, FAILURE_NONE);
    assert_int_equal(f->state, TRANSACTION_OPEN);
    return l;
}

/* Checks that the last answer is a refusal and that the members have been sent
   nothing but a ROLLBACK since then. */
static void
assert_refused(const struct fixture *f, int answers, enum failure why,
               int sent_before)
{
    assert_int_equal(f->answers, answers);
    assert_int_equal(f->failure, why);
    assert_int_equal(count_sent(f), sent_before);
}

/* Checks that the last request on a connection is a ROLLBACK, and answers
   it. */
static void
assert_rolled_back(struct member_link *l)
{
    assert_int_equal(l->sent[l->sent_count - 1].verb, VERB_ROLLBACK);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 7);
}

static void
setup(struct fixture *f)
{
    fixture_setup(f, FRESHNESS_PRIMARY);
    set_keys(f, "k1", "k2", false);
}

/* Guards against the wrong account of a request for a connection, and against
   checks without a list of accounts. */
static void
test_account_of_requests(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *s = fixture_session_with_key(&f, "k2");
    /* A newer configuration may list accounts. */
    f.catalog_stale = true;
    fixture_request(s, VERB_READ, "READ x");
    assert_refused(&f, 1, FAILURE_BUSY, 0);
    f.catalog_stale = false;
    read_successfully(&f, s);
    assert_string_equal(request_account(s), "-");
    set_keys(&f, "k1", "k2", false);
    read_successfully(&f, s);
    assert_string_equal(request_account(s), "oak");
    set_keys(&f, NULL, NULL, false);
    read_successfully(&f, s);
    assert_string_equal(request_account(s), "-");
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against requests of an idle session whose key was withdrawn, and
   against a refusal of a key that is valid again. */
static void
test_idle_session(void **state)
{
    static const enum verb verbs[] = {VERB_READ, VERB_WRITE, VERB_BEGIN,
                                      VERB_BEGIN_READ};
    struct fixture f;

    (void)state;
    setup(&f);
    struct session *s = fixture_session_with_key(&f, "k1");
    read_successfully(&f, s);
    set_keys(&f, "", "k2", false);
    for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++) {
        const int answers = f.answers;
        const int sent = count_sent(&f);
        fixture_request(s, verbs[i], "READ x");
        assert_refused(&f, answers + 1, FAILURE_UNAUTHORIZED, sent);
        assert_int_equal(f.state, TRANSACTION_NONE);
    }
    set_keys(&f, "k1", "k2", false);
    read_successfully(&f, s);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against serving a key that is in no list. */
static void
test_unknown_key(void **state)
{
    static const char *const keys[] = {"", "k", "k3", "k1 "};
    struct fixture f;

    (void)state;
    setup(&f);
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        struct session *s = fixture_session_with_key(&f, keys[i]);
        fixture_request(s, VERB_READ, "READ x");
        assert_refused(&f, (int)i + 1, FAILURE_UNAUTHORIZED, 0);
        session_end(s);
    }
    fixture_teardown(&f);
}

/* Guards against a statement or COMMIT that is sent in a transaction whose key
   was withdrawn, and against a transaction that stays open. */
static void
test_open_transaction(void **state)
{
    static const enum verb verbs[] = {VERB_WRITE, VERB_READ, VERB_COMMIT};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++) {
        struct fixture f;
        setup(&f);
        struct session *s = fixture_session_with_key(&f, "k1");
        struct member_link *l = open_transaction(&f, s);
        const int sent = count_sent(&f);
        set_keys(&f, "", "k2", false);
        fixture_request(s, verbs[i], "COMMIT");
        assert_refused(&f, 3, FAILURE_UNAUTHORIZED, sent);
        assert_int_equal(f.state, verbs[i] == VERB_COMMIT
                                      ? TRANSACTION_NONE
                                      : TRANSACTION_FAILED);
        assert_rolled_back(l);
        session_end(s);
        fixture_teardown(&f);
    }
}

/* Guards against a transaction that starts at a member after its key was
   withdrawn between BEGIN and the first statement. */
static void
test_transaction_before_its_first_statement(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    struct session *s = fixture_session_with_key(&f, "k1");
    fixture_request(s, VERB_BEGIN, "BEGIN");
    set_keys(&f, "", "k2", false);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    assert_refused(&f, 2, FAILURE_UNAUTHORIZED, 0);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against refusing ROLLBACK, which nobody has to be authorized for. */
static void
test_rollback(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    struct session *s = fixture_session_with_key(&f, "k1");
    struct member_link *l = open_transaction(&f, s);
    set_keys(&f, "", "k2", false);
    fixture_request(s, VERB_ROLLBACK, "ROLLBACK");
    assert_int_equal(f.failure, FAILURE_NONE);
    assert_int_equal(f.state, TRANSACTION_NONE);
    assert_rolled_back(l);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against a request that was queued with a valid key and is sent after
   the key was withdrawn. The catalog with its account was freed meanwhile by
   everyone else, which the sanitizers check. */
static void
test_queued_request(void **state)
{
    for (int transaction = 0; transaction < 2; transaction++) {
        struct fixture f;
        (void)state;
        setup(&f);
        struct session *s = fixture_session_with_key(&f, "k1");
        if (transaction) {
            fixture_request(s, VERB_BEGIN, "BEGIN");
            set_keys(&f, "k1", "k2", false);
        }
        fixture_request(s, VERB_WRITE, "WRITE x v");
        set_keys(&f, "", "k2", false);
        assert_int_equal(f.answers, transaction);
        assert_string_equal(request_account(s), "cedar");
        fixture_accept_all(&f);
        assert_refused(&f, transaction + 1, FAILURE_UNAUTHORIZED, 0);
        session_end(s);
        fixture_teardown(&f);
    }
}

/* Guards against a queue of requests of which each recurses into the next, or
   that are not all answered, when their keys have been withdrawn. */
static void
test_queue_of_many_requests(void **state)
{
    enum { SESSIONS = 300 };
    struct session *s[SESSIONS];
    struct fixture f;

    (void)state;
    setup(&f);
    for (int i = 0; i < SESSIONS; i++) {
        s[i] = fixture_session_with_key(&f, "k1");
        fixture_request(s[i], VERB_WRITE, "WRITE x v");
    }
    set_keys(&f, "", "k2", false);
    const int refused_before = f.answers;
    fixture_accept_all(&f);
    assert_true(refused_before < SESSIONS);
    assert_refused(&f, SESSIONS, FAILURE_UNAUTHORIZED, 0);
    for (int i = 0; i < SESSIONS; i++) {
        session_end(s[i]);
    }
    fixture_teardown(&f);
}

/* Guards against a statement or COMMIT that is sent although the key was
   withdrawn while the member processed the requests before it: settings,
   prepared statements and BEGIN. */
static void
test_withdrawn_during_preparation(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    struct session *s = fixture_session_with_key(&f, "k1");
    fixture_request(s, VERB_SET, "SET x v");
    fixture_request(s, VERB_BEGIN, "BEGIN");
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_accept_all(&f);
    struct member_link *l = fixture_last_used_link(&f);
    assert_int_equal(l->sent[0].verb, VERB_SET);
    set_keys(&f, "", "k2", false);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 7);
    assert_refused(&f, 3, FAILURE_UNAUTHORIZED, 1);
    session_end(s);

    set_keys(&f, "k1", "k2", false);
    s = fixture_session_with_key(&f, "k1");
    fixture_request(s, VERB_BEGIN, "BEGIN");
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_accept_all(&f);
    while (l->sent[l->sent_count - 1].verb != VERB_BEGIN) {
        fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 7);
    }
    const int sent = count_sent(&f);
    set_keys(&f, "", "k2", false);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    assert_refused(&f, 5, FAILURE_UNAUTHORIZED, sent);
    assert_rolled_back(l);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against a request that waits for a connection, for the answer to
   settings or for the answer to BEGIN until its deadline, although its key was
   withdrawn: a member that does not answer would delay the refusal. ROLLBACK
   is then executed, and a transaction that the member begins is rolled back.
 */
static void
test_withdrawn_while_waiting(void **state)
{
    static const enum step steps[] = {STEP_QUEUED, STEP_SETUP, STEP_BEGIN};

    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        struct fixture f;
        (void)state;
        setup(&f);
        struct session *s = fixture_session_with_key(&f, "k1");
        if (steps[i] == STEP_SETUP) {
            fixture_request(s, VERB_SET, "SET x v");
        }
        fixture_request(s, VERB_BEGIN, "BEGIN");
        fixture_request(s, VERB_WRITE, "WRITE x v");
        if (steps[i] != STEP_QUEUED) {
            fixture_accept_all(&f);
        }
        assert_int_equal(s->step, steps[i]);
        const int answers = f.answers;
        const int sent = count_sent(&f);
        relay_configuration_changed(f.relay);
        assert_int_equal(f.answers, answers);
        set_keys(&f, "", "k2", false);
        relay_configuration_changed(f.relay);
        assert_refused(&f, answers + 1, FAILURE_UNAUTHORIZED, sent);
        assert_int_equal(f.state, TRANSACTION_FAILED);
        assert_int_equal(service_queue_length(f.service), 0);
        fixture_request(s, VERB_ROLLBACK, "ROLLBACK");
        assert_refused(&f, answers + 2, FAILURE_NONE, sent);
        assert_int_equal(f.state, TRANSACTION_NONE);
        assert_true(session_is_idle(s));
        if (steps[i] == STEP_BEGIN) {
            struct member_link *l = fixture_last_used_link(&f);
            fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
            assert_rolled_back(l);
        }
        session_end(s);
        fixture_teardown(&f);
    }
}

/* Guards against a connection that is kept for requests of a withdrawn key,
   while a request of another account needs one and no more may be open. */
static void
test_connections_of_withdrawn_requests(void **state)
{
    const struct connection_limits limits = {
        .working = 3, .total = 3, .accounts = true};
    const struct token position = {.term = 3, .position = 1, .known = true};
    struct session *cedar[3];
    struct fixture f;

    (void)state;
    setup(&f);
    service_set_connection_limits(f.service, &limits);
    for (int i = 0; i < 3; i++) {
        cedar[i] = fixture_session_with_key(&f, "k1");
        fixture_request(cedar[i], VERB_WRITE, "WRITE x v");
    }
    assert_int_equal(f.link_count, 3);
    set_keys(&f, "", "k2", false);
    relay_configuration_changed(f.relay);
    assert_int_equal(f.answers, 3);
    struct session *oak = fixture_session_with_key(&f, "k2");
    fixture_request(oak, VERB_WRITE, "WRITE x v");
    assert_int_equal(f.link_count, 3);
    for (int i = 0; i < 3; i++) {
        struct member_link *l = fixture_link(&f, i);
        l->events->opened(l->ctx, &position);
    }
    assert_int_equal(f.link_count, 4);
    struct member_link *l = fixture_link(&f, 3);
    l->events->opened(l->ctx, &position);
    assert_ptr_equal(fixture_last_used_link(&f), l);
    for (int i = 0; i < 3; i++) {
        session_end(cedar[i]);
    }
    session_end(oak);
    fixture_teardown(&f);
}

/* Guards against the refusal of a request that a member may be executing: its
   answer is passed to the caller. */
static void
test_withdrawn_at_the_member(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    struct session *s = fixture_session_with_key(&f, "k1");
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_accept_all(&f);
    set_keys(&f, "", "k2", false);
    relay_configuration_changed(f.relay);
    assert_int_equal(f.answers, 0);
    fixture_answer(fixture_last_used_link(&f), FAILURE_NONE, TRANSACTION_NONE,
                   3, 7);
    assert_int_equal(f.answers, 1);
    assert_int_equal(f.failure, FAILURE_NONE);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against "API key is not valid" while the configuration may lack the
   newest keys, and against the refusal of a request on a public route. */
static void
test_waiting_without_a_refusal_of_the_key(void **state)
{
    for (int is_public = 0; is_public < 2; is_public++) {
        struct fixture f;
        (void)state;
        setup(&f);
        struct session *s = fixture_session_with_key(&f, "k1");
        fixture_request(s, VERB_WRITE, "WRITE x v");
        f.catalog_stale = true;
        set_keys(&f, "", "k2", is_public);
        relay_configuration_changed(f.relay);
        assert_int_equal(f.answers, !is_public);
        assert_int_equal(f.failure, is_public ? FAILURE_NONE : FAILURE_BUSY);
        session_end(s);
        fixture_teardown(&f);
    }
}

/* Guards against a retry with a key that was withdrawn during the first
   attempt. A read may have been executed by that attempt, so the answer must
   not say that nothing ran; the next request is refused. */
static void
test_retried_read(void **state)
{
    for (int silent = 0; silent < 2; silent++) {
        struct fixture f;
        (void)state;
        setup(&f);
        struct session *s = fixture_session_with_key(&f, "k1");
        fixture_request(s, VERB_READ, "READ x");
        fixture_accept_all(&f);
        struct member_link *l = fixture_last_used_link(&f);
        set_keys(&f, "", "k2", false);
        if (!silent) {
            l->events->closed(l->ctx, "reset");
        }
        for (int i = 0; i < 20 && f.answers == 0; i++) {
            fixture_advance_time(&f, 25);
            fixture_accept_all(&f);
        }
        assert_refused(&f, 1, FAILURE_TIMEOUT, 1);
        fixture_request(s, VERB_READ, "READ x");
        assert_refused(&f, 2, FAILURE_UNAUTHORIZED, 1);
        session_end(s);
        fixture_teardown(&f);
    }
}

/* Guards against a retry likewise after a member has refused the statement,
   which certainly did not run. */
static void
test_retried_write(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    struct session *s = fixture_session_with_key(&f, "k1");
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_accept_all(&f);
    struct member_link *l = fixture_last_used_link(&f);
    set_keys(&f, "", "k2", false);
    fixture_answer(l, FAILURE_BUSY, TRANSACTION_NONE, 3, 7);
    for (int i = 0; i < 20 && f.answers == 0; i++) {
        fixture_advance_time(&f, 25);
        fixture_accept_all(&f);
    }
    assert_refused(&f, 1, FAILURE_UNAUTHORIZED, 1);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against a retried request that waits for a connection although its
   key was withdrawn during the first attempt: no connection is opened for it.
 */
static void
test_retry_does_not_wait(void **state)
{
    for (int writes = 0; writes < 2; writes++) {
        struct fixture f;
        (void)state;
        setup(&f);
        struct session *s = fixture_session_with_key(&f, "k1");
        fixture_request(s, writes ? VERB_WRITE : VERB_READ, "x");
        fixture_accept_all(&f);
        struct member_link *l = fixture_last_used_link(&f);
        const int links = f.link_count;
        set_keys(&f, "", "k2", false);
        if (writes) {
            fixture_answer(l, FAILURE_BUSY, TRANSACTION_NONE, 3, 7);
        }
        else {
            l->events->closed(l->ctx, "reset");
        }
        assert_refused(&f, 1, writes ? FAILURE_UNAUTHORIZED : FAILURE_TIMEOUT,
                       1);
        assert_int_equal(f.link_count, links);
        session_end(s);
        fixture_teardown(&f);
    }
}

/* Guards against a session that continues under another account's name, with
   an idle connection, a queued request, and an open transaction. */
static void
test_moved_key(void **state)
{
    for (int is_public = 0; is_public < 2; is_public++) {
        struct fixture f;
        (void)state;
        setup(&f);
        set_keys(&f, "k1", "k2", is_public);
        struct session *idle = fixture_session_with_key(&f, "k1");
        struct session *queued = fixture_session_with_key(&f, "k1");
        struct session *open = fixture_session_with_key(&f, "k1");
        struct member_link *l = open_transaction(&f, open);
        fixture_request(queued, VERB_WRITE, "WRITE x v");
        const int sent = count_sent(&f);
        set_keys(&f, "", "k1 k2", is_public);
        fixture_request(open, VERB_COMMIT, "COMMIT");
        assert_refused(&f, 3, FAILURE_UNAUTHORIZED, sent);
        assert_rolled_back(l);
        fixture_accept_all(&f);
        assert_refused(&f, 4, FAILURE_UNAUTHORIZED, sent);
        fixture_request(idle, VERB_READ, "READ x");
        assert_refused(&f, 5, FAILURE_UNAUTHORIZED, sent);
        session_end(idle);
        session_end(queued);
        session_end(open);
        /* A new session belongs to the new account. */
        struct session *s = fixture_session_with_key(&f, "k1");
        read_successfully(&f, s);
        assert_string_equal(request_account(s), "oak");
        session_end(s);
        fixture_teardown(&f);
    }
}

/* Guards against refusals on a public route: with an unknown key, with a key
   that is withdrawn or added, and without a fresh configuration. */
static void
test_public_route(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    set_keys(&f, "k1", "k2", true);
    f.catalog_stale = true;
    struct session *unknown = fixture_session_with_key(&f, "");
    struct session *known = fixture_session_with_key(&f, "k1");
    read_successfully(&f, unknown);
    assert_string_equal(request_account(unknown), "-");
    /* The key may have been withdrawn. */
    read_successfully(&f, known);
    assert_string_equal(request_account(known), "-");
    f.catalog_stale = false;
    read_successfully(&f, known);
    assert_string_equal(request_account(known), "cedar");
    set_keys(&f, "", "k2", true);
    read_successfully(&f, known);
    assert_string_equal(request_account(known), "-");
    set_keys(&f, "k1", "k2", true);
    read_successfully(&f, known);
    assert_string_equal(request_account(known), "cedar");
    /* The route is not public any more. */
    set_keys(&f, "k1", "k2", false);
    read_successfully(&f, known);
    fixture_request(unknown, VERB_READ, "READ x");
    assert_int_equal(f.failure, FAILURE_UNAUTHORIZED);
    session_end(unknown);
    session_end(known);
    fixture_teardown(&f);
}

/* Guards against a statement on a public route that is sent on a connection of
   an account that its session has lost: it is queued again without account,
   and an open transaction is rolled back. */
static void
test_key_withdrawn_on_public_route(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    set_keys(&f, "k1", "k2", true);
    struct session *s = fixture_session_with_key(&f, "k1");
    fixture_request(s, VERB_WRITE, "WRITE x v");
    assert_string_equal(request_account(s), "cedar");
    set_keys(&f, "", "k2", true);
    fixture_accept_all(&f);
    assert_string_equal(request_account(s), "-");
    assert_int_equal(s->attempts, 2);
    struct member_link *l = fixture_last_used_link(&f);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 7);
    assert_int_equal(f.failure, FAILURE_NONE);

    set_keys(&f, "k1", "k2", true);
    fixture_request(s, VERB_BEGIN, "BEGIN");
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_accept_all(&f);
    l = fixture_last_used_link(&f);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    const int sent = count_sent(&f);
    set_keys(&f, "", "k2", true);
    fixture_request(s, VERB_COMMIT, "COMMIT");
    assert_refused(&f, 4, FAILURE_ABORTED, sent);
    assert_rolled_back(l);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against the loss of open transactions when a configuration gets its
   first accounts. */
static void
test_first_accounts(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *s = fixture_session_with_key(&f, "k1");
    struct session *unknown = fixture_session_with_key(&f, "k3");
    struct member_link *l = open_transaction(&f, s);
    set_keys(&f, "k1", "k2", false);
    fixture_request(s, VERB_COMMIT, "COMMIT");
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 8);
    assert_int_equal(f.failure, FAILURE_NONE);
    fixture_request(unknown, VERB_READ, "READ x");
    assert_int_equal(f.failure, FAILURE_UNAUTHORIZED);
    session_end(s);
    session_end(unknown);
    fixture_teardown(&f);
}

/* Guards against a transaction that ends because another version of the
   configuration has removed its database: it continues as before. */
static void
test_removed_database(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    struct session *s = fixture_session_with_key(&f, "k1");
    struct member_link *l = open_transaction(&f, s);
    g_hash_table_remove_all(f.catalog->services);
    struct catalog *c = catalog_create(99);
    struct account *a = g_new0(struct account, 1);
    const struct account_key key = account_key_of(SVIEW("k1"));
    a->name = g_strdup("cedar");
    c->has_accounts = true;
    catalog_add_account(c, a);
    catalog_add_key(c, &key, "cedar");
    catalog_unref(f.catalog);
    f.catalog = c;
    fixture_request(s, VERB_COMMIT, "COMMIT");
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 8);
    assert_int_equal(f.failure, FAILURE_NONE);
    fixture_request(s, VERB_READ, "READ x");
    assert_int_equal(f.failure, FAILURE_NO_DATABASE);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against requests that run without a fresh configuration, against a
   COMMIT that was sent before its refusal, and against refusals once the
   configuration is fresh again. */
static void
test_stale_configuration(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    struct session *s = fixture_session_with_key(&f, "k1");
    struct session *queued = fixture_session_with_key(&f, "k1");
    struct session *gone = fixture_session_with_key(&f, "k3");
    struct member_link *l = open_transaction(&f, s);
    fixture_request(queued, VERB_WRITE, "WRITE x v");
    int sent = count_sent(&f);
    f.catalog_stale = true;
    fixture_request(s, VERB_COMMIT, "COMMIT");
    assert_refused(&f, 3, FAILURE_ABORTED, sent);
    assert_int_equal(f.state, TRANSACTION_NONE);
    assert_rolled_back(l);
    fixture_accept_all(&f);
    assert_refused(&f, 4, FAILURE_BUSY, sent);
    fixture_request(s, VERB_BEGIN, "BEGIN");
    assert_refused(&f, 5, FAILURE_BUSY, sent);
    assert_int_equal(f.state, TRANSACTION_NONE);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    assert_refused(&f, 6, FAILURE_BUSY, sent);
    /* A key that is not known here may be in a newer version. */
    fixture_request(gone, VERB_READ, "READ x");
    assert_refused(&f, 7, FAILURE_BUSY, sent);
    assert_int_equal(relay_counters(f.relay)->refused_stale, 5);

    f.catalog_stale = false;
    read_successfully(&f, s);
    open_transaction(&f, queued);
    f.catalog_stale = true;
    sent = count_sent(&f);
    fixture_request(queued, VERB_WRITE, "WRITE x v");
    assert_refused(&f, 11, FAILURE_ABORTED, sent);
    assert_int_equal(f.state, TRANSACTION_FAILED);
    session_end(s);
    session_end(queued);
    session_end(gone);
    fixture_teardown(&f);
}

/* Guards against a wrong refusal at the start of a session. */
static void
test_check_at_the_start(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    for (int is_public = 0; is_public < 2; is_public++) {
        set_keys(&f, "k1", "k2", is_public);
        const struct database_route *r = catalog_route(f.catalog, "boats");
        for (int stale = 0; stale < 2; stale++) {
            f.catalog_stale = stale;
            assert_int_equal(
                relay_check_key(f.relay, f.catalog, r, SVIEW("k1")),
                FAILURE_NONE);
            assert_int_equal(
                relay_check_key(f.relay, f.catalog, r, SVIEW("k3")),
                is_public ? FAILURE_NONE
                : stale   ? FAILURE_BUSY
                          : FAILURE_UNAUTHORIZED);
        }
    }
    set_keys(&f, NULL, NULL, false);
    assert_int_equal(relay_check_key(f.relay, f.catalog,
                                     catalog_route(f.catalog, "boats"),
                                     SVIEW("")),
                     FAILURE_NONE);
    assert_int_equal(relay_counters(f.relay)->startups_unauthorized, 1);
    assert_int_equal(relay_counters(f.relay)->startups_stale, 1);
    fixture_teardown(&f);
}

/* Guards against a session that counts as authorized although its requests are
   refused, and the reverse. */
static void
test_validity_of_a_key(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    struct session *s = fixture_session_with_key(&f, "k1");
    assert_true(session_key_is_valid(s));
    set_keys(&f, "", "k2", false);
    assert_false(session_key_is_valid(s));
    set_keys(&f, "", "k1", false);
    assert_false(session_key_is_valid(s));
    set_keys(&f, "", "k2", true);
    assert_true(session_key_is_valid(s));
    set_keys(&f, "k1", "k2", false);
    assert_true(session_key_is_valid(s));
    set_keys(&f, NULL, NULL, false);
    assert_true(session_key_is_valid(s));
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against a caller of a public route that counts as one without a valid
   key once the route is removed: its requests are answered with
   FAILURE_NO_DATABASE, and it may be there again. */
static void
test_validity_on_a_removed_public_route(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    set_keys(&f, "k1", "", true);
    struct session *s = fixture_session_with_key(&f, "k2");
    assert_true(session_key_is_valid(s));
    struct catalog *c = catalog_create(99);
    c->has_accounts = true;
    catalog_unref(f.catalog);
    f.catalog = c;
    fixture_request(s, VERB_READ, "READ x");
    assert_int_equal(f.failure, FAILURE_NO_DATABASE);
    assert_true(session_key_is_valid(s));
    session_end(s);
    fixture_teardown(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_account_of_requests),
        cmocka_unit_test(test_idle_session),
        cmocka_unit_test(test_unknown_key),
        cmocka_unit_test(test_open_transaction),
        cmocka_unit_test(test_transaction_before_its_first_statement),
        cmocka_unit_test(test_rollback),
        cmocka_unit_test(test_queued_request),
        cmocka_unit_test(test_queue_of_many_requests),
        cmocka_unit_test(test_withdrawn_during_preparation),
        cmocka_unit_test(test_withdrawn_while_waiting),
        cmocka_unit_test(test_connections_of_withdrawn_requests),
        cmocka_unit_test(test_withdrawn_at_the_member),
        cmocka_unit_test(test_waiting_without_a_refusal_of_the_key),
        cmocka_unit_test(test_retried_read),
        cmocka_unit_test(test_retried_write),
        cmocka_unit_test(test_retry_does_not_wait),
        cmocka_unit_test(test_moved_key),
        cmocka_unit_test(test_public_route),
        cmocka_unit_test(test_key_withdrawn_on_public_route),
        cmocka_unit_test(test_first_accounts),
        cmocka_unit_test(test_removed_database),
        cmocka_unit_test(test_stale_configuration),
        cmocka_unit_test(test_check_at_the_start),
        cmocka_unit_test(test_validity_of_a_key),
        cmocka_unit_test(test_validity_on_a_removed_public_route),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
