#include "relay/session_internal.h"

#include <string.h>

/* Gets the permit that an operation of a rate-limited account needs, and
   returns one that was not used. */

/* Returns the account whose rate limit applies to the session's operations, or
   NULL. */
const struct account *
session_limited_account(const struct session *s)
{
    return s->relay->config.rate_client != NULL ? s->connection_request.account
                                                : NULL;
}

/* Returns true if the operation has to get a permit before it is sent to a
   member. A transaction needs one for all of its statements. */
bool
session_needs_permit(const struct session *s)
{
    return session_limited_account(s) != NULL && !s->begun &&
           (!s->has_permit || session_now(s) >= s->rate_request.valid_until);
}

/* Ends the wait for a permit, and returns one that was not used. */
void
session_drop_permit(struct session *s)
{
    struct rate_client *c = s->relay->config.rate_client;

    if (s->rate_request.waiting) {
        rate_client_withdraw(c, &s->rate_request);
    }
    if (s->has_permit) {
        s->has_permit = false;
        rate_client_return(c, s->rate_request.account->name,
                           s->rate_request.valid_until);
    }
}

static void
on_permit(void *ctx)
{
    struct session *s = ctx;

    s->has_permit = true;
    s->step = STEP_IDLE;
    if (s->pooled != NULL) {
        exchange_proceed(s);
        return;
    }
    exchange_submit(s);
}

/* The operation is beyond the account's rate limit, or no witness answers. */
static void
on_permit_refused(void *ctx, const char *why, int64_t retry_after_ms)
{
    struct session *s = ctx;

    s->retry_after_ms = retry_after_ms;
    exchange_refused(s, why);
}

/* Waits for a permit, with or without a connection. A permit that has expired
   is replaced. */
void
session_acquire_permit(struct session *s)
{
    session_drop_permit(s);
    catalog_unref(s->permit_catalog);
    s->permit_catalog = catalog_ref(s->account_catalog);
    s->rate_request =
        (struct rate_request){.account = session_limited_account(s),
                              .granted = on_permit,
                              .refused = on_permit_refused,
                              .ctx = s};
    s->step = STEP_RATE_LIMIT;
    session_update_active(s);
    rate_client_acquire(s->relay->config.rate_client, &s->rate_request);
}

/* Returns true if the session holds a permit of another account than the one
   of the request. */
static bool
has_foreign_permit(const struct session *s)
{
    const struct account *a = session_limited_account(s);

    return s->has_permit &&
           (a == NULL || strcmp(s->rate_request.account->name, a->name) != 0);
}

/* Starts an attempt to execute the request. */
void
exchange_start(struct session *s)
{
    session_set_request_account(s);
    if (has_foreign_permit(s)) {
        session_drop_permit(s);
    }
    if (session_needs_permit(s)) {
        session_acquire_permit(s);
        return;
    }
    exchange_submit(s);
}

/* Called when a configuration has come into force. A request that waits for a
   permit or a connection of an account that its session has lost, as on a
   public route, starts to wait anew. */
void
exchange_follow_account(struct session *s)
{
    if ((s->step != STEP_QUEUED && s->step != STEP_RATE_LIMIT) ||
        session_keeps_request_account(s)) {
        return;
    }
    if (s->step == STEP_QUEUED) {
        service_withdraw(s->service, &s->connection_request);
        s->attempts--;
    }
    else if (s->pooled != NULL) {
        session_release_link(s);
        s->attempts--;
    }
    session_drop_permit(s);
    exchange_start(s);
}
