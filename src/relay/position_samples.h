#ifndef RELAY_POSITION_SAMPLES_H
#define RELAY_POSITION_SAMPLES_H

#include "base/clock.h"
#include "session/token.h"

#define POSITION_SAMPLES_MAX 64

/* Ring buffer of positions that the primary of a service has reported. Every
   commit acknowledged before `at` is at or below `position`. */
struct position_samples {
    struct {
        clock_ms at;
        struct token position;
    } ring[POSITION_SAMPLES_MAX];
    int count;
    int next;
};

void position_samples_add(struct position_samples *s, clock_ms at,
                          const struct token *position);
bool position_samples_newest(const struct position_samples *s, clock_ms *at,
                             struct token *position);
bool position_samples_min_position(const struct position_samples *s,
                                   clock_ms since, struct token *min);
bool position_samples_time(const struct position_samples *s,
                           const struct token *position, clock_ms *at);

#endif
