#include "rpc_fixture.h"

#include "base/rng.h"
#include "fleet/rpc_net.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define KEY_B "fedcba9876543210fedcba9876543210"
#define KEY_A "0123456789abcdef0123456789abcdef"
#define FUZZ_SEED 20261204
#define FUZZ_RUNS 400

/* Checks that the server answers a call on a new connection. */
static void
assert_server_works(struct rpc_fixture *f)
{
    struct rpc_client *c = rpc_fixture_client(f, NULL);
    struct rpc_outcome out;

    rpc_fixture_request_loan(c, 5, 30000, &out);
    rpc_fixture_wait(f, &out);
    assert_int_equal(out.status, RPC_STATUS_OK);
    assert_int_equal(out.granted, 5);
    rpc_client_destroy(c);
}

/* Guards against replies that are matched to the wrong call when several calls
   are in progress. */
static void
test_calls_in_flight_keep_their_answers(void **state)
{
    (void)state;
    struct rpc_fixture f;
    struct rpc_outcome out[50];

    rpc_fixture_start(&f, NULL);
    struct rpc_client *c = rpc_fixture_client(&f, NULL);
    for (unsigned i = 0; i < 50; i++) {
        rpc_fixture_request_loan(c, i, 30000, &out[i]);
    }
    for (unsigned i = 0; i < 50; i++) {
        rpc_fixture_wait(&f, &out[i]);
        assert_int_equal(out[i].status, RPC_STATUS_OK);
        assert_int_equal(out[i].granted, i);
    }
    assert_int_equal(rpc_client_counters(c)->connects, 1);
    rpc_client_destroy(c);
    rpc_fixture_stop(&f);
}

/* Sends raw bytes on a new connection, waits until the server closes it and
   checks that this refusal was counted once and no call was handled. */
static void
assert_refused(struct rpc_fixture *f, const void *p, size_t n,
               enum rpc_refusal why)
{
    uint64_t before = rpc_server_counters(f->server)->refused[why];
    unsigned handled = f->handled;
    int fd = rpc_fixture_connect(f);

    rpc_fixture_send(fd, p, n);
    rpc_fixture_wait_closed(f, fd);
    assert_int_equal(rpc_server_counters(f->server)->refused[why], before + 1);
    assert_int_equal(f->handled, handled);
}

/* Guards against handling a call whose signature, body, key or send time is
   wrong, and against one bad peer affecting other connections. */
static void
test_bad_signatures_are_refused(void **state)
{
    (void)state;
    struct rpc_fixture f;
    struct rpc_outcome out;
    uint8_t instance[RPC_INSTANCE_BYTES];
    uint64_t now = rpc_wall_ms();

    rpc_fixture_start(&f, NULL);
    struct rpc_client *other_client = rpc_fixture_client(&f, NULL);
    rpc_fixture_request_loan(other_client, 1, 30000, &out);
    rpc_fixture_wait(&f, &out);

    int fd = rpc_fixture_connect(&f);
    rpc_fixture_get_instance(&f, fd, instance);
    close(fd);
    GByteArray *call = rpc_fixture_call(&f, now, false, instance);
    call->data[call->len - 1] ^= 1; /* body */
    assert_refused(&f, call->data, call->len, RPC_REFUSED_SIGNATURE);
    call->data[call->len - 1] ^= 1;
    call->data[27] ^= 1; /* procedure */
    assert_refused(&f, call->data, call->len, RPC_REFUSED_SIGNATURE);
    g_byte_array_free(call, TRUE);

    /* The signature covers the instance id of another server, or of this one
       before a restart. */
    instance[0] ^= 1;
    call = rpc_fixture_call(&f, now, false, instance);
    assert_refused(&f, call->data, call->len, RPC_REFUSED_SIGNATURE);
    g_byte_array_free(call, TRUE);
    instance[0] ^= 1;

    call = rpc_fixture_call(&f, now - 2 * RPC_TIME_WINDOW_MS, false, instance);
    assert_refused(&f, call->data, call->len, RPC_REFUSED_TIME);
    g_byte_array_free(call, TRUE);
    call = rpc_fixture_call(&f, now + 2 * RPC_TIME_WINDOW_MS, false, instance);
    assert_refused(&f, call->data, call->len, RPC_REFUSED_TIME);
    g_byte_array_free(call, TRUE);

    const uint8_t unsigned_call[] = {
        0x80, 0, 0, 40, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 1, 0, 0,
        0,    1, 0, 0,  0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0};
    assert_refused(&f, unsigned_call, sizeof(unsigned_call),
                   RPC_REFUSED_UNSIGNED);

    rpc_fixture_request_loan(other_client, 2, 30000, &out);
    rpc_fixture_wait(&f, &out);
    assert_int_equal(out.status, RPC_STATUS_OK);
    assert_int_equal(rpc_client_counters(other_client)->connects, 1);
    rpc_client_destroy(other_client);
    rpc_fixture_stop(&f);
}

/* Guards against handling a recorded call again, on the same or on another
   connection. */
static void
test_replayed_call_is_refused(void **state)
{
    (void)state;
    struct rpc_fixture f;
    uint8_t instance[RPC_INSTANCE_BYTES];

    rpc_fixture_start(&f, NULL);
    int fd = rpc_fixture_connect(&f);
    rpc_fixture_get_instance(&f, fd, instance);
    GByteArray *call = rpc_fixture_call(&f, rpc_wall_ms(), false, instance);
    rpc_fixture_send(fd, call->data, call->len);
    rpc_fixture_send(fd, call->data, call->len);
    rpc_fixture_wait_closed(&f, fd);
    assert_int_equal(f.handled, 1);
    assert_int_equal(
        rpc_server_counters(f.server)->refused[RPC_REFUSED_REPLAY], 1);
    assert_refused(&f, call->data, call->len, RPC_REFUSED_REPLAY);
    g_byte_array_free(call, TRUE);
    assert_server_works(&f);
    rpc_fixture_stop(&f);
}

/* Guards against dropping nonces while their send time can still be accepted,
   and against a store that grows without limit. */
static void
test_nonces_are_kept_and_bounded(void **state)
{
    (void)state;
    struct rpc_nonces *s = rpc_nonces_create(2);
    uint8_t n[RPC_NONCE_BYTES] = {1};
    uint64_t t = 1000;

    assert_int_equal(rpc_nonces_add(s, t, n), RPC_NONCE_NEW);
    t += 2 * RPC_TIME_WINDOW_MS;
    assert_int_equal(rpc_nonces_add(s, t, n), RPC_NONCE_SEEN);
    t += 1;
    assert_int_equal(rpc_nonces_add(s, t, n), RPC_NONCE_SEEN);
    n[0] = 2;
    assert_int_equal(rpc_nonces_add(s, t, n), RPC_NONCE_NEW);
    n[0] = 3;
    assert_int_equal(rpc_nonces_add(s, t, n), RPC_NONCE_NEW);
    n[0] = 4;
    assert_int_equal(rpc_nonces_add(s, t, n), RPC_NONCE_FULL);
    assert_int_equal(rpc_nonces_add(s, t + 9 * RPC_TIME_WINDOW_MS, n),
                     RPC_NONCE_NEW);
    rpc_nonces_destroy(s);
}

/* Guards against allocating memory for a length before it has been checked,
   also if the length is spread over several fragments. */
static void
test_oversized_and_empty_fragments(void **state)
{
    (void)state;
    struct rpc_fixture f;
    const uint8_t large[] = {0x80, 1, 0, 1};
    const uint8_t empty[] = {0, 0, 0, 0};
    uint8_t *fragments = g_malloc0(8 + RPC_RECORD_MAX_BYTES);

    rpc_fixture_start(&f, NULL);
    assert_refused(&f, large, sizeof(large), RPC_REFUSED_OVERSIZED);
    assert_refused(&f, empty, sizeof(empty), RPC_REFUSED_MALFORMED);
    fragments[1] = 1;                           /* 65536, not the last */
    fragments[4 + RPC_RECORD_MAX_BYTES] = 0x80; /* one byte more */
    fragments[4 + RPC_RECORD_MAX_BYTES + 3] = 1;
    assert_refused(&f, fragments, 8 + RPC_RECORD_MAX_BYTES,
                   RPC_REFUSED_OVERSIZED);
    g_free(fragments);
    assert_server_works(&f);
    rpc_fixture_stop(&f);
}

/* Guards against connections that stay open indefinitely with a partial record
   or without any data. */
static void
test_stalled_peer_is_closed(void **state)
{
    (void)state;
    struct rpc_fixture f;
    const struct rpc_server_limits limits = {.stall_ms = 30};
    const uint8_t half[] = {0x80, 0, 0, 40, 1, 2};

    rpc_fixture_start(&f, &limits);
    assert_refused(&f, half, sizeof(half), RPC_REFUSED_STALLED);
    assert_refused(&f, half, 0, RPC_REFUSED_STALLED);
    rpc_fixture_stop(&f);
}

/* Guards against crashes and reads out of bounds on truncated, modified or
   random records. */
static void
test_random_bytes(void **state)
{
    (void)state;
    struct rpc_fixture f;
    struct rng r;
    uint8_t bytes[400];
    uint8_t instance[RPC_INSTANCE_BYTES];

    rng_seed(&r, FUZZ_SEED);
    rpc_fixture_start(&f, NULL);
    int fd = rpc_fixture_connect(&f);
    rpc_fixture_get_instance(&f, fd, instance);
    close(fd);
    for (unsigned i = 0; i < FUZZ_RUNS; i++) {
        GByteArray *call =
            rpc_fixture_call(&f, rpc_wall_ms(), false, instance);
        size_t n = 1 + rng_below(&r, sizeof(bytes) - 1);

        for (size_t j = 0; j < n; j++) {
            bytes[j] = (uint8_t)rng_next(&r);
        }
        if (i % 2) { /* a valid call with a random change after its mark */
            n = call->len;
            memcpy(bytes, call->data, n);
            bytes[4 + rng_below(&r, n - 4)] ^=
                (uint8_t)(1 + rng_below(&r, 255));
        }
        if (i % 4 == 3) { /* a truncated record with a matching mark */
            n = 5 + rng_below(&r, n - 5);
            bytes[2] = (uint8_t)((n - 4) >> 8);
            bytes[3] = (uint8_t)(n - 4);
        }
        g_byte_array_free(call, TRUE);
        fd = rpc_fixture_connect(&f);
        rpc_fixture_send(fd, bytes, n);
        shutdown(fd, SHUT_WR);
        rpc_fixture_wait_closed(&f, fd);
    }
    assert_int_equal(f.handled, 0);
    assert_server_works(&f);
    rpc_fixture_stop(&f);
}

/* Guards against decoders that read out of bounds or leak memory, on random
   bodies of each message with a variable part. Errors are detected by the
   sanitizers. */
static void
test_random_bodies(void **state)
{
    (void)state;
    static const struct {
        xdrproc_t proc;
        size_t bytes;
    } types[] = {
        {RPC_XDR(xdr_peer_heartbeat), sizeof(peer_heartbeat)},
        {RPC_XDR(xdr_peer_hello), sizeof(peer_hello)},
        {RPC_XDR(xdr_peer_ticket), sizeof(peer_ticket)},
        {RPC_XDR(xdr_peer_usage), sizeof(peer_usage)},
        {RPC_XDR(xdr_peer_cancel), sizeof(peer_cancel)},
    };
    struct rng r;
    char bytes[256];

    rng_seed(&r, FUZZ_SEED + 1);
    for (unsigned i = 0; i < 20000; i++) {
        void *value = g_malloc0(types[i % 5].bytes);
        size_t n = rng_below(&r, sizeof(bytes));

        for (size_t j = 0; j < n; j++) {
            /* Mostly zeros, so that lengths are often valid. */
            bytes[j] = (char)(rng_below(&r, 4) ? 0 : rng_below(&r, 9));
        }
        rpc_decode_body((struct sview){bytes, n}, types[i % 5].proc, value);
        xdr_free(types[i % 5].proc, value);
        g_free(value);
    }
}

/* Guards against a key rotation that disconnects proxies: the old and the new
   key have to work while both are listed, and a removed key must not. */
static void
test_key_rotation(void **state)
{
    (void)state;
    struct rpc_fixture f;
    struct rpc_outcome out;

    rpc_fixture_start(&f, NULL);
    struct rpc_keys *new_only = rpc_fixture_keys(KEY_B, NULL);
    struct rpc_keys *both = rpc_fixture_keys(KEY_B, KEY_A);
    struct rpc_client *c = rpc_fixture_client(&f, new_only);

    rpc_fixture_request_loan(c, 1, 30000, &out);
    rpc_fixture_wait(&f, &out);
    assert_int_equal(out.status, RPC_STATUS_DENIED);
    struct sview v[2] = {sview_from(KEY_B), sview_from(KEY_A)};
    assert_true(rpc_keys_set(f.keys, v, 2));
    rpc_fixture_request_loan(c, 2, 30000, &out);
    rpc_fixture_wait(&f, &out);
    assert_int_equal(out.status, RPC_STATUS_OK);
    rpc_client_destroy(c);
    c = rpc_fixture_client(&f, both);
    rpc_fixture_request_loan(c, 3, 30000, &out);
    rpc_fixture_wait(&f, &out);
    assert_int_equal(out.status, RPC_STATUS_OK);
    rpc_client_destroy(c);
    struct sview weak = SVIEW("too short");
    assert_false(rpc_keys_set(f.keys, &weak, 1));
    rpc_keys_destroy(new_only);
    rpc_keys_destroy(both);
    rpc_fixture_stop(&f);
}

static bool
call_held(void *ctx)
{
    return ((struct rpc_fixture *)ctx)->held != NULL;
}

/* Guards against a crash when a call is answered after its connection has
   ended, and against reporting a sent call as not sent. */
static void
test_late_answer_and_timeout(void **state)
{
    (void)state;
    struct rpc_fixture f;
    struct rpc_outcome out;
    peer_loan_answer a = {.granted = 9};

    rpc_fixture_start(&f, NULL);
    struct rpc_client *c = rpc_fixture_client(&f, NULL);
    f.hold = true;
    rpc_fixture_request_loan(c, 1, 50, &out);
    rpc_fixture_wait(&f, &out);
    assert_true(out.status == RPC_STATUS_TIMEOUT ||
                out.status == RPC_STATUS_NOT_SENT);
    if (f.held) {
        rpc_call_fail(f.held);
        f.held = NULL;
    }
    rpc_fixture_request_loan(c, 1, 30000, &out);
    rpc_fixture_run_until(&f, call_held, &f);
    rpc_client_destroy(c);
    assert_int_equal(out.status, RPC_STATUS_LOST);
    rpc_call_reply(f.held, RPC_XDR(xdr_peer_loan_answer), &a);
    f.hold = false;
    assert_server_works(&f);
    rpc_fixture_stop(&f);
}

/* Guards against a client that stays broken after its server was restarted. */
static void
test_client_reconnects(void **state)
{
    (void)state;
    struct rpc_fixture f;
    struct rpc_outcome out;
    char *error = NULL;

    rpc_fixture_start(&f, NULL);
    struct rpc_client *c = rpc_fixture_client(&f, NULL);
    uint16_t port = rpc_server_port(f.server);
    rpc_fixture_request_loan(c, 1, 30000, &out);
    rpc_fixture_wait(&f, &out);
    rpc_server_destroy(f.server);
    rpc_fixture_request_loan(c, 2, 30000, &out);
    /* If the call is sent on the old connection, it ends with LOST. */
    ev_run(f.loop, EVRUN_NOWAIT);
    f.server = rpc_server_create(f.loop, RPC_FIXTURE_HOST, port, f.keys,
                                 f.procedures, 1, NULL, &error);
    assert_non_null(f.server);
    rpc_fixture_wait(&f, &out);
    assert_true(out.status == RPC_STATUS_LOST || out.status == RPC_STATUS_OK);
    rpc_fixture_request_loan(c, 3, 30000, &out);
    rpc_fixture_wait(&f, &out);
    assert_int_equal(out.status, RPC_STATUS_OK);
    assert_int_equal(out.granted, 3);
    rpc_client_destroy(c);
    rpc_fixture_stop(&f);
}

/* Guards against calls to an unreachable peer that never end or are reported
   as sent. */
static void
test_unreachable_peer(void **state)
{
    (void)state;
    struct rpc_fixture f;
    struct rpc_outcome out;

    rpc_fixture_start(&f, NULL);
    struct rpc_client *c = rpc_fixture_client(&f, NULL);
    rpc_server_destroy(f.server);
    f.server = NULL;
    rpc_fixture_request_loan(c, 1, 100, &out);
    rpc_fixture_wait(&f, &out);
    assert_int_equal(out.status, RPC_STATUS_NOT_SENT);
    rpc_client_destroy(c);
    rpc_fixture_stop(&f);
}

/* Guards against an unlimited queue of calls to a slow peer. */
static void
test_too_many_calls_are_refused(void **state)
{
    (void)state;
    struct rpc_fixture f;
    struct rpc_outcome out[300];
    unsigned busy = 0;

    rpc_fixture_start(&f, NULL);
    struct rpc_client *c = rpc_fixture_client(&f, NULL);
    for (unsigned i = 0; i < 300; i++) {
        rpc_fixture_request_loan(c, i, 30000, &out[i]);
    }
    for (unsigned i = 0; i < 300; i++) {
        rpc_fixture_wait(&f, &out[i]);
        busy += out[i].status == RPC_STATUS_BUSY;
    }
    assert_int_equal(busy, 300 - 256);
    rpc_client_destroy(c);
    rpc_fixture_stop(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_calls_in_flight_keep_their_answers),
        cmocka_unit_test(test_bad_signatures_are_refused),
        cmocka_unit_test(test_replayed_call_is_refused),
        cmocka_unit_test(test_nonces_are_kept_and_bounded),
        cmocka_unit_test(test_oversized_and_empty_fragments),
        cmocka_unit_test(test_stalled_peer_is_closed),
        cmocka_unit_test(test_random_bytes),
        cmocka_unit_test(test_random_bodies),
        cmocka_unit_test(test_key_rotation),
        cmocka_unit_test(test_late_answer_and_timeout),
        cmocka_unit_test(test_client_reconnects),
        cmocka_unit_test(test_unreachable_peer),
        cmocka_unit_test(test_too_many_calls_are_refused),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
