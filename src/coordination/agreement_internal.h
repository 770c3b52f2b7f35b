#ifndef COORDINATION_AGREEMENT_INTERNAL_H
#define COORDINATION_AGREEMENT_INTERNAL_H

#include "coordination/agreement.h"

/* Shared by agreement.c, which decides which view is in force, recovery.c,
   which decides when a proxy that has started again may rely on one, and
   lost_peers.c, which decides which registrations can be deleted. */

/* Quorum when there are AGREEMENT_WITNESSES_MAX witnesses. The quorums of two
   proxies whose lists differ by two proxies still have a witness in common. */
#define FULL_QUORUM 5

/* Another registered proxy, and what its messages have reported. */
struct peer {
    char name[VIEW_NAME_BYTES];
    bool witness;
    uint64_t incarnation;
    clock_ms added_at;     /* own clock */
    clock_ms last_heard;   /* own clock; 0 if never */
    clock_ms peer_sent_at; /* of its last message, on the peer's clock */
    /* Own clock: at this time or later, the peer knew no newer view. */
    clock_ms confirmed_at;
    clock_ms answered_at; /* own clock: the peer has answered a message sent at
                             this time */
    uint64_t applied;     /* newest view version that it has applied */
    uint64_t version;     /* newest view version that it knows */
    struct service_set unreachable;
    bool has_unreachable;   /* unreachable is not empty */
    uint64_t registry_hash; /* of the registered proxies known to the peer */
    uint64_t silent[AGREEMENT_SILENT_MAX];
    int silent_count;
    bool leaving;
    bool store_lost;
};

struct agreement {
    char name[VIEW_NAME_BYTES];
    uint64_t incarnation;
    clock_ms started_at; /* own clock */
    bool recovering;     /* earlier processes of this proxy may have applied a
                            newer view */
    struct view view;    /* newest one that this proxy knows */
    uint64_t applied;    /* newest view version that it has applied */
    clock_ms store_confirmed_at; /* own clock */
    clock_ms store_answered_at;  /* own clock: the store knew this proxy */
    uint64_t store_era;          /* as far as this proxy knows */
    clock_ms era_known_at;       /* since when (own clock) */
    bool view_unproven; /* read from a store that had lost newer ones, perhaps
                         */
    uint64_t majority_version; /* applied by a majority of the witnesses */
    clock_ms majority_since;   /* when this proxy learned of it */
    struct peer peers[AGREEMENT_PEERS_MAX];
    int count;
    uint64_t registry_hash; /* of the registered proxies, including this one */
    bool known_to_peers;    /* the other proxies list this one */
    bool is_witness;
    int witnesses; /* number of witnesses, including this proxy if it is one */
    int witness_peers[AGREEMENT_WITNESSES_MAX]; /* indexes in peers */
    int witness_peer_count;
    int witness_order; /* place of this proxy in the order in which witnesses
                          are chosen */
    clock_ms peer_left_at;         /* own clock: a proxy has left the list */
    char retired[VIEW_NAME_BYTES]; /* the last peer that this proxy found lost
                                      without a majority of the witnesses */
    bool retired_left;             /* it has left the list since */
    clock_ms retirement_paused_until;
};

/* agreement.c */
uint64_t agreement_name_hash(const char *name);
int agreement_quorum(const struct agreement *a);
bool agreement_peer_is_alive(const struct peer *p, clock_ms now);

/* recovery.c */
bool agreement_sender_remembers(const struct agreement_message *m);
void agreement_recover_by_witnesses(struct agreement *a);

/* lost_peers.c */
bool agreement_peer_is_silent(const struct peer *p, clock_ms now);
void agreement_track_departures(struct agreement *a,
                                const struct agreement_peer *peers, int n,
                                clock_ms now);

#endif
