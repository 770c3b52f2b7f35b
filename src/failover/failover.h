#ifndef FAILOVER_FAILOVER_H
#define FAILOVER_FAILOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/rng.h"
#include "failover/members.h"
#include "failover/settings.h"

/* State machine that detects the loss of a database group's primary and
   replaces it. It does no I/O and reads no clock: the caller passes in the
   time and the answers of the members, and the machine requests calls through
   struct failover_actions.

   A primary is replaced in a round under a new term. Sealing a member with
   that term makes it reject all lower terms, so that once a majority is sealed
   the old primary can acknowledge no further write. The most advanced of the
   sealed members is then promoted and the others are told to follow it. */

enum failover_state {
    FAILOVER_WATCHING,  /* a primary is known */
    FAILOVER_SUSPECT,   /* no working primary; waiting to start a round */
    FAILOVER_SEALING,   /* round: waiting for a majority of seals */
    FAILOVER_PROMOTING, /* round: waiting for the chosen member */
    FAILOVER_FOLLOWING, /* as WATCHING, for call_timeout_ms after a round */
    FAILOVER_SWITCHING, /* planned switch: writes held, nothing sealed yet */
};

/* Callbacks of the machine. Each call to a member has an id, which the caller
   passes back with the answer; ids are never 0 and never reused. A callback
   must not call into the machine: answers are delivered later, from the event
   loop. */
struct failover_actions {
    void (*probe)(void *ctx, int member, uint64_t call_id);
    void (*seal)(void *ctx, int member, uint64_t term, uint64_t call_id);
    void (*promote)(void *ctx, int member, uint64_t term, uint64_t call_id);
    void (*follow)(void *ctx, int member, uint64_t term, int primary,
                   uint64_t call_id);
    /* member is FAILOVER_NO_MEMBER when there is no known primary. */
    void (*primary_changed)(void *ctx, int member, uint64_t term);
    void (*hold_writes)(void *ctx, bool hold);
    /* Logs text, which is valid during the call only, under the event name
       step. member may be FAILOVER_NO_MEMBER. */
    void (*log_event)(void *ctx, enum log_level level, const char *step,
                      int member, const char *text);
};

struct failover_counters {
    uint64_t suspected;           /* times the primary was taken as lost */
    uint64_t confirmed_elsewhere; /* ... but a majority still heard it */
    uint64_t rounds_started;
    uint64_t rounds_failed;
    uint64_t rounds_completed;
    uint64_t switches_started;
    uint64_t switches_failed;
    uint64_t late_answers; /* ignored: no call with that id in flight */
    uint64_t pauses;       /* times this process did not run for a while */
};

struct failover_config {
    struct failover_settings settings;
    uint32_t proxy_id; /* 1..65535, unique in the fleet */
    int member_count;
    const char *const *domains; /* one failure domain per member, or NULL */
    int rank; /* a higher rank starts a round later; -1 never starts one */
    const struct failover_actions *actions; /* borrowed */
    void *ctx;
    struct rng *rng; /* borrowed */
};

struct failover;

struct failover *failover_create(const struct failover_config *config,
                                 clock_ms now);
void failover_destroy(struct failover *f);

void failover_tick(struct failover *f, clock_ms now);
void failover_probe_answered(struct failover *f, clock_ms now, int member,
                             uint64_t call_id,
                             const struct failover_probe_answer *answer);
void failover_probe_failed(struct failover *f, clock_ms now, int member,
                           uint64_t call_id);
void failover_seal_answered(struct failover *f, clock_ms now, int member,
                            uint64_t call_id, bool granted, uint64_t term,
                            uint64_t position);
void failover_promote_answered(struct failover *f, clock_ms now, int member,
                               uint64_t call_id, bool promoted);
void failover_follow_answered(struct failover *f, clock_ms now, int member,
                              uint64_t call_id, bool following);
void failover_call_failed(struct failover *f, clock_ms now, int member,
                          uint64_t call_id);

void failover_set_leaving(struct failover *f, clock_ms now, int member,
                          bool leaving);
void failover_set_rank(struct failover *f, clock_ms now, int rank);
void failover_set_running_transactions(struct failover *f, clock_ms now,
                                       int running_transactions);
bool failover_request_switch(struct failover *f, clock_ms now, int target);
void failover_peer_switching(struct failover *f, clock_ms now);
void failover_hint_primary(struct failover *f, clock_ms now, int member,
                           uint64_t term);

enum failover_state failover_get_state(const struct failover *f);
const char *failover_state_name(enum failover_state state);
int failover_get_primary(const struct failover *f);
uint64_t failover_get_term(const struct failover *f);
bool failover_is_holding_writes(const struct failover *f);
const struct failover_counters *
failover_get_counters(const struct failover *f);

#endif
