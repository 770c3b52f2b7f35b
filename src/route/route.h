#ifndef ROUTE_ROUTE_H
#define ROUTE_ROUTE_H

#include "base/clock.h"
#include "session/token.h"

#include <stdbool.h>
#include <stdint.h>

#define ROUTE_MAX_MEMBERS 9
#define ROUTE_NO_PRIMARY (-1)

/* What is known of one member. All of it is a hint, since the member may have
   changed since; the exchange that carries the statement checks it. */
struct route_view {
    bool alive;
    bool leaving;
    uint64_t term;
    uint64_t position;
    int64_t staleness_ms;
    clock_ms updated_at;
};

/* Where a statement may run. */
enum route_need {
    ROUTE_NEED_PRIMARY,
    ROUTE_NEED_READ, /* a replica within the bounds, or the primary */
};

struct route_query {
    enum route_need need;
    struct token token;
    int64_t max_staleness_ms; /* 0: primary only */
    uint32_t excluded;        /* members that were tried and failed */
};

uint32_t route_members(const struct route_view *views, int count, int primary,
                       const struct route_query *q, clock_ms now);

#endif
