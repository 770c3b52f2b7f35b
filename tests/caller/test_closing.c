#include "caller/front_fixture.h"

#include "caller/caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* What a request gets that crosses the end of its connection or of the request
   before it: every whole request that reached the proxy is answered or refused
   with a true outcome, and an answer is not destroyed by a reset. */

/* Runs the event loop for some milliseconds. */
static void
spin(struct fixture *s, unsigned ms)
{
    for (unsigned i = 0; i < ms; i++) {
        ev_run(s->loop, EVRUN_NOWAIT);
        g_usleep(1000);
    }
}

/* Returns the types of the messages received, without ParameterStatus. The
   result is valid until the next call. */
static const char *
types_of(const struct client *c)
{
    static char types[256];
    size_t n = 0;

    for (const char *p = c->types->str; *p != '\0'; p++) {
        assert_true(n + 1 < sizeof(types));
        if (*p != 'S') {
            types[n++] = *p;
        }
    }
    types[n] = '\0';
    return types;
}

/* Guards against a request that is forgotten because the request before it was
   cancelled while it waited. */
static void
test_request_behind_cancelled_one_is_answered(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    struct client b;
    GString *out = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");
    client_open(&b, &s, "filing", "none");

    client_query(&a, "BEGIN");
    frame_put_query(out, "UPDATE entries SET value = '7' WHERE id = 'c'");
    frame_put_query(out, "SHOW galenastep.kind");
    client_send(&b, out);
    while (admission_queued(group_admission(s.groups[0]), 0) == 0) {
        ev_run(s.loop, EVRUN_ONCE);
    }
    assert_true(front_cancel(s.front, b.pid, b.secret));
    client_wait(&b, 3);
    assert_string_equal(b.errors->str, "57014 outcome=not_run;");
    assert_string_equal(types_of(&b), "EZTDCZ");
    client_close(&a);
    client_close(&b);
    front_fixture_stop(&s);
}

/* Guards against a transaction that keeps its locks because its caller, whose
   connection is ended for a malformed message, does not close its side; and
   against an error that does not tell what became of the transaction. */
static void
test_malformed_message_ends_the_transaction(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    struct client b;
    GString *out = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");
    client_open(&b, &s, "filing", "none");

    client_query(&a, "BEGIN");
    client_query(&a, "UPDATE entries SET value = '7' WHERE id = 'm'");
    g_string_append_c(out, '?');
    frame_put_u32(out, 4);
    client_send(&a, out);
    client_wait(&a, UINT_MAX);
    assert_string_equal(a.errors->str, "08P01 outcome=failed;");
    struct caller *c =
        g_hash_table_lookup(s.front->callers, GUINT_TO_POINTER(a.pid));
    assert_true(c == NULL || !c->has_connection);
    client_query(&b, "SELECT value FROM entries WHERE id = 'm'");
    assert_null(strchr(b.types->str, 'D'));
    client_close(&a);
    client_close(&b);
    front_fixture_stop(&s);
}

/* Guards against a caller that stays in the list of running exchanges, and is
   used after it was freed, when its connection is ended because the member was
   lost within its transaction. */
static void
test_lost_transaction_leaves_no_exchange(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    GString *answer = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");

    client_query(&a, "BEGIN");
    client_start(&a, "SELECT fake_sleep(20000)");
    client_start(&a, "COMMIT");
    spin(&s, 50);
    struct conn *any = g_queue_peek_head(&s.db->members[1].conns);
    assert_true(host_inject_fault(any, "kill", "0", answer));
    client_wait(&a, UINT_MAX);
    assert_string_equal(a.errors->str, "08006 outcome=failed;");
    assert_int_equal(g_queue_get_length(&s.front->running), 0);
    spin(&s, 400);
    g_string_free(answer, TRUE);
    client_close(&a);
    front_fixture_stop(&s);
}

/* The optional argument selects tests by a pattern. */
int
main(int argc, char **argv)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_request_behind_cancelled_one_is_answered),
        cmocka_unit_test(test_malformed_message_ends_the_transaction),
        cmocka_unit_test(test_lost_transaction_leaves_no_exchange),
    };
    if (argc > 1) {
        cmocka_set_test_filter(argv[1]);
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
