#ifndef RELAY_PLACEMENT_H
#define RELAY_PLACEMENT_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

/* One member as placement sees it. */
struct placement_member {
    bool usable;    /* in the directory, not leaving, not known to be silent */
    bool primary;   /* holds the lead, under a valid lease of this proxy */
    bool caught_up; /* may have the position that a read needs */
    bool behind;    /* was found to lack a position that others need */
    bool local;     /* in this proxy's failure domain */
    bool avoided;   /* failed the previous attempt of the same request */
    bool link_free; /* a connection is idle or may be opened */
    int executing;  /* statements that this proxy has there */
    int limit;      /* statements that this proxy may have there */
    int64_t statement_us; /* mean time of a statement */
};

#define PLACEMENT_NONE (-1)
#define PLACEMENT_WAIT (-2) /* a suitable member exists but has no room */

int placement_choose(const struct placement_member *m, int n,
                     bool needs_primary, bool bounded);

#endif
