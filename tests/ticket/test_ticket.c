#include "ticket/state.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define DATABASE_A                                                            \
    "[database a]\nmembers=10.0.0.1:5432,10.0.0.2:5432\ndomains=d1,d2\n"      \
    "slots=2\nconnections=16\nuser=app\n"
#define HEADER(n) "[ticket]\nnumber=" #n "\nauthor=ada\ncomment=c\n"

/* Parses a ticket; the test fails if it is invalid. */
static struct ticket *
parse(const char *text)
{
    struct ticket_error err = {0};
    struct ticket *t = ticket_parse(text, strlen(text), &err);

    if (!t) {
        fail_msg("%s %s: %s", err.group, err.key, err.reason);
    }
    return t;
}

/* Guards against accepting invalid tickets, and against errors that fail to
   name the group and key at fault. */
static void
test_refusals_name_group_and_key(void **state)
{
    (void)state;
    static const struct {
        const char *text, *group, *key;
    } cases[] = {
        {DATABASE_A, "ticket", ""},
        {HEADER(0) DATABASE_A, "ticket", "number"},
        {HEADER(1), "ticket", ""},
        {HEADER(1) "x=1\n" DATABASE_A, "ticket", "x"},
        {HEADER(1) "[queue a]\nx=1\n", "queue a", ""},
        {HEADER(1) "[database a b]\nx=1\n", "database a b", ""},
        {HEADER(1) DATABASE_A "x=1\n", "database a", "x"},
        {HEADER(1) DATABASE_A DATABASE_A, "database a", ""},
        {HEADER(1) DATABASE_A "slots=3\n", "database a", "slots"},
        {HEADER(1) "[database a]\nmembers=h:1\n", "database a", "members"},
        {HEADER(1) "[database a]\nmembers=10.0.0.1:1,10.0.0.1:01\n",
         "database a", "members"},
        {HEADER(1) "[database a]\nmembers=10.0.0.1:1\ndomains=x,y\n",
         "database a", "domains"},
        {HEADER(1) "[database a]\nmembers=10.0.0.1:1\ndomains=x\nslots=0\n",
         "database a", "slots"},
        {HEADER(1) "[shares a]\nk=1\n", "shares a", "k"},
        {HEADER(1) "[shares a]\nk=-1:1\n", "shares a", "k"},
        {HEADER(1) "[shares a]\n", "shares a", ""},
        {HEADER(1) "[staleness a]\nk=1s\n", "staleness a", "k"},
        {HEADER(1) "[staleness a]\nremoved=false\n", "staleness a", "removed"},
        {HEADER(1) "[staleness a]\nremoved=true\nk=1\n", "staleness a", "k"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ticket_error err = {0};

        assert_null(ticket_parse(cases[i].text, strlen(cases[i].text), &err));
        assert_string_equal(err.group, cases[i].group);
        assert_string_equal(err.key, cases[i].key);
        assert_true(err.reason[0] != '\0');
    }
}

/* Guards against a canonical text or hash that depends on the layout of the
   input, because a repeated submission would then be a conflict, and against a
   canonical text that cannot be parsed. */
static void
test_canonical_text_is_stable(void **state)
{
    (void)state;
    struct ticket *a = parse("[shares a]\nz=1:2\nb=3:4\n" DATABASE_A
                             "[ticket]\ncomment=a\\\\b\nauthor=x y\nnumber=7");
    struct ticket *b = parse(a->text);

    assert_string_equal(a->text, b->text);
    assert_true(a->hash == b->hash);
    assert_string_equal(a->comment, "a\\b");
    ticket_free(a);
    ticket_free(b);
}

/* Validates a ticket against s. The settings define one database, "f". */
static bool
check(const struct ticket_state *s, const char *text)
{
    static const struct ticket_configured_database configured[] = {{"f", 4}};
    static const char *const kinds[] = {"filing", "batch", NULL};
    const struct ticket_rules rules = {configured, 1, kinds};
    struct ticket_error err = {0};
    struct ticket *t = parse(text);
    bool ok = ticket_check(t, s, &rules, &err);

    assert_true(ok || err.reason[0] != '\0');
    ticket_free(t);
    return ok;
}

/* Guards against floors that exceed the connections of the database, whichever
   of the two a ticket changes, and against objects without a database. */
static void
test_rules_across_objects(void **state)
{
    (void)state;
    struct ticket_state *s = ticket_state_create(NULL, NULL);

    assert_false(check(s, HEADER(1) "[shares a]\nfiling=1:1\n"));
    assert_false(check(s, HEADER(1) "[staleness a]\nfiling=1\n"));
    assert_true(check(s, HEADER(1) "[shares f]\nfiling=4:1\n"));
    assert_false(check(s, HEADER(1) "[shares f]\nfiling=4:1\nbatch=1:0\n"));
    assert_false(check(s, HEADER(1) "[shares f]\nother=1:1\n"));
    assert_true(check(s, HEADER(1) DATABASE_A "[shares a]\nfiling=16:1\n"));
    assert_false(check(s, HEADER(1) DATABASE_A "[shares a]\nfiling=17:1\n"));

    struct ticket *t = parse(HEADER(5) DATABASE_A "[shares a]\nfiling=9:1\n");

    ticket_state_apply(s, t);
    ticket_free(t);
    assert_false(check(s, HEADER(6) "[database a]\nremoved=true\n"));
    assert_true(check(s, HEADER(6) "[database a]\nremoved=true\n"
                                   "[shares a]\nremoved=true\n"));
    assert_false(check(s, HEADER(6) "[database a]\nmembers=10.0.0.1:1\n"
                                    "domains=d\nslots=1\nconnections=8\n"
                                    "user=u\n"));
    ticket_state_destroy(s);
}

static int changes;

/* Counts changes and checks that ticket numbers only increase. */
static void
count_change(void *ctx, const struct ticket_object *old,
             const struct ticket_object *new_object)
{
    (void)ctx;
    changes++;
    assert_true(!old || old->number < new_object->number);
}

/* Guards against a state that depends on the order or repetition of tickets,
   and against a snapshot that loses a number or a tombstone. */
static void
test_merge_and_snapshot(void **state)
{
    (void)state;
    struct ticket *t[] = {
        parse(HEADER(1) DATABASE_A),
        parse(HEADER(2) DATABASE_A "[staleness a]\nk=5\n"),
        parse(HEADER(3) "[database a]\nremoved=true\n"),
    };
    static const int orders[][4] = {{0, 1, 2, 0}, {2, 1, 0, 1}, {1, 2, 0, 2}};
    struct ticket_digest first = {0};

    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        struct ticket_state *s = ticket_state_create(count_change, NULL);

        for (size_t j = 0; j < 4; j++) {
            ticket_state_apply(s, t[orders[i][j]]);
        }
        struct ticket_digest d = ticket_state_digest(s);

        first = i == 0 ? d : first;
        assert_true(ticket_digest_equal(&d, &first));
        assert_true(ticket_state_find(s, TICKET_DATABASE, "a")->removed);
        GPtrArray *all = ticket_state_list_missing(
            s, &(struct ticket_digest){.highest = 0}, UINT64_MAX);
        char *text = ticket_snapshot_write(all, 9);
        struct ticket_state *copy = ticket_state_create(count_change, NULL);
        struct ticket_error err = {0};
        uint64_t complete_to = 0;
        size_t changed = 0;

        assert_true(ticket_snapshot_apply(copy, text, strlen(text),
                                          &complete_to, &changed, &err));
        d = ticket_state_digest(copy);
        assert_true(ticket_digest_equal(&d, &first));
        assert_int_equal(complete_to, 9);
        assert_int_equal(changed, 2);
        /* A truncated text changes nothing. */
        struct ticket_state *none = ticket_state_create(count_change, NULL);

        assert_false(ticket_snapshot_apply(none, text, strlen(text) - 6,
                                           &complete_to, &changed, &err));
        assert_int_equal(ticket_state_digest(none).count, 0);
        g_free(text);
        g_ptr_array_free(all, TRUE);
        ticket_state_destroy(none);
        ticket_state_destroy(copy);
        ticket_state_destroy(s);
    }
    assert_true(changes > 0);
    for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
        ticket_free(t[i]);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_refusals_name_group_and_key),
        cmocka_unit_test(test_canonical_text_is_stable),
        cmocka_unit_test(test_rules_across_objects),
        cmocka_unit_test(test_merge_and_snapshot),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
