#ifndef FLEET_RPC_H
#define FLEET_RPC_H

#include <stdint.h>

/* Shared types of the ONC RPC (RFC 5531) transport that proxies and operators'
   tools use. Records are limited to 64 KB, so that a single peer cannot make
   the daemon allocate much memory. */
#define RPC_RECORD_MAX_BYTES 65536U
/* With nonces of eight bytes, the control traffic of five proxies stays under
   1 KB per second each. A call whose nonce is among the stored ones is
   refused; with 2^18 stored nonces, the chance of an accidental repeat is
   2^-46 per call. */
#define RPC_NONCE_BYTES 8
#define RPC_MAC_BYTES 32
/* A call is refused if its send time differs by more than this from the
   server's wall clock. This limits how long nonces have to be stored, and is
   far above the clock difference of VMs that run a time service. */
#define RPC_TIME_WINDOW_MS 30000UL
/* Bytes of a call and of a reply on the wire without their bodies: record
   mark, header, credential and verifier. */
#define RPC_CALL_OVERHEAD_BYTES 92
#define RPC_REPLY_OVERHEAD_BYTES 60

/* Casts a generated XDR function to libtirpc's xdrproc_t. */
#define RPC_XDR(proc) ((xdrproc_t)(void (*)(void))(proc))

/* How a call ended. Only RPC_STATUS_NOT_SENT guarantees that the server has
   not run the call. */
enum rpc_status {
    RPC_STATUS_OK,
    RPC_STATUS_NOT_SENT,    /* no connection in time; never sent */
    RPC_STATUS_TIMEOUT,     /* sent, no reply in time */
    RPC_STATUS_LOST,        /* sent, then the connection was lost */
    RPC_STATUS_DENIED,      /* denied by the peer; such a reply is unsigned */
    RPC_STATUS_BAD_REPLY,   /* reply malformed or with a wrong signature */
    RPC_STATUS_UNAVAILABLE, /* unknown program, version or procedure */
    RPC_STATUS_BAD_ARGS,    /* the server could not decode the arguments */
    RPC_STATUS_FAILED,      /* the server's handler failed */
    RPC_STATUS_TOO_LARGE,   /* the arguments do not fit into a record */
    RPC_STATUS_BUSY,        /* too many calls to this peer are in progress */
};

const char *rpc_status_name(enum rpc_status s);

/* Why the server closed a connection or refused a call. */
enum rpc_refusal {
    RPC_REFUSED_OVERSIZED,
    RPC_REFUSED_MALFORMED,
    RPC_REFUSED_UNSIGNED,
    RPC_REFUSED_SIGNATURE,
    RPC_REFUSED_TIME,
    RPC_REFUSED_REPLAY,
    RPC_REFUSED_NONCES_FULL,
    RPC_REFUSED_STALLED,
    RPC_REFUSED_CONNECTIONS,
    RPC_REFUSAL_COUNT,
};

const char *rpc_refusal_name(enum rpc_refusal r);

#endif
