#ifndef FAKES_TABLES_H
#define FAKES_TABLES_H

#include "fakes/conn.h"

/* SELECT, INSERT and UPDATE. Writes are buffered until the transaction
   commits. */

void tables_select(struct conn *c);
void tables_insert(struct conn *c, const char *key, const char *value);
void tables_update(struct conn *c);

#endif
