#ifndef RELAY_REPLICA_LAG_H
#define RELAY_REPLICA_LAG_H

#include "relay/position_samples.h"

/* How far a replica is behind the primary, from the positions that it reports
   and the times at which the primary had them. */
struct replica_lag {
    struct token position; /* newest position it has reported */
    int64_t lag_ms;
    clock_ms measured_at; /* 0: lag_ms is not known */
};

void replica_lag_reported(struct replica_lag *r,
                          const struct position_samples *s,
                          const struct token *position, clock_ms now);
void replica_lag_refused(struct replica_lag *r,
                         const struct position_samples *s,
                         const struct token *position,
                         const struct token *required, clock_ms now);
int64_t replica_lag_wait_ms(const struct replica_lag *r,
                            const struct position_samples *s,
                            const struct token *required, clock_ms known_at,
                            clock_ms now);

#endif
