#include "limits/rate_bucket.h"

#include "limits/rate_client.h"

#include <string.h>
#include <xxhash.h>

/* Levels are kept in billionths of a token, so that the part of a small rate
   is exact enough for a step of 1 ms. */
#define TOKEN 1000000000LL
#define NEXT_MAX_MS 60000
/* Proxies that got no token are told to return at different times, each when
   one more token has come, but not later than this. Otherwise all of them
   would ask again for each token. */
#define SLOT_MAX_MS 250
/* A proxy that took one of the last tokens is told to prefer other witnesses
   until this part of the bucket is full, so that no bucket overflows while
   others are empty. */
#define LOW_PERMILLE 900
/* Part before the first witness list; only its rate is used, for buckets that
   are not granted from. */
#define DIVISOR_UNKNOWN AGREEMENT_WITNESSES_MAX

/* Width of a slot of the sliding window, and how many slots cover it. The
   slot that is only partly in the window counts whole. */
#define SLOT_MS 100
#define SLOTS_MAX 128
/* Part of the tolerance of a limit that is granted. The rest is for proxies
   that disagree for a while on who grants. */
#define TOLERANCE_USED 0.6

struct limit {
    int64_t rate_milli;
    int64_t burst_milli;
};

struct bucket {
    struct limit in_force;
    struct limit configured;
    clock_ms raise_at; /* when a raised limit comes into force; 0: none */
    int64_t level;
    clock_ms updated_at;
    clock_ms next_slot; /* the next proxy that gets no token returns then */
    int64_t rate;       /* of this part, in billionths per millisecond */
    int64_t capacity;
    /* Permits granted in the slots of the window that ends now, and how many
       the window may have. */
    uint16_t granted[SLOTS_MAX];
    uint32_t granted_sum;
    uint32_t window_max;
    int64_t slot; /* number of the newest slot */
    /* Until then the window may lack permits that were granted before this
       process, or this witness, began; the bucket fills at the plain rate. */
    clock_ms window_known_at;
    bool window_known;
};

struct rate_bucket {
    struct rate_bounds bounds;
    GHashTable *buckets; /* hash of the account -> struct bucket */
    int divisor;
    bool granting;
    bool accounts_left_out;
    struct rate_bucket_counters counters;
};

/* Returns the hash that identifies an account in messages. */
uint64_t
limit_account_hash(const char *name)
{
    return XXH64(name, strlen(name), 0);
}

/* Creates the table without accounts. */
struct rate_bucket *
rate_bucket_create(const struct rate_bounds *bounds)
{
    struct rate_bucket *b = g_new0(struct rate_bucket, 1);

    b->bounds = *bounds;
    b->buckets =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    b->divisor = DIVISOR_UNKNOWN;
    return b;
}

void
rate_bucket_destroy(struct rate_bucket *b)
{
    if (b == NULL) {
        return;
    }
    g_hash_table_destroy(b->buckets);
    g_free(b);
}

/* Returns how many slots cover the window and the time in which a permit is
   used. */
static int
slot_count(const struct rate_bucket *b)
{
    return (int)CLAMP((b->bounds.window_ms + RATE_RUN_MS) / SLOT_MS + 2, 1,
                      SLOTS_MAX);
}

/* Computes rate, capacity and window of this witness's part. A limit allows
   rate x window + burst in any window, for as long as they are asked for, so
   the bucket fills at that pace; what all parts may grant in a window is
   counted besides. A part holds at least one token, since it could not grant
   otherwise. */
static void
set_part(const struct rate_bucket *b, struct bucket *k)
{
    const double rate = (double)k->in_force.rate_milli / 1000;
    const double burst = (double)k->in_force.burst_milli / 1000;
    const double window = (double)b->bounds.window_ms / 1000;
    const double limit = rate * window + burst;
    const double capacity =
        MAX(burst + b->bounds.slack / 2.0, (double)b->divisor);
    const double in_window =
        limit * (1 + TOLERANCE_USED * b->bounds.excess_permille / 1000.0) +
        TOLERANCE_USED * b->bounds.slack;

    const double pace = k->window_known ? MAX(limit / window, rate) : rate;
    k->rate = (int64_t)(pace / b->divisor * (TOKEN / 1000.0));
    k->capacity = (int64_t)(capacity / b->divisor * TOKEN);
    k->level = MIN(k->level, k->capacity);
    k->window_max = (uint32_t)MAX(in_window / b->divisor, 1);
}

/* Forgets the slots that have left the window. */
static void
advance_window(const struct rate_bucket *b, struct bucket *k, clock_ms now)
{
    const int slots = slot_count(b);
    const int64_t slot = now / SLOT_MS;

    if (slot - k->slot >= slots) {
        memset(k->granted, 0, sizeof(k->granted));
        k->granted_sum = 0;
        k->slot = slot;
    }
    while (k->slot < slot) {
        k->slot++;
        uint16_t *oldest = &k->granted[k->slot % slots];
        k->granted_sum -= *oldest;
        *oldest = 0;
    }
}

/* Called when others may have granted from this part until now. */
static void
forget_window(const struct rate_bucket *b, struct bucket *k, clock_ms now)
{
    k->window_known = false;
    k->window_known_at = now + b->bounds.window_ms + RATE_RUN_MS;
}

/* Returns how many permits may be granted now. */
static int64_t
available(const struct bucket *k)
{
    const int64_t left = (int64_t)k->window_max - k->granted_sum;

    return CLAMP(k->level / TOKEN, 0, MAX(left, 0));
}

/* Adds the tokens since the last update. */
static void
fill(struct bucket *k, clock_ms now)
{
    const int64_t elapsed = now - k->updated_at;

    if (elapsed <= 0) {
        return;
    }
    k->updated_at = now;
    if (k->rate > 0 && elapsed > (k->capacity - k->level) / k->rate) {
        k->level = k->capacity;
        return;
    }
    k->level += elapsed * k->rate;
}

/* Brings a bucket up to date, including a raised limit that is due. */
static void
update(const struct rate_bucket *b, struct bucket *k, clock_ms now)
{
    if (!k->window_known && now >= k->window_known_at) {
        fill(k, k->window_known_at);
        k->window_known = true;
        set_part(b, k);
    }
    if (k->raise_at != 0 && now >= k->raise_at) {
        fill(k, k->raise_at);
        k->raise_at = 0;
        k->in_force = k->configured;
        set_part(b, k);
    }
    fill(k, now);
}

/* Applies the limit of the configuration: what is lower at once, what is
   higher after WITNESS_WAIT_MS, as for a part that grows. */
static void
configure(const struct rate_bucket *b, struct bucket *k,
          const struct limit *next, clock_ms now)
{
    if (memcmp(&k->configured, next, sizeof(*next)) == 0) {
        return;
    }
    update(b, k, now);
    k->configured = *next;
    k->in_force.rate_milli = MIN(k->in_force.rate_milli, next->rate_milli);
    k->in_force.burst_milli = MIN(k->in_force.burst_milli, next->burst_milli);
    k->raise_at = memcmp(&k->in_force, next, sizeof(*next)) == 0
                      ? 0
                      : now + WITNESS_WAIT_MS;
    set_part(b, k);
}

static struct bucket *
add_bucket(const struct rate_bucket *b, const struct limit *l, clock_ms now)
{
    struct bucket *k = g_new0(struct bucket, 1);

    k->in_force = *l;
    k->configured = *l;
    k->updated_at = now;
    forget_window(b, k, now);
    set_part(b, k);
#ifdef RATE_BREAK_FULL
    k->level = k->capacity;
#endif
    return k;
}

/* Applies a configuration. A new account begins with an empty bucket, so one
   that is removed and added again never gets tokens twice. */
void
rate_bucket_set_catalog(struct rate_bucket *b, const struct catalog *c,
                        clock_ms now)
{
    GHashTable *next =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    GHashTableIter i;
    void *value;

    b->accounts_left_out = false;
    g_hash_table_iter_init(&i, c->accounts);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct account *a = value;
        const struct limit l = {a->rate_milli_per_s, a->burst_milli};
        const uint64_t hash = limit_account_hash(a->name);
        void *key = NULL;
        void *bucket = NULL;

        if (g_hash_table_size(next) >= RATE_BUCKET_ACCOUNTS_MAX) {
            b->accounts_left_out = true;
            break;
        }
        if (g_hash_table_steal_extended(b->buckets, &hash, &key, &bucket)) {
            configure(b, bucket, &l, now);
        }
        else {
            key = g_memdup2(&hash, sizeof(hash));
            bucket = add_bucket(b, &l, now);
        }
        g_hash_table_replace(next, key, bucket);
    }
    g_hash_table_destroy(b->buckets);
    b->buckets = next;
}

/* Sets the part of this witness. While it may not grant, its buckets go on
   filling, since no other proxy grants from that part. */
void
rate_bucket_set_part(struct rate_bucket *b, struct witness_part part,
                     clock_ms now)
{
    GHashTableIter i;
    void *value;

    b->granting = part.divisor > 0;
    if (part.divisor == 0 || (part.divisor == b->divisor && !part.is_new)) {
        return;
    }
    const bool changed = part.divisor != b->divisor;
    g_hash_table_iter_init(&i, b->buckets);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        update(b, value, now);
    }
    b->divisor = part.divisor;
    g_hash_table_iter_init(&i, b->buckets);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        struct bucket *k = value;
        if (part.is_new) {
            k->level = 0;
            forget_window(b, k, now);
        }
        if (changed || part.is_new) {
            set_part(b, k);
        }
#ifdef RATE_BREAK_FULL
        k->level = part.is_new ? k->capacity : k->level;
#endif
    }
}

/* Returns in how many milliseconds a bucket reaches a level. */
static int64_t
time_to(const struct bucket *k, int64_t level)
{
    if (level <= k->level) {
        return 0;
    }
    if (k->rate == 0) {
        return NEXT_MAX_MS;
    }
    return MIN((level - k->level + k->rate - 1) / k->rate, NEXT_MAX_MS);
}

/* Returns in how many milliseconds a proxy that got no token may return. */
static int64_t
reserve_slot(struct bucket *k, clock_ms now)
{
    const int64_t wait = time_to(k, TOKEN);
    const clock_ms next = now + MAX(wait, 1);
    const clock_ms latest = now + SLOT_MAX_MS;
    const clock_ms slot = MAX(next, MIN(k->next_slot, latest));

    k->next_slot =
        slot + (k->rate > 0 ? MIN(TOKEN / k->rate, NEXT_MAX_MS) : NEXT_MAX_MS);
    return slot - now;
}

/* Grants up to wanted permits. If fewer are granted, next_ms is when to
   return, or 0 if this witness may not grant or does not know the account. If
   all are granted, it is for how long to prefer other witnesses. */
uint32_t
rate_bucket_take(struct rate_bucket *b, uint64_t account, uint32_t wanted,
                 clock_ms now, uint32_t *next_ms)
{
    struct bucket *k = g_hash_table_lookup(b->buckets, &account);

    *next_ms = 0;
    if (!b->granting || k == NULL) {
        b->counters.denied += wanted;
        return 0;
    }
    update(b, k, now);
    advance_window(b, k, now);
    uint16_t *slot = &k->granted[k->slot % slot_count(b)];
    const int64_t granted =
        MIN(MIN(available(k), (int64_t)wanted), UINT16_MAX - *slot);
    k->level -= granted * TOKEN;
    k->granted_sum += (uint32_t)granted;
    *slot = (uint16_t)(*slot + granted);
    b->counters.granted += (uint64_t)granted;
    b->counters.denied += wanted - (uint64_t)granted;
    *next_ms = (uint32_t)(granted == (int64_t)wanted
                              ? time_to(k, k->capacity / 1000 * LOW_PERMILLE)
                              : reserve_slot(k, now));
    return (uint32_t)granted;
}

/* Answers the items of a request; the caller sets the other fields. */
void
rate_bucket_answer(struct rate_bucket *b, const struct limit_request *q,
                   clock_ms now, struct limit_reply *out)
{
    out->incarnation = q->incarnation;
    out->id = q->id;
    out->count = q->count;
    b->counters.requests++;
    for (int i = 0; i < q->count; i++) {
        struct limit_reply_item *r = &out->items[i];
        r->account = q->items[i].account;
        r->granted = rate_bucket_take(
            b, r->account, MIN(q->items[i].wanted, LIMIT_WANTED_MAX), now,
            &r->next_ms);
    }
}

const struct rate_bucket_counters *
rate_bucket_counters(const struct rate_bucket *b)
{
    return &b->counters;
}
