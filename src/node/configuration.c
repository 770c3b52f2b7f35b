#include "node/node_internal.h"

#include "base/event_log.h"
#include "relay/connection_share.h"

#include <string.h>
#include <xxhash.h>

/* Returns true while this proxy may rely on the view; called by services. */
static bool
lease_valid(void *ctx, const char *service, clock_ms now)
{
    const struct node *n = ctx;

    (void)service;
    return agreement_lease_is_valid(n->agreement, now);
}

/* Sets how many connections to each member this proxy may open. Called when
   the configuration or the number of proxies changes, and at the end of the
   startup phase. */
void
node_update_shares(struct node *n)
{
    const int proxies = agreement_peer_count(n->agreement) + 1;
    const bool starting =
        clock_boottime_ms() - n->started_at < NODE_STARTUP_MS;
    GHashTableIter i;
    void *name;
    void *service;

    g_hash_table_iter_init(&i, n->services);
    while (g_hash_table_iter_next(&i, &name, &service)) {
        const struct service_limits *l =
            g_hash_table_lookup(n->catalog->services, name);
        if (l != NULL) {
            const struct connection_limits limits =
                connection_limits(l->max_connections, proxies, starting);
            service_set_connection_limits(service, &limits);
        }
    }
    n->starting = starting;
}

/* Called with the operator's configuration from the store; c is NULL if the
   store holds none. */
void
node_set_catalog(struct node *n, struct catalog *c)
{
    n->catalog_from_store = true;
    if (c != NULL) {
        node_apply_catalog(n, c, "store");
    }
}

/* Called whenever the store has answered a request for the configuration or
   its changes: node_set_catalog() was called with all changes until now. */
void
node_set_catalog_checked(struct node *n)
{
    n->catalog_checked_at = clock_boottime_ms();
}

/* Returns how long ago the store last answered for the configuration, counted
   from the start if it has not yet. */
int64_t
node_catalog_age_ms(const struct node *n)
{
    return clock_boottime_ms() - MAX(n->catalog_checked_at, n->started_at);
}

/* Applies a version of the operator's configuration if it is newer than the
   present one. source is "store" or "peer". */
void
node_apply_catalog(struct node *n, struct catalog *c, const char *source)
{
    if (n->catalog->version >= c->version) {
        return;
    }
    event_log(EVENT_STATE, "configuration",
              "version=%llu before=%llu routes=%u services=%u source=%s",
              (unsigned long long)c->version,
              (unsigned long long)n->catalog->version,
              g_hash_table_size(c->routes), g_hash_table_size(c->services),
              source);
    catalog_unref(n->catalog);
    n->catalog = catalog_ref(c);
    GHashTableIter i;
    void *name;
    g_hash_table_iter_init(&i, c->services);
    while (g_hash_table_iter_next(&i, &name, NULL)) {
        if (!g_hash_table_contains(n->services, name)) {
            const struct service_config config = {
                .name = name,
                .failure_domain = n->failure_domain,
                .codec = n->platform.codec,
                .lease_valid = lease_valid,
                .now = node_now,
                .ctx = n,
                .seed = XXH64(n->name, strlen(n->name), n->incarnation),
            };
            g_hash_table_insert(n->services, g_strdup(name),
                                service_create(&config));
        }
    }
    node_limits_set_catalog(n);
    node_update_shares(n);
    node_update_members(n);
    node_apply_view(n);
}
