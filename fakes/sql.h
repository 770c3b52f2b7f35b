#ifndef FAKES_SQL_H
#define FAKES_SQL_H

#include "base/sview.h"
#include "fakes/row_map.h"

#include <glib.h>

/* Parser for the few forms of statements that the stand-in supports. */

#define SQL_ARGS_MAX 3
#define SQL_PARAMS_MAX 16

enum sql_kind {
    SQL_EMPTY,
    SQL_SELECT_VALUE,
    SQL_SELECT_ROW,
    SQL_SELECT_COUNT,
    SQL_SELECT_CONSTANT,
    SQL_INSERT,
    SQL_UPDATE_SET,
    SQL_UPDATE_ADD,
    SQL_CALL,
    SQL_BEGIN,
    SQL_COMMIT,
    SQL_ROLLBACK,
    SQL_SAVEPOINT,
    SQL_RELEASE,
    SQL_SET,
    SQL_SET_LOCAL,
    SQL_RESET,
    SQL_RESET_ALL,
    SQL_SHOW,
    SQL_DISCARD_ALL,
};

enum sql_function {
    SQL_GROUP_STATE,
    SQL_GROUP_CONFIRM,
    SQL_GROUP_SEAL,
    SQL_GROUP_PROMOTE,
    SQL_GROUP_FOLLOW,
    SQL_REQUEST_CLAIM,
    SQL_REQUEST_STORE,
    SQL_REQUEST_LOOKUP,
    SQL_CURRENT_SETTING,
    SQL_FAKE_ROWS,
    SQL_FAKE_SLEEP,
    SQL_FAKE_FAULT,
    SQL_FAKE_STATS,
    SQL_CANCEL_BACKEND,
    SQL_FAKE_SESSION,
};

/* A literal, or a parameter when param is not 0. */
struct sql_arg {
    unsigned param;
    char *text;
};

struct sql_statement {
    enum sql_kind kind;
    enum sql_function function;
    enum table_letter table;
    bool read_only; /* BEGIN READ ONLY */
    bool subtract;  /* UPDATE ... SET value = value - N */
    unsigned n_args;
    unsigned n_params;
    struct sql_arg args[SQL_ARGS_MAX];
    char *owner; /* from a comment with owner=NAME, or NULL */
};

bool sql_parse(struct sview *rest, struct sql_statement *out);
void sql_clear(struct sql_statement *st);
bool sql_is_write(const struct sql_statement *st);
bool sql_returns_rows(const struct sql_statement *st);
const char *sql_column_name(const struct sql_statement *st);

#endif
