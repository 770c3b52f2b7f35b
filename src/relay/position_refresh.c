#include "relay/service_internal.h"

#include <string.h>

/* Keeps the position of the primary known while no request learns it. Without
   a recent one, the first reads after a quiet time all go to the primary. */

/* Staleness bounds are a second and more, and the other proxies of the failure
   domain learn the position within 0.8 s. */
#define REFRESH_AFTER_MS 500
/* Interval between attempts. */
#define REFRESH_INTERVAL_MS 250

/* Asks the primary for its state on an idle connection. */
static void
ask_position(struct service *s, struct pooled_link *l, clock_ms now)
{
    const struct request status = {.verb = VERB_STATUS};

    l->state = LINK_ABANDONED; /* nobody waits for the answer */
    l->as_primary = true;
    l->epoch = s->epoch;
    l->changed_at = now;
    pooled_send(l, &status, NULL);
    l->active = false;
}

/* Called periodically. Asks the primary for its position if no answer has told
   it for a while, and if this proxy is one of those that do so. */
void
service_refresh_position(struct service *s, clock_ms now)
{
    clock_ms known_at;
    struct token position;

    if (!s->refreshes_position || s->primary_changing ||
        now - s->position_asked_at < REFRESH_INTERVAL_MS ||
        !s->lease_valid(s->ctx, s->name, now)) {
        return;
    }
    if (position_samples_newest(&s->position_samples, &known_at, &position) &&
        now - known_at < REFRESH_AFTER_MS) {
        return;
    }
    struct member *m = service_find_member(s, s->primary);
    if (m == NULL || m->unreachable_since != 0 || now < m->not_primary_until) {
        return;
    }
    s->position_asked_at = now;
    for (guint k = 0; k < m->links->len; k++) {
        struct pooled_link *l = m->links->pdata[k];
        if (l->state == LINK_IDLE) {
            ask_position(s, l, now);
            return;
        }
        if (l->state == LINK_OPENING) {
            return;
        }
    }
    if ((int)m->links->len < s->limits.total && now >= m->full_until) {
        link_open(m, NULL, now);
    }
}

/* Sets whether this proxy asks the primary for its position when it has not
   learned it from answers for a while. */
void
service_set_refreshes_position(struct service *s, bool refreshes)
{
    s->refreshes_position = refreshes;
}
