#include "coordination/promoter_internal.h"

#include <string.h>

/* Returns true if a has received more of the log than b. */
static bool
is_ahead(const struct member_report *a, const struct member_report *b)
{
    return a->received_term != b->received_term
               ? a->received_term > b->received_term
               : a->received_position > b->received_position;
}

/* Returns true if a member may be promoted. draining selects either the
   draining members or the others. */
bool
successor_is_candidate(const struct member_state *m, bool draining,
                       clock_ms now)
{
    return m->listed && m->draining == draining && now >= m->excluded_until;
}

/* Returns the member to promote: the one that has received the most of the
   log. A draining member is chosen only if there is no other. NULL if no
   candidate has answered. */
struct member_state *
successor_choose(struct primary_change *c, const char *old, clock_ms now)
{
    struct member_state *best = NULL;

    for (int draining = 0; draining < 2 && best == NULL; draining++) {
        for (int i = 0; i < c->count; i++) {
            struct member_state *m = &c->members[i];
            if (strcmp(m->id, old) == 0 || !m->answered ||
                !successor_is_candidate(m, draining != 0, now)) {
                continue;
            }
            if (best == NULL || is_ahead(&m->report, &best->report)) {
                best = m;
            }
        }
    }
    return best;
}

/* Returns the member that reports to be the primary in the highest term, or
   NULL. */
struct member_state *
successor_current_primary(struct primary_change *c)
{
    struct member_state *best = NULL;

    for (int i = 0; i < c->count; i++) {
        struct member_state *m = &c->members[i];
        if (m->answered && m->report.primary &&
            (best == NULL || m->report.term > best->report.term)) {
            best = m;
        }
    }
    return best;
}
