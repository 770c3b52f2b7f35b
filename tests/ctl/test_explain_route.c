#include "ctl/ctl.h"

#include <arpa/inet.h>
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

/* Runs galenastepctl explain-route against an HTTP server in a thread, which
   answers one request. */

static const char answer[] =
    "{\"configuration\":{\"version\":7,\"age_ms\":120,\"fresh\":true},"
    "\"route\":{\"service\":\"db\",\"freshness\":\"bounded_staleness\","
    "\"max_staleness_ms\":1500},\"account\":{\"name\":\"a\",\"rate_per_s\":10,"
    "\"limit_enforced\":true,\"permit_at_hand\":false},"
    "\"primary\":{\"member\":\"m1\",\"epoch\":4,\"lease\":true},"
    "\"queue\":{\"length\":3,\"ahead\":1,\"expected_wait_ms\":12},"
    "\"members\":[{\"member\":\"m1\",\"primary\":true,"
    "\"against\":[\"needed for writes\",\"at its limit\"]},"
    "{\"member\":\"m2\\u001b\",\"chosen\":true,\"for\":[\"caught up\"]}],"
    "\"outcome\":{\"result\":\"sent\",\"member\":\"m2\","
    "\"asks_for_permit\":true}}\n";

struct server {
    int fd;
    int status;
    const char *body;
    char request[1024];
    GThread *thread;
};

static void *
serve(void *ctx)
{
    struct server *s = ctx;
    const int fd = accept(s->fd, NULL, NULL);
    size_t n = 0;

    while (n < sizeof(s->request) - 1 &&
           strstr(s->request, "\r\n\r\n") == NULL) {
        const ssize_t got =
            read(fd, s->request + n, sizeof(s->request) - 1 - n);
        if (got <= 0) {
            break;
        }
        n += (size_t)got;
    }
    char *text = g_strdup_printf("HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n"
                                 "%s",
                                 s->status, strlen(s->body), s->body);
    assert_int_equal(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    g_free(text);
    close(fd);
    return NULL;
}

/* Listens on a free port and sets address to it. */
static int
listen_local(char address[64])
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t n = sizeof(sa);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);

    assert_int_equal(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&sa, &n), 0);
    g_snprintf(address, 64, "127.0.0.1:%d", ntohs(sa.sin_port));
    return fd;
}

/* Runs galenastepctl with the words. Returns what it has printed on both
   outputs, which the caller frees. */
static char *
run(int expected, const char *const *words, int n)
{
    char *argv[16] = {(char *)"galenastepctl", (char *)"explain-route"};
    char *text = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&text, &size);

    for (int i = 0; i < n; i++) {
        argv[2 + i] = (char *)words[i];
    }
    assert_int_equal(ctl_run(2 + n, argv, out, out), expected);
    fclose(out);
    return text;
}

/* Runs it against a server that gives the status and body. option may be
   NULL. */
static char *
run_with_server(struct server *s, int expected, const char *option)
{
    char address[64];
    const char *words[] = {address, "bo ats&x=1", "--account=a/b",
                           "--timeout-ms=5000", option};

    s->fd = listen_local(address);
    assert_int_equal(listen(s->fd, 1), 0);
    s->thread = g_thread_new("http", serve, s);
    char *text = run(expected, words, option != NULL ? 5 : 4);
    g_thread_join(s->thread);
    close(s->fd);
    return text;
}

/* Guards against names that are not escaped in the request, a kind that is not
   passed on, and a table that lacks a part of the answer or passes control
   characters to the terminal. */
static void
test_table(void **state)
{
    struct server s = {.status = 200, .body = answer};
    char *text = run_with_server(&s, CTL_OK, "--transaction");

    (void)state;
    assert_non_null(strstr(s.request,
                           "GET /explain-route?database=bo%20ats%26x%3D1&kind="
                           "transaction&account=a%2Fb HTTP"));
    assert_non_null(strstr(text, "version 7, 120 ms old, fresh"));
    assert_non_null(strstr(text, "staleness bound 1500 ms"));
    assert_non_null(strstr(text, "a witness is asked first"));
    assert_non_null(strstr(text, "m1, epoch 4, lease valid"));
    assert_non_null(strstr(text, "3 requests, 1 ahead, expected wait 12 ms"));
    assert_non_null(strstr(text, "sent to m2 once a witness grants a permit"));
    assert_non_null(strstr(text, "needed for writes, at its limit"));
    assert_non_null(strstr(text, "m2?"));
    assert_null(strchr(text, '\033'));
    free(text);
}

/* Guards against JSON output that differs from the proxy's answer. */
static void
test_json(void **state)
{
    struct server s = {.status = 200, .body = answer};
    char *text = run_with_server(&s, CTL_OK, "--json");

    (void)state;
    assert_string_equal(text, answer);
    assert_non_null(strstr(s.request, "&kind=read&"));
    free(text);
}

/* Guards against success for a database that the proxy does not know, and
   against a silent failure at servers that do not explain routes. */
static void
test_errors_of_the_proxy(void **state)
{
    struct server s = {.status = 404,
                       .body = "{\"error\":\"unknown database\"}\n"};
    char *text = run_with_server(&s, CTL_FAILED, NULL);

    (void)state;
    assert_non_null(strstr(text, "unknown database (database bo ats&x=1"));
    free(text);
    struct server old = {.status = 404, .body = ""};
    text = run_with_server(&old, CTL_FAILED, NULL);
    assert_non_null(strstr(text, "HTTP status 404"));
    free(text);
    struct server other = {.status = 200, .body = "ready\n"};
    text = run_with_server(&other, CTL_FAILED, "--json");
    assert_non_null(strstr(text, "not the metrics address"));
    free(text);
}

/* Guards against success without a proxy. */
static void
test_unreachable(void **state)
{
    char address[64];
    const int fd = listen_local(address); /* refuses connections */
    const char *words[] = {address, "boats"};
    char *text = run(CTL_NO_CONNECTION, words, 2);

    (void)state;
    assert_non_null(strstr(text, address));
    free(text);
    close(fd);
}

/* Guards against a request that is made with wrong arguments. */
static void
test_usage(void **state)
{
    static const char *const cases[][4] = {
        {"127.0.0.1:1", NULL},
        {"127.0.0.1:1", "boats", "more", NULL},
        {"localhost", "boats", NULL},
        {"host/path:80", "boats", NULL},
        {"127.0.0.1:0", "boats", NULL},
        {"127.0.0.1:1", "", NULL},
        {"127.0.0.1:1", "boats", "--csv", NULL},
        {"127.0.0.1:1", "boats", "--key=x", NULL},
    };
    static const char *const both[] = {"127.0.0.1:1", "boats", "--read",
                                       "--write"};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        int n = 0;
        while (cases[i][n] != NULL) {
            n++;
        }
        char *text = run(CTL_USAGE, cases[i], n);
        assert_non_null(strstr(text, "step=usage"));
        free(text);
    }
    free(run(CTL_USAGE, both, 4));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_table),
        cmocka_unit_test(test_json),
        cmocka_unit_test(test_errors_of_the_proxy),
        cmocka_unit_test(test_unreachable),
        cmocka_unit_test(test_usage),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
