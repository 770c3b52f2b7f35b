#ifndef FLEET_PEERS_INTERNAL_H
#define FLEET_PEERS_INTERNAL_H

#include "fleet/peer_xdr.h"
#include "fleet/peers.h"

/* Shared by peers.c and peers_send.c only. */

/* One other proxy. */
struct peer {
    struct peers *peers;
    uint32_t id;
    uint32_t timestamp; /* the latest one that it sent, 0 for none */
    bool name_sent;     /* this proxy's name was sent to it */
    struct rpc_client *client;
};

struct peers {
    struct ev_loop *loop;
    const struct settings *settings;
    struct membership *membership;
    struct ownership *ownership;
    struct peer *list;
    int count;
    GArray *probes; /* struct waiting_probe */
    ev_timer tick;
    const struct peers_ops *ops;
    void *ctx;
};

/* Initializer of a struct rpc_procedure_type. */
#define PROCEDURE_TYPE(number, args, result)                                  \
    {                                                                         \
        .program = PEER_PROGRAM, .version = PEER_VERSION,                     \
        .procedure = (number), .args_proc = RPC_XDR(xdr_##args),              \
        .result_proc = RPC_XDR(xdr_##result), .result_bytes = sizeof(result)  \
    }

struct peer *peers_find(struct peers *p, uint32_t id);

#endif
