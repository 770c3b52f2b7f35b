#include "relay/relay_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Guards against a use after free of a connection that is lost while a write
   is in progress, and against answering that such a write was not executed. */
static void
test_write_lost(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *s = fixture_session(&f);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_accept_all(&f);
    struct member_link *l = fixture_last_used_link(&f);
    assert_non_null(l);
    assert_string_equal(l->member, "m1");
    l->events->closed(l->ctx, "reset");
    assert_int_equal(f.answers, 1);
    assert_int_equal(f.failure, FAILURE_UNKNOWN_OUTCOME);
    assert_int_equal(f.state, TRANSACTION_NONE);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against a failed read that could have been executed elsewhere. */
static void
test_read_lost_is_retried(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *s = fixture_session(&f);
    fixture_request(s, VERB_READ, "READ x");
    fixture_accept_all(&f);
    struct member_link *l = fixture_last_used_link(&f);
    l->events->closed(l->ctx, "reset");
    assert_int_equal(f.answers, 0);
    fixture_advance_time(&f, 100);
    fixture_accept_all(&f);
    l = fixture_last_used_link(&f);
    assert_non_null(l);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 7);
    assert_int_equal(f.answers, 1);
    assert_int_equal(f.failure, FAILURE_NONE);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against reporting a COMMIT whose answer is lost as aborted, and as an
   unknown outcome if the transaction had no writes. */
static void
test_commit_lost(void **state)
{
    for (int writes = 0; writes < 2; writes++) {
        struct fixture f;
        (void)state;
        fixture_setup(&f, FRESHNESS_PRIMARY);
        struct session *s = fixture_session(&f);
        fixture_request(s, VERB_BEGIN, "BEGIN");
        assert_int_equal(f.state, TRANSACTION_OPEN);
        fixture_request(s, writes ? VERB_WRITE : VERB_READ,
                        writes ? "WRITE x v" : "READ x");
        fixture_accept_all(&f);
        struct member_link *l = fixture_last_used_link(&f);
        assert_int_equal(l->sent[0].verb, VERB_BEGIN);
        fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
        fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
        assert_int_equal(f.answers, 2);
        fixture_request(s, VERB_COMMIT, "COMMIT");
        l->events->closed(l->ctx, "reset");
        assert_int_equal(f.answers, 3);
        assert_int_equal(f.failure,
                         writes ? FAILURE_UNKNOWN_OUTCOME : FAILURE_ABORTED);
        assert_int_equal(f.state, TRANSACTION_NONE);
        session_end(s);
        fixture_teardown(&f);
    }
}

/* Guards against a read on a replica without a check that it has the commits
   required by the staleness bound. */
static void
test_replica_needs_recent_sample(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_BOUNDED);
    fixture_move_replicas_near(&f);
    struct session *s = fixture_session(&f);
    fixture_request(s, VERB_READ, "READ x");
    fixture_accept_all(&f);
    struct member_link *l = fixture_last_used_link(&f);
    assert_string_equal(l->member, "m1");
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 40);
    fixture_advance_time(&f, 200);
    /* With a sample the read may go to a replica, which checks its
       position. */
    fixture_request(s, VERB_READ, "READ x");
    fixture_accept_all(&f);
    l = fixture_last_used_link(&f);
    assert_string_not_equal(l->member, "m1");
    assert_true(l->sent[0].has_min_position);
    assert_int_equal(l->sent[0].min_position.term, 3);
    assert_int_equal(l->sent[0].min_position.position, 40);
    fixture_answer(l, FAILURE_LAGGING, TRANSACTION_NONE, 3, 30);
    /* If the replica lags, the read goes to the primary. */
    fixture_accept_all(&f);
    assert_int_equal(f.answers, 1);
    l = fixture_link(&f, 0);
    assert_int_equal(l->sent_count, 2);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 41);
    assert_int_equal(f.answers, 2);
    /* After the staleness bound the sample is too old. */
    fixture_advance_time(&f, 1500);
    fixture_request(s, VERB_READ, "READ x");
    assert_int_equal(fixture_link(&f, 0)->sent_count, 3);
    fixture_answer(fixture_link(&f, 0), FAILURE_NONE, TRANSACTION_NONE, 3, 41);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against statements on the primary without a valid lease, inside and
   outside of a transaction, and against queueing them until their deadline. */
static void
test_no_lease(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *s = fixture_session(&f);
    fixture_request(s, VERB_BEGIN, "BEGIN");
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_accept_all(&f);
    struct member_link *l = fixture_last_used_link(&f);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    f.lease = false;
    fixture_request(s, VERB_COMMIT, "COMMIT");
    assert_int_equal(f.answers, 3);
    assert_int_equal(f.failure, FAILURE_ABORTED);
    assert_int_equal(l->sent[l->sent_count - 1].verb, VERB_ROLLBACK);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 7);
    const int sent = l->sent_count;
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_advance_time(&f, 500);
    assert_int_equal(f.answers, 4);
    assert_int_equal(f.failure, FAILURE_BUSY);
    assert_int_equal(l->sent_count, sent);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against a statement that stays in progress at a replaced primary: it
   must end before service_old_primary_idle() confirms the change. */
static void
test_change_of_primary_ends_work(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *s = fixture_session(&f);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_accept_all(&f);
    assert_true(service_old_primary_idle(f.service));
    service_set_primary(f.service, 2, "", true, f.now);
    assert_false(service_old_primary_idle(f.service));
    fixture_advance_time(&f, 300);
    assert_true(service_old_primary_idle(f.service));
    assert_int_equal(f.answers, 1);
    assert_int_equal(f.failure, FAILURE_UNKNOWN_OUTCOME);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against treating a member as unreachable because it has closed one
   connection, which is also how a single lost answer shows. */
static void
test_lost_connection_keeps_member_reachable(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *s = fixture_session(&f);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_accept_all(&f);
    struct member_link *l = fixture_last_used_link(&f);
    l->events->closed(l->ctx, "end");
    assert_int_equal(f.answers, 1);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_accept_all(&f);
    assert_non_null(fixture_last_used_link(&f));
    assert_false(service_primary_unreachable(f.service, f.now + 1000));
    fixture_answer(fixture_last_used_link(&f), FAILURE_NONE, TRANSACTION_NONE,
                   3, 8);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against never trying a silent member again because old requests to it
   remain unanswered. */
static void
test_silent_member_is_probed(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *s = fixture_session(&f);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_accept_all(&f);
    const int before = f.link_count;
    fixture_advance_time(&f, 550);
    assert_true(service_primary_unreachable(f.service, f.now));
    assert_true(f.link_count > before);
    fixture_accept_all(&f);
    assert_false(service_primary_unreachable(f.service, f.now));
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against giving up a transaction that makes progress, because its
   member has not reported to the directory for seconds, and against new work
   at that member. */
static void
test_transaction_outlives_the_listing(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *s = fixture_session(&f);
    struct session *other = fixture_session(&f);
    fixture_request(s, VERB_BEGIN, "BEGIN");
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_accept_all(&f);
    struct member_link *l = fixture_last_used_link(&f);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7); /* BEGIN */
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    service_set_members(f.service, NULL, 0, f.now);
    for (int i = 0; i < 8; i++) {
        fixture_advance_time(&f, 1000);
        fixture_request(s, VERB_WRITE, "WRITE x v");
        assert_false(l->closed);
        fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
        assert_int_equal(f.failure, FAILURE_NONE);
    }
    const int sent = l->sent_count;
    fixture_request(other, VERB_WRITE, "WRITE x v");
    fixture_advance_time(&f, 400);
    assert_int_equal(f.failure, FAILURE_BUSY);
    assert_int_equal(l->sent_count, sent);
    fixture_request(s, VERB_COMMIT, "COMMIT");
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 8);
    assert_int_equal(f.failure, FAILURE_NONE);
    fixture_advance_time(&f, 100);
    assert_true(l->closed);
    session_end(s);
    session_end(other);
    fixture_teardown(&f);
}

/* Guards against a server that left, with its entry still in the stored list,
   getting reads again after a restart of the proxy. */
static void
test_remembered_leaving_member_gets_no_reads(void **state)
{
    struct fixture f;
    struct member_entry left = {.port = 1, .slots = 2, .draining = true};

    (void)state;
    fixture_setup(&f, FRESHNESS_BOUNDED);
    const struct token position = {.term = 3, .position = 5, .known = true};
    service_add_primary_position(f.service, f.now, &position);
    service_set_members(f.service, NULL, 0, f.now);
    fixture_advance_time(&f, 6100);
    g_strlcpy(left.id, "m2", sizeof(left.id));
    g_strlcpy(left.service, "db", sizeof(left.service));
    service_add_unlisted_member(f.service, &left, f.now, f.now);
    service_add_primary_position(f.service, f.now, &position);
    const int links = f.link_count;
    struct session *s = fixture_session(&f);
    fixture_request(s, VERB_READ, "READ x");
    fixture_advance_time(&f, 400);
    assert_int_equal(f.failure, FAILURE_BUSY);
    assert_int_equal(f.link_count, links);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against refusing callers after a restart because the directory has
   lost the entries of running members. */
static void
test_remembered_members_serve(void **state)
{
    struct fixture f;
    struct member_entry primary = {.port = 1, .slots = 2};

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    service_set_members(f.service, NULL, 0, f.now);
    fixture_advance_time(&f, 6100);
    struct session *s = fixture_session(&f);
    fixture_request(s, VERB_READ, "READ x");
    fixture_advance_time(&f, 400);
    assert_int_equal(f.failure, FAILURE_BUSY);
    g_strlcpy(primary.id, "m1", sizeof(primary.id));
    g_strlcpy(primary.service, "db", sizeof(primary.service));
    service_add_unlisted_member(f.service, &primary, f.now, f.now);
    fixture_request(s, VERB_READ, "READ x");
    fixture_accept_all(&f);
    fixture_answer(fixture_last_used_link(&f), FAILURE_NONE, TRANSACTION_NONE,
                   3, 7);
    assert_int_equal(f.failure, FAILURE_NONE);
    /* Unless it is listed again, it is removed after a while. */
    fixture_advance_time(&f, 6100);
    fixture_request(s, VERB_READ, "READ x");
    fixture_advance_time(&f, 400);
    assert_int_equal(f.failure, FAILURE_BUSY);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against queueing statements that cannot be served: the lease has been
   invalid, or the primary unreachable, for some time. */
static void
test_unservable_work_is_refused_at_once(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *s = fixture_session(&f);
    f.lease = false;
    fixture_advance_time(&f, 200);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    assert_int_equal(f.answers, 1);
    assert_int_equal(f.failure, FAILURE_BUSY);
    f.lease = true;
    fixture_advance_time(&f, 50);
    f.refuse_connections = true;
    fixture_request(s, VERB_WRITE, "WRITE x v");
    assert_int_equal(f.answers, 1);
    fixture_advance_time(&f, 1000);
    assert_int_equal(f.answers, 2);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    assert_int_equal(f.answers, 3);
    assert_int_equal(f.failure, FAILURE_BUSY);
    session_end(s);
    fixture_teardown(&f);
}

/* Load: statements for the primary during a change of primary that cannot be
   completed, because proxies that are cut off may still use the old one.
   Guards against holding each of them for most of its time, although it will
   not be served and could be at another proxy. */
static void
test_long_change_refuses_at_once(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *s = fixture_session(&f);
    service_set_primary(f.service, 2, "", true, f.now);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_advance_time(&f, 500);
    assert_int_equal(f.answers, 0); /* most changes are done by then */
    fixture_advance_time(&f, 400);
    assert_int_equal(f.answers, 1); /* its statement timeout */
    fixture_advance_time(&f, 1500);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    assert_int_equal(f.answers, 2);
    assert_int_equal(f.failure, FAILURE_BUSY);
    /* Once there is a primary, statements are served again. */
    service_set_primary(f.service, 3, "m1", false, f.now);
    fixture_request(s, VERB_WRITE, "WRITE x v");
    assert_int_equal(f.answers, 2);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against refusing a statement as soon as the primary becomes
   unreachable, because it had already waited for a busy connection. With a
   lost answer on each connection, the primary was reachable again after 70 ms
   (incident inc-8780). */
static void
test_queue_time_is_not_time_without_primary(void **state)
{
    struct fixture f;
    struct session *s[4];

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    for (int i = 0; i < 4; i++) {
        s[i] = fixture_session(&f);
        fixture_request(s[i], VERB_WRITE, "WRITE x v");
        fixture_accept_all(&f);
    }
    assert_int_equal(f.link_count, 3);
    fixture_advance_time(&f, 500);
    assert_int_equal(f.link_count, 4); /* the primary is tried again */
    assert_int_equal(f.answers, 0);
    fixture_accept_all(&f);
    assert_int_equal(f.answers, 0);
    assert_int_equal(fixture_link(&f, 3)->sent_count, 1);
    for (int i = 0; i < 4; i++) {
        session_end(s[i]);
    }
    fixture_teardown(&f);
}

/* Guards against connections that wait for lost answers and block all access
   to a working primary: the next statement gets an additional connection,
   within the proxy's part of the member's connections. */
static void
test_lost_answers_allow_another_connection(void **state)
{
    struct fixture f;
    struct session *s[5];

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    for (int i = 0; i < 4; i++) {
        s[i] = fixture_session(&f);
        fixture_request(s[i], VERB_WRITE, "WRITE x v");
        fixture_accept_all(&f);
    }
    fixture_advance_time(&f, 225);
    assert_int_equal(f.link_count, 3);
    fixture_advance_time(&f, 50);
    assert_int_equal(f.link_count, 4);
    fixture_accept_all(&f);
    assert_int_equal(fixture_link(&f, 3)->sent_count, 1);
    s[4] = fixture_session(&f);
    fixture_request(s[4], VERB_WRITE, "WRITE x v");
    fixture_advance_time(&f, 25);
    assert_int_equal(f.link_count, 4); /* the proxy's part is used up */
    for (int i = 0; i < 5; i++) {
        session_end(s[i]);
    }
    fixture_teardown(&f);
}

/* Guards against refusing reads because this proxy alone cannot reach the
   primary: a replica can serve them with the primary's position as observed by
   another proxy. */
static void
test_position_of_another_proxy(void **state)
{
    struct fixture f;
    const struct token position = {.term = 3, .position = 50, .known = true};

    (void)state;
    fixture_setup(&f, FRESHNESS_BOUNDED);
    f.lease = false;
    fixture_advance_time(&f, 200);
    struct session *s = fixture_session(&f);
    fixture_request(s, VERB_READ, "READ x");
    assert_int_equal(f.failure, FAILURE_BUSY);
    service_add_primary_position(f.service, f.now - 300, &position);
    fixture_request(s, VERB_READ, "READ x");
    fixture_accept_all(&f);
    struct member_link *l = fixture_last_used_link(&f);
    assert_true(l->sent[0].has_min_position);
    assert_int_equal(l->sent[0].min_position.position, 50);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 51);
    assert_int_equal(f.failure, FAILURE_NONE);
    /* The position is used only within the staleness bound. */
    fixture_advance_time(&f, 1200);
    fixture_request(s, VERB_READ, "READ x");
    assert_int_equal(f.failure, FAILURE_BUSY);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against sending every read to a replica that keeps lagging. */
static void
test_lagging_replica_is_not_asked_at_once(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_BOUNDED);
    struct session *s = fixture_session(&f);
    int lagging = 0;
    for (int i = 0; i < 40; i++) {
        fixture_request(s, VERB_READ, "READ x");
        const int answers = f.answers;
        for (int k = 0; k < 6 && f.answers == answers; k++) {
            fixture_accept_all(&f);
            for (int n = 0; n < f.link_count && f.answers == answers; n++) {
                struct member_link *l = f.links[n];
                if (l->closed || l->answered == l->sent_count) {
                    continue;
                }
                l->answered++;
                const bool replica = strcmp(l->member, "m1") != 0;
                lagging += replica;
                fixture_answer(l, replica ? FAILURE_LAGGING : FAILURE_NONE,
                               TRANSACTION_NONE, 3, 100 + (uint64_t)i);
            }
        }
        assert_int_equal(f.answers, answers + 1);
        fixture_advance_time(&f, 25);
    }
    /* 40 reads in a second, two replicas; retry delays of 30 to 240 ms. */
    assert_true(lagging < 16);
    session_end(s);
    fixture_teardown(&f);
}

static void
request_set(struct session *s, const char *name, const char *value)
{
    const struct request set = {.verb = VERB_SET,
                                .id = SVIEW("q1"),
                                .text = SVIEW("SET"),
                                .name = sview_from(name),
                                .rest = sview_from(value)};

    session_request(s, &set);
}

/* Sends SET with a name and a value, and then a read. Returns the connection
   on which the read was sent, after its answers. */
static struct member_link *
read_with_setting(struct fixture *f, struct session *s, const char *name,
                  const char *value)
{
    const int answers = f->answers;

    request_set(s, name, value);
    fixture_request(s, VERB_READ, "READ x");
    fixture_accept_all(f);
    struct member_link *l = fixture_last_used_link(f);
    for (int i = 0; i < 8 && f->answers < answers + 2; i++) {
        fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 7);
    }
    assert_int_equal(f->answers, answers + 2);
    return l;
}

static int
count_sent(const struct member_link *l, enum verb verb)
{
    int n = 0;

    for (int i = 0; i < l->sent_count; i++) {
        n += l->sent[i].verb == verb;
    }
    return n;
}

/* Guards against a statement that runs with the settings of another session:
   sets of settings that look alike when written as NAME=VALUE are different.
 */
static void
test_settings_are_compared_by_value(void **state)
{
    static const char *const pairs[][4] = {
        {"region", "zone=north", "region=zone", "north"},
        {"a", "=b", "a=", "b"},
        {"a", "", "a=", ""},
        {"a", "b c", "a=b c", ""},
        {"a", "\"b\"", "a=\"b", "\""},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(pairs); i++) {
        struct fixture f;
        fixture_setup(&f, FRESHNESS_PRIMARY);
        struct session *a = fixture_session(&f);
        struct session *b = fixture_session(&f);
        struct member_link *l =
            read_with_setting(&f, a, pairs[i][0], pairs[i][1]);
        assert_int_equal(count_sent(l, VERB_SET), 1);
        /* Equal settings need no second SET. */
        assert_ptr_equal(read_with_setting(&f, a, pairs[i][0], pairs[i][1]),
                         l);
        assert_int_equal(count_sent(l, VERB_SET), 1);
        assert_ptr_equal(read_with_setting(&f, b, pairs[i][2], pairs[i][3]),
                         l);
        assert_int_equal(count_sent(l, VERB_SET), 2);
        session_end(a);
        session_end(b);
        fixture_teardown(&f);
    }
}

/* Begins a transaction with a read, which the primary has answered. */
static struct member_link *
begin_with_read(struct fixture *f, struct session *s)
{
    fixture_request(s, VERB_BEGIN, "BEGIN");
    fixture_request(s, VERB_READ, "READ x");
    fixture_accept_all(f);
    struct member_link *l = fixture_last_used_link(f);
    const int answers = f->answers;
    for (int i = 0; i < 8 && f->answers == answers; i++) {
        fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    }
    assert_int_equal(f->answers, answers + 1);
    return l;
}

/* Begins a transaction in which the member answers a SET with this failure.
   The transaction has been rolled back. */
static struct member_link *
fail_setting_in_transaction(struct fixture *f, struct session *s,
                            enum failure why)
{
    struct member_link *l = begin_with_read(f, s);

    request_set(s, "region", "north");
    fixture_request(s, VERB_READ, "READ y");
    assert_int_equal(count_sent(l, VERB_SET), 1);
    fixture_answer(l, why, TRANSACTION_OPEN, 3, 7);
    assert_int_equal(f->failure, FAILURE_ABORTED);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 7); /* ROLLBACK */
    return l;
}

/* Guards against statements that run with the settings of another session,
   after a member has refused a SET in a transaction. */
static void
test_refused_setting_is_not_in_effect(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *s = fixture_session(&f);
    struct member_link *l = fail_setting_in_transaction(&f, s, FAILURE_BUSY);
    fixture_request(s, VERB_ROLLBACK, "ROLLBACK");
    fixture_advance_time(&f, 100);
    const int reads = count_sent(l, VERB_READ);
    assert_ptr_equal(begin_with_read(&f, s), l);
    assert_int_equal(count_sent(l, VERB_SET), 2);
    assert_int_equal(count_sent(l, VERB_READ), reads + 1);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against an EXECUTE of a statement that the member does not know,
   after it has refused the PREPARE in a transaction. */
static void
test_refused_prepare_is_repeated(void **state)
{
    const struct request prepare = {.verb = VERB_PREPARE_READ,
                                    .id = SVIEW("q1"),
                                    .text = SVIEW("PREPARE s1"),
                                    .name = SVIEW("s1"),
                                    .rest = SVIEW("shape")};
    const struct request execute = {.verb = VERB_EXECUTE,
                                    .id = SVIEW("q2"),
                                    .text = SVIEW("EXECUTE s1 x"),
                                    .name = SVIEW("s1"),
                                    .rest = SVIEW("x")};
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *s = fixture_session(&f);
    session_request(s, &prepare);
    for (int i = 1; i <= 2; i++) {
        struct member_link *l = begin_with_read(&f, s);
        session_request(s, &execute);
        assert_int_equal(count_sent(l, VERB_PREPARE_READ), i);
        assert_int_equal(count_sent(l, VERB_EXECUTE), 0);
        fixture_answer(l, FAILURE_BUSY, TRANSACTION_OPEN, 3, 7);
        assert_int_equal(f.failure, FAILURE_ABORTED);
        fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 7);
        fixture_request(s, VERB_ROLLBACK, "ROLLBACK");
        fixture_advance_time(&f, 100);
    }
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against a setting that counts as in effect although its caller left
   before the member refused it. */
static void
test_setting_refused_after_caller_left(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *a = fixture_session(&f);
    struct session *b = fixture_session(&f);
    request_set(a, "region", "north");
    fixture_request(a, VERB_READ, "READ x");
    fixture_accept_all(&f);
    struct member_link *l = fixture_last_used_link(&f);
    assert_int_equal(count_sent(l, VERB_SET), 1);
    session_end(a);
    fixture_answer(l, FAILURE_BUSY, TRANSACTION_NONE, 3, 7);
    fixture_advance_time(&f, 100);
    assert_ptr_equal(read_with_setting(&f, b, "region", "north"), l);
    assert_int_equal(count_sent(l, VERB_SET), 2);
    session_end(b);
    fixture_teardown(&f);
}

/* Guards against the use of a connection whose settings are not known: the
   member may have executed a SET that failed. */
static void
test_connection_with_unknown_settings_is_closed(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *s = fixture_session(&f);
    struct member_link *l =
        fail_setting_in_transaction(&f, s, FAILURE_TIMEOUT);
    assert_true(l->closed);
    session_end(s);
    fixture_teardown(&f);
}

/* Opens a transaction with one write, which the primary has answered. */
static struct member_link *
open_transaction(struct fixture *f, struct session *s)
{
    fixture_request(s, VERB_BEGIN, "BEGIN");
    fixture_request(s, VERB_WRITE, "WRITE x v");
    fixture_accept_all(f);
    struct member_link *l = fixture_last_used_link(f);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    assert_int_equal(f->answers, 2);
    return l;
}

/* Guards against a shutdown that passes statements of open transactions on
   although it will not wait for their answers. */
static void
test_shutdown_ends_transactions(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    const int64_t timeout =
        catalog_route(f.catalog, "boats")->statement_timeout_ms;
    struct session *s = fixture_session(&f);
    struct member_link *l = open_transaction(&f, s);
    relay_begin_shutdown(f.relay, f.now + 1000, f.now + 1000 + timeout / 2);
    /* Before that, there is always time for a statement. */
    fixture_advance_time(&f, 900);
    fixture_request(s, VERB_WRITE, "WRITE y v");
    assert_int_equal(l->sent_count, 3);
    fixture_answer(l, FAILURE_NONE, TRANSACTION_OPEN, 3, 7);
    assert_int_equal(f.answers, 3);
    fixture_advance_time(&f, 150);
    fixture_request(s, VERB_COMMIT, "COMMIT");
    assert_int_equal(f.answers, 4);
    assert_int_equal(f.failure, FAILURE_ABORTED);
    assert_int_equal(f.state, TRANSACTION_NONE);
    /* The member is told to roll back, and got no COMMIT. */
    for (int i = 0; i < l->sent_count; i++) {
        assert_int_not_equal(l->sent[i].verb, VERB_COMMIT);
    }
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against the same for a statement that has enough time: it is
   executed, and so is the COMMIT. */
static void
test_shutdown_leaves_time_for_short_statements(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    const int64_t timeout =
        catalog_route(f.catalog, "boats")->statement_timeout_ms;
    struct session *s = fixture_session(&f);
    struct member_link *l = open_transaction(&f, s);
    relay_begin_shutdown(f.relay, f.now + 100, f.now + 300 + timeout);
    fixture_advance_time(&f, 200);
    fixture_request(s, VERB_COMMIT, "COMMIT");
    fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 8);
    assert_int_equal(f.answers, 3);
    assert_int_equal(f.failure, FAILURE_NONE);
    session_end(s);
    fixture_teardown(&f);
}

/* Guards against connections that end without an answer: a request that a
   member has not answered by the end of the shutdown gets its true outcome,
   and one that was not sent is refused. */
static void
test_shutdown_answers_every_request(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *sent = fixture_session(&f);
    fixture_request(sent, VERB_WRITE, "WRITE x v");
    fixture_accept_all(&f);
    relay_begin_shutdown(f.relay, f.now + 100, f.now + 200);
    fixture_advance_time(&f, 150);
    assert_int_equal(f.answers, 0);
    fixture_advance_time(&f, 100);
    assert_int_equal(f.answers, 1);
    assert_int_equal(f.failure, FAILURE_TIMEOUT);
    f.refuse_connections = true;
    f.lease = false;
    struct session *queued = fixture_session(&f);
    fixture_request(queued, VERB_WRITE, "WRITE x v");
    fixture_advance_time(&f, 50);
    assert_int_equal(f.answers, 2);
    assert_true(failure_means_not_run(f.failure));
    session_end(sent);
    session_end(queued);
    fixture_teardown(&f);
}

/* Guards against requests that are sent to a member when the process no longer
   waits for answers: one that arrives then, and one whose connection to a
   member is lost. */
static void
test_shutdown_sends_nothing_at_the_end(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    struct session *s = fixture_session(&f);
    struct session *idle = fixture_session(&f);
    open_transaction(&f, idle);
    int sent = 0;
    relay_begin_shutdown(f.relay, f.now + 1000, f.now + 2000);
    relay_answer_all(f.relay, f.now);
    for (int i = 0; i < f.link_count; i++) {
        sent += f.links[i]->sent_count;
    }
    fixture_request(s, VERB_READ, "READ x");
    assert_int_equal(f.answers, 3);
    assert_int_equal(f.failure, FAILURE_BUSY);
    fixture_request(idle, VERB_COMMIT, "COMMIT");
    assert_int_equal(f.answers, 4);
    assert_int_equal(f.failure, FAILURE_ABORTED);
    for (int i = 0; i < f.link_count; i++) {
        sent -= f.links[i]->sent_count;
    }
    assert_int_equal(sent, 0);
    session_end(s);
    session_end(idle);
    fixture_teardown(&f);
}

/* Guards against a commit that is acknowledged although the primary may have
   been replaced before it: after a lapse of the lease, or a suspension of the
   process, while the answer was outstanding. Only services whose commits are
   synchronous promise that the next primary has it. */
static void
test_synchronous_commit_needs_the_lease(void **state)
{
    static const enum failure expected[][2] = {
        /* not synchronous, synchronous */
        {FAILURE_NONE, FAILURE_NONE},            /* nothing happens */
        {FAILURE_NONE, FAILURE_UNKNOWN_OUTCOME}, /* the lease is lost */
        {FAILURE_NONE, FAILURE_UNKNOWN_OUTCOME}, /* and valid again */
        {FAILURE_NONE, FAILURE_UNKNOWN_OUTCOME}, /* suspended */
    };

    (void)state;
    for (int i = 0; i < 8; i++) {
        const int event = i / 2;
        const int synchronous = i % 2;
        struct fixture f;
        fixture_setup(&f, FRESHNESS_PRIMARY);
        struct service_limits *limits = g_new0(struct service_limits, 1);
        limits->service = g_strdup(catalog_route(f.catalog, "boats")->service);
        limits->max_connections = 16;
        limits->sync_replicas = synchronous;
        catalog_add_service(f.catalog, limits);
        struct session *s = fixture_session(&f);
        struct member_link *l = open_transaction(&f, s);
        fixture_advance_time(&f, 25);
        fixture_request(s, VERB_COMMIT, "COMMIT");
        if (event == 1 || event == 2) {
            f.lease = false;
            fixture_advance_time(&f, 50);
            f.lease = event == 2;
            fixture_advance_time(&f, 50);
        }
        else if (event == 3) {
            f.now += 2000;
        }
        fixture_answer(l, FAILURE_NONE, TRANSACTION_NONE, 3, 8);
        assert_int_equal(f.answers, 3);
        assert_int_equal(f.failure, expected[event][synchronous]);
        assert_int_equal(f.state, TRANSACTION_NONE);
        session_end(s);
        fixture_teardown(&f);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_write_lost),
        cmocka_unit_test(test_read_lost_is_retried),
        cmocka_unit_test(test_commit_lost),
        cmocka_unit_test(test_replica_needs_recent_sample),
        cmocka_unit_test(test_no_lease),
        cmocka_unit_test(test_change_of_primary_ends_work),
        cmocka_unit_test(test_lost_connection_keeps_member_reachable),
        cmocka_unit_test(test_silent_member_is_probed),
        cmocka_unit_test(test_remembered_members_serve),
        cmocka_unit_test(test_transaction_outlives_the_listing),
        cmocka_unit_test(test_remembered_leaving_member_gets_no_reads),
        cmocka_unit_test(test_unservable_work_is_refused_at_once),
        cmocka_unit_test(test_long_change_refuses_at_once),
        cmocka_unit_test(test_queue_time_is_not_time_without_primary),
        cmocka_unit_test(test_lost_answers_allow_another_connection),
        cmocka_unit_test(test_position_of_another_proxy),
        cmocka_unit_test(test_lagging_replica_is_not_asked_at_once),
        cmocka_unit_test(test_settings_are_compared_by_value),
        cmocka_unit_test(test_refused_setting_is_not_in_effect),
        cmocka_unit_test(test_refused_prepare_is_repeated),
        cmocka_unit_test(test_setting_refused_after_caller_left),
        cmocka_unit_test(test_connection_with_unknown_settings_is_closed),
        cmocka_unit_test(test_shutdown_ends_transactions),
        cmocka_unit_test(test_shutdown_leaves_time_for_short_statements),
        cmocka_unit_test(test_synchronous_commit_needs_the_lease),
        cmocka_unit_test(test_shutdown_answers_every_request),
        cmocka_unit_test(test_shutdown_sends_nothing_at_the_end),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
