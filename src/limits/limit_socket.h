#ifndef LIMITS_LIMIT_SOCKET_H
#define LIMITS_LIMIT_SOCKET_H

#include "fleet/rpc_auth.h"
#include "limits/limit_message.h"

#include <ev.h>

/* The UDP socket on which proxies request permits from witnesses. A datagram
   is an XDR encoded message followed by its HMAC under the key that all
   proxies share. */
struct limit_socket;

/* bytes is the size of the datagram. */
struct limit_socket_events {
    void (*request)(void *ctx, const struct limit_request *q, size_t bytes);
    void (*reply)(void *ctx, const struct limit_reply *r, size_t bytes);
};

struct limit_socket *
limit_socket_create(struct ev_loop *loop, const char *host, uint16_t port,
                    const struct rpc_keys *keys,
                    const struct limit_socket_events *events, void *ctx,
                    char **error);
void limit_socket_destroy(struct limit_socket *p);
size_t limit_socket_send_request(struct limit_socket *p, const char *host,
                                 uint16_t port, const struct limit_request *q);
size_t limit_socket_send_reply(struct limit_socket *p, const char *host,
                               uint16_t port, const struct limit_reply *r);

/* What a datagram without its signature is. */
enum limit_content {
    LIMIT_CONTENT_REQUEST,
    LIMIT_CONTENT_REPLY,
    LIMIT_CONTENT_OTHER_VERSION,
    LIMIT_CONTENT_MALFORMED,
};

enum limit_content limit_message_decode(char *bytes, size_t size,
                                        struct limit_request *q,
                                        struct limit_reply *r);

#endif
