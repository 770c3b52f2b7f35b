#ifndef BASE_SVIEW_H
#define BASE_SVIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/* A string view: a borrowed string with a length, not NUL-terminated. */
struct sview {
    const char *p;
    size_t n;
};

/* Makes a view of a string literal. */
#define SVIEW(literal)                                                        \
    (struct sview)                                                            \
    {                                                                         \
        .p = (literal), .n = sizeof(literal) - 1                              \
    }

/* Makes a view of a NUL-terminated string. */
static inline struct sview
sview_from(const char *s)
{
    return (struct sview){.p = s, .n = strlen(s)};
}

static inline bool
sview_equal(struct sview a, struct sview b)
{
    return a.n == b.n && (a.n == 0 || memcmp(a.p, b.p, a.n) == 0);
}

bool sview_has_prefix_nocase(struct sview s, struct sview prefix);
struct sview sview_trim_statement(struct sview s);
char *sview_dup(struct sview v);

#endif
