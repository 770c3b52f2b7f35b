#include "relay/placement.h"

/* A member in another failure domain costs a round trip of 1.8 ms and traffic
   between failure domains. */
#define REMOTE_PENALTY_US 3000
/* Reads leave the primary to work that only it can do, unless replicas are
   clearly longer occupied. */
#define PRIMARY_PENALTY_US 12000
#define AVOIDED_PENALTY_US 1000000

/* A read that a replica which is behind can serve goes there, unless others
   are clearly freer: reads of a member that is ahead raise the session's
   token, and the replica that is behind cannot serve the session any more. */
#define BEHIND_BONUS_US 12000

/* Estimates the time until a statement is done at a member. */
static int64_t
expected_us(const struct placement_member *m, bool needs_primary)
{
    int64_t us = (m->executing + 1) * m->statement_us;

    if (!m->local) {
        us += REMOTE_PENALTY_US;
    }
    if (m->primary && !needs_primary) {
        us += PRIMARY_PENALTY_US;
    }
    if (m->behind && !m->primary) {
        us -= BEHIND_BONUS_US;
    }
    if (m->avoided) {
        us += AVOIDED_PENALTY_US;
    }
    return us;
}

/* Chooses the member that finishes a statement first. A read that only needs
   a position (bounded) may go to the primary or to a replica that has caught
   up. Returns an index, PLACEMENT_WAIT when suitable members are all full, or
   PLACEMENT_NONE when none is suitable. */
int
placement_choose(const struct placement_member *m, int n, bool needs_primary,
                 bool bounded)
{
    int best = PLACEMENT_NONE;
    int64_t best_us = 0;

    for (int i = 0; i < n; i++) {
        const bool suitable =
            m[i].usable &&
            (m[i].primary || (!needs_primary && bounded && m[i].caught_up));
        if (!suitable) {
            continue;
        }
        if (m[i].executing >= m[i].limit || !m[i].link_free) {
            best = best == PLACEMENT_NONE ? PLACEMENT_WAIT : best;
            continue;
        }
        const int64_t us = expected_us(&m[i], needs_primary);
        if (best < 0 || us < best_us) {
            best = i;
            best_us = us;
        }
    }
    return best;
}
