#include "relay/explain_route.h"

#include <jansson.h>

/* Writes an explanation as JSON. */

static const char *
freshness_name(enum freshness f)
{
    switch (f) {
    case FRESHNESS_PRIMARY:
        return "primary";
    case FRESHNESS_BOUNDED:
        return "bounded_staleness";
    case FRESHNESS_OWN_WRITES:
        return "read_your_writes";
    }
    return "";
}

static void
put_text(json_t *o, const char *key, const char *text)
{
    json_object_set_new(o, key,
                        text != NULL ? json_string(text) : json_null());
}

static void
put_integer(json_t *o, const char *key, int64_t value)
{
    json_object_set_new(o, key, json_integer(value));
}

static void
put_bool(json_t *o, const char *key, bool value)
{
    json_object_set_new(o, key, json_boolean(value));
}

static void
add_if(json_t *list, bool condition, const char *text)
{
    if (condition) {
        json_array_append_new(list, json_string(text));
    }
}

static json_t *
reasons_for(const struct explained_member *m,
            const struct explained_placement *e)
{
    const struct placement_member *p = &m->p;
    json_t *list = json_array();

    add_if(list, p->primary, "primary");
    add_if(list,
           !e->needs_primary && e->replicas_allowed && !m->primary &&
               p->caught_up && p->lag_us == 0,
           "caught up");
    add_if(list, p->same_failure_domain, "same failure domain");
    add_if(list, p->home, "home replica");
    add_if(list, p->connection_idle, "idle connection");
    add_if(list, p->behind && !p->primary, "spares recent members");
    return list;
}

static json_t *
reasons_against(const struct explained_member *m,
                const struct explained_placement *e)
{
    const struct placement_member *p = &m->p;
    const bool replica_may = !e->needs_primary && e->replicas_allowed;
    json_t *list = json_array();

    add_if(list, !m->reachable, "unreachable");
    add_if(list, !m->listed, "not listed");
    add_if(list, m->draining && !m->primary, "draining");
    add_if(list, m->reachable && !p->usable && m->primary,
           "kept for writes while the replicas lag");
    add_if(list, m->primary && !p->primary,
           e->lease ? "answered that it is a replica"
                    : "no valid lease for the primary");
    add_if(list, !m->primary && e->needs_primary,
           "only the primary may serve it");
    add_if(list, !m->primary && !e->needs_primary && !e->replicas_allowed,
           "no recent enough position of the primary is known");
    add_if(list,
           replica_may && !m->primary && m->listed && !m->draining &&
               !p->caught_up,
           "lags too much");
    add_if(list, replica_may && !m->primary && p->caught_up && p->lag_us > 0,
           "has to be waited for until it has caught up");
    add_if(list, m->primary && !e->needs_primary, "needed for writes");
    add_if(list, !p->same_failure_domain, "other failure domain");
    add_if(list, p->executing >= p->max_executing, "at its limit");
    add_if(list, !p->connection_available,
           "no connection idle and none may be opened now");
    add_if(list, p->connection_available && !p->connection_idle,
           "a connection has to be opened");
    return list;
}

static json_t *
describe_member(const struct explained_member *m,
                const struct explained_placement *e)
{
    const struct placement_member *p = &m->p;
    json_t *o = json_object();

    put_text(o, "member", m->id);
    put_text(o, "failure_domain", m->failure_domain);
    put_bool(o, "chosen", m->chosen);
    put_bool(o, "suitable", m->suitable);
    put_bool(o, "usable", p->usable);
    put_bool(o, "primary", m->primary);
    put_bool(o, "reachable", m->reachable);
    put_bool(o, "listed", m->listed);
    put_bool(o, "draining", m->draining);
    put_bool(o, "caught_up", p->caught_up);
    /* Milliseconds until it is expected to have the position; a replica that
       is not caught up may never be waited for. */
    json_object_set_new(o, "position_wait_ms",
                        m->primary || !p->caught_up
                            ? json_null()
                            : json_integer(p->lag_us / 1000));
    put_bool(o, "same_failure_domain", p->same_failure_domain);
    put_bool(o, "home", p->home);
    put_bool(o, "connection_idle", p->connection_idle);
    put_bool(o, "connection_available", p->connection_available);
    put_integer(o, "connections", m->connections);
    put_integer(o, "idle_connections", m->idle_connections);
    put_integer(o, "in_progress", p->executing);
    put_integer(o, "in_progress_limit", p->max_executing);
    put_integer(o, "wait_us", p->wait_us);
    put_integer(o, "expected_us", m->expected_us);
    json_object_set_new(o, "for", reasons_for(m, e));
    json_object_set_new(o, "against", reasons_against(m, e));
    return o;
}

static json_t *
describe_route(const struct database_route *r)
{
    json_t *o = json_object();

    put_text(o, "database", r->database);
    put_text(o, "service", r->service);
    put_text(o, "freshness", freshness_name(r->freshness));
    put_integer(o, "max_staleness_ms", r->max_staleness_ms);
    put_integer(o, "statement_timeout_ms", r->statement_timeout_ms);
    put_integer(o, "target_ms", r->target_ms);
    put_integer(o, "priority", r->priority);
    put_bool(o, "public", r->is_public);
    return o;
}

static json_t *
describe_account(const struct route_explanation *e)
{
    const struct account *a = e->account;

    if (a == NULL) {
        return json_null();
    }
    json_t *o = json_object();
    put_text(o, "name", a->name);
    put_integer(o, "priority", a->priority);
    json_object_set_new(o, "rate_per_s",
                        json_real((double)a->rate_milli_per_s / 1000));
    json_object_set_new(o, "burst", json_real((double)a->burst_milli / 1000));
    put_bool(o, "limit_enforced", e->permits >= 0);
    json_object_set_new(o, "permits",
                        e->permits >= 0 ? json_integer(e->permits)
                                        : json_null());
    put_bool(o, "permit_at_hand", e->permits > 0);
    return o;
}

/* Describes what happens: refused with an answer, sent to a member, or queued.
   A permit that is not at hand is asked of a witness first, which may refuse
   it. */
static json_t *
describe_outcome(const struct route_explanation *e)
{
    const struct explained_placement *p = &e->placement;
    const enum failure refused =
        e->query.kind == ROUTE_TRANSACTION ? FAILURE_ABORTED : FAILURE_BUSY;
    json_t *o = json_object();

    if (e->refusal != FAILURE_NONE) {
        put_text(o, "result", "refused");
        put_text(o, "answer", failure_name(e->refusal));
        put_text(o, "why", e->refusal_text);
        return o;
    }
    put_text(o, "result",
             p->outcome == EXPLAINED_SENT     ? "sent"
             : p->outcome == EXPLAINED_QUEUED ? "queued"
                                              : "refused");
    put_text(o, "member", p->target);
    if (p->outcome == EXPLAINED_REFUSED) {
        put_text(o, "answer", failure_name(refused));
    }
    put_text(o, "why", p->why);
    if (p->refused_after_ms >= 0) {
        put_integer(o, "refused_after_ms", p->refused_after_ms);
        put_text(o, "then_answer", failure_name(refused));
        put_text(o, "then_why", p->refusal);
    }
    put_bool(o, "asks_for_permit", e->permits == 0);
    put_integer(o, "connections_opened", (int64_t)p->connections_opened);
    return o;
}

/* Appends the explanation and a newline. */
void
explain_route_write_json(const struct route_explanation *e, GString *out)
{
    const struct explained_placement *p = &e->placement;
    json_t *o = json_object();
    json_t *members = json_array();
    json_t *part = json_object();

    put_text(o, "kind", route_kind_name(e->query.kind));
    put_integer(part, "version", (int64_t)e->state.catalog->version);
    put_integer(part, "age_ms", e->state.catalog_age_ms);
    put_integer(part, "evidence_age_ms", e->state.evidence_age_ms);
    put_bool(part, "fresh", e->state.catalog_fresh);
    json_object_set_new(o, "configuration", part);
    json_object_set_new(o, "route", describe_route(e->route));
    json_object_set_new(o, "account", describe_account(e));
    part = json_object();
    put_text(part, "member", p->primary);
    put_integer(part, "epoch", (int64_t)p->epoch);
    put_bool(part, "changing", p->primary_changing);
    put_bool(part, "lease", p->lease);
    json_object_set_new(o, "primary", part);
    part = json_object();
    put_integer(part, "length", (int64_t)p->queue_length);
    put_integer(part, "ahead", p->ahead);
    put_integer(part, "expected_wait_ms", p->expected_wait_ms);
    json_object_set_new(o, "queue", part);
    put_bool(o, "needs_primary", p->needs_primary);
    put_bool(o, "replicas_allowed", p->replicas_allowed);
    put_bool(o, "replicas_lag", p->replicas_lag);
    for (int i = 0; i < p->member_count; i++) {
        json_array_append_new(members, describe_member(&p->members[i], p));
    }
    json_object_set_new(o, "members", members);
    json_object_set_new(o, "outcome", describe_outcome(e));
    char *text = json_dumps(o, JSON_COMPACT);
    if (text != NULL) {
        g_string_append(out, text);
        g_string_append_c(out, '\n');
    }
    free(text);
    json_decref(o);
}
