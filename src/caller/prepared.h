#ifndef CALLER_PREPARED_H
#define CALLER_PREPARED_H

#include "statement/statement.h"

#include <glib.h>

/* A prepared statement of a caller. Its name on upstream connections is a hash
   of the text and the parameter types, so callers can share it there. */
struct prepared {
    int refs;
    bool accepted;      /* a member has parsed it successfully */
    GBytes *definition; /* Parse body after the name: text, parameter types */
    char upstream_name[40];
    enum statement_class class;
    bool multiple;
    bool ends_transaction;
    uint64_t fingerprint;
    char *set_name;
    char *set_value;
    bool set_is_reset;
    char *text;
};

struct prepared *prepared_create(struct sview text, struct sview definition,
                                 const struct statement_info *info);
struct prepared *prepared_ref(struct prepared *p);
void prepared_unref(void *data);

#endif
