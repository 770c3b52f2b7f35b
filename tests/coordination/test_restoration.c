#include "coordination/promoter.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* The view after the store has come back from an older copy: proxy b, with the
   peers a and c. */

#define ERA_1 (1ULL << AGREEMENT_ERA_SHIFT)
#define ERA_2 (2ULL << AGREEMENT_ERA_SHIFT)

static const struct agreement_peer peers[] = {
    {"a", "z0"}, {"b", "z1"}, {"c", "z2"}};
static const struct service_member members[] = {
    {.id = "m0", .listed = true, .says_primary = true},
    {.id = "m1", .listed = true},
    {.id = "m2", .listed = true}};

struct fixture {
    struct agreement *agreement;
    struct promoter *promoter;
    clock_ms now;
    struct view written;
    int writes;
    int orders;
};

static void
write_view(void *ctx, const struct view *next)
{
    struct fixture *f = ctx;

    f->written = *next;
    f->writes++;
}

static void
query(void *ctx, const char *service, const char *member, uint64_t demote_term,
      uint64_t round)
{
    (void)ctx;
    (void)service;
    (void)member;
    (void)demote_term;
    (void)round;
}

static void
order(void *ctx, const char *service, const char *member, uint64_t fence,
      clock_ms valid_until)
{
    struct fixture *f = ctx;

    (void)service;
    (void)member;
    (void)fence;
    (void)valid_until;
    f->orders++;
}

/* Returns a view of the first era in which m0 is the primary. */
static struct view
make_view(const char *holder, uint64_t version)
{
    struct view v = {
        .version = ERA_1 + version, .fence = ERA_1 + 1, .count = 1};

    g_strlcpy(v.holder, holder, sizeof(v.holder));
    g_strlcpy(v.entries[0].service, "db", sizeof(v.entries[0].service));
    g_strlcpy(v.entries[0].primary, "m0", sizeof(v.entries[0].primary));
    v.entries[0].epoch = v.version;
    v.entries[0].term = 1;
    return v;
}

static void
setup(struct fixture *f)
{
    const struct promoter_actions actions = {
        .write_view = write_view, .query = query, .order = order, .ctx = f};

    memset(f, 0, sizeof(*f));
    f->now = 100000;
    f->agreement = agreement_create("b", 1, f->now);
    agreement_set_peers(f->agreement, peers, G_N_ELEMENTS(peers), f->now);
    agreement_set_known_to_peers(f->agreement);
    f->promoter = promoter_create("b", f->agreement, &actions);
}

static void
teardown(struct fixture *f)
{
    promoter_destroy(f->promoter);
    agreement_destroy(f->agreement);
}

/* Delivers a message of a peer that confirms this proxy's lease and knows no
   view beyond version. */
static void
receive_from(struct fixture *f, const char *name, uint64_t version)
{
    struct agreement_message m = {.incarnation = 1,
                                  .sent_at = f->now,
                                  .echo = f->now,
                                  .echo_incarnation = 1,
                                  .applied = version,
                                  .version = version};

    g_strlcpy(m.from, name, sizeof(m.from));
    agreement_receive(f->agreement, &m, f->now);
}

/* Lets time pass; the peers that are named send messages. */
static void
run_for(struct fixture *f, int64_t ms, const char *senders, uint64_t version)
{
    const struct service_state state = {.members = members,
                                        .member_count = G_N_ELEMENTS(members)};
    const clock_ms end = f->now + ms;

    while (f->now < end) {
        f->now += 25;
        for (const char *c = senders; *c != '\0'; c++) {
            const char name[] = {*c, '\0'};
            receive_from(f, name, version);
        }
        promoter_tick(f->promoter, "db", &state, f->now);
        promoter_end_round(f->promoter, f->now);
    }
}

static void
test_holder_writes_the_lost_view_again(void **state)
{
    struct fixture f;
    const struct view v = make_view("b", 9);

    (void)state;
    setup(&f);
    agreement_set_store_era(f.agreement, 1, f.now);
    agreement_adopt_view(f.agreement, &v);
    agreement_confirm_by_store(f.agreement, v.version, f.now, true);
    run_for(&f, 100, "ac", v.version);
    assert_int_equal(f.writes, 0);
    agreement_set_store_era(f.agreement, 2, f.now);
    run_for(&f, 25, "ac", v.version);
    assert_int_equal(f.writes, 1);
    assert_true(f.written.version == ERA_2 + 1);
    assert_true(f.written.fence > ERA_2);
    assert_true(f.written.entries[0].epoch == f.written.version);
    assert_false(f.written.entries[0].changing);
    assert_string_equal(f.written.entries[0].primary, "m0");
    teardown(&f);
}

/* Another holder may have replaced it in a view that only the peers know. */
static void
test_holder_without_a_lease_waits(void **state)
{
    struct fixture f;
    const struct view v = make_view("b", 9);

    (void)state;
    setup(&f);
    agreement_set_store_era(f.agreement, 1, f.now);
    agreement_adopt_view(f.agreement, &v);
    agreement_set_store_era(f.agreement, 2, f.now);
    run_for(&f, AGREEMENT_SETTLE_MS - 100, "", 0);
    assert_int_equal(f.writes, 0);
    run_for(&f, 500, "", 0);
    assert_int_equal(f.writes, 1);
    assert_true(f.written.entries[0].changing);
    teardown(&f);
}

static void
test_older_view_gives_no_lease(void **state)
{
    struct fixture f;
    const struct view old = make_view("b", 7);
    struct view restored = old;
    struct agreement_message m;

    (void)state;
    setup(&f);
    agreement_set_store_era(f.agreement, 2, f.now);
    agreement_adopt_view(f.agreement, &old);
    run_for(&f, 200, "ac", 0);
    agreement_confirm_by_store(f.agreement, old.version, f.now, true);
    assert_false(agreement_lease_is_valid(f.agreement, f.now));
    agreement_compose_message(f.agreement, "a", NULL, false, f.now, &m);
    assert_true(m.version == 0);
    restored.version = ERA_2 + 1;
    agreement_adopt_view(f.agreement, &restored);
    agreement_confirm_by_store(f.agreement, restored.version, f.now, false);
    run_for(&f, 25, "ac", restored.version);
    assert_true(agreement_lease_is_valid(f.agreement, f.now));
    agreement_confirm_by_store(f.agreement, restored.version, f.now, true);
    assert_true(agreement_confirmed_at(f.agreement) == f.now);
    teardown(&f);
}

/* The same for a proxy that has been running since before, but missed the last
   views, as its peers have: they would confirm the older one. */
static void
test_older_view_gives_a_running_proxy_no_lease(void **state)
{
    struct fixture f;
    const struct view first = make_view("b", 5);
    const struct view old = make_view("b", 7);

    (void)state;
    setup(&f);
    agreement_set_store_era(f.agreement, 1, f.now);
    agreement_adopt_view(f.agreement, &first);
    agreement_confirm_by_store(f.agreement, first.version, f.now, true);
    run_for(&f, 50, "ac", first.version);
    assert_true(agreement_lease_is_valid(f.agreement, f.now));
    agreement_set_store_era(f.agreement, 2, f.now);
    agreement_adopt_view(f.agreement, &old);
    run_for(&f, 200, "ac", old.version);
    assert_false(agreement_lease_is_valid(f.agreement, f.now));
    teardown(&f);
}

/* What the store has confirmed before may be lost. */
static void
test_confirmation_of_the_earlier_era_expires(void **state)
{
    struct fixture f;
    const struct view v = make_view("a", 9);

    (void)state;
    setup(&f);
    agreement_set_store_era(f.agreement, 1, f.now);
    agreement_adopt_view(f.agreement, &v);
    agreement_confirm_by_store(f.agreement, v.version, f.now, true);
    assert_true(agreement_lease_is_valid(f.agreement, f.now));
    agreement_set_store_era(f.agreement, 2, f.now);
    assert_false(agreement_lease_is_valid(f.agreement, f.now));
    teardown(&f);
}

/* All proxies were restarted: only the members know what was lost. */
static void
test_lost_orders_are_awaited_before_the_survey(void **state)
{
    struct fixture f;
    const struct view old = make_view("a", 7);

    (void)state;
    setup(&f);
    agreement_set_store_era(f.agreement, 2, f.now);
    agreement_adopt_view(f.agreement, &old);
    run_for(&f, 2000, "ac", 0);
    assert_int_equal(f.writes, 1);
    assert_string_equal(f.written.holder, "b");
    assert_true(f.written.fence > ERA_2);
    assert_true(f.written.entries[0].changing);
    assert_string_equal(f.written.entries[0].ordered, VIEW_ORDERED_UNKNOWN);
    assert_true(f.written.entries[0].term == 1);
    assert_int_equal(f.orders, 0);
    teardown(&f);
}

/* The holder has ordered m1 and is gone; the store has lost that. */
static void
test_known_order_survives_a_takeover(void **state)
{
    struct fixture f;
    struct view v = make_view("a", 9);

    (void)state;
    v.entries[0].changing = true;
    g_strlcpy(v.entries[0].ordered, "m1", sizeof(v.entries[0].ordered));
    setup(&f);
    agreement_set_store_era(f.agreement, 1, f.now);
    agreement_adopt_view(f.agreement, &v);
    run_for(&f, 200, "c", v.version);
    agreement_set_store_era(f.agreement, 2, f.now);
    run_for(&f, 500, "c", v.version);
    assert_int_equal(f.writes, 1);
    assert_string_equal(f.written.holder, "b");
    assert_string_equal(f.written.entries[0].ordered, "m1");
    assert_true(f.written.entries[0].changing);
    teardown(&f);
}

/* The directory's roles may be those of before a lost promotion. */
static void
test_service_of_a_lost_view_is_surveyed(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    agreement_set_store_era(f.agreement, 2, f.now);
    run_for(&f, AGREEMENT_SETTLE_MS - 100, "ac", 0);
    assert_int_equal(f.writes, 0);
    run_for(&f, 1000, "ac", 0);
    assert_int_equal(f.writes, 1);
    assert_true(f.written.version == ERA_2 + 1);
    assert_true(f.written.entries[0].changing);
    teardown(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_holder_writes_the_lost_view_again),
        cmocka_unit_test(test_holder_without_a_lease_waits),
        cmocka_unit_test(test_older_view_gives_no_lease),
        cmocka_unit_test(test_older_view_gives_a_running_proxy_no_lease),
        cmocka_unit_test(test_confirmation_of_the_earlier_era_expires),
        cmocka_unit_test(test_lost_orders_are_awaited_before_the_survey),
        cmocka_unit_test(test_known_order_survives_a_takeover),
        cmocka_unit_test(test_service_of_a_lost_view_is_surveyed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
