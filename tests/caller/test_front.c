#include "caller/front_fixture.h"

#include "caller/caller.h"

#include <string.h>
#include <sys/socket.h>

/* Guards against a prepared statement that is missing on the connection of the
   caller's next transaction. The proxy has one connection to each member, and
   another caller resets it with DISCARD ALL in between. */
static void
test_prepared_statements_survive_pooling(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    struct client b;
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");
    client_open(&b, &s, "filing", "none");

    client_query(&a, "INSERT INTO entries (id, value) VALUES ('x', '7')");
    GString *out = g_string_new(NULL);
    put_parse(out, "find", "SELECT value FROM entries WHERE id = $1");
    frame_end(out, frame_begin(out, 'S'));
    client_send(&a, out);
    client_wait(&a, a.ready + 1);
    assert_string_equal(a.types->str, "1Z");
    client_query(&b, "DISCARD ALL");
    client_query(&b, "SET work.mem = '5'");
    client_query(&b, "UPDATE entries SET value = '8' WHERE id = 'x'");
    for (int i = 0; i < 3; i++) {
        out = g_string_new(NULL);
        put_bind_execute_sync(out, "find", "x");
        client_send(&a, out);
        client_wait(&a, a.ready + 1);
        assert_string_equal(a.column, "8");
    }
    /* Parse with a name that exists is an error and changes nothing. */
    out = g_string_new(NULL);
    put_parse(out, "find", "SELECT 1");
    frame_end(out, frame_begin(out, 'S'));
    client_send(&a, out);
    client_wait(&a, a.ready + 1);
    assert_string_equal(a.sqlstate, "42P05");
    /* A statement that does not parse must not exist afterwards. */
    out = g_string_new(NULL);
    put_parse(out, "bad", "SELEC 1");
    frame_end(out, frame_begin(out, 'S'));
    client_send(&a, out);
    client_wait(&a, a.ready + 1);
    assert_string_equal(a.hint, "outcome=failed");
    out = g_string_new(NULL);
    put_bind_execute_sync(out, "bad", "x");
    client_send(&a, out);
    client_wait(&a, a.ready + 1);
    assert_string_equal(a.sqlstate, "26000");
    client_close(&a);
    client_close(&b);
    front_fixture_stop(&s);
}

/* Guards against settings of one session that reach another session, and
   against settings that are lost when the session's next statement runs on
   another connection. */
static void
test_settings_stay_with_their_session(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    struct client b;
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");
    client_open(&b, &s, "filing", "none");

    client_query(&a, "SET work.mem = '5'");
    client_query(&b, "SELECT fake_session()");
    assert_null(strstr(b.column, "work.mem"));
    client_query(&a, "SELECT current_setting('work.mem')");
    assert_string_equal(a.column, "5");
    client_query(&a, "BEGIN");
    client_query(&a, "SET work.mem = '6'");
    client_query(&a, "ROLLBACK");
    client_query(&a, "SELECT current_setting('work.mem')");
    assert_string_equal(a.column, "5");
    client_query(&a, "BEGIN");
    client_query(&a, "SET work.mem = '6'");
    client_query(&a, "COMMIT");
    client_query(&b, "SELECT fake_session()");
    assert_null(strstr(b.column, "work.mem"));
    client_query(&a, "SELECT current_setting('work.mem')");
    assert_string_equal(a.column, "6");
    client_close(&a);
    client_close(&b);
    front_fixture_stop(&s);
}

/* Guards against statements of two transactions on one connection: the second
   caller must wait while the first one has a transaction open. */
static void
test_transactions_do_not_mix(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    struct client b;
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");
    client_open(&b, &s, "filing", "none");

    client_query(&a, "BEGIN");
    assert_int_equal(a.status, 'T');
    client_query(&a, "UPDATE entries SET value = value + 1 WHERE id = 'n'");
    client_start(&b, "UPDATE entries SET value = value + 10 WHERE id = 'n'");
    for (int i = 0; i < 50; i++) {
        ev_run(s.loop, EVRUN_ONCE);
        client_poll(&b);
    }
    assert_string_equal(b.types->str, "");
    client_query(&a, "SELECT value FROM entries WHERE id = 'n'");
    assert_string_equal(a.column, "1");
    client_query(&a, "COMMIT");
    client_wait(&b, 2);
    client_query(&a, "SELECT value FROM entries WHERE id = 'n'");
    assert_string_equal(a.column, "11");
    client_close(&a);
    client_close(&b);
    front_fixture_stop(&s);
}

/* Guards against a refused statement that leaves the open transaction usable,
   so that the transaction could be committed without the statement. */
static void
test_refusal_fails_the_transaction(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");

    client_query(&a, "LISTEN x");
    assert_string_equal(a.sqlstate, "0A000");
    assert_string_equal(a.hint, "outcome=not_run");
    assert_int_equal(a.status, 'I');
    client_query(&a, "COPY entries FROM STDIN");
    assert_string_equal(a.sqlstate, "0A000");
    client_query(&a, "BEGIN");
    client_query(&a, "UPDATE entries SET value = '1' WHERE id = 'r'");
    client_query(&a, "LISTEN x");
    assert_string_equal(a.sqlstate, "0A000");
    assert_int_equal(a.status, 'E');
    client_query(&a, "COMMIT");
    client_query(&a, "SELECT count(*) FROM entries");
    assert_string_equal(a.column, "0");
    client_close(&a);
    front_fixture_stop(&s);
}

/* Guards against a session without a token that reads from a replica which is
   behind the primary, and against a token that is not reported. */
static void
test_unknown_history_reads_confirmed(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    struct client b;
    front_fixture_start(&s);
    client_open(&a, &s, "filing", NULL);
    assert_string_equal(a.version, "15.0");

    client_query(&a, "INSERT INTO entries (id, value) VALUES ('k', '1')");
    assert_non_null(strstr(a.token, "v1:boats:"));
    client_open(&b, &s, "lookup", NULL);
    client_query(&b, "SELECT value FROM entries WHERE id = 'k'");
    assert_string_equal(b.column, "1");
    const struct counters *n = front_counters(s.front);
    assert_int_equal(n->value[0][1][COUNTER_READS_CONFIRMED], 1);
    /* The session now has a token, so replicas that have replayed the commit
       may serve its reads. */
    while (group_member_state(s.groups[0], 1)->position <
               group_member_state(s.groups[0], 0)->position ||
           group_member_state(s.groups[0], 2)->position <
               group_member_state(s.groups[0], 0)->position) {
        ev_run(s.loop, EVRUN_ONCE);
    }
    for (int i = 0; i < 10; i++) {
        client_query(&b, "SELECT value FROM entries WHERE id = 'k'");
        assert_string_equal(b.column, "1");
    }
    assert_true(n->value[0][1][COUNTER_READS_REPLICA] >= 9);
    client_query(&b, "SET galenastep.token = 'nonsense'");
    assert_string_equal(b.sqlstate, "22023");
    client_close(&a);
    client_close(&b);
    front_fixture_stop(&s);
}

/* Guards against buffering a message that is larger than max_message_bytes,
   and against closing other connections than the one that sent it. */
static void
test_oversized_message_ends_its_connection(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    struct client b;
    front_fixture_start(&s);
    client_open(&a, &s, "filing", NULL);
    client_open(&b, &s, "filing", NULL);

    GString *out = g_string_new(NULL);
    g_string_append_c(out, 'Q');
    frame_put_u32(out, 1 << 30);
    client_send(&a, out);
    client_wait(&a, UINT_MAX);
    assert_string_equal(a.sqlstate, "54000");
    assert_true(a.closed);
    client_query(&b, "SELECT 1");
    assert_string_equal(b.column, "1");
    client_close(&a);
    client_close(&b);
    front_fixture_stop(&s);
}

/* Guards against a cancel request that does not reach the member, and against
   one that does although its secret is wrong. */
static void
test_cancel_reaches_the_statement(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    front_fixture_start(&s);
    client_open(&a, &s, "filing", NULL);

    client_start(&a, "SELECT fake_sleep(20000)");
    for (int i = 0; i < 20; i++) {
        ev_run(s.loop, EVRUN_ONCE);
    }
    assert_false(front_cancel(s.front, a.pid, a.secret + 1));
    assert_true(front_cancel(s.front, a.pid, a.secret));
    client_wait(&a, 2);
    assert_string_equal(a.sqlstate, "57014");
    client_query(&a, "SELECT 1");
    assert_string_equal(a.column, "1");
    client_close(&a);
    front_fixture_stop(&s);
}

/* Guards against outcome=unknown for a read that no member can serve: its
   token is beyond the group's log, so every answer is dropped. */
static void
test_read_beyond_the_log_has_not_run(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "v1:boats:65536:123456");
    client_query(&a, "SELECT value FROM entries WHERE id = 'x'");
    assert_string_not_equal(a.sqlstate, "");
    assert_non_null(strstr(a.hint, "outcome=not_run"));
    client_close(&a);
    front_fixture_stop(&s);
}

/* Guards against an error that a caller sees because the proxy cancelled its
   statement in favour of others, and against cancelling a statement whose
   answer has been forwarded. */
static void
test_preempted_statement_runs_again(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    front_fixture_start(&s);
    client_open(&a, &s, "filing", NULL);

    client_start(&a, "SELECT fake_sleep(200)");
    while (s.db->members[0].running == 0) {
        ev_run(s.loop, EVRUN_ONCE);
    }
    struct caller *c =
        g_hash_table_lookup(s.front->callers, GUINT_TO_POINTER(a.pid));
    assert_non_null(c);
    assert_true(exchange_try_preempt(c));
    group_cancel_statement(c->group, c->request.conn);
    client_wait(&a, 2);
    assert_string_equal(a.sqlstate, "");
    assert_int_equal(
        s.front->counters.value[c->database][c->kind][COUNTER_RETRY_PREEMPTED],
        1);
    assert_false(exchange_try_preempt(c));
    client_query(&a, "SELECT 1");
    assert_string_equal(a.column, "1");
    client_close(&a);
    front_fixture_stop(&s);
}

/* Guards against outcome=not_run for a write that was sent to a member which
   then failed: its outcome is unknown. */
static void
test_lost_write_is_unknown(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    GString *answer = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&a, &s, "filing", NULL);

    client_start(&a, "SELECT fake_sleep(20000)");
    while (s.db->members[0].running == 0) {
        ev_run(s.loop, EVRUN_ONCE);
    }
    struct conn *any = g_queue_peek_head(&s.db->members[1].conns);
    assert_true(host_inject_fault(any, "kill", "0", answer));
    client_wait(&a, 2);
    assert_string_equal(a.sqlstate, "08007");
    assert_string_equal(a.hint, "outcome=unknown");
    /* The next write waits for the new primary. */
    client_query(&a, "UPDATE entries SET value = value + 1 WHERE id = 'u'");
    assert_string_equal(a.sqlstate, "");
    client_query(&a, "SELECT value FROM entries WHERE id = 'u'");
    assert_string_equal(a.column, "1");
    g_string_free(answer, TRUE);
    client_close(&a);
    front_fixture_stop(&s);
}

/* Guards against a write that takes effect twice when it is repeated with the
   same request key, including when the answer to its commit is lost with the
   primary, and against a different answer to the repetition. */
static void
test_request_key_runs_once(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    GString *answer = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&a, &s, "filing", NULL);

    for (int i = 0; i < 2; i++) {
        client_query(&a, "SET galenastep.request_key = 'fee-1'");
        client_query(&a,
                     "UPDATE entries SET value = value + 5 WHERE id = 'f'");
        assert_string_equal(a.sqlstate, "");
        assert_non_null(strstr(a.types->str, "C"));
    }
    client_query(&a, "SELECT value FROM entries WHERE id = 'f'");
    assert_string_equal(a.column, "5");
    /* A failed write does not store its key. */
    client_query(&a, "SET galenastep.request_key = 'fee-2'");
    client_query(&a, "INSERT INTO entries (id, value) VALUES ('f', '1')");
    assert_string_equal(a.sqlstate, "23505");
    assert_string_equal(a.hint, "outcome=failed");
    client_query(&a, "SET galenastep.request_key = 'fee-2'");
    client_query(&a, "UPDATE entries SET value = value + 5 WHERE id = 'f'");
    client_query(&a, "SELECT value FROM entries WHERE id = 'f'");
    assert_string_equal(a.column, "10");
    /* The primary fails while the write is in flight; the proxy must retry it
       on the new primary. */
    client_query(&a, "SET galenastep.request_key = 'fee-3'");
    client_start(&a, "UPDATE entries SET value = value + 5 WHERE id = 'f'");
    ev_run(s.loop, EVRUN_ONCE);
    struct conn *any = g_queue_peek_head(&s.db->members[1].conns);
    assert_true(host_inject_fault(any, "kill", "0", answer));
    client_wait(&a, a.ready + 1);
    assert_string_equal(a.sqlstate, "");
    client_query(&a, "SELECT value FROM entries WHERE id = 'f'");
    assert_string_equal(a.column, "15");
    g_string_free(answer, TRUE);
    client_close(&a);
    front_fixture_stop(&s);
}

/* Reports a lease that has expired. */
static int64_t
no_lease_left(void *ctx, int member, bool batch)
{
    (void)ctx;
    (void)member;
    (void)batch;
    return -1000;
}

/* Guards against a statement_timeout for work within the floor. The connection
   was opened under a lease that has since expired. */
static void
test_floor_work_has_no_lease_limit(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    struct client b;
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");
    client_open(&b, &s, "filing", "none");

    group_set_surplus(s.groups[0], 0, 0, 0);
    group_set_lending(s.groups[0], &(struct group_lending_ops){
                                       .lease_left_ms = no_lease_left,
                                       .idle_timeout_ms = 10000,
                                   });
    client_start(&a, "SELECT fake_sleep(100)");
    client_start(&b, "SELECT fake_sleep(150)");
    while (admission_queued(group_admission(s.groups[0]), 0) == 0) {
        ev_run(s.loop, EVRUN_ONCE);
    }
    group_set_surplus(s.groups[0], 0, 1, 0);
    client_wait(&a, 2);
    client_wait(&b, 2);
    group_set_surplus(s.groups[0], 0, 0, 0);
    assert_int_equal(pool_open_count(group_pool(s.groups[0]), 0), 1);
    client_query(&a, "SELECT fake_sleep(50)");
    assert_string_equal(a.sqlstate, "");
    client_close(&a);
    client_close(&b);
    front_fixture_stop(&s);
}

static void
on_drained(void *ctx)
{
    ((struct fixture *)ctx)->drained = true;
}

/* Guards against a graceful shutdown that ends an open transaction or leaves
   idle callers connected. */
static void
test_drain_lets_transactions_end(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    struct client b;
    front_fixture_start(&s);
    client_open(&a, &s, "filing", NULL);
    client_open(&b, &s, "filing", NULL);

    client_query(&a, "BEGIN");
    client_query(&a, "UPDATE entries SET value = '1' WHERE id = 'd'");
    front_drain(s.front, on_drained, &s);
    client_wait(&b, UINT_MAX);
    assert_string_equal(b.sqlstate, "57P01");
    assert_false(s.drained);
    client_query(&a, "UPDATE entries SET value = '2' WHERE id = 'd'");
    assert_int_equal(a.status, 'T');
    client_query(&a, "COMMIT");
    assert_non_null(strstr(a.types->str, "C"));
    client_wait(&a, UINT_MAX);
    assert_string_equal(a.sqlstate, "57P01");
    while (!s.drained) {
        ev_run(s.loop, EVRUN_ONCE);
    }
    client_close(&a);
    client_close(&b);
    front_fixture_stop(&s);
}

/* Guards against a drain in which a batch request without a permit waits until
   the drain limit and is then disconnected without an outcome. */
static void
test_drain_refuses_waiting_batches(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    front_fixture_start(&s);
    group_set_surplus(s.groups[0], 0, 0, 0);
    client_open(&a, &s, "renewal", NULL);

    client_start(&a, "UPDATE renewals SET value = '1' WHERE id = 'b'");
    while (admission_queued(group_admission(s.groups[0]), 2) == 0) {
        ev_run(s.loop, EVRUN_ONCE);
    }
    front_drain(s.front, on_drained, &s);
    client_wait(&a, 2);
    assert_string_equal(a.hint, "outcome=not_run");
    client_wait(&a, UINT_MAX);
    while (!s.drained) {
        ev_run(s.loop, EVRUN_ONCE);
    }
    client_close(&a);
    front_fixture_stop(&s);
}

/* Runs the event loop until the proxy has closed the connections of all
   callers. */
static void
await_drained(struct fixture *s)
{
    while (!s->drained) {
        ev_run(s->loop, EVRUN_ONCE);
    }
}

/* Sends a Query and runs the event loop for long enough that the statement
   runs at a member. */
static void
start_statement(struct fixture *s, struct client *c, const char *sql)
{
    client_start(c, sql);
    for (int i = 0; i < 50; i++) {
        ev_run(s->loop, EVRUN_NOWAIT);
        g_usleep(1000);
    }
    assert_int_equal(admission_queued(group_admission(s->groups[0]), 0), 0);
}

/* Guards against requests and transactions that are cut off without an answer
   when a graceful shutdown reaches its limit. */
static void
test_end_answers_every_request(void **state)
{
    (void)state;
    struct fixture s;
    struct client resting;
    struct client cancelled;
    struct client running;
    struct client queued;
    front_fixture_start(&s);
    group_set_surplus(s.groups[0], 0, 2, 0);
    client_open(&resting, &s, "filing", NULL);
    client_open(&cancelled, &s, "filing", NULL);
    client_open(&running, &s, "filing", NULL);
    client_open(&queued, &s, "filing", NULL);

    client_query(&resting, "BEGIN");
    client_query(&resting, "UPDATE entries SET value = '1' WHERE id = 'd'");
    client_query(&cancelled, "BEGIN");
    start_statement(&s, &cancelled, "SELECT fake_sleep(5000)");
    start_statement(&s, &running, "SELECT fake_sleep(5000)");
    client_start(&queued, "UPDATE entries SET value = '2' WHERE id = 'e'");
    while (admission_queued(group_admission(s.groups[0]), 0) == 0) {
        ev_run(s.loop, EVRUN_ONCE);
    }
    front_drain(s.front, on_drained, &s);
    front_cancel_statements(s.front);
    client_wait(&cancelled, 3);
    assert_string_equal(cancelled.errors->str, "57014 outcome=failed;");
    assert_int_equal(cancelled.status, 'E');
    assert_string_equal(running.errors->str, "");
    front_end(s.front);
    client_wait(&resting, UINT_MAX);
    client_wait(&cancelled, UINT_MAX);
    client_wait(&running, UINT_MAX);
    client_wait(&queued, UINT_MAX);
    assert_string_equal(resting.errors->str, "57P01 outcome=failed;");
    assert_string_equal(cancelled.errors->str,
                        "57014 outcome=failed;57P01 outcome=failed;");
    assert_string_equal(running.errors->str,
                        "08007 outcome=unknown;57P01 outcome=not_run;");
    assert_string_equal(queued.errors->str,
                        "57P03 outcome=not_run;57P01 outcome=not_run;");
    await_drained(&s);
    client_close(&resting);
    client_close(&cancelled);
    client_close(&running);
    client_close(&queued);
    front_fixture_stop(&s);
}

/* Guards against a COMMIT that is cut off without an answer, or reported as
   rolled back although it may take effect. */
static void
test_end_tells_that_a_commit_is_unknown(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    front_fixture_start(&s);
    client_open(&a, &s, "filing", NULL);

    client_query(&a, "BEGIN");
    client_query(&a, "UPDATE entries SET value = '1' WHERE id = 'd'");
    front_fixture_silence_primary(&s);
    start_statement(&s, &a, "COMMIT");
    front_drain(s.front, on_drained, &s);
    front_cancel_statements(s.front);
    front_end(s.front);
    client_wait(&a, UINT_MAX);
    assert_string_equal(a.errors->str, "08007 outcome=unknown;");
    await_drained(&s);
    client_close(&a);
    front_fixture_stop(&s);
}

/* Guards against a drain that closes a connection with unread input after the
   last answer: that resets the connection, and the caller may lose the
   answer. */
static void
test_drain_keeps_the_last_answer(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    GString *ahead = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&a, &s, "filing", NULL);

    start_statement(&s, &a, "SELECT fake_sleep(200)");
    front_drain(s.front, on_drained, &s);
    /* More than the proxy reads ahead. */
    while (ahead->len < 300000) {
        frame_put_query(ahead, "SELECT value FROM entries WHERE id = 'd'");
    }
    for (size_t sent = 0; sent < ahead->len;) {
        const ssize_t n = send(a.fd, ahead->str + sent, ahead->len - sent,
                               MSG_DONTWAIT | MSG_NOSIGNAL);
        sent += n > 0 ? (size_t)n : 0;
        ev_run(s.loop, EVRUN_NOWAIT);
    }
    g_string_free(ahead, TRUE);
    client_wait(&a, UINT_MAX);
    assert_string_equal(a.types->str, "TDCSZE");
    assert_string_equal(a.errors->str, "57P01 outcome=not_run;");
    await_drained(&s);
    client_close(&a);
    front_fixture_stop(&s);
}

/* Guards against a drain that waits for a caller whose last request the proxy
   has answered itself. */
static void
test_drain_ends_after_local_answers(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    GString *out = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&a, &s, "filing", NULL);

    /* Half of the request arrives before the drain. */
    frame_put_query(out, "SHOW galenastep.kind");
    assert_int_equal(send(a.fd, out->str, 8, MSG_NOSIGNAL), 8);
    for (int i = 0; i < 20; i++) {
        ev_run(s.loop, EVRUN_NOWAIT);
        g_usleep(1000);
    }
    front_drain(s.front, on_drained, &s);
    g_string_erase(out, 0, 8);
    client_send(&a, out);
    client_wait(&a, UINT_MAX);
    assert_string_equal(a.column, "filing");
    await_drained(&s);
    client_close(&a);
    front_fixture_stop(&s);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_prepared_statements_survive_pooling),
        cmocka_unit_test(test_settings_stay_with_their_session),
        cmocka_unit_test(test_transactions_do_not_mix),
        cmocka_unit_test(test_refusal_fails_the_transaction),
        cmocka_unit_test(test_unknown_history_reads_confirmed),
        cmocka_unit_test(test_oversized_message_ends_its_connection),
        cmocka_unit_test(test_cancel_reaches_the_statement),
        cmocka_unit_test(test_read_beyond_the_log_has_not_run),
        cmocka_unit_test(test_preempted_statement_runs_again),
        cmocka_unit_test(test_lost_write_is_unknown),
        cmocka_unit_test(test_request_key_runs_once),
        cmocka_unit_test(test_floor_work_has_no_lease_limit),
        cmocka_unit_test(test_drain_lets_transactions_end),
        cmocka_unit_test(test_drain_refuses_waiting_batches),
        cmocka_unit_test(test_end_answers_every_request),
        cmocka_unit_test(test_end_tells_that_a_commit_is_unknown),
        cmocka_unit_test(test_drain_keeps_the_last_answer),
        cmocka_unit_test(test_drain_ends_after_local_answers),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
