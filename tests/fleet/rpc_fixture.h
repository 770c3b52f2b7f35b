#ifndef TESTS_FLEET_RPC_FIXTURE_H
#define TESTS_FLEET_RPC_FIXTURE_H

#include "fleet/peer_xdr.h"
#include "fleet/rpc_client.h"
#include "fleet/rpc_codec.h"
#include "fleet/rpc_server.h"

#include <ev.h>
#include <stdbool.h>

/* A loopback address that nothing else uses, so that the port stays free while
   a server restarts. */
#define RPC_FIXTURE_HOST "127.83.17.5"

/* A server on a free loopback port whose LOAN_REQUEST grants whatever is
   requested. The functions below talk to it through a client or with raw
   bytes. */
struct rpc_fixture {
    struct ev_loop *loop;
    struct rpc_keys *keys;
    struct rpc_server *server;
    struct rpc_procedure procedures[1];
    struct rpc_call *held; /* the last call received while hold was true */
    bool hold;             /* leave calls unanswered */
    unsigned handled;      /* number of calls that reached the handler */
};

/* Outcome of a client call. */
struct rpc_outcome {
    bool done;
    enum rpc_status status;
    unsigned granted;
};

extern const struct rpc_procedure_type loan_procedure_type;

void rpc_fixture_start(struct rpc_fixture *f,
                       const struct rpc_server_limits *limits);
void rpc_fixture_stop(struct rpc_fixture *f);
struct rpc_keys *rpc_fixture_keys(const char *first, const char *second);
struct rpc_client *rpc_fixture_client(struct rpc_fixture *f,
                                      const struct rpc_keys *keys);
void rpc_fixture_request_loan(struct rpc_client *c, unsigned wanted,
                              unsigned timeout_ms, struct rpc_outcome *out);
void rpc_fixture_run_until(struct rpc_fixture *f, bool (*until)(void *),
                           void *ctx);
void rpc_fixture_wait(struct rpc_fixture *f, struct rpc_outcome *out);

int rpc_fixture_connect(struct rpc_fixture *f);
void rpc_fixture_send(int fd, const void *p, size_t n);
void rpc_fixture_wait_closed(struct rpc_fixture *f, int fd);
GByteArray *rpc_fixture_call(struct rpc_fixture *f, uint64_t sent_ms,
                             bool handshake, const uint8_t *instance);
void rpc_fixture_get_instance(struct rpc_fixture *f, int fd,
                              uint8_t *instance);

#endif
