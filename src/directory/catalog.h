#ifndef DIRECTORY_CATALOG_H
#define DIRECTORY_CATALOG_H

#include "base/clock.h"
#include "base/sview.h"

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
    bool is_public;    /* callers need no API key */
};

/* A client account. A caller's API key identifies it. Owned by the catalog. */
struct account {
    char *name;
    int priority; /* 0 is the most urgent */
    /* Limit of its operations, over all proxies together, in thousandths. */
    int64_t rate_milli_per_s;
    int64_t burst_milli;
};

/* First bytes of the SHA-256 of an API key. The key itself is not kept. */
#define ACCOUNT_KEY_DIGEST_BYTES 16
struct account_key {
    uint8_t digest[ACCOUNT_KEY_DIGEST_BYTES];
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
    bool has_accounts;           /* otherwise no API keys are checked */
    GHashTable *accounts;        /* account name -> struct account */
    GHashTable *keys;            /* struct account_key -> struct account */
    int64_t transaction_idle_ms; /* timeout of a transaction that waits for its
                                    next statement */
    gatomicrefcount references;
};

struct catalog *catalog_create(uint64_t version);
void catalog_add_route(struct catalog *c, struct database_route *r);
void catalog_add_service(struct catalog *c, struct service_limits *s);
bool catalog_add_account(struct catalog *c, struct account *a);
bool catalog_add_key(struct catalog *c, const struct account_key *key,
                     const char *account);
struct account_key account_key_of(struct sview plain);
const struct account *catalog_account_of_key(const struct catalog *c,
                                             const struct account_key *key);
struct catalog *catalog_ref(struct catalog *c);
void catalog_unref(struct catalog *c);
const struct database_route *catalog_route(const struct catalog *c,
                                           const char *database);

#endif
