#ifndef RELAY_MEMBER_PACE_H
#define RELAY_MEMBER_PACE_H

#include "base/clock.h"
#include "base/rng.h"

#include <stdbool.h>
#include <stdint.h>

/* The relay does not use this yet, see docs/design/member-pace.md; the model
   in tests/relay does.

   How much work a proxy may have in progress at one member, found from the
   member's answers. Work is a statement or the opening of a connection. Every
   proxy decides alone; it only knows the number of proxies. The functions get
   the time, and random numbers where several proxies would otherwise act at
   the same moment. */

enum pace_start {
    PACE_START_NEW,
    PACE_START_REACHABLE,
    PACE_START_PROMOTED,
};

/* Reasons for a decrease of the limit. */
enum pace_decrease {
    PACE_DECREASE_BUSY,        /* the member's queue is full */
    PACE_DECREASE_CONNECTIONS, /* it has too many connections */
    PACE_DECREASE_TIMEOUT,     /* no answer in time */
    PACE_DECREASE_LOST,        /* it closed a connection */
    PACE_DECREASE_FAILED,      /* it failed part of its work */
    PACE_DECREASE_SLOW,        /* answers take longer than usual */
    PACE_DECREASES,
};

/* What the latest answers say about a member. */
enum pace_condition {
    PACE_NORMAL,
    PACE_SLOW,    /* it serves everything, but takes much longer than usual */
    PACE_FULL,    /* it refuses work */
    PACE_FAILING, /* it fails part of its work and serves the rest */
    PACE_SILENT,  /* it does not answer */
};

struct member_pace {
    clock_ms next_at;      /* nothing may be sent before */
    clock_ms open_at;      /* no connection may be opened before */
    clock_ms answered_at;  /* last statement served */
    clock_ms decreased_at; /* last decrease of the limit */
    float limit;           /* below 1: one in progress, with pauses */
    float ceiling;         /* limit at which the member last refused work */
    float recent_ms;       /* short-term mean of the latency; 0: unknown */
    float usual_ms;        /* long-term mean of the latency; 0: unknown */
    float refused;         /* recent share of refusals */
    float failed;          /* recent share of failures */
    uint16_t proxies;
    uint8_t answers; /* statements served, up to 255 */
    uint8_t full;    /* doublings of the delay of the next connection */
    uint8_t silent;  /* timeouts since the last answer */
    uint8_t ramping; /* the limit is still doubled by answers */
    uint8_t unused;  /* no connection was opened yet, and none failed */
};

void member_pace_init(struct member_pace *p, int proxies, clock_ms now,
                      struct rng *rng);
void member_pace_set_proxies(struct member_pace *p, int proxies);
void member_pace_start(struct member_pace *p, enum pace_start why,
                       clock_ms now, struct rng *rng);

bool member_pace_may_send(const struct member_pace *p, int in_progress,
                          clock_ms now);
bool member_pace_may_open(const struct member_pace *p, int in_progress,
                          clock_ms now);
void member_pace_sent(struct member_pace *p, clock_ms now, struct rng *rng);
void member_pace_opened(struct member_pace *p, int max);
bool member_pace_served(struct member_pace *p, int64_t latency_ms,
                        int in_progress, int max, clock_ms now);
bool member_pace_failed(struct member_pace *p, clock_ms now, struct rng *rng);
bool member_pace_refused(struct member_pace *p, clock_ms now, struct rng *rng);
bool member_pace_refused_connection(struct member_pace *p, clock_ms now,
                                    struct rng *rng);
bool member_pace_timed_out(struct member_pace *p, clock_ms now,
                           struct rng *rng);
void member_pace_lost(struct member_pace *p, clock_ms now, struct rng *rng);
void member_pace_unreachable(struct member_pace *p, clock_ms now,
                             struct rng *rng);

const char *pace_decrease_name(enum pace_decrease why);
enum pace_condition member_pace_condition(const struct member_pace *p);

#endif
