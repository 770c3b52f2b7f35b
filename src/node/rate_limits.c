#include "node/node_internal.h"

#include "base/event_log.h"
#include "limits/limit_socket.h"
#include "limits/rate_limits.h"

#include <string.h>

/* Connects the rate limits with the socket, the clock and the list of proxies.
 */

#define DEFAULT_WINDOW_MS 5000

struct node_limits {
    struct node *node;
    struct limit_socket *socket;
    struct rate_limits *limits;
    uint16_t port; /* same for all proxies */
    ev_prepare flush;
    ev_timer tick;
    clock_ms tick_at; /* when the timer is due */
    int parts; /* of which this proxy grants one; 0: it grants nothing */
    uint64_t sent;
    uint64_t received;
    uint64_t unregistered; /* requests of proxies that are not registered */
};

static const struct node_peer *
find_peer(const struct node *n, const char *name)
{
    for (guint i = 0; i < n->peers->len; i++) {
        const struct node_peer *p =
            &g_array_index(n->peers, struct node_peer, i);
        if (strcmp(p->name, name) == 0) {
            return p;
        }
    }
    return NULL;
}

static void
count_sent(struct node_limits *l, const struct node_peer *p, size_t bytes)
{
    const struct node *n = l->node;

    l->sent += bytes > 0;
    n->traffic->sent[TRAFFIC_LIMITS]
                    [traffic_peer_of(n->failure_domain, p->failure_domain)] +=
        bytes;
}

/* Returns the sender of a message, or NULL if it is not registered. */
static const struct node_peer *
count_received(struct node_limits *l, const char *from, size_t bytes)
{
    const struct node *n = l->node;
    const struct node_peer *p = find_peer(n, from);

    l->received++;
    n->traffic->received[TRAFFIC_LIMITS][traffic_peer_of(
        n->failure_domain, p != NULL ? p->failure_domain : NULL)] += bytes;
    return p;
}

static void
send_request(void *ctx, const char *to, const struct limit_request *q)
{
    struct node_limits *l = ctx;
    const struct node_peer *p = find_peer(l->node, to);

    if (p != NULL) {
        count_sent(l, p,
                   limit_socket_send_request(l->socket, p->host, l->port, q));
    }
}

static void
send_reply(void *ctx, const char *to, const struct limit_reply *r)
{
    struct node_limits *l = ctx;
    const struct node_peer *p = find_peer(l->node, to);

    if (p != NULL) {
        count_sent(l, p,
                   limit_socket_send_reply(l->socket, p->host, l->port, r));
    }
}

static void
on_request(void *ctx, const struct limit_request *q, size_t bytes)
{
    struct node_limits *l = ctx;

    if (count_received(l, q->from, bytes) == NULL) {
        l->unregistered++;
        return;
    }
    rate_limits_request(l->limits, q);
}

static void
on_reply(void *ctx, const struct limit_reply *r, size_t bytes)
{
    struct node_limits *l = ctx;

    count_received(l, r->from, bytes);
    rate_limits_reply(l->limits, r);
}

/* Starts the timer for the next time-out, if it has changed. */
static void
set_timer(struct node_limits *l)
{
    const clock_ms at = rate_limits_next_tick(l->limits);
    const clock_ms now = clock_boottime_ms();

    if (at == l->tick_at && ev_is_active(&l->tick)) {
        return;
    }
    l->tick_at = at;
    ev_timer_stop(l->node->loop, &l->tick);
    ev_timer_set(&l->tick, (double)CLAMP(at - now, 1, 60000) / 1000.0, 0.0);
    ev_timer_start(l->node->loop, &l->tick);
}

/* Called before the event loop waits: sends the requests of this iteration. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
    struct node_limits *l = w->data;

    (void)loop;
    (void)revents;
    rate_limits_flush(l->limits);
    set_timer(l);
}

static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct node_limits *l = w->data;

    (void)loop;
    (void)revents;
    if (clock_boottime_ms() >= l->tick_at) {
        rate_limits_tick(l->limits);
    }
    const int parts = rate_limits_divisor(l->limits);
    if (parts != l->parts) {
        event_log(EVENT_STATE, "limit_part", "parts=%d before=%d", parts,
                  l->parts);
        l->parts = parts;
    }
}

/* Opens the port and creates the rate limits, unless they are not enforced. On
   failure returns false and sets error to a text that the caller frees. */
bool
node_limits_open(struct node *n, const struct node_config *config,
                 char **error)
{
    const struct limit_socket_events events = {.request = on_request,
                                               .reply = on_reply};

    if (config->limits_port == 0) {
        return true;
    }
    struct node_limits *l = g_new0(struct node_limits, 1);
    l->node = n;
    l->port = config->limits_port;
    l->socket =
        limit_socket_create(config->loop, config->host, config->limits_port,
                            n->keys, &events, l, error);
    if (l->socket == NULL) {
        g_free(l);
        return false;
    }
    const struct rate_limits_config limits = {
        .name = config->name,
        .incarnation = n->incarnation,
        .bounds = {.window_ms = config->rate_window_ms > 0
                                    ? config->rate_window_ms
                                    : DEFAULT_WINDOW_MS,
                   .excess_permille = MAX(config->rate_excess_permille, 0),
                   .slack = MAX(config->rate_slack, 0)},
        .now = node_now,
        .send_request = send_request,
        .send_reply = send_reply,
        .ctx = l,
    };
    l->limits = rate_limits_create(&limits);
    ev_prepare_init(&l->flush, on_prepare);
    l->flush.data = l;
    ev_prepare_start(config->loop, &l->flush);
    ev_timer_init(&l->tick, on_tick, 0.0, 0.0);
    l->tick.data = l;
    n->limits = l;
    return true;
}

/* Frees the rate limits, if there are any. All sessions must have ended. */
void
node_limits_close(struct node *n)
{
    struct node_limits *l = n->limits;

    if (l == NULL) {
        return;
    }
    ev_prepare_stop(n->loop, &l->flush);
    ev_timer_stop(n->loop, &l->tick);
    limit_socket_destroy(l->socket);
    rate_limits_destroy(l->limits);
    g_free(l);
    n->limits = NULL;
}

/* Returns the client of the relay; NULL if rate limits are not enforced. */
struct rate_client *
node_limits_client(const struct node *n)
{
    return n->limits != NULL ? rate_limits_client(n->limits->limits) : NULL;
}

/* Called when the list of registered proxies has changed. */
void
node_limits_set_peers(struct node *n)
{
    struct rate_witness witnesses[AGREEMENT_WITNESSES_MAX];
    int count = 0;

    if (n->limits == NULL) {
        return;
    }
    for (guint i = 0; i < n->peers->len && count < AGREEMENT_WITNESSES_MAX;
         i++) {
        const struct node_peer *p =
            &g_array_index(n->peers, struct node_peer, i);
        if (agreement_is_witness(n->agreement, p->name)) {
            witnesses[count++] = (struct rate_witness){
                .name = p->name,
                .same_domain =
                    strcmp(p->failure_domain, n->failure_domain) == 0};
        }
    }
    rate_limits_set_witnesses(n->limits->limits, witnesses, count);
}

/* Called when this proxy was registered before the process started, with the
   first list of proxies from the store. */
void
node_limits_set_registered(struct node *n)
{
    if (n->limits != NULL) {
        rate_limits_set_registered(n->limits->limits);
    }
}

/* Called when a configuration has come into force. */
void
node_limits_set_catalog(struct node *n)
{
    if (n->limits != NULL) {
        rate_limits_set_catalog(n->limits->limits, n->catalog);
    }
}

static void
put(GString *out, const char *name, uint64_t value)
{
    g_string_append_printf(out, "galenastep_limit_%s %llu\n", name,
                           (unsigned long long)value);
}

/* Appends the counters. */
void
node_limits_write_metrics(const struct node *n, GString *out)
{
    struct node_limits *l = n->limits;

    if (l == NULL) {
        return;
    }
    struct rate_client *client = rate_limits_client(l->limits);
    const struct rate_client_counters *c = rate_client_counters(client);
    const struct rate_bucket_counters *b =
        rate_limits_bucket_counters(l->limits);
    put(out, "permits_granted_total", c->granted);
    put(out, "permits_expired_total", c->expired);
    put(out, "permits_returned_total", c->returned);
    put(out, "refused_total{reason=\"rate_limited\"}", c->refused_limited);
    put(out, "refused_total{reason=\"limit_unknown\"}", c->refused_unknown);
    put(out, "requests_total", c->asks);
    put(out, "replies_total", c->replies);
    put(out, "timeouts_total", c->timeouts);
    put(out, "waiting", rate_client_waiting(client));
    put(out, "messages_sent_total", l->sent);
    put(out, "messages_received_total", l->received);
    put(out, "requests_unregistered_total", l->unregistered);
    put(out, "witness_requests_total", b->requests);
    put(out, "witness_granted_total", b->granted);
    put(out, "witness_denied_total", b->denied);
    put(out, "witness_parts", (uint64_t)rate_limits_divisor(l->limits));
}
