#ifndef RELAY_SESSION_H
#define RELAY_SESSION_H

#include "directory/catalog.h"
#include "limits/rate_client.h"
#include "relay/service.h"

/* A caller's session: settings, prepared statements, transaction and causal
   token. The session decides where each request is executed and how the caller
   is answered. It is independent of the callers' protocol. */
struct session;

/* All sessions of this proxy and their counters. */
struct relay;

/* answered() is called once for each request, possibly before
   session_request() returns. */
struct session_events {
    void (*answered)(void *ctx, const struct answer *a);
};

struct relay_config {
    /* Returns the newest configuration; the caller takes its own reference. */
    struct catalog *(*catalog)(void *ctx);
    /* Returns NULL if there is no such service. */
    struct service *(*service)(void *ctx, const char *name);
    clock_ms (*now)(void *ctx); /* the boot clock */
    /* Returns true while the newest configuration is recent enough to rely on
       its API keys; NULL: always. */
    bool (*catalog_is_fresh)(void *ctx, clock_ms now);
    struct rate_client *rate_client; /* NULL: rate limits are not enforced */
    void *ctx;
};

struct relay_counters {
    uint64_t sessions;
    uint64_t statements;
    uint64_t succeeded;
    uint64_t retried;
    uint64_t failures[FAILURE_UNKNOWN_OUTCOME + 1];
    /* Requests refused because the configuration is not fresh, and callers
       refused at their start for an unknown key with and without a fresh
       configuration. */
    uint64_t refused_stale;
    uint64_t startups_unauthorized;
    uint64_t startups_stale;
    /* Histogram of statement times: bucket i counts times below 2^i ms, the
       last one all longer times. */
    uint64_t latency[16];
};

struct relay *relay_create(const struct relay_config *config);
void relay_destroy(struct relay *r);
void relay_tick(struct relay *r, clock_ms now);
void relay_configuration_changed(struct relay *r);
void relay_begin_shutdown(struct relay *r, clock_ms end_transactions_at,
                          clock_ms answer_all_at);
void relay_answer_all(struct relay *r, clock_ms now);
bool relay_is_answering_all(const struct relay *r, clock_ms now);
const struct relay_counters *relay_counters(const struct relay *r);

enum failure relay_check_key(struct relay *r, const struct catalog *c,
                             const struct database_route *route,
                             struct sview api_key);
bool session_key_is_valid(const struct session *s);
struct session *session_create(struct relay *r, const char *database,
                               struct sview api_key,
                               const struct session_events *events, void *ctx);
void session_end(struct session *s);
bool session_is_idle(const struct session *s);
enum transaction_state session_transaction_state(const struct session *s);
bool session_may_have_committed(const struct session *s);
void session_request(struct session *s, const struct request *r);

#endif
