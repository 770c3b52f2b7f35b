#include "limits/rate_client_internal.h"

#include <string.h>
#include <xxhash.h>

/* Returns the time on the boot clock. */
clock_ms
rate_client_now(const struct rate_client *c)
{
    return c->config.now(c->config.ctx);
}

/* Creates a client that knows no witnesses yet. */
struct rate_client *
rate_client_create(const struct rate_client_config *config)
{
    struct rate_client *c = g_new0(struct rate_client, 1);

    c->config = *config;
    g_strlcpy(c->name, config->name, sizeof(c->name));
    c->accounts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    c->asks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&c->open);
    g_queue_init(&c->late);
    g_queue_init(&c->dirty);
    return c;
}

/* Frees the client. No request may be waiting. */
void
rate_client_destroy(struct rate_client *c)
{
    if (c == NULL) {
        return;
    }
    g_hash_table_destroy(c->asks);
    g_hash_table_destroy(c->accounts);
    g_free(c);
}

/* Makes rate_client_flush() look at an account. */
void
rate_client_mark_dirty(struct rate_client *c, struct rate_account *a)
{
    if (!a->dirty) {
        a->dirty = true;
        a->dirty_node = (GList){.data = a};
        g_queue_push_tail_link(&c->dirty, &a->dirty_node);
    }
}

/* Returns NULL if the account is not known. */
struct rate_account *
rate_client_find_account(struct rate_client *c, uint64_t hash)
{
    return g_hash_table_lookup(c->accounts, &hash);
}

/* Returns how many permits of an account are in stock and not expired. */
int
rate_client_stock(const struct rate_client *c, const char *account)
{
    const uint64_t hash = limit_account_hash(account);
    const struct rate_account *a = g_hash_table_lookup(c->accounts, &hash);
    const clock_ms now = rate_client_now(c);
    int n = 0;

    for (int i = 0; a != NULL && i < a->stock_count; i++) {
        n += a->stock[i].expires_at > now ? (int)a->stock[i].count : 0;
    }
    return n;
}

static struct rate_account *
get_account(struct rate_client *c, const char *name, clock_ms now)
{
    const uint64_t hash = limit_account_hash(name);
    struct rate_account *a = rate_client_find_account(c, hash);

    if (a == NULL) {
        a = g_new0(struct rate_account, 1);
        a->hash = hash;
        a->current = -1;
        a->slot_at = now;
        g_queue_init(&a->asked_for);
        g_queue_init(&a->unasked);
        g_hash_table_insert(c->accounts, &a->hash, a);
    }
    return a;
}

static void
grant(struct rate_client *c, struct rate_account *a, struct rate_request *r,
      clock_ms expires_at)
{
    c->counters.granted++;
    a->use_in_slot++;
    r->valid_until = expires_at + (RATE_RUN_MS - RATE_PERMIT_MS);
    r->granted(r->ctx);
}

/* Removes a request from the queue that it is in. */
void
rate_client_remove_waiting(struct rate_client *c, struct rate_account *a,
                           struct rate_request *r)
{
    g_queue_unlink(r->ask != 0 ? &a->asked_for : &a->unasked, &r->node);
    r->waiting = false;
    c->waiting--;
}

/* Gives the permits in stock to the waiting requests. A callback may add and
   withdraw requests. */
static void
serve_waiting(struct rate_client *c, struct rate_account *a, clock_ms now)
{
    c->counters.expired += rate_account_expire(a, now);
    while (a->asked_for.length + a->unasked.length > 0 && a->stock_count > 0) {
        struct rate_request *r = g_queue_peek_head(
            a->asked_for.length > 0 ? &a->asked_for : &a->unasked);
        const clock_ms expires_at = rate_account_take(a);
        rate_client_remove_waiting(c, a, r);
        grant(c, a, r, expires_at);
    }
}

/* Refuses a request that is in no queue any more. */
void
rate_client_refuse(struct rate_client *c, struct rate_request *r,
                   const struct refusal *why)
{
    if (why->limited) {
        c->counters.refused_limited++;
    }
    else {
        c->counters.refused_unknown++;
    }
    r->refused(r->ctx, why->limited ? "rate_limited" : "limit_unknown",
               why->retry_after_ms);
}

/* Returns the index of the witness to ask for an account, or -1 and why there
   is none. The witness that granted last is asked until it is low on permits.
   One that does not reply is not asked for permits until it has answered a
   probe. */
static int
choose_witness(const struct rate_client *c, struct rate_account *a,
               clock_ms now, struct refusal *why)
{
    clock_ms next = CLOCK_NEVER;
    int first = -1;

    why->limited = false;
    for (int i = 0; i < c->witness_count; i++) {
        if (c->witnesses[i].silent) {
            continue;
        }
        if (a->none_until[i] > now) {
            next = MIN(next, a->none_until[i]);
            why->limited = why->limited || !a->unable[i];
            continue;
        }
        if (i == a->current && a->low_until[i] <= now) {
            return i;
        }
        /* Of those that are low, the one that fills up first. */
        if (first < 0 || (a->low_until[first] > now &&
                          a->low_until[i] < a->low_until[first])) {
            first = i;
        }
    }
    if (first >= 0) {
        a->current = first;
        return first;
    }
    why->retry_after_ms = next != CLOCK_NEVER ? next - now : RETRY_UNKNOWN_MS;
    return -1;
}

/* Requests a permit. It is granted at once if there is one in stock, and
   refused at once if no witness can have one. */
void
rate_client_acquire(struct rate_client *c, struct rate_request *r)
{
    const clock_ms now = rate_client_now(c);
    struct rate_account *a = get_account(c, r->account->name, now);
    struct refusal why = {.retry_after_ms = RETRY_UNKNOWN_MS};

    rate_account_update_use(a, now);
    a->used_at = now;
    rate_client_mark_dirty(c, a); /* the stock may have to be filled up */
    c->counters.expired += rate_account_expire(a, now);
    if (a->asked_for.length + a->unasked.length == 0 && a->stock_count > 0) {
        const clock_ms expires_at = rate_account_take(a);
        grant(c, a, r, expires_at);
        return;
    }
    if (c->waiting >= RATE_WAITING_MAX ||
        (a->asked == 0 && choose_witness(c, a, now, &why) < 0)) {
        rate_client_refuse(c, r, &why);
        return;
    }
    r->ask = 0;
    r->timeouts = 0;
    r->node = (GList){.data = r};
    r->waiting = true;
    g_queue_push_tail_link(&a->unasked, &r->node);
    c->waiting++;
}

/* Withdraws a request; neither callback is called any more. A permit that
   arrives for it goes to another request or into the stock. */
void
rate_client_withdraw(struct rate_client *c, struct rate_request *r)
{
    if (r->waiting) {
        rate_client_remove_waiting(
            c, get_account(c, r->account->name, rate_client_now(c)), r);
    }
}

/* Takes back the permit of an operation that provably did not run;
   valid_until is that of its request. */
void
rate_client_return(struct rate_client *c, const char *account,
                   clock_ms valid_until)
{
    const clock_ms now = rate_client_now(c);
    struct rate_account *a = get_account(c, account, now);

    c->counters.returned++;
    c->counters.expired += rate_account_add(
        a, valid_until - (RATE_RUN_MS - RATE_PERMIT_MS), 1, now);
    rate_client_mark_dirty(c, a);
}

/* Asks that are filled during one call of rate_client_flush(). */
struct outgoing {
    struct ask *open[WITNESSES_MAX];
    GQueue ready; /* of struct ask */
};

static struct ask *
create_ask(struct rate_client *c, const char *witness, clock_ms now)
{
    struct ask *k = g_new0(struct ask, 1);

    k->sent_at = now;
    g_strlcpy(k->witness, witness, sizeof(k->witness));
    g_strlcpy(k->request.from, c->name, sizeof(k->request.from));
    k->request.incarnation = c->config.incarnation;
    k->request.id = ++c->last_id;
    k->node = (GList){.data = k};
    return k;
}

/* Records an ask as sent, and sends it. The reply may be processed before this
   returns. */
static void
send_ask(struct rate_client *c, struct ask *k)
{
    const struct limit_request q = k->request;
    char witness[VIEW_NAME_BYTES];

    g_strlcpy(witness, k->witness, sizeof(witness));
    g_queue_push_tail_link(&c->open, &k->node);
    g_hash_table_insert(c->asks, &k->request.id, k);
    c->counters.asks++;
    c->config.send(c->config.ctx, witness, &q);
}

/* Refuses the requests that are in no ask. A callback may add and withdraw
   requests. */
static void
refuse_unasked(struct rate_client *c, struct rate_account *a,
               const struct refusal *why)
{
    for (guint n = a->unasked.length; n > 0 && a->unasked.length > 0; n--) {
        struct rate_request *r = g_queue_peek_head(&a->unasked);
        rate_client_remove_waiting(c, a, r);
        rate_client_refuse(c, r, why);
    }
}

/* Adds what an account needs to the ask of a witness, or refuses its requests
   if no witness can be asked. */
static void
dispatch(struct rate_client *c, struct rate_account *a, struct outgoing *out,
         clock_ms now)
{
    struct refusal why;

    serve_waiting(c, a, now);
    const uint32_t wanted = MIN(a->unasked.length + rate_account_wanted(a),
                                (uint32_t)LIMIT_WANTED_MAX);
    if (wanted == 0) {
        return;
    }
    const int w = choose_witness(c, a, now, &why);
    if (w < 0) {
        if (a->asked == 0) {
            refuse_unasked(c, a, &why);
        }
        return; /* otherwise an ask may bring more permits than it has users */
    }
    if (out->open[w] == NULL) {
        out->open[w] = create_ask(c, c->witnesses[w].name, now);
    }
    struct ask *k = out->open[w];
    struct limit_request *q = &k->request;
    q->items[q->count++] =
        (struct limit_request_item){.account = a->hash, .wanted = wanted};
    a->asked += wanted;
    for (uint32_t i = 0; i < wanted && a->unasked.length > 0; i++) {
        GList *link = g_queue_pop_head_link(&a->unasked);
        struct rate_request *r = link->data;
        r->ask = q->id;
        g_queue_push_tail_link(&a->asked_for, link);
    }
    if (a->unasked.length > 0) {
        rate_client_mark_dirty(c, a);
    }
    if (q->count == LIMIT_ITEMS_MAX) {
        g_queue_push_tail_link(&out->ready, &k->node);
        out->open[w] = NULL;
    }
}

/* Sends what has become necessary since the last call, with all requests to
   one witness in one message. Called at the end of each iteration of the event
   loop. */
void
rate_client_flush(struct rate_client *c)
{
    while (c->dirty.length > 0) {
        const clock_ms now = rate_client_now(c);
        struct outgoing out = {.ready = G_QUEUE_INIT};

        while (c->dirty.length > 0) {
            struct rate_account *a = g_queue_pop_head_link(&c->dirty)->data;
            a->dirty = false;
            rate_account_update_use(a, now);
            dispatch(c, a, &out, now);
        }
        for (int i = 0; i < WITNESSES_MAX; i++) {
            if (out.open[i] != NULL) {
                g_queue_push_tail_link(&out.ready, &out.open[i]->node);
            }
        }
        while (out.ready.length > 0) {
            send_ask(c, g_queue_pop_head_link(&out.ready)->data);
        }
    }
}

/* Sends a request without items to a witness. */
void
rate_client_probe(struct rate_client *c, const char *witness)
{
    send_ask(c, create_ask(c, witness, rate_client_now(c)));
}

/* Returns the number of requests that wait for a permit. */
size_t
rate_client_waiting(const struct rate_client *c)
{
    return c->waiting;
}

const struct rate_client_counters *
rate_client_counters(const struct rate_client *c)
{
    return &c->counters;
}
