#include "settings/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

struct loader {
    GKeyFile *file;
    const char *path;
    char *error; /* the first error, or NULL */
};

/* Range and default of an integer key. */
struct number_key {
    const char *key;
    int64_t minimum;
    int64_t maximum;
    int64_t default_value; /* REQUIRED: there is no default */
};

#define REQUIRED INT64_MIN

/* Records an error unless there is one already. */
static void
set_error(struct loader *l, const char *group, const char *key,
          const char *reason)
{
    if (l->error == NULL) {
        l->error =
            g_strdup_printf("%s: [%s] %s: %s", l->path, group, key, reason);
    }
}

static int64_t
read_number(struct loader *l, const char *group, const struct number_key *k)
{
    char *text = g_key_file_get_string(l->file, group, k->key, NULL);
    int64_t value = k->default_value;

    if (text == NULL) {
        if (k->default_value == REQUIRED) {
            set_error(l, group, k->key, "is missing");
            return k->minimum;
        }
        return value;
    }
    GError *err = NULL;
    if (!g_ascii_string_to_signed(g_strstrip(text), 10, k->minimum, k->maximum,
                                  &value, &err)) {
        set_error(l, group, k->key, err->message);
        g_error_free(err);
        value = k->minimum;
    }
    g_free(text);
    return value;
}

/* Reads a string. The key is required if default_value is NULL. */
static char *
read_string(struct loader *l, const char *group, const char *key,
            const char *default_value)
{
    char *text = g_key_file_get_string(l->file, group, key, NULL);

    if (text == NULL) {
        if (default_value == NULL) {
            set_error(l, group, key, "is missing");
        }
        return g_strdup(default_value == NULL ? "" : default_value);
    }
    return g_strstrip(text);
}

/* Returns NULL if the key is absent. */
static char *
read_optional(struct loader *l, const char *group, const char *key)
{
    char *text = g_key_file_get_string(l->file, group, key, NULL);

    return text == NULL ? NULL : g_strstrip(text);
}

/* Parses "IPV4:PORT" or "[IPV6]:PORT" with a numeric address. On success the
   caller frees out->host with g_free(). */
bool
settings_parse_address(const char *text, struct settings_address *out)
{
    const char *colon = strrchr(text, ':');
    unsigned char addr[sizeof(struct in6_addr)];
    guint64 port;

    if (colon == NULL ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL)) {
        return false;
    }
    char *host = g_strndup(text, (gsize)(colon - text));
    const size_t n = strlen(host);
    bool ok = inet_pton(AF_INET, host, addr) == 1;
    if (!ok && n > 2 && host[0] == '[' && host[n - 1] == ']') {
        memmove(host, host + 1, n - 2);
        host[n - 2] = '\0';
        ok = inet_pton(AF_INET6, host, addr) == 1;
    }
    if (!ok) {
        g_free(host);
        return false;
    }
    *out = (struct settings_address){.host = host, .port = (uint16_t)port};
    return true;
}

/* Reads an address. If the key is absent and not required, host is NULL and
   port 0. */
static struct settings_address
read_address(struct loader *l, const char *group, const char *key,
             bool required)
{
    char *text = read_optional(l, group, key);
    struct settings_address a = {0};

    if (text == NULL && required) {
        set_error(l, group, key, "is missing");
    }
    if (text != NULL && !settings_parse_address(text, &a)) {
        set_error(l, group, key, "must be an IP address with a port");
    }
    g_free(text);
    return a;
}

/* Rejects keys of a group that are not in the NULL-terminated list. */
static void
check_keys(struct loader *l, const char *group, const char *const *known)
{
    char **keys = g_key_file_get_keys(l->file, group, NULL, NULL);

    for (int i = 0; keys != NULL && keys[i] != NULL; i++) {
        if (!g_strv_contains(known, keys[i])) {
            set_error(l, group, keys[i], "unknown key");
        }
    }
    g_strfreev(keys);
}

static void
load_proxy(struct loader *l, struct settings *s)
{
    static const char *const known[] = {"id",
                                        "name",
                                        "failure_domain",
                                        "listen",
                                        "health_listen",
                                        "control_listen",
                                        "log_level",
                                        "drain_limit_ms",
                                        "max_callers",
                                        "max_message_bytes",
                                        "caller_buffer_bytes",
                                        NULL};
    static const char *const levels[] = {"error", "warning", "notice",
                                         "info",  "debug",   NULL};
    const char *g = "proxy";

    if (!g_key_file_has_group(l->file, g)) {
        set_error(l, g, "id", "is missing");
        return;
    }
    check_keys(l, g, known);
    s->id = read_number(l, g, &(struct number_key){"id", 1, 65535, REQUIRED});
    s->name = read_string(l, g, "name", NULL);
    s->failure_domain = read_string(l, g, "failure_domain", NULL);
    s->listen = read_address(l, g, "listen", true);
    s->health_listen = read_address(l, g, "health_listen", false);
    s->control_listen = read_address(l, g, "control_listen", false);
    s->log_level = read_string(l, g, "log_level", "info");
    if (!g_strv_contains(levels, s->log_level)) {
        set_error(l, g, "log_level",
                  "is none of error, warning, notice, info, debug");
    }
    s->drain_limit_ms = read_number(
        l, g, &(struct number_key){"drain_limit_ms", 0, 3600000, 30000});
    s->max_callers = read_number(
        l, g, &(struct number_key){"max_callers", 1, 1000000, 10000});
    s->max_message_bytes = read_number(
        l, g,
        &(struct number_key){"max_message_bytes", 1024, 1 << 30, 16 << 20});
    s->caller_buffer_bytes = read_number(
        l, g,
        &(struct number_key){"caller_buffer_bytes", 16384, 1 << 26, 1 << 18});
}

/* Loads the optional group [platform]. */
static void
load_platform(struct loader *l, struct settings *s)
{
    static const char *const known[] = {"table_url", "object_url", "vms_url",
                                        "timeout_ms", NULL};
    const char *g = "platform";

    s->platform_timeout_ms = 2000;
    if (!g_key_file_has_group(l->file, g)) {
        return;
    }
    check_keys(l, g, known);
    s->table_url = read_optional(l, g, "table_url");
    s->object_url = read_optional(l, g, "object_url");
    s->vms_url = read_optional(l, g, "vms_url");
    s->platform_timeout_ms =
        read_number(l, g, &(struct number_key){"timeout_ms", 50, 60000, 2000});
}

/* Loads a peer from a line ID=HOST:PORT DOMAIN. The line of this proxy itself
   is skipped, so that the group can be identical on all proxies. */
static void
load_peer(struct loader *l, struct settings *s, const char *key)
{
    const char *g = "peers";
    char *text = read_string(l, g, key, NULL);
    char **part = g_strsplit(text, " ", 2);
    guint64 id;

    if (!g_ascii_string_to_unsigned(key, 10, 1, 65535, &id, NULL)) {
        set_error(l, g, key, "must be key_file or the id of a proxy");
    }
    else if ((int64_t)id != s->id) {
        struct settings_peer *p = &s->peers[s->peer_count++];
        p->id = (uint32_t)id;
        if (part[0] == NULL || !settings_parse_address(part[0], &p->address)) {
            set_error(l, g, key, "must begin with an IP address with a port");
        }
        p->domain =
            g_strdup(part[0] == NULL || part[1] == NULL ? "" : part[1]);
    }
    g_strfreev(part);
    g_free(text);
}

/* Loads the optional group [peers]: a line for each proxy, and key_file. */
static void
load_peers(struct loader *l, struct settings *s)
{
    const char *g = "peers";
    gsize n = 0;
    char **keys = g_key_file_get_keys(l->file, g, &n, NULL);

    s->peers = g_new0(struct settings_peer, n + 1);
    for (gsize i = 0; i < n; i++) {
        if (strcmp(keys[i], "key_file") == 0) {
            s->key_file = read_optional(l, g, keys[i]);
        }
        else {
            load_peer(l, s, keys[i]);
        }
    }
    if ((s->peer_count > 0 || s->control_listen.port != 0) &&
        s->key_file == NULL) {
        set_error(l, g, "key_file", "is missing");
    }
    if (s->peer_count > 0 && s->control_listen.port == 0) {
        set_error(l, "proxy", "control_listen", "is missing");
    }
    g_strfreev(keys);
}

/* Loads the optional group [statements]. */
static void
load_statements(struct loader *l, struct settings *s)
{
    static const char *const known[] = {"read_only_functions", "cache_entries",
                                        NULL};
    const char *g = "statements";

    s->cache_entries = 4096;
    if (!g_key_file_has_group(l->file, g)) {
        return;
    }
    check_keys(l, g, known);
    s->cache_entries = read_number(
        l, g, &(struct number_key){"cache_entries", 16, 1 << 20, 4096});
    char *text = read_optional(l, g, "read_only_functions");
    if (text != NULL) {
        s->read_only_functions = g_strsplit_set(text, ", ", -1);
    }
    g_free(text);
}

/* Loads one group [kind NAME]. */
static void
load_kind(struct loader *l, struct settings *s, const char *g)
{
    static const char *const known[] = {
        "class",        "priority", "queue", "deadline_ms", "max_staleness_ms",
        "straggler_ms", NULL};

    if (s->kind_count == SETTINGS_MAX_KINDS) {
        set_error(l, g, "class", "more than 16 caller kinds are defined");
        return;
    }
    struct settings_kind *k = &s->kinds[s->kind_count++];
    check_keys(l, g, known);
    k->name = g_strdup(g + strlen("kind "));
    char *class = read_string(l, g, "class", "short");
    if (strcmp(class, "short") != 0 && strcmp(class, "batch") != 0) {
        set_error(l, g, "class", "must be short or batch");
    }
    k->class = strcmp(class, "batch") == 0 ? SETTINGS_CLASS_BATCH
                                           : SETTINGS_CLASS_SHORT;
    g_free(class);
    k->priority =
        (int)read_number(l, g, &(struct number_key){"priority", 0, 15, 0});
    k->queue =
        (int)read_number(l, g, &(struct number_key){"queue", 1, 100000, 1000});
    k->deadline_ms = read_number(
        l, g, &(struct number_key){"deadline_ms", 10, 86400000, 5000});
    k->max_staleness_ms = read_number(
        l, g, &(struct number_key){"max_staleness_ms", 0, 86400000, 0});
    k->straggler_ms = read_number(
        l, g, &(struct number_key){"straggler_ms", 1, 86400000, 100});
}

static void
load_members(struct loader *l, struct settings_database *d, const char *g)
{
    char *text = read_string(l, g, "members", NULL);
    char *domains = read_string(l, g, "domains", "");
    char **list = g_strsplit(text, ",", -1);
    char **names = g_strsplit(domains, ",", -1);
    const guint name_count = domains[0] == '\0' ? 0 : g_strv_length(names);

    for (int i = 0; list[i] != NULL; i++) {
        if (i == SETTINGS_MAX_MEMBERS) {
            set_error(l, g, "members", "more than 9 members");
            break;
        }
        struct settings_member *m = &d->members[d->member_count++];
        if (!settings_parse_address(g_strstrip(list[i]), &m->address)) {
            set_error(l, g, "members",
                      "must be a list of IP addresses with ports");
            break;
        }
        m->domain =
            g_strdup((guint)i < name_count ? g_strstrip(names[i]) : "");
    }
    if (name_count != 0 && name_count != (guint)d->member_count) {
        set_error(l, g, "domains",
                  "does not name a failure domain for each member");
    }
    g_strfreev(list);
    g_strfreev(names);
    g_free(text);
    g_free(domains);
}

/* Reads the password file without white space at its end. Returns NULL if the
   key is absent. */
static char *
load_password(struct loader *l, const char *g)
{
    char *path = read_optional(l, g, "password_file");
    char *password = NULL;
    GError *err = NULL;

    if (path != NULL && !g_file_get_contents(path, &password, NULL, &err)) {
        set_error(l, g, "password_file", err->message);
        g_error_free(err);
    }
    g_free(path);
    return password == NULL ? NULL : g_strchomp(password);
}

/* Loads one group [database NAME]. */
static void
load_database(struct loader *l, struct settings *s, const char *g)
{
    static const char *const known[] = {
        "members", "domains", "slots",         "connections",
        "floor",   "user",    "password_file", "connect_timeout_ms",
        NULL};

    if (s->database_count == SETTINGS_MAX_DATABASES) {
        set_error(l, g, "members", "more than 64 databases are defined");
        return;
    }
    struct settings_database *d = &s->databases[s->database_count++];
    check_keys(l, g, known);
    d->name = g_strdup(g + strlen("database "));
    load_members(l, d, g);
    d->slots =
        (int)read_number(l, g, &(struct number_key){"slots", 1, 1024, 2});
    d->connections = (int)read_number(
        l, g, &(struct number_key){"connections", 1, 100000, REQUIRED});
    d->floor =
        (int)read_number(l, g, &(struct number_key){"floor", 1, 1000, 1});
    d->user = read_string(l, g, "user", "galenastep");
    d->password = load_password(l, g);
    d->connect_timeout_ms = read_number(
        l, g, &(struct number_key){"connect_timeout_ms", 10, 60000, 2000});
    if (l->error == NULL && d->floor * d->member_count > d->connections) {
        set_error(
            l, g, "floor",
            "times the number of members exceeds the database's connections");
    }
}

/* Loads all groups and rejects unknown ones. */
static void
load_groups(struct loader *l, struct settings *s)
{
    char **groups = g_key_file_get_groups(l->file, NULL);

    load_proxy(l, s);
    load_platform(l, s);
    load_peers(l, s);
    load_statements(l, s);
    for (int i = 0; groups[i] != NULL; i++) {
        const char *g = groups[i];
        if (g_str_has_prefix(g, "kind ")) {
            load_kind(l, s, g);
        }
        else if (g_str_has_prefix(g, "database ")) {
            load_database(l, s, g);
        }
        else if (strcmp(g, "proxy") != 0 && strcmp(g, "platform") != 0 &&
                 strcmp(g, "peers") != 0 && strcmp(g, "statements") != 0) {
            set_error(l, g, "", "unknown group");
        }
    }
    if (s->kind_count == 0) {
        set_error(l, "kind NAME", "class", "no caller kind is defined");
    }
    if (s->database_count == 0) {
        set_error(l, "database NAME", "members", "no database is defined");
    }
    g_strfreev(groups);
}

/* Checks that the floors of all proxies together do not exceed the connections
   of a database. Each proxy opens its floor without coordination with the
   others, so nothing else enforces the limit. */
static void
check_floors(struct loader *l, const struct settings *s)
{
    for (int i = 0; l->error == NULL && i < s->database_count; i++) {
        const struct settings_database *d = &s->databases[i];
        const int64_t floors =
            (int64_t)d->floor * d->member_count * (s->peer_count + 1);

        if (floors > d->connections) {
            char *group = g_strdup_printf("database %s", d->name);

            set_error(l, group, "floor",
                      "times the numbers of members and proxies exceeds the "
                      "database's connections");
            g_free(group);
        }
    }
}

/* Loads and validates a settings file. On failure returns NULL and sets *error
   to a message with file, group and key, which the caller frees with g_free().
 */
struct settings *
settings_load(const char *path, char **error)
{
    struct loader l = {.file = g_key_file_new(), .path = path};
    struct settings *s = g_new0(struct settings, 1);
    GError *err = NULL;

    if (!g_key_file_load_from_file(l.file, path, G_KEY_FILE_NONE, &err)) {
        l.error = g_strdup_printf("%s: %s", path, err->message);
        g_error_free(err);
    }
    else {
        load_groups(&l, s);
        check_floors(&l, s);
    }
    g_key_file_free(l.file);
    if (l.error != NULL) {
        settings_free(s);
        *error = l.error;
        return NULL;
    }
    return s;
}

static void
free_database(struct settings_database *d)
{
    for (int i = 0; i < d->member_count; i++) {
        g_free(d->members[i].address.host);
        g_free(d->members[i].domain);
    }
    g_free(d->name);
    g_free(d->user);
    g_free(d->password);
}

/* NULL is allowed. */
void
settings_free(struct settings *s)
{
    if (s == NULL) {
        return;
    }
    for (int i = 0; i < s->kind_count; i++) {
        g_free(s->kinds[i].name);
    }
    for (int i = 0; i < s->database_count; i++) {
        free_database(&s->databases[i]);
    }
    for (int i = 0; i < s->peer_count; i++) {
        g_free(s->peers[i].domain);
        g_free(s->peers[i].address.host);
    }
    g_free(s->peers);
    g_free(s->name);
    g_free(s->failure_domain);
    g_free(s->listen.host);
    g_free(s->health_listen.host);
    g_free(s->control_listen.host);
    g_free(s->log_level);
    g_free(s->table_url);
    g_free(s->object_url);
    g_free(s->vms_url);
    g_free(s->key_file);
    g_strfreev(s->read_only_functions);
    g_free(s);
}
