#include "relay/explain_route.h"

#include <string.h>

/* Explains what would happen to the first statement of a new session. It
   follows session.c, authorization.c and exchange.c up to the submission to
   the service. */

static const char *const kind_names[] = {"read", "write", "transaction"};

const char *
route_kind_name(enum route_kind kind)
{
    return kind_names[kind];
}

/* Returns false if there is no such kind. */
bool
route_kind_from_name(const char *name, enum route_kind *kind)
{
    for (size_t i = 0; i < G_N_ELEMENTS(kind_names); i++) {
        if (strcmp(name, kind_names[i]) == 0) {
            *kind = (enum route_kind)i;
            return true;
        }
    }
    return false;
}

/* Sets the refusal that the caller gets before a member is chosen, if any.
   As in session_authorized() and start_statement(). */
static void
check_caller(struct route_explanation *e)
{
    const struct catalog *c = e->state.catalog;

    if (c->has_accounts && !e->route->is_public) {
        if (!e->state.catalog_fresh) {
            e->refusal = FAILURE_BUSY;
            e->refusal_text = "configuration_stale";
            return;
        }
        if (e->account == NULL) {
            e->refusal = FAILURE_UNAUTHORIZED;
            e->refusal_text = "API key is not valid";
            return;
        }
    }
    if (e->state.shutting_down) {
        e->refusal = FAILURE_BUSY;
        e->refusal_text = "shutting down";
    }
}

/* Sets *e. Returns false and sets *error if the database or the account is not
   known. The explanation refers to the query and the state. */
bool
explain_route(struct route_explanation *e, const struct route_query *q,
              const struct route_state *state, const char **error)
{
    struct connection_request w = {0};

    *e = (struct route_explanation){
        .query = *q, .state = *state, .permits = -1};
    e->route = catalog_route(state->catalog, q->database);
    if (e->route == NULL) {
        *error = "unknown database";
        return false;
    }
    if (q->account != NULL) {
        e->account = g_hash_table_lookup(state->catalog->accounts, q->account);
        if (e->account == NULL) {
            *error = "unknown account";
            return false;
        }
    }
    const struct service *s = state->service(state->ctx, e->route->service);
    if (s == NULL) {
        *error = "the database's service is not known";
        return false;
    }
    if (state->limits_enforced && e->account != NULL) {
        e->permits = state->permits(state->ctx, e->account->name);
    }
    check_caller(e);
    w.priority = e->route->priority;
    w.account = e->account;
    w.needs_primary =
        q->kind != ROUTE_READ || e->route->freshness == FRESHNESS_PRIMARY;
    w.arrived_at = state->now;
    w.deadline = state->now + e->route->statement_timeout_ms;
    w.target = state->now + e->route->target_ms;
    w.staleness_ms = e->route->max_staleness_ms;
    explain_placement(s, &w, &e->placement);
    return true;
}
