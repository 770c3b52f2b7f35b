#include "directory/feed_pace.h"

#include <glib.h>

/* A request that had to wait this long for changes ends a quiet time. */
#define QUIET_MS 1000

/* Called when a request has brought changes after waited_ms. Returns the delay
   before the next request, which doubles while changes keep coming. */
int64_t
feed_pace_after_changes(struct feed_pace *p, int64_t waited_ms)
{
    p->delay_ms = waited_ms >= QUIET_MS || p->delay_ms == 0
                      ? p->first_ms
                      : MIN(p->delay_ms * 2, p->max_ms);
    return p->delay_ms;
}

/* Returns for how long the next request for a table may be put off, after
   which this is called again; 0 if it has to be sent now. */
int64_t
feed_pace_hold_ms(const struct feed_duty *d)
{
    if (d->proxies <= FEED_FLEET_LARGE || d->watches ||
        d->since_answer_ms >= FEED_IDLE_MAX_MS) {
        return 0;
    }
    if (d->evidence_age_ms >= 0) {
        return MAX(FEED_EVIDENCE_MAX_MS - d->evidence_age_ms, 0);
    }
    return MAX(d->first_evidence_ms - d->since_start_ms, 0);
}
