#include "fleet/peers.h"

#include "fleet/peer_xdr.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define LOG_MODULE "fleet"
#include "base/log.h"

#define PEERS_LOAN_TIMEOUT_MS 500
#define PEERS_TICKET_TIMEOUT_MS 2000
#define PEERS_CANCEL_TIMEOUT_MS 1000

/* One other proxy. */
struct peer {
    struct peers *peers;
    uint32_t id;
    uint32_t stamp; /* the latest one it sent, 0 for none */
    bool named;     /* it was told this proxy's name */
    struct rpc_client *client;
};

/* A PROBE of another proxy that waits for this one's finding. */
struct waiting_probe {
    struct rpc_call *call;
    uint32_t requester;
    uint32_t target;
    clock_ms since;
};

/* A heartbeat or probe on its way. */
struct sent {
    struct peers *peers;
    uint32_t to;
    uint32_t target;
};

struct peers {
    struct ev_loop *loop;
    const struct settings *settings;
    struct membership *membership;
    struct ownership *ownership;
    struct peer *list;
    int count;
    GArray *probes; /* of struct waiting_probe */
    ev_timer tick;
    const struct peers_ops *ops;
    void *ctx;
};

#define SIGNATURE(number, args, result)                                       \
    {                                                                         \
        .program = PEER_PROGRAM, .version = PEER_VERSION,                     \
        .procedure = (number), .args_proc = RPC_XDR(xdr_##args),              \
        .result_proc = RPC_XDR(xdr_##result), .result_bytes = sizeof(result)  \
    }

static const struct rpc_signature heartbeat_call =
    SIGNATURE(PEER_HEARTBEAT, peer_heartbeat, peer_heartbeat);
static const struct rpc_signature probe_call =
    SIGNATURE(PEER_PROBE, peer_probe, peer_probe_answer);
static const struct rpc_signature loan_request_call =
    SIGNATURE(PEER_LOAN_REQUEST, peer_loan_request, peer_loan_answer);
static const struct rpc_signature loan_return_call =
    SIGNATURE(PEER_LOAN_RETURN, peer_loan_return, peer_ack);
static const struct rpc_signature ticket_push_call =
    SIGNATURE(PEER_TICKET_PUSH, peer_ticket, peer_ack);
static const struct rpc_signature ticket_pull_call =
    SIGNATURE(PEER_TICKET_PULL, peer_ticket_pull, peer_ack);
static const struct rpc_signature cancel_call =
    SIGNATURE(PEER_CANCEL_FORWARD, peer_cancel, peer_ack);

/* Finds a peer by its id. */
static struct peer *
find_peer(struct peers *p, uint32_t id)
{
    for (int i = 0; i < p->count; i++) {
        if (p->list[i].id == id) {
            return &p->list[i];
        }
    }
    return NULL;
}

/* Tells the users of a heartbeat what the other side reported. */
static void
note_report(struct peers *p, const peer_heartbeat *hb)
{
    struct peer *peer = find_peer(p, hb->id);

    if (peer == NULL) {
        return;
    }
    /* Stamps wrap after 49 days; the later of two is less than half a turn
       ahead. */
    if (peer->stamp == 0 || (int32_t)(hb->stamp - peer->stamp) > 0) {
        peer->stamp = hb->stamp;
    }
    if (p->ops->ticket_digest != NULL) {
        p->ops->ticket_digest(p->ctx, hb->id, &hb->tickets);
    }
    if (hb->echo != 0 && p->ops->agreed != NULL &&
        hb->view == membership_view(p->membership)) {
        const clock_ms now = clock_now();
        p->ops->agreed(p->ctx, hb->id,
                       now - (clock_ms)((uint32_t)now - hb->echo));
    }
}

/* Adds the stamps by which the receiver dates the report. */
static void
stamp_heartbeat(const struct peer *to, peer_heartbeat *hb)
{
    const uint32_t stamp = (uint32_t)clock_now();

    hb->stamp = stamp == 0 ? 1 : stamp;
    hb->echo = to == NULL ? 0 : to->stamp;
}

/* Takes the answer to a heartbeat. */
static void
on_heartbeat_answer(void *ctx, enum rpc_status status, void *result)
{
    struct sent *s = ctx;

    /* result is NULL when there was no answer. */
    membership_on_answer(s->peers->membership, clock_now(), s->to, result);
    if (status == RPC_STATUS_OK) {
        note_report(s->peers, result);
    }
    g_free(s);
}

/* Membership's action: sends a heartbeat. */
static void
send_heartbeat(void *ctx, uint32_t to, const peer_heartbeat *hb)
{
    struct peers *p = ctx;
    struct peer *peer = find_peer(p, to);
    peer_heartbeat out = *hb;

    if (peer == NULL) {
        return;
    }
    struct sent *s = g_new0(struct sent, 1);
    *s = (struct sent){.peers = p, .to = to};
    stamp_heartbeat(peer, &out);
    rpc_client_call(peer->client, &heartbeat_call, &out, MEMBERSHIP_CALL_MS,
                    on_heartbeat_answer, s);
}

/* Takes the answer to a probe. */
static void
on_probe_answer(void *ctx, enum rpc_status status, void *result)
{
    struct sent *s = ctx;

    if (status == RPC_STATUS_OK) {
        const peer_probe_answer *a = result;
        membership_on_probe_answer(s->peers->membership, clock_now(),
                                   s->target, a->reached != 0);
    }
    g_free(s);
}

/* Membership's action: asks one proxy whether it reaches another. */
static void
send_probe(void *ctx, uint32_t via, uint32_t target)
{
    struct peers *p = ctx;
    struct peer *peer = find_peer(p, via);
    const peer_probe args = {.id = membership_self_id(p->membership),
                             .target = target};

    if (peer == NULL) {
        return;
    }
    struct sent *s = g_new0(struct sent, 1);
    *s = (struct sent){.peers = p, .to = via, .target = target};
    rpc_client_call(peer->client, &probe_call, &args, MEMBERSHIP_PROBE_CALL_MS,
                    on_probe_answer, s);
}

/* Membership's action: answers a probe that another proxy asked for. */
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

/* Membership's action: a member changed. */
static void
member_changed(void *ctx, const struct member_info *m,
               enum member_phase before)
{
    struct peers *p = ctx;

    LOG_NOTICE("member", m->name, "proxy %u is %s", m->id,
               member_phase_name(m->phase));
    if (p->ownership != NULL) {
        ownership_member_changed(p->ownership, m, clock_now());
    }
    if (p->ops->member_changed != NULL) {
        p->ops->member_changed(p->ctx, m, before);
    }
}

/* Adds this proxy's name to its first answer to a peer, which knows only the
   id from its settings. */
static void
introduce(struct peers *p, uint32_t id, peer_heartbeat *answer)
{
    struct peer *peer = find_peer(p, id);

    if (peer != NULL && !peer->named) {
        peer->named = true;
        answer->name = p->settings->name;
        answer->domain = p->settings->failure_domain;
    }
}

/* Serves HEARTBEAT. */
static void
serve_heartbeat(void *ctx, struct rpc_call *call, void *args)
{
    struct peers *p = ctx;
    peer_heartbeat answer = {0};

    if (!membership_on_heartbeat(p->membership, clock_now(), args, &answer)) {
        rpc_call_fail(call);
        return;
    }
    note_report(p, args);
    introduce(p, ((const peer_heartbeat *)args)->id, &answer);
    stamp_heartbeat(find_peer(p, ((const peer_heartbeat *)args)->id), &answer);
    rpc_call_reply(call, RPC_XDR(xdr_peer_heartbeat), &answer);
}

/* Serves PROBE; the answer follows when the target was tried. */
static void
serve_probe(void *ctx, struct rpc_call *call, void *args)
{
    struct peers *p = ctx;
    const peer_probe *in = args;
    const struct waiting_probe w = {.call = call,
                                    .requester = in->id,
                                    .target = in->target,
                                    .since = clock_now()};

    g_array_append_val(p->probes, w);
    membership_on_probe(p->membership, w.since, in->id, in->target);
}

/* Answers a call that only needs to be confirmed. */
static void
reply_ack(struct rpc_call *call, unsigned int code)
{
    const peer_ack a = {.code = code};

    rpc_call_reply(call, RPC_XDR(xdr_peer_ack), &a);
}

/* Serves LOAN_REQUEST. */
static void
serve_loan_request(void *ctx, struct rpc_call *call, void *args)
{
    struct peers *p = ctx;
    peer_loan_answer a = {0};

    p->ops->loan_request(p->ctx, args, &a);
    rpc_call_reply(call, RPC_XDR(xdr_peer_loan_answer), &a);
}

/* Serves LOAN_RETURN. */
static void
serve_loan_return(void *ctx, struct rpc_call *call, void *args)
{
    struct peers *p = ctx;

    p->ops->loan_return(p->ctx, args);
    reply_ack(call, 0);
}

/* Serves TICKET_PUSH. */
static void
serve_ticket_push(void *ctx, struct rpc_call *call, void *args)
{
    struct peers *p = ctx;

    p->ops->ticket_push(p->ctx, args);
    reply_ack(call, 0);
}

/* Serves TICKET_PULL. */
static void
serve_ticket_pull(void *ctx, struct rpc_call *call, void *args)
{
    struct peers *p = ctx;

    p->ops->ticket_pull(p->ctx, args);
    reply_ack(call, 0);
}

/* Serves CANCEL_FORWARD; code 1 says that the caller is not here. */
static void
serve_cancel(void *ctx, struct rpc_call *call, void *args)
{
    struct peers *p = ctx;
    const peer_cancel *in = args;
    uint32_t secret = 0;

    if (in->key.key_len == sizeof(secret)) {
        memcpy(&secret, in->key.key_val, sizeof(secret));
    }
    reply_ack(call, p->ops->cancel(p->ctx, in->process, secret) ? 0 : 1);
}

/* Adds the peers' procedures to a server's table. */
void
peers_append_procedures(struct peers *p, GArray *rows)
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
        {PEER_PROGRAM, PEER_VERSION, PEER_CANCEL_FORWARD,
         RPC_XDR(xdr_peer_cancel), sizeof(peer_cancel), serve_cancel, p},
    };

    g_array_append_vals(rows, list, G_N_ELEMENTS(list));
}

/* Gives up probes that membership left without an answer. */
static void
expire_probes(struct peers *p, clock_ms now)
{
    for (guint i = p->probes->len; i > 0; i--) {
        const struct waiting_probe w =
            g_array_index(p->probes, struct waiting_probe, i - 1);
        if (now - w.since > MEMBERSHIP_PROBE_CALL_MS) {
            g_array_remove_index_fast(p->probes, i - 1);
            rpc_call_fail(w.call);
        }
    }
}

/* Drives membership. */
static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct peers *p = w->data;
    const clock_ms now = clock_now();

    (void)loop;
    (void)revents;
    membership_tick(p->membership, now);
    expire_probes(p, now);
}

/* Writes "HOST:PORT". */
static void
format_address(const struct settings_address *a, char *out, size_t size)
{
    snprintf(out, size, "%s:%u", a->host, a->port);
}

/* Adds the proxies of the settings to the member list. */
static void
add_peers(struct peers *p, const struct settings *s,
          const struct rpc_keys *keys)
{
    const clock_ms now = clock_now();

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
                              (uint64_t)clock_now_us() + e->id,
                              &(struct rpc_client_limits){.connect_ms = 500});
        format_address(&e->address, address, sizeof(address));
        snprintf(name, sizeof(name), "proxy-%u", e->id);
        membership_list_add(p->membership, now, e->id, name, e->domain,
                            address);
    }
}

/* Creates the view of the other proxies and begins to send heartbeats.
   Procedures must be registered with a server by peers_append_procedures. */
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
    p->membership = membership_create(
        &self, &actions, (uint64_t)clock_now_us() ^ (uint64_t)s->id << 40,
        clock_now());
    p->ownership = ownership_create(p->membership, NULL, NULL);
    add_peers(p, s, keys);
    ev_timer_init(&p->tick, on_tick, 0.0, MEMBERSHIP_TICK_MS / 1000.0);
    p->tick.data = p;
    ev_timer_start(loop, &p->tick);
    return p;
}

/* Ends all calls and frees everything. The server that had the procedures
   must be gone before. */
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

/* Returns the member list. */
struct membership *
peers_membership(struct peers *p)
{
    return p->membership;
}

/* Returns who owns what. */
struct ownership *
peers_ownership(struct peers *p)
{
    return p->ownership;
}

/* Tells the others that this proxy is about to go. */
void
peers_leave(struct peers *p)
{
    membership_leave(p->membership, clock_now());
}

/* Returns the bytes of control messages that membership sent. */
uint64_t
peers_bytes_sent(const struct peers *p)
{
    return membership_counters(p->membership)->bytes;
}

/* Asks a lender. done is called from the loop, or not at all when false is
   returned. */
bool
peers_send_loan_request(struct peers *p, uint32_t to,
                        const peer_loan_request *request, rpc_done done,
                        void *ctx)
{
    struct peer *peer = find_peer(p, to);

    if (peer == NULL) {
        return false;
    }
    rpc_client_call(peer->client, &loan_request_call, request,
                    PEERS_LOAN_TIMEOUT_MS, done, ctx);
    return true;
}

/* Takes an answer that nobody waits for: what was sent is sent again by its
   own rules when it is still needed. */
static void
ignore_answer(void *ctx, enum rpc_status status, void *result)
{
    (void)ctx;
    (void)status;
    (void)result;
}

/* Tells a lender what is still held. */
void
peers_send_loan_return(struct peers *p, uint32_t to,
                       const peer_loan_return *returned)
{
    struct peer *peer = find_peer(p, to);

    if (peer != NULL) {
        rpc_client_call(peer->client, &loan_return_call, returned,
                        PEERS_LOAN_TIMEOUT_MS, ignore_answer, NULL);
    }
}

/* Sends tickets to a peer. */
void
peers_send_ticket(struct peers *p, uint32_t to, const peer_ticket *t)
{
    struct peer *peer = find_peer(p, to);

    if (peer != NULL) {
        rpc_client_call(peer->client, &ticket_push_call, t,
                        PEERS_TICKET_TIMEOUT_MS, ignore_answer, NULL);
    }
}

/* Asks a peer for the tickets that this proxy lacks. */
void
peers_send_ticket_pull(struct peers *p, uint32_t to,
                       const peer_ticket_pull *pull)
{
    struct peer *peer = find_peer(p, to);

    if (peer != NULL) {
        rpc_client_call(peer->client, &ticket_pull_call, pull,
                        PEERS_TICKET_TIMEOUT_MS, ignore_answer, NULL);
    }
}

/* Asks every peer to cancel what a caller of theirs runs, since the balancer
   may bring a cancel request to any proxy. */
void
peers_send_cancel(struct peers *p, uint32_t pid, uint32_t secret)
{
    char key[sizeof(secret)];
    const peer_cancel c = {.process = pid,
                           .key = {.key_len = sizeof(key), .key_val = key}};

    memcpy(key, &secret, sizeof(key));
    for (int i = 0; i < p->count; i++) {
        rpc_client_call(p->list[i].client, &cancel_call, &c,
                        PEERS_CANCEL_TIMEOUT_MS, ignore_answer, NULL);
    }
}
