#ifndef LIMITS_RATE_CLIENT_H
#define LIMITS_RATE_CLIENT_H

#include "directory/catalog.h"

#include <glib.h>

/* Obtains the permits that operations of rate-limited accounts need. Each
   witness grants from its part of an account's limit; this side decides which
   witness to ask and keeps permits until they expire. All times are on the
   boot clock. */
struct rate_client;

/* A request for one permit; embedded in the session. Unless it is withdrawn,
   exactly one of granted() and refused() is called, once, possibly before
   rate_client_acquire() returns. */
struct rate_request {
    const struct account *account; /* valid until the request is decided */
    void (*granted)(void *ctx);
    void (*refused)(void *ctx, const char *why, int64_t retry_after_ms);
    void *ctx;
    GList node;
    bool waiting;
};

void rate_client_acquire(struct rate_client *c, struct rate_request *r);
void rate_client_withdraw(struct rate_client *c, struct rate_request *r);
void rate_client_return(struct rate_client *c, const char *account);

#endif
