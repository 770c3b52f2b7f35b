#include "row_decode.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

/* Accounts, their keys and public routes in the operator's configuration. */

/* A catalog together with the lines that its decoding logged. */
struct decoded {
    struct catalog *catalog;
    char *log;
};

/* Decodes a configuration that holds the given further fields. The version
   must differ between calls: lines are logged once for each. */
static struct decoded
decode(int version, const char *fields)
{
    char *text = g_strdup_printf(
        "{\"version\":%d,\"routes\":[{\"host\":\"b\",\"service\":\"db\","
        "\"route_type\":\"primary\"}]%s}",
        version, fields);
    FILE *file = tmpfile();
    struct decoded d;
    const char *error;

    assert_non_null(file);
    fflush(stdout);
    const int saved = dup(STDOUT_FILENO);
    dup2(fileno(file), STDOUT_FILENO);
    d.catalog = decode_catalog(text, &error);
    dup2(saved, STDOUT_FILENO);
    close(saved);
    rewind(file);
    d.log = g_malloc0(65536);
    const size_t n = fread(d.log, 1, 65535, file);
    d.log[n] = '\0';
    fclose(file);
    g_free(text);
    assert_non_null(d.catalog);
    assert_non_null(catalog_route(d.catalog, "b"));
    return d;
}

static void
release(struct decoded *d)
{
    catalog_unref(d->catalog);
    g_free(d->log);
}

static int
count_lines(const char *text)
{
    int n = 0;

    for (; *text != '\0'; text++) {
        n += *text == '\n';
    }
    return n;
}

/* Returns the name of the account of a key, or "-". */
static const char *
account_of(const struct catalog *c, const char *plain)
{
    const struct account_key key = account_key_of(sview_from(plain));
    const struct account *a = catalog_account_of_key(c, &key);

    return a != NULL ? a->name : "-";
}

/* Guards against wrong limits, for whole and fractional numbers, and against
   keys of one account that identify another. */
static void
test_valid_entries(void **state)
{
    struct decoded d = decode(
        1, ",\"tenants\":["
           "{\"name\":\"cedar\",\"api_keys\":[\"k1\",\"k 2\"],\"priority\":0,"
           "\"rate_per_s\":12.5,\"burst\":40},"
           "{\"name\":\"oak\",\"api_keys\":[\"k3\"],\"priority\":3,"
           "\"rate_per_s\":7,\"burst\":0.25},"
           "{\"name\":\"ash\",\"rate_per_s\":0,\"burst\":0}]");

    (void)state;
    assert_true(d.catalog->has_accounts);
    assert_string_equal(account_of(d.catalog, "k1"), "cedar");
    assert_string_equal(account_of(d.catalog, "k 2"), "cedar");
    assert_string_equal(account_of(d.catalog, "k3"), "oak");
    assert_string_equal(account_of(d.catalog, "k"), "-");
    assert_string_equal(account_of(d.catalog, ""), "-");
    const struct account *a =
        g_hash_table_lookup(d.catalog->accounts, "cedar");
    assert_int_equal(a->priority, 0);
    assert_int_equal(a->rate_milli_per_s, 12500);
    assert_int_equal(a->burst_milli, 40000);
    a = g_hash_table_lookup(d.catalog->accounts, "oak");
    assert_int_equal(a->priority, 3);
    assert_int_equal(a->rate_milli_per_s, 7000);
    assert_int_equal(a->burst_milli, 250);
    assert_true(g_hash_table_contains(d.catalog->accounts, "ash"));
    assert_string_equal(d.log, "");
    release(&d);
}

/* Guards against an invalid entry that costs other entries, is accepted, or
   leaves no line or several in the log. */
static void
test_invalid_entries(void **state)
{
#define NAME_63                                                               \
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
    static const char *const entries[] = {
        "{}",
        "7",
        "null",
        "{\"api_keys\":[\"bad\"],\"rate_per_s\":1,\"burst\":1}",
        "{\"name\":\"\",\"api_keys\":[\"bad\"],\"rate_per_s\":1,\"burst\":1}",
        "{\"name\":\"a b\",\"api_keys\":[\"bad\"],\"rate_per_s\":1,"
        "\"burst\":1}",
        "{\"name\":\"a\\r\\n\",\"api_keys\":[\"bad\"],\"rate_per_s\":1,"
        "\"burst\":1}",
        "{\"name\":\"a\\u0000\",\"api_keys\":[\"bad\"],\"rate_per_s\":1,"
        "\"burst\":1}",
        "{\"name\":\"\\u00e9\",\"api_keys\":[\"bad\"],\"rate_per_s\":1,"
        "\"burst\":1}",
        "{\"name\":\"" NAME_63 "a\",\"api_keys\":[\"bad\"],\"rate_per_s\":1,"
        "\"burst\":1}",
        "{\"name\":\"galenastep\",\"api_keys\":[\"bad\"],\"rate_per_s\":1,"
        "\"burst\":1}",
        "{\"name\":\"cedar\",\"api_keys\":[\"bad\"],\"rate_per_s\":1,"
        "\"burst\":1}",
        "{\"name\":\"x\",\"api_keys\":[\"bad\"],\"burst\":1}",
        "{\"name\":\"x\",\"api_keys\":[\"bad\"],\"rate_per_s\":1}",
        "{\"name\":\"x\",\"api_keys\":[\"bad\"],\"rate_per_s\":\"1\","
        "\"burst\":1}",
        "{\"name\":\"x\",\"api_keys\":[\"bad\"],\"rate_per_s\":null,"
        "\"burst\":1}",
        "{\"name\":\"x\",\"api_keys\":[\"bad\"],\"rate_per_s\":-1,"
        "\"burst\":1}",
        "{\"name\":\"x\",\"api_keys\":[\"bad\"],\"rate_per_s\":1,"
        "\"burst\":-0.5}",
        "{\"name\":\"x\",\"api_keys\":[\"bad\"],\"rate_per_s\":1e18,"
        "\"burst\":1}",
        "{\"name\":\"x\",\"api_keys\":[\"bad\"],\"rate_per_s\":1e999,"
        "\"burst\":1}",
        "{\"name\":\"x\",\"api_keys\":[\"bad\"],\"rate_per_s\":1,"
        "\"burst\":-123456789012345678901234567890}",
        "{\"name\":\"x\",\"api_keys\":\"bad\",\"rate_per_s\":1,\"burst\":1}",
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
        char *fields = g_strdup_printf(
            ",\"tenants\":[{\"name\":\"cedar\",\"api_keys\":[\"k1\"],"
            "\"rate_per_s\":1,\"burst\":1},%s,"
            "{\"name\":\"" NAME_63 "\",\"api_keys\":[\"k\\\\\\\"2\"],"
            "\"rate_per_s\":1,\"burst\":1}]",
            entries[i]);
        struct decoded d = decode(100 + (int)i, fields);
        assert_int_equal(g_hash_table_size(d.catalog->accounts), 2);
        assert_string_equal(account_of(d.catalog, "k1"), "cedar");
        assert_string_equal(account_of(d.catalog, "k\\\"2"), NAME_63);
        assert_string_equal(account_of(d.catalog, "bad"), "-");
        assert_int_equal(count_lines(d.log), 1);
        assert_non_null(strstr(d.log, "event=account_skipped"));
        assert_null(strstr(d.log, "bad"));
        release(&d);
        g_free(fields);
    }
}

/* Guards against an invalid key that costs the account or its other keys, that
   is logged, or that makes the holder of a key change. */
static void
test_invalid_keys(void **state)
{
    char *long_key = g_strnfill(2000, 'q');
    const char *const keys[] = {
        "\"\"",
        "7",
        "null",
        "[\"secret\"]",
        "\"secret\\u0000x\"",
        "\"secret\\r\\nx\"",
        "\"secret1\"",
        "\"secret2\"",
        NULL,
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        char *quoted = g_strdup_printf("\"%s\"", long_key);
        char *fields = g_strdup_printf(
            ",\"tenants\":[{\"name\":\"cedar\",\"api_keys\":[\"secret1\"],"
            "\"rate_per_s\":1,\"burst\":1},{\"name\":\"oak\",\"api_keys\":"
            "[\"secret2\",%s,\"secret3\"],\"rate_per_s\":1,\"burst\":1}]",
            keys[i] != NULL ? keys[i] : quoted);
        struct decoded d = decode(200 + (int)i, fields);
        assert_string_equal(account_of(d.catalog, "secret1"), "cedar");
        assert_string_equal(account_of(d.catalog, "secret2"), "oak");
        assert_string_equal(account_of(d.catalog, "secret3"), "oak");
        assert_int_equal(g_hash_table_size(d.catalog->keys), 3);
        assert_int_equal(count_lines(d.log), 1);
        assert_non_null(strstr(d.log, "event=account_key_skipped"));
        assert_non_null(strstr(d.log, "account=oak entry=1"));
        assert_null(strstr(d.log, "secret"));
        assert_null(strstr(d.log, "qqq"));
        release(&d);
        g_free(fields);
        g_free(quoted);
    }
    g_free(long_key);
}

/* Guards against a field "tenants" that cannot be read, or is empty, and turns
   off the check of keys, and against a check without the field. */
static void
test_presence_of_the_list(void **state)
{
    static const char *const unreadable[] = {"null",      "{}",   "7",
                                             "\"cedar\"", "true", "1e999"};

    (void)state;
    struct decoded d = decode(300, "");
    assert_false(d.catalog->has_accounts);
    assert_string_equal(d.log, "");
    release(&d);
    d = decode(301, ",\"tenants\":[]");
    assert_true(d.catalog->has_accounts);
    assert_string_equal(d.log, "");
    release(&d);
    for (size_t i = 0; i < G_N_ELEMENTS(unreadable); i++) {
        char *fields = g_strdup_printf(",\"tenants\":%s", unreadable[i]);
        d = decode(310 + (int)i, fields);
        assert_true(d.catalog->has_accounts);
        assert_int_equal(g_hash_table_size(d.catalog->accounts), 0);
        assert_int_equal(count_lines(d.log), 1);
        release(&d);
        g_free(fields);
    }
}

/* Guards against a line for each time that the row is read again. */
static void
test_entries_are_logged_once(void **state)
{
    (void)state;
    for (int i = 0; i < 3; i++) {
        struct decoded d = decode(400, ",\"tenants\":[{}]");
        assert_int_equal(count_lines(d.log), i == 0);
        release(&d);
    }
}

/* Guards against a route that needs no key although "public" is not true, and
   against a name that is cut at a zero byte and replaces another route. */
static void
test_public_routes(void **state)
{
    static const char *const values[] = {"false",    "null", "1",
                                         "\"true\"", "[]",   "true"};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        char *text = g_strdup_printf(
            "{\"version\":%d,\"routes\":[{\"host\":\"b\",\"service\":\"db\","
            "\"route_type\":\"primary\",\"public\":%s},"
            "{\"host\":\"b\\u0000\",\"service\":\"db\","
            "\"route_type\":\"primary\",\"public\":true},"
            "{\"host\":\"c\",\"service\":\"db\",\"route_type\":\"primary\"}]}",
            500 + (int)i, values[i]);
        const char *error;
        struct catalog *c = decode_catalog(text, &error);
        assert_non_null(c);
        assert_int_equal(g_hash_table_size(c->routes), 2);
        assert_int_equal(catalog_route(c, "b")->is_public,
                         strcmp(values[i], "true") == 0);
        assert_false(catalog_route(c, "c")->is_public);
        catalog_unref(c);
        g_free(text);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_valid_entries),
        cmocka_unit_test(test_invalid_entries),
        cmocka_unit_test(test_invalid_keys),
        cmocka_unit_test(test_presence_of_the_list),
        cmocka_unit_test(test_entries_are_logged_once),
        cmocka_unit_test(test_public_routes),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
