#ifndef FLEET_MEMBERSHIP_INTERNAL_H
#define FLEET_MEMBERSHIP_INTERNAL_H

#include "fleet/membership.h"

#include <glib.h>

/* Shared by membership.c (phases), membership_list.c (member list, view and
   quorum) and membership_send.c (messages). */

/* An update is sent UPDATE_REPEAT_FACTOR * log2(members) times. */
#define UPDATE_REPEAT_FACTOR 3
#define UPDATE_SENDS_MAX 64
#define BUDGET_SLOT_MS 50
#define BUDGET_SLOTS 21 /* one second and the current slot */
#define PENDING_PROBES_MAX 16

struct member {
    uint32_t id;
    uint32_t incarnation;
    uint8_t phase;
    bool listed;
    bool probing;        /* being checked through other members */
    bool probe_deferred; /* the budget has allowed no probe yet */
    bool on_watch_list;
    bool has_our_details;   /* knows this member's name and address */
    bool update_queued;     /* in one of the queues of updates[] */
    uint8_t update_sends;   /* times that the queued update was sent */
    uint8_t probes_open;    /* probes without an answer yet */
    uint16_t domain;        /* index in domains */
    clock_ms last_heard;    /* last sign of life, direct or through others */
    clock_ms last_exchange; /* last message from the member itself */
    clock_ms deadline;      /* of probing or of the suspicion */
    clock_ms next_exchange; /* full mesh only */
    peer_digest tickets;
    uint64_t view_hash; /* as last reported by the member */
    char *name;         /* owns the allocation that address points into */
    char *address;
    GList link;
};

struct pending_probe {
    uint32_t requester;
    uint32_t target;
};

struct membership {
    struct membership_actions actions;
    struct rng rng;
    struct member *self;
    GPtrArray *members;    /* sorted by id */
    GPtrArray *watch_list; /* members that are probing or suspect */
    GPtrArray *domains;
    GQueue updates[UPDATE_SENDS_MAX]; /* indexed by update_sends */
    peer_digest tickets;
    uint64_t view_hash;
    clock_ms next_send;
    uint32_t targets[MEMBERSHIP_FANOUT]; /* of this round, not sent yet */
    unsigned target_count;
    unsigned dead_listed_count;
    unsigned dead_unlisted_count;
    clock_ms started_at;
    clock_ms last_tick;
    clock_ms last_success; /* last successful exchange with any member */
    clock_ms quorum_since; /* CLOCK_NEVER without a quorum */
    unsigned round;
    unsigned view_mismatches; /* consecutive reports of a different view */
    size_t resync_index;      /* next member to send for resynchronization */
    uint32_t budget_slots[BUDGET_SLOTS]; /* bytes sent per slot */
    uint32_t update_slots[BUDGET_SLOTS]; /* bytes of updates among them */
    int64_t newest_slot;
    struct pending_probe pending_probes[PENDING_PROBES_MAX];
    unsigned pending_probe_count;
    struct membership_counters counters;
    /* Storage for the updates of the message being built. */
    peer_update out_updates[PEER_UPDATES_MAX];
    peer_details out_details[PEER_UPDATES_MAX];
};

/* In gossip mode, a member that has received no answer for this long assumes
   that it is isolated and raises no suspicions. */
#define ISOLATED_MS 3000

struct member *membership_add_member(struct membership *m, clock_ms now,
                                     uint32_t id, uint32_t incarnation,
                                     const peer_details *d);
void membership_set_details(struct membership *m, struct member *x,
                            const char *name, const char *domain,
                            const char *address);
void membership_set_state(struct membership *m, clock_ms now, struct member *x,
                          uint32_t incarnation, enum member_phase phase);
void membership_notify(struct membership *m, const struct member *x,
                       enum member_phase before);
uint64_t membership_member_hash(const struct member *x);
void membership_adjust_dead_counts(struct membership *m,
                                   const struct member *x, int delta);
void membership_view_changed(struct membership *m);
void membership_answer_probes(struct membership *m, clock_ms now,
                              uint32_t target, bool reached);
struct member *membership_find(const struct membership *m, uint32_t id);
bool membership_is_full_mesh(const struct membership *m);
void membership_apply_report(struct membership *m, clock_ms now, uint32_t id,
                             uint32_t incarnation, enum member_phase phase,
                             const peer_details *details);
void membership_start_probing(struct membership *m, clock_ms now,
                              struct member *x);

clock_ms membership_heartbeat_ms(const struct membership *m);
void membership_queue_update(struct membership *m, struct member *x);
void membership_unqueue_update(struct membership *m, struct member *x);
unsigned membership_send_limit(const struct membership *m);
bool membership_send_probe(struct membership *m, clock_ms now,
                           const struct member *via,
                           const struct member *target);
void membership_send_due(struct membership *m, clock_ms now);

#endif
