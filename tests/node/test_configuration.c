#include "node/node.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

/* What a node does with requests in progress when a configuration comes into
   force. */

struct answers {
    int count;
    enum failure failure;
};

static void
on_answered(void *ctx, const struct answer *a)
{
    struct answers *answers = ctx;

    answers->count++;
    answers->failure = a->failure;
}

static const struct session_events events = {.answered = on_answered};

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

/* Puts a version in force in which the account has this key. */
static void
set_key(struct node *n, uint64_t version, const char *text)
{
    struct catalog *c = catalog_create(version);
    struct account *a = g_new0(struct account, 1);
    struct database_route *r = g_new0(struct database_route, 1);
    struct service_limits *s = g_new0(struct service_limits, 1);
    const struct account_key key = account_key_of(sview_from(text));

    a->name = g_strdup("corner shop");
    c->has_accounts = true;
    catalog_add_account(c, a);
    catalog_add_key(c, &key, "corner shop");
    r->database = g_strdup("boats");
    r->service = g_strdup("db");
    r->statement_timeout_ms = 800;
    catalog_add_route(c, r);
    s->service = g_strdup("db");
    s->max_connections = 16;
    catalog_add_service(c, s);
    node_set_catalog(n, c);
    catalog_unref(c);
}

/* Guards against a request that waits for a member although the configuration
   that has come into force withdraws its key. */
static void
test_withdrawn_key(void **state)
{
    static const struct node_platform platform = {0};
    static struct traffic traffic;
    const struct request write = {
        .verb = VERB_WRITE, .id = SVIEW("q1"), .text = SVIEW("WRITE x v")};
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    const struct node_config config = {
        .loop = loop,
        .name = "a",
        .failure_domain = "z",
        .host = "127.0.0.1",
        .peer_port = free_port(),
        .key = "0123456789abcdef0123456789abcdef",
        .platform = &platform,
        .traffic = &traffic,
    };
    struct answers answers = {0};
    char *error = NULL;
    struct node *n = node_create(&config, &error);

    (void)state;
    assert_null(error);
    set_key(n, 5, "k1");
    struct session *s =
        session_create(node_relay(n), "boats", SVIEW("k1"), &events, &answers);
    session_request(s, &write);
    set_key(n, 6, "k1");
    assert_int_equal(answers.count, 0);
    set_key(n, 7, "k2");
    assert_int_equal(answers.count, 1);
    assert_int_equal(answers.failure, FAILURE_UNAUTHORIZED);
    session_end(s);
    node_destroy(n);
    ev_loop_destroy(loop);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_withdrawn_key),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
