#include "coordination/agreement.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

static const struct agreement_peer three[] = {
    {.name = "a", .failure_domain = "x"},
    {.name = "b", .failure_domain = "y"},
    {.name = "c", .failure_domain = "z"},
};

/* Exchanges a message and its reply between two proxies. */
static void
exchange(struct agreement *from, const char *from_name, struct agreement *to,
         const char *to_name, clock_ms now)
{
    struct agreement_message m;

    agreement_compose_message(from, to_name, 0, false, now, &m);
    agreement_receive(to, &m, now);
    agreement_compose_message(to, from_name, 0, false, now, &m);
    agreement_receive(from, &m, now);
}

/* Creates a proxy that has read version 1 of the view from the store. */
static struct agreement *
create_proxy(const char *name, uint64_t incarnation)
{
    const struct view v = {.version = 1};
    struct agreement *a = agreement_create(name, incarnation, 0);

    agreement_set_peers(a, three, 3, 0);
    agreement_adopt_view(a, &v);
    agreement_confirm_by_store(a, 1, 0, false);
    agreement_set_applied(a, 1);
    return a;
}

/* Guards against leases that are no longer confirmed after all witnesses have
   restarted one after another. */
static void
test_restarted_witness_confirms(void **state)
{
    struct agreement *a = create_proxy("a", 1);
    struct agreement *b = create_proxy("b", 1);
    struct agreement *c = create_proxy("c", 1);

    (void)state;
    exchange(a, "a", b, "b", 10000);
    assert_true(agreement_lease_is_valid(a, 10100));
    agreement_destroy(b);
    agreement_destroy(c);
    b = create_proxy("b", 2);
    c = create_proxy("c", 2);
    exchange(a, "a", b, "b", 12000);
    assert_true(agreement_lease_is_valid(a, 12100));
    assert_false(agreement_lease_is_valid(a, 12000 + AGREEMENT_LEASE_MS));
    agreement_destroy(a);
    agreement_destroy(b);
    agreement_destroy(c);
}

/* Starts a proxy again that reaches no store. */
static struct agreement *
restart_proxy(struct agreement *old, const char *name, clock_ms now)
{
    struct agreement *a = agreement_create(name, 2, now);

    agreement_destroy(old);
    agreement_set_peers(a, three, 3, now);
    return a;
}

/* Guards against proxies that have forgotten a view and confirm an older one,
   which they learn from a proxy that missed the newer one (review/14). */
static void
test_forgotten_view_is_not_replaced_by_an_older_one(void **state)
{
    const struct view next = {.version = 2};
    struct agreement *a = create_proxy("a", 1);
    struct agreement *b = create_proxy("b", 1);
    struct agreement *c = create_proxy("c", 1);
    clock_ms now = 10000;

    (void)state;
    exchange(b, "b", c, "c", now);
    agreement_adopt_view(b, &next);
    agreement_adopt_view(c, &next);
    b = restart_proxy(b, "b", now);
    c = restart_proxy(c, "c", now);
    for (int i = 0; i < 50; i++) {
        now += AGREEMENT_LEASE_MS / 10;
        exchange(a, "a", b, "b", now);
        exchange(b, "b", c, "c", now);
        exchange(c, "c", a, "a", now);
        assert_false(agreement_lease_is_valid(a, now));
        assert_false(agreement_lease_is_valid(b, now));
        assert_false(agreement_lease_is_valid(c, now));
    }
    assert_int_equal(agreement_view(b)->version, 1);
    agreement_adopt_view(b, &next); /* the store is back */
    agreement_confirm_by_store(b, 2, now, true);
    assert_false(agreement_is_recovering(b));
    exchange(b, "b", a, "a", now);
    assert_int_equal(agreement_view(a)->version, 2);
    agreement_destroy(a);
    agreement_destroy(b);
    agreement_destroy(c);
}

/* Guards against a fleet that cannot be restarted one by one while the store
   is out of reach: the answers of two of three witnesses, asked a while after
   the start, show that no newer view was applied. */
static void
test_recovery_by_witnesses(void **state)
{
    const clock_ms start = 10000;
    const clock_ms end = start + AGREEMENT_LEASE_MS;
    struct agreement *a = create_proxy("a", 1);
    struct agreement *b = create_proxy("b", 1);
    struct agreement *c = create_proxy("c", 1);

    (void)state;
    c = restart_proxy(c, "c", start);
    exchange(c, "c", a, "a", start + 10);
    exchange(c, "c", b, "b", start + 10);
    assert_int_equal(agreement_view(c)->version, 1);
    assert_true(agreement_is_recovering(c));
    exchange(c, "c", a, "a", end);
    assert_true(agreement_is_recovering(c));
    exchange(c, "c", b, "b", end - 1);
    assert_true(agreement_is_recovering(c));
    exchange(c, "c", b, "b", end);
    assert_false(agreement_is_recovering(c));
    assert_true(agreement_lease_is_valid(c, end));
    agreement_destroy(a);
    agreement_destroy(b);
    agreement_destroy(c);
}

/* Guards against a change that counts what a peer had applied before it
   started again: nothing shows that it still runs. */
static void
test_silent_peer_has_applied_nothing(void **state)
{
    const struct view next = {.version = 2};
    const clock_ms late = 10010 + AGREEMENT_LEASE_MS;
    struct agreement *a = create_proxy("a", 1);
    struct agreement *b = create_proxy("b", 1);

    (void)state;
    agreement_adopt_view(a, &next);
    agreement_set_applied(a, 2);
    agreement_adopt_view(b, &next);
    agreement_set_applied(b, 2);
    exchange(a, "a", b, "b", 10010);
    assert_false(agreement_older_views_expired(a, 2, 10000, late));
    assert_false(
        agreement_older_views_expired(a, 2, 10000, late + AGREEMENT_LEASE_MS));
    agreement_destroy(a);
    agreement_destroy(b);
}

/* Guards against a lease on a view that a witness knows to be outdated. */
static void
test_outdated_view_is_not_confirmed(void **state)
{
    const struct view next = {.version = 2};
    struct agreement *a = create_proxy("a", 1);
    struct agreement *b = create_proxy("b", 1);
    struct agreement_message m;

    (void)state;
    agreement_adopt_view(b, &next);
    agreement_compose_message(a, "b", 0, false, 10000, &m);
    agreement_receive(b, &m, 10000);
    agreement_compose_message(b, "a", 0, false, 10000, &m);
    m.has_changes = false; /* as if there were too many */
    agreement_receive(a, &m, 10000);
    assert_false(agreement_lease_is_valid(a, 10001));
    agreement_destroy(a);
    agreement_destroy(b);
}

/* Guards against a change that proceeds while a proxy that has not been heard
   from can still rely on the old view. */
static void
test_change_waits_for_leases(void **state)
{
    const struct view next = {.version = 2};
    struct agreement *a = create_proxy("a", 1);
    struct agreement *b = create_proxy("b", 1);

    (void)state;
    agreement_adopt_view(a, &next);
    agreement_set_applied(a, 2);
    assert_false(agreement_older_views_expired(a, 2, 10000, 10000));
    agreement_adopt_view(b, &next);
    agreement_set_applied(b, 2);
    exchange(a, "a", b, "b", 10010);
    assert_false(agreement_older_views_expired(a, 2, 10000, 10010));
    assert_false(agreement_older_views_expired(
        a, 2, 10000, 10010 + AGREEMENT_LEASE_MS - 1));
    assert_true(agreement_older_views_expired(a, 2, 10000,
                                              10010 + AGREEMENT_LEASE_MS));
    agreement_destroy(a);
    agreement_destroy(b);
}

/* Guards against an order of an earlier holder that reaches the platform after
   that of the next one (review/12): one that was given just before its lease
   expired is delivered for AGREEMENT_ORDER_LIFE_MS more, unless all proxies
   have reported that theirs have ended. */
static void
test_orders_outlast_leases(void **state)
{
    const struct view next = {.version = 2};
    const clock_ms leases = 10010 + AGREEMENT_LEASE_MS;
    struct agreement *a = create_proxy("a", 1);
    struct agreement *b = create_proxy("b", 1);
    struct agreement *c = create_proxy("c", 1);

    (void)state;
    agreement_adopt_view(a, &next);
    agreement_set_applied(a, 2);
    agreement_adopt_view(b, &next);
    agreement_set_applied(b, 2);
    exchange(a, "a", b, "b", 10010);
    assert_false(agreement_older_orders_expired(a, 2, 10000, 10010));
    assert_true(agreement_older_views_expired(a, 2, 10000, leases));
    assert_false(agreement_older_orders_expired(a, 2, 10000, leases));
    assert_false(agreement_older_orders_expired(
        a, 2, 10000, leases + AGREEMENT_ORDER_LIFE_MS - 1));
    assert_true(agreement_older_orders_expired(
        a, 2, 10000, leases + (clock_ms)2 * AGREEMENT_ORDER_LIFE_MS));
    exchange(a, "a", b, "b", leases);
    exchange(a, "a", c, "c", leases);
    agreement_set_applied(c, 2);
    exchange(a, "a", c, "c", leases);
    assert_true(agreement_older_orders_expired(a, 2, 10000, leases));
    agreement_destroy(a);
    agreement_destroy(b);
    agreement_destroy(c);
}

/* Guards against a choice of witnesses that depends on the order of the list,
   and against more witnesses than the traffic is planned for. */
static void
test_choice_of_witnesses(void **state)
{
    struct agreement_peer peers[20];
    char names[20][8];
    struct agreement *a = agreement_create("n0", 1, 0);
    struct agreement *b = agreement_create("n1", 1, 0);
    int count = 0;

    (void)state;
    for (int i = 0; i < 20; i++) {
        snprintf(names[i], sizeof(names[i]), "n%d", i);
        peers[i] = (struct agreement_peer){
            .name = names[i], .failure_domain = i % 2 ? "x" : "y"};
    }
    agreement_set_peers(a, peers, 20, 0);
    for (int i = 0; i < 10; i++) {
        const struct agreement_peer swap = peers[i];
        peers[i] = peers[19 - i];
        peers[19 - i] = swap;
    }
    agreement_set_peers(b, peers, 20, 0);
    for (int i = 0; i < 20; i++) {
        count += agreement_is_witness(a, names[i]);
        assert_int_equal(agreement_is_witness(a, names[i]),
                         agreement_is_witness(b, names[i]));
    }
    assert_int_equal(count, AGREEMENT_WITNESSES_MAX);
    agreement_destroy(a);
    agreement_destroy(b);
}

/* Guards against a lease of a proxy that the others do not know, so that a
   change does not wait for it. An answer of the store therefore confirms
   nothing to a proxy that is not registered or that the others may not know
   yet. */
static void
test_store_confirms_known_proxies_only(void **state)
{
    struct agreement *a = create_proxy("a", 1);
    struct agreement *b = create_proxy("b", 1);

    (void)state;
    agreement_confirm_by_store(a, 1, 10000, true);
    assert_false(agreement_lease_is_valid(a, 10100));
    exchange(a, "a", b, "b", 10200);
    agreement_confirm_by_store(a, 1, 11500, false);
    assert_false(agreement_lease_is_valid(a, 11600));
    agreement_confirm_by_store(a, 1, 11500, true);
    assert_true(agreement_lease_is_valid(a, 11600));
    agreement_destroy(a);
    agreement_destroy(b);
}

/* Guards against a change that does not wait for a proxy which only another
   witness knows, and whose lease that witness may have confirmed. */
static void
test_change_waits_for_equal_lists(void **state)
{
    static const struct agreement_peer four[] = {
        {.name = "a", .failure_domain = "x"},
        {.name = "b", .failure_domain = "y"},
        {.name = "c", .failure_domain = "z"},
        {.name = "d", .failure_domain = "z"},
    };
    struct agreement *a = create_proxy("a", 1);
    struct agreement *b = create_proxy("b", 1);
    struct agreement *c = create_proxy("c", 1);

    (void)state;
    agreement_set_peers(b, four, 4, 9000);
    exchange(b, "b", a, "a", 10000);
    exchange(c, "c", a, "a", 10000);
    assert_false(agreement_older_views_expired(a, 1, 10000, 10100));
    agreement_set_peers(b, three, 3, 10200);
    exchange(a, "a", b, "b", 10200);
    exchange(a, "a", c, "c", 10200);
    assert_true(agreement_older_views_expired(a, 1, 10000, 10300));
    agreement_destroy(a);
    agreement_destroy(b);
    agreement_destroy(c);
}

/* Guards against deleting a live proxy whose messages do not reach one of the
   witnesses, and against registrations that are never deleted. */
static void
test_lost_proxy_is_unregistered(void **state)
{
    const clock_ms lost = AGREEMENT_SILENT_MS;
    struct agreement *a = create_proxy("a", 1);
    struct agreement *b = create_proxy("b", 1);
    struct agreement *c = create_proxy("c", 1);

    (void)state;
    exchange(a, "a", b, "b", 1000);
    exchange(c, "c", b, "b", 5000);
    /* a has not heard from c for 15 s, but b has. */
    exchange(a, "a", b, "b", 1000 + lost);
    assert_null(agreement_find_lost_peer(a, 1000 + lost));
    exchange(a, "a", b, "b", 5000 + lost);
    assert_string_equal(agreement_find_lost_peer(a, 5000 + lost), "c");
    /* b has another list of proxies: an earlier change has not reached all. */
    agreement_set_peers(b, three, 2, 5000 + lost);
    exchange(a, "a", b, "b", 5100 + lost);
    assert_null(agreement_find_lost_peer(a, 5100 + lost));
    agreement_destroy(a);
    agreement_destroy(b);
    agreement_destroy(c);
}

/* Exchanges messages between two proxies every 400 ms. */
static void
stay_in_touch(struct agreement *a, const char *a_name, struct agreement *b,
              const char *b_name, clock_ms from, clock_ms to)
{
    for (clock_ms now = from; now <= to; now += 400) {
        exchange(a, a_name, b, b_name, now);
        exchange(b, b_name, a, a_name, now);
    }
}

/* Fills in a list of n proxies n0, n1, ..., in three failure domains. */
static void
list_proxies(struct agreement_peer *peers, char names[][8], int n)
{
    static const char *const domains[] = {"x", "y", "z"};

    for (int i = 0; i < n; i++) {
        g_snprintf(names[i], 8, "n%d", i);
        peers[i] = (struct agreement_peer){.name = names[i],
                                           .failure_domain = domains[i % 3]};
    }
}

/* Returns the name of the nth proxy that is, or is not, a witness. */
static const char *
nth_proxy(const struct agreement_peer *peers, int n, bool witness, int nth)
{
    struct agreement *a = agreement_create("", 1, 0);
    const char *name = NULL;

    agreement_set_peers(a, peers, n, 0);
    for (int i = 0; i < n && name == NULL; i++) {
        if (agreement_is_witness(a, peers[i].name) == witness && nth-- == 0) {
            name = peers[i].name;
        }
    }
    agreement_destroy(a);
    assert_non_null(name);
    return name;
}

/* Creates a registered proxy that knows a list of proxies and version 1 of the
   view. */
static struct agreement *
create_registered(const char *name, const struct agreement_peer *peers, int n)
{
    const struct view v = {.version = 1};
    struct agreement *a = agreement_create(name, 1, 0);

    agreement_set_peers(a, peers, n, 0);
    agreement_adopt_view(a, &v);
    agreement_set_known_to_peers(a);
    return a;
}

/* Returns the list without the proxy of that name. */
static int
remove_proxy(struct agreement_peer *peers, int n, const char *name)
{
    int kept = 0;

    for (int i = 0; i < n; i++) {
        if (strcmp(peers[i].name, name) != 0) {
            peers[kept++] = peers[i];
        }
    }
    return kept;
}

/* Guards against a fleet whose dead witnesses stay registered because too few
   others live to report them: then nobody may change the view. */
static void
test_lost_witnesses_are_replaced(void **state)
{
    struct agreement_peer peers[10];
    char names[10][8];
    clock_ms now = AGREEMENT_SILENT_MS;
    int n = 10;

    (void)state;
    list_proxies(peers, names, n);
    const char *const live[] = {nth_proxy(peers, n, true, 0),
                                nth_proxy(peers, n, true, 1)};
    struct agreement *a = create_registered(live[0], peers, n);
    struct agreement *b = create_registered(live[1], peers, n);
    stay_in_touch(a, live[0], b, live[1], 400, now);
    for (int left = n; left > 2; left--) {
        agreement_confirm_by_store(a, 1, now, true);
        const char *name = agreement_find_lost_peer(a, now);
        assert_non_null(name);
        assert_string_not_equal(name, live[1]);
        n = remove_proxy(peers, n, name);
        agreement_set_peers(a, peers, n, now);
        agreement_set_peers(b, peers, n, now);
        stay_in_touch(a, live[0], b, live[1], now, now + 1600);
        now += 1600;
    }
    assert_int_equal(n, 2);
    agreement_destroy(a);
    agreement_destroy(b);
}

/* Guards against a fleet without a live witness, in which no registration is
   deleted. */
static void
test_proxy_replaces_all_witnesses(void **state)
{
    struct agreement_peer peers[10];
    char names[10][8];
    clock_ms now = AGREEMENT_SILENT_MS;
    int n = 10;

    (void)state;
    list_proxies(peers, names, n);
    const char *live = nth_proxy(peers, n, false, 0);
    struct agreement *a = create_registered(live, peers, n);
    while (n > 1) {
        now += 2000;
        agreement_confirm_by_store(a, 1, now, true);
        const char *name = agreement_find_lost_peer(a, now);
        assert_non_null(name);
        assert_true(agreement_is_witness(a, name));
        n = remove_proxy(peers, n, name);
        agreement_set_peers(a, peers, n, now);
    }
    assert_int_equal(agreement_rank(a, now), 0);
    agreement_destroy(a);
}

/* Guards against dead witnesses that stay registered for longer each time
   another proxy has become a witness and has to find them silent itself. */
static void
test_new_witness_relies_on_reports(void **state)
{
    struct agreement_peer peers[10];
    char names[10][8];
    const clock_ms start = AGREEMENT_SILENT_MS;

    (void)state;
    list_proxies(peers, names, 10);
    const char *witness = nth_proxy(peers, 10, true, 0);
    const char *other = nth_proxy(peers, 10, false, 0);
    struct agreement *a = agreement_create(witness, 1, start);
    struct agreement *b = create_registered(other, peers, 10);
    agreement_set_peers(a, peers, 10, start);
    agreement_adopt_view(a, agreement_view(b));
    agreement_set_known_to_peers(a);
    stay_in_touch(a, witness, b, other, start, start + 3200);
    agreement_confirm_by_store(a, 1, start + 3200, true);
    const char *name = agreement_find_lost_peer(a, start + 3200);
    assert_non_null(name);
    assert_true(agreement_is_witness(a, name));
    agreement_destroy(a);
    agreement_destroy(b);
}

/* Guards against a proxy that is cut off from live ones and deletes their
   registrations, though they register again. */
static void
test_cut_off_proxy_stops_deleting(void **state)
{
    struct agreement_peer peers[5];
    char names[5][8];
    const clock_ms now = AGREEMENT_SILENT_MS;

    (void)state;
    list_proxies(peers, names, 5);
    struct agreement *a = create_registered("n0", peers, 5);
    /* Without the store it can't tell. */
    assert_null(agreement_find_lost_peer(a, now));
    agreement_confirm_by_store(a, 1, now, true);
    const char *name = agreement_find_lost_peer(a, now);
    assert_non_null(name);
    const int n = remove_proxy(peers, 5, name);
    agreement_set_peers(a, peers, n, now + 50);
    agreement_confirm_by_store(a, 1, now + 100, true);
    assert_null(agreement_find_lost_peer(a, now + 100));
    list_proxies(peers, names, 5);
    agreement_set_peers(a, peers, 5, now + 150);
    agreement_confirm_by_store(a, 1, now + 30000, true);
    assert_null(agreement_find_lost_peer(a, now + 30000));
    agreement_destroy(a);
}

/* Adds services to a view and increments its version. */
static void
add_services(struct view *v, int from, int n)
{
    v->version++;
    for (int i = from; i < from + n; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "db%d", i);
        struct view_entry *e = view_add(v, name);
        assert_non_null(e);
        e->epoch = v->version;
        g_snprintf(e->primary, sizeof(e->primary), "m%d", i);
    }
}

/* Guards against services that get no primary because the view is full (a view
   of 32 services was too small: 30 proxies serve 100), and against a proxy
   that adopts only some of the changes. */
static void
test_view_of_many_services(void **state)
{
    static struct view v;
    static struct view read;
    static struct agreement_message m;
    struct agreement *a = create_proxy("a", 1);
    struct agreement *b = create_proxy("b", 1);

    (void)state;
    v = *agreement_view(a);
    add_services(&v, 0, 1000);
    char *text = view_format(&v);
    assert_true(strlen(text) < 65536); /* limit of a row of the store */
    assert_true(view_parse(sview_from(text), &read));
    g_free(text);
    assert_int_equal(read.count, 1000);
    assert_string_equal(read.entries[999].primary, "m999");
    agreement_adopt_view(a, &v);
    /* 1,000 changes do not fit in a message. */
    agreement_compose_message(a, "b", 0, false, 10000, &m);
    assert_false(agreement_receive(b, &m, 10000));
    assert_int_equal(agreement_view(b)->count, 0);
    agreement_adopt_view(b, &v);
    exchange(b, "b", a, "a", 10100);
    /* Three changes do, and new services are appended in the same order. */
    v.entries[500].epoch = ++v.version;
    v.entries[500].changing = true;
    add_services(&v, 1000, 2);
    agreement_adopt_view(a, &v);
    agreement_compose_message(a, "b", 0, false, 10200, &m);
    assert_int_equal(m.change_count, 3);
    assert_true(agreement_receive(b, &m, 10200));
    assert_int_equal(agreement_view(b)->version, v.version);
    assert_true(agreement_view(b)->entries[500].changing);
    assert_string_equal(agreement_view(b)->entries[1001].service, "db1001");
    agreement_destroy(a);
    agreement_destroy(b);
}

/* Guards against applying changes to a view that lacks earlier ones. */
static void
test_changes_require_base_version(void **state)
{
    static struct view v;
    static struct agreement_message m;
    struct agreement *a = create_proxy("a", 1);
    struct agreement *b = create_proxy("b", 1);

    (void)state;
    exchange(b, "b", a, "a", 10000);
    v = *agreement_view(a);
    add_services(&v, 0, 1);
    agreement_adopt_view(a, &v);
    agreement_compose_message(a, "b", 0, false, 10100, &m);
    m.base_version = 9;
    assert_false(agreement_receive(b, &m, 10100));
    assert_int_equal(agreement_view(b)->version, 1);
    agreement_destroy(a);
    agreement_destroy(b);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_restarted_witness_confirms),
        cmocka_unit_test(test_forgotten_view_is_not_replaced_by_an_older_one),
        cmocka_unit_test(test_recovery_by_witnesses),
        cmocka_unit_test(test_silent_peer_has_applied_nothing),
        cmocka_unit_test(test_outdated_view_is_not_confirmed),
        cmocka_unit_test(test_change_waits_for_leases),
        cmocka_unit_test(test_orders_outlast_leases),
        cmocka_unit_test(test_choice_of_witnesses),
        cmocka_unit_test(test_store_confirms_known_proxies_only),
        cmocka_unit_test(test_change_waits_for_equal_lists),
        cmocka_unit_test(test_lost_proxy_is_unregistered),
        cmocka_unit_test(test_lost_witnesses_are_replaced),
        cmocka_unit_test(test_proxy_replaces_all_witnesses),
        cmocka_unit_test(test_new_witness_relies_on_reports),
        cmocka_unit_test(test_cut_off_proxy_stops_deleting),
        cmocka_unit_test(test_view_of_many_services),
        cmocka_unit_test(test_changes_require_base_version),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
