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

/* Answers of a node to /explain-route. */

#define SECRET "secret-api-key"

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

static void
set_catalog(struct node *n)
{
    struct catalog *c = catalog_create(5);
    struct account *a = g_new0(struct account, 1);
    struct database_route *r = g_new0(struct database_route, 1);
    struct service_limits *s = g_new0(struct service_limits, 1);
    const struct account_key key = account_key_of(sview_from(SECRET));

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

static void
expect(const struct node *n, const char *query, int status, const char *text)
{
    GString *body = g_string_new(NULL);

    assert_int_equal(node_explain_route(n, query, body), status);
    assert_non_null(strstr(body->str, text));
    assert_null(strstr(body->str, SECRET));
    g_string_free(body, TRUE);
}

/* Guards against an explanation for a malformed query, without an error for
   unknown names, or with an API key in it. */
static void
test_queries(void **state)
{
    static const struct node_platform platform = {0};
    static struct traffic traffic;
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
    char *error = NULL;
    struct node *n = node_create(&config, &error);

    (void)state;
    assert_null(error);
    set_catalog(n);
    expect(n, "", 400, "database is missing");
    expect(n, "database=", 400, "database is missing");
    expect(n, "database=boats&kind=delete", 400, "kind must be");
    expect(n, "database=boats&key=" SECRET, 400, "parameters are");
    expect(n, "database=%zz", 400, "malformed");
    expect(n, "database=ships", 404, "unknown database");
    expect(n, "database=boats&account=" SECRET, 404, "unknown account");
    expect(n, "database=boats", 200, "\"answer\":\"unauthorized\"");
    expect(n, "database=boats&account=corner%20shop&kind=transaction", 200,
           "\"name\":\"corner shop\"");
    expect(n, "database=boats&account=corner%20shop", 200, "\"version\":5");
    expect(n, "database=boats&account=corner%20shop", 200, "no_lease");
    node_destroy(n);
    ev_loop_destroy(loop);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_queries),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
