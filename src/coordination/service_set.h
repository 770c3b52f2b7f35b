#ifndef COORDINATION_SERVICE_SET_H
#define COORDINATION_SERVICE_SET_H

#include "coordination/view.h"

#include <string.h>

#define SERVICE_SET_WORDS (VIEW_SERVICES_MAX / 64)

/* A set of services, identified by their index in the view. */
struct service_set {
    uint64_t words[SERVICE_SET_WORDS];
};

static inline void
service_set_add(struct service_set *s, int index)
{
    s->words[index / 64] |= UINT64_C(1) << (index % 64);
}

static inline bool
service_set_has(const struct service_set *s, int index)
{
    return (s->words[index / 64] >> (index % 64) & 1) != 0;
}

/* Returns the number of words up to the last one that is not 0. */
static inline int
service_set_word_count(const struct service_set *s)
{
    int n = SERVICE_SET_WORDS;

    while (n > 0 && s->words[n - 1] == 0) {
        n--;
    }
    return n;
}

static inline bool
service_set_equal(const struct service_set *a, const struct service_set *b)
{
    return memcmp(a, b, sizeof(*a)) == 0;
}

#endif
