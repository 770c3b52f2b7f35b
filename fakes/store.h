#ifndef FAKES_STORE_H
#define FAKES_STORE_H

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>

/* Rows of all tables of one member. A key is the table's letter followed by
   the row's id, so that one hash table holds every table. */

enum store_table {
    STORE_ENTRIES = 'e',
    STORE_RENEWALS = 'r',
    STORE_REQUESTS = 'q',
};

enum op_kind {
    OP_PUT,    /* the only kind in a log: absolute value */
    OP_INSERT, /* fails on an existing row */
    OP_SET,    /* changes an existing row, else nothing */
    OP_ADD,    /* adds to a number; creates the row when absent */
};

struct op {
    enum op_kind kind;
    char *key;
    char *value;
};

struct store;

struct store *store_create(void);
void store_destroy(struct store *s);
const char *store_get(const struct store *s, const char *key);
void store_put(struct store *s, const char *key, const char *value);
uint64_t store_count(const struct store *s, enum store_table table);

void op_clear(struct op *o);
bool op_apply(const struct op *o, const char *current, char **next);

#endif
