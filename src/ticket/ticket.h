#ifndef TICKET_TICKET_H
#define TICKET_TICKET_H

#include "ticket/object.h"

#define TICKET_TEXT_MAX_BYTES 32768
/* Size of a row key with its terminating NUL. */
#define TICKET_ROW_KEY_BYTES 21

/* A change ticket: new definitions of one or more objects, sorted by type and
   name. */
struct ticket {
    uint64_t number;
    char *author;
    char *comment;
    struct ticket_object **objects;
    size_t n_objects;
    char *text;    /* canonical form, as stored in the tickets table */
    uint64_t hash; /* XXH3 of text */
};

struct ticket *ticket_parse(const char *text, size_t n,
                            struct ticket_error *err);
void ticket_free(struct ticket *t);
void ticket_row_key_format(uint64_t number, char key[TICKET_ROW_KEY_BYTES]);
bool ticket_row_key_parse(const char *key, uint64_t *number);

#endif
