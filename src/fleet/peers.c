#include "fleet/peers_internal.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define LOG_MODULE "fleet"
#include "base/log.h"

/* A PROBE call of another proxy that is not answered yet. */
struct waiting_probe {
    struct rpc_call *call;
    uint32_t requester;
    uint32_t target;
    clock_ms since;
};

/* Context of a heartbeat or probe call in progress. */
struct pending_call {
    struct peers *peers;
    uint32_t to;
    uint32_t target;
};

static const struct rpc_procedure_type heartbeat_call =
    PROCEDURE_TYPE(PEER_HEARTBEAT, peer_heartbeat, peer_heartbeat);
static const struct rpc_procedure_type probe_call =
    PROCEDURE_TYPE(PEER_PROBE, peer_probe, peer_probe_answer);

/* Returns the peer with this id, or NULL. */
struct peer *
peers_find(struct peers *p, uint32_t id)
{
    for (int i = 0; i < p->count; i++) {
        if (p->list[i].id == id) {
            return &p->list[i];
        }
    }
    return NULL;
}

/* Passes the contents of a heartbeat or of its answer to the callbacks. */
static void
process_report(struct peers *p, const peer_heartbeat *hb)
{
    struct peer *peer = peers_find(p, hb->id);

    if (peer == NULL) {
        return;
    }
    /* Timestamps wrap around after 49 days; the later of two is less than 2^31
       ahead. */
    if (peer->timestamp == 0 ||
        (int32_t)(hb->timestamp - peer->timestamp) > 0) {
        peer->timestamp = hb->timestamp;
    }
    if (p->ops->ticket_digest != NULL) {
        p->ops->ticket_digest(p->ctx, hb->id, &hb->tickets);
    }
    if (hb->echoed_timestamp != 0 && p->ops->owners_confirmed != NULL &&
        hb->view_hash == membership_view_hash(p->membership)) {
        const clock_ms now = clock_monotonic_ms();
        p->ops->owners_confirmed(
            p->ctx, hb->id,
            now - (clock_ms)((uint32_t)now - hb->echoed_timestamp));
    }
}

/* Sets the timestamps by which the receiver dates this report and its own. */
static void
set_timestamps(const struct peer *to, peer_heartbeat *hb)
{
    const uint32_t timestamp = (uint32_t)clock_monotonic_ms();

    hb->timestamp = timestamp == 0 ? 1 : timestamp;
    hb->echoed_timestamp = to == NULL ? 0 : to->timestamp;
}

static void
on_heartbeat_answer(void *ctx, enum rpc_status status, void *result)
{
    struct pending_call *s = ctx;

    /* result is NULL if the call failed. */
    membership_on_heartbeat_answer(s->peers->membership, clock_monotonic_ms(),
                                   s->to, result);
    if (status == RPC_STATUS_OK) {
        process_report(s->peers, result);
    }
    g_free(s);
}

/* Callback of membership_actions. */
static void
send_heartbeat(void *ctx, uint32_t to, const peer_heartbeat *hb)
{
    struct peers *p = ctx;
    struct peer *peer = peers_find(p, to);
    peer_heartbeat out = *hb;

    if (peer == NULL) {
        return;
    }
    struct pending_call *s = g_new0(struct pending_call, 1);
    *s = (struct pending_call){.peers = p, .to = to};
    set_timestamps(peer, &out);
    rpc_client_call(peer->client, &heartbeat_call, &out,
                    MEMBERSHIP_HEARTBEAT_TIMEOUT_MS, on_heartbeat_answer, s);
}

static void
on_probe_answer(void *ctx, enum rpc_status status, void *result)
{
    struct pending_call *s = ctx;

    if (status == RPC_STATUS_OK) {
        const peer_probe_answer *a = result;
        membership_on_probe_answer(s->peers->membership, clock_monotonic_ms(),
                                   s->target, a->reached != 0);
    }
    g_free(s);
}

/* Callback of membership_actions. */
static void
send_probe(void *ctx, uint32_t via, uint32_t target)
{
    struct peers *p = ctx;
    struct peer *peer = peers_find(p, via);
    const peer_probe args = {.id = membership_self_id(p->membership),
                             .target = target};

    if (peer == NULL) {
        return;
    }
    struct pending_call *s = g_new0(struct pending_call, 1);
    *s = (struct pending_call){.peers = p, .to = via, .target = target};
    rpc_client_call(peer->client, &probe_call, &args,
                    MEMBERSHIP_PROBE_TIMEOUT_MS, on_probe_answer, s);
}

/* Callback of membership_actions: answers the waiting probes of a requester
   and target. */
static void
answer_probe(void *ctx, uint32_t requester, uint32_t target, bool reached)
{
    struct peers *p = ctx;
    peer_probe_answer a = {.reached = reached};

    for (guint i = p->probes->len; i > 0; i--) {
        const struct waiting_probe w =
            g_array_index(p->probes, struct waiting_probe, i - 1);
        if (w.requester == requester && w.target == target) {
            g_array_remove_index_fast(p->probes, i - 1);
            rpc_call_reply(w.call, RPC_XDR(xdr_peer_probe_answer), &a);
        }
    }
}

/* Callback of membership_actions. */
static void
member_changed(void *ctx, const struct member_info *m,
               enum member_phase before)
{
    struct peers *p = ctx;

    LOG_NOTICE("member", m->name, "proxy %u is %s", m->id,
               member_phase_name(m->phase));
    if (p->ownership != NULL) {
        ownership_member_changed(p->ownership, m, clock_monotonic_ms());
    }
    if (p->ops->member_changed != NULL) {
        p->ops->member_changed(p->ctx, m, before);
    }
}

/* Adds this proxy's name and failure domain to its first answer to a peer,
   which knows only the id from its settings. */
static void
add_own_name(struct peers *p, uint32_t id, peer_heartbeat *answer)
{
    struct peer *peer = peers_find(p, id);

    if (peer != NULL && !peer->name_sent) {
        peer->name_sent = true;
        answer->name = p->settings->name;
        answer->domain = p->settings->failure_domain;
    }
}

static void
serve_heartbeat(void *ctx, struct rpc_call *call, void *args)
{
    struct peers *p = ctx;
    peer_heartbeat answer = {0};

    if (!membership_on_heartbeat(p->membership, clock_monotonic_ms(), args,
                                 &answer)) {
        rpc_call_fail(call);
        return;
    }
    process_report(p, args);
    add_own_name(p, ((const peer_heartbeat *)args)->id, &answer);
    set_timestamps(peers_find(p, ((const peer_heartbeat *)args)->id), &answer);
    rpc_call_reply(call, RPC_XDR(xdr_peer_heartbeat), &answer);
}

/* Serves PROBE. answer_probe sends the answer when the outcome is known. */
static void
serve_probe(void *ctx, struct rpc_call *call, void *args)
{
    struct peers *p = ctx;
    const peer_probe *in = args;
    const struct waiting_probe w = {.call = call,
                                    .requester = in->id,
                                    .target = in->target,
                                    .since = clock_monotonic_ms()};

    g_array_append_val(p->probes, w);
    membership_on_probe(p->membership, w.since, in->id, in->target);
}

static void
reply_ack(struct rpc_call *call, unsigned int code)
{
    const peer_ack a = {.code = code};

    rpc_call_reply(call, RPC_XDR(xdr_peer_ack), &a);
}

static void
serve_loan_request(void *ctx, struct rpc_call *call, void *args)
{
    struct peers *p = ctx;
    peer_loan_answer a = {0};

    p->ops->loan_request(p->ctx, args, &a);
    rpc_call_reply(call, RPC_XDR(xdr_peer_loan_answer), &a);
}

static void
serve_loan_return(void *ctx, struct rpc_call *call, void *args)
{
    struct peers *p = ctx;

    p->ops->loan_return(p->ctx, args);
    reply_ack(call, 0);
}

static void
serve_ticket_push(void *ctx, struct rpc_call *call, void *args)
{
    struct peers *p = ctx;

    p->ops->ticket_push(p->ctx, args);
    reply_ack(call, 0);
}

static void
serve_ticket_pull(void *ctx, struct rpc_call *call, void *args)
{
    struct peers *p = ctx;

    p->ops->ticket_pull(p->ctx, args);
    reply_ack(call, 0);
}

/* Serves CANCEL_FORWARD. Code 1 says that no such caller is connected to this
   proxy. */
static void
serve_cancel(void *ctx, struct rpc_call *call, void *args)
{
    struct peers *p = ctx;
    const peer_cancel *in = args;
    uint32_t secret = 0;

    if (in->secret_bytes.secret_bytes_len == sizeof(secret)) {
        memcpy(&secret, in->secret_bytes.secret_bytes_val, sizeof(secret));
    }
    reply_ack(call, p->ops->cancel(p->ctx, in->process_id, secret) ? 0 : 1);
}

static void
serve_switching(void *ctx, struct rpc_call *call, void *args)
{
    struct peers *p = ctx;
    const peer_switching *in = args;

    p->ops->switching(p->ctx, in->database);
    reply_ack(call, 0);
}

/* Appends the procedures that peers call to a server's table (struct
   rpc_procedure). */
void
peers_append_procedures(struct peers *p, GArray *procedures)
{
    const struct rpc_procedure list[] = {
        {PEER_PROGRAM, PEER_VERSION, PEER_HEARTBEAT,
         RPC_XDR(xdr_peer_heartbeat), sizeof(peer_heartbeat), serve_heartbeat,
         p},
        {PEER_PROGRAM, PEER_VERSION, PEER_PROBE, RPC_XDR(xdr_peer_probe),
         sizeof(peer_probe), serve_probe, p},
        {PEER_PROGRAM, PEER_VERSION, PEER_LOAN_REQUEST,
         RPC_XDR(xdr_peer_loan_request), sizeof(peer_loan_request),
         serve_loan_request, p},
        {PEER_PROGRAM, PEER_VERSION, PEER_LOAN_RETURN,
         RPC_XDR(xdr_peer_loan_return), sizeof(peer_loan_return),
         serve_loan_return, p},
        {PEER_PROGRAM, PEER_VERSION, PEER_TICKET_PUSH,
         RPC_XDR(xdr_peer_ticket), sizeof(peer_ticket), serve_ticket_push, p},
        {PEER_PROGRAM, PEER_VERSION, PEER_TICKET_PULL,
         RPC_XDR(xdr_peer_ticket_pull), sizeof(peer_ticket_pull),
         serve_ticket_pull, p},
        {PEER_PROGRAM, PEER_VERSION, PEER_SWITCHING,
         RPC_XDR(xdr_peer_switching), sizeof(peer_switching), serve_switching,
         p},
        {PEER_PROGRAM, PEER_VERSION, PEER_CANCEL_FORWARD,
         RPC_XDR(xdr_peer_cancel), sizeof(peer_cancel), serve_cancel, p},
    };

    g_array_append_vals(procedures, list, G_N_ELEMENTS(list));
}

/* Fails probes that membership has not answered in time. */
static void
expire_probes(struct peers *p, clock_ms now)
{
    for (guint i = p->probes->len; i > 0; i--) {
        const struct waiting_probe w =
            g_array_index(p->probes, struct waiting_probe, i - 1);
        if (now - w.since > MEMBERSHIP_PROBE_TIMEOUT_MS) {
            g_array_remove_index_fast(p->probes, i - 1);
            rpc_call_fail(w.call);
        }
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct peers *p = w->data;
    const clock_ms now = clock_monotonic_ms();

    (void)loop;
    (void)revents;
    membership_tick(p->membership, now);
    expire_probes(p, now);
}

static void
format_address(const struct settings_address *a, char *out, size_t size)
{
    snprintf(out, size, "%s:%u", a->host, a->port);
}

/* Creates the clients of the proxies in the settings and adds them to the
   member list. */
static void
add_peers(struct peers *p, const struct settings *s,
          const struct rpc_keys *keys)
{
    const clock_ms now = clock_monotonic_ms();

    p->list = g_new0(struct peer, (gsize)s->peer_count + 1);
    for (int i = 0; i < s->peer_count; i++) {
        const struct settings_peer *e = &s->peers[i];
        struct peer *peer = &p->list[p->count++];
        char address[64];
        char name[32];
        peer->peers = p;
        peer->id = e->id;
        peer->client =
            rpc_client_create(p->loop, e->address.host, e->address.port, keys,
                              (uint64_t)clock_monotonic_us() + e->id,
                              &(struct rpc_client_limits){.connect_ms = 500});
        format_address(&e->address, address, sizeof(address));
        snprintf(name, sizeof(name), "proxy-%u", e->id);
        membership_list_add(p->membership, now, e->id, name, e->domain,
                            address);
    }
}

/* Creates the membership, the ownership and a client for each proxy in the
   settings, and starts to send heartbeats. s, keys and ops are borrowed. The
   procedures have to be added to a server with peers_append_procedures. */
struct peers *
peers_create(struct ev_loop *loop, const struct settings *s,
             const struct rpc_keys *keys, const struct peers_ops *ops,
             void *ctx)
{
    struct peers *p = g_new0(struct peers, 1);
    char address[64];
    const struct membership_self self = {
        .id = (uint32_t)s->id,
        .incarnation = (uint32_t)time(NULL),
        .name = s->name,
        .domain = s->failure_domain,
        .address = address,
    };
    const struct membership_actions actions = {
        .send_heartbeat = send_heartbeat,
        .send_probe = send_probe,
        .answer_probe = answer_probe,
        .changed = member_changed,
        .ctx = p,
    };

    format_address(&s->control_listen, address, sizeof(address));
    p->loop = loop;
    p->settings = s;
    p->ops = ops;
    p->ctx = ctx;
    p->probes = g_array_new(FALSE, FALSE, sizeof(struct waiting_probe));
    p->membership = membership_create(&self, &actions,
                                      (uint64_t)clock_monotonic_us() ^
                                          (uint64_t)s->id << 40,
                                      clock_monotonic_ms());
    p->ownership = ownership_create(p->membership, NULL, NULL);
    add_peers(p, s, keys);
    ev_timer_init(&p->tick, on_tick, 0.0, MEMBERSHIP_TICK_MS / 1000.0);
    p->tick.data = p;
    ev_timer_start(loop, &p->tick);
    return p;
}

/* Ends all calls and frees everything. The server with the procedures has to
   be destroyed before. */
void
peers_destroy(struct peers *p)
{
    if (p == NULL) {
        return;
    }
    ev_timer_stop(p->loop, &p->tick);
    for (int i = 0; i < p->count; i++) {
        rpc_client_destroy(p->list[i].client);
    }
    g_free(p->list);
    ownership_destroy(p->ownership);
    membership_destroy(p->membership);
    g_array_free(p->probes, TRUE);
    g_free(p);
}

struct membership *
peers_membership(struct peers *p)
{
    return p->membership;
}

struct ownership *
peers_ownership(struct peers *p)
{
    return p->ownership;
}

/* Announces to the other proxies that this one is about to leave. */
void
peers_leave(struct peers *p)
{
    membership_leave(p->membership, clock_monotonic_ms());
}

/* Returns the number of bytes that membership has sent, with RPC headers. */
uint64_t
peers_bytes_sent(const struct peers *p)
{
    return membership_counters(p->membership)->bytes;
}
