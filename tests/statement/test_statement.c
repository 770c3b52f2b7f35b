#include "statement/statement.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>

#include <cmocka.h>

struct expectation {
    const char *text;
    enum statement_class class;
};

/* Guards against sending a SELECT with side effects to a replica, and against
   pooling a statement whose effect stays with the connection. */
static void
test_classes(void **state)
{
    (void)state;
    static const struct expectation table[] = {
        {"", STATEMENT_EMPTY},
        {"SELECT 1", STATEMENT_READ},
        {"SELECT pg_catalog.lower('x') FROM a", STATEMENT_READ},
        {"SELECT other.lower('x')", STATEMENT_WRITE},
        {"SELECT nextval('s')", STATEMENT_WRITE},
        {"SELECT * FROM a FOR UPDATE", STATEMENT_WRITE},
        {"SELECT * INTO b FROM a", STATEMENT_WRITE},
        {"WITH d AS (DELETE FROM a RETURNING *) SELECT * FROM d",
         STATEMENT_WRITE},
        {"SELECT (SELECT count(*) FROM (SELECT f(1)) s)", STATEMENT_WRITE},
        {"EXPLAIN SELECT 1", STATEMENT_READ},
        {"EXPLAIN ANALYZE DELETE FROM a", STATEMENT_WRITE},
        {"SELECT pg_advisory_lock(1)", STATEMENT_SESSION_STATE},
        {"SELECT set_config('a', 'b', false)", STATEMENT_SESSION_STATE},
        {"INSERT INTO a VALUES (1)", STATEMENT_WRITE},
        {"CREATE TEMP TABLE a (b int)", STATEMENT_SESSION_STATE},
        {"SELECT 1 AS a INTO TEMP t", STATEMENT_SESSION_STATE},
        {"CREATE TABLE a (b int)", STATEMENT_WRITE},
        {"BEGIN", STATEMENT_BEGIN},
        {"START TRANSACTION READ ONLY", STATEMENT_BEGIN_READ_ONLY},
        {"BEGIN READ WRITE", STATEMENT_BEGIN},
        {"COMMIT", STATEMENT_END},
        {"ROLLBACK AND CHAIN", STATEMENT_TX_CONTROL},
        {"PREPARE TRANSACTION 'x'", STATEMENT_SESSION_STATE},
        {"SAVEPOINT a", STATEMENT_TX_CONTROL},
        {"SET LOCAL a.b = 1", STATEMENT_TX_CONTROL},
        {"SET a.b = 1", STATEMENT_SET},
        {"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY",
         STATEMENT_SESSION_STATE},
        {"DISCARD ALL", STATEMENT_RESET_ALL},
        {"LISTEN x", STATEMENT_SESSION_STATE},
        {"PREPARE p AS SELECT 1", STATEMENT_SESSION_STATE},
        {"DECLARE c CURSOR WITH HOLD FOR SELECT 1", STATEMENT_SESSION_STATE},
        {"COPY a FROM STDIN", STATEMENT_COPY},
        {"SELECT 1; SELECT 2", STATEMENT_READ},
        {"SELECT 1; DELETE FROM a", STATEMENT_WRITE},
        {"SET a.b = 1; SELECT 1", STATEMENT_SESSION_STATE},
        {"SELEC 1", STATEMENT_INVALID},
    };
    struct statement_cache *c = statement_cache_create(16, NULL);

    /* The second round is answered from the cache. */
    for (int round = 0; round < 2; round++) {
        for (size_t i = 0; i < sizeof(table) / sizeof(table[0]); i++) {
            const struct statement_info *s =
                statement_lookup(c, sview_from(table[i].text));
            if (s->class != table[i].class) {
                print_message("%s\n", table[i].text);
            }
            assert_int_equal(s->class, table[i].class);
        }
    }
    statement_cache_destroy(c);
}

/* Guards against returning the value of an earlier SET with the same
   fingerprint. */
static void
test_set_values_are_not_shared(void **state)
{
    (void)state;
    struct statement_cache *c = statement_cache_create(100, NULL);

    assert_string_equal(
        statement_lookup(c, SVIEW("SET Galenastep.Token = 'a'"))->set_value,
        "a");
    const struct statement_info *s =
        statement_lookup(c, SVIEW("SET galenastep.token = 'b'"));
    assert_string_equal(s->set_value, "b");
    assert_string_equal(s->set_name, "galenastep.token");
    assert_true(statement_lookup(c, SVIEW("RESET a.b"))->is_reset);
    assert_true(
        statement_lookup(c, SVIEW("SELECT 1; COMMIT"))->ends_transaction);
    statement_cache_destroy(c);
}

/* Guards against unbounded growth if every text is new. */
static void
test_cache_is_bounded(void **state)
{
    (void)state;
    struct statement_cache *c = statement_cache_create(64, NULL);
    char text[64];

    for (int i = 0; i < 1000; i++) {
        const int n = snprintf(text, sizeof(text), "SELECT %d", i);
        assert_int_equal(
            statement_lookup(c, (struct sview){text, (size_t)n})->class,
            STATEMENT_READ);
        assert_true(statement_cache_count(c) <= 64);
    }
    statement_cache_destroy(c);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_classes),
        cmocka_unit_test(test_set_values_are_not_shared),
        cmocka_unit_test(test_cache_is_bounded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
