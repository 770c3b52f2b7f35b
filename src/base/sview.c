#include "base/sview.h"

#include <glib.h>

/* Compares without regard to ASCII case. */
bool
sview_has_prefix_nocase(struct sview s, struct sview prefix)
{
    if (s.n < prefix.n) {
        return false;
    }
    return g_ascii_strncasecmp(s.p, prefix.p, prefix.n) == 0;
}

/* Strips white space and semicolons from both ends. */
struct sview
sview_trim_statement(struct sview s)
{
    while (s.n > 0 && (g_ascii_isspace(s.p[0]) || s.p[0] == ';')) {
        s.p++;
        s.n--;
    }
    while (s.n > 0 && (g_ascii_isspace(s.p[s.n - 1]) || s.p[s.n - 1] == ';')) {
        s.n--;
    }
    return s;
}

/* Returns a copy that the caller frees with g_free(). */
char *
sview_dup(struct sview v)
{
    return v.n == 0 ? g_strdup("") : g_strndup(v.p, v.n);
}
