#include "coordination/peer_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#define KEY "0123456789abcdef0123456789abcdef"
#define OTHER_KEY "fedcba9876543210fedcba9876543210"
/* Ends a run that hangs; the results do not depend on it otherwise. */
#define WATCHDOG_S 10.0

struct fixture {
    struct ev_loop *loop;
    struct rpc_keys *keys;
    struct rpc_keys *other_keys;
    struct peer_socket *a; /* 127.0.0.1 */
    struct peer_socket *b; /* 127.0.0.2 */
    uint16_t port;
    int received; /* by b */
    size_t bytes; /* of the last message */
    struct agreement_message last;
    char host[64];
};

/* Creates a set of one key. */
static struct rpc_keys *
make_keys(const char *key)
{
    struct rpc_keys *k = rpc_keys_create();
    const struct sview v = sview_from(key);

    assert_true(rpc_keys_set(k, &v, 1));
    return k;
}

static void
on_message(void *ctx, const struct agreement_message *m, const char *host,
           size_t bytes)
{
    struct fixture *f = ctx;

    f->received++;
    f->bytes = bytes;
    f->last = *m;
    g_strlcpy(f->host, host, sizeof(f->host));
    ev_break(f->loop, EVBREAK_ALL);
}

static void
ignore_message(void *ctx, const struct agreement_message *m, const char *host,
               size_t bytes)
{
    (void)ctx;
    (void)m;
    (void)host;
    (void)bytes;
}

static uint16_t
free_port(void)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t size = sizeof(at);
    const int fd = socket(AF_INET, SOCK_DGRAM, 0);

    assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &size), 0);
    close(fd);
    return ntohs(at.sin_port);
}

/* Opens both sockets; a may use another key. */
static void
begin(struct fixture *f, bool same_key)
{
    char *error = NULL;

    memset(f, 0, sizeof(*f));
    f->loop = ev_loop_new(EVFLAG_AUTO);
    f->keys = make_keys(KEY);
    f->other_keys = make_keys(OTHER_KEY);
    f->port = free_port();
    f->a = peer_socket_create(f->loop, "127.0.0.1", f->port,
                              same_key ? f->keys : f->other_keys,
                              ignore_message, f, &error);
    f->b = peer_socket_create(f->loop, "127.0.0.2", f->port, f->keys,
                              on_message, f, &error);
    assert_null(error);
}

static void
end(struct fixture *f)
{
    peer_socket_destroy(f->a);
    peer_socket_destroy(f->b);
    rpc_keys_destroy(f->keys);
    rpc_keys_destroy(f->other_keys);
    ev_loop_destroy(f->loop);
}

static void
on_watchdog(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)w;
    (void)revents;
    ev_break(loop, EVBREAK_ALL);
}

/* Runs until b has received a message, at most limit_s seconds. */
static void
run(struct fixture *f, double limit_s)
{
    ev_timer watchdog;

    ev_timer_init(&watchdog, on_watchdog, limit_s, 0.0);
    ev_timer_start(f->loop, &watchdog);
    ev_run(f->loop, 0);
    ev_timer_stop(f->loop, &watchdog);
}

/* Guards against fields that are lost or changed on the way, and against a
   longest message that does not fit in a datagram. */
static void
test_longest_message_arrives_unchanged(void **state)
{
    static struct agreement_message m;
    struct fixture f;

    (void)state;
    begin(&f, true);
    memset(m.from, 'n', sizeof(m.from) - 1);
    m.version = 77;
    m.catalog_version = 5;
    m.registry_hash = 6;
    m.store_lost = true;
    m.has_changes = true;
    m.base_version = 70;
    m.change_count = AGREEMENT_CHANGES_MAX;
    for (int i = 0; i < AGREEMENT_CHANGES_MAX; i++) {
        memset(m.changes[i].service, 's', VIEW_NAME_BYTES - 1);
        memset(m.changes[i].primary, 'p', MEMBER_ID_BYTES - 1);
        memset(m.changes[i].ordered, 'o', MEMBER_ID_BYTES - 1);
        m.changes[i].ordered_set = 3;
        m.changes[i].epoch = 71;
    }
    m.position_count = AGREEMENT_POSITIONS_MAX;
    m.positions[3].index = 1023;
    m.positions[3].position = 9;
    service_set_add(&m.unreachable, 1023);
    m.silent_count = AGREEMENT_SILENT_MAX;
    m.silent[7] = 8;
    peer_socket_send(f.a, "127.0.0.2", f.port, &m);
    run(&f, WATCHDOG_S);
    assert_int_equal(f.received, 1);
    assert_string_equal(f.host, "127.0.0.1");
    assert_memory_equal(&f.last, &m, sizeof(m));
    end(&f);
}

/* Guards against messages that outgrow the budget of a proxy at rest: it sends
   one to each of seven witnesses, and answers as many, every 400 ms. */
static void
test_message_at_rest_fits_the_budget(void **state)
{
    static struct agreement_message m = {
        .from = "front-far-harbour-12",
        .incarnation = 1,
        .sent_at = 2,
        .echo = 3,
        .version = 4,
    };
    const size_t budget_per_s = 4096;
    const size_t messages_per_s = 2 * 7 * 1000 / 400;
    struct fixture f;

    (void)state;
    begin(&f, true);
    const size_t sent = peer_socket_send(f.a, "127.0.0.2", f.port, &m);
    run(&f, WATCHDOG_S);
    assert_int_equal(f.received, 1);
    assert_int_equal(f.bytes, sent);
    assert_memory_equal(&f.last, &m, sizeof(m));
    assert_true(sent * messages_per_s <= budget_per_s);
    end(&f);
}

/* Guards against an attacker without the key who confirms leases or sends a
   view. Covers a message signed with another key and datagrams without a valid
   signature. */
static void
test_unauthenticated_messages_are_ignored(void **state)
{
    static struct agreement_message m = {.from = "a", .version = 77};
    struct fixture f;
    const char forged[] =
        "a message with no signature, but long enough for one";
    struct sockaddr_in to = {.sin_family = AF_INET};

    (void)state;
    begin(&f, false);
    peer_socket_send(f.a, "127.0.0.2", f.port, &m);
    to.sin_port = htons(f.port);
    inet_pton(AF_INET, "127.0.0.2", &to.sin_addr);
    const int fd = socket(AF_INET, SOCK_DGRAM, 0);
    assert_true(sendto(fd, forged, sizeof(forged), 0, (struct sockaddr *)&to,
                       sizeof(to)) > 0);
    assert_true(sendto(fd, forged, 3, 0, (struct sockaddr *)&to, sizeof(to)) >
                0);
    close(fd);
    run(&f, 0.3);
    assert_int_equal(f.received, 0);
    end(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_longest_message_arrives_unchanged),
        cmocka_unit_test(test_message_at_rest_fits_the_budget),
        cmocka_unit_test(test_unauthenticated_messages_are_ignored),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
