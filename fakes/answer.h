#ifndef FAKES_ANSWER_H
#define FAKES_ANSWER_H

#include "fakes/conn.h"

/* Appends the messages of a statement's result to the output buffer. */

void answer_columns(struct conn *c, const struct sql_statement *st);
void answer_error(struct conn *c, const struct result *r);
bool answer_rows(struct conn *c, struct result *r, uint32_t limit,
                 uint32_t *sent);
void answer_complete(struct conn *c, const struct result *r);
void answer_ready(struct conn *c);
void answer_without_body(struct conn *c, char type);

#endif
