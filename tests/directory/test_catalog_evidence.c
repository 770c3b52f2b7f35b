#include "directory/catalog_evidence.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define REVOCATION_MS 5000
#define LIMIT_MS (REVOCATION_MS - CATALOG_EVIDENCE_MARGIN_MS)
#define INCARNATION 77

static struct catalog_evidence
new_evidence(void)
{
    struct catalog_evidence e;

    catalog_evidence_init(&e, INCARNATION, REVOCATION_MS);
    return e;
}

/* Returns what a peer says that answers a message of this process. */
static struct catalog_claim
claim(uint64_t version, int64_t age_ms, clock_ms echo)
{
    return (struct catalog_claim){.version = version,
                                  .age_ms = age_ms,
                                  .echo = echo,
                                  .echo_incarnation = INCARNATION};
}

/* Guards against a proxy that relies on the keys of a configuration before
   anything has shown that it is recent, and against one that stays fresh. */
static void
test_store_evidence_expires(void **state)
{
    struct catalog_evidence e = new_evidence();

    (void)state;
    assert_false(catalog_evidence_is_fresh(&e, 0));
    assert_int_equal(catalog_evidence_age_ms(&e, 0), -1);
    catalog_evidence_add_version(&e, 7); /* a copy */
    assert_false(catalog_evidence_is_fresh(&e, 0));
    /* The answer is late; its request was sent at 1000. */
    catalog_evidence_from_store(&e, 7, 1000, -1);
    assert_int_equal(catalog_evidence_age_ms(&e, 1800), 800);
    assert_true(catalog_evidence_is_fresh(&e, 1000 + LIMIT_MS - 1));
    assert_false(catalog_evidence_is_fresh(&e, 1000 + LIMIT_MS));
    /* An answer to an earlier request changes nothing. */
    catalog_evidence_from_store(&e, 7, 500, -1);
    assert_int_equal(catalog_evidence_age_ms(&e, 1800), 800);
}

/* Guards against a store that has come back from an older copy and makes a
   withdrawn key valid: an answer with a version below a known one proves
   nothing, wherever that is known from. */
static void
test_lower_version_proves_nothing(void **state)
{
    struct catalog_evidence e = new_evidence();
    struct catalog_claim c = claim(8, -1, 0);

    (void)state;
    catalog_evidence_from_store(&e, 7, 1000, -1);
    c.echo_incarnation = 0;
    catalog_evidence_from_peer(&e, &c, 7, 1100);
    catalog_evidence_from_store(&e, 7, 2000, -1);
    assert_int_equal(catalog_evidence_age_ms(&e, 3000), 2000);
    catalog_evidence_from_store(&e, 8, 3000, -1);
    assert_int_equal(catalog_evidence_age_ms(&e, 3000), 0);
}

/* Guards against reading the time of a peer's evidence from when its reply
   arrived, which may be seconds after it was sent. */
static void
test_peer_evidence_counts_from_the_echo(void **state)
{
    struct catalog_evidence e = new_evidence();
    struct catalog_claim c = claim(7, 300, 1000);

    (void)state;
    catalog_evidence_from_peer(&e, &c, 7, 6000);
    assert_int_equal(catalog_evidence_age_ms(&e, 6000), 5300);
    assert_false(catalog_evidence_is_fresh(&e, 6000));
    c = claim(7, 300, 5900);
    catalog_evidence_from_peer(&e, &c, 7, 6000);
    assert_int_equal(catalog_evidence_age_ms(&e, 6000), 400);
    assert_true(catalog_evidence_is_fresh(&e, 6000));
}

/* Guards against counting a reply to a message of an earlier process, whose
   clock may have been another one. */
static void
test_echo_of_another_process_is_ignored(void **state)
{
    struct catalog_evidence e = new_evidence();
    struct catalog_claim c = claim(7, 0, 1000);

    (void)state;
    c.echo_incarnation = INCARNATION - 1;
    catalog_evidence_from_peer(&e, &c, 7, 1001);
    assert_false(catalog_evidence_is_fresh(&e, 1001));
    /* A time that has not come on this clock. */
    c = claim(7, 0, 2000);
    catalog_evidence_from_peer(&e, &c, 7, 1001);
    assert_false(catalog_evidence_is_fresh(&e, 1001));
}

/* Guards against counting the evidence for a version that this proxy lacks,
   and against discarding that for an earlier one. */
static void
test_peer_with_another_version(void **state)
{
    struct catalog_evidence e = new_evidence();
    struct catalog_claim c = claim(8, 0, 1000);

    (void)state;
    catalog_evidence_from_peer(&e, &c, 7, 1001);
    assert_false(catalog_evidence_is_fresh(&e, 1001));
    c = claim(6, 0, 1000);
    catalog_evidence_from_peer(&e, &c, 7, 1001);
    assert_true(catalog_evidence_is_fresh(&e, 1001));
    /* A peer without evidence or configuration proves nothing. */
    e = new_evidence();
    c = claim(7, -1, 1000);
    catalog_evidence_from_peer(&e, &c, 7, 1001);
    c = claim(0, 0, 1000);
    catalog_evidence_from_peer(&e, &c, 7, 1001);
    assert_false(catalog_evidence_is_fresh(&e, 1001));
}

/* Guards against a process that starts after the store has come back from an
   older copy, and believes it before any witness could tell of a newer
   version; and against discarding evidence of before. */
static void
test_store_that_came_back(void **state)
{
    struct catalog_evidence e = new_evidence();
    struct catalog_claim c = claim(8, -1, 0);

    (void)state;
    catalog_evidence_doubt_store(&e, 1000);
    catalog_evidence_from_store(&e, 7, 990, -1);
    catalog_evidence_peers_answered(&e, 999);
    assert_false(catalog_evidence_is_fresh(&e, 1100));
    /* The answer that was waiting counts once the witnesses have answered. */
    catalog_evidence_peers_answered(&e, 1000);
    assert_int_equal(catalog_evidence_age_ms(&e, 1100), 110);
    catalog_evidence_doubt_store(&e, 1200);
    assert_true(catalog_evidence_is_fresh(&e, 1300));
    catalog_evidence_from_store(&e, 7, 1250, 1100);
    assert_int_equal(catalog_evidence_age_ms(&e, 1300), 310);
    /* A witness knows a newer version. */
    catalog_evidence_from_peer(&e, &c, 7, 1300);
    catalog_evidence_peers_answered(&e, 1280);
    assert_int_equal(catalog_evidence_age_ms(&e, 1300), 310);
    /* The only proxy has nobody to ask. */
    e = new_evidence();
    catalog_evidence_doubt_store(&e, 1000);
    catalog_evidence_from_store(&e, 7, 990, CLOCK_NEVER);
    assert_true(catalog_evidence_is_fresh(&e, 1100));
}

/* Guards against a proxy that no peer answers and that leaves it to them to
   ask the store, and against one that asks beside its peers. */
static void
test_asks_the_store_without_peers(void **state)
{
    struct catalog_evidence e = new_evidence();
    const struct catalog_claim c = claim(7, 200, 1000);

    (void)state;
    catalog_evidence_from_store(&e, 7, 900, -1);
    assert_true(catalog_evidence_needs_store(&e, 1000));
    catalog_evidence_from_peer(&e, &c, 7, 1001);
    assert_false(catalog_evidence_needs_store(&e, 1001));
    assert_true(
        catalog_evidence_needs_store(&e, 800 + CATALOG_EVIDENCE_ASK_AFTER_MS));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_store_evidence_expires),
        cmocka_unit_test(test_lower_version_proves_nothing),
        cmocka_unit_test(test_peer_evidence_counts_from_the_echo),
        cmocka_unit_test(test_echo_of_another_process_is_ignored),
        cmocka_unit_test(test_peer_with_another_version),
        cmocka_unit_test(test_store_that_came_back),
        cmocka_unit_test(test_asks_the_store_without_peers),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
