#ifndef FAKES_PROTOCOL_H
#define FAKES_PROTOCOL_H

#include "fakes/conn.h"

/* PostgreSQL v3 messages of one connection. */

void protocol_init(struct conn *c);
void protocol_clear(struct conn *c);
bool protocol_next(struct conn *c);
bool protocol_continue(struct conn *c);
void protocol_open(struct conn *c);

#endif
