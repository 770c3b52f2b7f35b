#ifndef TICKET_TICKET_H
#define TICKET_TICKET_H

#include "ticket/object.h"

#define TICKET_TEXT_MAX_BYTES 32768
#define TICKET_KEY_BYTES 21

/* One change ticket. The objects are sorted by type and name. */
struct ticket {
    uint64_t number;
    char *author;
    char *comment;
    struct ticket_object **objects;
    size_t n_objects;
    char *text;    /* canonical form: what the table service keeps */
    uint64_t hash; /* XXH3 of text */
};

struct ticket *ticket_parse(const char *text, size_t n,
                            struct ticket_error *err);
void ticket_free(struct ticket *t);
void ticket_key(uint64_t number, char key[TICKET_KEY_BYTES]);
bool ticket_key_number(const char *key, uint64_t *number);

#endif
