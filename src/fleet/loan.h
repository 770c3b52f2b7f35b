#ifndef FLEET_LOAN_H
#define FLEET_LOAN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* Lending of a database's surplus connections and batch permits between
   proxies. The proxy that owns the database is the lender; each proxy has a
   holder that borrows. Both are state machines without I/O; the RPC layer
   transports the structs below. */

#define LOAN_MAX_MEMBERS 9
#define LOAN_MAX_PROXIES 64

#define LOAN_LEASE_MS 2000
#define LOAN_BATCH_LEASE_MS 30000
/* Safety margin for message delays and differing clocks: the lender lets a
   lease end this much later than its length says, the holder this much
   earlier. */
#define LOAN_MARGIN_MS 500
/* Lent connections are opened with this idle_session_timeout, and a statement
   on one may run until LOAN_STATEMENT_GRACE_MS after the holder's end of the
   lease. The holder's and the lender's ends of a lease are twice
   LOAN_MARGIN_MS apart, so a connection whose holder is paused has to be
   closed within 1000 ms of its last use. The two timeouts take 850 ms; 150 ms
   remain for the network. */
#define LOAN_IDLE_SESSION_MS 400
#define LOAN_STATEMENT_GRACE_MS 450
/* A proxy's confirmation of the lender is valid for this long from the time at
   which the lender asked for it. Of each two proxies, one calls the other
   every 500 ms, so the called one's confirmation may be two intervals old. */
#define LOAN_CONFIRM_MS 2000

/* wanted is the total for this member, including what is already held. */
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

/* kept is what the sender still holds on this member; it has closed the
   rest. */
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
    int cap;     /* connections of the database on all members together */
    int floor;   /* guaranteed connections per proxy and member */
    int proxies; /* number of configured ones; ids are 0 to proxies - 1 */
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
    /* The callbacks may call loan_holder_set_demand and loan_holder_usable. */
    void (*send_request)(void *ctx, const struct loan_request *request);
    void (*send_return)(void *ctx, const struct loan_return *returned);
    /* limit is the new number of lent connections. The callback has to close
       idle connections above it at once. */
    void (*limit_changed)(void *ctx, int member, bool batch, int limit);
};

struct loan_holder;

struct loan_holder *loan_holder_create(const struct loan_holder_ops *ops,
                                       void *ctx, int database, int self,
                                       int member_count, uint64_t first_id);
void loan_holder_destroy(struct loan_holder *h);
void loan_holder_set_demand(struct loan_holder *h, clock_ms now, int member,
                            bool batch, int waiting, int in_use);
bool loan_holder_on_grant(struct loan_holder *h, clock_ms now,
                          const struct loan_grant *grant);
int loan_holder_usable(const struct loan_holder *h, clock_ms now, int member,
                       bool batch);
clock_ms loan_holder_lease_end(const struct loan_holder *h, int member,
                               bool batch);
clock_ms loan_holder_tick(struct loan_holder *h, clock_ms now);
void loan_holder_return_all(struct loan_holder *h, clock_ms now);

/* For each invariant, the tests build the lender and the holder with the rule
   that ensures it left out (docs/invariants-admission.md) and expect a
   violation. 0 leaves out nothing. */
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
