#include "fleet/rpc_client.h"

#include "fleet/rpc_codec.h"
#include "fleet/rpc_conn.h"
#include "fleet/rpc_net.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOG_MODULE "fleet"
#include "base/log.h"

enum client_state {
    CLIENT_IDLE,       /* no socket; connects with the next call */
    CLIENT_BACKOFF,    /* waits before the next attempt to connect */
    CLIENT_CONNECTING, /* TCP handshake */
    CLIENT_HANDSHAKE,  /* waits for the server's instance id */
    CLIENT_READY,
};

struct client_call {
    struct rpc_client *client;
    struct rpc_procedure_type type;
    struct rpc_signed what;
    GByteArray *body;
    bool sent;
    enum rpc_status early_status; /* set if the call ends unsent */
    ev_timer timer;
    rpc_done done;
    void *ctx;
    GList link;
};

struct rpc_client {
    struct ev_loop *loop;
    char host[RPC_ADDRESS_BYTES];
    char peer[RPC_ADDRESS_BYTES + 8];
    uint16_t port;
    const struct rpc_keys *keys;
    struct rng rng;
    struct rpc_client_limits limits;
    struct rpc_client_counters counters;
    enum client_state state;
    struct rpc_conn *conn;
    int connecting_fd;
    ev_io connect_watcher;
    ev_timer timer; /* connect limit, backoff or idle time, by state */
    unsigned backoff_ms;
    uint32_t next_xid;
    struct rpc_signed handshake;
    uint8_t instance[RPC_INSTANCE_BYTES];
    GQueue waiting;   /* calls not sent yet, in order */
    GHashTable *sent; /* xid to struct client_call */
};

static void client_connect(struct rpc_client *c);

/* Removes a call from its queue, reports its status and frees it. */
static void
call_end(struct client_call *call, enum rpc_status status, void *result)
{
    struct rpc_client *c = call->client;

    ev_timer_stop(c->loop, &call->timer);
    if (call->sent) {
        g_hash_table_remove(c->sent, GUINT_TO_POINTER(call->what.xid));
    }
    else {
        g_queue_unlink(&c->waiting, &call->link);
    }
    c->counters.ended[status]++;
    call->done(call->ctx, status, result);
    g_byte_array_free(call->body, TRUE);
    g_free(call);
}

static void
client_restart_timer(struct rpc_client *c, unsigned ms)
{
    ev_timer_stop(c->loop, &c->timer);
    ev_timer_set(&c->timer, ms / 1000.0, 0);
    ev_timer_start(c->loop, &c->timer);
}

/* Closes the socket, in any state, and stops the timer. */
static void
client_close(struct rpc_client *c)
{
    if (c->connecting_fd >= 0) {
        ev_io_stop(c->loop, &c->connect_watcher);
        close(c->connecting_fd);
        c->connecting_fd = -1;
    }
    rpc_conn_destroy(c->conn);
    c->conn = NULL;
    ev_timer_stop(c->loop, &c->timer);
    c->state = CLIENT_IDLE;
}

/* Ends all calls that were sent. Their callbacks may make new calls. */
static void
client_end_sent(struct rpc_client *c, enum rpc_status status)
{
    GList *calls = g_hash_table_get_values(c->sent);

    for (GList *l = calls; l; l = l->next) {
        call_end(l->data, status, NULL);
    }
    g_list_free(calls);
}

/* Ends all waiting calls with a status. Their callbacks run from the event
   loop. */
static void
client_end_waiting(struct rpc_client *c, enum rpc_status status)
{
    for (GList *l = c->waiting.head; l; l = l->next) {
        struct client_call *call = l->data;

        if (call->early_status == RPC_STATUS_OK) {
            call->early_status = status;
            ev_feed_event(c->loop, &call->timer, EV_TIMER);
        }
    }
}

/* Closes the connection after an error and schedules the next attempt, with
   exponential backoff and random jitter. Waiting calls remain queued until
   their own timeout, unless fail_fast is set. */
static void
client_fail(struct rpc_client *c, const char *step, const char *text,
            enum rpc_status sent_status)
{
    LOG_INFO(step, c->peer, "%s", text);
    client_close(c);
    c->counters.connect_failures++;
    c->state = CLIENT_BACKOFF;
    unsigned half = c->backoff_ms / 2;
    client_restart_timer(c, half + (unsigned)rng_below(&c->rng, half + 1));
    c->backoff_ms = MIN(c->backoff_ms * 2, c->limits.backoff_max_ms);
    if (c->limits.fail_fast) {
        client_end_waiting(c, RPC_STATUS_NOT_SENT);
    }
    client_end_sent(c, sent_status);
}

/* Signs a call with the current time and a new nonce, and appends it to the
   output. */
static bool
client_write(struct rpc_client *c, struct rpc_signed *msg)
{
    uint8_t mac[RPC_MAC_BYTES];

    msg->sent_ms = rpc_wall_ms();
    rpc_auth_random(msg->nonce, RPC_NONCE_BYTES);
    return rpc_auth_sign(c->keys, msg, 0, mac) &&
           rpc_encode_call(rpc_conn_output(c->conn), msg, mac);
}

static void
client_send_waiting(struct rpc_client *c)
{
    GList *next = NULL;

    for (GList *l = c->waiting.head; l; l = next) {
        struct client_call *call = l->data;

        next = l->next;
        if (call->early_status != RPC_STATUS_OK) {
            continue;
        }
        memcpy(call->what.instance, c->instance, RPC_INSTANCE_BYTES);
        call->what.body =
            (struct sview){(const char *)call->body->data, call->body->len};
        if (!client_write(c, &call->what)) {
            call->early_status = RPC_STATUS_TOO_LARGE;
            ev_feed_event(c->loop, &call->timer, EV_TIMER);
            continue;
        }
        g_queue_unlink(&c->waiting, l);
        call->sent = true;
        g_hash_table_insert(c->sent, GUINT_TO_POINTER(call->what.xid), call);
    }
    rpc_conn_flush(c->conn);
}

/* Returns true if the reply has a valid signature, which covers the nonce of
   the call. */
static bool
reply_verified(const struct rpc_client *c, const struct rpc_signed *call,
               const struct rpc_reply_head *head)
{
    struct rpc_signed msg = *call;

    msg.reply = true;
    msg.accept_stat = head->accept_stat;
    msg.sent_ms = 0;
    msg.body = head->body;
    return rpc_auth_verify(c->keys, &msg, head->mac) >= 0;
}

/* Handles the reply to the first call of a connection, which contains the
   server's instance id. */
static void
client_handshake_done(struct rpc_client *c, const struct rpc_reply_head *head)
{
    if (head->xid != c->handshake.xid || head->accept_stat != SUCCESS ||
        head->body.n != RPC_INSTANCE_BYTES ||
        !reply_verified(c, &c->handshake, head)) {
        client_fail(c, "rpc-greet", "unexpected answer or wrong signature",
                    RPC_STATUS_BAD_REPLY);
        return;
    }
    memcpy(c->instance, head->body.p, RPC_INSTANCE_BYTES);
    c->state = CLIENT_READY;
    c->backoff_ms = c->limits.backoff_min_ms;
    client_restart_timer(c, c->limits.idle_ms);
    client_send_waiting(c);
}

/* Converts the accept status of a verified reply. */
static enum rpc_status
status_of_accept_stat(uint32_t accept_stat)
{
    switch (accept_stat) {
    case SUCCESS:
        return RPC_STATUS_OK;
    case PROG_UNAVAIL:
    case PROG_MISMATCH:
    case PROC_UNAVAIL:
        return RPC_STATUS_UNAVAILABLE;
    case GARBAGE_ARGS:
        return RPC_STATUS_BAD_ARGS;
    default:
        return RPC_STATUS_FAILED;
    }
}

/* Handles a reply. */
static void
on_record(void *ctx, struct sview record)
{
    struct rpc_client *c = ctx;
    struct rpc_reply_head head;

    if (rpc_decode_reply(record, &head) != RPC_DECODED) {
        client_fail(c, "rpc-reply", "malformed answer", RPC_STATUS_BAD_REPLY);
        return;
    }
    if (head.denied) {
        if (c->state == CLIENT_HANDSHAKE) {
            client_end_waiting(c, RPC_STATUS_DENIED);
        }
        client_fail(c, "rpc-reply", "the peer denied the call",
                    RPC_STATUS_DENIED);
        return;
    }
    if (c->state == CLIENT_HANDSHAKE) {
        client_handshake_done(c, &head);
        return;
    }
    struct client_call *call =
        g_hash_table_lookup(c->sent, GUINT_TO_POINTER(head.xid));
    if (!call) {
        return; /* the call has timed out */
    }
    if (!reply_verified(c, &call->what, &head)) {
        client_fail(c, "rpc-reply", "wrong signature", RPC_STATUS_BAD_REPLY);
        return;
    }
    client_restart_timer(c, c->limits.idle_ms);
    enum rpc_status status = status_of_accept_stat(head.accept_stat);
    if (status != RPC_STATUS_OK) {
        call_end(call, status, NULL);
        return;
    }
    xdrproc_t proc = call->type.result_proc;
    void *result = g_malloc0(call->type.result_bytes + 1);
    if (rpc_decode_body(head.body, proc, result)) {
        call_end(call, RPC_STATUS_OK, result);
    }
    else {
        call_end(call, RPC_STATUS_BAD_REPLY, NULL);
    }
    xdr_free(proc, result);
    g_free(result);
}

static void
on_end(void *ctx, enum rpc_conn_end why)
{
    struct rpc_client *c = ctx;

    client_fail(c, "rpc-read",
                why == RPC_CONN_CLOSED
                    ? "connection closed by the peer"
                    : "connection stalled or malformed record",
                RPC_STATUS_LOST);
}

/* Handles the end of the TCP handshake and asks for the server's instance
   id. */
static void
on_connected(struct ev_loop *loop, ev_io *w, int events)
{
    (void)events;
    static const struct rpc_conn_ops ops = {
        .on_record = on_record,
        .on_end = on_end,
    };
    struct rpc_client *c = w->data;
    int fd = c->connecting_fd;
    int code = 0;
    socklen_t n = sizeof(code);

    getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &n);
    if (code != 0) {
        client_fail(c, "rpc-connect", g_strerror(code), RPC_STATUS_LOST);
        return;
    }
    ev_io_stop(loop, &c->connect_watcher);
    c->connecting_fd = -1;
    rpc_conn_set_socket_options(fd);
    c->conn =
        rpc_conn_create(loop, fd, &ops, c, c->limits.connect_ms / 1000.0);
    c->counters.connects++;
    c->state = CLIENT_HANDSHAKE;
    memset(&c->handshake, 0, sizeof(c->handshake));
    c->handshake.xid = c->next_xid++;
    if (!client_write(c, &c->handshake)) {
        client_fail(c, "rpc-greet", "no key to sign with", RPC_STATUS_LOST);
        return;
    }
    rpc_conn_flush(c->conn);
}

static void
client_connect(struct rpc_client *c)
{
    int fd = rpc_net_connect(c->host, c->port);

    if (fd < 0) {
        client_fail(c, "rpc-connect", g_strerror(errno), RPC_STATUS_LOST);
        return;
    }
    c->state = CLIENT_CONNECTING;
    c->connecting_fd = fd;
    ev_io_set(&c->connect_watcher, fd, EV_WRITE);
    ev_io_start(c->loop, &c->connect_watcher);
    client_restart_timer(c, c->limits.connect_ms);
}

/* Handles the timer according to the state. */
static void
on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)loop;
    (void)events;
    struct rpc_client *c = w->data;

    switch (c->state) {
    case CLIENT_CONNECTING:
    case CLIENT_HANDSHAKE:
        client_fail(c, "rpc-connect", "timed out", RPC_STATUS_LOST);
        break;
    case CLIENT_BACKOFF:
        c->state = CLIENT_IDLE;
        if (c->waiting.length > 0) {
            client_connect(c);
        }
        break;
    case CLIENT_READY:
        if (g_hash_table_size(c->sent) == 0) {
            client_close(c);
        }
        else {
            client_restart_timer(c, c->limits.idle_ms);
        }
        break;
    case CLIENT_IDLE:
        break;
    }
}

/* Ends a call that timed out or whose status was known before sending. */
static void
on_call_timer(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)loop;
    (void)events;
    struct client_call *call = w->data;

    if (call->early_status != RPC_STATUS_OK) {
        call_end(call, call->early_status, NULL);
    }
    else {
        call_end(call, call->sent ? RPC_STATUS_TIMEOUT : RPC_STATUS_NOT_SENT,
                 NULL);
    }
}

/* Creates a client for one peer without connecting. host is a numeric IP
   address, keys are borrowed, seed initializes the random jitter. limits may
   be NULL. */
struct rpc_client *
rpc_client_create(struct ev_loop *loop, const char *host, uint16_t port,
                  const struct rpc_keys *keys, uint64_t seed,
                  const struct rpc_client_limits *limits)
{
    struct rpc_client *c = g_new0(struct rpc_client, 1);

    c->loop = loop;
    g_strlcpy(c->host, host, sizeof(c->host));
    g_snprintf(c->peer, sizeof(c->peer),
               strchr(host, ':') ? "[%s]:%u" : "%s:%u", c->host, port);
    c->port = port;
    c->keys = keys;
    rng_seed(&c->rng, seed);
    if (limits) {
        c->limits = *limits;
    }
    if (c->limits.connect_ms == 0) {
        c->limits.connect_ms = 1000;
    }
    if (c->limits.backoff_min_ms == 0) {
        c->limits.backoff_min_ms = 100;
    }
    if (c->limits.backoff_max_ms == 0) {
        c->limits.backoff_max_ms = 5000;
    }
    if (c->limits.idle_ms == 0) {
        c->limits.idle_ms = 30000;
    }
    if (c->limits.max_calls == 0) {
        c->limits.max_calls = 256;
    }
    c->backoff_ms = c->limits.backoff_min_ms;
    c->connecting_fd = -1;
    c->next_xid = (uint32_t)rng_next(&c->rng);
    ev_init(&c->connect_watcher, on_connected);
    ev_init(&c->timer, on_timer);
    c->connect_watcher.data = c->timer.data = c;
    g_queue_init(&c->waiting);
    c->sent = g_hash_table_new(g_direct_hash, g_direct_equal);
    return c;
}

/* Closes the connection and frees the client. Calls in progress end first,
   with RPC_STATUS_NOT_SENT or RPC_STATUS_LOST. */
void
rpc_client_destroy(struct rpc_client *c)
{
    if (!c) {
        return;
    }
    client_close(c);
    GList *next;
    for (GList *l = c->waiting.head; l; l = next) {
        next = l->next;
        call_end(l->data, RPC_STATUS_NOT_SENT, NULL);
    }
    client_end_sent(c, RPC_STATUS_LOST);
    g_hash_table_destroy(c->sent);
    g_free(c);
}

/* Makes a call. done is called exactly once, from the event loop, within
   timeout_ms. The call waits until the connection is established. */
void
rpc_client_call(struct rpc_client *c, const struct rpc_procedure_type *what,
                const void *args, unsigned timeout_ms, rpc_done done,
                void *ctx)
{
    struct client_call *call = g_new0(struct client_call, 1);

    call->client = c;
    call->type = *what;
    call->body = g_byte_array_new();
    call->done = done;
    call->ctx = ctx;
    call->what.xid = c->next_xid++;
    call->what.program = what->program;
    call->what.version = what->version;
    call->what.procedure = what->procedure;
    call->link.data = call;
    c->counters.calls++;
    if (c->waiting.length + g_hash_table_size(c->sent) >=
        c->limits.max_calls) {
        call->early_status = RPC_STATUS_BUSY;
    }
    else if (!rpc_encode_body(call->body, what->args_proc, args) ||
             call->body->len >
                 RPC_RECORD_MAX_BYTES - RPC_CALL_OVERHEAD_BYTES) {
        call->early_status = RPC_STATUS_TOO_LARGE;
    }
    g_queue_push_tail_link(&c->waiting, &call->link);
    ev_timer_init(
        &call->timer, on_call_timer,
        call->early_status == RPC_STATUS_OK ? timeout_ms / 1000.0 : 0.0, 0);
    call->timer.data = call;
    ev_timer_start(c->loop, &call->timer);
    if (call->early_status != RPC_STATUS_OK) {
        return;
    }
    if (c->state == CLIENT_READY) {
        client_send_waiting(c);
    }
    else if (c->state == CLIENT_IDLE) {
        client_connect(c);
    }
}

const struct rpc_client_counters *
rpc_client_counters(const struct rpc_client *c)
{
    return &c->counters;
}

/* Returns "host:port" of the peer, for logs and messages. */
const char *
rpc_client_peer(const struct rpc_client *c)
{
    return c->peer;
}
