#include "capacity/fleet_sim.h"

#include "fleet/rpc.h"
#include "fleet/rpc_codec.h"

#include <string.h>

#define START_MS 100000
#define PAUSE_STEP_MS 50

enum event_kind {
    EVENT_TICK,
    EVENT_CALL,
    EVENT_ANSWER,
    EVENT_TIMEOUT,
};

/* A call, referenced by its messages and its timeout event. */
struct sim_call {
    unsigned refs;
    unsigned from;
    unsigned to;
    unsigned epoch; /* epoch of the calling node */
    bool probe;
    uint32_t target;
    bool done;
};

struct event {
    clock_ms at;
    uint64_t seq;
    enum event_kind kind;
    unsigned node; /* the node that handles the event */
    unsigned epoch;
    struct sim_call *call;
    GByteArray *body;
    bool reached;
};

/* Orders events by time, then by order of creation. */
static bool
event_before(const struct event *a, const struct event *b)
{
    return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

/* Adds an event to the binary heap, which is ordered by event_before(). */
static void
heap_push(struct sim *s, struct event e)
{
    e.seq = s->seq++;
    g_array_append_val(s->heap, e);
    struct event *h = (struct event *)s->heap->data;
    unsigned i = s->heap->len - 1;

    while (i > 0 && event_before(&h[i], &h[(i - 1) / 2])) {
        struct event t = h[i];

        h[i] = h[(i - 1) / 2];
        h[(i - 1) / 2] = t;
        i = (i - 1) / 2;
    }
}

/* Removes and returns the first event of the heap. */
static struct event
heap_pop(struct sim *s)
{
    struct event *h = (struct event *)s->heap->data;
    struct event first = h[0];
    unsigned n = s->heap->len - 1;
    unsigned i = 0;

    h[0] = h[n];
    g_array_set_size(s->heap, n);
    for (;;) {
        unsigned least = i;

        for (unsigned c = 2 * i + 1; c <= 2 * i + 2; c++) {
            if (c < n && event_before(&h[c], &h[least])) {
                least = c;
            }
        }
        if (least == i) {
            return first;
        }
        struct event t = h[i];
        h[i] = h[least];
        h[least] = t;
        i = least;
    }
}

static void
call_unref(struct sim_call *c)
{
    if (c && --c->refs == 0) {
        g_free(c);
    }
}

static void
event_clear(struct event *e)
{
    call_unref(e->call);
    if (e->body) {
        g_byte_array_free(e->body, TRUE);
    }
}

/* Counts the bytes of a message, and updates the maximum within one second. */
static void
count_bytes(struct sim_node *n, uint32_t bytes)
{
    const unsigned slots = G_N_ELEMENTS(n->sent);
    uint32_t sum = 0;

    n->bytes += bytes;
    n->sent[n->sent_count % slots].at = n->sim->now;
    n->sent[n->sent_count % slots].bytes = bytes;
    n->sent_count++;
    for (unsigned i = 0; i < MIN(n->sent_count, slots); i++) {
        if (n->sent[i].at > n->sim->now - 1000) {
            sum += n->sent[i].bytes;
        }
    }
    n->max_bytes_per_second = MAX(n->max_bytes_per_second, sum);
}

/* Schedules the arrival of a message after a random delay, or drops it by
   random loss, a partition or a cut link. */
static void
transmit(struct sim *s, unsigned from, unsigned to, struct event e)
{
    unsigned span = s->options.delay_max_ms - s->options.delay_min_ms + 1;
    bool lost = rng_below(&s->rng, 1000) < s->options.loss_permille ||
                s->cut[s->nodes[from].group][s->nodes[to].group] ||
                (s->cut_links && s->cut_links[from * s->options.nodes + to]);

    e.at =
        s->now + s->options.delay_min_ms + (clock_ms)rng_below(&s->rng, span);
    e.node = to;
    e.epoch = s->nodes[to].epoch;
    if (lost) {
        event_clear(&e);
        return;
    }
    heap_push(s, e);
}

/* Returns a heartbeat in its wire encoding. */
static GByteArray *
encode(const peer_heartbeat *hb)
{
    GByteArray *out = g_byte_array_new();

    if (!rpc_encode_body(out, RPC_XDR(xdr_peer_heartbeat), hb)) {
        g_error("heartbeat does not encode");
    }
    return out;
}

/* Creates a call and schedules its timeout. The two references belong to the
   timeout event and to the message. */
static struct sim_call *
create_call(struct sim_node *n, uint32_t to, bool probe, uint32_t target)
{
    struct sim_call *c = g_new0(struct sim_call, 1);
    unsigned limit =
        probe ? MEMBERSHIP_PROBE_TIMEOUT_MS : MEMBERSHIP_HEARTBEAT_TIMEOUT_MS;

    *c = (struct sim_call){
        .refs = 2,
        .from = n->id,
        .to = to,
        .epoch = n->epoch,
        .probe = probe,
        .target = target,
    };
    heap_push(n->sim, (struct event){.at = n->sim->now + limit,
                                     .kind = EVENT_TIMEOUT,
                                     .node = n->id,
                                     .epoch = n->epoch,
                                     .call = c});
    return c;
}

static void
send_heartbeat(void *ctx, uint32_t to, const peer_heartbeat *hb)
{
    struct sim_node *n = ctx;
    GByteArray *body = encode(hb);

    count_bytes(n, RPC_CALL_OVERHEAD_BYTES + body->len);
    transmit(n->sim, n->id, to,
             (struct event){.kind = EVENT_CALL,
                            .call = create_call(n, to, false, to),
                            .body = body});
}

static void
send_probe(void *ctx, uint32_t via, uint32_t target)
{
    struct sim_node *n = ctx;

    count_bytes(n, RPC_CALL_OVERHEAD_BYTES + 8);
    transmit(n->sim, n->id, via,
             (struct event){.kind = EVENT_CALL,
                            .call = create_call(n, via, true, target)});
}

/* Answers a probe call. A new call record is sufficient, since the requester
   matches the answer by target only. */
static void
answer_probe(void *ctx, uint32_t requester, uint32_t target, bool reached)
{
    struct sim_node *n = ctx;
    struct sim_call *c = g_new0(struct sim_call, 1);

    *c = (struct sim_call){.refs = 1,
                           .from = requester,
                           .to = n->id,
                           .epoch = n->sim->nodes[requester].epoch,
                           .probe = true,
                           .target = target};
    count_bytes(n, RPC_REPLY_OVERHEAD_BYTES + 4);
    transmit(
        n->sim, n->id, requester,
        (struct event){.kind = EVENT_ANSWER, .call = c, .reached = reached});
}

/* Traces and counts phase changes and forwards them to the ownership. */
static void
on_changed(void *ctx, const struct member_info *m, enum member_phase before)
{
    struct sim_node *n = ctx;

    (void)before;
    if (n->trace) {
        g_string_append_printf(n->trace, "%ld node %u: member %u.%u %s\n",
                               (long)n->sim->now, n->id, m->id, m->incarnation,
                               member_phase_name(m->phase));
    }
    n->sim->deaths_seen += m->phase == MEMBER_DEAD;
    if (n->o) {
        ownership_member_changed(n->o, m, n->sim->now);
    }
}

/* Returns the name of the k-th tracked object. */
const char *
sim_object_name(unsigned k)
{
    static const char *const names[] = {"names",   "licences", "transfers",
                                        "reserve", "browse",   "texts"};

    return names[k % G_N_ELEMENTS(names)];
}

/* Starts a node's process, or restarts it with empty state. */
void
sim_start(struct sim *s, unsigned i)
{
    struct sim_node *n = &s->nodes[i];
    char name[16];
    char domain[16];
    char address[32];

    ownership_destroy(n->o);
    membership_destroy(n->m);
    n->o = NULL;
    n->epoch++;
    n->incarnation += 1000;
    /* The budget applies to one process: a new one cannot know what the
       previous one sent within the last second. */
    n->sent_count = 0;
    n->state = SIM_RUNNING;
    const struct membership_actions actions = {
        .send_heartbeat = send_heartbeat,
        .send_probe = send_probe,
        .answer_probe = answer_probe,
        .changed = on_changed,
        .ctx = n,
    };
    g_snprintf(name, sizeof(name), "proxy-%u", i);
    g_snprintf(domain, sizeof(domain), "domain-%u", i % s->options.domains);
    g_snprintf(address, sizeof(address), "10.0.%u.%u:7000", i / 250, i % 250);
    n->m = membership_create(
        &(struct membership_self){.id = i,
                                  .incarnation = n->incarnation,
                                  .name = name,
                                  .domain = domain,
                                  .address = address},
        &actions, rng_next(&s->rng), s->now);
    for (unsigned j = 0; j < s->options.nodes; j++) {
        if (j != i) {
            g_snprintf(name, sizeof(name), "proxy-%u", j);
            g_snprintf(domain, sizeof(domain), "domain-%u",
                       j % s->options.domains);
            g_snprintf(address, sizeof(address), "10.0.%u.%u:7000", j / 250,
                       j % 250);
            membership_list_add(n->m, s->now, j, name, domain, address);
        }
    }
    if (s->options.objects > 0) {
        n->o = ownership_create(n->m, NULL, NULL);
        for (unsigned k = 0; k < s->options.objects; k++) {
            ownership_track(n->o, sim_object_name(k), s->now);
        }
    }
    heap_push(
        s, (struct event){
               .at = s->now + (clock_ms)rng_below(&s->rng, MEMBERSHIP_TICK_MS),
               .kind = EVENT_TICK,
               .node = i,
               .epoch = n->epoch});
}

/* Creates a fleet and starts all nodes. Their first ticks are spread at random
   over one tick interval. */
struct sim *
sim_create(const struct sim_options *options)
{
    struct sim *s = g_new0(struct sim, 1);

    s->options = *options;
    s->now = START_MS;
    rng_seed(&s->rng, options->seed);
    s->nodes = g_new0(struct sim_node, options->nodes);
    s->heap = g_array_new(FALSE, FALSE, sizeof(struct event));
    for (unsigned i = 0; i < options->nodes; i++) {
        s->nodes[i].sim = s;
        s->nodes[i].id = i;
    }
    for (unsigned i = 0; i < options->nodes; i++) {
        sim_start(s, i);
    }
    return s;
}

void
sim_destroy(struct sim *s)
{
    for (unsigned i = 0; i < s->options.nodes; i++) {
        ownership_destroy(s->nodes[i].o);
        membership_destroy(s->nodes[i].m);
        if (s->nodes[i].trace) {
            g_string_free(s->nodes[i].trace, TRUE);
        }
    }
    while (s->heap->len > 0) {
        struct event e = heap_pop(s);

        event_clear(&e);
    }
    g_array_free(s->heap, TRUE);
    g_free(s->cut_links);
    g_free(s->nodes);
    g_free(s);
}

/* Stops a node's process. Its state is lost at the next sim_start(). */
void
sim_stop(struct sim *s, unsigned i)
{
    s->nodes[i].state = SIM_STOPPED;
    s->nodes[i].epoch++;
}

/* Pauses or resumes a node's process; while paused, its events are delayed. */
void
sim_pause(struct sim *s, unsigned i, bool paused)
{
    if (s->nodes[i].state != SIM_STOPPED) {
        s->nodes[i].state = paused ? SIM_PAUSED : SIM_RUNNING;
    }
}

/* Cuts or restores the link between two nodes in one direction. */
void
sim_set_link_cut(struct sim *s, unsigned from, unsigned to, bool cut)
{
    if (!s->cut_links) {
        s->cut_links =
            g_new0(uint8_t, (gsize)s->options.nodes * s->options.nodes);
    }
    s->cut_links[from * s->options.nodes + to] = cut;
}

static void
on_call(struct sim *s, struct sim_node *n, struct event *e)
{
    peer_heartbeat in = {0};
    peer_heartbeat answer;

    if (e->call->probe) {
        membership_on_probe(n->m, s->now, e->call->from, e->call->target);
        return;
    }
    if (!rpc_decode_body(
            (struct sview){(const char *)e->body->data, e->body->len},
            RPC_XDR(xdr_peer_heartbeat), &in)) {
        g_error("heartbeat does not decode");
    }
    if (membership_on_heartbeat(n->m, s->now, &in, &answer)) {
        GByteArray *body = encode(&answer);

        count_bytes(n, RPC_REPLY_OVERHEAD_BYTES + body->len);
        e->call->refs++;
        transmit(s, n->id, e->call->from,
                 (struct event){
                     .kind = EVENT_ANSWER, .call = e->call, .body = body});
    }
    xdr_free(RPC_XDR(xdr_peer_heartbeat), (char *)&in);
}

static void
on_answer(struct sim *s, struct sim_node *n, struct event *e)
{
    peer_heartbeat in = {0};

    if (e->call->probe) {
        membership_on_probe_answer(n->m, s->now, e->call->target, e->reached);
        return;
    }
    if (e->call->done) {
        return; /* already timed out */
    }
    e->call->done = true;
    if (!rpc_decode_body(
            (struct sview){(const char *)e->body->data, e->body->len},
            RPC_XDR(xdr_peer_heartbeat), &in)) {
        g_error("answer does not decode");
    }
    membership_on_heartbeat_answer(n->m, s->now, e->call->to, &in);
    xdr_free(RPC_XDR(xdr_peer_heartbeat), (char *)&in);
}

/* Reports an unanswered call to the membership. */
static void
on_timeout(struct sim *s, struct sim_node *n, struct event *e)
{
    if (e->call->done) {
        return;
    }
    e->call->done = true;
    if (e->call->probe) {
        membership_on_probe_answer(n->m, s->now, e->call->target, false);
    }
    else {
        membership_on_heartbeat_answer(n->m, s->now, e->call->to, NULL);
    }
}

/* Handles one event of a running node. */
static void
dispatch(struct sim *s, struct sim_node *n, struct event *e)
{
    switch (e->kind) {
    case EVENT_TICK:
        membership_tick(n->m, s->now);
        heap_push(s, (struct event){.at = s->now + MEMBERSHIP_TICK_MS,
                                    .kind = EVENT_TICK,
                                    .node = n->id,
                                    .epoch = n->epoch});
        break;
    case EVENT_CALL:
        on_call(s, n, e);
        break;
    case EVENT_ANSWER:
        on_answer(s, n, e);
        break;
    case EVENT_TIMEOUT:
        on_timeout(s, n, e);
        break;
    }
}

/* Handles all events before the given simulated time. */
void
sim_run(struct sim *s, clock_ms until)
{
    while (s->heap->len > 0 && ((struct event *)s->heap->data)[0].at < until) {
        struct event e = heap_pop(s);
        struct sim_node *n = &s->nodes[e.node];

        s->now = e.at;
        if (n->state == SIM_STOPPED || e.epoch != n->epoch) {
            event_clear(&e);
            continue;
        }
        if (n->state == SIM_PAUSED) {
            e.at += PAUSE_STEP_MS;
            heap_push(s, e);
            continue;
        }
        dispatch(s, n, &e);
        event_clear(&e);
    }
    s->now = until;
}

/* Returns true if node i has the other node in the given phase. */
bool
sim_node_sees(const struct sim *s, unsigned i, unsigned other,
              enum member_phase phase)
{
    struct member_info info;

    return membership_get(s->nodes[i].m, other, &info) && info.phase == phase;
}
