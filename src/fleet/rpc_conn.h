#ifndef FLEET_RPC_CONN_H
#define FLEET_RPC_CONN_H

#include "base/sview.h"
#include "fleet/rpc.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

/* A non-blocking TCP connection that transports records, used by server and
   client. */
struct rpc_conn;

/* Why a connection ended. */
enum rpc_conn_end {
    RPC_CONN_CLOSED,
    RPC_CONN_OVERSIZED,
    RPC_CONN_MALFORMED,
    RPC_CONN_STALLED,
};

struct rpc_conn_ops {
    /* Called for each complete record, which is valid until the callback
       returns. */
    void (*on_record)(void *ctx, struct sview record);
    /* Called once when the connection ends, unless the owner destroyed it. */
    void (*on_end)(void *ctx, enum rpc_conn_end why);
    /* Called when all output has been written; may be NULL. */
    void (*on_drained)(void *ctx);
};

struct rpc_conn *rpc_conn_create(struct ev_loop *loop, int fd,
                                 const struct rpc_conn_ops *ops, void *ctx,
                                 ev_tstamp stall_s);
void rpc_conn_destroy(struct rpc_conn *c);
GByteArray *rpc_conn_output(struct rpc_conn *c);
size_t rpc_conn_pending(const struct rpc_conn *c);
void rpc_conn_flush(struct rpc_conn *c);
void rpc_conn_pause(struct rpc_conn *c, bool paused);
void rpc_conn_set_socket_options(int fd);

#endif
