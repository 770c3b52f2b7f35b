#include "relay/link_setup.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static void
send(struct link_setup *l, enum verb verb, const char *name, const char *value)
{
    const struct request r = {
        .verb = verb, .name = sview_from(name), .rest = sview_from(value)};

    link_setup_sent(l, &r);
}

/* Guards against a state that is taken over before the member has acknowledged
   it, or although it has refused it. */
static void
test_only_acknowledged_requests_count(void **state)
{
    struct link_setup *l = link_setup_create();

    (void)state;
    send(l, VERB_SET, "region", "north");
    send(l, VERB_PREPARE_READ, "s1", "shape");
    assert_false(link_setup_has_setting(l, "region", "north"));
    assert_false(link_setup_has_name(l, "s1"));
    link_setup_answered(l, FAILURE_BUSY);
    link_setup_answered(l, FAILURE_NONE);
    assert_false(link_setup_has_setting(l, "region", "north"));
    assert_int_equal(link_setup_settings_hash(l), 0);
    assert_true(link_setup_has_name(l, "s1"));
    assert_true(link_setup_is_known(l));
    /* Later answers are those of other requests. */
    link_setup_answered(l, FAILURE_TIMEOUT);
    assert_true(link_setup_is_known(l));
    link_setup_destroy(l);
}

/* Guards against settings or prepared statements that count as present behind
   a RESET, and against their loss when the RESET was refused. */
static void
test_reset_counts_once_it_is_acknowledged(void **state)
{
    struct link_setup *l = link_setup_create();

    (void)state;
    for (int refused = 1; refused >= 0; refused--) {
        send(l, VERB_SET, "region", "north");
        send(l, VERB_PREPARE_WRITE, "s1", "shape");
        link_setup_answered(l, FAILURE_NONE);
        link_setup_answered(l, FAILURE_NONE);
        assert_int_not_equal(link_setup_settings_hash(l), 0);
        send(l, VERB_RESET, "", "");
        assert_false(link_setup_has_setting(l, "region", "north"));
        assert_false(link_setup_has_name(l, "s1"));
        link_setup_answered(l, refused ? FAILURE_BUSY : FAILURE_NONE);
        assert_int_equal(link_setup_has_setting(l, "region", "north"),
                         refused);
        assert_int_equal(link_setup_has_name(l, "s1"), refused);
    }
    assert_int_equal(link_setup_settings_hash(l), 0);
    assert_int_equal(g_hash_table_size(link_setup_settings(l)), 0);
    link_setup_destroy(l);
}

/* Guards against the use of a connection after a failure that does not tell
   whether the request was executed. */
static void
test_failure_of_unknown_effect(void **state)
{
    static const enum failure failures[] = {
        FAILURE_TIMEOUT, FAILURE_STATEMENT_FAILED, FAILURE_UNKNOWN_OUTCOME};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(failures); i++) {
        struct link_setup *l = link_setup_create();
        send(l, VERB_SET, "region", "north");
        send(l, VERB_SET, "zone", "coast");
        link_setup_answered(l, failures[i]);
        link_setup_answered(l, FAILURE_NONE);
        assert_false(link_setup_is_known(l));
        link_setup_destroy(l);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_only_acknowledged_requests_count),
        cmocka_unit_test(test_reset_counts_once_it_is_acknowledged),
        cmocka_unit_test(test_failure_of_unknown_effect),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
