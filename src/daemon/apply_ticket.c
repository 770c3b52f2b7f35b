#include "daemon/apply.h"

#include <string.h>

/* Finds the index of a database, or -1. */
static int
find_database(const struct settings *s, const char *name)
{
    for (int i = 0; i < s->database_count; i++) {
        if (strcmp(s->databases[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

/* Finds a kind's value in an object, or NULL. */
static const struct ticket_kind_value *
find_value(const struct ticket_object *o, const char *kind)
{
    for (size_t i = 0; i < o->n_kinds; i++) {
        if (strcmp(o->kinds[i].kind, kind) == 0) {
            return &o->kinds[i];
        }
    }
    return NULL;
}

/* Puts staleness bounds in force; a kind that the ticket leaves out, or a
   removed object, falls back to the settings. */
static void
apply_staleness(const struct settings *s, struct group *g,
                const struct ticket_object *o)
{
    for (int i = 0; i < s->kind_count; i++) {
        const struct ticket_kind_value *v =
            o->removed ? NULL : find_value(o, s->kinds[i].name);
        group_set_max_staleness(
            g, i, v == NULL ? s->kinds[i].max_staleness_ms : v->staleness_ms);
    }
}

/* Tells whether a database object says what is running already. */
static bool
database_is_same(const struct settings_database *d,
                 const struct ticket_object *o)
{
    if (o->removed || o->n_members != (size_t)d->member_count ||
        o->slots != d->slots || o->connections != d->connections ||
        strcmp(o->user, d->user) != 0) {
        return false;
    }
    for (int i = 0; i < d->member_count; i++) {
        if (strcmp(o->members[i].host, d->members[i].address.host) != 0 ||
            o->members[i].port != d->members[i].address.port ||
            strcmp(o->members[i].domain, d->members[i].domain) != 0) {
            return false;
        }
    }
    return true;
}

/* Puts an object's new state in force. Returns false when this proxy can not
   do that while it runs: members, slots and connections of a database, and
   shares, are taken from the settings at the start. */
bool
apply_object(const struct settings *s, struct group **groups,
             const struct ticket_object *o)
{
    const int i = find_database(s, o->name);

    if (i < 0) {
        return o->removed;
    }
    switch (o->type) {
    case TICKET_STALENESS:
        apply_staleness(s, groups[i], o);
        return true;
    case TICKET_DATABASE:
        return database_is_same(&s->databases[i], o);
    case TICKET_SHARES:
        return o->removed;
    }
    return false;
}
