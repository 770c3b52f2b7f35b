#include "statement/statement.h"

#include "statement/classify.h"

#include <glib.h>
#include <pg_query.h>
#include <xxhash.h>

/* Longer texts are classified on every lookup, because a few callers could
   fill the cache's memory with them. */
#define STATEMENT_MAX_CACHED_TEXT_BYTES 8192

/* A cache of bounded size that needs no LRU list. When the young generation is
   full it becomes the old one, and the previous old one is dropped. */
struct generations {
    GHashTable *young;
    GHashTable *old;
    size_t max_young;
};

struct text_entry {
    char *text; /* compared on a hit: callers may provoke collisions */
    size_t text_bytes;
    struct statement_info info;
};

struct statement_cache {
    struct generations texts;        /* text hash -> struct text_entry */
    struct generations fingerprints; /* fingerprint -> class + 1 as pointer */
    GHashTable *read_only_functions;
    struct statement_info uncached;
};

static void
text_entry_free(void *p)
{
    struct text_entry *e = p;

    g_free(e->text);
    g_free(e->info.set_name);
    g_free(e->info.set_value);
    g_free(e);
}

/* Creates an empty table with 64-bit hashes as keys. */
static GHashTable *
new_table(GDestroyNotify free_value)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                 free_value);
}

/* Initialises a cache for at most the given number of entries. */
static void
generations_init(struct generations *g, size_t entries,
                 GDestroyNotify free_value)
{
    g->young = new_table(free_value);
    g->old = new_table(free_value);
    g->max_young = MAX(entries / 2, 1);
}

static void
generations_clear(struct generations *g)
{
    g_hash_table_destroy(g->young);
    g_hash_table_destroy(g->old);
}

/* Stores a value. If the young generation is full, the old one is dropped
   first. */
static void
generations_put(struct generations *g, uint64_t key, void *value,
                GDestroyNotify free_value)
{
    if (g_hash_table_size(g->young) >= g->max_young) {
        g_hash_table_destroy(g->old);
        g->old = g->young;
        g->young = new_table(free_value);
    }
    g_hash_table_replace(g->young, g_memdup2(&key, sizeof(key)), value);
}

/* Returns a value or NULL. A value in the old generation is moved to the young
   one. */
static void *
generations_get(struct generations *g, uint64_t key, GDestroyNotify free_value)
{
    void *value = g_hash_table_lookup(g->young, &key);
    void *stolen_key;

    if (value != NULL ||
        !g_hash_table_steal_extended(g->old, &key, &stolen_key, &value)) {
        return value;
    }
    g_free(stolen_key);
    generations_put(g, key, value, free_value);
    return value;
}

/* Creates a cache for up to the given number of texts and as many
   fingerprints. read_only_functions is a NULL-terminated list that is added to
   the defaults, or NULL. */
struct statement_cache *
statement_cache_create(size_t entries, const char *const *read_only_functions)
{
    struct statement_cache *c = g_new0(struct statement_cache, 1);

    generations_init(&c->texts, entries, text_entry_free);
    generations_init(&c->fingerprints, entries, NULL);
    c->read_only_functions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    classify_add_default_functions(c->read_only_functions);
    for (size_t i = 0;
         read_only_functions != NULL && read_only_functions[i] != NULL; i++) {
        g_hash_table_add(c->read_only_functions,
                         g_strdup(read_only_functions[i]));
    }
    return c;
}

/* Frees the cache and all results returned from it. c may be NULL. */
void
statement_cache_destroy(struct statement_cache *c)
{
    if (c == NULL) {
        return;
    }
    generations_clear(&c->texts);
    generations_clear(&c->fingerprints);
    g_hash_table_destroy(c->read_only_functions);
    g_free(c->uncached.set_name);
    g_free(c->uncached.set_value);
    g_free(c);
}

/* Returns the number of cached texts. */
size_t
statement_cache_count(const struct statement_cache *c)
{
    return g_hash_table_size(c->texts.young) + g_hash_table_size(c->texts.old);
}

/* Classifies a text by its fingerprint and parses it only if the fingerprint
   is new. Only single reads and writes are stored by fingerprint; SET must
   always be parsed, because the fingerprint ignores the value. */
static void
classify_by_fingerprint(struct statement_cache *c, const char *text,
                        struct statement_info *out)
{
    PgQueryFingerprintResult f = pg_query_fingerprint(text);

    *out = (struct statement_info){.class = STATEMENT_INVALID};
    if (f.error == NULL) {
        out->fingerprint = f.fingerprint;
        const int known = GPOINTER_TO_INT(
            generations_get(&c->fingerprints, f.fingerprint, NULL));
        if (known != 0) {
            out->class = (enum statement_class)(known - 1);
        }
        else {
            classify_text(text, c->read_only_functions, out);
            if ((out->class == STATEMENT_READ ||
                 out->class == STATEMENT_WRITE) &&
                !out->multiple) {
                generations_put(&c->fingerprints, f.fingerprint,
                                GINT_TO_POINTER((int)out->class + 1), NULL);
            }
        }
    }
    pg_query_free_fingerprint_result(f);
    if (out->set_name == NULL) {
        out->set_name = g_strdup("");
    }
    if (out->set_value == NULL) {
        out->set_value = g_strdup("");
    }
}

/* Returns the classification of a text. The result belongs to the cache and is
   valid until the next lookup. */
const struct statement_info *
statement_lookup(struct statement_cache *c, struct sview text)
{
    const uint64_t key = XXH3_64bits(text.p, text.n);
    struct text_entry *e = generations_get(&c->texts, key, text_entry_free);

    if (e != NULL && e->text_bytes == text.n &&
        memcmp(e->text, text.p, text.n) == 0) {
        return &e->info;
    }
    char *copy = g_strndup(text.p, text.n);
    if (text.n > STATEMENT_MAX_CACHED_TEXT_BYTES) {
        g_free(c->uncached.set_name);
        g_free(c->uncached.set_value);
        classify_by_fingerprint(c, copy, &c->uncached);
        g_free(copy);
        return &c->uncached;
    }
    e = g_new0(struct text_entry, 1);
    e->text = copy;
    e->text_bytes = text.n;
    classify_by_fingerprint(c, copy, &e->info);
    generations_put(&c->texts, key, e, text_entry_free);
    return &e->info;
}
