#ifndef LEAD_AGREEMENT_H
#define LEAD_AGREEMENT_H

#include "base/clock.h"
#include "lead/service_set.h"
#include "lead/view.h"

/* Decides which view this proxy follows and until when it may rely on it.

   A belief about who leads may be used only while this proxy knows that no
   newer view was in force less than AGREEMENT_LEASE_MS ago. It learns that
   from the store, or from enough witnesses: each answer of one tells the
   newest view that it knows, and echoes the time of the question. Whoever
   changes the view waits until all proxies have acted on it, or until enough
   witnesses have and the leases of the others have run out.

   The witnesses are AGREEMENT_WITNESSES of the proxies, chosen by a hash of
   their names and spread over failure domains, or all proxies where there are
   no more. So the traffic of a proxy does not grow with the fleet, but for
   that of the witnesses. Only witnesses change the view. */
struct agreement;

#define AGREEMENT_LEASE_MS 1000
/* A peer that was heard within this time counts as alive. */
#define AGREEMENT_ALIVE_MS 1000
#define AGREEMENT_WITNESSES 7
#define AGREEMENT_PEERS_MAX 512
/* A proxy that is not heard for this time may be lost for good. A restart or a
   suspended VM takes a few seconds. */
#define AGREEMENT_SILENT_MS 15000
#define AGREEMENT_SILENT_MAX 8
/* A note fits in a datagram of 8 KB. A proxy that lacks more changes than this
   reads the view from the store. */
#define AGREEMENT_CHANGES_MAX 32
#define AGREEMENT_POSITIONS_MAX 32

/* A position that a primary's log had, and how long ago that was known. */
struct agreement_position {
    int index; /* of the service, in the view */
    uint64_t term;
    uint64_t position;
    int64_t age_ms;
};

/* One message between proxies. */
struct agreement_message {
    char from[VIEW_NAME_BYTES];
    uint64_t incarnation;
    clock_ms sent_at;          /* on the sender's clock */
    clock_ms echo;             /* sent_at of the last message received, or 0 */
    uint64_t echo_incarnation; /* incarnation that sent it */
    uint64_t applied;          /* version of the view whose changes are done */
    uint64_t version;          /* version of the view that is known */
    /* Services whose primary does not answer, in the view of `version`. */
    struct service_set unreachable;
    uint64_t configuration; /* version of the operator's configuration */
    uint64_t registry_hash; /* hash of the proxies that the sender knows */
    /* Hashes of proxies that the sender, a witness, has not heard for
       AGREEMENT_SILENT_MS. */
    uint64_t silent[AGREEMENT_SILENT_MAX];
    int silent_count;
    bool leaving;    /* the sender cannot change the view any more */
    bool store_lost; /* the store does not answer the sender */
    bool reply;      /* answers a note, and is not answered */
    /* For a peer that cannot reach primaries. */
    struct agreement_position positions[AGREEMENT_POSITIONS_MAX];
    int position_count;
    /* What has changed in the view after the version `since`. */
    bool has_changes;
    uint64_t base_version;
    char holder[VIEW_NAME_BYTES];
    uint64_t fence;
    struct view_entry changes[AGREEMENT_CHANGES_MAX];
    int change_count;
};

struct agreement *agreement_create(const char *name, uint64_t incarnation);
void agreement_destroy(struct agreement *a);

bool agreement_adopt_view(struct agreement *a, const struct view *v);
const struct view *agreement_view(const struct agreement *a);
void agreement_set_applied(struct agreement *a, uint64_t version);
void agreement_set_known_to_peers(struct agreement *a);
void agreement_confirm_by_store(struct agreement *a, uint64_t version,
                                clock_ms asked_at, bool registered);

/* A registered proxy. */
struct agreement_peer {
    const char *name;
    const char *failure_domain;
};

void agreement_set_peers(struct agreement *a,
                         const struct agreement_peer *peers, int n,
                         clock_ms now);
bool agreement_is_witness(const struct agreement *a, const char *name);
int agreement_peer_count(const struct agreement *a);
void agreement_compose_message(const struct agreement *a, const char *to,
                               const struct service_set *unreachable,
                               bool leaving, clock_ms now,
                               struct agreement_message *out);
bool agreement_receive(struct agreement *a, const struct agreement_message *n,
                       clock_ms now);

clock_ms agreement_confirmed_at(const struct agreement *a);
bool agreement_lease_is_valid(const struct agreement *a, clock_ms now);
bool agreement_older_views_expired(struct agreement *a, uint64_t version,
                                   clock_ms since, clock_ms now);
bool agreement_is_alive(const struct agreement *a, const char *name,
                        clock_ms now);
bool agreement_can_change_view(const struct agreement *a, const char *name,
                               clock_ms now);
int agreement_rank(const struct agreement *a, clock_ms now);
int agreement_alive_count(const struct agreement *a, clock_ms now);
const struct service_set *agreement_peer_unreachable(const struct agreement *a,
                                                     const char *name);
int agreement_unreachable_votes(const struct agreement *a, int index,
                                clock_ms now);
clock_ms agreement_last_heard(const struct agreement *a, const char *name);
const char *agreement_find_lost_peer(const struct agreement *a, clock_ms now);

#endif
