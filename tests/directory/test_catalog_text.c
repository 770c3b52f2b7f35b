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

/* Returns the catalog of create_catalog() with a public route, and with two
   accounts, of which the first has two keys. */
static struct catalog *
create_catalog_with_accounts(void)
{
    struct catalog *c = create_catalog();
    const char *const names[] = {"cedar", "odd%name"};
    const struct account_key keys[] = {account_key_of(SVIEW("k1")),
                                       account_key_of(SVIEW("k2")),
                                       account_key_of(SVIEW("k3"))};

    c->has_accounts = true;
    struct database_route *r = create_route("open one", FRESHNESS_PRIMARY);
    r->is_public = true;
    catalog_add_route(c, r);
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        struct account *a = g_new0(struct account, 1);
        a->name = g_strdup(names[i]);
        a->priority = (int)i;
        a->rate_milli_per_s = 12500;
        a->burst_milli = 1000000000000;
        assert_true(catalog_add_account(c, a));
    }
    assert_true(catalog_add_key(c, &keys[0], "cedar"));
    assert_true(catalog_add_key(c, &keys[1], "cedar"));
    assert_true(catalog_add_key(c, &keys[2], "odd%name"));
    return c;
}

/* Guards against a proxy that gets its configuration from another one and then
   refuses valid keys, accepts others or takes a route for public. */
static void
test_accounts_round_trip(void **state)
{
    struct catalog *c = create_catalog_with_accounts();
    char *text = catalog_format(c);
    struct catalog *copy = catalog_parse(sview_from(text));
    const struct account_key k2 = account_key_of(SVIEW("k2"));
    const struct account_key k3 = account_key_of(SVIEW("k3"));
    const struct account_key k4 = account_key_of(SVIEW("k4"));

    (void)state;
    assert_non_null(copy);
    assert_true(copy->has_accounts);
    assert_true(catalog_route(copy, "open one")->is_public);
    assert_false(catalog_route(copy, "plain")->is_public);
    assert_int_equal(g_hash_table_size(copy->accounts), 2);
    assert_int_equal(g_hash_table_size(copy->keys), 3);
    assert_string_equal(catalog_account_of_key(copy, &k2)->name, "cedar");
    const struct account *a = catalog_account_of_key(copy, &k3);
    assert_string_equal(a->name, "odd%name");
    assert_int_equal(a->priority, 1);
    assert_int_equal(a->rate_milli_per_s, 12500);
    assert_int_equal(a->burst_milli, 1000000000000);
    assert_null(catalog_account_of_key(copy, &k4));
    catalog_unref(copy);
    catalog_unref(c);
    g_free(text);
}

/* Guards against an empty list of accounts that another proxy takes for no
   list: it would serve every caller. */
static void
test_empty_list_of_accounts(void **state)
{
    struct catalog *c = create_catalog();

    (void)state;
    c->has_accounts = true;
    char *text = catalog_format(c);
    struct catalog *copy = catalog_parse(sview_from(text));
    assert_true(copy->has_accounts);
    assert_int_equal(g_hash_table_size(copy->accounts), 0);
    catalog_unref(copy);
    catalog_unref(c);
    g_free(text);
}

/* Guards against a text that the earlier build cannot read although the
   configuration has no accounts, and against checking keys after its text was
   read. */
static void
test_text_without_accounts(void **state)
{
    static const char *const text = "catalog 17 3000\n"
                                    "service s1 16 1\n"
                                    "route plain s1 0 1500 800 120 1\n";
    struct catalog *c = catalog_parse(sview_from(text));

    (void)state;
    assert_non_null(c);
    assert_false(c->has_accounts);
    ((struct database_route *)g_hash_table_lookup(c->routes, "plain"))
        ->is_public = true;
    char *again = catalog_format(c);
    assert_string_equal(again, text);
    g_free(again);
    catalog_unref(c);
}

/* Guards against a copy that is rejected because a later build has written
   kinds of lines that this one does not know. */
static void
test_unknown_lines_are_skipped(void **state)
{
    struct catalog *c =
        catalog_parse(SVIEW("catalog 17 3000\nsomething else\nfuture\n"
                            "route a s1 0 1 2 3 4\n"
                            "many a b c d e f g h i j k l m n o\n"
                            "service s1 16 0\n"));

    (void)state;
    assert_non_null(c);
    assert_non_null(catalog_route(c, "a"));
    assert_true(g_hash_table_contains(c->services, "s1"));
    assert_false(c->has_accounts);
    catalog_unref(c);
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
        "catalog 17 3000\nsome/thing else\n",
        "catalog 17 3000\n something else\n",
        "catalog 17 3000\nroute a s1 0 1 2 3 4 5\n",
        "catalog 17 3000\nservice s1 16 0 1\n",
        "catalog 17 3000\naccounts 2\n",
        "catalog 17 3000\npublic a\n",
        "catalog 17 3000\naccount a 0 1\n",
        "catalog 17 3000\naccount a 0 1 -1\n",
        "catalog 17 3000\naccount a 4294967296 1 1\n",
        "catalog 17 3000\naccount %zz 0 1 1\n",
        "catalog 17 3000\naccount a 0 1 1\naccount a 0 1 1\n",
        "catalog 17 3000\nkey 00112233445566778899aabbccddeeff a\n",
        "catalog 17 3000\naccount a 0 1 1\nkey 0011 a\n",
        ("catalog 17 3000\naccount a 0 1 1\n"
         "key 00112233445566778899aabbccddeefg a\n"),
        ("catalog 17 3000\naccount a 0 1 1\naccount b 0 1 1\n"
         "key 00112233445566778899aabbccddeeff a\n"
         "key 00112233445566778899aabbccddeeff b\n"),
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
        cmocka_unit_test(test_accounts_round_trip),
        cmocka_unit_test(test_empty_list_of_accounts),
        cmocka_unit_test(test_text_without_accounts),
        cmocka_unit_test(test_unknown_lines_are_skipped),
        cmocka_unit_test(test_damaged_text),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
