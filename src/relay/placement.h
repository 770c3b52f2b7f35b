#ifndef RELAY_PLACEMENT_H
#define RELAY_PLACEMENT_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

/* A member as a candidate for one statement. */
struct placement_member {
    bool usable;    /* not known to be unreachable */
    bool primary;   /* is the primary, and this proxy has a valid lease */
    bool caught_up; /* replica that may serve reads: listed, not draining, and
                       expected to have the required position in time */
    bool behind;    /* was found to lack a position that another read needed */
    bool same_failure_domain;  /* as this proxy */
    bool home;                 /* this proxy keeps a connection to it */
    bool avoided;              /* the previous attempt failed there */
    bool connection_available; /* a connection is idle or may be opened */
    bool connection_idle;      /* none has to be opened first */
    int slots;                 /* statements that the member runs at once */
    int executing;             /* statements that this proxy has there */
    int max_executing;         /* statements that this proxy may have there */
    int64_t mean_statement_us;
    int64_t open_us; /* time to open a connection; 0: the usual one */
    int64_t lag_us;  /* time until it is expected to have the position */
    /* Time until a connection that is being opened is expected to be open. */
    int64_t opening_wait_us;
    /* The longest of these, or the time until a connection in use is free, if
       that is expected to take less time than opening one. */
    int64_t wait_us;
};

#define PLACEMENT_NONE (-1)
#define PLACEMENT_WAIT (-2) /* all suitable members are at their limits */

int64_t placement_open_us(const struct placement_member *m);
bool placement_is_suitable(const struct placement_member *m,
                           bool needs_primary, bool replicas_allowed);
int64_t placement_expected_us(const struct placement_member *m,
                              bool needs_primary);
int placement_choose(const struct placement_member *m, int n,
                     bool needs_primary, bool replicas_allowed);

#endif
