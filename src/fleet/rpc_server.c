#include "fleet/rpc_server.h"

#include "base/clock.h"
#include "fleet/rpc_codec.h"
#include "fleet/rpc_conn.h"
#include "fleet/rpc_net.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOG_MODULE "fleet"
#include "base/log.h"

/* The server stops reading from a peer while more output than this is
   pending. */
#define OUTPUT_PAUSE_BYTES (2UL * RPC_RECORD_MAX_BYTES)
#define ACCEPT_BATCH 64

struct server_conn {
    struct rpc_server *server;
    struct rpc_conn *conn;
    GQueue calls; /* unanswered struct rpc_call */
    ev_timer first_call_timer;
    char peer[RPC_ADDRESS_BYTES];
    GList link;
};

struct rpc_call {
    struct server_conn *origin; /* NULL once the connection has ended */
    struct rpc_signed msg;
    int key;
    char peer[RPC_ADDRESS_BYTES];
    GList link;
};

struct rpc_server {
    struct ev_loop *loop;
    int fd;
    uint16_t port;
    ev_io accept_watcher;
    const struct rpc_keys *keys;
    const struct rpc_procedure *procedures;
    size_t procedure_count;
    struct rpc_server_limits limits;
    struct rpc_server_counters counters;
    struct rpc_nonces *nonces;
    uint8_t instance[RPC_INSTANCE_BYTES];
    GQueue conns;
};

/* Frees a connection. Its calls remain until they are answered. */
static void
server_conn_destroy(struct server_conn *sc)
{
    GList *l;

    while ((l = g_queue_pop_head_link(&sc->calls))) {
        ((struct rpc_call *)l->data)->origin = NULL;
    }
    ev_timer_stop(sc->server->loop, &sc->first_call_timer);
    rpc_conn_destroy(sc->conn);
    g_queue_unlink(&sc->server->conns, &sc->link);
    g_free(sc);
}

/* Counts and logs a refusal, and closes this connection only. */
static void
server_conn_refuse(struct server_conn *sc, enum rpc_refusal why)
{
    sc->server->counters.refused[why]++;
    LOG_WARNING("rpc-receive", sc->peer, "connection refused: %s",
                rpc_refusal_name(why));
    server_conn_destroy(sc);
}

/* Sends an unsigned denial as a hint to the caller, then refuses. */
static void
server_conn_deny(struct server_conn *sc, uint32_t xid, enum rpc_refusal why)
{
    rpc_encode_denied(rpc_conn_output(sc->conn), xid);
    rpc_conn_flush(sc->conn);
    server_conn_refuse(sc, why);
}

/* Stops reading from a peer with many unanswered calls or much pending output,
   or resumes it. */
static void
server_conn_throttle(struct server_conn *sc)
{
    rpc_conn_pause(sc->conn,
                   sc->calls.length >= sc->server->limits.max_calls ||
                       rpc_conn_pending(sc->conn) > OUTPUT_PAUSE_BYTES);
}

/* Sends the reply, if the connection still exists, and frees the call. */
static void
call_finish(struct rpc_call *call, uint32_t accept_stat, struct sview body)
{
    struct server_conn *sc = call->origin;

    if (sc) {
        struct rpc_signed msg = call->msg;
        uint8_t mac[RPC_MAC_BYTES];

        g_queue_unlink(&sc->calls, &call->link);
        msg.reply = true;
        msg.accept_stat = accept_stat;
        msg.sent_ms = 0;
        msg.body = body;
        int key = call->key;
        /* The key may have been removed since the call was received. */
        if (!rpc_auth_sign(sc->server->keys, &msg, key, mac)) {
            rpc_auth_sign(sc->server->keys, &msg, 0, mac);
        }
        rpc_encode_reply(rpc_conn_output(sc->conn), &msg, mac);
        rpc_conn_flush(sc->conn);
        server_conn_throttle(sc);
    }
    g_free(call);
}

/* Answers a call with a value. If the value exceeds a limit of its type or
   does not fit into a record, the call fails instead. */
void
rpc_call_reply(struct rpc_call *call, xdrproc_t proc, const void *value)
{
    GByteArray *body = g_byte_array_new();

    if (rpc_encode_body(body, proc, value) &&
        body->len <= RPC_RECORD_MAX_BYTES - RPC_REPLY_OVERHEAD_BYTES) {
        call_finish(call, SUCCESS,
                    (struct sview){(const char *)body->data, body->len});
    }
    else {
        LOG_ERROR("rpc-reply", call->peer,
                  "procedure %u: answer is invalid or too large",
                  call->msg.procedure);
        call_finish(call, SYSTEM_ERR, (struct sview){0});
    }
    g_byte_array_free(body, TRUE);
}

/* Answers a call with SYSTEM_ERR. */
void
rpc_call_fail(struct rpc_call *call)
{
    call_finish(call, SYSTEM_ERR, (struct sview){0});
}

/* Returns the address of the caller as "host:port". Valid until the call is
   answered. */
const char *
rpc_call_peer(const struct rpc_call *call)
{
    return call->peer;
}

/* Finds the entry of a call in the dispatch table. Sets accept_stat if there
   is none. */
static const struct rpc_procedure *
server_find(const struct rpc_server *s, const struct rpc_signed *msg,
            uint32_t *accept_stat)
{
    *accept_stat = PROG_UNAVAIL;
    for (size_t i = 0; i < s->procedure_count; i++) {
        const struct rpc_procedure *p = &s->procedures[i];

        if (p->program != msg->program || p->version != msg->version) {
            continue;
        }
        if (p->procedure == msg->procedure) {
            return p;
        }
        *accept_stat = PROC_UNAVAIL;
    }
    return NULL;
}

/* Runs a call that passed all checks. */
static void
server_dispatch(struct server_conn *sc, const struct rpc_signed *msg, int key)
{
    struct rpc_call *call = g_new0(struct rpc_call, 1);
    uint32_t accept_stat;

    call->origin = sc;
    call->msg = *msg;
    call->msg.body = (struct sview){0};
    call->key = key;
    memcpy(call->peer, sc->peer, sizeof(call->peer));
    call->link.data = call;
    g_queue_push_tail_link(&sc->calls, &call->link);
    sc->server->counters.calls++;

    /* The null procedure returns this server's instance id, which the
       signature of every other call has to cover. */
    if (msg->procedure == 0) {
        call_finish(call, SUCCESS,
                    (struct sview){(const char *)sc->server->instance,
                                   RPC_INSTANCE_BYTES});
        return;
    }
    const struct rpc_procedure *p = server_find(sc->server, msg, &accept_stat);
    if (!p) {
        call_finish(call, accept_stat, (struct sview){0});
        return;
    }
    void *args = g_malloc0(p->args_bytes + 1);
    if (rpc_decode_body(msg->body, p->args_proc, args)) {
        p->handler(p->ctx, call, args);
    }
    else {
        call_finish(call, GARBAGE_ARGS, (struct sview){0});
    }
    xdr_free(p->args_proc, args);
    g_free(args);
}

/* Checks the signature, the send time and the nonce of a call, then runs
   it. */
static void
on_record(void *ctx, struct sview record)
{
    struct server_conn *sc = ctx;
    struct rpc_server *s = sc->server;
    struct rpc_call_head head;
    uint64_t wall = rpc_wall_ms();

    s->counters.bytes_in += record.n + 4;
    switch (rpc_decode_call(record, &head)) {
    case RPC_DECODE_MALFORMED:
        server_conn_refuse(sc, RPC_REFUSED_MALFORMED);
        return;
    case RPC_DECODE_UNSIGNED:
        server_conn_deny(sc, head.msg.xid, RPC_REFUSED_UNSIGNED);
        return;
    case RPC_DECODED:
        break;
    }
    /* The instance id is not sent with a call or reply. Both sides use the
       server's, or zeros for the null procedure. */
    if (head.msg.procedure != 0) {
        memcpy(head.msg.instance, s->instance, RPC_INSTANCE_BYTES);
    }
    int key = rpc_auth_verify(s->keys, &head.msg, head.mac);
    if (key < 0) {
        server_conn_deny(sc, head.msg.xid, RPC_REFUSED_SIGNATURE);
        return;
    }
    uint64_t sent = head.msg.sent_ms;
    uint64_t clock_diff_ms = sent > wall ? sent - wall : wall - sent;
    if (clock_diff_ms > RPC_TIME_WINDOW_MS) {
        server_conn_deny(sc, head.msg.xid, RPC_REFUSED_TIME);
        return;
    }
    switch (rpc_nonces_add(s->nonces, (uint64_t)clock_monotonic_ms(),
                           head.msg.nonce)) {
    case RPC_NONCE_SEEN:
        server_conn_deny(sc, head.msg.xid, RPC_REFUSED_REPLAY);
        return;
    case RPC_NONCE_FULL:
        server_conn_deny(sc, head.msg.xid, RPC_REFUSED_NONCES_FULL);
        return;
    case RPC_NONCE_NEW:
        break;
    }
    ev_timer_stop(s->loop, &sc->first_call_timer);
    /* sc remains valid although the handler may send a reply, because rpc_conn
       reports a broken socket only from its read side. */
    server_dispatch(sc, &head.msg, key);
    server_conn_throttle(sc);
}

static void
on_end(void *ctx, enum rpc_conn_end why)
{
    struct server_conn *sc = ctx;

    switch (why) {
    case RPC_CONN_CLOSED:
        server_conn_destroy(sc);
        break;
    case RPC_CONN_OVERSIZED:
        server_conn_refuse(sc, RPC_REFUSED_OVERSIZED);
        break;
    case RPC_CONN_MALFORMED:
        server_conn_refuse(sc, RPC_REFUSED_MALFORMED);
        break;
    case RPC_CONN_STALLED:
        server_conn_refuse(sc, RPC_REFUSED_STALLED);
        break;
    }
}

static void
on_drained(void *ctx)
{
    server_conn_throttle(ctx);
}

/* Closes a connection that has made no valid call in time. */
static void
on_first_call_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)loop;
    (void)events;
    server_conn_refuse(w->data, RPC_REFUSED_STALLED);
}

/* Takes ownership of an accepted socket. */
static void
server_add_conn(struct rpc_server *s, int fd, const char *peer)
{
    static const struct rpc_conn_ops ops = {
        .on_record = on_record,
        .on_end = on_end,
        .on_drained = on_drained,
    };

    if (s->conns.length >= s->limits.max_connections) {
        s->counters.refused[RPC_REFUSED_CONNECTIONS]++;
        close(fd);
        return;
    }
    struct server_conn *sc = g_new0(struct server_conn, 1);
    double stall_s = s->limits.stall_ms / 1000.0;

    s->counters.connections++;
    sc->server = s;
    g_strlcpy(sc->peer, peer, sizeof(sc->peer));
    g_queue_init(&sc->calls);
    sc->link.data = sc;
    g_queue_push_tail_link(&s->conns, &sc->link);
    rpc_conn_set_socket_options(fd);
    sc->conn = rpc_conn_create(s->loop, fd, &ops, sc, stall_s);
    ev_timer_init(&sc->first_call_timer, on_first_call_timeout, stall_s, 0);
    sc->first_call_timer.data = sc;
    ev_timer_start(s->loop, &sc->first_call_timer);
}

/* Accepts pending connections, at most ACCEPT_BATCH, so that other events are
   handled in between. */
static void
on_acceptable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)loop;
    (void)events;
    struct rpc_server *s = w->data;

    for (int i = 0; i < ACCEPT_BATCH; i++) {
        struct sockaddr_storage sa;
        socklen_t sa_n = sizeof(sa);
        char peer[RPC_ADDRESS_BYTES];
        int fd = accept4(s->fd, (struct sockaddr *)&sa, &sa_n,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);

        if (fd < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                LOG_ERROR("rpc-accept", NULL, "%s", g_strerror(errno));
            }
            return;
        }
        rpc_net_format(&sa, peer);
        server_add_conn(s, fd, peer);
    }
}

/* Listens on host (a numeric IP address) and port; port 0 selects a free one.
   keys and procedures are borrowed, limits may be NULL. On failure, returns
   NULL and sets *error, to be freed with g_free. */
struct rpc_server *
rpc_server_create(struct ev_loop *loop, const char *host, uint16_t port,
                  const struct rpc_keys *keys,
                  const struct rpc_procedure *procedures, size_t n,
                  const struct rpc_server_limits *limits, char **error)
{
    int fd = rpc_net_listen(host, port, error);

    if (fd < 0) {
        return NULL;
    }
    struct rpc_server *s = g_new0(struct rpc_server, 1);
    s->loop = loop;
    s->fd = fd;
    s->port = rpc_net_port(fd);
    s->keys = keys;
    s->procedures = procedures;
    s->procedure_count = n;
    if (limits) {
        s->limits = *limits;
    }
    if (s->limits.max_connections == 0) {
        s->limits.max_connections = 1024;
    }
    if (s->limits.max_calls == 0) {
        s->limits.max_calls = 64;
    }
    if (s->limits.stall_ms == 0) {
        s->limits.stall_ms = 10000;
    }
    if (s->limits.max_nonces == 0) {
        s->limits.max_nonces = 262144;
    }
    s->nonces = rpc_nonces_create(s->limits.max_nonces);
    rpc_auth_random(s->instance, sizeof(s->instance));
    g_queue_init(&s->conns);
    ev_io_init(&s->accept_watcher, on_acceptable, fd, EV_READ);
    s->accept_watcher.data = s;
    ev_io_start(loop, &s->accept_watcher);
    return s;
}

/* Closes all connections and frees the server. Unanswered calls still have to
   be answered; their replies are dropped. */
void
rpc_server_destroy(struct rpc_server *s)
{
    if (!s) {
        return;
    }
    GList *next;
    for (GList *l = s->conns.head; l; l = next) {
        next = l->next;
        server_conn_destroy(l->data);
    }
    ev_io_stop(s->loop, &s->accept_watcher);
    close(s->fd);
    rpc_nonces_destroy(s->nonces);
    g_free(s);
}

/* Returns the port that the server listens on. */
uint16_t
rpc_server_port(const struct rpc_server *s)
{
    return s->port;
}

const struct rpc_server_counters *
rpc_server_counters(const struct rpc_server *s)
{
    return &s->counters;
}

unsigned
rpc_server_open_connections(const struct rpc_server *s)
{
    return s->conns.length;
}
