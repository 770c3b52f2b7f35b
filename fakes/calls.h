#ifndef FAKES_CALLS_H
#define FAKES_CALLS_H

#include "fakes/conn.h"

/* The SQL functions of the stand-in, called as SELECT function(...). */

void calls_run(struct conn *c);
void calls_finish_confirmed(struct conn *c);

/* Defined in exec.c: set the result of the current statement or make it wait
   for the group. */
void exec_error(struct conn *c, const char *sqlstate, const char *message);
void exec_return_text(struct conn *c, char *text);
void exec_barrier(struct conn *c);
void exec_confirm(struct conn *c);
void exec_finish(struct conn *c, const char *tag);

#endif
