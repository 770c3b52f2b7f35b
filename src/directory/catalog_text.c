#include "directory/catalog_text.h"

#include <string.h>

/* Text format in which proxies send the catalog to each other. Names are
   URI-escaped, so that they contain no blanks:

     catalog VERSION TRANSACTION_IDLE_MS
     service NAME MAX_CONNECTIONS SYNC_REPLICAS
     route DATABASE SERVICE FRESHNESS STALENESS_MS TIMEOUT_MS TARGET_MS PRIO
     public DATABASE
     accounts
     account NAME PRIORITY RATE_MILLI_PER_S BURST_MILLI
     key DIGEST ACCOUNT

   The last four kinds are written only if API keys are checked; without them
   the text is that of earlier builds. A line refers only to lines before it.
   Readers skip lines of other kinds, so that later builds can add some. */

#define FIELDS_MAX 10

static void
append_name(GString *s, const char *name)
{
    g_string_append_uri_escaped(s, name, NULL, FALSE);
    g_string_append_c(s, ' ');
}

/* Appends the accounts, their keys, and which routes need no key. */
static void
format_accounts(GString *s, const struct catalog *c)
{
    GHashTableIter i;
    void *key;
    void *value;

    g_string_append(s, "accounts\n");
    g_hash_table_iter_init(&i, c->routes);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct database_route *r = value;
        if (r->is_public) {
            g_string_append(s, "public ");
            g_string_append_uri_escaped(s, r->database, NULL, FALSE);
            g_string_append_c(s, '\n');
        }
    }
    g_hash_table_iter_init(&i, c->accounts);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct account *a = value;
        g_string_append(s, "account ");
        append_name(s, a->name);
        g_string_append_printf(s, "%d %lld %lld\n", a->priority,
                               (long long)a->rate_milli_per_s,
                               (long long)a->burst_milli);
    }
    g_hash_table_iter_init(&i, c->keys);
    while (g_hash_table_iter_next(&i, &key, &value)) {
        const struct account_key *k = key;
        const struct account *a = value;
        g_string_append(s, "key ");
        for (size_t b = 0; b < sizeof(k->digest); b++) {
            g_string_append_printf(s, "%02x", k->digest[b]);
        }
        g_string_append_c(s, ' ');
        g_string_append_uri_escaped(s, a->name, NULL, FALSE);
        g_string_append_c(s, '\n');
    }
}

/* The text must be freed by the caller with g_free(). */
char *
catalog_format(const struct catalog *c)
{
    GString *s = g_string_new(NULL);
    GHashTableIter i;
    void *value;

    g_string_append_printf(s, "catalog %" G_GUINT64_FORMAT " %lld\n",
                           c->version, (long long)c->transaction_idle_ms);
    g_hash_table_iter_init(&i, c->services);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct service_limits *l = value;
        g_string_append(s, "service ");
        append_name(s, l->service);
        g_string_append_printf(s, "%d %d\n", l->max_connections,
                               l->sync_replicas);
    }
    g_hash_table_iter_init(&i, c->routes);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct database_route *r = value;
        g_string_append(s, "route ");
        append_name(s, r->database);
        append_name(s, r->service);
        g_string_append_printf(s, "%d %lld %lld %lld %d\n", (int)r->freshness,
                               (long long)r->max_staleness_ms,
                               (long long)r->statement_timeout_ms,
                               (long long)r->target_ms, r->priority);
    }
    if (c->has_accounts) {
        format_accounts(s, c);
    }
    return g_string_free(s, FALSE);
}

/* Parses n non-negative numbers. */
static bool
read_numbers(char **fields, int n, int64_t *out)
{
    for (int i = 0; i < n; i++) {
        uint64_t v;
        if (!g_ascii_string_to_unsigned(fields[i], 10, 0, G_MAXINT64, &v,
                                        NULL)) {
            return false;
        }
        out[i] = (int64_t)v;
    }
    return true;
}

/* Parses the fields of a "service" line. */
static bool
parse_service(struct catalog *c, char **fields)
{
    int64_t v[2];
    char *name = g_uri_unescape_string(fields[1], NULL);

    if (name == NULL || !read_numbers(fields + 2, 2, v)) {
        g_free(name);
        return false;
    }
    struct service_limits *l = g_new0(struct service_limits, 1);
    l->service = name;
    l->max_connections = (int)v[0];
    l->sync_replicas = (int)v[1];
    catalog_add_service(c, l);
    return true;
}

/* Parses the fields of a "route" line. */
static bool
parse_route(struct catalog *c, char **fields)
{
    int64_t v[5];
    char *database = g_uri_unescape_string(fields[1], NULL);
    char *service = g_uri_unescape_string(fields[2], NULL);

    if (database == NULL || service == NULL ||
        !read_numbers(fields + 3, 5, v) || v[0] > FRESHNESS_OWN_WRITES) {
        g_free(database);
        g_free(service);
        return false;
    }
    struct database_route *r = g_new0(struct database_route, 1);
    r->database = database;
    r->service = service;
    r->freshness = (enum freshness)v[0];
    r->max_staleness_ms = v[1];
    r->statement_timeout_ms = v[2];
    r->target_ms = v[3];
    r->priority = (int)v[4];
    catalog_add_route(c, r);
    return true;
}

/* Parses the fields of a "public" line. */
static bool
parse_public(struct catalog *c, char **fields)
{
    char *database = g_uri_unescape_string(fields[1], NULL);
    struct database_route *r =
        database == NULL ? NULL : g_hash_table_lookup(c->routes, database);

    g_free(database);
    if (r == NULL) {
        return false;
    }
    r->is_public = true;
    return true;
}

/* Parses an "accounts" line. */
static bool
parse_accounts(struct catalog *c, char **fields)
{
    (void)fields;
    c->has_accounts = true;
    return true;
}

/* Parses the fields of an "account" line. */
static bool
parse_account(struct catalog *c, char **fields)
{
    int64_t v[3];
    char *name = g_uri_unescape_string(fields[1], NULL);

    if (name == NULL || !read_numbers(fields + 2, 3, v) || v[0] > G_MAXINT ||
        g_hash_table_contains(c->accounts, name)) {
        g_free(name);
        return false;
    }
    struct account *a = g_new0(struct account, 1);
    a->name = name;
    a->priority = (int)v[0];
    a->rate_milli_per_s = v[1];
    a->burst_milli = v[2];
    catalog_add_account(c, a);
    return true;
}

/* Parses the fields of a "key" line. */
static bool
parse_key(struct catalog *c, char **fields)
{
    struct account_key key;
    const char *hex = fields[1];

    if (strlen(hex) != 2 * sizeof(key.digest)) {
        return false;
    }
    for (size_t i = 0; i < sizeof(key.digest); i++) {
        const int high = g_ascii_xdigit_value(hex[2 * i]);
        const int low = g_ascii_xdigit_value(hex[2 * i + 1]);
        if (high < 0 || low < 0) {
            return false;
        }
        key.digest[i] = (uint8_t)(high * 16 + low);
    }
    char *account = g_uri_unescape_string(fields[2], NULL);
    const bool ok = account != NULL && catalog_add_key(c, &key, account);
    g_free(account);
    return ok;
}

static const struct line_kind {
    const char *name;
    guint fields; /* with the name */
    bool (*parse)(struct catalog *c, char **fields);
} line_kinds[] = {
    {"service", 4, parse_service}, {"route", 8, parse_route},
    {"public", 2, parse_public},   {"accounts", 1, parse_accounts},
    {"account", 5, parse_account}, {"key", 3, parse_key},
};

/* Returns true if a text could name a kind of line: lower-case letters. */
static bool
is_kind_name(const char *text)
{
    const char *p = text;

    while (g_ascii_islower(*p)) {
        p++;
    }
    return p > text && *p == '\0';
}

/* Parses a line after the first and adds it to the catalog. */
static bool
parse_line(struct catalog *c, const char *line)
{
    char **fields = g_strsplit(line, " ", FIELDS_MAX);
    bool ok = fields[0] != NULL && is_kind_name(fields[0]);

    for (size_t i = 0; ok && i < G_N_ELEMENTS(line_kinds); i++) {
        const struct line_kind *k = &line_kinds[i];
        if (strcmp(fields[0], k->name) == 0) {
            ok = g_strv_length(fields) == k->fields && k->parse(c, fields);
            break;
        }
    }
    g_strfreev(fields);
    return ok;
}

/* Parses the first line. Returns a catalog without routes, or NULL. */
static struct catalog *
parse_header(const char *line)
{
    char **fields = g_strsplit(line, " ", FIELDS_MAX);
    int64_t v[2];
    struct catalog *c = NULL;

    if (g_strv_length(fields) == 3 && strcmp(fields[0], "catalog") == 0 &&
        read_numbers(fields + 1, 2, v) && v[0] > 0) {
        c = catalog_create((uint64_t)v[0]);
        c->transaction_idle_ms = v[1];
    }
    g_strfreev(fields);
    return c;
}

/* Parses a text written by catalog_format(). Returns NULL if any line of a
   known kind is invalid: a catalog without some of the routes would refuse the
   callers of those databases. */
struct catalog *
catalog_parse(struct sview text)
{
    char *copy = sview_dup(text);
    char **lines = g_strsplit(copy, "\n", 0);
    struct catalog *c = lines[0] == NULL ? NULL : parse_header(lines[0]);
    bool ok = c != NULL;

    for (int i = 1; ok && lines[i] != NULL; i++) {
        ok = lines[i][0] == '\0' || parse_line(c, lines[i]);
    }
    g_strfreev(lines);
    g_free(copy);
    if (!ok) {
        catalog_unref(c);
        return NULL;
    }
    return c;
}
