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
    m.catalog_age_ms = 4321;
    m.members_version = UINT64_MAX;
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
        .catalog_age_ms = -1,
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

/* Guards against evidence about the configuration that makes each message
   longer: only replies have it, and only in strict mode. 12 bytes more in each
   reply, 210 a second for seven of them every 400 ms. */
static void
test_reply_with_evidence_fits_the_budget(void **state)
{
    static struct agreement_message m = {
        .from = "front-far-harbour-12",
        .incarnation = 1,
        .sent_at = 2,
        .echo = 3,
        .version = 4,
        .catalog_age_ms = -1,
    };
    const size_t budget_per_s = 4096 + 256;
    struct fixture f;

    (void)state;
    begin(&f, true);
    const size_t request = peer_socket_send(f.a, "127.0.0.2", f.port, &m);
    m.reply = true;
    m.catalog_age_ms = INT64_MAX;
    const size_t reply = peer_socket_send(f.a, "127.0.0.2", f.port, &m);
    assert_int_equal(reply, request + 12);
    assert_true((request + reply) * 7 * 1000 / 400 <= budget_per_s);
    end(&f);
}

/* Guards against a version of the members that is lost on the way, or that
   brings an age with it; in a large fleet each reply has it. */
static void
test_members_version_arrives(void **state)
{
    static struct agreement_message m = {.from = "a", .reply = true};

    (void)state;
    for (int i = 0; i < 2; i++) {
        struct fixture f;
        begin(&f, true);
        m.catalog_age_ms = i == 0 ? -1 : 70;
        m.members_version = (uint64_t)3 << 40 | 9;
        peer_socket_send(f.a, "127.0.0.2", f.port, &m);
        run(&f, WATCHDOG_S);
        assert_memory_equal(&f.last, &m, sizeof(m));
        end(&f);
    }
}

/* What signatures cover besides the message; see peer_socket.c. */
#define SIGNATURE_PROGRAM 0x20673704
#define SIGNATURE_VERSION 3
#define SIGNATURE_BYTES 16

/* A message that build 0ef6b30, before messages had a trailing part, has
   sent. */
static const uint8_t recorded[] = {
    0x00, 0x00, 0x00, 0x14, 0x66, 0x72, 0x6f, 0x6e, 0x74, 0x2d, 0x66, 0x61,
    0x72, 0x2d, 0x68, 0x61, 0x72, 0x62, 0x6f, 0x75, 0x72, 0x2d, 0x31, 0x32,
    0x11, 0x12, 0x13, 0x14, 0x15, 0x16, 0x17, 0x18, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x07, 0xd1, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x07, 0xcf,
    0x21, 0x22, 0x23, 0x24, 0x25, 0x26, 0x27, 0x28, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x4c, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x4d,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x05, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x06, 0x00, 0x00, 0x00, 0x06, 0x00, 0x00, 0x00, 0x01,
    0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x08,
    0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x08,
    0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x03, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x04, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x03, 0x84,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x0c, 0x00, 0x00, 0x00, 0x01,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x46, 0x00, 0x00, 0x00, 0x11,
    0x66, 0x72, 0x6f, 0x6e, 0x74, 0x2d, 0x6e, 0x65, 0x61, 0x72, 0x2d, 0x71,
    0x75, 0x61, 0x79, 0x2d, 0x31, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x09, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x04,
    0x6c, 0x6f, 0x62, 0x6f, 0x00, 0x00, 0x00, 0x03, 0x69, 0x2d, 0x31, 0x00,
    0x00, 0x00, 0x00, 0x03, 0x69, 0x2d, 0x32, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x03, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x47,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x04, 0x00, 0x00, 0x00, 0x01,
    0x28, 0x41, 0xa7, 0xfa, 0x04, 0x0b, 0x6c, 0x60, 0x88, 0xec, 0xaa, 0xdf,
    0xf8, 0x34, 0x4b, 0x9f,
};

/* Sends bytes to b. */
static void
send_bytes(const struct fixture *f, const uint8_t *bytes, size_t size)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(f->port)};
    const int fd = socket(AF_INET, SOCK_DGRAM, 0);

    inet_pton(AF_INET, "127.0.0.2", &to.sin_addr);
    assert_int_equal(
        sendto(fd, bytes, size, 0, (struct sockaddr *)&to, sizeof(to)),
        (ssize_t)size);
    close(fd);
}

/* Sends the recorded message with another trailing part to b, signed. */
static void
send_with_trailer(const struct fixture *f, const uint8_t *trailer, size_t size)
{
    const size_t plain = sizeof(recorded) - SIGNATURE_BYTES;
    uint8_t bytes[sizeof(recorded) + 256];
    uint8_t mac[RPC_MAC_BYTES];
    const struct rpc_signed what = {
        .program = SIGNATURE_PROGRAM,
        .version = SIGNATURE_VERSION,
        .body = {.p = (const char *)bytes, .n = plain + size},
    };

    memcpy(bytes, recorded, plain);
    memcpy(bytes + plain, trailer, size);
    assert_true(rpc_auth_sign(f->keys, &what, 0, mac));
    memcpy(bytes + plain + size, mac, SIGNATURE_BYTES);
    send_bytes(f, bytes, plain + size + SIGNATURE_BYTES);
}

/* Checks that b has received the recorded message with an age. */
static void
check_recorded(const struct fixture *f, int64_t catalog_age_ms)
{
    const struct agreement_message *m = &f->last;

    assert_int_equal(f->received, 1);
    assert_string_equal(m->from, "front-far-harbour-12");
    assert_int_equal(m->incarnation, 0x1112131415161718);
    assert_int_equal(m->echo, 1999);
    assert_int_equal(m->echo_incarnation, 0x2122232425262728);
    assert_int_equal(m->version, 77);
    assert_int_equal(m->catalog_version, 5);
    assert_true(m->reply && m->store_lost && !m->leaving);
    assert_int_equal(m->position_count, 1);
    assert_int_equal(m->positions[0].age_ms, 12);
    assert_string_equal(m->holder, "front-near-quay-1");
    assert_int_equal(m->change_count, 1);
    assert_string_equal(m->changes[0].ordered, "i-2");
    assert_int_equal(m->catalog_age_ms, catalog_age_ms);
}

/* Guards against a fleet of two builds that cannot talk: the message of an
   earlier build has no trailing part. */
static void
test_message_of_earlier_build(void **state)
{
    struct fixture f;

    (void)state;
    begin(&f, true);
    send_bytes(&f, recorded, sizeof(recorded));
    run(&f, WATCHDOG_S);
    check_recorded(&f, -1);
    end(&f);
}

/* Guards against a message of a later build that is dropped, or misread,
   because it tells more than this build knows. */
static void
test_message_of_later_build(void **state)
{
    static const struct {
        uint8_t bytes[32];
        size_t size;
        int64_t age_ms;
    } cases[] = {
        /* A field more, and something behind the trailing part. */
        {{0, 0, 0, 20, 0, 0, 0, 9, 0, 0, 16, 0,
          1, 2, 3, 4,  5, 6, 7, 8, 9, 9, 9,  9},
         24,
         4096},
        /* Lengths that do not fit, and a part that is too short. */
        {{0, 0, 0, 99, 0, 0, 0, 1, 0, 0, 16, 0}, 12, -1},
        {{255, 255, 255, 255, 0, 0, 0, 1, 0, 0, 16, 0}, 12, -1},
        {{0, 0, 0, 4, 0, 0, 0, 1, 0, 0, 16, 0}, 12, -1},
        {{0, 0, 0, 4, 0, 0, 0, 1}, 8, -1},
        {{7, 7, 7}, 3, -1},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct fixture f;
        begin(&f, true);
        send_with_trailer(&f, cases[i].bytes, cases[i].size);
        run(&f, WATCHDOG_S);
        check_recorded(&f, cases[i].age_ms);
        end(&f);
    }
}

/* Guards against a trailing part that the signature does not cover: an
   attacker could make an old configuration look recent. */
static void
test_unsigned_trailer_is_refused(void **state)
{
    static const uint8_t trailer[] = {0, 0, 0, 8, 0, 0, 0, 1, 0, 0, 0, 1};
    uint8_t bytes[sizeof(recorded) + sizeof(trailer)];
    const size_t plain = sizeof(recorded) - SIGNATURE_BYTES;
    struct fixture f;

    (void)state;
    begin(&f, true);
    memcpy(bytes, recorded, plain);
    memcpy(bytes + plain, trailer, sizeof(trailer));
    memcpy(bytes + plain + sizeof(trailer), recorded + plain, SIGNATURE_BYTES);
    send_bytes(&f, bytes, sizeof(bytes));
    run(&f, 0.3);
    assert_int_equal(f.received, 0);
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
        cmocka_unit_test(test_reply_with_evidence_fits_the_budget),
        cmocka_unit_test(test_members_version_arrives),
        cmocka_unit_test(test_message_of_earlier_build),
        cmocka_unit_test(test_message_of_later_build),
        cmocka_unit_test(test_unsigned_trailer_is_refused),
        cmocka_unit_test(test_unauthenticated_messages_are_ignored),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
