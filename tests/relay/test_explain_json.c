#include "relay/explain_route.h"
#include "relay/relay_fixture.h"

#include <jansson.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* The explanation of a route as JSON, and the refusals that come before the
   choice of a member. */

#define KEY "secret-key-of-a"

static struct service *
find_service(void *ctx, const char *name)
{
    struct fixture *f = ctx;

    return strcmp(name, "db") == 0 ? f->service : NULL;
}

static int
no_permits(void *ctx, const char *account)
{
    (void)ctx;
    (void)account;
    return 0;
}

static struct route_state
state_of(struct fixture *f)
{
    return (struct route_state){.catalog = f->catalog,
                                .service = find_service,
                                .ctx = f,
                                .now = f->now,
                                .catalog_age_ms = 40,
                                .evidence_age_ms = -1,
                                .catalog_fresh = !f->catalog_stale,
                                .permits = no_permits};
}

/* Returns the explanation, which the caller releases. */
static json_t *
explain(const struct route_state *state, const char *account,
        enum route_kind kind)
{
    const struct route_query q = {
        .database = "boats", .account = account, .kind = kind};
    struct route_explanation e;
    const char *error = NULL;
    GString *text = g_string_new(NULL);

    assert_true(explain_route(&e, &q, state, &error));
    explain_route_write_json(&e, text);
    assert_null(strstr(text->str, KEY));
    json_t *o = json_loads(text->str, 0, NULL);
    assert_non_null(o);
    g_string_free(text, TRUE);
    return o;
}

static void
add_account(struct fixture *f)
{
    struct account *a = g_new0(struct account, 1);
    const struct account_key key = account_key_of(sview_from(KEY));

    a->name = g_strdup("a");
    a->rate_milli_per_s = 10000;
    a->burst_milli = 5000;
    f->catalog->has_accounts = true;
    assert_true(catalog_add_account(f->catalog, a));
    assert_true(catalog_add_key(f->catalog, &key, "a"));
}

static const char *
outcome(const json_t *o, const char *key)
{
    const char *text =
        json_string_value(json_object_get(json_object_get(o, "outcome"), key));

    return text != NULL ? text : "";
}

/* Guards against an explanation without the parts that an operator needs, and
   against one that opens the connection it speaks of. */
static void
test_parts(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_BOUNDED);
    const struct route_state rs = state_of(&f);
    json_t *o = explain(&rs, NULL, ROUTE_WRITE);
    assert_string_equal(outcome(o, "result"), "queued");
    assert_string_equal(outcome(o, "member"), "m1");
    assert_int_equal(f.link_count, 0);
    const json_t *members = json_object_get(o, "members");
    assert_int_equal(json_array_size(members), 3);
    const json_t *m2 = json_array_get(members, 1);
    assert_string_equal(json_string_value(json_object_get(m2, "member")),
                        "m2");
    assert_true(json_is_false(json_object_get(m2, "suitable")));
    assert_string_equal(
        json_string_value(json_array_get(json_object_get(m2, "against"), 0)),
        "only the primary may serve it");
    assert_int_equal(json_integer_value(json_object_get(
                         json_object_get(o, "route"), "max_staleness_ms")),
                     1500);
    json_decref(o);
    fixture_teardown(&f);
}

/* Guards against another answer than the caller of a transaction gets. */
static void
test_refusals_without_primary(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    f.lease = false;
    f.now += 1;
    service_tick(f.service, f.now);
    const struct route_state first = state_of(&f);
    json_t *o = explain(&first, NULL, ROUTE_READ);
    assert_string_equal(outcome(o, "result"), "queued");
    assert_string_equal(outcome(o, "then_why"), "no_lease");
    json_decref(o);
    fixture_advance_time(&f, 400);
    const struct route_state later = state_of(&f);
    o = explain(&later, NULL, ROUTE_READ);
    assert_string_equal(outcome(o, "result"), "refused");
    assert_string_equal(outcome(o, "answer"), "busy");
    assert_string_equal(outcome(o, "why"), "no_lease");
    json_decref(o);
    o = explain(&later, NULL, ROUTE_TRANSACTION);
    assert_string_equal(outcome(o, "answer"), "aborted");
    json_decref(o);
    fixture_teardown(&f);
}

/* Guards against an explanation that ignores keys, freshness and permits. */
static void
test_accounts(void **state)
{
    struct fixture f;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    add_account(&f);
    struct route_state rs = state_of(&f);
    json_t *o = explain(&rs, NULL, ROUTE_READ);
    assert_string_equal(outcome(o, "answer"), "unauthorized");
    json_decref(o);
    rs.limits_enforced = true;
    o = explain(&rs, "a", ROUTE_READ);
    assert_string_equal(outcome(o, "result"), "queued");
    assert_true(json_is_true(
        json_object_get(json_object_get(o, "outcome"), "asks_for_permit")));
    json_decref(o);
    rs.catalog_fresh = false;
    o = explain(&rs, "a", ROUTE_READ);
    assert_string_equal(outcome(o, "answer"), "busy");
    assert_string_equal(outcome(o, "why"), "configuration_stale");
    json_decref(o);
    rs.catalog_fresh = true;
    rs.shutting_down = true;
    o = explain(&rs, "a", ROUTE_READ);
    assert_string_equal(outcome(o, "why"), "shutting down");
    json_decref(o);
    fixture_teardown(&f);
}

/* Guards against an explanation of what does not exist. */
static void
test_unknown_names(void **state)
{
    struct fixture f;
    struct route_explanation e;
    const char *error = NULL;

    (void)state;
    fixture_setup(&f, FRESHNESS_PRIMARY);
    const struct route_state rs = state_of(&f);
    const struct route_query database = {.database = "ships"};
    assert_false(explain_route(&e, &database, &rs, &error));
    assert_string_equal(error, "unknown database");
    const struct route_query account = {.database = "boats", .account = "b"};
    assert_false(explain_route(&e, &account, &rs, &error));
    assert_string_equal(error, "unknown account");
    fixture_teardown(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_parts),
        cmocka_unit_test(test_refusals_without_primary),
        cmocka_unit_test(test_accounts),
        cmocka_unit_test(test_unknown_names),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
