#include "node/node_internal.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

/* Two nodes on the loopback interface. The store delivers everything to the
   first one and is unreachable for the second one. */

#define KEY "0123456789abcdef0123456789abcdef"
/* Ends a run that hangs; the results do not depend on it otherwise. */
#define WATCHDOG_S 30.0

struct fixture {
    struct ev_loop *loop;
    struct node *with_store;
    struct node *without_store;
    uint16_t peer_port;
    ev_timer poll;
    ev_timer watchdog;
    uint64_t awaited; /* version of the configuration */
    bool hung;
    struct traffic traffic; /* of all nodes */
    bool strict;            /* revocation */
};

/* These nodes never change the view. */
static void
ignore_view(void *ctx, const struct view *next)
{
    (void)ctx;
    (void)next;
}

/* The store does not answer. */
static void
ignore_read(void *ctx)
{
    (void)ctx;
}

static void
ignore_order(void *ctx, const char *service, const char *member,
             uint64_t fence, clock_ms valid_until)
{
    (void)ctx;
    (void)service;
    (void)member;
    (void)fence;
    (void)valid_until;
}

static void
ignore_text(void *ctx, const char *text)
{
    (void)ctx;
    (void)text;
}

static int refreshes; /* of the directory, by any node */

static void
count_refresh(void *ctx)
{
    (void)ctx;
    refreshes++;
}

static int configuration_refreshes; /* by any node */

static void
count_configuration_refresh(void *ctx)
{
    (void)ctx;
    configuration_refreshes++;
}

static int proxies_refreshes; /* by any node */

static void
count_proxies_refresh(void *ctx)
{
    (void)ctx;
    proxies_refreshes++;
}

/* Returns a TCP port that is free. */
static uint16_t
free_port(void)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t size = sizeof(at);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);

    assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &size), 0);
    close(fd);
    return ntohs(at.sin_port);
}

static struct node *
start(struct fixture *f, const char *name, const char *host, const char *key)
{
    static const struct node_platform platform = {
        .write_view = ignore_view,
        .read_view = ignore_read,
        .order = ignore_order,
        .write_members = ignore_text,
        .unregister_proxy = ignore_text,
        .refresh_directory = count_refresh,
        .refresh_configuration = count_configuration_refresh,
        .refresh_proxies = count_proxies_refresh,
    };
    const struct node_config config = {
        .loop = f->loop,
        .name = name,
        .failure_domain = name,
        .host = host,
        .peer_port = f->peer_port,
        .key = key,
        .strict_revocation = f->strict,
        .revocation_ms = 5000,
        .platform = &platform,
        .traffic = &f->traffic,
    };
    char *error = NULL;
    struct node *n = node_create(&config, &error);

    assert_null(error);
    return n;
}

/* Creates a configuration with one route and no services. */
static struct catalog *
catalog(uint64_t version)
{
    struct catalog *c = catalog_create(version);
    struct database_route *r = g_new0(struct database_route, 1);

    r->database = g_strdup("fish");
    r->service = g_strdup("s1");
    catalog_add_route(c, r);
    return c;
}

/* Gives the first node the configuration and the lists of the store. */
static void
publish(struct fixture *f, uint64_t version)
{
    const struct node_peer peers[] = {
        {.name = "a",
         .host = "127.0.0.1",
         .failure_domain = "a",
         .port = f->peer_port},
        {.name = "b",
         .host = "127.0.0.2",
         .failure_domain = "b",
         .port = f->peer_port},
    };
    struct catalog *c = catalog(version);

    node_set_catalog(f->with_store, c);
    catalog_unref(c);
    node_set_members(f->with_store, NULL, 0);
    node_set_peers(f->with_store, peers, 2);
}

/* Ends the run once the second node has the configuration. */
static void
on_poll(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct fixture *f = w->data;

    (void)revents;
    if (node_catalog(f->without_store)->version >= f->awaited) {
        ev_break(loop, EVBREAK_ALL);
    }
}

static void
on_watchdog(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct fixture *f = w->data;

    (void)revents;
    f->hung = true;
    ev_break(loop, EVBREAK_ALL);
}

/* Runs until the second node has a version, at most limit_s seconds. Returns
   true if it has it. */
static bool
run_until(struct fixture *f, uint64_t version, double limit_s)
{
    f->awaited = version;
    f->hung = false;
    ev_timer_init(&f->poll, on_poll, 0.01, 0.01);
    f->poll.data = f;
    ev_timer_start(f->loop, &f->poll);
    ev_timer_init(&f->watchdog, on_watchdog, limit_s, 0.0);
    f->watchdog.data = f;
    ev_timer_start(f->loop, &f->watchdog);
    ev_run(f->loop, 0);
    ev_timer_stop(f->loop, &f->poll);
    ev_timer_stop(f->loop, &f->watchdog);
    return !f->hung;
}

static void
begin_with(struct fixture *f, const char *key, bool strict)
{
    memset(f, 0, sizeof(*f));
    f->strict = strict;
    refreshes = 0;
    configuration_refreshes = 0;
    proxies_refreshes = 0;
    f->loop = ev_loop_new(EVFLAG_AUTO);
    f->peer_port = free_port();
    f->with_store = start(f, "a", "127.0.0.1", KEY);
    f->without_store = start(f, "b", "127.0.0.2", key);
}

static void
begin(struct fixture *f, const char *key)
{
    begin_with(f, key, false);
}

static void
end(struct fixture *f)
{
    node_destroy(f->with_store);
    node_destroy(f->without_store);
    ev_loop_destroy(f->loop);
}

/* Guards against a process that serves nothing when it restarts while the
   store is unreachable: it has to request the configuration from a peer whose
   message it receives. */
static void
test_configuration_from_peer(void **state)
{
    struct fixture f;

    (void)state;
    begin(&f, KEY);
    publish(&f, 7);
    assert_true(run_until(&f, 7, WATCHDOG_S));
    assert_non_null(catalog_route(node_catalog(f.without_store), "fish"));
    end(&f);
}

/* Guards against a proxy that keeps an old configuration while the store is
   unreachable only for this proxy. */
static void
test_newer_configuration(void **state)
{
    struct fixture f;

    (void)state;
    begin(&f, KEY);
    struct catalog *old = catalog(5);
    node_set_catalog(f.without_store, old);
    catalog_unref(old);
    node_set_members(f.without_store, NULL, 0);
    node_set_peers(f.without_store, NULL, 0);
    publish(&f, 9);
    assert_true(run_until(&f, 9, WATCHDOG_S));
    /* The answer of the store's feed may be lost, and a copy too large. */
    assert_int_equal(refreshes, 1);
    end(&f);
}

/* Ends the run once the second node's configuration is fresh. */
static void
on_poll_fresh(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct fixture *f = w->data;

    (void)revents;
    if (node_catalog_is_fresh(f->without_store, clock_boottime_ms())) {
        ev_break(loop, EVBREAK_ALL);
    }
}

/* Runs until the second node's configuration is fresh, at most limit_s
   seconds. Returns true if it is. */
static bool
run_until_fresh(struct fixture *f, double limit_s)
{
    f->hung = false;
    ev_timer_init(&f->poll, on_poll_fresh, 0.01, 0.01);
    f->poll.data = f;
    ev_timer_start(f->loop, &f->poll);
    ev_timer_init(&f->watchdog, on_watchdog, limit_s, 0.0);
    f->watchdog.data = f;
    ev_timer_start(f->loop, &f->watchdog);
    ev_run(f->loop, 0);
    ev_timer_stop(f->loop, &f->poll);
    ev_timer_stop(f->loop, &f->watchdog);
    return !f->hung;
}

/* Guards against a process that relies on the keys of a copy, and against one
   that is not told by its peers that the configuration is recent, or that
   stays fresh when nobody can tell any more. */
static void
test_freshness_from_peer(void **state)
{
    struct fixture f;
    GString *metrics = g_string_new(NULL);

    (void)state;
    begin_with(&f, KEY, true);
    publish(&f, 7);
    assert_true(run_until(&f, 7, WATCHDOG_S));
    assert_false(node_catalog_is_fresh(f.without_store, clock_boottime_ms()));
    assert_false(run_until_fresh(&f, 1.0));
    node_set_catalog_checked(f.with_store, clock_boottime_ms());
    assert_true(node_catalog_is_fresh(f.with_store, clock_boottime_ms()));
    assert_true(run_until_fresh(&f, WATCHDOG_S));
    node_write_metrics(f.without_store, metrics);
    assert_non_null(strstr(metrics->str, "galenastep_catalog_fresh 1\n"));
    assert_non_null(
        strstr(metrics->str, "galenastep_catalog_evidence_age_ms "));
    /* Nobody asks the store again: the evidence expires, and both ask. */
    assert_false(run_until(&f, 8, 5.0));
    assert_false(node_catalog_is_fresh(f.without_store, clock_boottime_ms()));
    assert_false(node_catalog_is_fresh(f.with_store, clock_boottime_ms()));
    assert_true(configuration_refreshes >= 2);
    assert_true(node_watches_configuration(f.without_store));
    g_string_free(metrics, TRUE);
    end(&f);
}

/* Guards against a change for deployments without strict revocation. */
static void
test_always_fresh_unless_strict(void **state)
{
    struct fixture f;

    (void)state;
    begin(&f, KEY);
    publish(&f, 7);
    assert_true(run_until(&f, 7, WATCHDOG_S));
    assert_false(run_until(&f, 8, 3.0));
    assert_true(node_catalog_is_fresh(f.without_store, clock_boottime_ms()));
    assert_false(node_watches_configuration(f.with_store));
    assert_int_equal(configuration_refreshes, 0);
    end(&f);
}

/* Ends the run once a node has requested the directory again. */
static void
on_poll_refresh(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)w;
    (void)revents;
    if (refreshes > 0) {
        ev_break(loop, EVBREAK_ALL);
    }
}

/* Runs until a node has requested the directory again, at most limit_s
   seconds. */
static void
run_until_refresh(struct fixture *f, double limit_s)
{
    ev_timer poll;

    ev_timer_init(&poll, on_poll_refresh, 0.01, 0.01);
    ev_timer_start(f->loop, &poll);
    ev_timer_init(&f->watchdog, on_watchdog, limit_s, 0.0);
    f->watchdog.data = f;
    ev_timer_start(f->loop, &f->watchdog);
    ev_run(f->loop, 0);
    ev_timer_stop(f->loop, &poll);
    ev_timer_stop(f->loop, &f->watchdog);
}

/* Guards against a proxy that goes on using a draining member, or does not
   know a new one, because the answer to its feed request was lost: the member
   list that another proxy has stored shows the change. */
static void
test_missed_change_of_members(void **state)
{
    const struct member_entry ready = {.id = "m1",
                                       .service = "s1",
                                       .host = "127.0.0.9",
                                       .failure_domain = "z",
                                       .port = 1,
                                       .slots = 2,
                                       .started_at = 5};
    struct member_entry later[] = {ready, ready};
    struct fixture f;
    struct node *n;

    (void)state;
    begin(&f, KEY);
    publish(&f, 7);
    n = f.with_store;
    node_set_members(n, &ready, 1);
    /* Equal lists, and one that lacks a member, show nothing. */
    node_set_stored_members(n, "m1 s1 127.0.0.9 1 z 2 replica ready 5\n");
    run_until_refresh(&f, 2.0);
    node_set_stored_members(n, "");
    run_until_refresh(&f, 2.0);
    assert_int_equal(refreshes, 0);
    node_set_stored_members(n, "m1 s1 127.0.0.9 1 z 2 replica draining 5\n");
    run_until_refresh(&f, WATCHDOG_S);
    assert_int_equal(refreshes, 1);
    later[0].draining = true;
    node_set_members(n, later, 1);
    run_until_refresh(&f, 0.1);
    assert_int_equal(refreshes, 1);
    refreshes = 0;
    node_set_stored_members(n, "m1 s1 127.0.0.9 1 z 2 replica draining 5\n"
                               "m2 s1 127.0.0.9 2 z 2 replica ready 6\n");
    run_until_refresh(&f, WATCHDOG_S);
    assert_int_equal(refreshes, 1);
    end(&f);
}

/* Guards against a fleet in which no proxy notices a lost answer of the store
   in time: a proxy of a small fleet watches the directory. */
static void
test_witness_watches_directory(void **state)
{
    struct fixture f;

    (void)state;
    begin(&f, KEY);
    assert_true(node_watches_directory(f.with_store));
    publish(&f, 7);
    node_set_stored_members(f.with_store, "");
    assert_true(node_watches_directory(f.with_store));
    end(&f);
}

/* Lists both nodes and so many proxies that do not run. The first node is a
   witness. */
static void
list_large_fleet(struct fixture *f, struct node *n, int silent)
{
    struct node_peer peers[2 + 80] = {
        {.name = "a", .host = "127.0.0.1", .failure_domain = "a"},
        {.name = "b", .host = "127.0.0.2", .failure_domain = "x"},
    };

    for (int i = 0; i < 2 + silent; i++) {
        peers[i].port = f->peer_port;
        if (i >= 2) {
            g_snprintf(peers[i].name, sizeof(peers[i].name), "p%d", i);
            g_strlcpy(peers[i].host, "127.0.0.3", sizeof(peers[i].host));
            g_strlcpy(peers[i].failure_domain, "x",
                      sizeof(peers[i].failure_domain));
        }
    }
    node_set_peers(n, peers, (size_t)silent + 2);
}

/* Ends the run once the second node has the first one's list of members. */
static void
on_poll_members(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct fixture *f = w->data;

    (void)revents;
    if (node_members_version(f->without_store) ==
            node_members_version(f->with_store) &&
        node_feed_hold_ms(f->without_store, 0, 0) > 0) {
        ev_break(loop, EVBREAK_ALL);
    }
}

/* Guards against a proxy of a large fleet that asks the store although a
   witness can tell it everything, that misses a draining member then, or that
   goes on relying on a witness which learns nothing any more. */
static void
test_large_fleet_follows_witnesses(void **state)
{
    const struct member_entry ready = {.id = "m1",
                                       .service = "s1",
                                       .host = "127.0.0.9",
                                       .failure_domain = "z",
                                       .port = 1,
                                       .slots = 2,
                                       .started_at = 5};
    struct member_entry draining = ready;
    struct catalog *c = catalog(7);
    struct fixture f;

    (void)state;
    begin(&f, KEY);
    draining.draining = true;
    for (int i = 0; i < 2; i++) {
        struct node *n = i == 0 ? f.with_store : f.without_store;
        node_set_catalog(n, c);
        node_set_members_version(n, i == 0 ? 12 : 11);
        node_set_members(n, i == 0 ? &draining : &ready, 1);
        list_large_fleet(&f, n, 60);
    }
    catalog_unref(c);
    assert_true(node_follows_peers(f.without_store));
    assert_false(node_follows_peers(f.with_store));
    assert_int_equal(node_feed_hold_ms(f.without_store, 0, 0), 0);
    node_set_catalog_checked(f.with_store, clock_boottime_ms());
    ev_timer_init(&f.poll, on_poll_members, 0.01, 0.01);
    f.poll.data = &f;
    ev_timer_start(f.loop, &f.poll);
    ev_timer_init(&f.watchdog, on_watchdog, WATCHDOG_S, 0.0);
    f.watchdog.data = &f;
    ev_timer_start(f.loop, &f.watchdog);
    ev_run(f.loop, 0);
    ev_timer_stop(f.loop, &f.poll);
    ev_timer_stop(f.loop, &f.watchdog);
    assert_false(f.hung);
    assert_true(g_array_index(f.without_store->members, struct known_member, 0)
                    .entry.draining);
    assert_int_equal(refreshes, 0);
    assert_int_equal(proxies_refreshes, 0);
    /* The store no longer answers the witness, and another proxy has
       registered. */
    list_large_fleet(&f, f.with_store, 61);
    assert_false(run_until(&f, 8, 4.2));
    assert_int_equal(node_feed_hold_ms(f.without_store, 0, 0), 0);
    assert_true(proxies_refreshes >= 2 && proxies_refreshes <= 6);
    end(&f);
}

/* Guards against accepting messages from, or giving copies to, a process that
   lacks the key. */
static void
test_wrong_key(void **state)
{
    struct fixture f;

    (void)state;
    begin(&f, "another key, as long as the real one");
    publish(&f, 7);
    /* Long enough for several requests. */
    assert_false(run_until(&f, 7, 2.0));
    end(&f);
}

/* Guards against disconnecting the callers of a process that has just started,
   because it has never had a lease: it gets one as soon as it knows the view
   (rmd-luzon-grown, incident inc-df2e). */
static void
test_callers_stay_after_a_start(void **state)
{
    struct fixture f;
    struct view *v = g_new0(struct view, 1);

    (void)state;
    begin(&f, KEY);
    publish(&f, 7);
    v->version = 4;
    g_strlcpy(v->holder, "c", sizeof(v->holder));
    node_set_view(f.with_store, v, 0, false);
    assert_false(node_should_disconnect_callers(f.with_store));
    g_free(v);
    end(&f);
}

/* Returns the service "s1" of a node. */
static struct service *
service_of(const struct node *n)
{
    return g_hash_table_lookup(n->services, "s1");
}

/* Returns the term of the newest position that the first node knows, or 0. */
static uint64_t
known_term(const struct fixture *f)
{
    clock_ms at;
    struct token newest;

    return service_newest_primary_position(service_of(f->with_store), &at,
                                           &newest)
               ? newest.term
               : 0;
}

/* Ends the run once the first node knows a position. */
static void
on_poll_term(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)revents;
    if (known_term(w->data) != 0) {
        ev_break(loop, EVBREAK_ALL);
    }
}

/* Runs until the first node knows a position, at most limit_s seconds. */
static void
run_until_position(struct fixture *f, double limit_s)
{
    ev_timer poll;

    ev_timer_init(&poll, on_poll_term, 0.01, 0.01);
    poll.data = f;
    ev_timer_start(f->loop, &poll);
    ev_timer_init(&f->watchdog, on_watchdog, limit_s, 0.0);
    f->watchdog.data = f;
    ev_timer_start(f->loop, &f->watchdog);
    ev_run(f->loop, 0);
    ev_timer_stop(f->loop, &poll);
    ev_timer_stop(f->loop, &f->watchdog);
}

/* Guards against a holder that replaces a primary without knowing of commits
   that only other proxies have seen: it would promote a member that lacks all
   of them. */
static void
test_holder_learns_newest_commits(void **state)
{
    struct view *v = g_new0(struct view, 1);
    struct catalog *c = catalog(7);
    struct service_limits *limits = g_new0(struct service_limits, 1);
    const struct token position = {.term = 8, .position = 60, .known = true};
    struct fixture f;

    (void)state;
    begin(&f, KEY);
    publish(&f, 6);
    limits->service = g_strdup("s1");
    limits->max_connections = 16;
    catalog_add_service(c, limits);
    node_set_catalog(f.with_store, c);
    node_set_catalog(f.without_store, c);
    node_set_peers(f.without_store,
                   (const struct node_peer *)(void *)f.with_store->peers->data,
                   f.with_store->peers->len);
    v->version = 1;
    v->fence = 1;
    v->count = 1;
    g_strlcpy(v->holder, "a", sizeof(v->holder));
    g_strlcpy(v->entries[0].service, "s1", sizeof(v->entries[0].service));
    v->entries[0].epoch = 1;
    node_set_view(f.with_store, v, 0, false);
    node_set_view(f.without_store, v, 0, false);
    service_add_primary_position(service_of(f.without_store),
                                 clock_boottime_ms(), &position);
    run_until_position(&f, 1.0);
    assert_int_equal(known_term(&f), 0);
    v->version = 2;
    v->entries[0].epoch = 2;
    v->entries[0].changing = true;
    node_set_view(f.with_store, v, 0, false);
    run_until_position(&f, WATCHDOG_S);
    assert_int_equal(known_term(&f), 8);
    catalog_unref(c);
    g_free(v);
    end(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_configuration_from_peer),
        cmocka_unit_test(test_newer_configuration),
        cmocka_unit_test(test_freshness_from_peer),
        cmocka_unit_test(test_always_fresh_unless_strict),
        cmocka_unit_test(test_large_fleet_follows_witnesses),
        cmocka_unit_test(test_wrong_key),
        cmocka_unit_test(test_callers_stay_after_a_start),
        cmocka_unit_test(test_holder_learns_newest_commits),
        cmocka_unit_test(test_missed_change_of_members),
        cmocka_unit_test(test_witness_watches_directory),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
