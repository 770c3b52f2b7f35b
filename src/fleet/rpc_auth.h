#ifndef FLEET_RPC_AUTH_H
#define FLEET_RPC_AUTH_H

#include "base/sview.h"
#include "fleet/rpc.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Shared keys, message authentication codes (HMAC-SHA256, called signatures
   here) and the store of nonces that detects replayed calls. */

#define RPC_KEYS_MAX 2
#define RPC_KEY_MIN_BYTES 32
#define RPC_KEY_MAX_BYTES 256
/* Each server process has a random instance id, see rpc_auth_sign. */
#define RPC_INSTANCE_BYTES 16

struct rpc_keys;

struct rpc_keys *rpc_keys_create(void);
void rpc_keys_destroy(struct rpc_keys *k);
bool rpc_keys_set(struct rpc_keys *k, const struct sview *keys, size_t n);
bool rpc_keys_load(struct rpc_keys *k, const char *path, char **error);

/* The parts of a message that its signature covers. */
struct rpc_signed {
    bool reply;
    uint32_t xid;
    uint32_t program;
    uint32_t version;
    uint32_t procedure;
    uint32_t accept_stat; /* replies only */
    uint64_t sent_ms;     /* wall clock; calls only */
    uint8_t nonce[RPC_NONCE_BYTES];
    uint8_t instance[RPC_INSTANCE_BYTES];
    struct sview body;
};

void rpc_auth_random(uint8_t *p, size_t n);
bool rpc_auth_sign(const struct rpc_keys *k, const struct rpc_signed *msg,
                   int key, uint8_t mac[RPC_MAC_BYTES]);
int rpc_auth_verify(const struct rpc_keys *k, const struct rpc_signed *msg,
                    const uint8_t mac[RPC_MAC_BYTES]);
int rpc_auth_verify_truncated(const struct rpc_keys *k,
                              const struct rpc_signed *msg, const uint8_t *mac,
                              size_t mac_bytes);

struct rpc_nonces;

struct rpc_nonces *rpc_nonces_create(size_t max_entries);
void rpc_nonces_destroy(struct rpc_nonces *s);
enum rpc_nonce_result {
    RPC_NONCE_NEW,
    RPC_NONCE_SEEN,
    RPC_NONCE_FULL,
};
enum rpc_nonce_result rpc_nonces_add(struct rpc_nonces *s, uint64_t now_ms,
                                     const uint8_t nonce[RPC_NONCE_BYTES]);

#endif
