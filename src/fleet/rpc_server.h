#ifndef FLEET_RPC_SERVER_H
#define FLEET_RPC_SERVER_H

#include "fleet/rpc.h"
#include "fleet/rpc_auth.h"

#include <ev.h>
#include <rpc/rpc.h>
#include <stdbool.h>
#include <stdint.h>

struct rpc_server;

/* A call that is not answered yet. It has to be answered exactly once, by the
   handler or later, with rpc_call_reply or rpc_call_fail, which free it. */
struct rpc_call;

/* args are the decoded arguments, which are freed when the handler returns. A
   handler must not destroy the server. */
typedef void (*rpc_handler)(void *ctx, struct rpc_call *call, void *args);

/* An entry of the dispatch table, which has to outlive the server. */
struct rpc_procedure {
    uint32_t program;
    uint32_t version;
    uint32_t procedure;
    xdrproc_t args_proc;
    size_t args_bytes; /* size of the C type */
    rpc_handler handler;
    void *ctx;
};

/* Fields that are zero get the default given in their comment. */
struct rpc_server_limits {
    unsigned max_connections; /* 1024 */
    unsigned max_calls;       /* unanswered calls per connection, 64 */
    unsigned stall_ms;        /* per record or pending output, 10000 */
    unsigned max_nonces;      /* per minute, 262144 */
};

struct rpc_server_counters {
    uint64_t connections;
    uint64_t calls;
    uint64_t refused[RPC_REFUSAL_COUNT];
    uint64_t bytes_in;
};

struct rpc_server *
rpc_server_create(struct ev_loop *loop, const char *host, uint16_t port,
                  const struct rpc_keys *keys,
                  const struct rpc_procedure *procedures, size_t n,
                  const struct rpc_server_limits *limits, char **error);
void rpc_server_destroy(struct rpc_server *s);
uint16_t rpc_server_port(const struct rpc_server *s);
const struct rpc_server_counters *
rpc_server_counters(const struct rpc_server *s);
unsigned rpc_server_open_connections(const struct rpc_server *s);

void rpc_call_reply(struct rpc_call *call, xdrproc_t proc, const void *value);
void rpc_call_fail(struct rpc_call *call);
const char *rpc_call_peer(const struct rpc_call *call);

#endif
