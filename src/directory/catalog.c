#include "directory/catalog.h"

/* Frees a route. */
static void
route_free(void *p)
{
    struct database_route *r = p;

    g_free(r->database);
    g_free(r->service);
    g_free(r);
}

/* Frees a service's limits. */
static void
service_free(void *p)
{
    struct service_limits *s = p;

    g_free(s->service);
    g_free(s);
}

/* Creates an empty catalog with one reference. */
struct catalog *
catalog_create(uint64_t version)
{
    struct catalog *c = g_new0(struct catalog, 1);

    c->version = version;
    c->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, route_free);
    c->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
    g_atomic_ref_count_init(&c->references);
    return c;
}

/* Adds a route and takes it over. */
void
catalog_add_route(struct catalog *c, struct database_route *r)
{
    g_hash_table_replace(c->routes, r->database, r);
}

/* Adds a service and takes it over. */
void
catalog_add_service(struct catalog *c, struct service_limits *s)
{
    g_hash_table_replace(c->services, s->service, s);
}

/* Takes a reference. */
struct catalog *
catalog_ref(struct catalog *c)
{
    g_atomic_ref_count_inc(&c->references);
    return c;
}

/* Drops a reference; NULL is allowed. */
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

/* Returns the route of a database name, or NULL. */
const struct database_route *
catalog_route(const struct catalog *c, const char *database)
{
    return g_hash_table_lookup(c->routes, database);
}
