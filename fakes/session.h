#ifndef FAKES_SESSION_H
#define FAKES_SESSION_H

#include "fakes/group.h"

#include <glib.h>

/* Settings and transaction of one connection. */

enum session_tx {
    SESSION_IDLE,
    SESSION_IMPLICIT, /* until the end of the Query or Sync */
    SESSION_BLOCK,    /* after BEGIN */
};

/* Settings that are reported to clients. */
#define SESSION_REPORTED 7

struct session {
    enum session_tx tx;
    bool failed;
    bool read_only;
    bool wrote;
    GArray *ops;         /* struct op */
    GHashTable *startup; /* from the start-up packet; RESET returns here */
    GHashTable *set;     /* settings that differ from the defaults */
    GHashTable *saved;   /* set as it was at the transaction's start */
    GHashTable *local;   /* SET LOCAL; NULL without any */
    char *tx_owner;      /* owner of the transaction's first statement */
    bool changed;        /* a setting changed since the last report */
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
const char *session_reported(unsigned i);

void session_end(struct session *s, bool committed);
void session_add_op(struct session *s, enum op_kind kind, const char *key,
                    const char *value);
void session_drop_ops(struct session *s, unsigned keep);
bool session_overlay(const struct session *s, const char *key,
                     const char *base, char **out);
char session_status(const struct session *s);

#endif
