#include "base/clock.h"
#include "base/rng.h"
#include "line_protocol.h"
#include "relay/connection_share.h"
#include "row_decode.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* The views in r point into line. */
static bool
parse(const char *line, struct request *r)
{
    return line_parse_query(sview_from(line), r);
}

/* Guards against requests parsed as another verb, and against verbs that only
   the proxy may send to members being accepted from callers. */
static void
test_queries(void **state)
{
    struct request r;

    (void)state;
    assert_true(parse("a1 BEGIN", &r));
    assert_int_equal(r.verb, VERB_BEGIN);
    assert_true(parse("a1 BEGIN READ", &r));
    assert_int_equal(r.verb, VERB_BEGIN_READ);
    assert_true(parse("a1 WRITE x some data with blanks", &r));
    assert_int_equal(r.verb, VERB_WRITE);
    assert_true(sview_equal(r.rest, SVIEW("some data with blanks")));
    assert_true(sview_equal(r.text, SVIEW("WRITE x some data with blanks")));
    assert_true(parse("a1 PREPARE s1 WRITE q2c", &r));
    assert_int_equal(r.verb, VERB_PREPARE_WRITE);
    assert_true(sview_equal(r.rest, SVIEW("q2c")));
    assert_true(parse("a1 EXECUTE s1 1a4 xk", &r));
    assert_int_equal(r.verb, VERB_EXECUTE);
    static const char *const invalid[] = {"a1 AFTER 3.1 READ x",
                                          "a1 STATUS",
                                          "a1 DEMOTE 4",
                                          "a1 RESET",
                                          "a1 read x",
                                          "a1 READ",
                                          "a1 ",
                                          "a1 COMMIT now",
                                          "a1  READ x",
                                          "a1 PREPARE s1 MAYBE q"};
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        assert_true(parse(invalid[i], &r));
        assert_int_equal(r.verb, VERB_INVALID);
    }
    assert_false(parse("- READ x", &r));
    assert_false(parse("", &r));
}

/* Guards against accepting a line that another parser would split in two. */
static void
test_line_validity(void **state)
{
    (void)state;
    assert_true(line_is_valid(SVIEW("QUERY a READ x")));
    assert_false(line_is_valid(SVIEW("QUERY a READ x\nQUERY b WRITE x y")));
    assert_false(line_is_valid(SVIEW("QUERY a READ x\r")));
    assert_false(line_is_valid(SVIEW("QUERY a READ \0x")));
}

/* Guards against changing a caller's text on its way to a member. */
static void
test_forwarded_query(void **state)
{
    GString *s = g_string_new(NULL);
    const struct token after = {.term = 3, .position = 1207, .known = true};
    struct request r;

    (void)state;
    parse("5c0e READ 1a4", &r);
    line_append_query(s, &r, &after);
    assert_string_equal(s->str, "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");
    g_string_truncate(s, 0);
    parse("5c0e EXECUTE s1 1a4 xk qp", &r);
    r.name = SVIEW("w7");
    line_append_query(s, &r, NULL);
    assert_string_equal(s->str, "QUERY 5c0e EXECUTE w7 1a4 xk qp\r\n");
    g_string_truncate(s, 0);
    const struct request set = {
        .verb = VERB_SET, .name = SVIEW("tz"), .rest = SVIEW("a b")};
    line_append_query(s, &set, NULL);
    assert_string_equal(s->str, "QUERY - SET tz a b\r\n");
    g_string_free(s, TRUE);
}

/* Guards against taking an error of a member as proof that the statement did
   not run when it is not. */
static void
test_failure_codes(void **state)
{
    (void)state;
    for (int f = 1; f <= FAILURE_UNKNOWN_OUTCOME; f++) {
        const char *code = line_failure_code((enum failure)f);
        assert_int_equal(line_parse_failure(sview_from(code)), f);
    }
    assert_int_equal(line_parse_failure(SVIEW("SOMETHING")),
                     FAILURE_UNKNOWN_OUTCOME);
    assert_false(failure_means_not_run(FAILURE_UNKNOWN_OUTCOME));
    assert_false(failure_means_not_run(FAILURE_TIMEOUT));
    assert_false(failure_means_not_run(FAILURE_STATEMENT_FAILED));
}

/* Guards against using rows that other programs wrote as members. */
static void
test_member_entries(void **state)
{
    static const char good[] =
        "{\"service\":\"db\",\"addr\":\"10.1.0.9:8080\",\"zone\":\"a\","
        "\"slots\":2,\"state\":\"ready\",\"db_role\":\"replica\",\"seq\":4}";
    static const char *const bad[] = {
        "",
        "{",
        "[]",
        "{\"service\":7,\"addr\":\"10.1.0.9:8080\",\"zone\":\"a\",\"slots\":2,"
        "\"state\":\"ready\",\"db_role\":\"replica\"}",
        "{\"service\":\"db\",\"addr\":\"10.1.0.9\",\"zone\":\"a\",\"slots\":2,"
        "\"state\":\"ready\",\"db_role\":\"replica\"}",
        "{\"service\":\"db\",\"addr\":\"10.1.0.9:80\",\"zone\":\"a\","
        "\"slots\":2,\"state\":\"asleep\",\"db_role\":\"replica\"}",
        "{\"service\":\"db\",\"addr\":\"10.1.0.9:80\",\"zone\":\"a\","
        "\"slots\":\"2\",\"state\":\"ready\",\"db_role\":\"replica\"}",
        "{\"service\":\"db\",\"addr\":\"10.1.0.9:80\",\"zone\":\"a\","
        "\"slots\":2,\"state\":\"ready\"}"};
    struct member_entry m;
    const char *error;

    (void)state;
    assert_true(decode_member("i-1", good, &m, &error));
    assert_string_equal(m.host, "10.1.0.9");
    assert_int_equal(m.port, 8080);
    assert_false(m.says_primary);
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        assert_false(decode_member("i-1", bad[i], &m, &error));
    }
    assert_false(decode_member("i-1", NULL, &m, &error));
}

/* Guards against a row whose texts end a line where they are used: in STARTUP
   to a member, in the stored list of members, or in a log. */
static void
test_member_texts_are_words(void **state)
{
    static const char good[] =
        "{\"service\":\"db\",\"addr\":\"10.1.0.9:8080\",\"zone\":\"a\","
        "\"slots\":2,\"state\":\"ready\",\"db_role\":\"replica\"}";
    static const char *const ids[] = {"i-1 x", "i-1\r\nQUERY", "i-1\n", " ",
                                      "i-\xc3\xa9"};
    static const char *const bad[] = {
        "{\"service\":\"db\\r\\nQUERY\",\"addr\":\"10.1.0.9:80\","
        "\"zone\":\"a\",\"slots\":2,\"state\":\"ready\","
        "\"db_role\":\"replica\"}",
        "{\"service\":\"db\",\"addr\":\"10.1.0.9:80\",\"zone\":\"a b\","
        "\"slots\":2,\"state\":\"ready\",\"db_role\":\"replica\"}"};
    struct member_entry m;
    const char *error;

    (void)state;
    assert_true(decode_member("i-1", good, &m, &error));
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        assert_false(decode_member(ids[i], good, &m, &error));
    }
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        assert_false(decode_member("i-1", bad[i], &m, &error));
    }
}

/* Guards against rejecting a whole configuration for one invalid entry, and
   against taking an unreadable configuration for an empty one. */
static void
test_catalog(void **state)
{
    const char *error;
    struct catalog *c = decode_catalog(
        "{\"version\":7,\"routes\":[{\"host\":\"b\",\"service\":\"db\","
        "\"route_type\":\"bounded_staleness\",\"max_staleness_ms\":1500,"
        "\"timeout_ms\":800,\"priority\":1},{\"host\":3},{\"host\":\"x\","
        "\"service\":\"db\",\"route_type\":\"new\"}],\"services\":[{\"name\":"
        "\"db\",\"max_conns\":16}],\"limits\":{\"tx_idle_ms\":900}}",
        &error);

    (void)state;
    assert_non_null(c);
    assert_int_equal(g_hash_table_size(c->routes), 1);
    assert_int_equal(catalog_route(c, "b")->freshness, FRESHNESS_BOUNDED);
    assert_int_equal(c->transaction_idle_ms, 900);
    catalog_unref(c);
    assert_null(decode_catalog("{\"routes\":[]}", &error));
    assert_null(decode_catalog(NULL, &error));
}

/* Guards against overflows by figures that no configuration should have. */
static void
test_extreme_figures(void **state)
{
    static const char *const figures[] = {"-9223372036854775808", "-1",
                                          "9223372036854775807"};
    const char *error;

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(figures); i++) {
        const char *x = figures[i];
        char *text = g_strdup_printf(
            "{\"version\":7,\"routes\":[{\"host\":\"b\",\"service\":\"db\","
            "\"route_type\":\"primary\",\"max_staleness_ms\":%s,"
            "\"timeout_ms\":%s,\"target_latency_ms\":%s,\"priority\":%s}],"
            "\"services\":[{\"name\":\"db\",\"max_conns\":%s,"
            "\"sync_replicas\":%s}],\"limits\":{\"tx_idle_ms\":%s}}",
            x, x, x, x, x, x, x);
        struct catalog *c = decode_catalog(text, &error);
        assert_non_null(c);
        const struct database_route *r = catalog_route(c, "b");
        const struct service_limits *l =
            g_hash_table_lookup(c->services, "db");
        const struct connection_limits limits =
            connection_limits(l->max_connections, 79, false);
        assert_true(limits.working >= 1 && limits.total >= limits.working);
        assert_true(r->statement_timeout_ms >= 0 && r->target_ms >= 0 &&
                    r->max_staleness_ms >= 0 && c->transaction_idle_ms >= 0);
        assert_true(clock_boottime_ms() + r->statement_timeout_ms > 0);
        catalog_unref(c);
        g_free(text);
    }
}

/* Guards against out-of-bounds reads in the parsers; the sanitizers detect
   them. */
static void
test_random_bytes(void **state)
{
    static const char *const seeds[] = {
        "QUERY a1 AFTER 3.12 EXECUTE s1 x y", "replica 3 3.1209 0 12 2 17",
        "{\"version\":7,\"routes\":[{\"host\":\"b\"}]}", "3.1209", "T"};
    struct rng r;

    (void)state;
    rng_seed(&r, 20261204);
    for (int i = 0; i < 200000; i++) {
        const char *seed = seeds[rng_below(&r, G_N_ELEMENTS(seeds))];
        char text[64];
        size_t n = strlen(seed);
        memcpy(text, seed, n + 1);
        for (uint64_t k = rng_below(&r, 4); k > 0; k--) {
            text[rng_below(&r, n)] = (char)(1 + rng_below(&r, 255));
        }
        n = rng_below(&r, n + 1);
        text[n] = '\0';
        const struct sview v = {.p = text, .n = n};
        struct request q;
        struct token t;
        struct member_report report;
        enum transaction_state st;
        const char *error;
        struct member_entry m;
        line_parse_query(v, &q);
        line_parse_position(v, &t);
        line_parse_report(v, &report);
        line_parse_state(v, &st);
        line_parse_failure(v);
        decode_member("i", text, &m, &error);
        catalog_unref(decode_catalog(text, &error));
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_queries),
        cmocka_unit_test(test_line_validity),
        cmocka_unit_test(test_forwarded_query),
        cmocka_unit_test(test_failure_codes),
        cmocka_unit_test(test_member_entries),
        cmocka_unit_test(test_catalog),
        cmocka_unit_test(test_member_texts_are_words),
        cmocka_unit_test(test_extreme_figures),
        cmocka_unit_test(test_random_bytes),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
