#ifndef CTL_CTL_OUTPUT_H
#define CTL_CTL_OUTPUT_H

#include <glib.h>
#include <stdio.h>

/* rows has a GPtrArray of strings per row; the first row has the column names.
 */
void ctl_print_table(FILE *out, const GPtrArray *rows);
void ctl_print_csv(FILE *out, const GPtrArray *rows);

#endif
