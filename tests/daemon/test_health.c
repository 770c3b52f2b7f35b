#include "daemon/health.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

/* Iterations of the event loop within which a response on loopback arrives. */
#define MAX_ITERATIONS 1000

struct fixture {
    struct ev_loop *loop;
    struct health *health;
    int client;
    char response[512];
};

/* Returns a free TCP port. */
static uint16_t
free_port(void)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t size = sizeof(at);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);

    assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &size), 0);
    close(fd);
    return ntohs(at.sin_port);
}

/* Creates the health check and connects a client to it. */
static void
fixture_start(struct fixture *f)
{
    struct settings_address a = {.host = (char *)"127.0.0.1"};
    struct sockaddr_in to = {.sin_family = AF_INET};
    char *error = NULL;

    memset(f, 0, sizeof(*f));
    f->loop = ev_loop_new(EVFLAG_AUTO);
    a.port = free_port();
    f->health = health_create(f->loop, &a, &error);
    assert_non_null(f->health);
    to.sin_port = htons(a.port);
    inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
    f->client = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(connect(f->client, (struct sockaddr *)&to, sizeof(to)),
                     0);
}

static void
fixture_stop(struct fixture *f)
{
    close(f->client);
    health_destroy(f->health);
    ev_loop_destroy(f->loop);
}

/* Sends text and runs the loop until the client receives something. Returns
   the number of bytes, 0 when the connection was closed, -1 when nothing
   came. */
static ssize_t
send_and_receive(struct fixture *f, const char *text)
{
    assert_true(send(f->client, text, strlen(text), MSG_NOSIGNAL) > 0);
    for (int i = 0; i < MAX_ITERATIONS; i++) {
        ev_run(f->loop, EVRUN_NOWAIT);
        const ssize_t n = recv(f->client, f->response, sizeof(f->response) - 1,
                               MSG_DONTWAIT);
        if (n >= 0) {
            f->response[n] = '\0';
            return n;
        }
        g_usleep(100);
    }
    return -1;
}

/* Guards against a health check that stays successful while the proxy drains,
   so that new callers are still sent to it, and against a connection that
   serves only one request. */
static void
test_draining_fails_check(void **state)
{
    struct fixture f;

    (void)state;
    fixture_start(&f);
    assert_true(send_and_receive(&f, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") > 0);
    assert_non_null(strstr(f.response, "HTTP/1.1 200 "));
    health_set_serving(f.health, false);
    assert_true(send_and_receive(&f, "GET /any HTTP/1.1\r\nHost: x\r\n\r\n") >
                0);
    assert_non_null(strstr(f.response, "HTTP/1.1 503 "));
    fixture_stop(&f);
}

/* Guards against a response to an incomplete request. */
static void
test_request_in_parts(void **state)
{
    struct fixture f;

    (void)state;
    fixture_start(&f);
    assert_int_equal(send_and_receive(&f, "GET / HTTP/1.1\r\nHo"), -1);
    assert_true(send_and_receive(&f, "st: x\r\n\r\n") > 0);
    assert_non_null(strstr(f.response, "HTTP/1.1 200 "));
    fixture_stop(&f);
}

/* Guards against unbounded memory for a client that never completes its
   request. */
static void
test_oversized_request_is_closed(void **state)
{
    struct fixture f;
    char *text = g_strnfill(20000, 'x');

    (void)state;
    fixture_start(&f);
    /* The connection is reset rather than closed if unread data is left. */
    assert_true(send_and_receive(&f, text) <= 0);
    assert_int_equal(recv(f.client, f.response, 1, MSG_DONTWAIT) > 0, 0);
    g_free(text);
    fixture_stop(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_draining_fails_check),
        cmocka_unit_test(test_request_in_parts),
        cmocka_unit_test(test_oversized_request_is_closed),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
