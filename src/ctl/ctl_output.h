#ifndef CTL_CTL_OUTPUT_H
#define CTL_CTL_OUTPUT_H

#include <glib.h>
#include <stdio.h>

/* Rows are GPtrArrays of strings; the first holds the column names. */
void ctl_print_table(FILE *out, const GPtrArray *rows);
void ctl_print_csv(FILE *out, const GPtrArray *rows);

#endif
