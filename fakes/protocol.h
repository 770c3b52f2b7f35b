#ifndef FAKES_PROTOCOL_H
#define FAKES_PROTOCOL_H

#include "fakes/conn.h"

/* Server side of the PostgreSQL v3 protocol for one connection: start-up and
   simple Query; other messages go to extended.c. */

void protocol_init(struct conn *c);
void protocol_clear(struct conn *c);
bool protocol_handle_next(struct conn *c);
bool protocol_resume(struct conn *c);
void protocol_finish_startup(struct conn *c);

#endif
