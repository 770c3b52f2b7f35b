#include "daemon/apply_ticket.h"

#include <string.h>

/* Returns the index of a database, or -1. */
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

/* Returns what an object says about a kind, or NULL. */
static const struct ticket_kind_value *
find_kind_value(const struct ticket_object *o, const char *kind)
{
    for (size_t i = 0; i < o->n_kinds; i++) {
        if (strcmp(o->kinds[i].kind, kind) == 0) {
            return &o->kinds[i];
        }
    }
    return NULL;
}

/* Sets the staleness bounds of a group. A kind that the object does not name,
   or any kind of a removed object, gets the bound from the settings. */
static void
apply_staleness(const struct settings *s, struct group *g,
                const struct ticket_object *o)
{
    for (int i = 0; i < s->kind_count; i++) {
        const struct ticket_kind_value *v =
            o->removed ? NULL : find_kind_value(o, s->kinds[i].name);
        group_set_max_staleness(
            g, i, v == NULL ? s->kinds[i].max_staleness_ms : v->staleness_ms);
    }
}

/* Compares a database object with the settings, which are what is running. */
static bool
database_matches_settings(const struct settings_database *d,
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

/* Puts the new state of an object in force. Returns false when that needs a
   restart with new settings: members, slots and connections of a database, and
   shares, are read from the settings at startup only. */
bool
apply_ticket_object(const struct settings *s, struct group **groups,
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
        return database_matches_settings(&s->databases[i], o);
    case TICKET_SHARES:
        return o->removed;
    }
    return false;
}
