#ifndef ADMISSION_PRESSURE_H
#define ADMISSION_PRESSURE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* Queue delay of short work above which less important kinds are shed: a
   sixth of the 60 ms that the peak bound allows. */
#define PRESSURE_TARGET_MS 10

/* What is shed on one member. Kinds are ranked by priority, 0 first; ranks
   at or above level are shed, and level == ranks sheds nothing. */
struct pressure {
    int ranks;
    int level;
    uint32_t slow;        /* ranks of batch kinds, as a bit set */
    clock_ms above_since; /* CLOCK_NEVER: the last delay was below target */
    clock_ms changed_at;  /* of level */
    clock_ms signalled_at;
    clock_ms busy_at; /* last time at which much short work waited */
    int waited;       /* moving share of short work that waited, scaled */
};

void pressure_init(struct pressure *p, int ranks, uint32_t slow);
bool pressure_report(struct pressure *p, clock_ms now, int rank,
                     clock_ms delay);
bool pressure_relax(struct pressure *p, clock_ms now);
bool pressure_sheds(const struct pressure *p, int rank);
clock_ms pressure_due(const struct pressure *p);

#endif
