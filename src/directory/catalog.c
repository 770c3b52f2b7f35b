#include "directory/catalog.h"

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
    g_free(c);
}

/* Returns NULL if there is no such database. The route is valid as long as the
   catalog is referenced. */
const struct database_route *
catalog_route(const struct catalog *c, const char *database)
{
    return g_hash_table_lookup(c->routes, database);
}
