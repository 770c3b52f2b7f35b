#ifndef FAKES_CALLS_H
#define FAKES_CALLS_H

#include "fakes/conn.h"

/* The functions that can be called by SELECT. */

void calls_run(struct conn *c);
void calls_confirmed(struct conn *c);

/* Offered by exec.c. */
void exec_error(struct conn *c, const char *sqlstate, const char *message);
void exec_text(struct conn *c, char *text);
void exec_barrier(struct conn *c);
void exec_confirm(struct conn *c);
void exec_finish(struct conn *c, const char *tag);

#endif
