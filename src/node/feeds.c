#include "node/node_internal.h"

#include <string.h>

/* Decides which tables of the store a proxy asks for itself. In a large fleet,
   proxies that are neither witness nor holder learn from the replies of the
   witnesses that they lack something. */

/* A list of proxies that differs from that of a witness is asked for after
   this time; the reply that shows it may have been overtaken. */
#define REGISTRY_WAIT_MS 400
/* Limits of the interval between such requests. Lists differ for as long as
   proxies register. */
#define REGISTRY_INTERVAL_MIN_MS 400
#define REGISTRY_INTERVAL_MAX_MS 1600

/* Returns true if the fleet is so large that only witnesses and the holder ask
   the store often. */
bool
node_is_large_fleet(const struct node *n)
{
    return n->peers->len > FEED_FLEET_LARGE;
}

/* Returns true if this proxy leaves the store to the witnesses and the holder,
   as long as their replies show that they are up to date. */
bool
node_follows_peers(const struct node *n)
{
    return node_is_large_fleet(n) && n->catalog_from_store &&
           n->members_from_store && n->peers_from_store &&
           n->members_version != 0 &&
           n->members->len <= NODE_COPIED_MEMBERS_MAX &&
           !agreement_is_witness(n->agreement, n->name) &&
           strcmp(agreement_view(n->agreement)->holder, n->name) != 0;
}

/* Returns for how long the next request for a table may be put off; see
   feed_pace_hold_ms(). */
int64_t
node_feed_hold_ms(const struct node *n, int64_t since_answer_ms,
                  int64_t first_evidence_ms)
{
    const clock_ms now = clock_boottime_ms();
    const struct feed_duty duty = {
        .proxies = (int)n->peers->len,
        .watches = !node_follows_peers(n),
        .evidence_age_ms = catalog_evidence_peers_age_ms(&n->evidence, now),
        .since_answer_ms = since_answer_ms,
        .first_evidence_ms = first_evidence_ms,
        .since_start_ms = now - n->started_at,
    };

    return feed_pace_hold_ms(&duty);
}

/* Requests the list of proxies if a witness has another one. Called on each
   tick. */
void
node_check_registry(struct node *n, clock_ms now)
{
    const bool differs =
        node_follows_peers(n) && agreement_registry_differs(n->agreement, now);

    if (!differs) {
        n->registry_differs = false;
        return;
    }
    if (!n->registry_differs) {
        n->registry_differs = true;
        n->registry_differs_since = now;
        n->registry_pace =
            (struct feed_pace){.first_ms = REGISTRY_INTERVAL_MIN_MS,
                               .max_ms = REGISTRY_INTERVAL_MAX_MS};
    }
    if (now - n->registry_differs_since < REGISTRY_WAIT_MS ||
        now - n->registry_asked_at < n->registry_pace.delay_ms) {
        return;
    }
    n->registry_asked_at = now;
    feed_pace_after_changes(&n->registry_pace, 0);
    n->platform.refresh_proxies(n->platform.ctx);
}
