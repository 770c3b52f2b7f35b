#ifndef FLEET_PEERS_H
#define FLEET_PEERS_H

#include "fleet/membership.h"
#include "fleet/ownership.h"
#include "fleet/rpc_auth.h"
#include "fleet/rpc_client.h"
#include "fleet/rpc_server.h"
#include "settings/settings.h"

#include <ev.h>
#include <glib.h>

/* Communication with the other proxies. Transports the messages of membership
   over ONC RPC and passes all other messages to the callbacks in struct
   peers_ops. */
struct peers;

struct peers_ops {
    void (*loan_request)(void *ctx, const peer_loan_request *request,
                         peer_loan_answer *answer);
    void (*loan_return)(void *ctx, const peer_loan_return *returned);
    void (*ticket_push)(void *ctx, const peer_ticket *ticket);
    void (*ticket_pull)(void *ctx, const peer_ticket_pull *pull);
    void (*ticket_digest)(void *ctx, uint32_t peer, const peer_digest *d);
    bool (*cancel)(void *ctx, uint32_t pid, uint32_t secret);
    /* A peer starts a planned switch of a database's primary. */
    void (*switching)(void *ctx, const char *database);
    /* A peer reported the same view, and so the same owners, after it had
       received a message that this proxy sent at as_of. */
    void (*owners_confirmed)(void *ctx, uint32_t peer, clock_ms as_of);
    void (*member_changed)(void *ctx, const struct member_info *m,
                           enum member_phase before);
};

struct peers *peers_create(struct ev_loop *loop, const struct settings *s,
                           const struct rpc_keys *keys,
                           const struct peers_ops *ops, void *ctx);
void peers_destroy(struct peers *p);
void peers_append_procedures(struct peers *p, GArray *procedures);
struct membership *peers_membership(struct peers *p);
struct ownership *peers_ownership(struct peers *p);
void peers_leave(struct peers *p);
uint64_t peers_bytes_sent(const struct peers *p);

bool peers_send_loan_request(struct peers *p, uint32_t to,
                             const peer_loan_request *request, rpc_done done,
                             void *ctx);
void peers_send_loan_return(struct peers *p, uint32_t to,
                            const peer_loan_return *returned);
void peers_send_ticket(struct peers *p, uint32_t to, const peer_ticket *t);
void peers_send_ticket_pull(struct peers *p, uint32_t to,
                            const peer_ticket_pull *pull);
void peers_send_switching(struct peers *p, const char *database);
void peers_send_cancel(struct peers *p, uint32_t pid, uint32_t secret);

#endif
