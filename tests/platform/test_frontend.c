#include "frontend.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Tests of the callers' connections while the process stops. The functions of
   the node and of sessions that the frontend calls are replaced by simple
   ones, so that a test decides when a request is answered. */

#define LOOP_STEP_S 0.01
/* Limit for each wait, far above what it takes. */
#define WAIT_MAX_STEPS 500
/* More than the socket buffers of both sides hold. */
#define LARGE_ROW_BYTES ((size_t)900000)
#define LARGE_ROWS 16

struct session {
    const struct session_events *events;
    void *ctx;
    bool pending;
    int requests;
    enum transaction_state state;
};

static struct catalog *catalog;
static struct session *newest; /* the session that was opened last */
static enum failure key_check; /* result of relay_check_key() */
static char checked_key[64];   /* that relay_check_key() was given last */
/* If not FAILURE_NONE, requests are answered with it at once. */
static enum failure answer_at_once;
static bool key_is_valid;       /* result of session_key_is_valid() */
static bool may_have_committed; /* of session_may_have_committed() */

struct catalog *
node_catalog(struct node *n)
{
    (void)n;
    return catalog;
}

int64_t
node_catalog_age_ms(const struct node *n)
{
    (void)n;
    return 0;
}

struct relay *
node_relay(struct node *n)
{
    (void)n;
    return NULL;
}

enum failure
relay_check_key(struct relay *r, const struct catalog *c,
                const struct database_route *route, struct sview api_key)
{
    (void)r;
    (void)c;
    (void)route;
    g_snprintf(checked_key, sizeof(checked_key), "%.*s", (int)api_key.n,
               api_key.p);
    return key_check;
}

struct session *
session_create(struct relay *r, const char *database, struct sview api_key,
               const struct session_events *events, void *ctx)
{
    (void)r;
    (void)database;
    (void)api_key;
    newest = g_new0(struct session, 1);
    newest->events = events;
    newest->ctx = ctx;
    return newest;
}

void
session_end(struct session *s)
{
    newest = newest == s ? NULL : newest;
    g_free(s);
}

bool
session_is_idle(const struct session *s)
{
    return !s->pending && s->state == TRANSACTION_NONE;
}

bool
session_may_have_committed(const struct session *s)
{
    (void)s;
    return may_have_committed;
}

bool
session_key_is_valid(const struct session *s)
{
    (void)s;
    return key_is_valid;
}

enum transaction_state
session_transaction_state(const struct session *s)
{
    return s->state;
}

void
session_request(struct session *s, const struct request *r)
{
    (void)r;
    s->pending = true;
    s->requests++;
    if (answer_at_once != FAILURE_NONE) {
        const struct answer a = {.failure = answer_at_once,
                                 .detail = SVIEW("not now"),
                                 .state = s->state};
        s->pending = false;
        s->events->answered(s->ctx, &a);
    }
}

/* Answers the request in progress with a failure, and the session's state. */
static void
answer_failure(struct session *s, enum failure why,
               enum transaction_state state)
{
    const struct answer a = {
        .failure = why, .detail = SVIEW("not now"), .state = state};

    s->pending = false;
    s->state = state;
    s->events->answered(s->ctx, &a);
}

/* Answers the request in progress with so many rows of the same text. */
static void
answer(struct session *s, struct sview row, size_t rows)
{
    struct sview *list = g_new(struct sview, rows + 1);

    for (size_t i = 0; i < rows; i++) {
        list[i] = row;
    }
    const struct answer a = {.rows = list, .n_rows = rows};
    s->pending = false;
    s->events->answered(s->ctx, &a);
    g_free(list);
}

struct fixture {
    struct ev_loop *loop;
    struct frontend *frontend;
    struct endpoint address;
    int fd; /* of the caller */
};

static void
on_step_end(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)w;
    (void)revents;
    ev_break(loop, EVBREAK_ONE);
}

/* Runs the loop for LOOP_STEP_S. */
static void
run_loop(struct fixture *f)
{
    ev_timer t;

    ev_timer_init(&t, on_step_end, LOOP_STEP_S, 0.0);
    ev_timer_start(f->loop, &t);
    ev_run(f->loop, 0);
    ev_timer_stop(f->loop, &t);
}

static void
send_text(struct fixture *f, const char *text)
{
    const ssize_t n = (ssize_t)strlen(text);

    assert_int_equal(send(f->fd, text, (size_t)n, MSG_NOSIGNAL), n);
}

/* Reads until the proxy has ended the connection, or for WAIT_MAX_STEPS.
   Returns the text read, to be freed; a reset fails the test. */
static GString *
read_to_end(struct fixture *f)
{
    GString *s = g_string_new(NULL);
    char buffer[65536];

    for (int i = 0; i < WAIT_MAX_STEPS;) {
        const ssize_t n = recv(f->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (n == 0) {
            return s;
        }
        if (n > 0) {
            g_string_append_len(s, buffer, n);
            continue;
        }
        assert_int_equal(errno, EAGAIN);
        run_loop(f);
        i++;
    }
    fail_msg("the connection is still open");
    return s;
}

/* Connects a caller, which has received the answer to STARTUP. */
static void
setup(struct fixture *f)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    struct database_route *r = g_new0(struct database_route, 1);
    socklen_t n = sizeof(a);
    char buffer[64];
    char *error = NULL;

    memset(f, 0, sizeof(*f));
    key_check = FAILURE_NONE;
    answer_at_once = FAILURE_NONE;
    key_is_valid = true;
    may_have_committed = false;
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(probe, (struct sockaddr *)&a, sizeof(a)), 0);
    assert_int_equal(getsockname(probe, (struct sockaddr *)&a, &n), 0);
    close(probe);
    g_strlcpy(f->address.host, "127.0.0.1", sizeof(f->address.host));
    f->address.port = ntohs(a.sin_port);
    catalog = catalog_create(1);
    r->database = g_strdup("boats");
    r->service = g_strdup("svc");
    catalog_add_route(catalog, r);
    f->loop = ev_loop_new(EVFLAG_AUTO);
    f->frontend = frontend_create(f->loop, &f->address, NULL, &error);
    assert_non_null(f->frontend);
    f->fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(connect(f->fd, (struct sockaddr *)&a, sizeof(a)), 0);
    send_text(f, "STARTUP boats me\r\n");
    ssize_t got;
    do {
        run_loop(f);
        got = recv(f->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    } while (got < 0);
    assert_int_equal(got, strlen("READY I -\r\n"));
}

static void
teardown(struct fixture *f)
{
    frontend_destroy(f->frontend);
    close(f->fd);
    ev_loop_destroy(f->loop);
    catalog_unref(catalog);
}

/* Waits until the session has received so many requests. */
static void
await_requests(struct fixture *f, int count)
{
    for (int i = 0; i < WAIT_MAX_STEPS && newest->requests < count; i++) {
        run_loop(f);
    }
    assert_int_equal(newest->requests, count);
}

static int
count_text(const GString *s, const char *text)
{
    int n = 0;

    for (const char *p = s->str; (p = strstr(p, text)) != NULL; p++) {
        n++;
    }
    return n;
}

/* Guards against a proxy that disconnects a caller after an answer although
   the next request has arrived and was not read yet: the unread request resets
   the connection and is not answered. */
static void
test_unread_request_is_answered(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    send_text(&f, "QUERY q1 READ a\r\n");
    await_requests(&f, 1);
    frontend_drain(f.frontend);
    send_text(&f, "QUERY q2 READ b\r\n");
    answer(newest, SVIEW("x"), 1);
    assert_int_equal(frontend_caller_count(f.frontend), 1);
    await_requests(&f, 2);
    answer(newest, SVIEW("y"), 1);
    GString *s = read_to_end(&f);
    assert_int_equal(count_text(s, "COMPLETE "), 2);
    g_string_free(s, TRUE);
    teardown(&f);
}

/* Guards against the same with several requests in one packet. */
static void
test_requests_of_one_packet_are_answered(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    send_text(&f, "QUERY q1 READ a\r\nQUERY q2 READ b\r\nQUERY q3 READ c\r\n");
    await_requests(&f, 1);
    frontend_drain(f.frontend);
    for (int i = 1; i <= 3; i++) {
        await_requests(&f, i);
        answer(newest, SVIEW("x"), 1);
    }
    GString *s = read_to_end(&f);
    assert_int_equal(count_text(s, "COMPLETE "), 3);
    g_string_free(s, TRUE);
    teardown(&f);
}

/* Guards against a process that ends while a caller has yet to read an answer:
   the part that did not fit into the socket was discarded. */
static void
test_slow_caller_gets_its_answer(void **state)
{
    struct fixture f;
    char *row = g_strnfill(LARGE_ROW_BYTES, 'x');

    (void)state;
    setup(&f);
    send_text(&f, "QUERY q1 READ a\r\n");
    await_requests(&f, 1);
    answer(newest, sview_from(row), LARGE_ROWS);
    frontend_drain(f.frontend);
    frontend_close_all(f.frontend);
    assert_int_equal(frontend_caller_count(f.frontend), 1);
    GString *s = read_to_end(&f);
    assert_int_equal(count_text(s, "COMPLETE "), 1);
    assert_int_equal(count_text(s, "READY "), 1);
    assert_true(s->len > LARGE_ROW_BYTES * LARGE_ROWS);
    g_string_free(s, TRUE);
    g_free(row);
    teardown(&f);
}

/* Guards against an error that the caller can't read, because the rest of its
   input was not read when the connection was closed. */
static void
test_error_reaches_the_caller(void **state)
{
    struct fixture f;
    char *text = g_strnfill(LARGE_ROW_BYTES, 'x');

    (void)state;
    setup(&f);
    /* The line is over the limit, and more of it follows than is read at
       once. */
    for (int i = 0; i < 3; i++) {
        for (size_t sent = 0; sent < LARGE_ROW_BYTES;) {
            const ssize_t n = send(f.fd, text + sent, LARGE_ROW_BYTES - sent,
                                   MSG_DONTWAIT | MSG_NOSIGNAL);
            if (n > 0) {
                sent += (size_t)n;
                continue;
            }
            assert_int_equal(errno, EAGAIN);
            run_loop(&f);
        }
    }
    GString *s = read_to_end(&f);
    assert_int_equal(count_text(s, "ERROR "), 1);
    g_string_free(s, TRUE);
    g_free(text);
    teardown(&f);
}

/* Guards against a stop that waits for callers which keep their side open. */
static void
test_open_caller_does_not_delay_the_stop(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    frontend_drain(f.frontend);
    GString *s = read_to_end(&f);
    assert_string_equal(s->str, "ERROR BUSY shutting down\r\n");
    g_string_free(s, TRUE);
    for (int i = 0;
         i < WAIT_MAX_STEPS && frontend_caller_count(f.frontend) > 0; i++) {
        run_loop(&f);
    }
    assert_int_equal(frontend_caller_count(f.frontend), 0);
    teardown(&f);
}

/* Guards against a caller that is disconnected without an answer because it
   still waits for the configuration. */
static void
test_waiting_caller_is_refused(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    send_text(&f, "TERMINATE\r\n");
    catalog_unref(catalog);
    catalog = catalog_create(0);
    GString *s = read_to_end(&f);
    g_string_free(s, TRUE);
    close(f.fd);
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                            .sin_port = htons(f.address.port)};
    f.fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(connect(f.fd, (struct sockaddr *)&a, sizeof(a)), 0);
    send_text(&f, "STARTUP boats me\r\n");
    run_loop(&f);
    run_loop(&f);
    frontend_drain(f.frontend);
    frontend_close_all(f.frontend);
    s = read_to_end(&f);
    assert_int_equal(count_text(s, "ERROR BUSY "), 1);
    g_string_free(s, TRUE);
    teardown(&f);
}

/* Replaces the caller's connection by a new one. */
static void
reconnect(struct fixture *f)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                            .sin_port = htons(f->address.port)};

    close(f->fd);
    for (int i = 0;
         i < WAIT_MAX_STEPS && frontend_caller_count(f->frontend) > 0; i++) {
        run_loop(f);
    }
    f->fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(connect(f->fd, (struct sockaddr *)&a, sizeof(a)), 0);
}

/* Guards against a session with a key that was not accepted, against an answer
   to the requests that follow at once, and against the wrong code; also for a
   caller that waited for the configuration. */
static void
test_key_is_refused_at_the_start(void **state)
{
    static const struct {
        enum failure why;
        bool waits;
        const char *answer;
    } cases[] = {
        {FAILURE_UNAUTHORIZED, false, "ERROR UNAUTH unknown API key\r\n"},
        {FAILURE_UNAUTHORIZED, true, "ERROR UNAUTH unknown API key\r\n"},
        {FAILURE_BUSY, false, "ERROR BUSY configuration_stale\r\n"},
        {FAILURE_BUSY, true, "ERROR BUSY configuration_stale\r\n"},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct fixture f;
        setup(&f);
        reconnect(&f);
        key_check = cases[i].why;
        catalog->version = cases[i].waits ? 0 : 1;
        send_text(&f, "STARTUP boats the key\r\nQUERY q1 READ a\r\n"
                      "QUERY q2 WRITE a b\r\n");
        for (int k = 0; k < 5; k++) {
            run_loop(&f);
        }
        catalog->version = 1;
        GString *s = read_to_end(&f);
        assert_string_equal(s->str, cases[i].answer);
        assert_string_equal(checked_key, "the key");
        assert_null(newest);
        g_string_free(s, TRUE);
        teardown(&f);
    }
}

/* Waits until no caller is connected. */
static void
await_no_caller(struct fixture *f)
{
    for (int i = 0;
         i < WAIT_MAX_STEPS && frontend_caller_count(f->frontend) > 0; i++) {
        run_loop(f);
    }
    assert_int_equal(frontend_caller_count(f->frontend), 0);
}

/* Guards against requests behind a refused key that get no answer, and against
   a caller that stays connected after them. */
static void
test_requests_behind_a_refused_key_are_answered(void **state)
{
    (void)state;
    for (int at_once = 0; at_once < 2; at_once++) {
        struct fixture f;
        setup(&f);
        send_text(&f, "QUERY q1 READ a\r\n");
        await_requests(&f, 1);
        send_text(&f, "QUERY q2 WRITE a b\r\nQUERY q3 READ a\r\n"
                      "QUERY q4 COMMIT\r\n");
        key_is_valid = false;
        answer_at_once = at_once ? FAILURE_UNAUTHORIZED : FAILURE_NONE;
        answer(newest, SVIEW("x"), 1);
        for (int i = 2; !at_once && i <= 4; i++) {
            await_requests(&f, i);
            answer_failure(newest, FAILURE_UNAUTHORIZED,
                           i < 4 ? TRANSACTION_FAILED : TRANSACTION_NONE);
        }
        GString *s = read_to_end(&f);
        assert_null(newest);
        assert_int_equal(count_text(s, "COMPLETE "), 1);
        assert_int_equal(count_text(s, "ERROR UNAUTH not now\r\n"), 3);
        assert_int_equal(count_text(s, "READY "), 4);
        g_string_free(s, TRUE);
        await_no_caller(&f);
        teardown(&f);
    }
}

/* Guards against a connection that is ended while the caller has yet to end
   its failed transaction: its ROLLBACK got no answer. */
static void
test_refused_key_does_not_end_a_transaction(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    send_text(&f, "QUERY q1 READ a\r\n");
    await_requests(&f, 1);
    key_is_valid = false;
    answer_failure(newest, FAILURE_UNAUTHORIZED, TRANSACTION_FAILED);
    run_loop(&f);
    run_loop(&f);
    send_text(&f, "QUERY q1 ROLLBACK\r\n");
    await_requests(&f, 2);
    newest->state = TRANSACTION_NONE;
    answer(newest, SVIEW("x"), 0);
    GString *s = read_to_end(&f);
    assert_int_equal(count_text(s, "ERROR UNAUTH not now"), 1);
    assert_int_equal(count_text(s, "COMPLETE "), 1);
    g_string_free(s, TRUE);
    await_no_caller(&f);
    teardown(&f);
}

/* Guards against callers without a valid key that stay connected, idle or in a
   failed transaction, and against one that is disconnected although its key
   has become valid again. */
static void
test_caller_without_a_key_is_disconnected(void **state)
{
    static const enum transaction_state states[] = {
        TRANSACTION_NONE, TRANSACTION_OPEN, TRANSACTION_FAILED};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(states); i++) {
        struct fixture f;
        setup(&f);
        newest->state = states[i];
        key_is_valid = false;
        for (int k = 0; k < UNAUTHORIZED_CALLER_MAX_MS / 20; k++) {
            run_loop(&f);
        }
        assert_non_null(newest);
        key_is_valid = true;
        for (int k = 0; k < UNAUTHORIZED_CALLER_MAX_MS / 5; k++) {
            run_loop(&f);
        }
        assert_non_null(newest);
        key_is_valid = false;
        GString *s = read_to_end(&f);
        assert_string_equal(s->str, "ERROR UNAUTH API key is not valid\r\n");
        g_string_free(s, TRUE);
        await_no_caller(&f);
        teardown(&f);
    }
}

/* Guards against a request in progress that gets no answer because its caller
   has had no valid key for too long. */
static void
test_request_outlasts_the_time_without_a_key(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    send_text(&f, "QUERY q1 READ a\r\n");
    await_requests(&f, 1);
    key_is_valid = false;
    for (int k = 0; k < UNAUTHORIZED_CALLER_MAX_MS / 5; k++) {
        run_loop(&f);
    }
    answer(newest, SVIEW("x"), 1);
    GString *s = read_to_end(&f);
    assert_int_equal(count_text(s, "COMPLETE "), 1);
    g_string_free(s, TRUE);
    teardown(&f);
}

/* Guards against closing the connection for a refusal that may pass. */
static void
test_busy_keeps_the_connection(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    answer_at_once = FAILURE_BUSY;
    send_text(&f, "QUERY q1 READ a\r\nQUERY q2 READ a\r\n");
    await_requests(&f, 2);
    assert_non_null(newest);
    frontend_drain(f.frontend);
    GString *s = read_to_end(&f);
    assert_int_equal(count_text(s, "ERROR BUSY not now retry_after_ms="), 2);
    g_string_free(s, TRUE);
    teardown(&f);
}

/* Guards against requests behind a refused key that get no answer because the
   process stops, and against a connection that stays open. */
static void
test_key_is_refused_during_the_stop(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    send_text(&f, "QUERY q1 READ a\r\n");
    await_requests(&f, 1);
    frontend_drain(f.frontend);
    key_is_valid = false;
    answer_at_once = FAILURE_UNAUTHORIZED;
    send_text(&f, "QUERY q2 READ a\r\nQUERY q3 READ a\r\n");
    for (int i = 0; i < 5; i++) {
        run_loop(&f);
    }
    answer(newest, SVIEW("x"), 1);
    frontend_close_all(f.frontend);
    GString *s = read_to_end(&f);
    assert_int_equal(count_text(s, "COMPLETE "), 1);
    assert_int_equal(count_text(s, "ERROR UNAUTH not now"), 2);
    g_string_free(s, TRUE);
    teardown(&f);
}

/* Guards against requests that have arrived, but were not read yet, when the
   shutdown reaches its limit: they got no answer. */
static void
test_arrived_requests_are_answered_at_the_limit(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    newest->state = TRANSACTION_OPEN;
    frontend_drain(f.frontend);
    answer_at_once = FAILURE_BUSY;
    send_text(&f, "QUERY q1 READ a\r\nQUERY q2 ROLLBACK\r\n");
    frontend_close_all(f.frontend);
    GString *s = read_to_end(&f);
    assert_int_equal(count_text(s, "ERROR BUSY not now"), 2);
    g_string_free(s, TRUE);
    teardown(&f);
}

/* Guards against a request that crosses the end of its idle connection and has
   an unknown outcome: it is refused, and does not run. */
static void
test_request_that_crosses_the_end_is_refused(void **state)
{
    (void)state;
    for (int drain = 0; drain < 2; drain++) {
        struct fixture f;
        setup(&f);
        if (drain) {
            frontend_drain(f.frontend);
        }
        else {
            frontend_close_idle(f.frontend);
        }
        send_text(&f, "QUERY q1 WRITE a b\r\n");
        GString *s = read_to_end(&f);
        assert_string_equal(s->str, drain ? "ERROR BUSY shutting down\r\n"
                                          : "ERROR BUSY proxy is cut off\r\n");
        assert_null(newest);
        g_string_free(s, TRUE);
        teardown(&f);
    }
}

/* Guards against a caller that is told that its API key is not valid although
   it has become valid again since the refusal. */
static void
test_key_that_is_valid_again_keeps_the_connection(void **state)
{
    struct fixture f;
    char buffer[256];

    (void)state;
    setup(&f);
    send_text(&f, "QUERY q1 READ a\r\n");
    await_requests(&f, 1);
    key_is_valid = false;
    answer_failure(newest, FAILURE_UNAUTHORIZED, TRANSACTION_FAILED);
    run_loop(&f);
    key_is_valid = true;
    send_text(&f, "QUERY q1 ROLLBACK\r\n");
    await_requests(&f, 2);
    newest->state = TRANSACTION_NONE;
    answer(newest, SVIEW("x"), 0);
    run_loop(&f);
    assert_non_null(newest);
    const ssize_t n = recv(f.fd, buffer, sizeof(buffer) - 1, MSG_DONTWAIT);
    assert_true(n > 0);
    buffer[n] = '\0';
    assert_null(strstr(buffer, "API key is not valid"));
    teardown(&f);
}

/* Guards against requests that have been read and get no answer because the
   caller has had no valid key for too long while it left its answers
   unread. */
static void
test_read_requests_are_answered_before_the_end(void **state)
{
    struct fixture f;
    char *row = g_strnfill(LARGE_ROW_BYTES, 'x');

    (void)state;
    setup(&f);
    send_text(&f, "QUERY q1 READ a\r\n");
    await_requests(&f, 1);
    send_text(&f, "QUERY q2 READ a\r\nQUERY q3 READ a\r\n");
    run_loop(&f);
    run_loop(&f);
    answer_at_once = FAILURE_UNAUTHORIZED;
    key_is_valid = false;
    answer(newest, sview_from(row), LARGE_ROWS);
    for (int i = 0; i < WAIT_MAX_STEPS && newest != NULL; i++) {
        run_loop(&f);
    }
    GString *s = read_to_end(&f);
    assert_int_equal(count_text(s, "READY "), 3);
    g_string_free(s, TRUE);
    g_free(row);
    teardown(&f);
}

/* Guards against an error at the end that denies what may be kept, or blames
   the wrong thing. */
static void
test_error_at_the_end_is_true(void **state)
{
    static const struct {
        enum transaction_state state;
        bool committed;
        bool busy;
        const char *error;
    } cases[] = {
        {TRANSACTION_NONE, false, false, "ERROR BUSY shutting down\r\n"},
        {TRANSACTION_NONE, true, false, "ERROR INDOUBT shutting down\r\n"},
        {TRANSACTION_OPEN, false, false, "ERROR ABORTED shutting down\r\n"},
        {TRANSACTION_FAILED, false, false, "ERROR ABORTED shutting down\r\n"},
        {TRANSACTION_NONE, false, true, "ERROR INDOUBT shutting down\r\n"},
        {TRANSACTION_OPEN, false, true, "ERROR INDOUBT shutting down\r\n"},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct fixture f;
        setup(&f);
        newest->state = cases[i].state;
        may_have_committed = cases[i].committed;
        if (cases[i].busy) {
            send_text(&f, "QUERY q1 WRITE a b\r\n");
            await_requests(&f, 1);
        }
        frontend_close_all(f.frontend);
        GString *s = read_to_end(&f);
        assert_string_equal(s->str, cases[i].error);
        g_string_free(s, TRUE);
        teardown(&f);
    }
}

/* Guards against input behind the end that is not consumed, or not counted
   before there is much of it. */
static void
test_requests_behind_the_end_are_counted(void **state)
{
    struct fixture f;
    GString *metrics = g_string_new(NULL);
    char *text = g_strnfill(LARGE_ROW_BYTES, 'x');

    (void)state;
    setup(&f);
    frontend_drain(f.frontend);
    send_text(&f, "QUERY q1 READ a\r\nTERMINATE\r\nQUERY q2 READ b\r\n");
    run_loop(&f);
    for (size_t sent = 0; sent < LARGE_ROW_BYTES;) {
        const ssize_t n = send(f.fd, text + sent, LARGE_ROW_BYTES - sent,
                               MSG_DONTWAIT | MSG_NOSIGNAL);
        sent += n > 0 ? (size_t)n : 0;
        run_loop(&f);
    }
    send_text(&f, "\r\n");
    run_loop(&f);
    send_text(&f, "QUERY q3 READ c\r\n");
    run_loop(&f);
    frontend_write_metrics(f.frontend, metrics);
    assert_non_null(
        strstr(metrics->str, "callers_ended_total{reason=\"drain\"} 1\n"));
    assert_non_null(
        strstr(metrics->str,
               "callers_ended_in_transaction_total{reason=\"drain\"} 0\n"));
    assert_non_null(strstr(metrics->str,
                           "requests_discarded_total{reason=\"drain\"} 2\n"));
    g_string_free(metrics, TRUE);
    g_free(text);
    teardown(&f);
}

/* Guards against a connection that stays because its caller does not read its
   last answers. */
static void
test_lingering_ends(void **state)
{
    struct fixture f;
    char *row = g_strnfill(LARGE_ROW_BYTES, 'x');
    char buffer[1000];

    (void)state;
    setup(&f);
    send_text(&f, "QUERY q1 READ a\r\n");
    await_requests(&f, 1);
    answer(newest, sview_from(row), LARGE_ROWS);
    frontend_close_all(f.frontend);
    for (int i = 0;
         i < WAIT_MAX_STEPS && frontend_caller_count(f.frontend) > 0; i++) {
        const ssize_t n = recv(f.fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        assert_true(n > 0);
        run_loop(&f);
    }
    assert_int_equal(frontend_caller_count(f.frontend), 0);
    g_free(row);
    teardown(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_unread_request_is_answered),
        cmocka_unit_test(test_requests_of_one_packet_are_answered),
        cmocka_unit_test(test_slow_caller_gets_its_answer),
        cmocka_unit_test(test_error_reaches_the_caller),
        cmocka_unit_test(test_open_caller_does_not_delay_the_stop),
        cmocka_unit_test(test_waiting_caller_is_refused),
        cmocka_unit_test(test_key_is_refused_at_the_start),
        cmocka_unit_test(test_requests_behind_a_refused_key_are_answered),
        cmocka_unit_test(test_refused_key_does_not_end_a_transaction),
        cmocka_unit_test(test_caller_without_a_key_is_disconnected),
        cmocka_unit_test(test_request_outlasts_the_time_without_a_key),
        cmocka_unit_test(test_key_that_is_valid_again_keeps_the_connection),
        cmocka_unit_test(test_read_requests_are_answered_before_the_end),
        cmocka_unit_test(test_busy_keeps_the_connection),
        cmocka_unit_test(test_key_is_refused_during_the_stop),
        cmocka_unit_test(test_arrived_requests_are_answered_at_the_limit),
        cmocka_unit_test(test_request_that_crosses_the_end_is_refused),
        cmocka_unit_test(test_error_at_the_end_is_true),
        cmocka_unit_test(test_requests_behind_the_end_are_counted),
        cmocka_unit_test(test_lingering_ends),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
