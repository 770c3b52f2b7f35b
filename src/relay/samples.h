#ifndef RELAY_SAMPLES_H
#define RELAY_SAMPLES_H

#include "base/clock.h"
#include "session/token.h"

#define SAMPLES_MAX 64

/* Ring buffer of positions that the primary of a database group has reported.
   Every commit acknowledged before `at` is at or below `position`. */
struct samples {
    struct {
        clock_ms at;
        struct token position;
    } ring[SAMPLES_MAX];
    int count;
    int next;
};

void samples_add(struct samples *s, clock_ms at, const struct token *position);
bool samples_newest(const struct samples *s, clock_ms *at,
                    struct token *position);
bool samples_min_position(const struct samples *s, clock_ms since,
                          struct token *min);

#endif
