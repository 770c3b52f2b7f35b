#include "coordination/promoter_internal.h"

#include <string.h>

/* With sync_replicas, a promotion waits this long for replicas that may have
   confirmed commits; members stay silent or crashed for up to 7 s. */
#define SYNCHRONOUS_LOG_WAIT_MS 8000
/* A primary that was lost may have had this many entries that it had not sent
   to a replica. If no more are missing, the promotion waits only until the
   directory would show that a replica has started again. */
#define UNSENT_ENTRIES_MAX 20
#define RESTART_SHOWN_MS 1500
/* Without, it waits this long if it would discard all commits of the newest
   term. A change, with 0.6 s until it begins and 0.3 s for the promotion, then
   takes 4 s at most. */
#define NEWEST_TERM_WAIT_MS 3000
/* Well above the time that a promotion takes, which is a second at most. */
#define ORDERS_SETTLED_MS 5000

/* Returns true if a has received more of the log than b. */
bool
successor_is_ahead(const struct member_report *a,
                   const struct member_report *b)
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

/* Returns the candidate that has received the most of the log. A draining
   member is chosen only if there is no other. NULL if none has answered. */
struct member_state *
successor_preferred(struct primary_change *c, const char *old, clock_ms now)
{
    struct member_state *best = NULL;

    for (int draining = 0; draining < 2 && best == NULL; draining++) {
        for (int i = 0; i < c->count; i++) {
            struct member_state *m = &c->members[i];
            if (strcmp(m->id, old) == 0 || !m->answered ||
                !successor_is_candidate(m, draining != 0, now)) {
                continue;
            }
            if (best == NULL ||
                successor_is_ahead(&m->report, &best->report)) {
                best = m;
            }
        }
    }
    return best;
}

/* Returns the replica that has received the most of the log, whether or not it
   is draining or listed. NULL if none has answered. */
static struct member_state *
most_advanced(struct primary_change *c, const char *old, clock_ms now)
{
    struct member_state *best = NULL;

    for (int i = 0; i < c->count; i++) {
        struct member_state *m = &c->members[i];
        if (strcmp(m->id, old) != 0 && m->answered &&
            now >= m->excluded_until &&
            (best == NULL || successor_is_ahead(&m->report, &best->report))) {
            best = m;
        }
    }
    return best;
}

/* Returns true if a member has stepped down as primary and answers with its
   whole log: that which it had when it stepped down, or one that ends in the
   newest term, which it has led. */
static bool
is_whole(const struct primary_change *c, const struct view_entry *e,
         const struct member_state *m)
{
    if (m == NULL || !m->answered || m->report.primary ||
        strcmp(m->id, e->primary) != 0) {
        return false;
    }
    return (c->has_target && !successor_is_ahead(&c->target, &m->report)) ||
           (e->term != 0 && m->report.received_term == e->term);
}

/* Called with each answer of a member. One that started again holds all that
   it had confirmed once its log has reached a later position of a primary. */
void
successor_check_refilled(struct member_state *m)
{
    if (m->emptied_at != 0 && m->emptied_position.known &&
        token_is_satisfied(&m->emptied_position, m->report.received_term,
                           m->report.received_position)) {
        m->emptied_at = 0;
    }
}

#ifndef SUCCESSOR_BREAK_SYNCHRONOUS
/* Returns true if a replica may have confirmed commits that its answer does
   not show. */
static bool
may_have_confirmed_more(const struct member_state *m)
{
#if defined(SUCCESSOR_BREAK_LEFT)
    return !m->answered && !(m->draining && !m->listed);
#elif defined(SUCCESSOR_BREAK_EMPTIED)
    return !m->answered && !m->replaced;
#else
    return m->answered ? m->emptied_at != 0 : !m->replaced;
#endif
}
#endif

/* Returns true if a member has received every commit that was acknowledged
   with sync_replicas: it has the whole log of a primary that stepped down, or
   no replica that may have confirmed a commit is ahead of it. Fewer replicas
   than sync_replicas may be missing, since each commit is on so many. */
static bool
has_synchronous_commits(const struct primary_change *c,
                        const struct view_entry *e,
                        const struct member_state *candidate)
{
#ifdef SUCCESSOR_BREAK_SYNCHRONOUS
    (void)c;
    (void)e;
    (void)candidate;
    return true;
#else
    int missing = 0;

    if (c->has_target && !successor_is_ahead(&c->target, &candidate->report)) {
        return true;
    }
    for (int i = 0; i < c->count; i++) {
        const struct member_state *m = &c->members[i];
        if (is_whole(c, e, m) &&
            !successor_is_ahead(&m->report, &candidate->report)) {
            return true;
        }
    }
    for (int i = 0; i < c->count; i++) {
        const struct member_state *m = &c->members[i];
        if (strcmp(m->id, e->primary) == 0) {
            continue;
        }
        missing += may_have_confirmed_more(m);
        if (m->answered &&
            successor_is_ahead(&m->report, &candidate->report)) {
            return false;
        }
    }
    return missing < c->sync_replicas;
#endif
}

/* Returns how long a promotion waits because the candidate lacks the newest
   position that is known here: unless the primary had not sent it to any
   replica yet, one has lost what it had confirmed. */
static int64_t
missing_position_wait_ms(const struct primary_change *c,
                         const struct member_state *candidate)
{
#ifdef SUCCESSOR_BREAK_EMPTIED
    (void)c;
    (void)candidate;
    return 0;
#else
    const struct member_report *r = &candidate->report;

    if (!c->newest_position.known ||
        token_is_satisfied(&c->newest_position, r->received_term,
                           r->received_position)) {
        return 0;
    }
    return r->received_position + UNSENT_ENTRIES_MAX >=
                   c->newest_position.position
               ? RESTART_SHOWN_MS
               : SYNCHRONOUS_LOG_WAIT_MS;
#endif
}

/* Returns how long the promotion of a member should wait for others, which may
   keep commits that it lacks; 0 if it need not wait. Once an order may have
   been given, only commits that sync_replicas protects are worth it. */
int64_t
successor_wait_ms(const struct primary_change *c, const struct view_entry *e,
                  const struct member_state *candidate)
{
    if (c->sync_replicas > 0) {
        return has_synchronous_commits(c, e, candidate)
                   ? missing_position_wait_ms(c, candidate)
                   : SYNCHRONOUS_LOG_WAIT_MS;
    }
    return e->ordered[0] == '\0' &&
                   candidate->report.received_term < c->newest_commit_term
               ? NEWEST_TERM_WAIT_MS
               : 0;
}

/* Returns true if every order of this change has taken effect by now, or never
   will. */
bool
successor_orders_settled(const struct primary_change *c, clock_ms now)
{
    return now - MAX(c->started_at, c->order_sent_at) >= ORDERS_SETTLED_MS;
}

/* Returns true if a member must not be ordered now: it was ordered before, and
   another one after it. If it leads already when the new order arrives, that
   has no effect, and the order in between takes effect afterwards. */
static bool
is_barred(const struct primary_change *c, const struct view_entry *e,
          const char *member, clock_ms now)
{
    return e->ordered[0] != '\0' && strcmp(e->ordered, member) != 0 &&
           (e->ordered_set & view_member_bit(member)) != 0 &&
           !successor_orders_settled(c, now);
}

/* Returns the member to promote, or NULL if no candidate has answered. With
   sync_replicas, a replica that is draining or no longer listed is chosen if
   it is ahead of all others: it may be the only one with the last commits. The
   member that was ordered last is preferred, so that an order which is carried
   out late changes nothing. The old primary is promoted again only if it has
   stepped down, and there is no other candidate and an order prevents that it
   simply continues, or with sync_replicas the others may lack commits. */
struct member_state *
successor_choose(struct primary_change *c, const struct view_entry *e,
                 clock_ms now)
{
    struct member_state *best = successor_preferred(c, e->primary, now);
    struct member_state *ahead = most_advanced(c, e->primary, now);
    struct member_state *ordered = primary_change_find_member(c, e->ordered);
    struct member_state *old = primary_change_find_member(c, e->primary);

    if (c->sync_replicas > 0 && ahead != NULL &&
        (best == NULL || successor_is_ahead(&ahead->report, &best->report))) {
        best = ahead;
    }
    if (c->sync_replicas > 0 && is_whole(c, e, old) &&
        now >= old->excluded_until &&
        (best == NULL || (successor_is_ahead(&old->report, &best->report) &&
                          !has_synchronous_commits(c, e, best)))) {
        best = old;
    }
    if (best != NULL && ordered != NULL && ordered->answered &&
        ordered->listed && now >= ordered->excluded_until &&
        (is_barred(c, e, best->id, now) ||
         !successor_is_ahead(&best->report, &ordered->report))) {
        return ordered;
    }
    if (best != NULL && is_barred(c, e, best->id, now)) {
        best = NULL;
    }
    if (best == NULL && e->ordered[0] != '\0' && old != NULL &&
        old->answered && old->listed && !old->report.primary &&
        !is_barred(c, e, old->id, now)) {
        return old;
    }
    return best;
}

/* Returns the member that reports to be the primary in the newest term, or
   NULL. A primary of an earlier term has been replaced: it may lack commits
   that a newer one has acknowledged. The view may be the only one to know the
   newest term, if nobody who received it answers. */
struct member_state *
successor_current_primary(struct primary_change *c, const struct view_entry *e)
{
    struct member_state *best = NULL;
#ifdef SUCCESSOR_BREAK_TERM
    uint64_t newest = 0;

    (void)e;
#else
    uint64_t newest = e->term;
#endif

    for (int i = 0; i < c->count; i++) {
        struct member_state *m = &c->members[i];
        if (!m->answered) {
            continue;
        }
        newest = MAX(newest, m->report.term);
        if (m->report.primary &&
            (best == NULL || m->report.term > best->report.term)) {
            best = m;
        }
    }
    return best != NULL && best->report.term == newest ? best : NULL;
}

#ifndef SUCCESSOR_BREAK_ORDERED
/* Returns true if every member that may lead in the newest term has
   answered. */
static bool
is_survey_complete(const struct primary_change *c)
{
    for (int i = 0; i < c->count; i++) {
        if (!c->members[i].answered && !c->members[i].replaced) {
            return false;
        }
    }
    return true;
}
#endif

/* Returns true if a primary may be published without a promotion. Once an
   order may have been given, only the member that it named may lead:
   otherwise the order could take effect later, while callers use another
   primary. If the store may have lost which one it was, the orders of before
   have taken effect, and the survey has to show that no other member leads. */
bool
successor_may_adopt(const struct primary_change *c,
                    const struct member_state *m, const struct view_entry *e)
{
#ifdef SUCCESSOR_BREAK_ORDERED
    (void)c;
    (void)e;
    return m->listed && !m->draining;
#else
    if (strcmp(e->ordered, VIEW_ORDERED_UNKNOWN) == 0) {
        return m->listed && !m->draining && is_survey_complete(c);
    }
    return m->listed && !m->draining &&
           (e->ordered[0] == '\0' || strcmp(e->ordered, m->id) == 0);
#endif
}

/* Returns the newest term in which a member is known to have led. The terms of
   replicas do not count, since stepping down raises them. */
uint64_t
successor_base_term(const struct primary_change *c, const struct view_entry *e)
{
    uint64_t term = e->term;

    for (int i = 0; i < c->count; i++) {
        const struct member_state *m = &c->members[i];
        if (m->answered) {
            term = MAX(term, m->report.received_term);
        }
        if (m->answered && m->report.primary) {
            term = MAX(term, m->report.term);
        }
    }
    return term;
}

/* Returns true if the member that was ordered last leads in a new term. */
bool
successor_order_took_effect(struct primary_change *c,
                            const struct view_entry *e)
{
    const struct member_state *m = primary_change_find_member(c, e->ordered);

    return m != NULL && m->answered && m->report.primary &&
           m->report.term > c->base_term;
}

/* Returns true if a member has reported that it leads in a later term than the
   published primary: an order took effect after the change was over. */
bool
successor_is_superseded(const struct primary_change *c,
                        const struct view_entry *e)
{
    for (int i = 0; i < c->count; i++) {
        const struct member_state *m = &c->members[i];
        if (m->listed && m->says_primary && m->answered && m->report.primary &&
            m->report.term > e->term && strcmp(m->id, e->primary) != 0) {
            return e->term > 0;
        }
    }
    return false;
}
