#include "route/route.h"

/* A replica that lagged may have caught up after this time, so it is tried
   again. The check when the statement is sent decides; a failed attempt costs
   one round trip. */
#define ROUTE_HINT_VALID_MS 10

/* Returns true if a replica may be able to serve the read. */
static bool
replica_is_eligible(const struct route_member_state *member,
                    const struct route_query *q, clock_ms now)
{
    if (!member->alive || member->leaving ||
        member->staleness_ms > q->max_staleness_ms) {
        return false;
    }
    return token_is_satisfied(&q->token, member->term, member->position) ||
           now - member->updated_at > ROUTE_HINT_VALID_MS;
}

/* Returns the members that may execute a statement, as a bit set of their
   indexes: the replicas that satisfy the session's token and the staleness
   bound, or the primary if there are none. The set is empty if the primary is
   needed and unknown. A session whose token is unknown needs the primary,
   since only the primary can confirm that its data is current. A primary that
   is leaving is used until it is replaced. */
uint32_t
route_eligible_members(const struct route_member_state *states, int count,
                       int primary, const struct route_query *q, clock_ms now)
{
    uint32_t set = 0;

    if (q->need == ROUTE_NEED_READ && q->token.known &&
        q->max_staleness_ms > 0) {
        for (int i = 0; i < count; i++) {
            const uint32_t bit = 1U << i;
            if (i != primary && (q->excluded & bit) == 0 &&
                replica_is_eligible(&states[i], q, now)) {
                set |= bit;
            }
        }
    }
    if (set == 0 && primary != ROUTE_NO_PRIMARY) {
        set = 1U << primary;
    }
    return set;
}
