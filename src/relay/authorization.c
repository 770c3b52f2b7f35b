#include "relay/session_internal.h"

#include <string.h>

/* Decides whether a caller may use a database: by its API key, the newest
   configuration and how recent that is. A public route needs no key. */

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

/* Ends the request in progress, none of which has been sent. */
static void
refuse(struct session *s, enum failure why, const char *detail)
{
    /* Otherwise the connection counts as waiting for an answer, and the
       transaction on it is not rolled back. */
    s->step = STEP_IDLE;
    session_answer_failure(s, why, detail);
}

/* Returns true if the session's key may be used with a configuration. It may
   not once it identifies another account than it did first. */
static bool
key_is_allowed(const struct session *s, const struct catalog *c,
               bool is_public)
{
    const struct account *a = find_account(c, &s->key);

    if (!c->has_accounts) {
        return true;
    }
    if (a == NULL) {
        return is_public;
    }
    return s->account_name == NULL || strcmp(a->name, s->account_name) == 0;
}

/* Returns true if the session's key may be used with the newest
   configuration. If that has no route, the one before it counts. */
bool
session_key_is_valid(const struct session *s)
{
    const struct relay *r = s->relay;
    const struct catalog *c = r->config.catalog(r->config.ctx);
    const struct database_route *route = catalog_route(c, s->database);

    return key_is_allowed(
        s, c, route != NULL ? route->is_public : s->on_public_route);
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
    const struct database_route *route = catalog_route(c, s->database);
    const bool is_public = (route != NULL ? route : s->route)->is_public;

    /* Before the list of accounts is looked at: a newer configuration may have
       one. */
    if (!is_public && !is_fresh(r)) {
        r->counters.refused_stale++;
        refuse(s,
               s->transaction == TRANSACTION_OPEN ? FAILURE_ABORTED
                                                  : FAILURE_BUSY,
               "configuration_stale");
        return false;
    }
    session_fix_account(s, c);
    if (key_is_allowed(s, c, is_public)) {
        return true;
    }
    /* An earlier attempt of a read may have been executed, which
       FAILURE_UNAUTHORIZED would deny. */
    refuse(s, s->may_have_run ? FAILURE_TIMEOUT : FAILURE_UNAUTHORIZED,
           find_account(c, &s->key) == NULL ? "API key is not valid"
                                            : "API key has changed hands");
    return false;
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
