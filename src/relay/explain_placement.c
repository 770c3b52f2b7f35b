#include "relay/explain_route.h"
#include "relay/service_internal.h"

#include <string.h>

/* Explains what a service would do with a request, by submitting it to a copy
   of the service: the requests ahead of it in the queue may take connections
   or open some in the same dispatch. Nothing is sent from the copy. */

G_STATIC_ASSERT(EXPLAINED_MEMBERS_MAX == CANDIDATES_MAX);

struct service_copy {
    struct service service;
    struct connection_request *requests; /* in the order of the queue */
    struct member_codec codec;
    struct explained_placement *out;
    clock_ms now;
    bool lease;
};

static struct member_link *
copy_open(void *codec_ctx, const struct member_entry *m, const char *account,
          const struct member_link_events *events, void *ctx)
{
    (void)codec_ctx;
    (void)m;
    (void)account;
    (void)events;
    return ctx; /* not NULL: the connection is being opened */
}

static void
copy_close(struct member_link *l)
{
    (void)l;
}

static clock_ms
copy_now(void *ctx)
{
    const struct service_copy *c = ctx;

    return c->now;
}

static bool
copy_lease_valid(void *ctx, const char *service, clock_ms now)
{
    const struct service_copy *c = ctx;

    (void)service;
    (void)now;
    return c->lease;
}

static void
ignore_grant(void *ctx, struct pooled_link *l)
{
    (void)ctx;
    (void)l;
}

static void
ignore_refusal(void *ctx, const char *why)
{
    (void)ctx;
    (void)why;
}

static void
on_granted(void *ctx, struct pooled_link *l)
{
    struct service_copy *c = ctx;

    (void)l;
    c->out->outcome = EXPLAINED_SENT;
}

static void
on_refused(void *ctx, const char *why)
{
    struct service_copy *c = ctx;

    c->out->outcome = EXPLAINED_REFUSED;
    c->out->why = why;
}

/* Copies a member with its links, which have neither a user nor a connection.
   Only the hash of the settings matters for the choice of a link. */
static struct member *
copy_member(const struct member *from, struct service *to)
{
    struct member *m = g_memdup2(from, sizeof(*from));

    m->service = to;
    m->links = g_ptr_array_new();
    for (guint i = 0; i < from->links->len; i++) {
        struct pooled_link *l =
            g_memdup2(from->links->pdata[i], sizeof(struct pooled_link));
        l->member = m;
        l->account = g_strdup(l->account);
        l->codec_link = NULL;
        l->user = NULL;
        l->setup = link_setup_copy_hash(l->setup);
        g_ptr_array_add(m->links, l);
    }
    return m;
}

static void
copy_queue(struct service_copy *c, const struct service *s)
{
    size_t n = 0;

    c->requests = g_new0(struct connection_request, s->queue.length);
    g_queue_init(&c->service.queue);
    for (const GList *q = s->queue.head; q != NULL; q = q->next) {
        struct connection_request *w = &c->requests[n++];
        *w = *(const struct connection_request *)q->data;
        w->granted = ignore_grant;
        w->refused = ignore_refusal;
        w->decision = NULL;
        w->queue_node = (GList){.data = w};
        for (guint i = 0; i < s->members->len; i++) {
            if (w->needs_opening == s->members->pdata[i]) {
                w->needs_opening = c->service.members->pdata[i];
                break;
            }
        }
        g_queue_push_tail_link(&c->service.queue, &w->queue_node);
    }
}

static void
copy_create(struct service_copy *c, const struct service *s)
{
    c->now = service_now(s);
    c->lease = s->lease_valid(s->ctx, s->name, c->now);
    c->codec = (struct member_codec){.open = copy_open, .close = copy_close};
    c->service = *s;
    c->service.codec = &c->codec;
    c->service.lease_valid = copy_lease_valid;
    c->service.now = copy_now;
    c->service.ctx = c;
    c->service.dispatching = false;
    c->service.turns = turns_copy(s->turns);
    c->service.members = g_ptr_array_new();
    for (guint i = 0; i < s->members->len; i++) {
        g_ptr_array_add(c->service.members,
                        copy_member(s->members->pdata[i], &c->service));
    }
    copy_queue(c, s);
}

static void
copy_free(struct service_copy *c)
{
    for (guint i = 0; i < c->service.members->len; i++) {
        member_free(c->service.members->pdata[i], "copy");
    }
    g_ptr_array_free(c->service.members, TRUE);
    turns_destroy(c->service.turns);
    g_free(c->requests);
}

static const char *
describe_wait(enum placement_action action)
{
    switch (action) {
    case PLACEMENT_AWAIT_MEMBER:
        return "no member can serve it now";
    case PLACEMENT_AWAIT_CAPACITY:
        return "all suitable members are at their limits";
    case PLACEMENT_AWAIT_OPENING:
        return "a connection is being opened";
    case PLACEMENT_AWAIT_FREE:
        return "a connection in use or a lagging replica is waited for";
    case PLACEMENT_OPEN:
        return "a connection has to be opened";
    default:
        return "";
    }
}

static void
explain_member(struct explained_member *e, const struct member *m,
               const struct placement_decision *d, int i,
               const struct explained_placement *out)
{
    *e = (struct explained_member){
        .primary = strcmp(m->entry.id, out->primary) == 0,
        .reachable = m->unreachable_since == 0,
        .listed = m->unlisted_at == 0,
        .draining = m->entry.draining,
        .chosen = i == d->member,
        .connections = (int)m->links->len,
    };
    g_strlcpy(e->id, m->entry.id, sizeof(e->id));
    g_strlcpy(e->failure_domain, m->entry.failure_domain,
              sizeof(e->failure_domain));
    for (guint k = 0; k < m->links->len; k++) {
        const struct pooled_link *l = m->links->pdata[k];
        e->idle_connections += l->state == LINK_IDLE;
    }
    if (i < d->n) {
        e->p = d->candidates[i];
        e->suitable = placement_is_suitable(&e->p, out->needs_primary,
                                            out->replicas_allowed);
        e->expected_us = placement_expected_us(&e->p, out->needs_primary);
    }
}

/* Sets *out to what the service would do with a request that is submitted now.
   The callbacks of the request are not used. */
void
explain_placement(const struct service *s,
                  const struct connection_request *request,
                  struct explained_placement *out)
{
    struct service_copy c = {.out = out};
    struct connection_request w = *request;
    struct placement_decision d;

    *out = (struct explained_placement){
        .outcome = EXPLAINED_QUEUED,
        .refused_after_ms = -1,
        .epoch = s->epoch,
        .primary_changing = s->primary_changing,
        .needs_primary = w.needs_primary,
        .queue_length = s->queue.length,
        .member_count = (int)MIN(s->members->len, EXPLAINED_MEMBERS_MAX),
    };
    copy_create(&c, s);
    g_strlcpy(out->primary, s->primary, sizeof(out->primary));
    out->lease = service_may_use_primary(&c.service, c.now);
    out->expected_wait_ms = service_expected_wait_ms(s, &w, &out->ahead);
    w.queued = false;
    w.granted = on_granted;
    w.refused = on_refused;
    w.ctx = &c;
    w.needs_opening = NULL;
    /* Without a place in the queue the request is not placed; its members are
       described all the same. */
    service_decide(&c.service, &w, out->lease, c.now, &d);
    w.decision = &d;
    service_submit(&c.service, &w);
    out->connections_opened =
        c.service.counters.links_opened - s->counters.links_opened;
    out->replicas_allowed = d.replicas_allowed;
    out->replicas_lag = d.lagged;
    if (out->outcome == EXPLAINED_QUEUED) {
        out->why = describe_wait(d.action);
        if (d.action == PLACEMENT_AWAIT_MEMBER) {
            out->refused_after_ms = d.wait_ms;
            out->refusal = d.why;
        }
    }
    if (out->outcome == EXPLAINED_REFUSED) {
        d.member = -1;
    }
    for (int i = 0; i < out->member_count; i++) {
        explain_member(&out->members[i], s->members->pdata[i], &d, i, out);
        if (i == d.member) {
            out->target = out->members[i].id;
        }
    }
    copy_free(&c);
}
