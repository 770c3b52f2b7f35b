#include "wire/frame.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Guards against buffering a message whose length field exceeds the limit. It
   must be rejected as soon as the header has arrived. */
static void
test_length_is_refused_from_the_header(void **state)
{
    (void)state;
    const char header[] = {'Q', 0x7f, 0, 0, 0};
    struct frame f;

    assert_int_equal(frame_next((struct sview){header, 5}, 1000, &f),
                     FRAME_TOO_LARGE);
    const char tiny[] = {'Q', 0, 0, 0, 3};
    assert_int_equal(frame_next((struct sview){tiny, 5}, 1000, &f),
                     FRAME_MALFORMED);
}

/* Guards against reading past the end of a message if a terminating NUL is
   missing or a column length exceeds the row. */
static void
test_short_bodies_do_not_overrun(void **state)
{
    (void)state;
    struct frame_reader r = {.rest = {"abc", 3}};

    assert_int_equal(frame_read_cstring(&r).n, 0);
    assert_true(r.failed);
    const char row[] = {0, 1, 0, 0, 0, 9, 'x'};
    assert_int_equal(frame_first_column((struct sview){row, 7}).n, 0);
}

/* Guards against a wrong length or a wrong field order in ErrorResponse. */
static void
test_error_round_trip(void **state)
{
    (void)state;
    GString *s = g_string_new(NULL);
    struct frame f;

    frame_put_error(s, "ERROR", "08007", "message", NULL, "outcome=unknown");
    assert_int_equal(frame_next((struct sview){s->str, s->len}, 1000, &f),
                     FRAME_COMPLETE);
    assert_int_equal(f.total_bytes, s->len);
    assert_true(sview_equal(frame_error_field(f.body, 'C'), SVIEW("08007")));
    assert_true(
        sview_equal(frame_error_field(f.body, 'H'), SVIEW("outcome=unknown")));
    assert_int_equal(frame_error_field(f.body, 'D').n, 0);
    g_string_free(s, TRUE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_length_is_refused_from_the_header),
        cmocka_unit_test(test_short_bodies_do_not_overrun),
        cmocka_unit_test(test_error_round_trip),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
