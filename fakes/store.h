#ifndef FAKES_STORE_H
#define FAKES_STORE_H

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>

/* Rows of all tables of one member, in one hash table. A key consists of the
   table's letter (enum store_table) and the row's id. */

enum store_table {
    STORE_ENTRIES = 'e',
    STORE_RENEWALS = 'r',
    STORE_REQUESTS = 'q', /* results by request key */
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

struct store;

struct store *store_create(void);
void store_destroy(struct store *s);
const char *store_get(const struct store *s, const char *key);
void store_put(struct store *s, const char *key, const char *value);
uint64_t store_count(const struct store *s, enum store_table table);

void op_clear(struct op *o);
bool op_apply(const struct op *o, const char *current, char **next);

#endif
