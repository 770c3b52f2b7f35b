#ifndef STATEMENT_STATEMENT_H
#define STATEMENT_STATEMENT_H

#include "base/sview.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What a statement does, as far as it matters for routing and pooling. */
enum statement_class {
    STATEMENT_EMPTY,
    STATEMENT_READ,
    STATEMENT_WRITE,
    STATEMENT_BEGIN,
    STATEMENT_BEGIN_READ_ONLY,
    STATEMENT_END,        /* COMMIT or ROLLBACK */
    STATEMENT_TX_CONTROL, /* savepoints, SET LOCAL, AND CHAIN, cursors */
    STATEMENT_SET,        /* session-level SET or RESET of one name */
    STATEMENT_RESET_ALL,  /* RESET ALL, DISCARD ALL */
    STATEMENT_SHOW,
    STATEMENT_SESSION_STATE, /* not possible with transaction pooling */
    STATEMENT_COPY,
    STATEMENT_INVALID, /* does not parse; the database returns the error */
};

/* The classification of one message text. set_name and set_value are empty
   strings unless the class is SET or SHOW. They belong to an entry of the
   statement cache, so copy them before the next lookup. */
struct statement_info {
    enum statement_class class;
    bool multiple;         /* more than one statement in the text */
    bool is_reset;         /* SET name TO DEFAULT or RESET name */
    bool ends_transaction; /* contains a COMMIT or ROLLBACK */
    uint64_t fingerprint;
    char *set_name;
    char *set_value;
};

struct statement_cache;

struct statement_cache *
statement_cache_create(size_t entries, const char *const *read_only_functions);
void statement_cache_destroy(struct statement_cache *c);
const struct statement_info *statement_lookup(struct statement_cache *c,
                                              struct sview text);
size_t statement_cache_count(const struct statement_cache *c);

#endif
