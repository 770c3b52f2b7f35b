#ifndef DIRECTORY_FEED_PACE_H
#define DIRECTORY_FEED_PACE_H

#include "base/clock.h"

#include <stdbool.h>

/* Decides how long to collect changes of a table before asking for them again.
   Every request is priced, also that of each proxy of a large fleet in which
   all proxies and members register at once. */
struct feed_pace {
    int64_t first_ms; /* after a change that follows a quiet time */
    int64_t max_ms;   /* while changes keep coming */
    int64_t delay_ms;
};

/* In a fleet of more proxies than this, those that are neither witness nor
   holder learn of changes from the messages of the others, and leave the
   store alone while these are recent. */
#define FEED_FLEET_LARGE 60
/* A configuration has to be in force 5 s after its acknowledgement. A peer's
   evidence of this age expires before that, and one request to the store is
   left. */
#define FEED_EVIDENCE_MAX_MS 4000
/* A table is asked for this often whatever the peers say. */
#define FEED_IDLE_MAX_MS 60000

/* What decides whether a proxy may leave a table to its peers. */
struct feed_duty {
    int proxies;             /* registered */
    bool watches;            /* others rely on this proxy, or it has to */
    int64_t evidence_age_ms; /* of what peers have told; -1: nothing */
    int64_t since_answer_ms; /* since the store last answered for the table */
    int64_t first_evidence_ms; /* how long after a start peers may take */
    int64_t since_start_ms;
};

int64_t feed_pace_hold_ms(const struct feed_duty *d);
int64_t feed_pace_after_changes(struct feed_pace *p, int64_t waited_ms);

#endif
