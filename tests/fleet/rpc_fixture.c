#include "rpc_fixture.h"

#include "fleet/rpc_net.h"

#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

/* Fails a test that hangs. */
#define WATCHDOG_S 60.0
#define KEY_A "0123456789abcdef0123456789abcdef"

const struct rpc_procedure_type loan_procedure_type = {
    .program = PEER_PROGRAM,
    .version = PEER_VERSION,
    .procedure = PEER_LOAN_REQUEST,
    .args_proc = RPC_XDR(xdr_peer_loan_request),
    .result_proc = RPC_XDR(xdr_peer_loan_answer),
    .result_bytes = sizeof(peer_loan_answer),
};

/* Grants what is wanted, or keeps the call unanswered if hold is set. */
static void
on_loan(void *ctx, struct rpc_call *call, void *args)
{
    struct rpc_fixture *f = ctx;
    const peer_loan_request *r = args;
    peer_loan_answer a = {.granted = r->wanted, .lease_ms = 2000};

    f->handled++;
    if (f->hold) {
        f->held = call;
        return;
    }
    rpc_call_reply(call, RPC_XDR(xdr_peer_loan_answer), &a);
}

/* Creates a set of one or two keys. first may be NULL for the default key,
   second for none. */
struct rpc_keys *
rpc_fixture_keys(const char *first, const char *second)
{
    struct rpc_keys *k = rpc_keys_create();
    struct sview v[2] = {sview_from(first ? first : KEY_A),
                         sview_from(second ? second : "")};

    assert_true(rpc_keys_set(k, v, second ? 2 : 1));
    return k;
}

void
rpc_fixture_start(struct rpc_fixture *f,
                  const struct rpc_server_limits *limits)
{
    char *error = NULL;

    memset(f, 0, sizeof(*f));
    f->loop = ev_loop_new(EVFLAG_AUTO);
    f->keys = rpc_fixture_keys(NULL, NULL);
    f->procedures[0] = (struct rpc_procedure){
        .program = PEER_PROGRAM,
        .version = PEER_VERSION,
        .procedure = PEER_LOAN_REQUEST,
        .args_proc = RPC_XDR(xdr_peer_loan_request),
        .args_bytes = sizeof(peer_loan_request),
        .handler = on_loan,
        .ctx = f,
    };
    f->server = rpc_server_create(f->loop, RPC_FIXTURE_HOST, 0, f->keys,
                                  f->procedures, 1, limits, &error);
    assert_non_null(f->server);
}

void
rpc_fixture_stop(struct rpc_fixture *f)
{
    rpc_server_destroy(f->server);
    rpc_keys_destroy(f->keys);
    ev_loop_destroy(f->loop);
}

/* Creates a client of the server. keys may be NULL for the server's keys. */
struct rpc_client *
rpc_fixture_client(struct rpc_fixture *f, const struct rpc_keys *keys)
{
    const struct rpc_client_limits limits = {
        .connect_ms = 5000, .backoff_min_ms = 5, .backoff_max_ms = 20};

    return rpc_client_create(f->loop, RPC_FIXTURE_HOST,
                             rpc_server_port(f->server), keys ? keys : f->keys,
                             1, &limits);
}

static void
on_done(void *ctx, enum rpc_status status, void *result)
{
    struct rpc_outcome *out = ctx;

    out->done = true;
    out->status = status;
    out->granted = result ? ((peer_loan_answer *)result)->granted : 0;
}

/* Makes a LOAN_REQUEST call. out is set when it ends. */
void
rpc_fixture_request_loan(struct rpc_client *c, unsigned wanted,
                         unsigned timeout_ms, struct rpc_outcome *out)
{
    peer_loan_request r = {
        .id = 1, .database = "names", .member = "a", .wanted = wanted};

    memset(out, 0, sizeof(*out));
    rpc_client_call(c, &loan_procedure_type, &r, timeout_ms, on_done, out);
}

/* Ends a run that takes too long; rpc_fixture_run_until then fails. */
static void
on_watchdog(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)events;
    *(bool *)w->data = true;
    ev_break(loop, EVBREAK_ALL);
}

/* Wakes the event loop so that the condition and raw sockets are checked. */
static void
on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)loop;
    (void)w;
    (void)events;
}

/* Runs the event loop until the condition is true. */
void
rpc_fixture_run_until(struct rpc_fixture *f, bool (*until)(void *), void *ctx)
{
    bool expired = false;
    ev_timer watchdog;
    ev_timer tick;

    ev_timer_init(&watchdog, on_watchdog, WATCHDOG_S, 0);
    watchdog.data = &expired;
    ev_timer_init(&tick, on_tick, 0.001, 0.001);
    ev_timer_start(f->loop, &watchdog);
    ev_timer_start(f->loop, &tick);
    while (!until(ctx) && !expired) {
        ev_run(f->loop, EVRUN_ONCE);
    }
    ev_timer_stop(f->loop, &watchdog);
    ev_timer_stop(f->loop, &tick);
    assert_false(expired);
}

static bool
outcome_done(void *ctx)
{
    return ((struct rpc_outcome *)ctx)->done;
}

/* Runs the event loop until a call has ended. */
void
rpc_fixture_wait(struct rpc_fixture *f, struct rpc_outcome *out)
{
    rpc_fixture_run_until(f, outcome_done, out);
}

/* Opens a raw, blocking connection. */
int
rpc_fixture_connect(struct rpc_fixture *f)
{
    int fd = rpc_net_connect(RPC_FIXTURE_HOST, rpc_server_port(f->server));

    assert_true(fd >= 0);
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

/* Sends raw bytes. Errors are ignored, because the server may close the
   connection before all is sent. */
void
rpc_fixture_send(int fd, const void *p, size_t n)
{
    ssize_t ignored = send(fd, p, n, MSG_NOSIGNAL);
    (void)ignored;
}

/* Returns true if the peer has closed the connection; drops received bytes. */
static bool
fd_closed(void *ctx)
{
    char buffer[4096];

    for (;;) {
        ssize_t n = recv(*(int *)ctx, buffer, sizeof(buffer), MSG_DONTWAIT);

        if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
            return true;
        }
        if (n < 0) {
            return false;
        }
    }
}

/* Runs the event loop until the server has closed the raw connection. */
void
rpc_fixture_wait_closed(struct rpc_fixture *f, int fd)
{
    rpc_fixture_run_until(f, fd_closed, &fd);
    close(fd);
}

/* Builds a signed call record: the handshake or a loan request. */
GByteArray *
rpc_fixture_call(struct rpc_fixture *f, uint64_t sent_ms, bool handshake,
                 const uint8_t *instance)
{
    GByteArray *out = g_byte_array_new();
    GByteArray *body = g_byte_array_new();
    peer_loan_request r = {.database = "names", .member = "a", .wanted = 1};
    struct rpc_signed msg = {.xid = 7, .sent_ms = sent_ms};
    uint8_t mac[RPC_MAC_BYTES];

    if (!handshake) {
        msg.program = PEER_PROGRAM;
        msg.version = PEER_VERSION;
        msg.procedure = PEER_LOAN_REQUEST;
        assert_true(rpc_encode_body(body, RPC_XDR(xdr_peer_loan_request), &r));
        memcpy(msg.instance, instance, RPC_INSTANCE_BYTES);
    }
    msg.body = (struct sview){(const char *)body->data, body->len};
    rpc_auth_random(msg.nonce, RPC_NONCE_BYTES);
    assert_true(rpc_auth_sign(f->keys, &msg, 0, mac));
    assert_true(rpc_encode_call(out, &msg, mac));
    g_byte_array_free(body, TRUE);
    return out;
}

struct raw_reply {
    int fd;
    char bytes[512];
    size_t n;
};

/* Returns true once a whole reply to the handshake has been received. */
static bool
raw_reply_done(void *ctx)
{
    struct raw_reply *r = ctx;
    ssize_t n =
        recv(r->fd, r->bytes + r->n, sizeof(r->bytes) - r->n, MSG_DONTWAIT);

    if (n > 0) {
        r->n += (size_t)n;
    }
    return r->n >= RPC_REPLY_OVERHEAD_BYTES + RPC_INSTANCE_BYTES;
}

/* Gets the server's instance id over a raw connection. */
void
rpc_fixture_get_instance(struct rpc_fixture *f, int fd, uint8_t *instance)
{
    GByteArray *call = rpc_fixture_call(f, rpc_wall_ms(), true, NULL);
    struct raw_reply r = {.fd = fd};

    rpc_fixture_send(fd, call->data, call->len);
    rpc_fixture_run_until(f, raw_reply_done, &r);
    memcpy(instance, r.bytes + RPC_REPLY_OVERHEAD_BYTES, RPC_INSTANCE_BYTES);
    g_byte_array_free(call, TRUE);
}
