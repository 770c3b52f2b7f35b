#include "ticket/object.h"

#include <string.h>

#define SLOTS_MAX 1024
#define CONNECTIONS_MAX 100000
#define WEIGHT_MAX 1000
#define CONNECT_TIMEOUT_MAX_MS 60000
/* Opening a connection takes 12 ms at both sites. */
#define CONNECT_TIMEOUT_DEFAULT_MS 1000
#define STALENESS_MAX_MS 86400000

static const char *const type_names[] = {"database", "shares", "staleness"};

/* Returns the first word of the group names of this type. */
const char *
ticket_type_name(enum ticket_object_type type)
{
    return type_names[type];
}

/* Parses "TYPE NAME". Returns a pointer to the name within group, or NULL if
   the type is unknown. */
static const char *
parse_group(const char *group, enum ticket_object_type *type)
{
    for (int i = 0; i < 3; i++) {
        size_t n = strlen(type_names[i]);

        if (strncmp(group, type_names[i], n) == 0 && group[n] == ' ') {
            *type = (enum ticket_object_type)i;
            return group + n + 1;
        }
    }
    return NULL;
}

/* Returns true if the group describes an object. The name is not validated. */
bool
ticket_group_is_object(const char *group)
{
    enum ticket_object_type type;

    return parse_group(group, &type) != NULL;
}

static void
free_members(struct ticket_object *o)
{
    for (size_t i = 0; i < o->n_members; i++) {
        g_free(o->members[i].host);
        g_free(o->members[i].domain);
    }
    g_free(o->members);
}

/* Adds a reference and returns o. */
struct ticket_object *
ticket_object_ref(struct ticket_object *o)
{
    o->refs++;
    return o;
}

/* Drops a reference; the last one frees the object. NULL is allowed. */
void
ticket_object_unref(struct ticket_object *o)
{
    if (!o || --o->refs > 0) {
        return;
    }
    free_members(o);
    for (size_t i = 0; i < o->n_kinds; i++) {
        g_free(o->kinds[i].kind);
    }
    g_free(o->kinds);
    g_free(o->user);
    g_free(o->name);
    g_free(o);
}

/* Parses "IPV4:PORT" or "[IPV6]:PORT". Host names are rejected because proxies
   do not use DNS. */
static bool
parse_member(const char *s, struct ticket_member *m)
{
    const char *colon = strrchr(s, ':');
    guint64 port = 0;

    if (!colon ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL)) {
        return false;
    }
    gsize n = (gsize)(colon - s);

    if (n > 2 && s[0] == '[' && s[n - 1] == ']') {
        m->host = g_ascii_strdown(s + 1, (gssize)n - 2);
    }
    else if (!memchr(s, ':', n)) {
        m->host = g_strndup(s, n);
    }
    else {
        return false;
    }
    m->port = (int)port;
    return g_hostname_is_ip_address(m->host);
}

/* Reads a comma-separated list. Empty elements are kept, so that the caller's
   validation rejects them. */
static char **
read_list(GKeyFile *file, const char *group, const char *key,
          struct ticket_error *err)
{
    char *s = g_key_file_get_value(file, group, key, NULL);

    if (!s || s[0] == '\0') {
        g_free(s);
        ticket_error_set(err, group, key, "is missing");
        return NULL;
    }
    char **list = g_strsplit(s, ",", TICKET_MEMBERS_MAX + 1);

    g_free(s);
    for (size_t i = 0; list[i]; i++) {
        g_strstrip(list[i]);
    }
    return list;
}

static bool
read_members(GKeyFile *file, const char *group, struct ticket_object *o,
             struct ticket_error *err)
{
    char **list = read_list(file, group, "members", err);
    bool ok = list != NULL;
    size_t n = list ? g_strv_length(list) : 0;

    if (n > TICKET_MEMBERS_MAX) {
        ticket_error_set(err, group, "members", "more than %d members",
                         TICKET_MEMBERS_MAX);
        ok = false;
    }
    o->members = g_new0(struct ticket_member, n + 1);
    for (size_t i = 0; ok && i < n; i++) {
        struct ticket_member *m = &o->members[o->n_members++];

        if (!parse_member(list[i], m)) {
            ticket_error_set(err, group, "members", "\"%.64s\" is not IP:PORT",
                             list[i]);
            ok = false;
        }
        for (size_t j = 0; ok && j < i; j++) {
            if (m->port == o->members[j].port &&
                strcmp(m->host, o->members[j].host) == 0) {
                ticket_error_set(err, group, "members",
                                 "member %.64s appears twice", list[i]);
                ok = false;
            }
        }
    }
    g_strfreev(list);
    return ok;
}

/* Reads the failure domains, one for each member in the same order. */
static bool
read_domains(GKeyFile *file, const char *group, struct ticket_object *o,
             struct ticket_error *err)
{
    char **list = read_list(file, group, "domains", err);
    bool ok = list != NULL;

    if (ok && g_strv_length(list) != o->n_members) {
        ticket_error_set(err, group, "domains",
                         "needs one failure domain for each of %zu members",
                         o->n_members);
        ok = false;
    }
    for (size_t i = 0; ok && list[i]; i++) {
        if (!ticket_name_valid(list[i])) {
            ticket_error_set(err, group, "domains",
                             "\"%.64s\" is not a valid name", list[i]);
            ok = false;
        }
        o->members[i].domain = g_strdup(list[i]);
    }
    g_strfreev(list);
    return ok;
}

static bool
read_database(GKeyFile *file, const char *group, char **keys,
              struct ticket_object *o, struct ticket_error *err)
{
    static const char *const known[] = {"members", "domains",
                                        "slots",   "connections",
                                        "user",    "connect_timeout_ms",
                                        "number",  NULL};

    for (size_t i = 0; keys[i]; i++) {
        if (!g_strv_contains(known, keys[i])) {
            ticket_error_set(err, group, keys[i], "unknown key");
            return false;
        }
    }
    o->connect_timeout_ms = CONNECT_TIMEOUT_DEFAULT_MS;
    if (!read_members(file, group, o, err) ||
        !read_domains(file, group, o, err) ||
        !ticket_ini_read_int(file, group, "slots", 1, SLOTS_MAX, &o->slots,
                             err) ||
        !ticket_ini_read_int(file, group, "connections", 1, CONNECTIONS_MAX,
                             &o->connections, err) ||
        (g_key_file_has_key(file, group, "connect_timeout_ms", NULL) &&
         !ticket_ini_read_int(file, group, "connect_timeout_ms", 1,
                              CONNECT_TIMEOUT_MAX_MS, &o->connect_timeout_ms,
                              err))) {
        return false;
    }
    o->user = g_key_file_get_value(file, group, "user", NULL);
    if (!o->user || !ticket_name_valid(o->user)) {
        ticket_error_set(err, group, "user", "is missing or not valid");
        return false;
    }
    return true;
}

/* Reads "FLOOR:WEIGHT" (shares) or a limit in milliseconds (staleness). */
static bool
read_kind_value(GKeyFile *file, const char *group, const char *key,
                enum ticket_object_type type, struct ticket_kind_value *v,
                struct ticket_error *err)
{
    if (type == TICKET_STALENESS) {
        return ticket_ini_read_int(file, group, key, 0, STALENESS_MAX_MS,
                                   &v->staleness_ms, err);
    }
    char *s = g_key_file_get_value(file, group, key, NULL);
    char **parts = g_strsplit(s ? s : "", ":", 3);
    gint64 floor = 0;
    gint64 weight = 0;
    bool ok =
        g_strv_length(parts) == 2 &&
        g_ascii_string_to_signed(parts[0], 10, 0, CONNECTIONS_MAX, &floor,
                                 NULL) &&
        g_ascii_string_to_signed(parts[1], 10, 0, WEIGHT_MAX, &weight, NULL);

    if (!ok) {
        ticket_error_set(err, group, key,
                         "must be FLOOR:WEIGHT with floor 0 to %d and weight "
                         "0 to %d",
                         CONNECTIONS_MAX, WEIGHT_MAX);
    }
    v->floor = floor;
    v->weight = weight;
    g_strfreev(parts);
    g_free(s);
    return ok;
}

static int
compare_kinds(const void *a, const void *b)
{
    const struct ticket_kind_value *x = a;
    const struct ticket_kind_value *y = b;

    return strcmp(x->kind, y->kind);
}

/* Reads a shares or staleness group, which has one key per caller kind. */
static bool
read_kinds(GKeyFile *file, const char *group, char **keys,
           struct ticket_object *o, struct ticket_error *err)
{
    o->kinds = g_new0(struct ticket_kind_value, TICKET_KINDS_MAX);
    for (size_t i = 0; keys[i]; i++) {
        if (strcmp(keys[i], "number") == 0) {
            continue;
        }
        if (!ticket_name_valid(keys[i])) {
            ticket_error_set(err, group, keys[i], "not a valid caller kind");
            return false;
        }
        if (o->n_kinds == TICKET_KINDS_MAX) {
            ticket_error_set(err, group, keys[i], "more than %d caller kinds",
                             TICKET_KINDS_MAX);
            return false;
        }
        struct ticket_kind_value *v = &o->kinds[o->n_kinds++];

        v->kind = g_strdup(keys[i]);
        if (!read_kind_value(file, group, keys[i], o->type, v, err)) {
            return false;
        }
    }
    if (o->n_kinds == 0) {
        ticket_error_set(err, group, NULL, "names no caller kind");
        return false;
    }
    qsort(o->kinds, o->n_kinds, sizeof(*o->kinds), compare_kinds);
    return true;
}

/* Reads a tombstone: the only key besides number is removed=true. */
static bool
read_tombstone(GKeyFile *file, const char *group, char **keys,
               struct ticket_object *o, struct ticket_error *err)
{
    char *s = g_key_file_get_value(file, group, "removed", NULL);
    bool ok = s && strcmp(s, "true") == 0;

    g_free(s);
    if (!ok) {
        ticket_error_set(err, group, "removed", "may only be true");
        return false;
    }
    for (size_t i = 0; keys[i]; i++) {
        if (strcmp(keys[i], "removed") != 0 &&
            strcmp(keys[i], "number") != 0) {
            ticket_error_set(err, group, keys[i],
                             "not allowed beside removed=true");
            return false;
        }
    }
    o->removed = true;
    return true;
}

/* Reads the object of one group. If with_number is true, as in snapshots, the
   ticket number is read from the group; otherwise it is number. Returns a new
   reference, or NULL with err filled. */
struct ticket_object *
ticket_object_read(GKeyFile *file, const char *group, bool with_number,
                   uint64_t number, struct ticket_error *err)
{
    struct ticket_object *o = g_new0(struct ticket_object, 1);
    const char *name = parse_group(group, &o->type);
    char **keys = g_key_file_get_keys(file, group, NULL, NULL);
    int64_t own_number = 0;
    bool ok = false;

    o->refs = 1;
    o->number = number;
    if (!name) {
        ticket_error_set(err, group, NULL, "unknown group");
        goto done;
    }
    if (!ticket_name_valid(name)) {
        ticket_error_set(err, group, NULL, "\"%.64s\" is not a valid name",
                         name);
        goto done;
    }
    o->name = g_strdup(name);
    if (with_number) {
        if (!ticket_ini_read_int(file, group, "number", 1,
                                 (int64_t)TICKET_NUMBER_MAX, &own_number,
                                 err)) {
            goto done;
        }
        o->number = (uint64_t)own_number;
    }
    else if (g_key_file_has_key(file, group, "number", NULL)) {
        ticket_error_set(err, group, "number", "belongs in [ticket]");
        goto done;
    }
    if (g_key_file_has_key(file, group, "removed", NULL)) {
        ok = read_tombstone(file, group, keys, o, err);
    }
    else if (o->type == TICKET_DATABASE) {
        ok = read_database(file, group, keys, o, err);
    }
    else {
        ok = read_kinds(file, group, keys, o, err);
    }
done:
    g_strfreev(keys);
    if (!ok) {
        ticket_object_unref(o);
        return NULL;
    }
    return o;
}

static void
write_members(const struct ticket_object *o, GString *out)
{
    g_string_append(out, "members=");
    for (size_t i = 0; i < o->n_members; i++) {
        const struct ticket_member *m = &o->members[i];
        bool v6 = strchr(m->host, ':') != NULL;

        g_string_append_printf(out, "%s%s%s%s:%d", i ? "," : "", v6 ? "[" : "",
                               m->host, v6 ? "]" : "", m->port);
    }
    g_string_append(out, "\ndomains=");
    for (size_t i = 0; i < o->n_members; i++) {
        g_string_append_printf(out, "%s%s", i ? "," : "",
                               o->members[i].domain);
    }
    g_string_append_c(out, '\n');
}

/* Appends o to out as an INI group in canonical form: fixed key order, caller
   kinds sorted by name, defaults written explicitly. Equal objects give equal
   text. */
void
ticket_object_write(const struct ticket_object *o, bool with_number,
                    GString *out)
{
    g_string_append_printf(out, "[%s %s]\n", type_names[o->type], o->name);
    if (with_number) {
        g_string_append_printf(out, "number=%" G_GUINT64_FORMAT "\n",
                               (guint64)o->number);
    }
    if (o->removed) {
        g_string_append(out, "removed=true\n");
        return;
    }
    if (o->type == TICKET_DATABASE) {
        write_members(o, out);
        g_string_append_printf(
            out, "slots=%d\nconnections=%d\nuser=%s\nconnect_timeout_ms=%d\n",
            (int)o->slots, (int)o->connections, o->user,
            (int)o->connect_timeout_ms);
        return;
    }
    for (size_t i = 0; i < o->n_kinds; i++) {
        const struct ticket_kind_value *v = &o->kinds[i];

        if (o->type == TICKET_SHARES) {
            g_string_append_printf(out, "%s=%d:%d\n", v->kind, (int)v->floor,
                                   (int)v->weight);
        }
        else {
            g_string_append_printf(out, "%s=%d\n", v->kind,
                                   (int)v->staleness_ms);
        }
    }
}

/* Compares by type, then by name, like strcmp(). */
int
ticket_object_compare(const struct ticket_object *a,
                      const struct ticket_object *b)
{
    if (a->type != b->type) {
        return a->type < b->type ? -1 : 1;
    }
    return strcmp(a->name, b->name);
}

int64_t
ticket_object_floor_sum(const struct ticket_object *o)
{
    int64_t sum = 0;

    for (size_t i = 0; i < o->n_kinds; i++) {
        sum += o->kinds[i].floor;
    }
    return sum;
}
