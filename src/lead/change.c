#include "lead/promoter_internal.h"

#include "base/event_log.h"

#include <glib.h>
#include <string.h>

#define ANSWER_MS 300 /* wait for the answers of members to a question */
/* A primary that is said not to answer has this long to prove otherwise; an
   answer takes about 20 ms. */
#define SILENT_ANSWER_MS 80
#define CATCH_UP_MS 1500 /* wait for a replica to receive all of the log */
#define ASK_AGAIN_MS 40  /* between questions while waiting */
#define CONFIRM_MS 1500  /* for a promotion to take effect */
#define ORDER_RETRY_MS 100
#define EXCLUDED_MS 1000 /* a member that does not run is not named again */

/* Finds a member's record. */
struct member_note *
change_find_member(struct change *c, const char *id)
{
    for (int i = 0; i < c->count; i++) {
        if (strcmp(c->members[i].id, id) == 0) {
            return &c->members[i];
        }
    }
    return NULL;
}

/* Moves to the next phase. */
void
change_enter(struct change *c, enum phase phase, clock_ms now)
{
    static const char *const names[] = {"none",    "fence",    "survey",
                                        "demote",  "catch_up", "order",
                                        "confirm", "publish"};

    event_log(EVENT_STATE, "change_phase",
              "service=%s phase=%s before=%s took_ms=%lld", c->service,
              names[phase], names[c->phase], (long long)(now - c->since));
    c->phase = phase;
    c->since = now;
    if (phase == PHASE_SURVEY || phase == PHASE_CATCH_UP) {
        for (int i = 0; i < c->count; i++) {
            c->members[i].asked = false;
            c->members[i].answered = false;
        }
    }
}

/* Asks a member for its state, or to step down when a term is given. */
void
change_ask(struct promoter *p, struct change *c, struct member_note *m,
           uint64_t demote_term, clock_ms now)
{
    m->asked = true;
    m->asked_at = now;
    p->actions.ask(p->actions.ctx, c->service, m->id, demote_term);
}

/* Tells whether a member's state matters: it is listed, or leads and may still
   answer. */
static bool
is_asked(const struct member_note *m, const char *primary)
{
    return m->listed || strcmp(m->id, primary) == 0;
}

/* Tells whether all members that matter have answered. The old primary's
   answer is not awaited when it does not answer most proxies. */
static bool
all_answered(const struct change *c, const char *primary)
{
    for (int i = 0; i < c->count; i++) {
        const struct member_note *m = &c->members[i];
        if (c->silent && strcmp(m->id, primary) == 0) {
            continue;
        }
        if (is_asked(m, primary) && !m->answered) {
            return false;
        }
    }
    return true;
}

/* Asks every member that matters and is not being asked. */
void
change_ask_all(struct promoter *p, struct change *c, const char *primary,
               int64_t pause_ms, clock_ms now)
{
    for (int i = 0; i < c->count; i++) {
        struct member_note *m = &c->members[i];
        if (is_asked(m, primary) && !m->asked &&
            now - m->asked_at >= pause_ms) {
            change_ask(p, c, m, 0, now);
        }
    }
}

/* Takes a member's answer; status is NULL when there was none. */
void
promoter_status(struct promoter *p, const char *service, const char *member,
                const struct member_report *status, clock_ms now)
{
    struct change *c = promoter_change_of(p, service);
    struct member_note *m = change_find_member(c, member);

    if (m == NULL) {
        return;
    }
    m->asked = false;
    if (status == NULL) {
        return;
    }
    m->answered = true;
    m->status = *status;
    event_log(
        EVENT_STATE, "member_status",
        "service=%s member=%s primary=%d term=%llu received=%llu.%llu "
        "age_ms=%lld",
        service, member, status->primary, (unsigned long long)status->term,
        (unsigned long long)status->received_term,
        (unsigned long long)status->received, (long long)(now - m->asked_at));
}

/* Compares what two members have received. */
static bool
has_more(const struct member_report *a, const struct member_report *b)
{
    return a->received_term != b->received_term
               ? a->received_term > b->received_term
               : a->received > b->received;
}

/* Returns whether a member could take over. */
bool
change_is_candidate(const struct member_note *m, bool draining, clock_ms now)
{
    return m->listed && m->draining == draining && now >= m->excluded_until;
}

/* Returns the member to promote: that which has received most; a draining one
   only when there is no other. */
struct member_note *
change_best_candidate(struct change *c, const char *old, clock_ms now)
{
    struct member_note *best = NULL;

    for (int draining = 0; draining < 2 && best == NULL; draining++) {
        for (int i = 0; i < c->count; i++) {
            struct member_note *m = &c->members[i];
            if (strcmp(m->id, old) == 0 || !m->answered ||
                !change_is_candidate(m, draining != 0, now)) {
                continue;
            }
            if (best == NULL || has_more(&m->status, &best->status)) {
                best = m;
            }
        }
    }
    return best;
}

/* Returns the member that leads already in the highest term, or NULL. */
static struct member_note *
present_primary(struct change *c)
{
    struct member_note *best = NULL;

    for (int i = 0; i < c->count; i++) {
        struct member_note *m = &c->members[i];
        if (m->answered && m->status.primary &&
            (best == NULL || m->status.term > best->status.term)) {
            best = m;
        }
    }
    return best;
}

/* Decides what follows the survey. */
static void
after_survey(struct change *c, const struct view_lead *l, clock_ms now)
{
    struct member_note *leads = present_primary(c);
    const struct member_note *old = change_find_member(c, l->primary);
    uint64_t term = 0;

    for (int i = 0; i < c->count; i++) {
        if (c->members[i].answered) {
            term = MAX(term, c->members[i].status.term);
        }
    }
    c->next_term = term + 1;
    if (leads != NULL && leads->listed && !leads->draining &&
        leads->status.term == term) {
        /* It leads already: the order took effect, or the alarm was false. */
        g_strlcpy(c->chosen, leads->id, sizeof(c->chosen));
        change_enter(c, PHASE_PUBLISH, now);
        return;
    }
    if (leads != NULL && leads == old) {
        c->demoted = false;
        change_enter(c, PHASE_DEMOTE, now);
        return;
    }
    change_enter(c, PHASE_ORDER, now);
}

/* Asks the old primary to step down, so that the replicas can receive all
   that it has. */
static void
run_demote(struct promoter *p, struct change *c, const struct view_lead *l,
           clock_ms now)
{
    struct member_note *old = change_find_member(c, l->primary);

    if (old == NULL || now - c->since >= ANSWER_MS) {
        change_enter(c, PHASE_ORDER, now);
        return;
    }
    if (!c->demoted) {
        old->answered = false;
        change_ask(p, c, old, c->next_term, now);
        c->demoted = true;
        return;
    }
    if (old->answered) {
        c->target_term = old->status.received_term;
        c->target = old->status.received;
        change_enter(c, PHASE_CATCH_UP, now);
    }
}

/* Waits for a replica that has received what the old primary had. */
static void
run_catch_up(struct promoter *p, struct change *c, const struct view_lead *l,
             clock_ms now)
{
    const struct member_note *best = change_best_candidate(c, l->primary, now);

    if (best != NULL && (best->status.received_term > c->target_term ||
                         (best->status.received_term == c->target_term &&
                          best->status.received >= c->target))) {
        change_enter(c, PHASE_ORDER, now);
        return;
    }
    if (now - c->since >= CATCH_UP_MS) {
        event_log(EVENT_STATE, "catch_up_given_up",
                  "service=%s wanted=%llu.%llu", c->service,
                  (unsigned long long)c->target_term,
                  (unsigned long long)c->target);
        change_enter(c, PHASE_ORDER, now);
        return;
    }
    change_ask_all(p, c, l->primary, ASK_AGAIN_MS, now);
}

/* Orders the promotion while this proxy is known to be the holder. */
static void
run_order(struct promoter *p, struct change *c, const struct view_lead *l,
          clock_ms now)
{
    const struct view *v = agreement_view(p->agreement);

    if (c->ordering || now - c->ordered_at < ORDER_RETRY_MS) {
        return;
    }
    /* An earlier holder may still order; what it has ordered shows in the
       survey. */
    if (!agreement_all_acted(p->agreement, c->claim_version, c->begun, now)) {
        if (now - c->since >= ORDER_RETRY_MS) {
            change_enter(c, PHASE_SURVEY, now);
        }
        return;
    }
    const struct member_note *best = change_best_candidate(c, l->primary, now);
    if (best == NULL) {
        change_enter(c, PHASE_SURVEY, now);
        return;
    }
    if (!agreement_valid(p->agreement, now)) {
        return;
    }
    g_strlcpy(c->chosen, best->id, sizeof(c->chosen));
    c->ordering = true;
    c->ordered_at = now;
    event_log(EVENT_STATE, "promotion_ordered",
              "service=%s member=%s received=%llu.%llu fence=%llu "
              "version=%llu evidence_age_ms=%lld",
              c->service, best->id,
              (unsigned long long)best->status.received_term,
              (unsigned long long)best->status.received,
              (unsigned long long)v->fence, (unsigned long long)v->version,
              (long long)(now - agreement_evidence(p->agreement)));
    p->actions.order(p->actions.ctx, c->service, c->chosen, v->fence);
}

/* Takes the answer to an order. */
void
promoter_ordered(struct promoter *p, const char *service,
                 enum order_result result, clock_ms now)
{
    struct change *c = promoter_change_of(p, service);

    event_log(EVENT_STATE, "promotion_answered",
              "service=%s member=%s result=%d took_ms=%lld", service,
              c->chosen, result, (long long)(now - c->ordered_at));
    c->ordering = false;
    if (c->phase != PHASE_ORDER) {
        return;
    }
    struct member_note *m = change_find_member(c, c->chosen);
    if (result == ORDER_NOT_RUNNING && m != NULL) {
        m->excluded_until = now + EXCLUDED_MS;
        change_enter(c, PHASE_SURVEY, now);
    }
    else if (result == ORDER_DONE) {
        if (m != NULL) {
            m->answered = false;
        }
        change_enter(c, PHASE_CONFIRM, now);
    }
}

/* Waits until the new primary says that it leads. */
static void
run_confirm(struct promoter *p, struct change *c, clock_ms now)
{
    struct member_note *m = change_find_member(c, c->chosen);

    if (m == NULL || now - c->since >= CONFIRM_MS) {
        change_enter(c, PHASE_SURVEY, now);
        return;
    }
    if (m->answered && m->status.primary) {
        change_enter(c, PHASE_PUBLISH, now);
        return;
    }
    if (!m->asked && now - m->asked_at >= ASK_AGAIN_MS) {
        change_ask(p, c, m, 0, now);
    }
}

/* Publishes the new primary. */
static void
run_publish(struct promoter *p, struct change *c, int index, clock_ms now)
{
    struct view next = *agreement_view(p->agreement);
    struct view_lead *l = &next.leads[index];
    const struct member_note *m = change_find_member(c, c->chosen);

    l->epoch = next.version + 1;
    l->changing = false;
    l->term = m != NULL ? m->status.term : 0;
    g_strlcpy(l->primary, c->chosen, sizeof(l->primary));
    if (promoter_write_view(p, &next, now)) {
        event_log(EVENT_STATE, "change_publishing",
                  "service=%s primary=%s term=%llu took_ms=%lld", c->service,
                  c->chosen, (unsigned long long)l->term,
                  (long long)(now - c->begun));
    }
}

/* Carries out the change that this proxy holds. */
void
change_run(struct promoter *p, struct change *c, const struct view_lead *l,
           int index, clock_ms now)
{
    switch (c->phase) {
    case PHASE_NONE:
        c->version = l->epoch;
        c->claim_version = agreement_view(p->agreement)->version;
        c->begun = now;
        c->since = now;
        c->ordering = false;
        change_enter(c, PHASE_FENCE, now);
        break;
    case PHASE_FENCE:
        if (agreement_all_acted(p->agreement, c->version, c->begun, now)) {
            change_enter(c, PHASE_SURVEY, now);
        }
        break;
    case PHASE_SURVEY:
        if ((all_answered(c, l->primary) &&
             now - c->since >= (c->silent ? SILENT_ANSWER_MS : 0)) ||
            now - c->since >= ANSWER_MS) {
            after_survey(c, l, now);
        }
        else {
            change_ask_all(p, c, l->primary, ASK_AGAIN_MS, now);
        }
        break;
    case PHASE_DEMOTE:
        run_demote(p, c, l, now);
        break;
    case PHASE_CATCH_UP:
        run_catch_up(p, c, l, now);
        break;
    case PHASE_ORDER:
        run_order(p, c, l, now);
        break;
    case PHASE_CONFIRM:
        run_confirm(p, c, now);
        break;
    case PHASE_PUBLISH:
        run_publish(p, c, index, now);
        break;
    }
}
