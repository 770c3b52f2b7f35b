#ifndef COORDINATION_PEER_SOCKET_H
#define COORDINATION_PEER_SOCKET_H

#include "coordination/agreement.h"
#include "fleet/rpc_auth.h"

#include <ev.h>

/* The UDP socket on which proxies exchange messages. A datagram is an XDR
   encoded message followed by its HMAC under a key that all proxies share. */
struct peer_socket;

/* host is the address of the sender, bytes the size of the datagram. */
typedef void (*peer_socket_fn)(void *ctx, const struct agreement_message *m,
                               const char *host, size_t bytes);

struct peer_socket *peer_socket_create(struct ev_loop *loop, const char *host,
                                       uint16_t port,
                                       const struct rpc_keys *keys,
                                       peer_socket_fn received, void *ctx,
                                       char **error);
void peer_socket_destroy(struct peer_socket *p);
size_t peer_socket_send(struct peer_socket *p, const char *host, uint16_t port,
                        const struct agreement_message *m);

#endif
