#include "ticket/state.h"

#include <string.h>

/* Returns the object that is in force once the ticket is applied: the
   ticket's, unless the state has one with a higher number. NULL if neither has
   the object. */
static const struct ticket_object *
effective_object(const struct ticket *t, const struct ticket_state *s,
                 enum ticket_object_type type, const char *name)
{
    const struct ticket_object *current = ticket_state_find(s, type, name);

    if (current && current->number > t->number) {
        return current;
    }
    for (size_t i = 0; i < t->n_objects; i++) {
        const struct ticket_object *o = t->objects[i];

        if (o->type == type && strcmp(o->name, name) == 0) {
            return o;
        }
    }
    return current;
}

/* Returns the connection limit of a database once the ticket is applied, or -1
   if the database is not defined. Tickets take precedence over the settings
   file. */
static int64_t
database_connections(const struct ticket *t, const struct ticket_state *s,
                     const struct ticket_rules *rules, const char *name)
{
    const struct ticket_object *o =
        effective_object(t, s, TICKET_DATABASE, name);

    if (o) {
        return o->removed ? -1 : o->connections;
    }
    for (size_t i = 0; rules && i < rules->n_databases; i++) {
        if (strcmp(rules->databases[i].name, name) == 0) {
            return rules->databases[i].connections;
        }
    }
    return -1;
}

/* Checks a shares or staleness object against the connection limit of its
   database. group is reported in the error. */
static bool
check_dependent(const struct ticket_object *o, int64_t connections,
                const char *group, struct ticket_error *err)
{
    if (!o || o->removed) {
        return true;
    }
    if (connections < 0) {
        ticket_error_set(err, group, NULL,
                         "%s %s needs database %s, which is not defined",
                         ticket_type_name(o->type), o->name, o->name);
        return false;
    }
    if (o->type == TICKET_SHARES && ticket_object_floor_sum(o) > connections) {
        ticket_error_set(err, group, NULL,
                         "floors add up to %d, database %s has %d connections",
                         (int)ticket_object_floor_sum(o), o->name,
                         (int)connections);
        return false;
    }
    return true;
}

static bool
check_kinds(const struct ticket_object *o, const struct ticket_rules *rules,
            const char *group, struct ticket_error *err)
{
    for (size_t i = 0; rules && rules->kinds && i < o->n_kinds; i++) {
        if (!g_strv_contains(rules->kinds, o->kinds[i].kind)) {
            ticket_error_set(err, group, o->kinds[i].kind,
                             "unknown caller kind");
            return false;
        }
    }
    return true;
}

/* Validates a ticket against the state that results from applying it: shares
   and staleness objects need a defined database, the floors must not exceed
   the database's connections, and caller kinds must be known. rules may be
   NULL. Returns false and fills err for the first violation. */
bool
ticket_check(const struct ticket *t, const struct ticket_state *s,
             const struct ticket_rules *rules, struct ticket_error *err)
{
    for (size_t i = 0; i < t->n_objects; i++) {
        const struct ticket_object *o = t->objects[i];
        char group[96];

        (void)g_snprintf(group, sizeof(group), "%s %s",
                         ticket_type_name(o->type), o->name);
        if (effective_object(t, s, o->type, o->name) != o) {
            continue;
        }
        int64_t connections = database_connections(t, s, rules, o->name);

        if (!check_kinds(o, rules, group, err)) {
            return false;
        }
        if (o->type != TICKET_DATABASE) {
            if (!check_dependent(o, connections, group, err)) {
                return false;
            }
            continue;
        }
        if (!check_dependent(effective_object(t, s, TICKET_SHARES, o->name),
                             connections, group, err) ||
            !check_dependent(effective_object(t, s, TICKET_STALENESS, o->name),
                             connections, group, err)) {
            return false;
        }
    }
    return true;
}
