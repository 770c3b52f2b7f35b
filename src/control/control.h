#ifndef CONTROL_CONTROL_H
#define CONTROL_CONTROL_H

#include "fleet/rpc_server.h"

#include <glib.h>
#include <stddef.h>

/* The operators' program. The daemon registers what the tables show and what
   the commands do; this module only speaks the protocol. */
struct control;

/* Result codes; equal to the exit codes of galenastepctl. */
enum control_code {
    CONTROL_OK = 0,
    CONTROL_FAILED = 1,
    CONTROL_USAGE = 2,
    CONTROL_CONFLICT = 4,
};

/* A table under construction. */
struct control_table;

void control_table_add(struct control_table *t, const char *cell, ...)
    __attribute__((sentinel));
void control_table_fail(struct control_table *t, enum control_code code,
                        const char *message);

/* Fills the table: the first added row holds the column names. argument is
   empty unless the operator gave one. */
typedef void (*control_table_cb)(void *ctx, const char *argument,
                                 struct control_table *out);

/* A command that waits for its result; control_reply_send answers it exactly
   once, at once or later, and releases it. */
struct control_reply;

void control_reply_send(struct control_reply *r, enum control_code code,
                        const char *message);

/* text is valid until the callback returns. */
typedef void (*control_submit_cb)(void *ctx, struct control_reply *r,
                                  const char *author, const char *text);
typedef void (*control_drain_cb)(void *ctx, struct control_reply *r);

struct control *control_create(void);
void control_destroy(struct control *c);
gboolean control_register_table(struct control *c, const char *name,
                                control_table_cb cb, void *ctx);
void control_register_submit(struct control *c, control_submit_cb cb,
                             void *ctx);
void control_register_drain(struct control *c, control_drain_cb cb, void *ctx);
void control_append_procedures(struct control *c, GArray *rows);

#endif
