#ifndef CONTROL_CONTROL_H
#define CONTROL_CONTROL_H

#include "fleet/rpc_server.h"

#include <glib.h>
#include <stddef.h>

/* Server side of the control protocol for operators (galenastepctl). The
   daemon registers callbacks that fill the tables and carry out the
   commands. Not related to the control connections to database members
   (upstream/control_conn.h). */
struct control;

/* Result codes; galenastepctl uses them as exit codes. */
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

/* Fills a table with control_table_add(). The first row holds the column
   names. argument is empty unless the operator gave one. */
typedef void (*control_table_cb)(void *ctx, const char *argument,
                                 struct control_table *out);

/* A command that has not been answered yet. Exactly one call of
   control_reply_send(), at once or later, answers it and frees it. */
struct control_reply;

void control_reply_send(struct control_reply *r, enum control_code code,
                        const char *message);

/* author and text are valid during the callback only. */
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
void control_append_procedures(struct control *c, GArray *procedures);

#endif
