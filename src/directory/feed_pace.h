#ifndef DIRECTORY_FEED_PACE_H
#define DIRECTORY_FEED_PACE_H

#include "base/clock.h"

/* Decides how long to collect changes of a table before asking for them again.
   Every request is priced, also that of each proxy of a large fleet in which
   all proxies and members register at once. */
struct feed_pace {
    int64_t first_ms; /* after a change that follows a quiet time */
    int64_t max_ms;   /* while changes keep coming */
    int64_t delay_ms;
};

int64_t feed_pace_after_changes(struct feed_pace *p, int64_t waited_ms);

#endif
