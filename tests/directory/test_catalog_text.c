#include "directory/catalog_text.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static struct database_route *
create_route(const char *database, enum freshness freshness)
{
    struct database_route *r = g_new0(struct database_route, 1);

    r->database = g_strdup(database);
    r->service = g_strdup("s1");
    r->freshness = freshness;
    r->max_staleness_ms = 1500;
    r->statement_timeout_ms = 800;
    r->target_ms = 120;
    r->priority = 1;
    return r;
}

/* Returns a catalog with two routes and one service. */
static struct catalog *
create_catalog(void)
{
    struct catalog *c = catalog_create(17);
    struct service_limits *s = g_new0(struct service_limits, 1);

    s->service = g_strdup("s1");
    s->max_connections = 16;
    s->sync_replicas = 1;
    catalog_add_service(c, s);
    catalog_add_route(c, create_route("plain", FRESHNESS_PRIMARY));
    catalog_add_route(
        c, create_route("with blank\nand line", FRESHNESS_OWN_WRITES));
    c->transaction_idle_ms = 3000;
    return c;
}

/* Guards against a copy of the catalog, as received by another proxy, that
   differs from the original. */
static void
test_round_trip(void **state)
{
    struct catalog *c = create_catalog();
    char *text = catalog_format(c);
    struct catalog *copy = catalog_parse(sview_from(text));

    (void)state;
    assert_non_null(copy);
    assert_int_equal(copy->version, 17);
    assert_int_equal(copy->transaction_idle_ms, 3000);
    assert_int_equal(g_hash_table_size(copy->routes), 2);
    const struct database_route *r =
        catalog_route(copy, "with blank\nand line");
    assert_non_null(r);
    assert_string_equal(r->service, "s1");
    assert_int_equal(r->freshness, FRESHNESS_OWN_WRITES);
    assert_int_equal(r->max_staleness_ms, 1500);
    assert_int_equal(r->statement_timeout_ms, 800);
    assert_int_equal(r->target_ms, 120);
    assert_int_equal(r->priority, 1);
    const struct service_limits *s = g_hash_table_lookup(copy->services, "s1");
    assert_non_null(s);
    assert_int_equal(s->max_connections, 16);
    assert_int_equal(s->sync_replicas, 1);
    catalog_unref(copy);
    catalog_unref(c);
    g_free(text);
}

/* Guards against accepting part of a damaged copy: callers would be told that
   the databases of the missing routes do not exist. */
static void
test_damaged_text(void **state)
{
    static const char *const damaged[] = {
        "",
        "catalog 0 3000\n",
        "catalog 17\n",
        "catalog 17 3000\nroute a s1 0 1 2 3\n",
        "catalog 17 3000\nroute a s1 9 1 2 3 4\n",
        "catalog 17 3000\nroute a s1 0 1 -2 3 4\n",
        "catalog 17 3000\nservice s1 x 0\n",
        "catalog 17 3000\nsomething else\n",
        "catalog 17 3000\nroute %zz s1 0 1 2 3 4\n",
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(damaged); i++) {
        assert_null(catalog_parse(sview_from(damaged[i])));
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_round_trip),
        cmocka_unit_test(test_damaged_text),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
