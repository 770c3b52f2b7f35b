/* Guards against misread member states. A wrong term or position would break
   read-your-writes consistency, and a malformed text must be rejected. */
#include "upstream/group_sql.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static bool
parse(const char *text, struct group_state *out)
{
    return group_state_parse(sview_from(text), out);
}

/* Guards against fields that are lost, or truncated at the largest numbers. */
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

/* Guards against accepting malformed texts. */
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

/* Guards against reading beyond the length of the text. */
static void
test_length(void **state)
{
    static const char text[] = "1 2 primary 3 4 567";
    struct group_state s;

    (void)state;
    assert_true(group_state_parse((struct sview){text, strlen(text) - 2}, &s));
    assert_int_equal(s.sealed, 5);
}

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
