#include "cost/usage.h"

#include <string.h>

/* Larger values are rejected so that sums over the fleet do not overflow. The
   counters of a real proxy stay far below. */
#define COUNTER_MAX (UINT64_MAX >> 16)

/* The latest totals of one proxy since one of its starts. */
struct proxy_totals {
    uint64_t sequence;
    GArray *rows; /* of struct cost_row */
};

struct cost_ledger {
    GHashTable
        *totals_by_proxy; /* "PROXY INCARNATION" -> struct proxy_totals */
};

static void
free_proxy_totals(void *p)
{
    struct proxy_totals *totals = p;

    g_array_free(totals->rows, TRUE);
    g_free(totals);
}

struct cost_ledger *
cost_ledger_create(void)
{
    struct cost_ledger *l = g_new0(struct cost_ledger, 1);

    l->totals_by_proxy = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                               free_proxy_totals);
    return l;
}

/* NULL is allowed. */
void
cost_ledger_destroy(struct cost_ledger *l)
{
    if (l) {
        g_hash_table_destroy(l->totals_by_proxy);
        g_free(l);
    }
}

static bool
read_field(const char *s, uint64_t *out)
{
    guint64 value = 0;
    bool ok = g_ascii_string_to_unsigned(s, 10, 0, COUNTER_MAX, &value, NULL);

    *out = value;
    return ok;
}

static bool
read_row(const char *line, struct cost_row *row)
{
    struct cost_usage *u = &row->used;
    char **parts = g_strsplit(line, " ", 9);
    bool ok = g_strv_length(parts) == 8 && cost_name_valid(parts[0]) &&
              cost_name_valid(parts[1]) && read_field(parts[2], &u->cpu_us) &&
              read_field(parts[3], &u->connection_ms) &&
              read_field(parts[4], &u->bytes) &&
              read_field(parts[5], &u->statements) &&
              read_field(parts[6], &u->store_reads) &&
              read_field(parts[7], &u->store_writes);

    if (ok) {
        g_strlcpy(row->database, parts[0], sizeof(row->database));
        g_strlcpy(row->kind, parts[1], sizeof(row->kind));
    }
    g_strfreev(parts);
    return ok;
}

/* Reads the rows after the header. Returns NULL if one is invalid, if there
   are not count rows, or if the newline at the end is missing. */
static GArray *
read_rows(char **lines, uint64_t count)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct cost_row));
    bool ok = true;
    size_t i = 0;

    for (; ok && lines[i] && lines[i][0] != '\0'; i++) {
        struct cost_row row = {0};

        ok = read_row(lines[i], &row);
        g_array_append_val(rows, row);
    }
    if (!ok || rows->len != count || !lines[i]) {
        g_array_free(rows, TRUE);
        return NULL;
    }
    return rows;
}

/* Merges a text of cost_meter_serialize(). It replaces the totals of the same
   proxy and incarnation unless their sequence number is at least as high, so
   repeated and reordered texts are not counted twice. Returns false if the
   text is invalid. */
bool
cost_ledger_merge(struct cost_ledger *l, const char *text, size_t n)
{
    uint64_t sequence = 0;
    uint64_t count = 0;
    uint64_t ignored = 0;

    if (n > COST_TEXT_MAX_BYTES || memchr(text, '\0', n)) {
        return false;
    }
    char *copy = g_strndup(text, n);
    char **lines = g_strsplit(copy, "\n", -1);
    char **head = g_strsplit(lines[0] ? lines[0] : "", " ", 6);
    GArray *rows = NULL;

    if (g_strv_length(head) == 5 && strcmp(head[0], "usage") == 0 &&
        read_field(head[1], &ignored) && read_field(head[2], &ignored) &&
        read_field(head[3], &sequence) && read_field(head[4], &count)) {
        rows = read_rows(lines + 1, count);
    }
    bool ok = rows != NULL;

    if (ok) {
        char *key = g_strdup_printf("%s %s", head[1], head[2]);
        const struct proxy_totals *old =
            g_hash_table_lookup(l->totals_by_proxy, key);

        if (old && old->sequence >= sequence) {
            g_array_free(rows, TRUE);
            g_free(key);
        }
        else {
            struct proxy_totals *totals = g_new0(struct proxy_totals, 1);

            totals->sequence = sequence;
            totals->rows = rows;
            g_hash_table_replace(l->totals_by_proxy, key, totals);
        }
    }
    g_strfreev(head);
    g_strfreev(lines);
    g_free(copy);
    return ok;
}

static int
compare_rows(const void *a, const void *b)
{
    const struct cost_row *x = a;
    const struct cost_row *y = b;
    int order = strcmp(x->database, y->database);

    return order != 0 ? order : strcmp(x->kind, y->kind);
}

/* Returns the sums over all proxies, an array of struct cost_row sorted by
   database and kind. The caller frees it. */
GArray *
cost_ledger_rows(const struct cost_ledger *l)
{
    GArray *all = g_array_new(FALSE, TRUE, sizeof(struct cost_row));
    GArray *sums = g_array_new(FALSE, TRUE, sizeof(struct cost_row));
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, l->totals_by_proxy);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct proxy_totals *totals = value;

        if (totals->rows->len > 0) {
            g_array_append_vals(all, totals->rows->data, totals->rows->len);
        }
    }
    g_array_sort(all, compare_rows);
    for (guint i = 0; i < all->len; i++) {
        const struct cost_row *r = &g_array_index(all, struct cost_row, i);
        struct cost_row *last =
            sums->len > 0
                ? &g_array_index(sums, struct cost_row, sums->len - 1)
                : NULL;

        if (last && compare_rows(last, r) == 0) {
            cost_usage_add(&last->used, &r->used);
        }
        else {
            g_array_append_vals(sums, r, 1);
        }
    }
    g_array_free(all, TRUE);
    return sums;
}

/* Subtracts an earlier result of cost_ledger_rows() from rows, which gives the
   usage in the period between. Both must be sorted. Counters of a ledger never
   decrease; a lower one would become 0. */
void
cost_rows_subtract(GArray *rows, const GArray *before)
{
    guint j = 0;

    for (guint i = 0; i < rows->len; i++) {
        struct cost_row *r = &g_array_index(rows, struct cost_row, i);

        while (j < before->len &&
               compare_rows(&g_array_index(before, struct cost_row, j), r) <
                   0) {
            j++;
        }
        if (j == before->len) {
            return;
        }
        const struct cost_row *b = &g_array_index(before, struct cost_row, j);

        if (compare_rows(b, r) != 0) {
            continue;
        }
        r->used.cpu_us -= MIN(r->used.cpu_us, b->used.cpu_us);
        r->used.connection_ms -=
            MIN(r->used.connection_ms, b->used.connection_ms);
        r->used.bytes -= MIN(r->used.bytes, b->used.bytes);
        r->used.statements -= MIN(r->used.statements, b->used.statements);
        r->used.store_reads -= MIN(r->used.store_reads, b->used.store_reads);
        r->used.store_writes -=
            MIN(r->used.store_writes, b->used.store_writes);
    }
}
