#include "limits/rate_client.h"
#include "node/node_internal.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

/* Nodes on the loopback interface that enforce the rate limit of one account.
 */

#define KEY "0123456789abcdef0123456789abcdef"
/* Ends a run that hangs; the results do not depend on it otherwise. */
#define WATCHDOG_S 30.0
#define NODES 3
#define REQUESTS 64

struct fixture {
    struct ev_loop *loop;
    struct node *nodes[NODES]; /* "a", "b" and "c" */
    uint16_t peer_port;
    uint16_t limits_port;
    struct traffic traffic[NODES];
    struct rate_request requests[REQUESTS];
    int decided;
    int granted;
    char why[32];
    ev_timer watchdog;
    bool hung;
};

static void
ignore_view(void *ctx, const struct view *next)
{
    (void)ctx;
    (void)next;
}

static void
ignore(void *ctx)
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

static uint16_t
free_port(int type)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t size = sizeof(at);
    const int fd = socket(AF_INET, type, 0);

    assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &size), 0);
    close(fd);
    return ntohs(at.sin_port);
}

/* Starts node i, which knows a and b as registered. */
static void
start(struct fixture *f, int i)
{
    static const char *const names[] = {"a", "b", "c"};
    static const char *const hosts[] = {"127.0.0.1", "127.0.0.2", "127.0.0.3"};
    static const struct node_platform platform = {
        .write_view = ignore_view,
        .read_view = ignore,
        .order = ignore_order,
        .write_members = ignore_text,
        .unregister_proxy = ignore_text,
        .refresh_directory = ignore,
    };
    const struct node_config config = {
        .loop = f->loop,
        .name = names[i],
        .failure_domain = "z",
        .host = hosts[i],
        .peer_port = f->peer_port,
        .limits_port = f->limits_port,
        .rate_excess_permille = 100,
        .rate_slack = 20,
        .key = KEY,
        .platform = &platform,
        .traffic = &f->traffic[i],
    };
    struct node_peer peers[2] = {0};
    char *error = NULL;

    f->nodes[i] = node_create(&config, &error);
    assert_null(error);
    for (int k = 0; k < 2; k++) {
        g_strlcpy(peers[k].name, names[k], sizeof(peers[k].name));
        g_strlcpy(peers[k].host, hosts[k], sizeof(peers[k].host));
        g_strlcpy(peers[k].failure_domain, "z",
                  sizeof(peers[k].failure_domain));
        peers[k].port = f->peer_port;
    }
    node_set_peers(f->nodes[i], peers, 2);
    if (i < 2) {
        node_set_known_to_peers(f->nodes[i]);
    }
    struct catalog *c = catalog_create(1);
    struct account *a = g_new0(struct account, 1);
    a->name = g_strdup("shop");
    a->rate_milli_per_s = 200000;
    a->burst_milli = 100000;
    c->has_accounts = true;
    catalog_add_account(c, a);
    node_set_catalog(f->nodes[i], c);
    catalog_unref(c);
}

static void
begin(struct fixture *f)
{
    memset(f, 0, sizeof(*f));
    f->loop = ev_loop_new(EVFLAG_AUTO);
    f->peer_port = free_port(SOCK_STREAM);
    f->limits_port = free_port(SOCK_DGRAM);
    for (int i = 0; i < NODES; i++) {
        start(f, i);
    }
}

static void
end(struct fixture *f)
{
    for (int i = 0; i < NODES; i++) {
        node_destroy(f->nodes[i]);
    }
    ev_loop_destroy(f->loop);
}

static void
on_granted(void *ctx)
{
    struct fixture *f = ctx;

    f->granted++;
    f->decided++;
}

static void
on_refused(void *ctx, const char *why, int64_t retry_after_ms)
{
    struct fixture *f = ctx;

    (void)retry_after_ms;
    g_strlcpy(f->why, why, sizeof(f->why));
    f->decided++;
}

static void
on_watchdog(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct fixture *f = w->data;

    (void)revents;
    f->hung = true;
    ev_break(loop, EVBREAK_ALL);
}

static void
run_for(struct fixture *f, double seconds)
{
    ev_timer_init(&f->watchdog, on_watchdog, seconds, 0.0);
    f->watchdog.data = f;
    ev_timer_start(f->loop, &f->watchdog);
    ev_run(f->loop, 0);
    ev_timer_stop(f->loop, &f->watchdog);
}

/* Requests n permits at a node and runs until all are decided. */
static void
acquire(struct fixture *f, int node, int n)
{
    const struct account *a =
        g_hash_table_lookup(node_catalog(f->nodes[node])->accounts, "shop");

    f->decided = 0;
    f->granted = 0;
    for (int i = 0; i < n; i++) {
        f->requests[i] = (struct rate_request){.account = a,
                                               .granted = on_granted,
                                               .refused = on_refused,
                                               .ctx = f};
        rate_client_acquire(node_limits_client(f->nodes[node]),
                            &f->requests[i]);
    }
    f->hung = false;
    ev_timer_init(&f->watchdog, on_watchdog, WATCHDOG_S, 0.0);
    f->watchdog.data = f;
    ev_timer_start(f->loop, &f->watchdog);
    while (f->decided < n && !f->hung) {
        ev_run(f->loop, EVRUN_ONCE);
    }
    ev_timer_stop(f->loop, &f->watchdog);
    assert_false(f->hung);
}

/* Returns the value of a metric of a node. */
static uint64_t
metric(const struct fixture *f, int node, const char *name)
{
    GString *out = g_string_new(NULL);
    char *key = g_strconcat("galenastep_limit_", name, " ", NULL);

    node_write_metrics(f->nodes[node], out);
    const char *at = strstr(out->str, key);
    assert_non_null(at);
    const uint64_t value = strtoull(at + strlen(key), NULL, 10);
    g_free(key);
    g_string_free(out, TRUE);
    return value;
}

/* Guards against a proxy that gets permits only from itself, and against
   buckets that are full at a start. */
static void
test_permits_of_both(void **state)
{
    struct fixture f;

    (void)state;
    begin(&f);
    acquire(&f, 0, 1);
    assert_int_equal(f.granted, 0);
    /* 0.3 s at 100 a second at each, which hold 55. */
    run_for(&f, 0.3);
    acquire(&f, 0, 50);
    assert_int_equal(f.granted, 50);
    assert_true(metric(&f, 0, "witness_granted_total") > 0);
    assert_true(metric(&f, 1, "witness_granted_total") > 0);
    assert_true(f.traffic[0].sent[TRAFFIC_LIMITS][TRAFFIC_SAME_DOMAIN] > 0);
    assert_int_equal(metric(&f, 1, "witness_parts"), 2);
    assert_int_equal(f.traffic[0].sent[TRAFFIC_LIMITS][TRAFFIC_NO_DOMAIN], 0);
    end(&f);
}

/* Guards against permits for a process that has the key but is not a
   registered proxy. */
static void
test_unregistered(void **state)
{
    struct fixture f;

    (void)state;
    begin(&f);
    run_for(&f, 0.3);
    acquire(&f, 2, 1);
    assert_int_equal(f.granted, 0);
    assert_string_equal(f.why, "limit_unknown");
    assert_true(metric(&f, 0, "requests_unregistered_total") +
                    metric(&f, 1, "requests_unregistered_total") >
                0);
    assert_int_equal(metric(&f, 2, "refused_total{reason=\"limit_unknown\"}"),
                     1);
    end(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_permits_of_both),
        cmocka_unit_test(test_unregistered),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
