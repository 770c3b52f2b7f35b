#include "relay/relay_fixture.h"
#include "relay/turns.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* The order of the queue, and connections that serve one account each. */

static struct account accounts[4] = {
    {.name = "anna", .priority = 1},
    {.name = "bela", .priority = 1},
    {.name = "cleo", .priority = 0},
    {.name = "dora", .priority = 1},
};

/* Guards against numbers that let an account catch up for the time in which it
   had no requests, or that make it wait for requests that were not served. */
static void
test_numbers(void **state)
{
    struct turns *t = turns_create();
    const struct turn_key a = {.account = "a"};
    const struct turn_key b = {.account = "b"};

    (void)state;
    for (uint64_t i = 0; i < 5; i++) {
        assert_int_equal(turns_add(t, &a), i);
    }
    assert_int_equal(turns_add(t, &b), 0);
    turns_remove(t, &a, 0, true);
    turns_remove(t, &b, 0, true);
    turns_remove(t, &a, 1, true);
    turns_remove(t, &a, 2, true);
    assert_int_equal(turns_next(t, &b), 2);
    turns_remove(t, &a, 4, false);
    /* Not below the number of a request that still waits. */
    assert_int_equal(turns_next(t, &a), 4);
    turns_remove(t, &a, 3, false);
    assert_int_equal(turns_next(t, &a), 0);
    assert_int_equal(turns_count(t), 0);
    turns_destroy(t);
}

/* Guards against a table that grows with the number of accounts seen. */
static void
test_table_is_bounded(void **state)
{
    struct turns *t = turns_create();
    const struct turn_key stays = {.account = "stays"};
    char name[16];

    (void)state;
    turns_add(t, &stays);
    for (int i = 0; i < 5000; i++) {
        g_snprintf(name, sizeof(name), "a%d", i);
        const struct turn_key k = {.account = name};
        turns_remove(t, &k, turns_add(t, &k), i % 2 == 0);
        assert_true(turns_count(t) <= 1024);
    }
    turns_remove(t, &stays, 0, true);
    turns_destroy(t);
}

struct waiting {
    struct connection_request request;
    int *next;
    int served; /* place in the order of grants; 0: not yet */
    bool refused;
    struct pooled_link *link;
};

static void
on_lost(void *ctx, const char *why)
{
    struct waiting *w = ctx;

    (void)why;
    w->link = NULL;
}

static void
on_granted(void *ctx, struct pooled_link *l)
{
    static const struct pooled_user user = {.lost = on_lost};
    struct waiting *w = ctx;

    w->link = l;
    w->served = ++*w->next;
    pooled_set_user(l, &user, w);
}

static void
on_refused(void *ctx, const char *why)
{
    struct waiting *w = ctx;

    (void)why;
    w->refused = true;
}

static void
submit(struct fixture *f, struct waiting *w, int priority, int account,
       int *next)
{
    *w = (struct waiting){.next = next};
    w->request = (struct connection_request){
        .priority = priority,
        .account = account >= 0 ? &accounts[account] : NULL,
        .needs_primary = true,
        .arrived_at = f->now,
        .deadline = f->now + 60000,
        .target = f->now + 60000,
        .granted = on_granted,
        .refused = on_refused,
        .ctx = w};
    service_submit(f->service, &w->request);
}

/* Makes the primary unavailable, so that all requests wait. */
static void
setup_waiting(struct fixture *f)
{
    const struct connection_limits limits = {.working = 4,
                                             .total = 64,
                                             .idle_permille = 60000,
                                             .replica_idle_permille = 60000};

    fixture_setup(f, FRESHNESS_PRIMARY);
    service_set_connection_limits(f->service, &limits);
    service_set_primary(f->service, 2, "", true, f->now);
}

/* Serves all waiting requests, one after another. */
static void
serve(struct fixture *f, struct waiting *w, int n)
{
    service_set_primary(f->service, 3, "m1", false, f->now);
    for (int round = 0; round < 400; round++) {
        fixture_advance_time(f, 25);
        fixture_accept_all(f);
        for (int i = 0; i < n; i++) {
            if (w[i].link != NULL) {
                struct pooled_link *l = w[i].link;
                w[i].link = NULL;
                pooled_release(l, false);
            }
        }
    }
}

/* Guards against an order other than by route, by account and in turns. */
static void
test_order(void **state)
{
    struct fixture f;
    struct waiting w[9];
    int next = 0;

    (void)state;
    setup_waiting(&f);
    submit(&f, &w[0], 1, 0, &next);
    submit(&f, &w[1], 1, 0, &next);
    submit(&f, &w[2], 1, 0, &next);
    submit(&f, &w[3], 1, 1, &next);
    submit(&f, &w[4], 1, 1, &next);
    submit(&f, &w[5], 2, 2, &next);
    submit(&f, &w[6], 1, 2, &next);
    submit(&f, &w[7], 0, 3, &next);
    submit(&f, &w[8], 1, -1, &next);
    assert_int_equal(service_counters(f.service)->turns_taken, 2);
    static const int order[9] = {7, 6, 0, 3, 1, 4, 2, 8, 5};
    /* The queue is the order; read it by withdrawing from its head. */
    for (int i = 0; i < 9; i++) {
        const struct connection_request *head = NULL;
        for (int k = 0; k < 9; k++) {
            if (w[k].request.queued && w[k].request.queue_node.prev == NULL) {
                head = &w[k].request;
                service_withdraw(f.service, &w[k].request);
                assert_int_equal(k, order[i]);
                break;
            }
        }
        assert_non_null(head);
    }
    fixture_teardown(&f);
}

/* Guards against another order than that of arrival without accounts. */
static void
test_order_without_accounts(void **state)
{
    struct fixture f;
    struct waiting w[20];
    int next = 0;

    (void)state;
    setup_waiting(&f);
    for (int i = 0; i < 20; i++) {
        submit(&f, &w[i], i % 2, -1, &next);
        if (i % 3 == 2) {
            service_withdraw(f.service, &w[i - 2].request);
        }
    }
    const struct connection_request *before = NULL;
    GList *first = &w[19].request.queue_node;
    while (first->prev != NULL) {
        first = first->prev;
    }
    int seen = 0;
    for (const GList *l = first; l != NULL; l = l->next) {
        const struct connection_request *o = l->data;
        assert_true(before == NULL || o->priority > before->priority ||
                    o > before);
        before = o;
        seen++;
    }
    assert_int_equal(seen, 14);
    for (int i = 0; i < 20; i++) {
        service_withdraw(f.service, &w[i].request);
    }
    assert_int_equal(service_counters(f.service)->turns_taken, 0);
    fixture_teardown(&f);
}

/* Guards against an account that fills the queue, so that the requests of
   others are refused, and against refusing an account within its part. */
static void
test_full_queue(void **state)
{
    static struct waiting w[600];
    struct waiting other[3];
    struct fixture f;
    int next = 0;
    int refused = 0;

    (void)state;
    setup_waiting(&f);
    for (int i = 0; i < 600; i++) {
        submit(&f, &w[i], 1, 0, &next);
        refused += w[i].refused;
    }
    assert_int_equal(refused, 88);
    for (int i = 0; i < 3; i++) {
        submit(&f, &other[i], 1, 1, &next);
        assert_false(other[i].refused);
    }
    assert_int_equal(service_queue_length(f.service), 512);
    assert_true(w[511].refused && w[510].refused && w[509].refused);
    assert_false(w[508].refused);
    /* Not for one of a less urgent route, nor for one with as many. */
    struct waiting late;
    submit(&f, &late, 2, 1, &next);
    assert_true(late.refused);
    submit(&f, &late, 1, 0, &next);
    assert_true(late.refused);
    assert_int_equal(service_counters(f.service)->refused_excess, 3);
    for (int i = 0; i < 600; i++) {
        service_withdraw(f.service, &w[i].request);
    }
    for (int i = 0; i < 3; i++) {
        service_withdraw(f.service, &other[i].request);
    }
    fixture_teardown(&f);
}

/* Guards against refusing a request because of the queue of another account:
   300 statements ahead would be longer than its deadline. */
static void
test_expected_wait_counts_turns(void **state)
{
    static struct waiting w[300];
    struct waiting other;
    struct fixture f;
    int next = 0;

    (void)state;
    setup_waiting(&f);
    for (int i = 0; i < 300; i++) {
        submit(&f, &w[i], 1, 0, &next);
    }
    for (int account = 0; account < 2; account++) {
        other = (struct waiting){.next = &next};
        other.request = w[0].request;
        other.request.ctx = &other;
        other.request.queued = false;
        other.request.account = &accounts[account];
        other.request.deadline = f.now + 100;
        service_submit(f.service, &other.request);
        assert_int_equal(other.refused, account == 0);
    }
    service_withdraw(f.service, &other.request);
    for (int i = 0; i < 300; i++) {
        service_withdraw(f.service, &w[i].request);
    }
    fixture_teardown(&f);
}

/* Returns the number of open connections. */
static int
count_open(const struct fixture *f)
{
    int n = 0;

    for (int i = 0; i < f->link_count; i++) {
        n += !f->links[i]->closed;
    }
    return n;
}

/* Guards against a connection that is used for another account, against
   closing idle ones while there is room, and against a request that waits
   because the idle ones are of other accounts. */
static void
test_connection_per_account(void **state)
{
    struct fixture f;
    struct waiting w[8];
    int next = 0;
    const struct connection_limits limits = {.working = 4,
                                             .total = 3,
                                             .idle_permille = 60000,
                                             .replica_idle_permille = 60000,
                                             .accounts = true};
    (void)state;
    setup_waiting(&f);
    service_set_connection_limits(f.service, &limits);
    for (int i = 0; i < 3; i++) {
        submit(&f, &w[i], 1, i, &next);
    }
    serve(&f, w, 3);
    assert_int_equal(f.link_count, 3);
    assert_int_equal(count_open(&f), 3);
    submit(&f, &w[3], 1, 1, &next);
    assert_int_equal(f.link_count, 3);
    assert_non_null(w[3].link);
    submit(&f, &w[4], 1, 3, &next);
    assert_int_equal(f.link_count, 4);
    assert_int_equal(count_open(&f), 3);
    assert_int_equal(service_counters(f.service)->links_evicted, 1);
    fixture_accept_all(&f);
    assert_non_null(w[4].link);
    pooled_release(w[3].link, false);
    pooled_release(w[4].link, false);
    /* An account with an equal name is the same, also in a new catalog. */
    struct account copy = {.name = (char[]){"dora"}, .priority = 1};
    submit(&f, &w[5], 1, 3, &next);
    pooled_release(w[5].link, false);
    w[6] = w[5];
    w[6].request.account = &copy;
    w[6].request.ctx = &w[6];
    w[6].link = NULL;
    service_submit(f.service, &w[6].request);
    assert_non_null(w[6].link);
    assert_int_equal(f.link_count, 4);
    pooled_release(w[6].link, false);
    submit(&f, &w[7], 1, -1, &next);
    assert_null(w[7].link);
    service_withdraw(f.service, &w[7].request);
    fixture_teardown(&f);
}

/* Accepts the connections that are being opened, within 100 ms. */
static void
accept_new(struct fixture *f)
{
    const struct token position = {.term = 3, .position = 1, .known = true};

    for (int t = 0; t < 4; t++) {
        fixture_advance_time(f, 25);
        for (int i = 0; i < f->link_count; i++) {
            struct member_link *l = f->links[i];
            if (!l->closed && l->busy_until == 0) {
                l->busy_until = 1; /* accepted */
                l->events->opened(l->ctx, &position);
            }
        }
    }
}

/* Guards against transactions of one account that rest on all connections. */
static void
test_resting_transactions_leave_room(void **state)
{
    struct fixture f;
    struct waiting w[9];
    int next = 0;
    const struct fleet_share share = {
        .max_connections = 70, .proxies = 36, .accounts = true};
    const struct connection_limits limits = connection_limits_in_fleet(&share);

    (void)state;
    setup_waiting(&f);
    service_set_connection_limits(f.service, &limits);
    service_set_primary(f.service, 3, "m1", false, f.now);
    for (int i = 0; i < 8; i++) {
        submit(&f, &w[i], 1, 0, &next);
        accept_new(&f);
        if (w[i].link != NULL) {
            pooled_set_inactive(w[i].link);
        }
    }
    int resting = 0;
    for (int i = 0; i < 8; i++) {
        resting += w[i].link != NULL;
    }
    assert_int_equal(resting, 4);
    submit(&f, &w[8], 1, 1, &next);
    accept_new(&f);
    assert_non_null(w[8].link);
    for (int i = 0; i < 8; i++) {
        service_withdraw(f.service, &w[i].request);
    }
    fixture_teardown(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_numbers),
        cmocka_unit_test(test_table_is_bounded),
        cmocka_unit_test(test_order),
        cmocka_unit_test(test_order_without_accounts),
        cmocka_unit_test(test_full_queue),
        cmocka_unit_test(test_expected_wait_counts_turns),
        cmocka_unit_test(test_connection_per_account),
        cmocka_unit_test(test_resting_transactions_leave_room),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
