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
