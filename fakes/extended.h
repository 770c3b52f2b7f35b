#ifndef FAKES_EXTENDED_H
#define FAKES_EXTENDED_H

#include "fakes/conn.h"

/* The extended query protocol: Parse, Bind, Describe, Execute, Close, Sync. */

void extended_handle_message(struct conn *c, char type, struct sview body);
void extended_resume(struct conn *c);
void extended_prepared_unref(void *p);
void extended_portal_free(void *p);

#endif
