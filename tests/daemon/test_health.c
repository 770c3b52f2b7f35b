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

/* Rounds of the loop within which an answer on loopback comes. */
#define ROUNDS 1000

struct fixture {
    struct ev_loop *loop;
    struct health *health;
    int client;
    char answer[512];
};

/* Returns a port that is free. */
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

/* Starts the health check and connects to it. */
static void
begin(struct fixture *f)
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

/* Closes everything. */
static void
end(struct fixture *f)
{
    close(f->client);
    health_destroy(f->health);
    ev_loop_destroy(f->loop);
}

/* Sends a text and runs the loop until something comes back. Returns how many
   bytes came, 0 at the end of the connection, -1 when nothing came. */
static ssize_t
ask(struct fixture *f, const char *text)
{
    assert_true(send(f->client, text, strlen(text), MSG_NOSIGNAL) > 0);
    for (int i = 0; i < ROUNDS; i++) {
        ev_run(f->loop, EVRUN_NOWAIT);
        const ssize_t n =
            recv(f->client, f->answer, sizeof(f->answer) - 1, MSG_DONTWAIT);
        if (n >= 0) {
            f->answer[n] = '\0';
            return n;
        }
        g_usleep(100);
    }
    return -1;
}

/* Guards against a balancer that goes on to send callers to a proxy that
   drains, and against one that has to connect anew for each question. */
static void
test_draining_is_told(void **state)
{
    struct fixture f;

    (void)state;
    begin(&f);
    assert_true(ask(&f, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") > 0);
    assert_non_null(strstr(f.answer, "HTTP/1.1 200 "));
    health_set_serving(f.health, false);
    assert_true(ask(&f, "GET /any HTTP/1.1\r\nHost: x\r\n\r\n") > 0);
    assert_non_null(strstr(f.answer, "HTTP/1.1 503 "));
    end(&f);
}

/* Guards against an answer to half of a request. */
static void
test_request_in_parts(void **state)
{
    struct fixture f;

    (void)state;
    begin(&f);
    assert_int_equal(ask(&f, "GET / HTTP/1.1\r\nHo"), -1);
    assert_true(ask(&f, "st: x\r\n\r\n") > 0);
    assert_non_null(strstr(f.answer, "HTTP/1.1 200 "));
    end(&f);
}

/* Guards against a client that fills the memory without a request. */
static void
test_endless_request_is_ended(void **state)
{
    struct fixture f;
    char *text = g_strnfill(20000, 'x');

    (void)state;
    begin(&f);
    /* The end comes as a reset when not all was read. */
    assert_true(ask(&f, text) <= 0);
    assert_int_equal(recv(f.client, f.answer, 1, MSG_DONTWAIT) > 0, 0);
    g_free(text);
    end(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_draining_is_told),
        cmocka_unit_test(test_request_in_parts),
        cmocka_unit_test(test_endless_request_is_ended),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
