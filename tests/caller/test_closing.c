#include "caller/front_fixture.h"

#include "caller/caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
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

static void
on_drained(void *ctx)
{
    ((struct fixture *)ctx)->drained = true;
}

static void
await_drained(struct fixture *s)
{
    while (!s->drained) {
        ev_run(s->loop, EVRUN_ONCE);
    }
}

/* Opens a connection and sends nothing. */
static void
client_connect(struct client *c, struct fixture *s)
{
    const struct sockaddr_in a = {
        .sin_family = AF_INET,
        .sin_port = htons(s->port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };

    *c = (struct client){.fixture = s,
                         .fd = socket(AF_INET, SOCK_STREAM, 0),
                         .in = g_string_new(NULL),
                         .types = g_string_new(NULL),
                         .errors = g_string_new(NULL)};
    assert_int_equal(connect(c->fd, (const struct sockaddr *)&a, sizeof(a)),
                     0);
}

/* Appends a start-up packet. name and value are a further parameter; name may
   be NULL. */
static void
put_startup(GString *out, const char *name, const char *value)
{
    const size_t at = out->len;

    frame_put_u32(out, 0);
    frame_put_u32(out, FRAME_STARTUP_VERSION);
    frame_put_cstring(out, "user");
    frame_put_cstring(out, "clerk");
    frame_put_cstring(out, "database");
    frame_put_cstring(out, "boats");
    if (name != NULL) {
        frame_put_cstring(out, name);
        frame_put_cstring(out, value);
    }
    g_string_append_c(out, '\0');
    frame_end(out, at);
}

static void
put_cancel(GString *out, uint32_t pid, uint32_t secret)
{
    const size_t at = out->len;

    frame_put_u32(out, 0);
    frame_put_u32(out, FRAME_CANCEL_CODE);
    frame_put_u32(out, pid);
    frame_put_u32(out, secret);
    frame_end(out, at);
}

/* Appends Bind with one text parameter and Execute. */
static void
put_bind_execute(GString *out, const char *name, const char *value)
{
    put_bind_execute_sync(out, name, value);
    g_string_truncate(out, out->len - FRAME_HEADER_BYTES);
}

/* Appends a read whose answer is requested with Flush. */
static void
put_read_flush(GString *out, const char *value)
{
    put_parse(out, "", "SELECT value FROM entries WHERE id = $1");
    put_bind_execute(out, "", value);
    frame_end(out, frame_begin(out, 'H'));
}

/* Sends a part of a buffer, without waiting for the acknowledgement of earlier
   parts. */
static void
send_part(struct client *c, const GString *out, size_t from, size_t to)
{
    const int on = 1;

    setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    assert_int_equal(send(c->fd, out->str + from, to - from, MSG_NOSIGNAL),
                     (ssize_t)(to - from));
}

/* Clears the record of the answers. */
static void
clear_record(struct client *c)
{
    client_send(c, g_string_new(NULL));
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

/* Returns the number of rows with the given id. */
static int
count_rows(struct fixture *s, const char *id)
{
    struct client c;
    char sql[96];

    client_open(&c, s, "filing", NULL);
    g_snprintf(sql, sizeof(sql), "SELECT value FROM entries WHERE id = '%s'",
               id);
    client_query(&c, sql);
    const int n = strchr(c.types->str, 'D') != NULL;
    client_close(&c);
    return n;
}

/* Guards against a Sync behind a Flush that is not sent to the member until
   the caller sends more, wherever the caller's bytes are cut. */
static void
test_request_behind_flush_is_answered(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    GString *out = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");
    client_query(&a, "INSERT INTO entries (id, value) VALUES ('x', '7')");

    put_read_flush(out, "x");
    put_bind_execute(out, "", "x");
    frame_end(out, frame_begin(out, 'S'));
    frame_put_query(out, "SHOW galenastep.kind");
    for (size_t cut = 0; cut <= out->len; cut++) {
        clear_record(&a);
        send_part(&a, out, 0, cut);
        spin(&s, cut % 4);
        send_part(&a, out, cut, out->len);
        client_wait(&a, a.ready + 2);
        assert_string_equal(a.errors->str, "");
        assert_string_equal(types_of(&a), "12DC2DCZTDCZ");
    }
    g_string_free(out, TRUE);
    client_close(&a);
    front_fixture_stop(&s);
}

/* Guards against a Sync behind a Flush that is forgotten while the request
   waits for a connection. */
static void
test_queued_request_behind_flush_is_answered(void **state)
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
    put_parse(out, "", "UPDATE entries SET value = $1 WHERE id = 'q'");
    put_bind_execute(out, "", "7");
    frame_end(out, frame_begin(out, 'H'));
    frame_end(out, frame_begin(out, 'S'));
    client_send(&b, out);
    while (admission_queued(group_admission(s.groups[0]), 0) == 0) {
        ev_run(s.loop, EVRUN_ONCE);
    }
    client_query(&a, "COMMIT");
    client_wait(&b, 2);
    assert_string_equal(b.errors->str, "");
    assert_string_equal(types_of(&b), "12CZ");
    client_close(&a);
    client_close(&b);
    front_fixture_stop(&s);
}

/* Guards against a message behind a Flush that is never read because it is
   larger than what is read ahead. */
static void
test_large_message_behind_flush_is_answered(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    char *value = g_strnfill(60000, 'v');
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");

    GString *out = g_string_new(NULL);
    put_read_flush(out, "x");
    client_send(&a, out);
    while (strchr(a.types->str, 'C') == NULL) {
        ev_run(s.loop, EVRUN_ONCE);
        client_poll(&a);
    }
    out = g_string_new(NULL);
    put_bind_execute(out, "", value);
    put_bind_execute(out, "", value);
    frame_end(out, frame_begin(out, 'S'));
    client_send(&a, out);
    client_wait(&a, 2);
    assert_string_equal(a.errors->str, "");
    assert_string_equal(types_of(&a), "2C2CZ");
    g_free(value);
    client_close(&a);
    front_fixture_stop(&s);
}

/* Kills the primary, so that the connections to it are lost. */
static void
kill_primary(struct fixture *s)
{
    GString *answer = g_string_new(NULL);
    struct conn *any = g_queue_peek_head(&s->db->members[1].conns);

    assert_true(host_inject_fault(any, "kill", "0", answer));
    g_string_free(answer, TRUE);
    spin(s, 50);
}

/* Guards against messages that run, on another connection, although the part
   before their Flush was lost and the caller was told so. */
static void
test_lost_flush_drops_the_rest(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    GString *out = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");

    /* Opens the connection that becomes silent. */
    client_query(&a, "UPDATE entries SET value = '1' WHERE id = 'other'");
    put_parse(out, "", "INSERT INTO entries (id, value) VALUES ('l', $1)");
    put_bind_execute(out, "", "6");
    frame_end(out, frame_begin(out, 'H'));
    const size_t flush = out->len;
    put_bind_execute(out, "", "7");
    const size_t bind = out->len - FRAME_HEADER_BYTES - 5;
    frame_end(out, frame_begin(out, 'S'));
    frame_put_query(out, "SHOW galenastep.kind");
    clear_record(&a);
    front_fixture_silence_primary(&s);
    send_part(&a, out, 0, flush);
    spin(&s, 20);
    send_part(&a, out, flush, bind);
    spin(&s, 20);
    kill_primary(&s);
    send_part(&a, out, bind, out->len);
    client_wait(&a, 4);
    assert_true(g_str_has_prefix(a.errors->str, "08007 outcome=unknown;"));
    assert_null(strchr(a.types->str, '2'));
    assert_int_equal(count_rows(&s, "l"), 0);
    g_string_free(out, TRUE);
    client_close(&a);
    front_fixture_stop(&s);
}

/* Guards against a COMMIT before a Flush that is reported as rolled back
   because a message behind the Flush has arrived. */
static void
test_lost_commit_before_flush_is_unknown(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    GString *out = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");

    client_query(&a, "BEGIN");
    client_query(&a, "UPDATE entries SET value = '7' WHERE id = 'l'");
    put_parse(out, "", "COMMIT");
    const size_t at = frame_begin(out, 'B');
    g_string_append_len(out, "\0\0\0\0\0\0\0", 8);
    frame_end(out, at);
    const size_t execute = frame_begin(out, 'E');
    frame_put_cstring(out, "");
    frame_put_u32(out, 0);
    frame_end(out, execute);
    frame_end(out, frame_begin(out, 'H'));
    const size_t flush = out->len;
    put_parse(out, "next", "SELECT 1");
    clear_record(&a);
    front_fixture_silence_primary(&s);
    send_part(&a, out, 0, flush);
    spin(&s, 20);
    send_part(&a, out, flush, out->len);
    spin(&s, 20);
    kill_primary(&s);
    client_wait(&a, UINT_MAX);
    assert_string_equal(a.errors->str, "08007 outcome=unknown;");
    g_string_free(out, TRUE);
    client_close(&a);
    front_fixture_stop(&s);
}

/* Guards against a Flush behind a read whose answer is dropped: the member
   ends that run only at a Sync. No member can serve the read, since its token
   is beyond the group's log. */
static void
test_dropped_answer_before_flush_is_retried(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    GString *out = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "v1:boats:65536:123456");

    put_read_flush(out, "x");
    const size_t flush = out->len;
    put_bind_execute(out, "", "x");
    frame_end(out, frame_begin(out, 'S'));
    frame_put_query(out, "SHOW galenastep.kind");
    clear_record(&a);
    send_part(&a, out, 0, flush);
    while (strchr(a.types->str, 'E') == NULL) {
        ev_run(s.loop, EVRUN_ONCE);
        client_poll(&a);
    }
    send_part(&a, out, flush, out->len);
    client_wait(&a, 3);
    assert_non_null(strstr(a.errors->str, " outcome=not_run;"));
    assert_string_equal(types_of(&a), "EZTDCZ");
    g_string_free(out, TRUE);
    client_close(&a);
    front_fixture_stop(&s);
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

/* Guards against a statement that runs, with the settings of another session,
   although the member has rejected a setting of its own session. */
static void
test_statement_behind_rejected_setting_does_not_run(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    struct client b;
    GString *out = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&b, &s, "filing", "none");
    client_query(&b, "SET work.mem = '5'");
    client_connect(&a, &s);
    /* A name that begins with a digit is a syntax error. */
    put_startup(out, "9setting", "on");
    client_send(&a, out);
    client_wait(&a, 1);

    client_query(&a, "INSERT INTO entries (id, value) VALUES ('s', '7')");
    assert_string_equal(a.errors->str, "42601 outcome=not_run;");
    assert_string_equal(types_of(&a), "EZ");
    assert_int_equal(count_rows(&s, "s"), 0);
    client_query(&a, "SELECT fake_session()");
    assert_string_equal(a.column, "");
    assert_non_null(strstr(a.errors->str, "42601 outcome="));
    client_query(&a, "BEGIN");
    assert_int_equal(a.status, 'I');
    assert_non_null(strstr(a.errors->str, "42601 outcome="));
    client_query(&a, "SET galenastep.request_key = 'k'");
    client_query(&a, "INSERT INTO entries (id, value) VALUES ('s', '7')");
    assert_string_equal(a.errors->str, "42601 outcome=not_run;");
    assert_int_equal(count_rows(&s, "s"), 0);
    client_query(&a, "RESET ALL");
    client_query(&a, "INSERT INTO entries (id, value) VALUES ('s', '7')");
    assert_string_equal(a.errors->str, "");
    assert_int_equal(count_rows(&s, "s"), 1);
    client_close(&a);
    client_close(&b);
    front_fixture_stop(&s);
}

/* Guards against a refusal for too many callers that is destroyed by a reset
   because the start-up packet was not read. */
static void
test_surplus_caller_reads_its_refusal(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    struct client b;
    GString *out = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");
    s.settings->max_callers = 1;

    put_startup(out, NULL, NULL);
    frame_put_query(out, "SELECT 1");
    for (size_t cut = 0; cut <= out->len; cut++) {
        client_connect(&b, &s);
        send_part(&b, out, 0, cut);
        spin(&s, 3);
        if (cut < out->len) {
            /* A reset that is already here makes this fail. */
            send(b.fd, out->str + cut, out->len - cut, MSG_NOSIGNAL);
        }
        spin(&s, 3);
        client_wait(&b, UINT_MAX);
        assert_string_equal(b.errors->str, "53300 outcome=not_run;");
        client_close(&b);
    }
    client_query(&a, "SELECT 1");
    assert_string_equal(a.column, "1");
    g_string_free(out, TRUE);
    client_close(&a);
    front_fixture_stop(&s);
}

/* Guards against a cancel request that is discarded because there are too many
   callers, or because a drain began while it was on its way. */
static void
test_refused_connection_can_cancel(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    struct client b;
    GString *out = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");

    put_cancel(out, a.pid, a.secret);
    for (size_t cut = 0; cut <= out->len + 1; cut++) {
        const bool drain = cut > out->len;
        const size_t first = drain ? 7 : cut;
        client_start(&a, "SELECT fake_sleep(4000)");
        spin(&s, 20);
        s.settings->max_callers = drain ? 10 : 1;
        client_connect(&b, &s);
        send_part(&b, out, 0, first);
        spin(&s, 5);
        if (drain) {
            front_drain(s.front, on_drained, &s);
        }
        send_part(&b, out, first, out->len);
        client_wait(&a, a.ready + 1);
        assert_true(g_str_has_prefix(a.errors->str, "57014 outcome=failed;"));
        client_close(&b);
    }
    await_drained(&s);
    g_string_free(out, TRUE);
    client_close(&a);
    front_fixture_stop(&s);
}

/* Guards against connections that a drain resets because they were not
   accepted yet. */
static void
test_drain_refuses_pending_connections(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    GString *out = g_string_new(NULL);
    front_fixture_start(&s);

    client_connect(&a, &s);
    put_startup(out, NULL, NULL);
    frame_put_query(out, "SELECT 1");
    client_send(&a, out);
    front_drain(s.front, on_drained, &s);
    client_wait(&a, UINT_MAX);
    assert_string_equal(a.errors->str, "57P01 outcome=not_run;");
    await_drained(&s);
    client_close(&a);
    front_fixture_stop(&s);
}

/* Guards against a cancel request that a drain discards because it was not
   read yet. */
static void
test_drain_serves_unread_cancel(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    struct client b;
    GString *out = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");
    client_connect(&b, &s);
    client_start(&a, "SELECT fake_sleep(4000)");
    spin(&s, 50);

    put_cancel(out, a.pid, a.secret);
    client_send(&b, out);
    front_drain(s.front, on_drained, &s);
    client_wait(&a, 2);
    assert_true(g_str_has_prefix(a.errors->str, "57014 outcome=failed;"));
    await_drained(&s);
    client_close(&a);
    client_close(&b);
    front_fixture_stop(&s);
}

/* Sends two requests, of which first_bytes arrive before the drain begins and
   are read before it if is_read. Checks the answers against the table. */
static void
check_drain(size_t first_bytes, bool is_read, bool all_before)
{
    struct fixture s;
    struct client a;
    struct client other;
    GString *out = g_string_new(NULL);
    front_fixture_start(&s);
    group_set_surplus(s.groups[0], 0, 2, 0);
    client_open(&a, &s, "filing", "none");
    /* Holds up the drain until the effect has been looked at. */
    client_open(&other, &s, "filing", "none");
    client_query(&other, "BEGIN");

    frame_put_query(out, "SHOW galenastep.kind");
    frame_put_query(out, "INSERT INTO entries (id, value) VALUES ('d', '7')");
    const size_t first = MIN(first_bytes, out->len);
    clear_record(&a);
    send_part(&a, out, 0, first);
    if (is_read) {
        spin(&s, 5);
    }
    front_drain(s.front, on_drained, &s);
    if (!all_before) {
        send(a.fd, out->str + first, out->len - first, MSG_NOSIGNAL);
    }
    client_wait(&a, UINT_MAX);
    const char *types = types_of(&a);
    /* Ends with a refusal of all that was not answered. */
    assert_true(g_str_has_suffix(types, "E"));
    assert_true(g_str_has_suffix(a.errors->str, "57P01 outcome=not_run;"));
    if (first_bytes > 0) {
        assert_true(g_str_has_prefix(types, "TDCZ"));
    }
    assert_true(strcmp(types, "E") == 0 || strcmp(types, "TDCZE") == 0 ||
                strcmp(types, "TDCZCZE") == 0);
    const bool ran = strcmp(types, "TDCZCZE") == 0;
    client_query(&other, "SELECT value FROM entries WHERE id = 'd'");
    assert_int_equal(strchr(other.types->str, 'D') != NULL, ran);
    client_query(&other, "COMMIT");
    await_drained(&s);
    g_string_free(out, TRUE);
    client_close(&a);
    client_close(&other);
    front_fixture_stop(&s);
}

/* Guards against a drain that ends an idle connection on which a request, or
   the beginning of one, has arrived. */
static void
test_drain_at_every_step_of_a_request(void **state)
{
    static const size_t cuts[] = {0, 1, 5, 20, 26, 27, 40, SIZE_MAX};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cuts); i++) {
        check_drain(cuts[i], false, false);
        check_drain(cuts[i], true, false);
    }
    check_drain(SIZE_MAX, false, true);
    check_drain(SIZE_MAX, true, true);
}

/* Guards against a drain that waits for a caller which has sent nothing but
   messages that are answered without a request. */
static void
test_drain_ends_after_skipped_messages(void **state)
{
    (void)state;
    struct fixture s;
    struct client a;
    GString *out = g_string_new(NULL);
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");

    put_bind_execute(out, "missing", "x");
    frame_end(out, frame_begin(out, 'H'));
    client_send(&a, out);
    spin(&s, 5);
    out = g_string_new(NULL);
    frame_end(out, frame_begin(out, 'S'));
    client_send(&a, out);
    front_drain(s.front, on_drained, &s);
    client_wait(&a, UINT_MAX);
    assert_string_equal(a.types->str, "EZE");
    await_drained(&s);
    client_close(&a);
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
    client_query(&a, "INSERT INTO entries (id, value) VALUES ('m', '7')");
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
    front_fixture_start(&s);
    client_open(&a, &s, "filing", "none");

    client_query(&a, "BEGIN");
    client_start(&a, "SELECT fake_sleep(20000)");
    client_start(&a, "COMMIT");
    spin(&s, 50);
    kill_primary(&s);
    client_wait(&a, UINT_MAX);
    assert_string_equal(a.errors->str, "08006 outcome=failed;");
    assert_int_equal(g_queue_get_length(&s.front->running), 0);
    spin(&s, 400);
    client_close(&a);
    front_fixture_stop(&s);
}

/* The optional argument selects tests by a pattern. */
int
main(int argc, char **argv)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_request_behind_flush_is_answered),
        cmocka_unit_test(test_queued_request_behind_flush_is_answered),
        cmocka_unit_test(test_large_message_behind_flush_is_answered),
        cmocka_unit_test(test_lost_flush_drops_the_rest),
        cmocka_unit_test(test_lost_commit_before_flush_is_unknown),
        cmocka_unit_test(test_dropped_answer_before_flush_is_retried),
        cmocka_unit_test(test_request_behind_cancelled_one_is_answered),
        cmocka_unit_test(test_statement_behind_rejected_setting_does_not_run),
        cmocka_unit_test(test_surplus_caller_reads_its_refusal),
        cmocka_unit_test(test_refused_connection_can_cancel),
        cmocka_unit_test(test_drain_refuses_pending_connections),
        cmocka_unit_test(test_drain_serves_unread_cancel),
        cmocka_unit_test(test_drain_at_every_step_of_a_request),
        cmocka_unit_test(test_drain_ends_after_skipped_messages),
        cmocka_unit_test(test_malformed_message_ends_the_transaction),
        cmocka_unit_test(test_lost_transaction_leaves_no_exchange),
    };
    if (argc > 1) {
        cmocka_set_test_filter(argv[1]);
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
