#include "cost/usage.h"

#include <string.h>

struct cost_meter {
    uint64_t proxy;
    uint64_t incarnation;
    uint64_t sequence;
    GHashTable *rows; /* "DATABASE KIND" -> struct cost_row */
};

void
cost_usage_add(struct cost_usage *sum, const struct cost_usage *used)
{
    sum->cpu_us += used->cpu_us;
    sum->connection_ms += used->connection_ms;
    sum->bytes += used->bytes;
    sum->statements += used->statements;
    sum->store_reads += used->store_reads;
    sum->store_writes += used->store_writes;
}

/* Returns true if name consists of 1 to 63 ASCII letters, digits, '-' or '_'.
 */
bool
cost_name_valid(const char *name)
{
    size_t n = strlen(name);

    if (n == 0 || n >= COST_NAME_BYTES) {
        return false;
    }
    for (size_t i = 0; i < n; i++) {
        if (!g_ascii_isalnum(name[i]) && name[i] != '-' && name[i] != '_') {
            return false;
        }
    }
    return true;
}

/* incarnation must differ for each start of the proxy. */
struct cost_meter *
cost_meter_create(uint64_t proxy, uint64_t incarnation)
{
    struct cost_meter *m = g_new0(struct cost_meter, 1);

    m->proxy = proxy;
    m->incarnation = incarnation;
    m->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return m;
}

/* NULL is allowed. */
void
cost_meter_destroy(struct cost_meter *m)
{
    if (m) {
        g_hash_table_destroy(m->rows);
        g_free(m);
    }
}

/* Adds usage. Returns false if a name is invalid. */
bool
cost_meter_add(struct cost_meter *m, const char *database, const char *kind,
               const struct cost_usage *used)
{
    char key[2 * COST_NAME_BYTES];

    if (!cost_name_valid(database) || !cost_name_valid(kind)) {
        return false;
    }
    (void)g_snprintf(key, sizeof(key), "%s %s", database, kind);
    struct cost_row *row = g_hash_table_lookup(m->rows, key);

    if (!row) {
        row = g_new0(struct cost_row, 1);
        g_strlcpy(row->database, database, sizeof(row->database));
        g_strlcpy(row->kind, kind, sizeof(row->kind));
        g_hash_table_insert(m->rows, g_strdup(key), row);
    }
    cost_usage_add(&row->used, used);
    return true;
}

/* Serializes the totals since the start for peers or the table service. The
   first line is "usage PROXY INCARNATION SEQUENCE ROWS"; each other line has a
   database, a caller kind and six counters. The caller frees the text with
   g_free(). */
char *
cost_meter_serialize(struct cost_meter *m)
{
    GString *out = g_string_new(NULL);
    GHashTableIter it;
    void *value;

    g_string_append_printf(out,
                           "usage %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
                           " %" G_GUINT64_FORMAT " %u\n",
                           (guint64)m->proxy, (guint64)m->incarnation,
                           (guint64)++m->sequence, g_hash_table_size(m->rows));
    g_hash_table_iter_init(&it, m->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct cost_row *r = value;
        const uint64_t fields[] = {r->used.cpu_us,      r->used.connection_ms,
                                   r->used.bytes,       r->used.statements,
                                   r->used.store_reads, r->used.store_writes};

        g_string_append_printf(out, "%s %s", r->database, r->kind);
        for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
            g_string_append_printf(out, " %" G_GUINT64_FORMAT,
                                   (guint64)fields[i]);
        }
        g_string_append_c(out, '\n');
    }
    return g_string_free(out, FALSE);
}
