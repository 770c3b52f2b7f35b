#ifndef FLEET_MEMBERSHIP_H
#define FLEET_MEMBERSHIP_H

#include "base/clock.h"
#include "base/rng.h"
#include "fleet/peer_xdr.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Membership and failure detection, similar to SWIM: heartbeats, indirect
   probes, suspicion and piggybacked updates. The module opens no sockets and
   reads no clock: the caller passes in the time and the events, and provides
   callbacks that send messages (struct membership_actions).

   A member here is a proxy of the fleet. In the other folders, and in the loan
   messages, a member is a database server of a database group. */

/* Up to this many members, every pair exchanges heartbeats (full mesh). Above
   it, each member sends to a few random others per round (gossip). */
#define MEMBERSHIP_FULL_MESH_MAX 8
#define MEMBERSHIP_HEARTBEAT_MS 500
/* Above MEMBERSHIP_HEARTBEAT_FAST_MAX members of a full mesh, heartbeats are
   sent every MEMBERSHIP_HEARTBEAT_SLOW_MS. An interval of 500 ms would take
   1,740 of the 2,000 bytes per second with seven or eight members. With
   700 ms, probes after a fault delayed heartbeats, and the missing heartbeats
   caused further probes without end (test_random_small, seed 1451). */
#define MEMBERSHIP_HEARTBEAT_FAST_MAX 6
#define MEMBERSHIP_HEARTBEAT_SLOW_MS 900
/* Gossip round and number of targets per round. Four calls and four answers
   per second leave about half of the byte budget to updates. */
#define MEMBERSHIP_ROUND_MS 1000
#define MEMBERSHIP_FANOUT 4
#define MEMBERSHIP_SUSPECT_MS 1500
#define MEMBERSHIP_DEAD_MS 3000
/* Number of members that are asked to probe an unresponsive one. */
#define MEMBERSHIP_PROBES 3
#define MEMBERSHIP_PROBES_FULL_MESH 2
/* Limit of the bytes sent in any second. */
#define MEMBERSHIP_BUDGET_BYTES 2000
/* Time limits with which the caller has to send HEARTBEAT and PROBE calls. */
#define MEMBERSHIP_HEARTBEAT_TIMEOUT_MS 700
#define MEMBERSHIP_PROBE_TIMEOUT_MS 1500
/* How often membership_tick has to be called. */
#define MEMBERSHIP_TICK_MS 100

/* The order matters: of two reports with the same incarnation, the one with
   the higher phase takes precedence. */
enum member_phase {
    MEMBER_LIVE,
    MEMBER_LEAVING,
    MEMBER_SUSPECT,
    MEMBER_DEAD,
};

const char *member_phase_name(enum member_phase p);

struct membership;

/* State of one member. The strings are valid until the next call that changes
   the membership. */
struct member_info {
    uint32_t id;
    uint32_t incarnation;
    enum member_phase phase;
    bool listed; /* in settings or the VM list */
    const char *name;
    const char *domain;
    const char *address;
    peer_digest tickets; /* as last reported by the member */
    clock_ms last_heard; /* last sign of life, direct or through others */
};

struct membership_actions {
    /* Sends HEARTBEAT; hb is valid only during the call. The caller reports
       the outcome with membership_on_heartbeat_answer. */
    void (*send_heartbeat)(void *ctx, uint32_t to, const peer_heartbeat *hb);
    /* Sends PROBE to via. The caller reports the outcome with
       membership_on_probe_answer. */
    void (*send_probe)(void *ctx, uint32_t via, uint32_t target);
    /* Answers a PROBE that was passed to membership_on_probe. Not called for
       every request: without budget left, the probe stays unanswered. */
    void (*answer_probe)(void *ctx, uint32_t requester, uint32_t target,
                         bool reached);
    /* A member appeared, changed phase or restarted; may be NULL. */
    void (*changed)(void *ctx, const struct member_info *m,
                    enum member_phase before);
    void *ctx;
};

struct membership_counters {
    uint64_t bytes;       /* sent, with RPC headers, without TCP/IP headers */
    uint64_t heartbeats;  /* calls sent */
    uint64_t answers;     /* answers sent */
    uint64_t probes;      /* probe calls sent */
    uint64_t over_budget; /* messages not sent because of the budget */
    uint64_t updates;     /* piggybacked updates sent */
    uint64_t suspicions;  /* raised by this member itself */
    uint64_t deaths;      /* members that this member came to see as dead */
    uint64_t refutations; /* false reports about this member refuted */
    uint64_t resumes;     /* detected pauses of this process */
};

/* incarnation has to be higher than that of any earlier process with the same
   id, for example the wall clock in seconds at startup. */
struct membership_self {
    uint32_t id;
    uint32_t incarnation;
    const char *name;
    const char *domain;
    const char *address;
};

struct membership *membership_create(const struct membership_self *self,
                                     const struct membership_actions *actions,
                                     uint64_t seed, clock_ms now);
void membership_destroy(struct membership *m);

void membership_list_add(struct membership *m, clock_ms now, uint32_t id,
                         const char *name, const char *domain,
                         const char *address);
void membership_list_mark_leaving(struct membership *m, clock_ms now,
                                  uint32_t id);
void membership_list_remove(struct membership *m, clock_ms now, uint32_t id);
void membership_leave(struct membership *m, clock_ms now);
void membership_set_tickets(struct membership *m, peer_digest digest);

void membership_tick(struct membership *m, clock_ms now);
bool membership_on_heartbeat(struct membership *m, clock_ms now,
                             const peer_heartbeat *in, peer_heartbeat *answer);
void membership_on_heartbeat_answer(struct membership *m, clock_ms now,
                                    uint32_t from,
                                    const peer_heartbeat *answer);
void membership_on_probe(struct membership *m, clock_ms now,
                         uint32_t requester, uint32_t target);
void membership_on_probe_answer(struct membership *m, clock_ms now,
                                uint32_t target, bool reached);

size_t membership_size(const struct membership *m);
bool membership_get(const struct membership *m, uint32_t id,
                    struct member_info *out);
bool membership_at(const struct membership *m, size_t index,
                   struct member_info *out);
uint32_t membership_self_id(const struct membership *m);
uint64_t membership_view_hash(const struct membership *m);
bool membership_has_quorum(const struct membership *m, clock_ms now);
clock_ms membership_quorum_since(const struct membership *m);
const struct membership_counters *
membership_counters(const struct membership *m);

#endif
