#ifndef UPSTREAM_LENDING_H
#define UPSTREAM_LENDING_H

#include "fleet/loan.h"
#include "fleet/peers.h"
#include "upstream/group.h"

/* Lending of one database's surplus connections and batch permits between the
   proxies. Transports the messages between lender and holders (fleet/loan.h),
   which decide, and sets the group's limits to what this proxy holds. */
struct lending;

struct lending *lending_create(struct ev_loop *loop, const struct settings *s,
                               const struct settings_database *database,
                               int database_index, struct group *group,
                               struct peers *peers);
void lending_destroy(struct lending *l);
void lending_serve_request(struct lending *l, const peer_loan_request *in,
                           peer_loan_answer *answer);
void lending_serve_return(struct lending *l, const peer_loan_return *in);
void lending_confirm_lender(struct lending *l, uint32_t peer, clock_ms as_of);
void lending_return_all(struct lending *l);

#endif
