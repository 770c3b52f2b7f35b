#ifndef FAKES_SESSION_H
#define FAKES_SESSION_H

#include "fakes/group.h"

#include <glib.h>

/* Settings and transaction state of one connection. Names of settings are in
   lower case. */

enum session_tx {
    SESSION_IDLE,
    SESSION_IMPLICIT, /* ends with the Query or at Sync */
    SESSION_BLOCK,    /* after BEGIN */
};

/* Number of settings that are reported to clients by ParameterStatus. */
#define SESSION_REPORTED_COUNT 7

struct session {
    enum session_tx tx;
    bool failed;
    bool read_only;
    bool has_writes;
    GArray *ops;                  /* struct op, buffered until the commit */
    GHashTable *startup_settings; /* from the start-up packet, used by RESET */
    GHashTable *changed_settings; /* by SET */
    GHashTable *saved_settings;   /* changed_settings before the transaction's
                                     first change; NULL if there was none */
    GHashTable *local;            /* by SET LOCAL; NULL if there are none */
    char *tx_owner;      /* first owner=NAME of the transaction's statements */
    bool report_pending; /* a setting changed since the last report */
    int64_t statement_timeout_ms;
    int64_t idle_timeout_ms;
};

void session_init(struct session *s);
void session_clear(struct session *s);

const char *session_setting(const struct session *s, const char *name);
void session_set_startup(struct session *s, const char *name,
                         const char *value);
void session_set(struct session *s, const char *name, const char *value,
                 bool local);
void session_reset(struct session *s, const char *name);
void session_reset_all(struct session *s);
void session_describe(const struct session *s, GString *out);
const char *session_reported_name(unsigned i);

void session_end_transaction(struct session *s, bool committed);
void session_add_op(struct session *s, enum op_kind kind, const char *key,
                    const char *value);
void session_drop_ops(struct session *s, unsigned keep);
bool session_apply_ops(const struct session *s, const char *key,
                       const char *base, char **out);
char session_status(const struct session *s);

#endif
