#ifndef RELAY_SAMPLES_H
#define RELAY_SAMPLES_H

#include "base/clock.h"
#include "session/token.h"

#define SAMPLES_MAX 64

/* Positions of a database group's primary and when each was known to hold: a
   commit acknowledged before `at` is at or below `position`. */
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
bool samples_floor(const struct samples *s, clock_ms since,
                   struct token *floor);

#endif
