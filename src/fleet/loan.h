#ifndef FLEET_LOAN_H
#define FLEET_LOAN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* Lending of a database's surplus connections and batch permits between
   proxies: a lender (the owner of the database) and a holder per proxy. Both
   are decision machines; the RPC layer carries the plain structs below. */

#define LOAN_MAX_MEMBERS 9
#define LOAN_MAX_PROXIES 64

#define LOAN_LEASE_MS 2000
#define LOAN_BATCH_LEASE_MS 30000
/* The lender counts a lease this much longer, the holder this much shorter,
   than its length. */
#define LOAN_MARGIN_MS 500
/* Lent connections are opened with this idle_session_timeout, and a statement
   on one may run LOAN_STATEMENT_GRACE_MS past the last use of the lease. The
   last use is up to LOAN_MARGIN_MS before the lease ends and the lender counts
   it LOAN_MARGIN_MS longer, so a connection whose holder is paused must go
   within 1000 ms of its last use; 150 ms of that are left for the network. */
#define LOAN_IDLE_SESSION_MS 400
#define LOAN_STATEMENT_GRACE_MS 450
/* A proxy's word on who lends counts for this long, from the time at which
   the lender asked for it. Of two proxies one calls the other every 500 ms,
   so the called one has a word that is up to two periods old. */
#define LOAN_CONFIRM_MS 2000

/* wanted is the whole number asked for on this member, not an addition. */
struct loan_request {
    int database;
    int member;
    int wanted;
    bool batch;
    uint64_t request_id;
    int sender;
};

struct loan_grant {
    uint64_t request_id;
    int granted;
    clock_ms lease_ms;
};

/* kept is what the sender still holds on this member; the rest is closed. */
struct loan_return {
    int database;
    int member;
    int kept;
    bool batch;
    uint64_t request_id;
    int sender;
};

struct lender_config {
    int database;
    int cap;     /* connections of the database, all members together */
    int floor;   /* per proxy and member */
    int proxies; /* configured; ids are 0 to proxies - 1 */
    int self;
    int members;
    int batch_permits; /* per member: slots - 1 */
};

struct lender;

struct lender *lender_create(const struct lender_config *config, clock_ms now);
void lender_destroy(struct lender *l);
void lender_set_owner(struct lender *l, clock_ms now, bool owner);
void lender_confirm(struct lender *l, clock_ms now, int proxy, clock_ms as_of);
bool lender_request(struct lender *l, clock_ms now,
                    const struct loan_request *request,
                    struct loan_grant *grant);
void lender_return(struct lender *l, clock_ms now,
                   const struct loan_return *returned);
int lender_surplus(const struct lender *l);
int lender_lent(const struct lender *l, clock_ms now);
clock_ms lender_lending_starts_at(const struct lender *l, bool batch);

struct loan_holder_ops {
    /* May call loan_holder_demand and loan_holder_usable. */
    void (*send_request)(void *ctx, const struct loan_request *request);
    void (*send_return)(void *ctx, const struct loan_return *returned);
    /* limit is the new number of lent connections; idle ones beyond it must
       be closed at once. */
    void (*limit_changed)(void *ctx, int member, bool batch, int limit);
};

struct loan_holder;

struct loan_holder *loan_holder_create(const struct loan_holder_ops *ops,
                                       void *ctx, int database, int self,
                                       int members, uint64_t first_id);
void loan_holder_destroy(struct loan_holder *h);
void loan_holder_demand(struct loan_holder *h, clock_ms now, int member,
                        bool batch, int waiting, int in_use);
bool loan_holder_answer(struct loan_holder *h, clock_ms now,
                        const struct loan_grant *grant);
int loan_holder_usable(const struct loan_holder *h, clock_ms now, int member,
                       bool batch);
clock_ms loan_holder_until(const struct loan_holder *h, int member,
                           bool batch);
clock_ms loan_holder_tick(struct loan_holder *h, clock_ms now);
void loan_holder_return_all(struct loan_holder *h, clock_ms now);

/* The tests build this file once more for each invariant with one rule left
   out (docs/invariants-admission.md). 0 is the product. */
#ifndef LOAN_BREAK
#define LOAN_BREAK 0
#endif
#define LOAN_BREAK_SEND_TIME 1
#define LOAN_BREAK_TAKEOVER 2
#define LOAN_BREAK_BOUNDS 3
#define LOAN_BREAK_OLD_ANSWER 4
#define LOAN_BREAK_PERMITS 5
#define LOAN_BREAK_FAIRNESS 6
#define LOAN_BREAK_MAJORITY 7
#define LOAN_BREAK_RETURN 8

#endif
