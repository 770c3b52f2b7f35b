#ifndef ADMISSION_PRESSURE_H
#define ADMISSION_PRESSURE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* Load shedding on one member, driven by the queue delay of short requests. */

/* Queue delay of short requests above which less important kinds are shed: a
   sixth of the 60 ms that tests/admission/model_queue.c allows as p99 latency
   of the most important kind at peak load. */
#define PRESSURE_TARGET_MS 10

/* Kinds are ranked by priority, with 0 as the most important. Ranks at or
   above level are shed; level == rank_count sheds nothing. */
struct pressure {
    int rank_count;
    int level;
    uint32_t batch_ranks; /* bit set of the ranks of batch kinds */
    /* Start of an unbroken series of delays over the target; CLOCK_NEVER if
       the last delay was within it. */
    clock_ms over_target_since;
    clock_ms level_changed_at;
    /* Last delay over the target, or last decrease of shedding if later. */
    clock_ms last_over_target_at;
    /* Last time at which the share of waiting requests was at least
       BUSY_SHARE_PERMILLE. */
    clock_ms last_busy_at;
    /* Moving share of requests that waited, in permille, times
       WAIT_SHARE_SPAN. */
    int waited_permille_scaled;
};

void pressure_init(struct pressure *p, int rank_count, uint32_t batch_ranks);
bool pressure_report_delay(struct pressure *p, clock_ms now, int rank,
                           clock_ms delay);
bool pressure_relax(struct pressure *p, clock_ms now);
bool pressure_sheds(const struct pressure *p, int rank);
clock_ms pressure_next_relax(const struct pressure *p);

#endif
