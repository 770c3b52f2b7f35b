#ifndef FLEET_RPC_CLIENT_H
#define FLEET_RPC_CLIENT_H

#include "base/rng.h"
#include "fleet/rpc.h"
#include "fleet/rpc_auth.h"

#include <ev.h>
#include <rpc/rpc.h>
#include <stdbool.h>
#include <stdint.h>

/* Client for one peer. Its connection is opened with the first call and closed
   when idle. */
struct rpc_client;

/* Called when a call has ended, never from within rpc_client_call. result is
   the decoded reply if status is RPC_STATUS_OK, else NULL; it is freed when
   the callback returns. The callback may make calls but must not destroy the
   client. */
typedef void (*rpc_done)(void *ctx, enum rpc_status status, void *result);

/* A remote procedure and the types of its arguments and result. */
struct rpc_procedure_type {
    uint32_t program;
    uint32_t version;
    uint32_t procedure;
    xdrproc_t args_proc;
    xdrproc_t result_proc;
    size_t result_bytes; /* size of the C type */
};

/* Fields that are zero get the default given in their comment. */
struct rpc_client_limits {
    unsigned connect_ms;     /* limit for connecting and handshake, 1000 */
    unsigned backoff_min_ms; /* 100 */
    unsigned backoff_max_ms; /* 5000 */
    unsigned idle_ms;        /* time to close an unused connection, 30000 */
    unsigned max_calls;      /* limit of waiting and sent calls, 256 */
    bool fail_fast;          /* a failed connection ends the waiting calls */
};

struct rpc_client_counters {
    uint64_t connects;
    uint64_t connect_failures;
    uint64_t calls;
    uint64_t ended[RPC_STATUS_BUSY + 1];
};

struct rpc_client *rpc_client_create(struct ev_loop *loop, const char *host,
                                     uint16_t port,
                                     const struct rpc_keys *keys,
                                     uint64_t seed,
                                     const struct rpc_client_limits *limits);
void rpc_client_destroy(struct rpc_client *c);
void rpc_client_call(struct rpc_client *c,
                     const struct rpc_procedure_type *what, const void *args,
                     unsigned timeout_ms, rpc_done done, void *ctx);
const struct rpc_client_counters *
rpc_client_counters(const struct rpc_client *c);
const char *rpc_client_peer(const struct rpc_client *c);

#endif
