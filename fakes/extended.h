#ifndef FAKES_EXTENDED_H
#define FAKES_EXTENDED_H

#include "fakes/conn.h"

/* The extended query protocol. */

void extended_message(struct conn *c, char type, struct sview body);
void extended_continue(struct conn *c);
void extended_prepared_free(void *p);
void extended_portal_free(void *p);

#endif
