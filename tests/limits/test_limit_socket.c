#include "limits/limit_socket.h"

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
/* An Ethernet frame holds this much; longer datagrams would be split. */
#define DATAGRAM_MAX_BYTES 1472

struct fixture {
    struct ev_loop *loop;
    struct rpc_keys *keys;
    struct rpc_keys *other_keys;
    struct limit_socket *a; /* 127.0.0.1 */
    struct limit_socket *b; /* 127.0.0.2 */
    uint16_t port;
    int requests; /* received by b */
    int replies;
    size_t bytes; /* of the last message */
    struct limit_request request;
    struct limit_reply reply;
};

static struct rpc_keys *
make_keys(const char *key)
{
    struct rpc_keys *k = rpc_keys_create();
    const struct sview v = sview_from(key);

    assert_true(rpc_keys_set(k, &v, 1));
    return k;
}

static void
on_request(void *ctx, const struct limit_request *q, size_t bytes)
{
    struct fixture *f = ctx;

    f->requests++;
    f->bytes = bytes;
    f->request = *q;
    ev_break(f->loop, EVBREAK_ALL);
}

static void
on_reply(void *ctx, const struct limit_reply *r, size_t bytes)
{
    struct fixture *f = ctx;

    f->replies++;
    f->bytes = bytes;
    f->reply = *r;
    ev_break(f->loop, EVBREAK_ALL);
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
    const struct limit_socket_events events = {.request = on_request,
                                               .reply = on_reply};
    char *error = NULL;

    memset(f, 0, sizeof(*f));
    f->loop = ev_loop_new(EVFLAG_AUTO);
    f->keys = make_keys(KEY);
    f->other_keys = make_keys(OTHER_KEY);
    f->port = free_port();
    f->a = limit_socket_create(f->loop, "127.0.0.1", f->port,
                               same_key ? f->keys : f->other_keys, &events, f,
                               &error);
    f->b = limit_socket_create(f->loop, "127.0.0.2", f->port, f->keys, &events,
                               f, &error);
    assert_null(error);
}

static void
end(struct fixture *f)
{
    limit_socket_destroy(f->a);
    limit_socket_destroy(f->b);
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

/* Runs until a message has been received, at most limit_s seconds. */
static void
run(struct fixture *f, double limit_s)
{
    ev_timer watchdog;

    ev_timer_init(&watchdog, on_watchdog, limit_s, 0.0);
    ev_timer_start(f->loop, &watchdog);
    ev_run(f->loop, 0);
    ev_timer_stop(f->loop, &watchdog);
}

/* Guards against fields that are lost or changed on the way, and against
   datagrams that do not fit in one frame. */
static void
test_longest_messages(void **state)
{
    struct limit_request q = {.incarnation = 5, .id = 6};
    struct limit_reply r = {.incarnation = 7,
                            .id = 8,
                            .witnesses = 9,
                            .witness_count = 7,
                            .listed_ms = 3600000};
    struct fixture f;

    (void)state;
    begin(&f, true);
    memset(q.from, 'n', sizeof(q.from) - 1);
    memset(r.from, 'm', sizeof(r.from) - 1);
    q.count = LIMIT_ITEMS_MAX;
    r.count = LIMIT_ITEMS_MAX;
    for (int i = 0; i < LIMIT_ITEMS_MAX; i++) {
        q.items[i].account = UINT64_MAX - (uint64_t)i;
        q.items[i].wanted = LIMIT_WANTED_MAX - (uint32_t)i;
        r.items[i].account = UINT64_MAX - (uint64_t)i;
        r.items[i].granted = LIMIT_WANTED_MAX - (uint32_t)i;
        r.items[i].next_ms = (uint32_t)i;
    }
    assert_true(limit_socket_send_request(f.a, "127.0.0.2", f.port, &q) > 0);
    run(&f, WATCHDOG_S);
    assert_int_equal(f.requests, 1);
    assert_memory_equal(&f.request, &q, sizeof(q));
    assert_true(limit_socket_send_reply(f.a, "127.0.0.2", f.port, &r) > 0);
    run(&f, WATCHDOG_S);
    assert_int_equal(f.replies, 1);
    assert_memory_equal(&f.reply, &r, sizeof(r));
    assert_true(f.bytes <= DATAGRAM_MAX_BYTES);
    end(&f);
}

/* Guards against messages of the usual size that outgrow the figures in
   docs/design/rate-limits.md. */
static void
test_usual_messages(void **state)
{
    const struct limit_request q = {.from = "front-far-harbour-12",
                                    .incarnation = 5,
                                    .id = 6,
                                    .count = 1,
                                    .items = {{.account = 1, .wanted = 1}}};
    const struct limit_reply r = {.from = "front-far-harbour-12",
                                  .incarnation = 5,
                                  .id = 6,
                                  .count = 1,
                                  .items = {{.account = 1, .granted = 1}}};
    struct fixture f;

    (void)state;
    begin(&f, true);
    assert_int_equal(limit_socket_send_request(f.a, "127.0.0.2", f.port, &q),
                     80);
    assert_int_equal(limit_socket_send_reply(f.a, "127.0.0.2", f.port, &r),
                     100);
    end(&f);
}

/* Guards against an attacker without the key who gets or forges permits. */
static void
test_unsigned_messages(void **state)
{
    const struct limit_request q = {.from = "a", .id = 1};
    struct fixture f;
    const char forged[] =
        "a message with no signature, but long enough for one";
    struct sockaddr_in to = {.sin_family = AF_INET};

    (void)state;
    begin(&f, false);
    limit_socket_send_request(f.a, "127.0.0.2", f.port, &q);
    to.sin_port = htons(f.port);
    inet_pton(AF_INET, "127.0.0.2", &to.sin_addr);
    const int fd = socket(AF_INET, SOCK_DGRAM, 0);
    assert_true(sendto(fd, forged, sizeof(forged), 0, (struct sockaddr *)&to,
                       sizeof(to)) > 0);
    assert_true(sendto(fd, forged, 3, 0, (struct sockaddr *)&to, sizeof(to)) >
                0);
    close(fd);
    run(&f, 0.3);
    assert_int_equal(f.requests + f.replies, 0);
    end(&f);
}

/* Decodes a request with one item after a change of one of its bytes. */
static enum limit_content
decode(size_t at, char value, size_t size)
{
    /* Version 1, request, "a", incarnation 1, id 2, one item: 3, wanted 4. */
    char bytes[] = "\0\0\0\1\0\0\0\1\0\0\0\1a\0\0\0\0\0\0\0\0\0\0\1"
                   "\0\0\0\0\0\0\0\2\0\0\0\1\0\0\0\0\0\0\0\3\0\0\0\4";
    struct limit_request q;
    struct limit_reply r;

    bytes[at] = value;
    return limit_message_decode(bytes, MIN(size, sizeof(bytes) - 1), &q, &r);
}

/* Guards against messages of a later version, and against fields out of range.
 */
static void
test_field_checks(void **state)
{
    (void)state;
    assert_int_equal(decode(3, 1, 48), LIMIT_CONTENT_REQUEST);
    assert_int_equal(decode(3, 2, 48), LIMIT_CONTENT_OTHER_VERSION);
    assert_int_equal(decode(7, 3, 48), LIMIT_CONTENT_MALFORMED);
    assert_int_equal(decode(12, 0, 48), LIMIT_CONTENT_MALFORMED);
    assert_int_equal(decode(31, 0, 48), LIMIT_CONTENT_MALFORMED); /* no id */
    assert_int_equal(decode(35, 65, 48), LIMIT_CONTENT_MALFORMED);
    assert_int_equal(decode(47, 0, 48), LIMIT_CONTENT_MALFORMED);
    assert_int_equal(decode(46, 4, 48), LIMIT_CONTENT_MALFORMED);
    assert_int_equal(decode(3, 1, 47), LIMIT_CONTENT_MALFORMED);
    assert_int_equal(decode(3, 1, 3), LIMIT_CONTENT_MALFORMED);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_longest_messages),
        cmocka_unit_test(test_usual_messages),
        cmocka_unit_test(test_unsigned_messages),
        cmocka_unit_test(test_field_checks),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
