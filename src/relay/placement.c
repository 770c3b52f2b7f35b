#include "relay/placement.h"

#include <glib.h>

/* A member in another failure domain costs a round trip of 1.8 ms and
   traffic between failure domains, which is worth more than a short wait. */
#define REMOTE_PENALTY_US 12000
/* Opening a connection occupies a slot of the member for 12 ms, besides the
   round trips. */
#define OPEN_PENALTY_US 14000
/* Keeps reads away from the primary, which is needed for writes, unless the
   replicas are clearly busier. */
#define PRIMARY_PENALTY_US 12000
#define AVOIDED_PENALTY_US 1000000
/* Keeps reads at the replica to which this proxy keeps a connection, instead
   of at members to which another request has just opened one: those
   connections are few, and the primary is needed for writes. */
#define HOME_BONUS_US 12000

/* Prefers a lagging replica that can still serve the read, unless others are
   clearly less busy: a read on a more recent member raises the session's
   token, and the lagging replica could not serve the session any more. */
#define BEHIND_BONUS_US 12000

/* Returns the cost of opening a connection to a member. Where connections are
   opened on demand, slots are scarce, and the slot that the opening takes is
   missing for other statements: twice the usual time is added to that until
   the connection is open. In the model of a busy fleet, adding it once gave
   0.094 openings a statement, and adding it twice 0.088. */
int64_t
placement_open_us(const struct placement_member *m)
{
    return m->open_us == 0 ? OPEN_PENALTY_US
                           : (int64_t)2 * OPEN_PENALTY_US +
                                 MAX(m->open_us, OPEN_PENALTY_US);
}

/* Estimates the time until a new statement would be done at a member, with
   penalties for members that should be avoided. Statements of this proxy share
   the slots with those of other proxies, and wait once there are more of them
   than slots. */
int64_t
placement_expected_us(const struct placement_member *m, bool needs_primary)
{
    const int64_t per_slot_us = m->mean_statement_us / MAX(m->slots, 1);
    const int waiting = MAX(m->executing + 1 - m->slots, 0);
    int64_t us = m->mean_statement_us + (m->executing + waiting) * per_slot_us;

    if (m->wait_us > 0) {
        us += m->wait_us;
    }
    else if (!m->connection_idle) {
        us += placement_open_us(m);
    }
    if (!m->same_failure_domain) {
        us += REMOTE_PENALTY_US;
    }
    if (m->primary && !needs_primary) {
        us += PRIMARY_PENALTY_US;
    }
    if (m->behind && !m->primary) {
        us -= BEHIND_BONUS_US;
    }
    if (m->home && !needs_primary) {
        us -= HOME_BONUS_US;
    }
    if (m->avoided) {
        us += AVOIDED_PENALTY_US;
    }
    return us;
}

/* Returns true if a member may serve a statement, at once or later. */
bool
placement_is_suitable(const struct placement_member *m, bool needs_primary,
                      bool replicas_allowed)
{
    return m->usable && (m->primary ||
                         (!needs_primary && replicas_allowed && m->caught_up));
}

/* Chooses the member that is expected to finish a statement first. Replicas
   that have caught up are considered only if needs_primary is false and
   replicas_allowed is true. Returns the member's index, which may have to be
   waited for (wait_us), PLACEMENT_WAIT if all
   suitable members are at their limits, or PLACEMENT_NONE if no member is
   suitable. */
int
placement_choose(const struct placement_member *m, int n, bool needs_primary,
                 bool replicas_allowed)
{
    int best = PLACEMENT_NONE;
    int64_t best_us = 0;

    for (int i = 0; i < n; i++) {
        if (!placement_is_suitable(&m[i], needs_primary, replicas_allowed)) {
            continue;
        }
        if (m[i].opening_wait_us == 0 &&
            (m[i].executing >= m[i].max_executing ||
             !m[i].connection_available)) {
            best = best == PLACEMENT_NONE ? PLACEMENT_WAIT : best;
            continue;
        }
        const int64_t us = placement_expected_us(&m[i], needs_primary);
        if (best < 0 || us < best_us) {
            best = i;
            best_us = us;
        }
    }
    return best;
}
