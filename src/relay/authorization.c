#include "relay/session_internal.h"

#include <string.h>

/* Decides whether a caller may use a database: by its API key, the newest
   configuration and how recent that is. A public route needs no key. The key
   is checked before each thing that is sent for it, and while a request waits,
   when a configuration comes into force. */

static const struct account *
find_account(const struct catalog *c, const struct account_key *key)
{
    return c->has_accounts ? catalog_account_of_key(c, key) : NULL;
}

/* Returns the account under which requests of the session run. */
static const struct account *
account_of_session(const struct catalog *c, const struct session *s)
{
#ifdef RELAY_BREAK_KEY_CHECK
    /* The key is checked at the session's start only. */
    if (s->account_name != NULL) {
        return g_hash_table_lookup(c->accounts, s->account_name);
    }
#endif
    return find_account(c, &s->key);
}

static bool
is_fresh(const struct relay *r)
{
#ifdef RELAY_BREAK_FRESHNESS
    return r != NULL;
#endif
    return r->config.catalog_is_fresh == NULL ||
           r->config.catalog_is_fresh(r->config.ctx,
                                      r->config.now(r->config.ctx));
}

/* Checks the key of a caller that asks for a session on a route. Returns
   FAILURE_NONE, FAILURE_UNAUTHORIZED, or FAILURE_BUSY for a key that is
   unknown but may be listed in a newer configuration. A known key is accepted
   without a fresh configuration, since each request is checked again. */
enum failure
relay_check_key(struct relay *r, const struct catalog *c,
                const struct database_route *route, struct sview api_key)
{
    const struct account_key key = account_key_of(api_key);

    if (!c->has_accounts || route->is_public ||
        catalog_account_of_key(c, &key) != NULL) {
        return FAILURE_NONE;
    }
    if (!is_fresh(r)) {
        r->counters.startups_stale++;
        return FAILURE_BUSY;
    }
    r->counters.startups_unauthorized++;
    return FAILURE_UNAUTHORIZED;
}

/* Fixes the account of a session once its key is known. */
void
session_fix_account(struct session *s, const struct catalog *c)
{
    const struct account *a = find_account(c, &s->key);

    if (a != NULL && s->account_name == NULL) {
        s->account_name = g_strdup(a->name);
    }
}

/* Returns NULL if the session's key allows its requests in a configuration
   with accounts, otherwise why not. */
static const char *
find_key_obstacle(const struct session *s, const struct catalog *c,
                  bool is_public)
{
    const struct account *a = find_account(c, &s->key);

    if (a == NULL) {
        return is_public ? NULL : "API key is not valid";
    }
    return s->account_name == NULL || strcmp(a->name, s->account_name) == 0
               ? NULL
               : "API key has changed hands";
}

/* Returns true if the session's database needs no key. Once it has been
   removed, its newest known route counts. */
static bool
needs_no_key(const struct session *s, const struct catalog *c)
{
    const struct database_route *route = catalog_route(c, s->database);

    return route != NULL ? route->is_public : s->on_public_route;
}

/* Answers the request in progress, whose key the newest configuration does not
   allow. Unless that is fresh, a newer one may allow it. */
static void
refuse_key(struct session *s, bool fresh, const char *why)
{
    if (!fresh) {
        s->relay->counters.refused_stale++;
        session_answer_failure(s,
                               s->transaction == TRANSACTION_OPEN
                                   ? FAILURE_ABORTED
                                   : FAILURE_BUSY,
                               "configuration_stale");
        return;
    }
    /* An earlier attempt of a read may have been executed, which
       FAILURE_UNAUTHORIZED would deny. */
    session_answer_failure(
        s, s->may_have_run ? FAILURE_TIMEOUT : FAILURE_UNAUTHORIZED, why);
}

/* Returns true if the session's key may be used with the newest
   configuration. If that has no route, the one before it counts. */
bool
session_key_is_valid(const struct session *s)
{
    const struct relay *r = s->relay;
    const struct catalog *c = r->config.catalog(r->config.ctx);

    return !c->has_accounts ||
           find_key_obstacle(s, c, needs_no_key(s, c)) == NULL;
}

/* Returns false, after answering the request in progress, if the session's key
   does not allow it. The session may have ended then. Nothing may be waiting
   for a member's answer. */
bool
session_authorized(struct session *s)
{
#ifdef RELAY_BREAK_KEY_CHECK
    session_fix_account(s, s->relay->config.catalog(s->relay->config.ctx));
    return true;
#endif
    struct relay *r = s->relay;
    const struct catalog *c = r->config.catalog(r->config.ctx);
    const bool is_public = needs_no_key(s, c);
    /* Before the list of accounts is looked at: a newer configuration may have
       one. */
    const bool fresh = is_public || is_fresh(r);
    const char *obstacle = NULL;

    if (fresh && c->has_accounts) {
        session_fix_account(s, c);
        obstacle = find_key_obstacle(s, c, is_public);
    }
    if (fresh && obstacle == NULL) {
        return true;
    }
    /* Otherwise the connection counts as waiting for an answer, and the
       transaction on it is not rolled back. */
    s->step = STEP_IDLE;
    refuse_key(s, fresh, obstacle);
    return false;
}

/* Refuses the request in progress if the newest configuration does not allow
   its key any more and it has not been sent to a member. The answers to
   settings, prepared statements and BEGIN are not awaited. Returns true if the
   request was answered; the session may have ended then. */
bool
session_refuse_withdrawn(struct session *s)
{
    struct relay *r = s->relay;
    const struct catalog *c = r->config.catalog(r->config.ctx);

    if (s->step == STEP_IDLE || s->step == STEP_STATEMENT ||
        !c->has_accounts) {
        return false;
    }
    const bool is_public = needs_no_key(s, c);
    const char *obstacle = find_key_obstacle(s, c, is_public);
    if (obstacle == NULL) {
        return false;
    }
    if (s->step == STEP_QUEUED) {
        service_withdraw(s->service, &s->connection_request);
    }
    refuse_key(s, is_public || is_fresh(r), obstacle);
    return true;
}

/* Returns the account under which the session's requests run. On a public
   route a key counts only while it is known to be valid. */
static const struct account *
account_in_force(const struct session *s)
{
    const struct relay *r = s->relay;
    const struct catalog *c = r->config.catalog(r->config.ctx);
    const struct database_route *route = catalog_route(c, s->database);
    const struct account *a = account_of_session(c, s);

    return a != NULL && (route != NULL ? route : s->route)->is_public &&
                   !is_fresh(r)
               ? NULL
               : a;
}

/* Sets the account of the request for a connection from the newest
   configuration, which is kept as long as the request may be queued. */
void
session_set_request_account(struct session *s)
{
    struct catalog *c = s->relay->config.catalog(s->relay->config.ctx);

    catalog_ref(c);
    catalog_unref(s->account_catalog);
    s->account_catalog = c;
    s->connection_request.account = account_in_force(s);
}

/* Returns true if requests of the session run under the same account as when
   its connection was requested. It can change on public routes and when the
   configuration gets its first accounts. */
bool
session_keeps_request_account(const struct session *s)
{
    const struct account *now = account_in_force(s);
    const struct account *then = s->connection_request.account;

    return g_strcmp0(now != NULL ? now->name : NULL,
                     then != NULL ? then->name : NULL) == 0;
}
