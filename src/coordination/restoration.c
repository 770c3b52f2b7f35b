#include "coordination/promoter_internal.h"

#include "base/event_log.h"

#include <string.h>

/* The wait for proxies that have registered since the store's copy was made,
   when all others have lost the view as well. */
#define UNKNOWN_PROXIES_WAIT_MS 500

/* How the view is written again after the store has lost it. */
enum restoration {
    RESTORATION_NONE,     /* left to others, or not yet */
    RESTORATION_AS_KNOWN, /* by the holder: nobody else has ordered anything */
    RESTORATION_TAKEOVER, /* the holder may have ordered a promotion in a
                             change that this proxy knows */
    RESTORATION_SURVEY,   /* newer views may be lost: only the members can tell
                             which of them lead */
};

/* Decides whether this proxy writes the view again. Its lease, in which the
   store has no part meanwhile, shows that no change has begun that it does not
   know. */
static enum restoration
choose_restoration(const struct promoter *p, const struct view *v,
                   clock_ms now)
{
    const int64_t delay = promoter_action_delay_ms(p, v, now);
    const int64_t age = agreement_era_age(p->agreement, now);

    if (delay == CLOCK_NEVER) {
        return RESTORATION_NONE;
    }
    if (agreement_lease_is_valid(p->agreement, now)) {
        if (strcmp(v->holder, p->name) == 0) {
            return RESTORATION_AS_KNOWN;
        }
        if (age >= delay &&
            !agreement_can_change_view(p->agreement, v->holder, now)) {
            return RESTORATION_TAKEOVER;
        }
    }
    const int64_t wait_ms = agreement_all_lack_view(p->agreement, now)
                                ? UNKNOWN_PROXIES_WAIT_MS
                                : AGREEMENT_SETTLE_MS;
    return age >= wait_ms + delay ? RESTORATION_SURVEY : RESTORATION_NONE;
}

/* Prepares an entry of the view that is written again. Every entry counts as
   changed, since peers may know other states of the lost ones. */
static void
restore_entry(struct view_entry *e, enum restoration how, uint64_t version)
{
    e->epoch = version;
#ifndef RESTORATION_BREAK_SURVEY
    if (how == RESTORATION_SURVEY || (how == RESTORATION_TAKEOVER &&
                                      e->changing && e->ordered[0] == '\0')) {
        e->changing = true;
        g_strlcpy(e->ordered, VIEW_ORDERED_UNKNOWN, sizeof(e->ordered));
    }
#else
    (void)how;
#endif
}

/* Writes the view again that the store has lost. */
void
restoration_run(struct promoter *p, clock_ms now)
{
    struct view next = *agreement_view(p->agreement);
    const enum restoration how = choose_restoration(p, &next, now);

    if (how == RESTORATION_NONE || next.version == 0) {
        return;
    }
    const uint64_t version = promoter_next_version(p, &next);
    for (int i = 0; i < next.count; i++) {
        restore_entry(&next.entries[i], how, version);
    }
    if (promoter_write_view(p, &next, now)) {
        event_log(EVENT_STATE, "view_restoring",
                  "version=%llu fence=%llu survey=%d after_ms=%lld",
                  (unsigned long long)next.version,
                  (unsigned long long)next.fence, how == RESTORATION_SURVEY,
                  (long long)agreement_era_age(p->agreement, now));
    }
}
