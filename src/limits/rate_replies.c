#include "limits/rate_client_internal.h"

#include <string.h>
#include <xxhash.h>

/* Replies of witnesses, time-outs, and the order in which witnesses are
   asked. */

/* Interval of requests to a witness that did not reply. */
#define PROBE_INTERVAL_MS 500
/* Accounts that have had no request for this time are forgotten. */
#define ACCOUNT_IDLE_MS 10000
#define SWEEP_INTERVAL_MS 1000
/* When a witness that may not grant, or that does not know an account, is
   asked again. */
#define UNABLE_MS 200
#define NEXT_MAX_MS 60000U

static struct client_witness *
find_witness(struct rate_client *c, const char *name)
{
    for (int i = 0; i < c->witness_count; i++) {
        if (strcmp(c->witnesses[i].name, name) == 0) {
            return &c->witnesses[i];
        }
    }
    return NULL;
}

/* Makes the requests of an ask that were not granted wait for the next one. */
static void
end_ask_of_account(struct rate_client *c, struct rate_account *a,
                   const struct ask *k, uint32_t wanted)
{
    GList *before;

    if (!k->timed_out) {
        a->asked -= MIN(a->asked, wanted);
    }
    for (GList *l = a->asked_for.tail; l != NULL; l = before) {
        struct rate_request *r = l->data;
        before = l->prev;
        if (r->ask == k->request.id) {
            g_queue_unlink(&a->asked_for, l);
            r->ask = 0;
            g_queue_push_head_link(&a->unasked, l);
        }
    }
    rate_client_mark_dirty(c, a);
}

static void
remove_ask(struct rate_client *c, struct ask *k)
{
    g_queue_unlink(k->timed_out ? &c->late : &c->open, &k->node);
    g_hash_table_remove(c->asks, &k->request.id);
}

/* Records what a witness has said about when to ask it again. */
static void
record_next(struct rate_account *a, int witness, bool had_none, clock_ms now,
            uint32_t next_ms)
{
    const clock_ms next = now + MIN(next_ms, NEXT_MAX_MS);

    if (!had_none) {
        a->low_until[witness] = next;
        return;
    }
    a->unable[witness] = next_ms == 0;
    a->none_until[witness] = next_ms == 0 ? now + UNABLE_MS : next;
}

/* Processes a reply. Returns when its request was sent, or 0 if it belongs to
   no request: then it is a duplicate, too late or of an earlier process. */
clock_ms
rate_client_receive(struct rate_client *c, const struct limit_reply *m)
{
    const clock_ms now = rate_client_now(c);
    struct ask *k = g_hash_table_lookup(c->asks, &m->id);

    if (k == NULL || m->incarnation != c->config.incarnation ||
        strcmp(m->from, k->witness) != 0 || m->count != k->request.count) {
        return 0;
    }
    const struct ask copy = *k;
    struct client_witness *w = find_witness(c, m->from);
    remove_ask(c, k);
    c->counters.replies++;
    if (w != NULL) {
        w->replied_at = now;
        w->silent = false;
    }
    for (int i = 0; i < m->count; i++) {
        const struct limit_reply_item *item = &m->items[i];
        const uint32_t wanted = copy.request.items[i].wanted;
        struct rate_account *a =
            rate_client_find_account(c, copy.request.items[i].account);
        if (a == NULL || item->account != a->hash) {
            continue;
        }
        if (w != NULL) {
            record_next(a, (int)(w - c->witnesses), item->granted < wanted,
                        now, item->next_ms);
        }
        c->counters.expired += rate_account_add(
            a, copy.sent_at + RATE_PERMIT_MS, MIN(item->granted, wanted), now);
        /* Not granted to the requests here: a callback could end others. */
        end_ask_of_account(c, a, &copy, wanted);
    }
    return copy.sent_at;
}

/* Handles an ask without a reply: its requests go to another witness, or are
   refused if they have waited for RATE_ASKS_MAX. */
static void
time_out_ask(struct rate_client *c, struct ask *k)
{
    const struct refusal why = {.retry_after_ms = RETRY_UNKNOWN_MS};
    const struct ask copy = *k;
    struct client_witness *w = find_witness(c, k->witness);

    c->counters.timeouts++;
    if (w != NULL && w->replied_at <= k->sent_at) {
        w->silent = true;
    }
    g_queue_unlink(&c->open, &k->node);
    k->timed_out = true;
    g_queue_push_tail_link(&c->late, &k->node);
    for (int i = 0; i < copy.request.count; i++) {
        struct rate_account *a =
            rate_client_find_account(c, copy.request.items[i].account);
        if (a == NULL) {
            continue;
        }
        const guint before = a->unasked.length;
        end_ask_of_account(c, a, &copy, copy.request.items[i].wanted);
        guint n = a->unasked.length - before;
        for (GList *l = a->unasked.head; l != NULL && n > 0; l = l->next) {
            struct rate_request *r = l->data;
            r->timeouts++;
            n--;
        }
        /* The oldest requests are first, and have waited for longest. */
        while (a->unasked.length > 0) {
            struct rate_request *r = g_queue_peek_head(&a->unasked);
            if (r->timeouts < RATE_ASKS_MAX) {
                break;
            }
            rate_client_remove_waiting(c, a, r);
            rate_client_refuse(c, r, &why);
        }
    }
}

/* Forgets the accounts that have not been used lately, and counts the permits
   that have expired. */
static void
sweep_accounts(struct rate_client *c, clock_ms now)
{
    GHashTableIter i;
    void *value;

    c->swept_at = now;
    g_hash_table_iter_init(&i, c->accounts);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        struct rate_account *a = value;
        c->counters.expired += rate_account_expire(a, now);
        if (now - a->used_at >= ACCOUNT_IDLE_MS && !a->dirty &&
            a->asked == 0 && a->stock_count == 0 &&
            a->asked_for.length + a->unasked.length == 0) {
            g_hash_table_iter_remove(&i);
        }
    }
}

/* Sends requests without items to the witnesses that do not reply. */
static void
probe_silent(struct rate_client *c, clock_ms now)
{
    for (int i = 0; i < c->witness_count; i++) {
        struct client_witness *w = &c->witnesses[i];
        if (w->silent && now - w->probed_at >= PROBE_INTERVAL_MS) {
            w->probed_at = now;
            rate_client_probe(c, w->name);
        }
    }
}

/* Handles time-outs. Called when rate_client_next_tick() is due. */
void
rate_client_tick(struct rate_client *c)
{
    const clock_ms now = rate_client_now(c);

    while (c->late.length > 0) {
        struct ask *k = g_queue_peek_head(&c->late);
        if (now - k->sent_at < RATE_PERMIT_MS) {
            break;
        }
        remove_ask(c, k);
    }
    while (c->open.length > 0) {
        struct ask *k = g_queue_peek_head(&c->open);
        if (now - k->sent_at < RATE_ASK_TIMEOUT_MS) {
            break;
        }
        time_out_ask(c, k);
    }
    probe_silent(c, now);
    if (now - c->swept_at >= SWEEP_INTERVAL_MS) {
        sweep_accounts(c, now);
    }
}

/* Returns when rate_client_tick() has to be called. */
clock_ms
rate_client_next_tick(const struct rate_client *c)
{
    clock_ms at = c->swept_at + SWEEP_INTERVAL_MS;

    if (c->open.length > 0) {
        const struct ask *k = c->open.head->data;
        at = MIN(at, k->sent_at + RATE_ASK_TIMEOUT_MS);
    }
    for (int i = 0; i < c->witness_count; i++) {
        if (c->witnesses[i].silent) {
            at = MIN(at, c->witnesses[i].probed_at + PROBE_INTERVAL_MS);
        }
    }
    return at;
}

/* A witness with its place in the order in which they are asked. */
struct preference {
    const struct rate_witness *witness;
    int distance; /* 0: this proxy, 1: its failure domain, 2: another one */
    uint64_t hash;
};

static int
compare_preferences(const void *x, const void *y)
{
    const struct preference *a = x;
    const struct preference *b = y;

    if (a->distance != b->distance) {
        return a->distance - b->distance;
    }
    return a->hash < b->hash ? -1 : a->hash > b->hash ? 1 : 0;
}

/* Asks every witness again, also those that had no permits: the witnesses or
   the limits have changed. */
void
rate_client_forget_refusals(struct rate_client *c)
{
    GHashTableIter i;
    void *value;

    g_hash_table_iter_init(&i, c->accounts);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        struct rate_account *a = value;
        a->current = -1;
        memset(a->none_until, 0, sizeof(a->none_until));
        memset(a->low_until, 0, sizeof(a->low_until));
        memset(a->unable, 0, sizeof(a->unable));
    }
}

/* Replaces the witnesses. This proxy itself is asked first, then those in its
   failure domain; proxies ask the others in different orders. */
void
rate_client_set_witnesses(struct rate_client *c,
                          const struct rate_witness *witnesses, int n)
{
    struct preference order[WITNESSES_MAX];
    struct client_witness next[WITNESSES_MAX] = {0};
    const uint64_t seed = XXH64(c->name, strlen(c->name), 0);

    n = MIN(n, WITNESSES_MAX);
    for (int k = 0; k < n; k++) {
        const char *name = witnesses[k].name;
        order[k] = (struct preference){
            .witness = &witnesses[k],
            .distance = strcmp(name, c->name) == 0 ? 0
                        : witnesses[k].same_domain ? 1
                                                   : 2,
            .hash = XXH64(name, strlen(name), seed),
        };
    }
    qsort(order, (size_t)n, sizeof(order[0]), compare_preferences);
    for (int k = 0; k < n; k++) {
        const struct client_witness *old =
            find_witness(c, order[k].witness->name);
        if (old != NULL) {
            next[k] = *old;
        }
        g_strlcpy(next[k].name, order[k].witness->name, sizeof(next[k].name));
    }
    memcpy(c->witnesses, next, sizeof(next));
    c->witness_count = n;
    rate_client_forget_refusals(c);
}
