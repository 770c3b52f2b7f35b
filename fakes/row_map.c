#include "fakes/row_map.h"

#include <errno.h>
#include <stdlib.h>

struct row_map {
    GHashTable *rows;
    uint64_t counts[256]; /* rows per table letter */
};

struct row_map *
row_map_create(void)
{
    struct row_map *s = g_new0(struct row_map, 1);

    s->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return s;
}

void
row_map_destroy(struct row_map *s)
{
    if (s != NULL) {
        g_hash_table_destroy(s->rows);
        g_free(s);
    }
}

/* Returns the value of a row, NULL if it does not exist. */
const char *
row_map_get(const struct row_map *s, const char *key)
{
    return g_hash_table_lookup(s->rows, key);
}

/* Sets the value of a row, creating it if needed. */
void
row_map_put(struct row_map *s, const char *key, const char *value)
{
    if (g_hash_table_replace(s->rows, g_strdup(key), g_strdup(value))) {
        s->counts[(unsigned char)key[0]]++;
    }
}

uint64_t
row_map_count(const struct row_map *s, enum table_letter table)
{
    return s->counts[(unsigned char)table];
}

/* Frees the strings of an operation, not the operation itself. */
void
op_clear(struct op *o)
{
    g_free(o->key);
    g_free(o->value);
}

/* Parses a string that is a decimal number as a whole. */
static bool
parse_number(const char *s, int64_t *out)
{
    char *end = NULL;

    errno = 0;
    *out = g_ascii_strtoll(s, &end, 10);
    return errno == 0 && end != s && *end == '\0';
}

/* Computes the value of a row after an operation. current is NULL if the row
   does not exist. *next is to be freed; NULL if the row does not change.
   Returns false for arithmetic on a non-number or beyond 64 bits. */
bool
op_apply(const struct op *o, const char *current, char **next)
{
    int64_t a = 0;
    int64_t b = 0;
    int64_t sum = 0;

    *next = NULL;
    if (o->kind == OP_ADD) {
        if (!parse_number(o->value, &b) ||
            (current != NULL && !parse_number(current, &a)) ||
            __builtin_add_overflow(a, b, &sum)) {
            return false;
        }
        *next = g_strdup_printf("%" G_GINT64_FORMAT, sum);
        return true;
    }
    if (o->kind != OP_SET || current != NULL) {
        *next = g_strdup(o->value);
    }
    return true;
}
