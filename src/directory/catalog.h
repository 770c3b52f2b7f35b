#ifndef DIRECTORY_CATALOG_H
#define DIRECTORY_CATALOG_H

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What a read through a database name may miss. */
enum freshness {
    FRESHNESS_PRIMARY,    /* no acknowledged commit */
    FRESHNESS_BOUNDED,    /* commits younger than the staleness bound */
    FRESHNESS_OWN_WRITES, /* as bounded, but none of the session's own */
};

/* How callers of one database name are served. */
struct database_route {
    char *database;
    char *service;
    enum freshness freshness;
    int64_t max_staleness_ms;
    int64_t statement_timeout_ms;
    int64_t target_ms; /* latency objective of a whole operation */
    int priority;      /* 0 is the most urgent */
};

struct service_limits {
    char *service;
    int max_connections; /* to one member, from all proxies together */
    int sync_replicas;
};

/* One version of the operator's configuration; immutable and counted. */
struct catalog {
    uint64_t version;
    GHashTable *routes;   /* database name -> struct database_route */
    GHashTable *services; /* service name -> struct service_limits */
    int64_t transaction_idle_ms;
    gatomicrefcount references;
};

struct catalog *catalog_create(uint64_t version);
void catalog_add_route(struct catalog *c, struct database_route *r);
void catalog_add_service(struct catalog *c, struct service_limits *s);
struct catalog *catalog_ref(struct catalog *c);
void catalog_unref(struct catalog *c);
const struct database_route *catalog_route(const struct catalog *c,
                                           const char *database);

#endif
