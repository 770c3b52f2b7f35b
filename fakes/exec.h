#ifndef FAKES_EXEC_H
#define FAKES_EXEC_H

#include "fakes/conn.h"

/* Executes one statement of a connection. exec_step() returns whenever the
   statement has to wait and continues when called again. */

void exec_start(struct conn *c, const struct sql_statement *st, char **args,
                bool is_last);
void exec_start_commit(struct conn *c);
bool exec_step(struct conn *c);
void exec_clear(struct conn *c);
void exec_end_transaction(struct conn *c, bool committed);
void exec_fail_transaction(struct conn *c);
void exec_check_cancel(struct conn *c, struct result *r);
void result_clear(struct result *r);

#endif
