#include "table_cache.h"

#include "base/listener.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Tests of the requests of a table cache whose responses take long. The test
   answers the requests as the store. */

#define HOST "127.252.0.2"
#define PORT 26021
#define LOOP_STEP_S 0.005
/* Limit for each wait, far above what it takes. */
#define WAIT_MAX_STEPS 1000
#define CONNECTIONS_MAX 8

struct connection {
    int fd;
    char request[2048]; /* empty if there is none in progress */
};

struct fixture {
    struct ev_loop *loop;
    struct store *store;
    struct traffic traffic;
    struct table_cache *cache;
    int listener;
    struct connection connections[CONNECTIONS_MAX]; /* by time of opening */
    int connection_count;
};

static void
on_changed(void *ctx)
{
    (void)ctx;
}

static void
on_step_end(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)w;
    (void)revents;
    ev_break(loop, EVBREAK_ONE);
}

/* Runs the loop for LOOP_STEP_S, and receives requests. */
static void
run_loop(struct fixture *f)
{
    ev_timer t;

    ev_timer_init(&t, on_step_end, LOOP_STEP_S, 0.0);
    ev_timer_start(f->loop, &t);
    ev_run(f->loop, 0);
    ev_timer_stop(f->loop, &t);
    const int fd = accept4(f->listener, NULL, NULL, SOCK_NONBLOCK);
    if (fd >= 0) {
        assert_true(f->connection_count < CONNECTIONS_MAX);
        f->connections[f->connection_count++].fd = fd;
    }
    for (int i = 0; i < f->connection_count; i++) {
        struct connection *c = &f->connections[i];
        const size_t used = strlen(c->request);
        const ssize_t n = recv(c->fd, c->request + used,
                               sizeof(c->request) - 1 - used, MSG_DONTWAIT);
        c->request[used + (n > 0 ? (size_t)n : 0)] = '\0';
    }
}

/* Waits for a request with this text in its first line. Returns its
   connection. */
static struct connection *
await_request(struct fixture *f, const char *text)
{
    for (int i = 0; i < WAIT_MAX_STEPS; i++) {
        for (int k = f->connection_count - 1; k >= 0; k--) {
            struct connection *c = &f->connections[k];
            if (strstr(c->request, "\r\n\r\n") != NULL &&
                strstr(c->request, text) != NULL) {
                return c;
            }
        }
        run_loop(f);
    }
    fail_msg("no request with %s", text);
    return NULL;
}

/* Answers a request with one row "config", or without rows if value is
   NULL. */
static void
answer(struct fixture *f, struct connection *c, const char *value,
       uint64_t version)
{
    char *base64 = value == NULL
                       ? NULL
                       : g_base64_encode((const guchar *)value, strlen(value));
    char *rows =
        value == NULL
            ? g_strdup("")
            : g_strdup_printf("{\"table\":\"op\",\"part\":\"\",\"key\":"
                              "\"config\",\"value\":\"%s\",\"row_version\":"
                              "%" G_GUINT64_FORMAT "}",
                              base64, version);
    char *body =
        g_strdup_printf("{\"rows\":[%s],\"has_more\":false,"
                        "\"row_version\":%" G_GUINT64_FORMAT ",\"now_ms\":1}",
                        rows, version);
    char *text = g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Type: "
                                 "application/json\r\nContent-Length: "
                                 "%zu\r\n\r\n%s",
                                 strlen(body), body);

    c->request[0] = '\0';
    assert_int_equal(send(c->fd, text, strlen(text), MSG_NOSIGNAL),
                     (ssize_t)strlen(text));
    g_free(text);
    g_free(body);
    g_free(rows);
    g_free(base64);
    for (int i = 0; i < 4; i++) {
        run_loop(f);
    }
}

static void
assert_value(const struct fixture *f, const char *value)
{
    const struct table_row *r = table_cache_find(f->cache, "config");

    assert_non_null(r);
    assert_string_equal(r->value, value);
}

static void
setup(struct fixture *f)
{
    const struct endpoint address = {.host = HOST, .port = PORT};
    const struct table_cache_config config = {.table = "op",
                                              .feed_wait_ms = 5000,
                                              .batch_delay_ms = 10,
                                              .batch_delay_max_ms = 10,
                                              .changed = on_changed};

    memset(f, 0, sizeof(*f));
    f->loop = ev_loop_new(EVFLAG_AUTO);
    f->listener = listener_open(HOST, PORT);
    assert_true(f->listener >= 0);
    f->store = store_create(f->loop, &address, &address, &f->traffic);
    f->cache = table_cache_create(f->loop, f->store, &config);
}

static void
teardown(struct fixture *f)
{
    store_destroy(f->store);
    table_cache_destroy(f->cache);
    for (int i = 0; i < f->connection_count; i++) {
        close(f->connections[i].fd);
    }
    close(f->listener);
    ev_loop_destroy(f->loop);
}

/* Guards against changes that are never seen because a newer request is sent
   before each response has arrived. */
static void
test_response_to_an_earlier_request_counts(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    answer(&f, await_request(&f, "rows-get"), "v1", 5);
    assert_value(&f, "v1");
    struct connection *first = await_request(&f, "after=5");
    const int connections = f.connection_count;
    table_cache_refresh(f.cache);
    for (int i = 0; i < WAIT_MAX_STEPS && f.connection_count == connections;
         i++) {
        run_loop(&f);
    }
    answer(&f, first, "v2", 7);
    assert_value(&f, "v2");
    struct connection *second = await_request(&f, "after=5");
    assert_ptr_not_equal(first, second);
    answer(&f, second, "v3", 9);
    assert_value(&f, "v3");
    await_request(&f, "after=9");
    teardown(&f);
}

/* Guards against an old response that undoes what a newer one has brought. */
static void
test_older_response_to_an_earlier_request_does_not_count(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    answer(&f, await_request(&f, "rows-get"), "v1", 5);
    struct connection *first = await_request(&f, "after=5");
    const int connections = f.connection_count;
    table_cache_refresh(f.cache);
    for (int i = 0; i < WAIT_MAX_STEPS && f.connection_count == connections;
         i++) {
        run_loop(&f);
    }
    answer(&f, &f.connections[connections], "v3", 9);
    answer(&f, first, "v2", 7);
    assert_value(&f, "v3");
    assert_int_equal(table_cache_version(f.cache), 9);
    teardown(&f);
}

/* Guards against a first read that begins anew, again and again, before its
   response has arrived. */
static void
test_refresh_does_not_restart_a_full_read(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    struct connection *first = await_request(&f, "rows-get");
    table_cache_refresh(f.cache);
    table_cache_refresh(f.cache);
    for (int i = 0; i < 10; i++) {
        run_loop(&f);
    }
    assert_int_equal(f.connection_count, 1);
    answer(&f, first, "v1", 5);
    assert_value(&f, "v1");
    teardown(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_response_to_an_earlier_request_counts),
        cmocka_unit_test(
            test_older_response_to_an_earlier_request_does_not_count),
        cmocka_unit_test(test_refresh_does_not_restart_a_full_read),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
