#include "directory/catalog_evidence.h"

#include <glib.h>

/* Prepares the state of a process that has just started. It has no evidence,
   whatever configuration it takes from a peer. */
void
catalog_evidence_init(struct catalog_evidence *e, uint64_t incarnation,
                      int64_t revocation_ms)
{
    *e = (struct catalog_evidence){
        .incarnation = incarnation,
        .limit_ms = revocation_ms - CATALOG_EVIDENCE_MARGIN_MS,
    };
}

/* Records a version that this proxy or a peer has. An answer of the store with
   a lower one proves nothing from then on. */
void
catalog_evidence_add_version(struct catalog_evidence *e, uint64_t version)
{
    e->known = MAX(e->known, version);
}

/* Called when the store has come back from an older copy, and at the first
   answer of a store that may have done so before this process started.
   Evidence of before stays valid. */
void
catalog_evidence_doubt_store(struct catalog_evidence *e, clock_ms now)
{
    e->store_in_doubt = true;
    e->in_doubt_since = now;
    e->store_version = 0;
}

/* Replaces the evidence by later evidence. */
static void
add_evidence(struct catalog_evidence *e, uint64_t version, clock_ms at)
{
    if (e->version == 0 || at > e->proven_at) {
        e->version = version;
        e->proven_at = at;
    }
}

/* Called when the store has answered a request sent at asked_at, and this
   proxy has the configuration that it holds. peers_asked_at is described at
   catalog_evidence_peers_answered(). */
void
catalog_evidence_from_store(struct catalog_evidence *e, uint64_t version,
                            clock_ms asked_at, clock_ms peers_asked_at)
{
    e->store_version = version;
    e->store_asked_at = asked_at;
    catalog_evidence_add_version(e, version);
    catalog_evidence_peers_answered(e, peers_asked_at);
}

/* Called after each message of a peer, once its version is known. A quorum of
   witnesses has answered messages that this proxy sent at peers_asked_at or
   later; CLOCK_NEVER if there are no other proxies. Uses the newest answer of
   the store if that is not in doubt any more. */
void
catalog_evidence_peers_answered(struct catalog_evidence *e,
                                clock_ms peers_asked_at)
{
    if (e->store_in_doubt && peers_asked_at >= e->in_doubt_since) {
        e->store_in_doubt = false;
    }
#ifdef CATALOG_EVIDENCE_BREAK_DOUBT
    e->store_in_doubt = false;
#endif
    if (e->store_in_doubt || e->store_version == 0) {
        return;
    }
#ifndef CATALOG_EVIDENCE_BREAK_LOWER
    if (e->store_version < e->known) {
        return;
    }
#endif
    add_evidence(e, e->store_version, e->store_asked_at);
    e->store_version = 0;
}

/* Returns for which time an answer of the feed is evidence. The request was
   sent at sent_at; without changes, the store has held it open for wait_ms. */
clock_ms
catalog_evidence_feed_time(clock_ms sent_at, int64_t wait_ms, bool has_changes)
{
#ifdef CATALOG_EVIDENCE_BREAK_LAG
    return sent_at;
#endif
    const int64_t held_ms = has_changes ? 0 : wait_ms;

    return sent_at - MAX(CATALOG_EVIDENCE_FEED_LAG_MS - held_ms, 0);
}

/* Called for each message of a peer. The peer composed it after the echoed
   message had been sent, so its evidence is from echo - age_ms or later. It
   says nothing about a version that this proxy lacks. */
void
catalog_evidence_from_peer(struct catalog_evidence *e,
                           const struct catalog_claim *claim,
                           uint64_t own_version, clock_ms now)
{
    catalog_evidence_add_version(e, claim->version);
#ifndef CATALOG_EVIDENCE_BREAK_INCARNATION
    if (claim->echo_incarnation != e->incarnation) {
        return;
    }
#endif
    if (claim->age_ms < 0 || claim->version == 0 || claim->echo > now) {
        return;
    }
#ifdef CATALOG_EVIDENCE_BREAK_VERSION
    own_version = claim->version;
#endif
    if (claim->version > own_version) {
        return;
    }
#ifdef CATALOG_EVIDENCE_BREAK_RECEIVED
    const clock_ms proven_at = now - claim->age_ms;
#else
    const clock_ms proven_at = claim->echo - claim->age_ms;
#endif
    add_evidence(e, claim->version, proven_at);
    e->peers_proven_at =
        e->peers_answer ? MAX(e->peers_proven_at, proven_at) : proven_at;
    e->peers_answer = true;
}

/* Returns the age of the newest evidence that a peer has given, -1 if none
   has. */
int64_t
catalog_evidence_peers_age_ms(const struct catalog_evidence *e, clock_ms now)
{
    return e->peers_answer ? MAX(now - e->peers_proven_at, 0) : -1;
}

/* Returns true if no peer has given recent evidence, so that this proxy has to
   ask the store itself. */
bool
catalog_evidence_needs_store(const struct catalog_evidence *e, clock_ms now)
{
    return !e->peers_answer ||
           now - e->peers_proven_at >= CATALOG_EVIDENCE_ASK_AFTER_MS;
}

/* Returns true if the configuration may be relied on for API keys. */
bool
catalog_evidence_is_fresh(const struct catalog_evidence *e, clock_ms now)
{
    return e->version > 0 && now - e->proven_at < e->limit_ms;
}

/* Returns the age of the newest evidence, -1 if there is none. */
int64_t
catalog_evidence_age_ms(const struct catalog_evidence *e, clock_ms now)
{
    return e->version == 0 ? -1 : MAX(now - e->proven_at, 0);
}
