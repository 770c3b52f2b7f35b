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

/* Sets this proxy's place among the registered ones, which are sorted by name.
   The list may lack this proxy while it starts. */
static void
find_place(const struct node *n, struct home_place *place)
{
    int rank = 0;

    home_place_add(place, n->failure_domain);
    for (guint i = 0; i < n->peers->len; i++) {
        const struct node_peer *p =
            &g_array_index(n->peers, struct node_peer, i);
        const int order = strcmp(p->name, n->name);
        if (order != 0) {
            home_place_add(place, p->failure_domain);
        }
        rank += order < 0 && strcmp(p->failure_domain, n->failure_domain) == 0;
    }
    home_place_set_own(place, n->failure_domain, rank);
}

/* Sets how many connections to each member this proxy may open. Called when
   the configuration or the number of proxies changes, and at the end of the
   startup phase. */
void
node_update_shares(struct node *n)
{
    const int64_t age_ms = clock_boottime_ms() - n->started_at;
    const bool starting = age_ms < NODE_STARTUP_MS;
    struct fleet_share share = {
        .proxies = agreement_peer_count(n->agreement) + 1,
        .starting = starting,
        .recent_start = age_ms < NODE_DEAD_CONNECTIONS_MS,
        .accounts = n->catalog->has_accounts,
    };
    GHashTableIter i;
    void *name;
    void *service;

    find_place(n, &share.place);
    n->shares_positions = false;
    g_hash_table_iter_init(&i, n->services);
    while (g_hash_table_iter_next(&i, &name, &service)) {
        const struct service_limits *l =
            g_hash_table_lookup(n->catalog->services, name);
        if (l != NULL) {
            share.max_connections = l->max_connections;
            const struct connection_limits limits =
                connection_limits_in_fleet(&share);
            service_set_connection_limits(service, &limits);
            n->shares_positions = n->shares_positions || limits.max_homes > 0;
            service_set_refreshes_position(
                service, limits.max_homes > 0 &&
                             agreement_is_witness(n->agreement, n->name));
        }
    }
    n->starting = starting;
    n->recent_start = share.recent_start;
}

/* Called with the operator's configuration from the store; c is NULL if the
   store holds none. */
void
node_set_catalog(struct node *n, struct catalog *c)
{
    n->catalog_from_store = true;
    n->store_catalog_version = c != NULL ? c->version : 0;
    if (c != NULL) {
        node_apply_catalog(n, c, "store");
    }
}

/* Returns true if c is to replace the present configuration. A peer of an
   earlier build hands out the same version without its accounts. */
static bool
is_newer(const struct catalog *c, const struct catalog *present)
{
    return c->version > present->version ||
           (c->version == present->version && c->has_accounts &&
            !present->has_accounts);
}

/* Applies a version of the operator's configuration if it is newer than the
   present one. source is "store" or "peer". */
void
node_apply_catalog(struct node *n, struct catalog *c, const char *source)
{
    if (!is_newer(c, n->catalog)) {
        return;
    }
    if (strcmp(source, "peer") == 0 && n->catalog->has_accounts &&
        !c->has_accounts) {
        /* A peer of an earlier build drops the accounts, and the keys would
           not be checked. If the operator has removed them, the store says
           so. */
        event_log(EVENT_STATE, "copy_without_accounts", "version=%llu",
                  (unsigned long long)c->version);
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
    catalog_evidence_add_version(&n->evidence, c->version);
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
    relay_configuration_changed(n->relay);
}
