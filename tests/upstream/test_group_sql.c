/* Guards against member states that are misread: a wrong term or position
   would break own writes, and a malformed text must not pass for a state. */
#include "upstream/group_sql.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Parses a text. */
static bool
parse(const char *text, struct group_state *out)
{
    return group_state_parse(sview_from(text), out);
}

/* Every field arrives, up to the largest numbers. */
static void
test_fields(void **state)
{
    struct group_state s;

    (void)state;
    assert_true(parse("65536 42 primary 0 7 65537", &s));
    assert_int_equal(s.term, 65536);
    assert_int_equal(s.position, 42);
    assert_int_equal(s.role, GROUP_ROLE_PRIMARY);
    assert_int_equal(s.staleness_ms, 0);
    assert_int_equal(s.silence_ms, 7);
    assert_int_equal(s.sealed, 65537);
    assert_true(parse("18446744073709551615 0 replica -3 "
                      "9223372036854775807 1",
                      &s));
    assert_true(s.term == UINT64_MAX);
    assert_int_equal(s.role, GROUP_ROLE_REPLICA);
    assert_int_equal(s.staleness_ms, -3);
    assert_true(s.silence_ms == INT64_MAX);
}

/* Texts that are no state are refused. */
static void
test_malformed(void **state)
{
    static const char *const texts[] = {
        "",
        " ",
        "65536",
        "65536 42",
        "65536 42 primary",
        "65536 42 primary 0 7",
        "65536 42 primary 0 7 ",
        "x 42 primary 0 7 1",
        "65536 -1 primary 0 7 1",
        "65536 4x2 primary 0 7 1",
        "65536  42 primary 0 7 1",
        "65536 42 primary 0 7 x",
        "18446744073709551616 42 primary 0 7 1",
        "65536 42 primary 9223372036854775808 7 1",
        "refused 65536 42",
    };
    struct group_state s;

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        assert_false(parse(texts[i], &s));
    }
}

/* The text is not read beyond its length. */
static void
test_length(void **state)
{
    static const char text[] = "1 2 primary 3 4 567";
    struct group_state s;

    (void)state;
    assert_true(group_state_parse((struct sview){text, strlen(text) - 2}, &s));
    assert_int_equal(s.sealed, 5);
}

/* Runs the tests. */
int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_fields),
        cmocka_unit_test(test_malformed),
        cmocka_unit_test(test_length),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
