#include "directory/catalog_text.h"

#include <string.h>

/* The text form of a catalog, in which proxies hand it to each other. Names
   are escaped as in URIs, so that none holds a blank:

     catalog VERSION TRANSACTION_IDLE_MS
     service NAME MAX_CONNECTIONS SYNC_REPLICAS
     route DATABASE SERVICE FRESHNESS STALENESS_MS TIMEOUT_MS TARGET_MS PRIO */

#define WORDS_MAX 10

/* Appends a name and a blank. */
static void
append_name(GString *s, const char *name)
{
    g_string_append_uri_escaped(s, name, NULL, FALSE);
    g_string_append_c(s, ' ');
}

/* Writes a catalog as text, owned by the caller. */
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

/* Reads n numbers that are not negative. */
static bool
read_numbers(char **words, int n, int64_t *out)
{
    for (int i = 0; i < n; i++) {
        uint64_t v;
        if (!g_ascii_string_to_unsigned(words[i], 10, 0, G_MAXINT64, &v,
                                        NULL)) {
            return false;
        }
        out[i] = (int64_t)v;
    }
    return true;
}

/* Reads a line "service ...". */
static bool
parse_service(struct catalog *c, char **words)
{
    int64_t v[2];
    char *name = g_uri_unescape_string(words[1], NULL);

    if (name == NULL || !read_numbers(words + 2, 2, v)) {
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

/* Reads a line "route ...". */
static bool
parse_route(struct catalog *c, char **words)
{
    int64_t v[5];
    char *database = g_uri_unescape_string(words[1], NULL);
    char *service = g_uri_unescape_string(words[2], NULL);

    if (database == NULL || service == NULL ||
        !read_numbers(words + 3, 5, v) || v[0] > FRESHNESS_OWN_WRITES) {
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

/* Reads one line into the catalog. */
static bool
parse_line(struct catalog *c, const char *line)
{
    char **words = g_strsplit(line, " ", WORDS_MAX);
    const guint n = g_strv_length(words);
    const bool ok =
        (n == 4 && strcmp(words[0], "service") == 0 &&
         parse_service(c, words)) ||
        (n == 8 && strcmp(words[0], "route") == 0 && parse_route(c, words));

    g_strfreev(words);
    return ok;
}

/* Reads the first line. */
static struct catalog *
parse_head(const char *line)
{
    char **words = g_strsplit(line, " ", WORDS_MAX);
    int64_t v[2];
    struct catalog *c = NULL;

    if (g_strv_length(words) == 3 && strcmp(words[0], "catalog") == 0 &&
        read_numbers(words + 1, 2, v) && v[0] > 0) {
        c = catalog_create((uint64_t)v[0]);
        c->transaction_idle_ms = v[1];
    }
    g_strfreev(words);
    return c;
}

/* Reads a text made by catalog_format(). Returns NULL when any line is not
   valid: a catalog with a part of the routes would refuse callers of the
   others. */
struct catalog *
catalog_parse(struct sview text)
{
    char *copy = g_strndup(text.p, text.n);
    char **lines = g_strsplit(copy, "\n", 0);
    struct catalog *c = lines[0] == NULL ? NULL : parse_head(lines[0]);
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
