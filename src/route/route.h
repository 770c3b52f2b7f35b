#ifndef ROUTE_ROUTE_H
#define ROUTE_ROUTE_H

#include "base/clock.h"
#include "session/token.h"

#include <stdbool.h>
#include <stdint.h>

#define ROUTE_MAX_MEMBERS 9
#define ROUTE_NO_PRIMARY (-1)

/* Last known state of one member. It is only a hint, since the member may have
   changed in the meantime; the actual state is checked when the statement is
   sent. */
struct route_member_state {
    bool alive;
    bool leaving;
    uint64_t term;
    uint64_t position;
    int64_t staleness_ms; /* age of its data, as reported by the member */
    clock_ms updated_at;
};

/* Where a statement may be executed. */
enum route_need {
    ROUTE_NEED_PRIMARY,
    ROUTE_NEED_READ, /* a replica that is recent enough, or the primary */
};

struct route_query {
    enum route_need need;
    struct token token;       /* of the session */
    int64_t max_staleness_ms; /* 0: primary only */
    uint32_t excluded; /* bit set of members where the statement failed */
};

uint32_t route_eligible_members(const struct route_member_state *states,
                                int count, int primary,
                                const struct route_query *q, clock_ms now);

#endif
