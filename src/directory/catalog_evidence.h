#ifndef DIRECTORY_CATALOG_EVIDENCE_H
#define DIRECTORY_CATALOG_EVIDENCE_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

/* Decides whether the operator's configuration is recent enough to rely on its
   API keys. All times are on this proxy's boot clock, which counts
   suspensions, unlike the monotonic clock, and is never set, unlike the wall
   clock.

   Evidence is a version and a time: at that time or later, the store held no
   newer version. It comes from answers of the store, whose time is when the
   request was sent, and from peers that answer a message of this proxy with
   the age of their own evidence. */

/* The feed of the store may leave out the changes of the last second. */
#define CATALOG_EVIDENCE_FEED_LAG_MS 1000
/* A key has to be refused a certain time after the store has acknowledged the
   version without it. Evidence counts for less, since clocks run at different
   rates and a member reads a request some time after it was sent.
   docs/design/configuration-freshness.md has the arithmetic. */
#define CATALOG_EVIDENCE_MARGIN_MS 500
/* How often some proxies ask the store, and from which age of its evidence on
   any other proxy does so, because it does not hear from them. */
#define CATALOG_EVIDENCE_ASK_INTERVAL_MS 1000
#define CATALOG_EVIDENCE_ASK_AFTER_MS 2500
/* With a shorter bound, evidence would expire between two answers. */
#define CATALOG_EVIDENCE_REVOCATION_MIN_MS 4000

/* What a peer's message says about its configuration. */
struct catalog_claim {
    uint64_t version;          /* that the peer has */
    int64_t age_ms;            /* of its evidence; -1: it has none */
    clock_ms echo;             /* when this proxy sent the message answered */
    uint64_t echo_incarnation; /* of the process that sent it */
};

struct catalog_evidence {
    uint64_t incarnation; /* of this process */
    int64_t limit_ms;     /* younger evidence counts */
    uint64_t known;   /* newest version that this proxy or a peer has had */
    uint64_t version; /* of the newest evidence, 0 if there is none */
    clock_ms proven_at;
    bool peers_answer; /* a peer has given evidence */
    clock_ms peers_proven_at;
    /* The store may have lost versions that peers know. Its answers count once
       a quorum of witnesses has answered a message sent at this time or later,
       so that a version that any of them has is known. */
    bool store_in_doubt;
    clock_ms in_doubt_since;
    uint64_t store_version; /* of the newest answer; 0 if there is none */
    clock_ms store_asked_at;
};

void catalog_evidence_init(struct catalog_evidence *e, uint64_t incarnation,
                           int64_t revocation_ms);
void catalog_evidence_add_version(struct catalog_evidence *e,
                                  uint64_t version);
void catalog_evidence_doubt_store(struct catalog_evidence *e, clock_ms now);
void catalog_evidence_from_store(struct catalog_evidence *e, uint64_t version,
                                 clock_ms asked_at, clock_ms peers_asked_at);
void catalog_evidence_peers_answered(struct catalog_evidence *e,
                                     clock_ms peers_asked_at);
void catalog_evidence_from_peer(struct catalog_evidence *e,
                                const struct catalog_claim *claim,
                                uint64_t own_version, clock_ms now);
clock_ms catalog_evidence_feed_time(clock_ms sent_at, int64_t wait_ms,
                                    bool has_changes);
bool catalog_evidence_needs_store(const struct catalog_evidence *e,
                                  clock_ms now);
int64_t catalog_evidence_peers_age_ms(const struct catalog_evidence *e,
                                      clock_ms now);
bool catalog_evidence_is_fresh(const struct catalog_evidence *e, clock_ms now);
int64_t catalog_evidence_age_ms(const struct catalog_evidence *e,
                                clock_ms now);

#endif
