#ifndef DIRECTORY_CATALOG_H
#define DIRECTORY_CATALOG_H

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Consistency of reads: which commits a read through a database name may fail
   to see. */
enum freshness {
    FRESHNESS_PRIMARY,    /* none that was acknowledged */
    FRESHNESS_BOUNDED,    /* those younger than the staleness bound */
    FRESHNESS_OWN_WRITES, /* the same, except the session's own */
};

/* Routing rules of one database name. Allocated with GLib, together with its
   strings; owned by the catalog. */
struct database_route {
    char *database;
    char *service;
    enum freshness freshness;
    int64_t max_staleness_ms;
    int64_t statement_timeout_ms;
    int64_t target_ms; /* latency target of a whole operation */
    int priority;      /* 0 is the most urgent */
};

struct service_limits {
    char *service;
    int max_connections; /* to one member, from all proxies together */
    int sync_replicas;
};

/* One version of the operator's configuration. Reference-counted, and not
   changed any more once it is shared. */
struct catalog {
    uint64_t version;
    GHashTable *routes;          /* database name -> struct database_route */
    GHashTable *services;        /* service name -> struct service_limits */
    int64_t transaction_idle_ms; /* timeout of a transaction that waits for its
                                    next statement */
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
