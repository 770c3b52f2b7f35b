#include "node/node_internal.h"

#include "base/event_log.h"

/* Keeps track of how recent the operator's configuration is. In strict mode
   the relay accepts API keys only while it is fresh. */

/* Returns true while the configuration is recent enough to rely on its API
   keys; called by the relay. */
bool
node_catalog_is_fresh(void *ctx, clock_ms now)
{
    const struct node *n = ctx;

    return !n->strict_revocation ||
           catalog_evidence_is_fresh(&n->evidence, now);
}

/* Called whenever the store has answered a request for the configuration or
   its changes, sent at asked_at: node_set_catalog() was called with all
   changes until now. */
void
node_set_catalog_checked(struct node *n, clock_ms asked_at)
{
    n->catalog_checked_at = clock_boottime_ms();
    catalog_evidence_from_store(&n->evidence, n->store_catalog_version,
                                asked_at, agreement_answered_at(n->agreement));
}

/* Returns how long ago the store last answered for the configuration, counted
   from the start if it has not yet. */
int64_t
node_catalog_age_ms(const struct node *n)
{
    return clock_boottime_ms() - MAX(n->catalog_checked_at, n->started_at);
}

/* Returns what a reply says about the age of the evidence. Other deployments
   do not use it, and their messages stay as short as they were. */
int64_t
node_announced_evidence_age(const struct node *n, clock_ms now)
{
    return n->strict_revocation || node_is_large_fleet(n)
               ? catalog_evidence_age_ms(&n->evidence, now)
               : -1;
}

/* Called for each message from a proxy, after the agreement has received
   it. */
void
node_receive_evidence(struct node *n, const struct agreement_message *message,
                      bool registered, clock_ms now)
{
    const struct catalog_claim claim = {
        .version = message->catalog_version,
        .age_ms = registered ? message->catalog_age_ms : -1,
        .echo = message->echo,
        .echo_incarnation = message->echo_incarnation,
    };

    catalog_evidence_from_peer(&n->evidence, &claim, n->catalog->version, now);
    catalog_evidence_peers_answered(&n->evidence,
                                    agreement_answered_at(n->agreement));
}

/* Returns true if this proxy asks the store for the configuration every
   second: in strict mode the witnesses and the holder do, whose replies give
   evidence to the others, and any proxy that gets none from them. */
bool
node_watches_configuration(const struct node *n)
{
    return n->strict_revocation &&
           (node_watches_directory(n) ||
            catalog_evidence_needs_store(&n->evidence, clock_boottime_ms()));
}

/* Logs when freshness is lost and regained, and asks the store if the peers
   give no evidence. Called on each tick. */
void
node_check_freshness(struct node *n, clock_ms now)
{
    const bool fresh = node_catalog_is_fresh(n, now);
    const int64_t age = catalog_evidence_age_ms(&n->evidence, now);

    if (n->strict_revocation && fresh != n->catalog_was_fresh) {
        event_log(EVENT_STATE,
                  fresh ? "configuration_fresh" : "configuration_stale",
                  "version=%llu age_ms=%lld known=%llu",
                  (unsigned long long)n->catalog->version, (long long)age,
                  (unsigned long long)n->evidence.known);
        n->catalog_was_fresh = fresh;
    }
    if (n->strict_revocation &&
        (age < 0 ? now - n->started_at : age) >=
            CATALOG_EVIDENCE_ASK_AFTER_MS &&
        now - n->configuration_asked_at >= CATALOG_EVIDENCE_ASK_AFTER_MS) {
        n->configuration_asked_at = now;
        n->platform.refresh_configuration(n->platform.ctx);
    }
}
