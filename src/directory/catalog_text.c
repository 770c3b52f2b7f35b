#include "directory/catalog_text.h"

#include <string.h>

/* Text format in which proxies send the catalog to each other. Names are
   URI-escaped, so that they contain no blanks:

     catalog VERSION TRANSACTION_IDLE_MS
     service NAME MAX_CONNECTIONS SYNC_REPLICAS
     route DATABASE SERVICE FRESHNESS STALENESS_MS TIMEOUT_MS TARGET_MS PRIO */

#define FIELDS_MAX 10

static void
append_name(GString *s, const char *name)
{
    g_string_append_uri_escaped(s, name, NULL, FALSE);
    g_string_append_c(s, ' ');
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

/* Parses a line after the first and adds it to the catalog. */
static bool
parse_line(struct catalog *c, const char *line)
{
    char **fields = g_strsplit(line, " ", FIELDS_MAX);
    const guint n = g_strv_length(fields);
    const bool ok =
        (n == 4 && strcmp(fields[0], "service") == 0 &&
         parse_service(c, fields)) ||
        (n == 8 && strcmp(fields[0], "route") == 0 && parse_route(c, fields));

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

/* Parses a text written by catalog_format(). Returns NULL if any line is
   invalid: a catalog without some of the routes would refuse the callers of
   those databases. */
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
