#ifndef FAKES_ROW_MAP_H
#define FAKES_ROW_MAP_H

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>

/* Rows of all tables of one member, in one hash table. A key consists of the
   table's letter (enum table_letter) and the row's id. */

enum table_letter {
    TABLE_ENTRIES = 'e',
    TABLE_RENEWALS = 'r',
    TABLE_REQUESTS = 'q', /* results by request key */
};

enum op_kind {
    OP_PUT,    /* sets an absolute value; the only kind in a log */
    OP_INSERT, /* fails if the row exists */
    OP_SET,    /* no effect if the row does not exist */
    OP_ADD,    /* adds to a number; a missing row counts as 0 */
};

struct op {
    enum op_kind kind;
    char *key;
    char *value;
};

struct row_map;

struct row_map *row_map_create(void);
void row_map_destroy(struct row_map *s);
const char *row_map_get(const struct row_map *s, const char *key);
void row_map_put(struct row_map *s, const char *key, const char *value);
uint64_t row_map_count(const struct row_map *s, enum table_letter table);

void op_clear(struct op *o);
bool op_apply(const struct op *o, const char *current, char **next);

#endif
