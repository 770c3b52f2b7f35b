#ifndef FLEET_RPC_CODEC_H
#define FLEET_RPC_CODEC_H

#include "base/sview.h"
#include "fleet/rpc.h"
#include "fleet/rpc_auth.h"

#include <glib.h>
#include <rpc/rpc.h>
#include <stdbool.h>

/* Encodes and decodes call and reply headers with libtirpc, and splits the
   byte stream into records (record marking, RFC 5531, section 11). */

enum rpc_decoded {
    RPC_DECODED,
    RPC_DECODE_MALFORMED,
    RPC_DECODE_UNSIGNED,
};

/* A received call; body points into the record. */
struct rpc_call_head {
    struct rpc_signed msg;
    uint8_t mac[RPC_MAC_BYTES];
};

/* A received reply; body points into the record. */
struct rpc_reply_head {
    uint32_t xid;
    bool denied;
    uint32_t accept_stat;
    uint8_t mac[RPC_MAC_BYTES];
    struct sview body;
};

enum rpc_decoded rpc_decode_call(struct sview record,
                                 struct rpc_call_head *out);
enum rpc_decoded rpc_decode_reply(struct sview record,
                                  struct rpc_reply_head *out);
bool rpc_encode_call(GByteArray *out, const struct rpc_signed *msg,
                     const uint8_t mac[RPC_MAC_BYTES]);
bool rpc_encode_reply(GByteArray *out, const struct rpc_signed *msg,
                      const uint8_t mac[RPC_MAC_BYTES]);
void rpc_encode_denied(GByteArray *out, uint32_t xid);
bool rpc_encode_body(GByteArray *out, xdrproc_t proc, const void *value);
bool rpc_decode_body(struct sview body, xdrproc_t proc, void *value);

/* Assembles a record from its fragments. */
struct rpc_reader {
    GByteArray *record;
    uint8_t mark[4];
    unsigned mark_len;
    uint32_t fragment_left; /* missing bytes of the current fragment */
    bool last_fragment;
};

enum rpc_read_status {
    RPC_READ_MORE,
    RPC_READ_RECORD,
    RPC_READ_OVERSIZED,
    RPC_READ_MALFORMED,
};

void rpc_reader_init(struct rpc_reader *r);
void rpc_reader_clear(struct rpc_reader *r);
void rpc_reader_reset(struct rpc_reader *r);
bool rpc_reader_in_record(const struct rpc_reader *r);
enum rpc_read_status rpc_reader_feed(struct rpc_reader *r, struct sview *in);

#endif
