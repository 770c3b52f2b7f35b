#include "relay/replica_lag.h"

#include <glib.h>

/* Least lag that is assumed of a replica that lacked a position, if its report
   does not show more. */
#define REFUSED_LAG_MS 30
/* Without an answer, the assumed lag is halved in this time, so that a replica
   that has caught up gets reads again. */
#define HALVED_AFTER_MS 500

/* Returns the lag that is assumed now. */
static int64_t
current_lag_ms(const struct replica_lag *r, clock_ms now)
{
    const int64_t halvings = (now - r->measured_at) / HALVED_AFTER_MS;

    return halvings > 30 ? 0 : r->lag_ms >> halvings;
}

/* Follows a larger lag at once and a smaller one gradually: a read that is
   tried too early costs more than one that waits a little longer. */
static void
add_measurement(struct replica_lag *r, int64_t lag_ms, clock_ms now)
{
    const int64_t old = r->measured_at != 0 ? current_lag_ms(r, now) : 0;

    r->lag_ms = lag_ms >= old ? lag_ms : old + (lag_ms - old) / 4;
    r->measured_at = now;
}

/* Called with the position in a replica's answer to a request that it has
   executed. */
void
replica_lag_reported(struct replica_lag *r, const struct position_samples *s,
                     const struct token *position, clock_ms now)
{
    clock_ms at;

    if (!position->known) {
        return;
    }
    token_raise(&r->position, position->term, position->position);
    if (!position_samples_time(s, position, &at)) {
        return;
    }
    /* At or above the newest sample, the lag is at most its age. */
    struct token newest;
    clock_ms newest_at;
    if (position_samples_newest(s, &newest_at, &newest) &&
        token_is_satisfied(&newest, position->term, position->position) &&
        (r->measured_at == 0 || now - at > current_lag_ms(r, now))) {
        return;
    }
    add_measurement(r, MAX(now - at, 0), now);
}

/* Called when a replica has refused a request because it lacks the required
   position. The position that it reports may be lower than before after a
   promotion. */
void
replica_lag_refused(struct replica_lag *r, const struct position_samples *s,
                    const struct token *position, const struct token *required,
                    clock_ms now)
{
    clock_ms at;
    int64_t lag_ms = REFUSED_LAG_MS;

    r->position = *position;
    if (token_is_satisfied(required, position->term, position->position)) {
        /* The reported position contradicts the failure. */
        r->position.known = false;
    }
    if (position_samples_time(s, required, &at)) {
        lag_ms = MAX(lag_ms, now - at + REFUSED_LAG_MS);
    }
    if (r->position.known && position_samples_time(s, position, &at)) {
        lag_ms = MAX(lag_ms, now - at);
    }
    add_measurement(r, lag_ms, now);
}

/* Returns after which time a replica is expected to have a position, which the
   primary had at known_at at the latest; 0 if the replica has reported it, is
   expected to have it, or its lag is not known. */
int64_t
replica_lag_wait_ms(const struct replica_lag *r,
                    const struct position_samples *s,
                    const struct token *required, clock_ms known_at,
                    clock_ms now)
{
    struct token newest;
    clock_ms newest_at;
    clock_ms at = known_at;

    if (!required->known || r->measured_at == 0 ||
        (r->position.known && token_is_satisfied(required, r->position.term,
                                                 r->position.position))) {
        return 0;
    }
    const bool sampled =
        position_samples_newest(s, &newest_at, &newest) &&
        token_compare(newest.term, newest.position, required->term,
                      required->position) >= 0;
    if (sampled && !position_samples_time(s, required, &at)) {
        return 0; /* older than all samples */
    }
    return MAX(MIN(at, known_at) + current_lag_ms(r, now) - now, 0);
}
