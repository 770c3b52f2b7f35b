#include "coordination/promoter_internal.h"

#include "base/event_log.h"

#include <glib.h>
#include <string.h>

#define SURVEY_TIMEOUT_MS 300 /* wait for the members' answers */
/* In a change whose cause is an unreachable primary, the survey lasts at least
   this long, so that the primary can still answer, which takes about 20 ms. */
#define UNREACHABLE_SURVEY_MS 80
#define CATCH_UP_TIMEOUT_MS 1500 /* for a replica to receive the log */
#define QUERY_INTERVAL_MS 40     /* between queries while waiting */
#define CONFIRM_TIMEOUT_MS 1500  /* for a promotion to take effect */
#define ORDER_RETRY_MS 100
/* Interval of queries to members that may have more of the log. */
#define AWAIT_QUERY_MS 150
/* An order that the store has lost takes effect within this time, or never. */
#define LOST_ORDER_MS 2000
#define EXCLUSION_MS 1000 /* a member that did not run is not chosen again */
/* A replaced primary that does not step down is passed over after this time.
   It steps down by itself a second after it has reached the new primary. */
#define STALE_DEMOTE_MAX_MS 2000

/* Returns the member with an id, or NULL. */
struct member_state *
primary_change_find_member(struct primary_change *c, const char *id)
{
    for (int i = 0; i < c->count; i++) {
        if (strcmp(c->members[i].id, id) == 0) {
            return &c->members[i];
        }
    }
    return NULL;
}

void
primary_change_enter_phase(struct primary_change *c, enum phase phase,
                           clock_ms now)
{
    static const char *const names[] = {"none",   "fence",    "survey",
                                        "demote", "catch_up", "await_log",
                                        "order",  "confirm",  "publish"};

    event_log(EVENT_STATE, "change_phase",
              "service=%s phase=%s before=%s took_ms=%lld", c->service,
              names[phase], names[c->phase],
              (long long)(now - c->phase_since));
    c->phase = phase;
    c->phase_since = now;
    if (phase == PHASE_SURVEY || phase == PHASE_DEMOTE ||
        phase == PHASE_CATCH_UP) {
        c->round++;
        for (int i = 0; i < c->count; i++) {
            c->members[i].query_pending = false;
            c->members[i].answered &= phase == PHASE_DEMOTE;
        }
    }
}

/* Asks a member for its state, or to step down if demote_term is not 0. */
void
primary_change_query_member(struct promoter *p, struct primary_change *c,
                            struct member_state *m, uint64_t demote_term,
                            clock_ms now)
{
    m->query_pending = true;
    m->queried_at = now;
    p->actions.query(p->actions.ctx, c->service, m->id, demote_term, c->round);
}

/* Returns true if a member's state is needed: it is listed, or it is the
   primary and may still answer. With sync_replicas, a member whose entry has
   lapsed may be the only one with the last commits; when the store has lost
   the view, it may lead. */
static bool
is_relevant(const struct primary_change *c, const struct member_state *m,
            const char *primary)
{
    return m->listed || strcmp(m->id, primary) == 0 || c->sync_replicas > 0 ||
           c->order_unknown;
}

/* Returns true if all needed members have answered. The old primary is not
   waited for if most proxies cannot reach it. */
static bool
all_answered(const struct primary_change *c, const char *primary)
{
    for (int i = 0; i < c->count; i++) {
        const struct member_state *m = &c->members[i];
        if (c->primary_unreachable && strcmp(m->id, primary) == 0) {
            continue;
        }
        if (is_relevant(c, m, primary) && !m->answered) {
            return false;
        }
    }
    return true;
}

/* Queries every needed member that has no query pending and was not queried
   within pause_ms. */
void
primary_change_query_members(struct promoter *p, struct primary_change *c,
                             const char *primary, int64_t pause_ms,
                             clock_ms now)
{
    for (int i = 0; i < c->count; i++) {
        struct member_state *m = &c->members[i];
        if (is_relevant(c, m, primary) && !m->query_pending &&
            now - m->queried_at >= pause_ms) {
            primary_change_query_member(p, c, m, 0, now);
        }
    }
}

/* Records a member's answer; report is NULL if there was none. An answer to a
   query of an earlier round may tell a state from before the old primary was
   out of use. */
void
promoter_member_answered(struct promoter *p, const char *service,
                         const char *member, uint64_t round,
                         const struct member_report *report, clock_ms now)
{
    struct primary_change *c = promoter_get_primary_change(p, service);
    struct member_state *m = primary_change_find_member(c, member);

    if (m == NULL || round != c->round) {
        return;
    }
    m->query_pending = false;
    if (report == NULL) {
        return;
    }
    m->answered = true;
    m->report = *report;
    successor_check_refilled(m);
    event_log(EVENT_STATE, "member_status",
              "service=%s member=%s primary=%d term=%llu received=%llu.%llu "
              "age_ms=%lld",
              service, member, report->primary,
              (unsigned long long)report->term,
              (unsigned long long)report->received_term,
              (unsigned long long)report->received_position,
              (long long)(now - m->queried_at));
}

/* Begins to demote a member that reports to be a primary. next is the phase
   that follows once it has stepped down: PHASE_CATCH_UP for the primary of the
   newest term. */
static void
begin_demotion(struct primary_change *c, const struct member_state *m,
               enum phase next, clock_ms now)
{
    g_strlcpy(c->demoted, m->id, sizeof(c->demoted));
    c->after_demote = next;
    c->demote_sent = false;
    primary_change_enter_phase(c, PHASE_DEMOTE, now);
}

/* Returns a member that reports to be a primary of an earlier term than
   current, or NULL. Such a member is asked to step down before current is:
   once that does not lead any more, replicas may follow the earlier one and
   discard what they have received since. */
static const struct member_state *
find_stale_primary(const struct primary_change *c,
                   const struct member_state *current, clock_ms now)
{
#ifdef PRIMARY_CHANGE_BREAK_STALE
    return NULL;
#endif
    if (now - c->started_at >= STALE_DEMOTE_MAX_MS) {
        return NULL;
    }
    for (int i = 0; i < c->count; i++) {
        const struct member_state *m = &c->members[i];
        if (m->answered && m->report.primary &&
            m->report.term < current->report.term) {
            return m;
        }
    }
    return NULL;
}

/* Enters the phase that follows the survey. */
static void
after_survey(struct primary_change *c, const struct view_entry *e,
             clock_ms now)
{
    const struct member_state *current = successor_current_primary(c, e);

    c->base_term = successor_base_term(c, e);
    if (current == NULL) {
        primary_change_enter_phase(c, PHASE_ORDER, now);
        return;
    }
    if (successor_may_adopt(c, current, e)) {
        /* It is the primary already: the order took effect or the alarm was
           false. */
        g_strlcpy(c->new_primary, current->id, sizeof(c->new_primary));
        primary_change_enter_phase(c, PHASE_PUBLISH, now);
        return;
    }
    const struct member_state *stale = find_stale_primary(c, current, now);
    if (stale != NULL) {
        begin_demotion(c, stale, PHASE_SURVEY, now);
        return;
    }
    begin_demotion(c, current, PHASE_CATCH_UP, now);
}

/* Asks a primary to step down, so that the replicas can receive its whole
   log. One that does not answer is not promoted before the next survey. */
static void
run_demote(struct promoter *p, struct primary_change *c, clock_ms now)
{
    struct member_state *m = primary_change_find_member(c, c->demoted);

    if (m == NULL || now - c->phase_since >= SURVEY_TIMEOUT_MS) {
        primary_change_enter_phase(
            c,
            c->after_demote == PHASE_CATCH_UP ? PHASE_ORDER : c->after_demote,
            now);
        return;
    }
    if (!c->demote_sent) {
        m->answered = false;
        primary_change_query_member(p, c, m, m->report.term + 1, now);
        c->demote_sent = true;
        return;
    }
    if (!m->answered) {
        return;
    }
    if (c->after_demote == PHASE_CATCH_UP) {
        c->target = m->report;
        c->has_target = true;
    }
    primary_change_enter_phase(c, c->after_demote, now);
}

/* Returns true if a member that would be chosen in place of best has still to
   answer: the one that was ordered, whose order may take effect later, or one
   that is not draining. */
static bool
awaits_better_candidate(const struct primary_change *c,
                        const struct view_entry *e,
                        const struct member_state *best, clock_ms now)
{
    if (now - c->phase_since >= SURVEY_TIMEOUT_MS) {
        return false;
    }
    for (int i = 0; i < c->count; i++) {
        const struct member_state *m = &c->members[i];
        if (m->answered || !m->listed || now < m->excluded_until) {
            continue;
        }
        if (strcmp(m->id, e->ordered) == 0 ||
            (best->draining && !m->draining &&
             strcmp(m->id, e->primary) != 0)) {
            return true;
        }
    }
    return false;
}

/* Waits for a candidate that has received the demoted primary's whole log. */
static void
run_catch_up(struct promoter *p, struct primary_change *c,
             const struct view_entry *e, clock_ms now)
{
    const struct member_state *best = successor_preferred(c, e->primary, now);

    if (best != NULL && !successor_is_ahead(&c->target, &best->report) &&
        !awaits_better_candidate(c, e, best, now)) {
        primary_change_enter_phase(c, PHASE_ORDER, now);
        return;
    }
    if (now - c->phase_since >= CATCH_UP_TIMEOUT_MS) {
        event_log(EVENT_STATE, "catch_up_given_up",
                  "service=%s wanted=%llu.%llu", c->service,
                  (unsigned long long)c->target.received_term,
                  (unsigned long long)c->target.received_position);
        primary_change_enter_phase(c, PHASE_ORDER, now);
        return;
    }
    primary_change_query_members(p, c, e->primary, QUERY_INTERVAL_MS, now);
}

/* Asks the member that was ordered whether it leads now. */
static void
query_ordered(struct promoter *p, struct primary_change *c,
              const struct view_entry *e, clock_ms now)
{
    struct member_state *m = primary_change_find_member(c, e->ordered);

    if (m != NULL && !m->query_pending &&
        now - m->queried_at >= QUERY_INTERVAL_MS) {
        primary_change_query_member(p, c, m, 0, now);
    }
}

/* Returns true if the promotion has to wait for members that have not answered
   yet. */
static bool
must_await_log(const struct primary_change *c, const struct view_entry *e,
               const struct member_state *best, clock_ms now)
{
    const int64_t wait_ms = successor_wait_ms(c, e, best);

    return wait_ms > 0 &&
           (c->awaited_since == 0 || now - c->awaited_since < wait_ms);
}

/* Waits for members that may have more of the log than those that have
   answered. Once one is found, a new survey shows whether the old primary
   answers too. */
static void
run_await_log(struct promoter *p, struct primary_change *c,
              const struct view_entry *e, clock_ms now)
{
    const struct member_state *best = successor_choose(c, e, now);

    c->awaited_since = c->awaited_since == 0 ? now : c->awaited_since;
    if (successor_current_primary(c, e) != NULL ||
        (best != NULL && successor_wait_ms(c, e, best) == 0)) {
        primary_change_enter_phase(c, PHASE_SURVEY, now);
        return;
    }
    if (best != NULL && !must_await_log(c, e, best, now)) {
        event_log(EVENT_STATE, "log_not_found",
                  "service=%s member=%s waited_ms=%lld", c->service, best->id,
                  (long long)(now - c->awaited_since));
        primary_change_enter_phase(c, PHASE_ORDER, now);
        return;
    }
    primary_change_query_members(p, c, e->primary, AWAIT_QUERY_MS, now);
}

/* Returns true once the platform receives no order of an earlier holder any
   more. */
static bool
earlier_orders_expired(const struct promoter *p,
                       const struct primary_change *c, clock_ms now)
{
    return c->ordered_before
               ? agreement_older_orders_expired(p->agreement, c->claim_version,
                                                c->started_at, now)
               : agreement_older_views_expired(p->agreement, c->claim_version,
                                               c->started_at, now);
}

/* Orders the promotion. Requires a valid lease, that no earlier holder can
   still order one, and that the view in force names the member as ordered. */
static void
run_order(struct promoter *p, struct primary_change *c,
          const struct view_entry *e, clock_ms now)
{
    const struct view *v = agreement_view(p->agreement);

    if (c->order_pending || now - c->order_sent_at < ORDER_RETRY_MS) {
        /* The answer may be lost although the order was accepted. */
        query_ordered(p, c, e, now);
        return;
    }
    /* An earlier holder may still order a promotion, or its last order may
       still be on its way; the survey shows what has taken effect. */
    if (!earlier_orders_expired(p, c, now)) {
        if (now - c->phase_since >= ORDER_RETRY_MS) {
            primary_change_enter_phase(c, PHASE_SURVEY, now);
        }
        return;
    }
    const struct member_state *best = successor_choose(c, e, now);
    if (best == NULL) {
        primary_change_enter_phase(c, PHASE_SURVEY, now);
        return;
    }
    if (must_await_log(c, e, best, now)) {
        primary_change_enter_phase(c, PHASE_AWAIT_LOG, now);
        return;
    }
    if (best->report.primary) {
        begin_demotion(c, best, PHASE_ORDER, now);
        return;
    }
    if (!agreement_lease_is_valid(p->agreement, now)) {
        return;
    }
    g_strlcpy(c->new_primary, best->id, sizeof(c->new_primary));
    if (strcmp(e->ordered, best->id) != 0) {
        c->record_pending = true;
        return;
    }
    c->order_pending = true;
    c->order_version = c->version;
    c->order_fence = v->fence;
    c->order_sent_at = now;
    event_log(EVENT_STATE, "promotion_ordered",
              "service=%s member=%s received=%llu.%llu fence=%llu "
              "version=%llu evidence_age_ms=%lld",
              c->service, best->id,
              (unsigned long long)best->report.received_term,
              (unsigned long long)best->report.received_position,
              (unsigned long long)v->fence, (unsigned long long)v->version,
              (long long)(now - agreement_confirmed_at(p->agreement)));
    p->actions.order(p->actions.ctx, c->service, c->new_primary, v->fence,
                     agreement_confirmed_at(p->agreement) +
                         AGREEMENT_LEASE_MS);
}

/* Records the outcome of an order. */
void
promoter_order_answered(struct promoter *p, const char *service,
                        enum order_result result, clock_ms now)
{
    struct primary_change *c = promoter_get_primary_change(p, service);

    event_log(EVENT_STATE, "promotion_answered",
              "service=%s member=%s result=%d took_ms=%lld", service,
              c->new_primary, result, (long long)(now - c->order_sent_at));
    c->order_pending = false;
    if (c->phase != PHASE_ORDER || c->order_version != c->version) {
        return;
    }
    struct member_state *m = primary_change_find_member(c, c->new_primary);
    if (result == ORDER_NOT_RUNNING && m != NULL) {
        m->excluded_until = now + EXCLUSION_MS;
        primary_change_enter_phase(c, PHASE_SURVEY, now);
    }
    else if (result == ORDER_DONE) {
        if (m != NULL) {
            m->answered = false;
        }
        primary_change_enter_phase(c, PHASE_CONFIRM, now);
    }
}

/* Waits until the new primary reports its role. */
static void
run_confirm(struct promoter *p, struct primary_change *c,
            const struct view_entry *e, clock_ms now)
{
    if (now - c->phase_since >= CONFIRM_TIMEOUT_MS) {
        primary_change_enter_phase(c, PHASE_SURVEY, now);
        return;
    }
    query_ordered(p, c, e, now);
}

/* Writes the new primary into the view. */
static void
run_publish(struct promoter *p, struct primary_change *c, int index,
            clock_ms now)
{
    struct view next = *agreement_view(p->agreement);
    struct view_entry *e = &next.entries[index];
    const struct member_state *m =
        primary_change_find_member(c, c->new_primary);

    e->epoch = promoter_next_version(p, &next);
    e->changing = false;
    e->term = m != NULL ? m->report.term : 0;
    e->ordered[0] = '\0';
    e->ordered_set = 0;
    g_strlcpy(e->primary, c->new_primary, sizeof(e->primary));
    if (promoter_write_view(p, &next, now)) {
        event_log(EVENT_STATE, "change_publishing",
                  "service=%s primary=%s term=%llu took_ms=%lld", c->service,
                  c->new_primary, (unsigned long long)e->term,
                  (long long)(now - c->started_at));
    }
}

/* Advances a change that this proxy carries out as the holder. Called on each
   tick. */
void
primary_change_run(struct promoter *p, struct primary_change *c,
                   const struct view_entry *e, int index, clock_ms now)
{
    c->record_pending = false;
    c->order_unknown = strcmp(e->ordered, VIEW_ORDERED_UNKNOWN) == 0;
    if (c->phase > PHASE_SURVEY && c->phase < PHASE_PUBLISH &&
        successor_order_took_effect(c, e)) {
        g_strlcpy(c->new_primary, e->ordered, sizeof(c->new_primary));
        primary_change_enter_phase(c, PHASE_PUBLISH, now);
    }
    switch (c->phase) {
    case PHASE_NONE:
        c->version = e->epoch;
        c->claim_version = agreement_view(p->agreement)->version;
        c->ordered_before = e->ordered[0] != '\0';
        c->started_at = now;
        c->phase_since = now;
        c->awaited_since = 0;
        c->expired_at = 0;
        c->has_target = false;
        primary_change_enter_phase(c, PHASE_EXPIRE_VIEWS, now);
        break;
    case PHASE_EXPIRE_VIEWS:
        if (agreement_older_views_expired(p->agreement, c->version,
                                          c->started_at, now)) {
            c->expired_at = c->expired_at == 0 ? now : c->expired_at;
            if (!c->order_unknown || now - c->expired_at >= LOST_ORDER_MS) {
                primary_change_enter_phase(c, PHASE_SURVEY, now);
            }
        }
        break;
    case PHASE_SURVEY:
        if ((all_answered(c, e->primary) &&
             now - c->phase_since >=
                 (c->primary_unreachable ? UNREACHABLE_SURVEY_MS : 0)) ||
            now - c->phase_since >= SURVEY_TIMEOUT_MS) {
            after_survey(c, e, now);
        }
        else {
            primary_change_query_members(p, c, e->primary, QUERY_INTERVAL_MS,
                                         now);
        }
        break;
    case PHASE_DEMOTE:
        run_demote(p, c, now);
        break;
    case PHASE_CATCH_UP:
        run_catch_up(p, c, e, now);
        break;
    case PHASE_AWAIT_LOG:
        run_await_log(p, c, e, now);
        break;
    case PHASE_ORDER:
        run_order(p, c, e, now);
        break;
    case PHASE_CONFIRM:
        run_confirm(p, c, e, now);
        break;
    case PHASE_PUBLISH:
        run_publish(p, c, index, now);
        break;
    }
}
