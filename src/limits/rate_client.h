#ifndef LIMITS_RATE_CLIENT_H
#define LIMITS_RATE_CLIENT_H

#include "base/clock.h"
#include "directory/catalog.h"
#include "limits/limit_message.h"

#include <glib.h>

/* Obtains the permits that operations of rate-limited accounts need. Each
   witness grants from its part of an account's limit; this side decides which
   witness to ask and keeps permits until they expire. All times are on the
   boot clock. */
struct rate_client;

/* A permit must be assigned to an operation within this time after its request
   was sent. */
#define RATE_PERMIT_MS 250
/* The operation must be sent to a member within this time after the request
   for its permit was sent: it may wait for a connection meanwhile. */
#define RATE_RUN_MS 450
/* A witness that has not replied after this time is passed over. */
#define RATE_ASK_TIMEOUT_MS 60
/* A request that has waited for so many witnesses in vain is refused. */
#define RATE_ASKS_MAX 3
/* Further requests are refused. */
#define RATE_WAITING_MAX 4096

/* A request for one permit; embedded in the session. Unless it is withdrawn,
   exactly one of granted() and refused() is called, once, possibly before
   rate_client_acquire() returns. */
struct rate_request {
    const struct account *account; /* valid until the request is decided */
    void (*granted)(void *ctx);
    void (*refused)(void *ctx, const char *why, int64_t retry_after_ms);
    void *ctx;
    clock_ms valid_until; /* set before granted() is called: the permit must
                             not be used at this time or later */
    GList node;
    bool waiting;
    /* Of rate_client.c: the unanswered ask that includes this request, or 0,
       and how many witnesses have not replied. */
    uint64_t ask;
    int timeouts;
};

void rate_client_acquire(struct rate_client *c, struct rate_request *r);
void rate_client_withdraw(struct rate_client *c, struct rate_request *r);
void rate_client_return(struct rate_client *c, const char *account,
                        clock_ms valid_until);

/* The functions below are for the owner of the client. */

struct rate_client_config {
    const char *name; /* of this proxy */
    uint64_t incarnation;
    clock_ms (*now)(void *ctx); /* the boot clock */
    /* Sends a request; the reply may be delivered before this returns. */
    void (*send)(void *ctx, const char *witness,
                 const struct limit_request *q);
    void *ctx;
};

/* A witness to ask. */
struct rate_witness {
    const char *name;
    bool same_domain;
};

struct rate_client_counters {
    uint64_t granted;
    uint64_t refused_limited; /* no witness had a permit */
    uint64_t refused_unknown; /* no reply, or too many waiting requests */
    uint64_t expired;         /* permits that were not used */
    uint64_t returned;        /* by operations that did not run */
    uint64_t asks;            /* requests sent to witnesses */
    uint64_t replies;
    uint64_t timeouts;
};

struct rate_client *rate_client_create(const struct rate_client_config *c);
void rate_client_destroy(struct rate_client *c);
void rate_client_forget_refusals(struct rate_client *c);
void rate_client_set_witnesses(struct rate_client *c,
                               const struct rate_witness *witnesses, int n);
clock_ms rate_client_receive(struct rate_client *c,
                             const struct limit_reply *m);
void rate_client_probe(struct rate_client *c, const char *witness);
void rate_client_flush(struct rate_client *c);
void rate_client_tick(struct rate_client *c);
clock_ms rate_client_next_tick(const struct rate_client *c);
size_t rate_client_waiting(const struct rate_client *c);
int rate_client_stock(const struct rate_client *c, const char *account);
const struct rate_client_counters *
rate_client_counters(const struct rate_client *c);

#endif
