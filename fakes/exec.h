#ifndef FAKES_EXEC_H
#define FAKES_EXEC_H

#include "fakes/conn.h"

/* Execution of one statement on a connection, in steps between waits. */

void exec_start(struct conn *c, const struct sql_statement *st, char **args,
                bool final);
void exec_start_commit(struct conn *c);
bool exec_step(struct conn *c);
void exec_drop(struct conn *c);
void exec_end_transaction(struct conn *c, bool committed);
void exec_fail_transaction(struct conn *c);
void exec_check_cancel(struct conn *c, struct result *r);
void result_clear(struct result *r);

#endif
