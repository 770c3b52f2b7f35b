#ifndef FAILOVER_FAILOVER_H
#define FAILOVER_FAILOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/rng.h"
#include "failover/members.h"
#include "failover/settings.h"

enum failover_state {
    FAILOVER_WATCHING,
    FAILOVER_SUSPECT,
    FAILOVER_SEALING,
    FAILOVER_PROMOTING,
    FAILOVER_FOLLOWING,
    FAILOVER_SWITCHING,
};

/* What the machine asks for. Every call carries an id that its answer must
   bring back; ids are never 0 and never reused. A callback must not call
   into the machine: answers are delivered from the event loop. */
struct failover_actions {
    void (*probe)(void *ctx, int member, uint64_t call);
    void (*seal)(void *ctx, int member, uint64_t term, uint64_t call);
    void (*promote)(void *ctx, int member, uint64_t term, uint64_t call);
    void (*follow)(void *ctx, int member, uint64_t term, int primary,
                   uint64_t call);
    /* member is FAILOVER_NOBODY while there is no primary. */
    void (*primary_changed)(void *ctx, int member, uint64_t term);
    void (*hold_writes)(void *ctx, bool hold);
    /* member may be FAILOVER_NOBODY. text is valid during the call. */
    void (*note)(void *ctx, enum log_level level, const char *step, int member,
                 const char *text);
};

struct failover_counters {
    uint64_t suspected;
    uint64_t confirmed_elsewhere; /* replicas still heard the primary */
    uint64_t rounds_started;
    uint64_t rounds_failed;
    uint64_t rounds_completed;
    uint64_t switches_started;
    uint64_t switches_failed;
    uint64_t late_answers;
    uint64_t pauses;
};

struct failover_config {
    struct failover_settings settings;
    uint32_t proxy_id; /* 1..65535, unique in the fleet */
    int member_count;
    const char *const *domains; /* one failure domain per member, or NULL */
    int rank;                   /* watch rank; -1 observes only */
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
                             uint64_t call,
                             const struct failover_probe *answer);
void failover_probe_failed(struct failover *f, clock_ms now, int member,
                           uint64_t call);
void failover_seal_answered(struct failover *f, clock_ms now, int member,
                            uint64_t call, bool granted, uint64_t term,
                            uint64_t position);
void failover_promote_answered(struct failover *f, clock_ms now, int member,
                               uint64_t call, bool promoted);
void failover_follow_answered(struct failover *f, clock_ms now, int member,
                              uint64_t call, bool following);
void failover_call_failed(struct failover *f, clock_ms now, int member,
                          uint64_t call);

void failover_set_leaving(struct failover *f, clock_ms now, int member,
                          bool leaving);
void failover_set_rank(struct failover *f, clock_ms now, int rank);
void failover_set_running(struct failover *f, clock_ms now, int running);
bool failover_request_switch(struct failover *f, clock_ms now, int target);
void failover_peer_switching(struct failover *f, clock_ms now);
void failover_hint_primary(struct failover *f, clock_ms now, int member,
                           uint64_t term);

enum failover_state failover_get_state(const struct failover *f);
const char *failover_state_name(enum failover_state state);
int failover_get_primary(const struct failover *f);
uint64_t failover_get_term(const struct failover *f);
bool failover_is_holding(const struct failover *f);
const struct failover_counters *
failover_get_counters(const struct failover *f);

#endif
