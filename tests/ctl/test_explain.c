#include "ctl/ctl.h"
#include "ctl/explain.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

static const char first_log[] =
    "t=1000 event=member_unreachable service=db member=m1 why=\"silent\" "
    "last_heard_ms=410\n"
    "t=1010 event=member_unreachable service=other member=x why=\"end\" "
    "last_heard_ms=1\n"
    "t=1300 event=change_claimed service=db primary=m1 why=unreachable "
    "version=8 fence=3\n"
    "t=1600 event=statement_failed id=a1 database=boats service=db "
    "outcome=unknown_outcome detail=\"primary replaced\" attempts=1 "
    "took_ms=700 member=m1 queue=0 catalog=4\n"
    "t=1700 event=statement_failed id=a2 database=boats service=db "
    "outcome=busy detail=\"queue_deadline\" attempts=1 took_ms=800 member=- "
    "queue=41 catalog=4\n"
    "t=1800 event=statement_failed id=a3 database=boats service=db "
    "outcome=aborted detail=\"statement timeout\" attempts=1 took_ms=800 "
    "member=m1 silent_ms=790 queue=0 catalog=4\n";
static const char second_log[] =
    "0.1 front-1 t=1310 event=lead service=db epoch=8 primary= changing=1 "
    "before=m1\n"
    "0.2 front-1 t=1400 event=statement_retried id=b1 database=boats "
    "service=db why=timeout detail=\"no answer yet\" attempt=1 member=m1 "
    "after_ms=300\n"
    "0.3 front-1 t=1650 event=statement_late id=b1 database=boats service=db "
    "attempts=2 took_ms=520 waited_ms=310 member=m2 queue=0\n"
    "a line of another program\n";

/* Runs explain on both logs. The caller frees the output. */
static char *
explain(const char *id, int expected)
{
    char *folder = g_dir_make_tmp("explain.XXXXXX", NULL);
    char *one = g_build_filename(folder, "one", NULL);
    char *two = g_build_filename(folder, "two", NULL);
    char *files[] = {one, two, NULL};
    char *text = NULL;
    size_t n = 0;
    FILE *out = open_memstream(&text, &n);

    g_file_set_contents(one, first_log, -1, NULL);
    g_file_set_contents(two, second_log, -1, NULL);
    assert_int_equal(explain_run(id, files, out, out), expected);
    fclose(out);
    unlink(one);
    unlink(two);
    rmdir(folder);
    g_free(one);
    g_free(two);
    g_free(folder);
    return text;
}

/* Guards against output without the lines of the request, the state changes in
   the logs of other proxies, or the cause. */
static void
test_in_doubt(void **state)
{
    char *text = explain("a1", CTL_OK);

    (void)state;
    assert_non_null(strstr(text, "member_unreachable service=db"));
    assert_non_null(strstr(text, "change_claimed service=db"));
    assert_non_null(strstr(text, "event=lead service=db"));
    assert_null(strstr(text, "service=other"));
    assert_non_null(strstr(text, "in doubt across a change of primary"));
    free(text);
}

/* Guards against a wrong cause for a request that was refused under load. */
static void
test_refused(void **state)
{
    char *text = explain("a2", CTL_OK);

    (void)state;
    assert_non_null(strstr(text, "refused under load"));
    assert_non_null(strstr(text, "queue=41"));
    free(text);
}

/* Guards against taking a member that did not answer for a connection that
   ended. */
static void
test_silent_member(void **state)
{
    char *text = explain("a3", CTL_OK);

    (void)state;
    assert_null(strstr(text, "connection of its transaction ended"));
    assert_non_null(strstr(text, "had not answered for 790 ms"));
    assert_non_null(strstr(text, "Unreachable members of db: m1 (silent)"));
    free(text);
}

/* Guards against omitting the retries of a late request. */
static void
test_late(void **state)
{
    char *text = explain("b1", CTL_OK);

    (void)state;
    assert_non_null(strstr(text, "statement_retried"));
    assert_non_null(strstr(text, "member_unreachable service=db member=m1"));
    assert_non_null(strstr(text, "later than its target"));
    free(text);
}

/* Guards against success for an id that is in no log. */
static void
test_unknown_id(void **state)
{
    char *text = explain("zz", CTL_FAILED);

    (void)state;
    assert_non_null(strstr(text, "no line has id=zz"));
    free(text);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_in_doubt),      cmocka_unit_test(test_refused),
        cmocka_unit_test(test_silent_member), cmocka_unit_test(test_late),
        cmocka_unit_test(test_unknown_id),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
