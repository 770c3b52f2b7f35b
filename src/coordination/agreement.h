#ifndef COORDINATION_AGREEMENT_H
#define COORDINATION_AGREEMENT_H

#include "base/clock.h"
#include "coordination/service_set.h"
#include "coordination/view.h"

/* Decides which view this proxy follows and how long it may rely on it.

   A proxy may rely on its view only while it knows that no newer view was in
   force less than AGREEMENT_LEASE_MS ago. The store or a quorum of witnesses
   confirms this: each reply from a witness states the newest view it knows and
   echoes the send time of the message that it answers. A proxy that changes
   the view waits until every proxy has applied the change, or until a majority
   of the witnesses has applied it and the leases of the remaining proxies have
   expired.

   Up to AGREEMENT_WITNESSES_MAX proxies are witnesses, chosen by a hash of
   their names and spread over failure domains; in a smaller fleet every proxy
   is one. The traffic of the other proxies therefore does not grow with the
   fleet. Only witnesses change the view.

   A proxy that has started again has forgotten which views it had applied. It
   is recovering until it knows a view that is at least as new, and neither
   relies on its view nor confirms the leases of others meanwhile. An answer of
   the store shows this, or answers of so many witnesses that one of them has
   applied every view that was in force.

   The store may come back from an older copy, which begins a new era. The view
   in it is then older than the one in force until a proxy that knows the newer
   one has written that again; until then the store confirms nothing, and a
   proxy that has read the older one does not rely on it. */
struct agreement;

#define AGREEMENT_LEASE_MS 1000
/* An order is sent under a valid lease only. One that the platform has not
   received after this time is dropped by its sender's kernel. */
#define AGREEMENT_ORDER_LIFE_MS 500
/* Versions and fences given out in one era of the store are beyond those of
   all earlier eras: the number of the era is in the upper bits. */
#define AGREEMENT_ERA_SHIFT 32
/* Proxies that know a newer view than the store, and members, write again well
   within this time after the store is back what it has lost. */
#define AGREEMENT_SETTLE_MS 2000
/* A service that appears later than this after the store is back is new. */
#define AGREEMENT_LOST_SERVICES_MS 20000
/* A peer is alive if a message from it arrived within this time. */
#define AGREEMENT_ALIVE_MS 1000
#define AGREEMENT_WITNESSES_MAX 7
#define AGREEMENT_PEERS_MAX 512
/* A peer that has sent nothing for this time may be lost for good. A restart
   or a suspended VM takes only a few seconds. */
#define AGREEMENT_SILENT_MS 15000
#define AGREEMENT_SILENT_MAX 8
/* A message has to fit in a datagram of 10 KB. A proxy that lacks more changes
   than this reads the view from the store. */
#define AGREEMENT_CHANGES_MAX 32
#define AGREEMENT_POSITIONS_MAX 32

/* A log position of a service's primary, and how long ago the primary had
   it. */
struct agreement_position {
    int index; /* of the service in the view */
    uint64_t term;
    uint64_t position;
    int64_t age_ms;
};

/* A message between proxies. */
struct agreement_message {
    char from[VIEW_NAME_BYTES];
    uint64_t incarnation;
    clock_ms sent_at;          /* sender's clock */
    clock_ms echo;             /* sent_at of the last message received, or 0 */
    uint64_t echo_incarnation; /* incarnation of the proxy that sent it */
    uint64_t applied; /* newest view version that the sender has applied */
    uint64_t version; /* newest view version that the sender knows; 0 if it
                         does not rely on it */
    /* Services whose primary the sender cannot reach, by index in the view
       `version`. */
    struct service_set unreachable;
    uint64_t catalog_version; /* version of the operator's configuration */
    int64_t catalog_age_ms;   /* of the evidence that the store held no newer
                                 one; -1: none */
    uint64_t members_version; /* of the list of members; 0: not told */
    uint64_t registry_hash; /* of the registered proxies known to the sender */
    /* Name hashes of proxies that the sender has not heard from for
       AGREEMENT_SILENT_MS: any if it is a witness, otherwise witnesses. */
    uint64_t silent[AGREEMENT_SILENT_MAX];
    int silent_count;
    bool leaving;    /* the sender no longer changes the view */
    bool store_lost; /* the sender cannot reach the store */
    bool reply;      /* answers a message; must not be answered */
    /* Positions of primaries that the receiver cannot reach. */
    struct agreement_position positions[AGREEMENT_POSITIONS_MAX];
    int position_count;
    /* The entries of the view that changed after version `base_version`. */
    bool has_changes;
    uint64_t base_version;
    char holder[VIEW_NAME_BYTES];
    uint64_t fence;
    struct view_entry changes[AGREEMENT_CHANGES_MAX];
    int change_count;
};

struct agreement *agreement_create(const char *name, uint64_t incarnation,
                                   clock_ms now);
void agreement_destroy(struct agreement *a);

void agreement_set_store_era(struct agreement *a, uint64_t era, clock_ms now);
uint64_t agreement_era_base(const struct agreement *a);
bool agreement_view_is_lost(const struct agreement *a);
int64_t agreement_era_age(const struct agreement *a, clock_ms now);
bool agreement_may_have_lost_services(const struct agreement *a, clock_ms now);
bool agreement_all_lack_view(const struct agreement *a, clock_ms now);
bool agreement_is_settling(const struct agreement *a, clock_ms now);
bool agreement_adopt_view(struct agreement *a, const struct view *v);
const struct view *agreement_view(const struct agreement *a);
void agreement_set_applied(struct agreement *a, uint64_t version);
void agreement_set_known_to_peers(struct agreement *a);
void agreement_confirm_by_store(struct agreement *a, uint64_t version,
                                clock_ms asked_at, bool registered);
void agreement_recover_by_store(struct agreement *a);
bool agreement_is_recovering(const struct agreement *a);

/* A registered proxy. */
struct agreement_peer {
    const char *name;
    const char *failure_domain;
};

void agreement_set_peers(struct agreement *a,
                         const struct agreement_peer *peers, int n,
                         clock_ms now);
bool agreement_registry_differs(const struct agreement *a, clock_ms now);
bool agreement_is_witness(const struct agreement *a, const char *name);
int agreement_peer_count(const struct agreement *a);
void agreement_compose_message(const struct agreement *a, const char *to,
                               const struct service_set *unreachable,
                               bool leaving, clock_ms now,
                               struct agreement_message *out);
bool agreement_receive(struct agreement *a, const struct agreement_message *m,
                       clock_ms now);

clock_ms agreement_confirmed_at(const struct agreement *a);
clock_ms agreement_answered_at(const struct agreement *a);
bool agreement_lease_is_valid(const struct agreement *a, clock_ms now);
bool agreement_older_views_expired(struct agreement *a, uint64_t version,
                                   clock_ms since, clock_ms now);
bool agreement_older_orders_expired(struct agreement *a, uint64_t version,
                                    clock_ms since, clock_ms now);
bool agreement_is_alive(const struct agreement *a, const char *name,
                        clock_ms now);
bool agreement_can_change_view(const struct agreement *a, const char *name,
                               clock_ms now);
int agreement_rank(const struct agreement *a, clock_ms now);
int agreement_live_witness_count(const struct agreement *a, clock_ms now);
int agreement_alive_count(const struct agreement *a, clock_ms now);
const struct service_set *agreement_peer_unreachable(const struct agreement *a,
                                                     const char *name);
int agreement_unreachable_votes(const struct agreement *a, int index,
                                clock_ms now);
clock_ms agreement_last_heard(const struct agreement *a, const char *name);
const char *agreement_find_lost_peer(struct agreement *a, clock_ms now);

#endif
