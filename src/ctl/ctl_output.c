#include "ctl/ctl_output.h"

#include <string.h>

#define COLUMNS_MAX 64

/* Prints aligned columns, separated by two spaces. Control characters are
   replaced by '?', so that data cannot send escape sequences to the terminal.
   The last cell of a row, such as the text of a ticket, keeps its newlines. */
void
ctl_print_table(FILE *out, const GPtrArray *rows)
{
    glong width[COLUMNS_MAX] = {0};

    for (guint i = 0; i < rows->len; i++) {
        const GPtrArray *row = rows->pdata[i];

        for (guint j = 0; j < row->len && j < COLUMNS_MAX; j++) {
            const char *cell = row->pdata[j];

            if (!strchr(cell, '\n')) {
                width[j] = MAX(width[j], (glong)strlen(cell));
            }
        }
    }
    for (guint i = 0; i < rows->len; i++) {
        const GPtrArray *row = rows->pdata[i];

        for (guint j = 0; j < row->len && j < COLUMNS_MAX; j++) {
            char *cell = g_strdup(row->pdata[j]);
            int last = j + 1 == row->len;

            for (char *s = cell; *s; s++) {
                if ((unsigned char)*s < ' ' && !(*s == '\n' && last)) {
                    *s = '?';
                }
            }
            fprintf(out, "%-*s%s", last ? 0 : (int)width[j], cell,
                    last ? "\n" : "  ");
            g_free(cell);
        }
    }
}

/* Prints comma-separated values as defined by RFC 4180. */
void
ctl_print_csv(FILE *out, const GPtrArray *rows)
{
    for (guint i = 0; i < rows->len; i++) {
        const GPtrArray *row = rows->pdata[i];

        for (guint j = 0; j < row->len; j++) {
            const char *cell = row->pdata[j];

            if (j > 0) {
                fputc(',', out);
            }
            if (!strpbrk(cell, ",\"\r\n")) {
                fputs(cell, out);
                continue;
            }
            fputc('"', out);
            for (const char *s = cell; *s; s++) {
                if (*s == '"') {
                    fputc('"', out);
                }
                fputc(*s, out);
            }
            fputc('"', out);
        }
        fputs("\r\n", out);
    }
}
