#ifndef CTL_EXPLAIN_H
#define CTL_EXPLAIN_H

#include <stdio.h>

int explain_run(const char *id, char *const *files, FILE *out, FILE *err);

#endif
