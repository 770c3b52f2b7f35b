#include "fleet/ownership.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct tracked_object {
    char *object;
    uint32_t rank[OWNERSHIP_RANKS];
    uint64_t weight[OWNERSHIP_RANKS];
    bool fallback;  /* two ranks share a failure domain, or a rank is empty */
    clock_ms since; /* since when rank[0] has been the owner */
};

struct ownership {
    const struct membership *members;
    GHashTable *objects; /* name to struct tracked_object */
    uint64_t version;
    ownership_changed cb;
    void *ctx;
};

/* Returns the weight of a member for an object; the member with the highest
   weight owns it. */
static uint64_t
weight_of(const char *object, uint32_t id)
{
    return XXH64(object, strlen(object), (XXH64_hash_t)id + 1);
}

/* Returns true if a member can own objects. A suspect keeps its objects, since
   most suspicions are refuted. */
static bool
can_own(const struct member_info *x)
{
    return x->phase == MEMBER_LIVE || x->phase == MEMBER_SUSPECT;
}

/* Compares a candidate with the best one so far, by weight and then by id. */
static bool
outranks(uint64_t weight, uint32_t id, uint64_t best_weight, uint32_t best_id)
{
    return best_id == OWNERSHIP_NONE || weight > best_weight ||
           (weight == best_weight && id < best_id);
}

/* Finds the member with the highest weight that has no earlier rank. If
   strict, it also has to be outside the failure domains of the earlier
   ranks. */
static uint32_t
find_rank(const struct ownership *o, const struct tracked_object *x,
          unsigned rank, const char *const *domains, bool strict,
          uint64_t *weight, const char **domain)
{
    uint32_t best = OWNERSHIP_NONE;
    struct member_info info;

    for (size_t i = 0; membership_at(o->members, i, &info); i++) {
        bool excluded = !can_own(&info);

        for (unsigned r = 0; r < rank && !excluded; r++) {
            excluded = x->rank[r] == info.id ||
                       (strict && strcmp(domains[r], info.domain) == 0);
        }
        if (excluded) {
            continue;
        }
        uint64_t w = weight_of(x->object, info.id);
        if (outranks(w, info.id, *weight, best)) {
            best = info.id;
            *weight = w;
            *domain = info.domain;
        }
    }
    return best;
}

/* Computes the ranks of an object and reports a new owner to the callback. */
static void
compute_ranks(struct ownership *o, struct tracked_object *x, clock_ms now)
{
    const char *domains[OWNERSHIP_RANKS] = {"", "", ""};
    uint32_t before = x->rank[0];

    x->fallback = false;
    for (unsigned r = 0; r < OWNERSHIP_RANKS; r++) {
        x->weight[r] = 0;
        x->rank[r] =
            find_rank(o, x, r, domains, true, &x->weight[r], &domains[r]);
        if (x->rank[r] == OWNERSHIP_NONE) {
            x->fallback = true;
            x->rank[r] =
                find_rank(o, x, r, domains, false, &x->weight[r], &domains[r]);
        }
    }
    if (x->rank[0] != before) {
        x->since = now;
        o->version++;
        if (o->cb) {
            o->cb(o->ctx, x->object, before, x->rank[0], now);
        }
    }
}

static void
tracked_object_free(gpointer data)
{
    struct tracked_object *x = data;

    g_free(x->object);
    g_free(x);
}

/* Creates an ownership on top of a membership, which has to outlive it. cb may
   be NULL. */
struct ownership *
ownership_create(const struct membership *m, ownership_changed cb, void *ctx)
{
    struct ownership *o = g_new0(struct ownership, 1);

    o->members = m;
    o->cb = cb;
    o->ctx = ctx;
    o->objects = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                       tracked_object_free);
    return o;
}

void
ownership_destroy(struct ownership *o)
{
    if (o) {
        g_hash_table_destroy(o->objects);
        g_free(o);
    }
}

/* Starts to track an object. Its owner counts as owner from now. */
void
ownership_track(struct ownership *o, const char *object, clock_ms now)
{
    if (g_hash_table_contains(o->objects, object)) {
        return;
    }
    struct tracked_object *x = g_new0(struct tracked_object, 1);

    x->object = g_strdup(object);
    x->rank[0] = OWNERSHIP_NONE;
    g_hash_table_insert(o->objects, x->object, x);
    compute_ranks(o, x, now);
}

/* Handles a member's change of phase. Only objects that the member has a rank
   for, or would get one for, are recomputed; the others cost one hash each. */
void
ownership_member_changed(struct ownership *o, const struct member_info *m,
                         clock_ms now)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, o->objects);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct tracked_object *x = value;
        bool ranks = false;

        for (unsigned r = 0; r < OWNERSHIP_RANKS; r++) {
            ranks = ranks || x->rank[r] == m->id;
        }
        if (ranks == can_own(m) && !x->fallback && ranks) {
            continue; /* unchanged */
        }
        if (!ranks && !can_own(m)) {
            continue;
        }
        uint64_t w = ranks ? 0 : weight_of(x->object, m->id);
        uint64_t least = x->weight[0];
        for (unsigned r = 1; r < OWNERSHIP_RANKS; r++) {
            least = MIN(least, x->weight[r]);
        }
        if (ranks || x->fallback || w >= least) {
            compute_ranks(o, x, now);
        }
    }
}

/* Returns the member with rank n (0 is the owner) or OWNERSHIP_NONE. The ranks
   are in different failure domains if there are enough of them. */
uint32_t
ownership_rank(const struct ownership *o, const char *object, unsigned n)
{
    const struct tracked_object *x = g_hash_table_lookup(o->objects, object);

    return x && n < OWNERSHIP_RANKS ? x->rank[n] : OWNERSHIP_NONE;
}

/* Returns a number that increases with every change of an owner. */
uint64_t
ownership_version(const struct ownership *o)
{
    return o->version;
}

/* Returns since when the current owner has been seen as the owner, or
   CLOCK_NEVER for an object that is not tracked. */
clock_ms
ownership_since(const struct ownership *o, const char *object)
{
    const struct tracked_object *x = g_hash_table_lookup(o->objects, object);

    return x ? x->since : CLOCK_NEVER;
}

/* Returns true if this member may lend connections of an object: it owns the
   object, and it has had ownership and quorum for OWNERSHIP_TAKEOVER_MS
   without a break. In gossip mode no member may lend, because the quorum does
   not compare views there: two members lent the same object at the same time
   (test_random_fleet, seed 2). */
bool
ownership_may_lend(const struct ownership *o, const char *object, clock_ms now)
{
    const struct tracked_object *x = g_hash_table_lookup(o->objects, object);
    clock_ms quorum = membership_quorum_since(o->members);

    if (!x || membership_size(o->members) > MEMBERSHIP_FULL_MESH_MAX ||
        x->rank[0] != membership_self_id(o->members) ||
        quorum == CLOCK_NEVER || !membership_has_quorum(o->members, now)) {
        return false;
    }
#ifdef OWNERSHIP_BREAK_WAIT
    return true;
#endif
    return now - MAX(x->since, quorum) >= OWNERSHIP_TAKEOVER_MS;
}
