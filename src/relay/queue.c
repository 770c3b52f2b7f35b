#include "relay/service_internal.h"

#include <limits.h>

/* The queue of a service: by priority of the route, then priority of the
   account, then turns between accounts, then arrival. */

#define QUEUE_MAX 512

static struct turn_key
key_of(const struct connection_request *w)
{
    /* Without an account, callers of a public route come after those with
       one. */
    return (struct turn_key){
        .priority = w->priority,
        .account_priority =
            w->account != NULL ? w->account->priority : INT_MAX,
#ifdef RELAY_BREAK_TURNS
        .account = "",
#else
        .account = w->account != NULL ? w->account->name : "",
#endif
    };
}

/* Returns true if a queued request is served before a new one with this key
   and number. */
static bool
is_ahead(const struct connection_request *o, const struct turn_key *k,
         uint64_t number)
{
    const struct turn_key key = key_of(o);

    if (key.priority != k->priority) {
        return key.priority < k->priority;
    }
    if (key.account_priority != k->account_priority) {
        return key.account_priority < k->account_priority;
    }
    return o->turn <= number;
}

/* Removes a request from the queue; served is true if it gets a connection. */
void
service_queue_remove(struct service *s, struct connection_request *w,
                     bool served)
{
    if (!w->queued) {
        return;
    }
    const struct turn_key k = key_of(w);

    g_queue_unlink(&s->queue, &w->queue_node);
    w->queued = false;
    turns_remove(s->turns, &k, w->turn, served);
}

static void
insert(struct service *s, struct connection_request *w,
       const struct turn_key *k)
{
    GList *before = s->queue.tail;

    w->turn = turns_add(s->turns, k);
    w->queue_node = (GList){.data = w};
    w->queued = true;
    while (before != NULL && !is_ahead(before->data, k, w->turn)) {
        before = before->prev;
    }
    if (before == NULL) {
        g_queue_push_head_link(&s->queue, &w->queue_node);
    }
    else {
        g_queue_insert_after_link(&s->queue, before, &w->queue_node);
    }
    const struct connection_request *next =
        w->queue_node.next != NULL ? w->queue_node.next->data : NULL;
    s->counters.turns_taken +=
        next != NULL && next->priority == w->priority &&
        key_of(next).account_priority == k->account_priority;
}

/* Estimates how long a new request would wait, from the requests that are
   served before it and the statement times of the reachable members. */
static int64_t
expected_wait_ms(const struct service *s, const struct turn_key *k)
{
    const uint64_t number = turns_next(s->turns, k);
    int64_t ahead = 0;
    int64_t weighted_us = 0;
    int slots = 0;

    for (const GList *l = s->queue.head; l != NULL; l = l->next) {
        ahead += is_ahead(l->data, k, number);
    }
    for (guint i = 0; i < s->members->len; i++) {
        const struct member *m = s->members->pdata[i];
        if (m->unreachable_since == 0 && m->unlisted_at == 0) {
            slots += m->entry.slots;
            weighted_us += m->mean_statement_us * m->entry.slots;
        }
    }
    return slots == 0 ? 0 : ahead * (weighted_us / slots) / slots / 1000;
}

/* Returns how long a request that is not queued would wait by estimate, and
   sets *ahead to the number of requests that are served before it. */
int64_t
service_expected_wait_ms(const struct service *s,
                         const struct connection_request *w, int *ahead)
{
    const struct turn_key k = key_of(w);
    const uint64_t number = turns_next(s->turns, &k);

    *ahead = 0;
    for (const GList *l = s->queue.head; l != NULL; l = l->next) {
        *ahead += is_ahead(l->data, &k, number);
    }
    return expected_wait_ms(s, &k);
}

/* Returns the last queued request of the account that has the most, if that
   are more than the account of a new request would have and none of them is
   more urgent; NULL otherwise. */
static struct connection_request *
find_excess_request(const struct service *s, const struct turn_key *k)
{
    struct turn_key longest;

    if (turns_find_longest(s->turns, k, &longest) <=
        turns_queued(s->turns, k) + 1) {
        return NULL;
    }
    for (const GList *l = s->queue.tail; l != NULL; l = l->prev) {
        struct connection_request *o = l->data;
        const struct turn_key key = key_of(o);
        if (key.priority == longest.priority &&
            key.account_priority == longest.account_priority &&
            g_strcmp0(key.account, longest.account) == 0) {
            return o;
        }
    }
    return NULL;
}

/* Queues a request. One that is expected to wait beyond its deadline is
   refused immediately. In a full queue it takes the place of the last request
   of the account that has the most, which is refused. granted() or refused()
   may be called before this function returns. */
void
service_submit(struct service *s, struct connection_request *w)
{
    const clock_ms now = service_now(s);
    const struct turn_key k = key_of(w);
    const bool full = s->queue.length >= QUEUE_MAX;
    struct connection_request *excess =
        full ? find_excess_request(s, &k) : NULL;

    w->needs_opening = NULL;
    if ((full && excess == NULL) ||
        expected_wait_ms(s, &k) > w->deadline - now) {
        s->counters.refused_queue++;
        w->refused(w->ctx, "queue_full");
        return;
    }
    if (excess != NULL) {
        service_queue_remove(s, excess, false);
    }
    insert(s, w, &k);
    if (excess != NULL) {
        s->counters.refused_queue++;
        s->counters.refused_excess++;
        excess->refused(excess->ctx, "queue_full");
    }
    service_dispatch(s);
}

/* Called when a request does not wait for a connection any more that is being
   opened for it. Another account that needs one closes it as soon as it is
   open. */
static void
give_up_opening(const struct service *s, const struct connection_request *w)
{
    for (guint i = 0; i < s->members->len; i++) {
        const struct member *m = s->members->pdata[i];
        for (guint k = 0; m == w->needs_opening && k < m->links->len; k++) {
            struct pooled_link *l = m->links->pdata[k];
            if (l->state == LINK_OPENING && !l->evictable &&
                link_serves(l, w->account)) {
                l->evictable = true;
                return;
            }
        }
    }
}

/* Removes a request from the queue. Neither granted() nor refused() is
   called. */
void
service_withdraw(struct service *s, struct connection_request *w)
{
    if (w->queued) {
        give_up_opening(s, w);
    }
    service_queue_remove(s, w, false);
}
