#include "fleet/peers_internal.h"

#include <string.h>

#define PEERS_LOAN_TIMEOUT_MS 500
#define PEERS_TICKET_TIMEOUT_MS 2000
#define PEERS_NOTIFY_TIMEOUT_MS 1000

static const struct rpc_procedure_type loan_request_call =
    PROCEDURE_TYPE(PEER_LOAN_REQUEST, peer_loan_request, peer_loan_answer);
static const struct rpc_procedure_type loan_return_call =
    PROCEDURE_TYPE(PEER_LOAN_RETURN, peer_loan_return, peer_ack);
static const struct rpc_procedure_type ticket_push_call =
    PROCEDURE_TYPE(PEER_TICKET_PUSH, peer_ticket, peer_ack);
static const struct rpc_procedure_type ticket_pull_call =
    PROCEDURE_TYPE(PEER_TICKET_PULL, peer_ticket_pull, peer_ack);
static const struct rpc_procedure_type switching_call =
    PROCEDURE_TYPE(PEER_SWITCHING, peer_switching, peer_ack);
static const struct rpc_procedure_type cancel_call =
    PROCEDURE_TYPE(PEER_CANCEL_FORWARD, peer_cancel, peer_ack);

/* Sends a loan request to a lender. done is called from the event loop.
   Returns false, and never calls done, if the proxy is unknown. */
bool
peers_send_loan_request(struct peers *p, uint32_t to,
                        const peer_loan_request *request, rpc_done done,
                        void *ctx)
{
    struct peer *peer = peers_find(p, to);

    if (peer == NULL) {
        return false;
    }
    rpc_client_call(peer->client, &loan_request_call, request,
                    PEERS_LOAN_TIMEOUT_MS, done, ctx);
    return true;
}

/* Ignores the outcome of a call. What was lost is repeated by the module that
   sent it, if it is still needed. */
static void
ignore_answer(void *ctx, enum rpc_status status, void *result)
{
    (void)ctx;
    (void)status;
    (void)result;
}

/* Tells a lender what this proxy still holds. */
void
peers_send_loan_return(struct peers *p, uint32_t to,
                       const peer_loan_return *returned)
{
    struct peer *peer = peers_find(p, to);

    if (peer != NULL) {
        rpc_client_call(peer->client, &loan_return_call, returned,
                        PEERS_LOAN_TIMEOUT_MS, ignore_answer, NULL);
    }
}

void
peers_send_ticket(struct peers *p, uint32_t to, const peer_ticket *t)
{
    struct peer *peer = peers_find(p, to);

    if (peer != NULL) {
        rpc_client_call(peer->client, &ticket_push_call, t,
                        PEERS_TICKET_TIMEOUT_MS, ignore_answer, NULL);
    }
}

/* Requests the tickets that this proxy lacks from a peer. */
void
peers_send_ticket_pull(struct peers *p, uint32_t to,
                       const peer_ticket_pull *pull)
{
    struct peer *peer = peers_find(p, to);

    if (peer != NULL) {
        rpc_client_call(peer->client, &ticket_pull_call, pull,
                        PEERS_TICKET_TIMEOUT_MS, ignore_answer, NULL);
    }
}

/* Tells every peer that this proxy starts a planned switch of a database's
   primary. */
void
peers_send_switching(struct peers *p, const char *database)
{
    const peer_switching s = {.database = (char *)database};

    for (int i = 0; i < p->count; i++) {
        rpc_client_call(p->list[i].client, &switching_call, &s,
                        PEERS_NOTIFY_TIMEOUT_MS, ignore_answer, NULL);
    }
}

/* Asks every peer to cancel what one of its callers runs, since the load
   balancer may route a cancel request to any proxy. */
void
peers_send_cancel(struct peers *p, uint32_t pid, uint32_t secret)
{
    char secret_bytes[sizeof(secret)];
    const peer_cancel c = {
        .process_id = pid,
        .secret_bytes = {.secret_bytes_len = sizeof(secret_bytes),
                         .secret_bytes_val = secret_bytes}};

    memcpy(secret_bytes, &secret, sizeof(secret_bytes));
    for (int i = 0; i < p->count; i++) {
        rpc_client_call(p->list[i].client, &cancel_call, &c,
                        PEERS_NOTIFY_TIMEOUT_MS, ignore_answer, NULL);
    }
}
