#ifndef FLEET_RPC_H
#define FLEET_RPC_H

#include <stdint.h>

/* Shared types of the ONC RPC (RFC 5531) transport between proxies and from
   operators. Records are at most 64 KB, so that one peer cannot make the
   daemon take much memory. */
#define RPC_RECORD_MAX_BYTES 65536U
/* Eight random bytes keep the control traffic of five proxies under 1 KB a
   second each; a repeat among the nonces that are kept is refused, and with
   2^18 of them has a chance of 2^-46 a call. */
#define RPC_NONCE_BYTES 8
#define RPC_MAC_BYTES 32
/* A call is refused when its send time differs by more than this from the
   server's wall clock. It bounds the memory for nonces and is far above the
   clock difference of VMs that run a time service. */
#define RPC_TIME_WINDOW_MS 30000UL
/* Wire bytes of a call and of an answer without their bodies: record mark,
   header, credential and verifier. */
#define RPC_CALL_OVERHEAD_BYTES 92
#define RPC_REPLY_OVERHEAD_BYTES 60

/* Casts a generated codec to the general type of libtirpc. */
#define RPC_XDR(proc) ((xdrproc_t)(void (*)(void))(proc))

/* How a call ended. Only RPC_STATUS_NOT_SENT says that the server cannot have
   run the call. */
enum rpc_status {
    RPC_STATUS_OK,
    RPC_STATUS_NOT_SENT,    /* no connection within the time; never sent */
    RPC_STATUS_TIMEOUT,     /* sent, no answer in time */
    RPC_STATUS_LOST,        /* sent, then the connection broke */
    RPC_STATUS_DENIED,      /* the peer refused; this answer is unsigned */
    RPC_STATUS_BAD_REPLY,   /* answer malformed or with a wrong signature */
    RPC_STATUS_UNAVAILABLE, /* unknown program, version or procedure */
    RPC_STATUS_BAD_ARGS,    /* the server could not decode the arguments */
    RPC_STATUS_FAILED,      /* the server's handler failed */
    RPC_STATUS_TOO_LARGE,   /* arguments do not fit one record */
    RPC_STATUS_BUSY,        /* too many calls wait for this peer */
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
