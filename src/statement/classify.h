#ifndef STATEMENT_CLASSIFY_H
#define STATEMENT_CLASSIFY_H

#include "statement/statement.h"

#include <glib.h>

void classify_text(const char *text, GHashTable *read_only_functions,
                   struct statement_info *out);
void classify_add_default_functions(GHashTable *functions);

#endif
