#include "ticket/state.h"

#include <string.h>

#include <xxhash.h>

struct ticket_state {
    GHashTable *objects; /* "TYPE NAME" -> struct ticket_object */
    uint64_t highest;
    uint64_t hash;
    ticket_change_fn on_change;
    void *ctx;
};

static void
unref_value(void *o)
{
    ticket_object_unref(o);
}

/* Creates an empty state; on_change may be NULL. */
struct ticket_state *
ticket_state_create(ticket_change_fn on_change, void *ctx)
{
    struct ticket_state *s = g_new0(struct ticket_state, 1);

    s->objects =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_value);
    s->on_change = on_change;
    s->ctx = ctx;
    return s;
}

/* NULL is allowed. */
void
ticket_state_destroy(struct ticket_state *s)
{
    if (s) {
        g_hash_table_destroy(s->objects);
        g_free(s);
    }
}

static char *
object_key(enum ticket_object_type type, const char *name)
{
    return g_strdup_printf("%s %s", ticket_type_name(type), name);
}

static uint64_t
object_hash(const char *key, uint64_t number)
{
    return XXH64(key, strlen(key), number);
}

/* Merges one object. The higher ticket number wins and an equal one changes
   nothing, so merging is commutative and idempotent. Takes its own reference
   to o. Returns true if the state changed. */
bool
ticket_state_apply_object(struct ticket_state *s, struct ticket_object *o)
{
    char *key = object_key(o->type, o->name);
    struct ticket_object *old = g_hash_table_lookup(s->objects, key);

#ifdef TICKET_BREAK_APPLY_LOWER
    bool newer = !old || o->number != old->number;
#else
    bool newer = !old || o->number > old->number;
#endif
    if (!newer) {
        g_free(key);
        return false;
    }
    if (old) {
        s->hash ^= object_hash(key, old->number);
        ticket_object_ref(old);
    }
    s->hash ^= object_hash(key, o->number);
    s->highest = MAX(s->highest, o->number);
    g_hash_table_replace(s->objects, key, ticket_object_ref(o));
    if (s->on_change) {
        s->on_change(s->ctx, old, o);
    }
    ticket_object_unref(old);
    return true;
}

/* Merges all objects of a ticket. Returns the number that changed. */
size_t
ticket_state_apply(struct ticket_state *s, const struct ticket *t)
{
    size_t n = 0;

    for (size_t i = 0; i < t->n_objects; i++) {
        n += ticket_state_apply_object(s, t->objects[i]);
    }
    return n;
}

/* Returns a borrowed object, which may be a tombstone, or NULL. */
const struct ticket_object *
ticket_state_find(const struct ticket_state *s, enum ticket_object_type type,
                  const char *name)
{
    char *key = object_key(type, name);
    const struct ticket_object *o = g_hash_table_lookup(s->objects, key);

    g_free(key);
    return o;
}

struct ticket_digest
ticket_state_digest(const struct ticket_state *s)
{
    return (struct ticket_digest){.highest = s->highest,
                                  .count = g_hash_table_size(s->objects),
                                  .hash = s->hash};
}

bool
ticket_digest_equal(const struct ticket_digest *a,
                    const struct ticket_digest *b)
{
    return a->highest == b->highest && a->count == b->count &&
           a->hash == b->hash;
}

static int
compare_entries(const void *a, const void *b)
{
    return ticket_object_compare(*(struct ticket_object *const *)a,
                                 *(struct ticket_object *const *)b);
}

/* Returns the objects that a peer with this digest may be missing, sorted by
   type and name: none if the digests are equal, otherwise all objects with a
   number above the peer's highest number minus window. A window of UINT64_MAX
   selects every object. The caller frees the array; the objects are borrowed.
 */
GPtrArray *
ticket_state_list_missing(const struct ticket_state *s,
                          const struct ticket_digest *peer, uint64_t window)
{
    GPtrArray *out = g_ptr_array_new();
    struct ticket_digest own = ticket_state_digest(s);
    uint64_t since = peer->highest > window ? peer->highest - window : 0;
    GHashTableIter it;
    void *value;

    if (ticket_digest_equal(&own, peer)) {
        return out;
    }
    g_hash_table_iter_init(&it, s->objects);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct ticket_object *o = value;

        if (o->number > since) {
            g_ptr_array_add(out, o);
        }
    }
    g_ptr_array_sort(out, compare_entries);
    return out;
}
