#include "relay/service_internal.h"

/* How fast a proxy opens connections on demand. An opening takes a slot of the
   member even if it is refused. With more proxies than slots, their attempts
   at a member that has too many connections can take all of its slots, so each
   proxy waits longer between openings while they are slow or refused. */

/* An opening that takes longer has waited for a slot: it takes 12 ms and two
   round trips otherwise. */
#define SLOW_OPENING_MS 50
/* Time between the starts of two openings after the first slow one, and the
   maximum after doubling. At the maximum, 134 proxies take a seventh of six
   slots. */
#define INTERVAL_FIRST_MS 50
#define INTERVAL_MAX_MS 2000
/* Without openings, the time that they are assumed to take is halved in this
   time. */
#define HALVED_AFTER_MS 500

static void
slow_down(struct member *m)
{
    if (m->service->limits.idle_permille == 0) {
        return; /* connections stay open */
    }
    m->open_interval_ms =
        CLAMP(m->open_interval_ms * 2, INTERVAL_FIRST_MS, INTERVAL_MAX_MS);
    m->open_jitter = (int64_t)rng_below(&m->service->rng, 1000);
}

/* Called when a member has accepted a connection. */
void
member_opening_ended(struct member *m, int64_t took_ms, clock_ms now)
{
    m->mean_opening_us = (member_opening_us(m, now) + took_ms * 1000) / 2;
    m->opening_at = now;
    if (took_ms >= SLOW_OPENING_MS) {
        slow_down(m);
        return;
    }
    m->open_interval_ms /= 2;
    if (m->open_interval_ms < INTERVAL_FIRST_MS) {
        m->open_interval_ms = 0;
    }
}

/* Called when a member has refused a connection. */
void
member_opening_refused(struct member *m, clock_ms now)
{
    m->opening_at = now;
    slow_down(m);
}

/* Returns the time that an opening is assumed to take. */
int64_t
member_opening_us(const struct member *m, clock_ms now)
{
    const int64_t halvings = (now - m->opening_at) / HALVED_AFTER_MS;

    return halvings > 30 ? 0 : m->mean_opening_us >> halvings;
}

/* Returns when the next connection may be opened on demand. The random part
   keeps the proxies apart. */
clock_ms
member_open_from(const struct member *m)
{
    return m->opened_at + m->open_interval_ms / 2 +
           m->open_jitter * m->open_interval_ms / 1000;
}
