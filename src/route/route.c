#include "route/route.h"

/* A hint older than this may have been overtaken by replication, so a replica
   that seemed to be behind is tried again. The check in the exchange decides;
   a failed try costs one round trip. */
#define ROUTE_HINT_VALID_MS 10

/* Tells whether a replica is worth trying for a read. */
static bool
replica_is_eligible(const struct route_view *v, const struct route_query *q,
                    clock_ms now)
{
    if (!v->alive || v->leaving || v->staleness_ms > q->max_staleness_ms) {
        return false;
    }
    return token_is_met(&q->token, v->term, v->position) ||
           now - v->updated_at > ROUTE_HINT_VALID_MS;
}

/* Returns the set of members that may serve a statement: replicas within the
   session's token and the staleness bound, or else the primary; empty when
   the primary is needed and there is none. A session whose history is not
   known needs the primary, which alone can confirm that it is current. A
   leaving primary serves until it was replaced. */
uint32_t
route_members(const struct route_view *views, int count, int primary,
              const struct route_query *q, clock_ms now)
{
    uint32_t set = 0;

    if (q->need == ROUTE_NEED_READ && q->token.known &&
        q->max_staleness_ms > 0) {
        for (int i = 0; i < count; i++) {
            const uint32_t bit = 1U << i;
            if (i != primary && (q->excluded & bit) == 0 &&
                replica_is_eligible(&views[i], q, now)) {
                set |= bit;
            }
        }
    }
    if (set == 0 && primary != ROUTE_NO_PRIMARY) {
        set = 1U << primary;
    }
    return set;
}
