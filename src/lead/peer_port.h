#ifndef LEAD_PEER_PORT_H
#define LEAD_PEER_PORT_H

#include "fleet/rpc_auth.h"
#include "lead/agreement.h"

#include <ev.h>

/* The datagram socket over which proxies exchange notes, in XDR, each followed
   by its HMAC under the key that they share. */
struct peer_port;

/* host is where the note came from. */
typedef void (*peer_port_fn)(void *ctx, const struct agreement_note *n,
                             const char *host);

struct peer_port *peer_port_create(struct ev_loop *loop, const char *host,
                                   uint16_t port, const struct rpc_keys *keys,
                                   peer_port_fn received, void *ctx,
                                   char **error);
void peer_port_destroy(struct peer_port *p);
void peer_port_send(struct peer_port *p, const char *host, uint16_t port,
                    const struct agreement_note *n);

#endif
