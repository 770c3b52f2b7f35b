#include "directory/catalog.h"

#include <string.h>

static void
route_free(void *p)
{
    struct database_route *r = p;

    g_free(r->database);
    g_free(r->service);
    g_free(r);
}

static void
service_limits_free(void *p)
{
    struct service_limits *s = p;

    g_free(s->service);
    g_free(s);
}

static void
account_free(void *p)
{
    struct account *a = p;

    g_free(a->name);
    g_free(a);
}

static guint
key_hash(gconstpointer p)
{
    const struct account_key *key = p;
    guint hash;

    memcpy(&hash, key->digest, sizeof(hash));
    return hash;
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, sizeof(struct account_key)) == 0;
}

/* Creates an empty catalog with a reference count of one. */
struct catalog *
catalog_create(uint64_t version)
{
    struct catalog *c = g_new0(struct catalog, 1);

    c->version = version;
    c->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, route_free);
    c->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                        service_limits_free);
    c->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, account_free);
    c->keys = g_hash_table_new_full(key_hash, key_equal, g_free, NULL);
    g_atomic_ref_count_init(&c->references);
    return c;
}

/* Adds a route, which the catalog then owns. Replaces a route of the same
   database name. */
void
catalog_add_route(struct catalog *c, struct database_route *r)
{
    g_hash_table_replace(c->routes, r->database, r);
}

/* Adds a service's limits, which the catalog then owns. Replaces the limits of
   a service of the same name. */
void
catalog_add_service(struct catalog *c, struct service_limits *s)
{
    g_hash_table_replace(c->services, s->service, s);
}

/* Adds an account, which the catalog then owns. Returns false, and leaves the
   account to the caller, if there is one of the same name. */
bool
catalog_add_account(struct catalog *c, struct account *a)
{
    if (g_hash_table_contains(c->accounts, a->name)) {
        return false;
    }
    g_hash_table_insert(c->accounts, a->name, a);
    return true;
}

/* Adds a key of an account. Returns false if there is no such account or the
   key is in use. */
bool
catalog_add_key(struct catalog *c, const struct account_key *key,
                const char *account)
{
    struct account *a = g_hash_table_lookup(c->accounts, account);

    if (a == NULL || g_hash_table_contains(c->keys, key)) {
        return false;
    }
    g_hash_table_insert(c->keys, g_memdup2(key, sizeof(*key)), a);
    return true;
}

/* Returns the digest of an API key. */
struct account_key
account_key_of(struct sview plain)
{
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
    struct account_key key;
    uint8_t digest[32];
    gsize size = sizeof(digest);

    g_checksum_update(sum, (const guchar *)plain.p, (gssize)plain.n);
    g_checksum_get_digest(sum, digest, &size);
    g_checksum_free(sum);
    memcpy(key.digest, digest, sizeof(key.digest));
    return key;
}

/* Returns the account that holds a key, or NULL. It is valid as long as the
   catalog is referenced. */
const struct account *
catalog_account_of_key(const struct catalog *c, const struct account_key *key)
{
    return g_hash_table_lookup(c->keys, key);
}

struct catalog *
catalog_ref(struct catalog *c)
{
    g_atomic_ref_count_inc(&c->references);
    return c;
}

/* c may be NULL. */
void
catalog_unref(struct catalog *c)
{
    if (c == NULL || !g_atomic_ref_count_dec(&c->references)) {
        return;
    }
    g_hash_table_destroy(c->routes);
    g_hash_table_destroy(c->services);
    g_hash_table_destroy(c->keys);
    g_hash_table_destroy(c->accounts);
    g_free(c);
}

/* Returns NULL if there is no such database. The route is valid as long as the
   catalog is referenced. */
const struct database_route *
catalog_route(const struct catalog *c, const char *database)
{
    return g_hash_table_lookup(c->routes, database);
}
