#ifndef FLEET_MEMBERSHIP_H
#define FLEET_MEMBERSHIP_H

#include "base/clock.h"
#include "base/rng.h"
#include "fleet/peer_xdr.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Which proxies exist and which are up. Decision code: no socket, no clock;
   the caller hands in the time, events and a generator. */

/* Up to this many members everyone sends to everyone. */
#define MEMBERSHIP_FULL_MESH_MAX 8
#define MEMBERSHIP_HEARTBEAT_MS 500
/* With seven or eight members 500 ms would take 1,740 of the 2,000 bytes a
   second. At 700 ms, probes after a fault kept delaying heartbeats, which
   caused more probes without end (test_random_small, seed 1451). */
#define MEMBERSHIP_HEARTBEAT_FAST_MAX 6
#define MEMBERSHIP_HEARTBEAT_SLOW_MS 900
/* Above MEMBERSHIP_SMALL_MAX members. Four calls and four answers a second
   leave about half of the byte budget to updates. */
#define MEMBERSHIP_ROUND_MS 1000
#define MEMBERSHIP_FANOUT 4
#define MEMBERSHIP_SUSPECT_MS 1500
#define MEMBERSHIP_DEAD_MS 3000
#define MEMBERSHIP_PROBES 3
#define MEMBERSHIP_PROBES_FULL_MESH 2
#define MEMBERSHIP_BUDGET_BYTES 2000
/* The caller's time limit for HEARTBEAT and PROBE calls. */
#define MEMBERSHIP_CALL_MS 700
#define MEMBERSHIP_PROBE_CALL_MS 1500
/* How often membership_tick has to be called. */
#define MEMBERSHIP_TICK_MS 100

/* Ordered: of two reports with one incarnation the later phase wins. */
enum member_phase {
    MEMBER_LIVE,
    MEMBER_LEAVING,
    MEMBER_SUSPECT,
    MEMBER_DEAD,
};

const char *member_phase_name(enum member_phase p);

struct membership;

/* A view of one member; strings live until the next call that changes it. */
struct member_info {
    uint32_t id;
    uint32_t incarnation;
    enum member_phase phase;
    bool listed; /* in settings or the VM list */
    const char *name;
    const char *domain;
    const char *address;
    peer_digest tickets; /* as last reported */
    clock_ms heard;      /* last sign of life, direct or not */
};

struct membership_actions {
    /* Sends HEARTBEAT; hb is valid during the call. The outcome comes back
       through membership_on_answer. */
    void (*send_heartbeat)(void *ctx, uint32_t to, const peer_heartbeat *hb);
    /* Sends PROBE to via; back through membership_on_probe_answer. */
    void (*send_probe)(void *ctx, uint32_t via, uint32_t target);
    /* Answers a PROBE that membership_on_probe took. Not called for every
       request: the answer is left out when the budget is used up. */
    void (*answer_probe)(void *ctx, uint32_t requester, uint32_t target,
                         bool reached);
    /* A member appeared, changed phase or restarted; may be NULL. */
    void (*changed)(void *ctx, const struct member_info *m,
                    enum member_phase before);
    void *ctx;
};

struct membership_counters {
    uint64_t bytes;       /* sent, with RPC headers, without TCP/IP */
    uint64_t heartbeats;  /* calls sent */
    uint64_t answers;     /* answers sent */
    uint64_t probes;      /* probe calls sent */
    uint64_t over_budget; /* messages not sent because of the budget */
    uint64_t updates;     /* piggy-backed updates sent */
    uint64_t suspicions;  /* raised by this member itself */
    uint64_t deaths;      /* members that became dead in this view */
    uint64_t refutations; /* false reports about itself answered */
    uint64_t resumes;     /* pauses of this process noticed */
};

/* incarnation has to be higher than that of an earlier process with the same
   id; the wall clock in seconds at the start serves. */
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
void membership_on_answer(struct membership *m, clock_ms now, uint32_t from,
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
