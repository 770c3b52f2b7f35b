#include "lead/promoter.h"

#include "base/event_log.h"

#include <glib.h>
#include <string.h>

/* A primary that most proxies cannot reach is replaced after this time. A
   restart or a short cut is over sooner, and a change costs about as much. */
#define SUSPECT_MS 300
/* A primary that is no longer listed, or says that it is a replica. The store
   brings entries back within 2 s of an outage. */
#define UNLISTED_MS 2600
#define NOT_PRIMARY_MS 1200
/* Steps by which proxies act one after the other, so that one that cannot
   reach the store is replaced by the next. */
#define RANK_STEP_MS 250
#define HOLDER_STEP_MS 1000
/* Longer than the longest wait for leases to run out. */
#define STUCK_MS 12000
#define ANSWER_MS 300   /* wait for the answers of members to a question */
#define CATCH_UP_MS 400 /* wait for a replica to receive all of the log */
#define ASK_AGAIN_MS 40 /* between questions while waiting */
#define CONFIRM_MS 1500 /* for a promotion to take effect */
#define ORDER_RETRY_MS 100
#define DEMOTE_AGAIN_MS 500
#define EXCLUDED_MS 1000 /* a member that does not run is not named again */
/* Between attempts to write the view; doubled while they fail. */
#define WRITE_RETRY_MS 150
#define WRITE_RETRY_LONGEST_MS 1000
/* A write usually takes 12 ms; one that takes this long has met a fault. */
#define WRITE_SLOW_MS 600
/* A primary that answers, but leaves or is not listed, is replaced once a
   replica is nearly level with it, or after LEVEL_WAIT_MS: members must not be
   used for more than 7 s after they are gone. */
#define LEVEL_WAIT_MS 4500
#define LEVEL_ENTRIES 20
#define LEVEL_ASK_MS 150
#define MEMBERS_MAX 16

enum phase {
    PHASE_NONE,
    PHASE_FENCE,    /* until no proxy uses the old primary */
    PHASE_SURVEY,   /* what each member has */
    PHASE_DEMOTE,   /* the old primary, when it answers */
    PHASE_CATCH_UP, /* until a replica has what the old primary had */
    PHASE_ORDER,
    PHASE_CONFIRM, /* until the new primary says so */
    PHASE_PUBLISH,
};

struct member_note {
    char id[MEMBER_ID_BYTES];
    bool listed;
    bool draining;
    bool says_primary;
    bool asked;
    bool answered;
    struct member_report status;
    clock_ms asked_at;
    clock_ms excluded_until;
    clock_ms demoted_at;
};

struct change {
    char service[VIEW_NAME_BYTES];
    enum phase phase;
    clock_ms since;         /* of the phase */
    uint64_t version;       /* at which the change began */
    uint64_t claim_version; /* at which this proxy took it up */
    clock_ms begun;
    char chosen[MEMBER_ID_BYTES];
    bool ordering;
    clock_ms ordered_at;
    uint64_t target_term; /* received by the demoted primary */
    uint64_t target;
    bool demoted;
    uint64_t next_term;
    clock_ms suspect_since;
    clock_ms unlisted_since;
    clock_ms replica_since;
    clock_ms draining_since;
    clock_ms missing_since;
    clock_ms changing_since;
    uint64_t changing_fence; /* of the holder that carries the change out */
    struct member_note members[MEMBERS_MAX];
    int count;
};

struct promoter {
    char name[VIEW_NAME_BYTES];
    struct agreement *agreement;
    struct promoter_actions actions;
    bool writing;
    clock_ms written_at;
    int64_t write_pause_ms;
    struct change changes[VIEW_SERVICES_MAX];
    int count;
};

/* Creates the promoter of a proxy. */
struct promoter *
promoter_create(const char *name, struct agreement *a,
                const struct promoter_actions *actions)
{
    struct promoter *p = g_new0(struct promoter, 1);

    g_strlcpy(p->name, name, sizeof(p->name));
    p->agreement = a;
    p->actions = *actions;
    return p;
}

/* Frees the promoter. */
void
promoter_destroy(struct promoter *p)
{
    g_free(p);
}

/* Tells whether a change that this proxy carries out is in progress. */
bool
promoter_busy(const struct promoter *p)
{
    for (int i = 0; i < p->count; i++) {
        if (p->changes[i].phase != PHASE_NONE) {
            return true;
        }
    }
    return false;
}

/* Tells whether a change waits because the store does not take the view. The
   proxy then lets another one carry the change on. */
bool
promoter_is_cut_off(const struct promoter *p, clock_ms now)
{
    const bool failing = p->writing ? now - p->written_at >= WRITE_SLOW_MS
                                    : p->write_pause_ms > WRITE_RETRY_MS;

    return failing && promoter_busy(p);
}

/* Returns the record of a service, made when it is new; NULL without room. */
static struct change *
change_of(struct promoter *p, const char *service)
{
    for (int i = 0; i < p->count; i++) {
        if (strcmp(p->changes[i].service, service) == 0) {
            return &p->changes[i];
        }
    }
    if (p->count == VIEW_SERVICES_MAX) {
        return NULL;
    }
    struct change *c = &p->changes[p->count++];
    g_strlcpy(c->service, service, sizeof(c->service));
    return c;
}

/* Finds a member's record. */
static struct member_note *
find_member(struct change *c, const char *id)
{
    for (int i = 0; i < c->count; i++) {
        if (strcmp(c->members[i].id, id) == 0) {
            return &c->members[i];
        }
    }
    return NULL;
}

/* Takes over the members of a service; answers of those that stay are kept. */
static void
update_members(struct change *c, const struct candidate *members, size_t n)
{
    struct member_note kept[MEMBERS_MAX] = {0};
    int count = 0;

    for (size_t i = 0; i < n && count < MEMBERS_MAX; i++) {
        const struct member_note *old = find_member(c, members[i].id);
        struct member_note *m = &kept[count++];
        if (old != NULL) {
            *m = *old;
        }
        g_strlcpy(m->id, members[i].id, sizeof(m->id));
        m->listed = members[i].listed;
        m->draining = members[i].draining;
        m->says_primary = members[i].says_primary;
    }
    memcpy(c->members, kept, sizeof(kept));
    c->count = count;
}

/* Moves to the next phase. */
static void
enter(struct change *c, enum phase phase, clock_ms now)
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

/* Writes the next view under this proxy as the holder. Returns false when a
   write is already on its way. */
static bool
write_view(struct promoter *p, struct view *next, clock_ms now)
{
    if (p->writing || now - p->written_at < p->write_pause_ms) {
        return false;
    }
    if (strcmp(next->holder, p->name) != 0) {
        next->fence++;
        g_strlcpy(next->holder, p->name, sizeof(next->holder));
    }
    next->version++;
    p->writing = true;
    p->written_at = now;
    p->actions.write_view(p->actions.ctx, next);
    return true;
}

/* The store answered a write of the view; whatever it holds now was offered
   to the agreement before. */
void
promoter_view_written(struct promoter *p, bool done)
{
    p->writing = false;
    p->write_pause_ms = done ? 0
                             : CLAMP(p->write_pause_ms * 2, WRITE_RETRY_MS,
                                     WRITE_RETRY_LONGEST_MS);
}

/* Returns how long after a condition arose this proxy acts on it; CLOCK_NEVER
   when others do. */
static int64_t
acting_delay(const struct promoter *p, const struct view *v, clock_ms now)
{
    const int64_t rank = agreement_rank(p->agreement, now);

    if (rank < 0) {
        return CLOCK_NEVER;
    }
    if (strcmp(v->holder, p->name) == 0) {
        return 0;
    }
    if (v->holder[0] != '\0' &&
        agreement_alive(p->agreement, v->holder, now)) {
        return HOLDER_STEP_MS + RANK_STEP_MS * rank;
    }
    return RANK_STEP_MS * rank;
}

/* Notes since when a condition holds; 0 while it does not. */
static void
track(clock_ms *since, bool holds, clock_ms now)
{
    if (!holds) {
        *since = 0;
    }
    else if (*since == 0) {
        *since = now;
    }
}

/* Tells whether a condition has held for at least ms and a further delay,
   which may be CLOCK_NEVER. */
static bool
held(clock_ms since, int64_t ms, int64_t delay, clock_ms now)
{
    return since != 0 && delay != CLOCK_NEVER && now - since >= ms + delay;
}

/* Adds a service to the view once the directory shows who leads it. When that
   is not clear, it is added as changing, and the survey decides. */
static void
add_service(struct promoter *p, struct change *c, clock_ms now)
{
    const struct view *v = agreement_view(p->agreement);
    const char *primary = "";
    int primaries = 0;
    int listed = 0;

    for (int i = 0; i < c->count; i++) {
        listed += c->members[i].listed;
        if (c->members[i].listed && c->members[i].says_primary) {
            primary = c->members[i].id;
            primaries++;
        }
    }
    track(&c->missing_since, listed > 0, now);
    const int64_t patience = primaries == 1 ? 0 : UNLISTED_MS;
    if (!held(c->missing_since, patience, acting_delay(p, v, now), now)) {
        return;
    }
    struct view next = *v;
    struct view_lead *l = view_add(&next, c->service);
    if (l == NULL) {
        return;
    }
    l->epoch = next.version + 1;
    l->changing = primaries != 1;
    g_strlcpy(l->primary, primaries == 1 ? primary : "", sizeof(l->primary));
    if (write_view(p, &next, now)) {
        event_log(EVENT_STATE, "service_added",
                  "service=%s primary=%s says_primary=%d", c->service,
                  l->primary, primaries);
    }
}

/* Returns why the primary has to be replaced, or NULL. */
static const char *
reason_to_change(struct promoter *p, struct change *c,
                 const struct view_lead *l, int index, bool unreachable,
                 clock_ms now)
{
    const struct view *v = agreement_view(p->agreement);
    const struct member_note *m = find_member(c, l->primary);
    const int votes =
        agreement_votes(p->agreement, index, now) + (unreachable ? 1 : 0);
    const int voters = agreement_alive_count(p->agreement, now) + 1;
    const bool listed = m != NULL && m->listed;
    const int64_t delay = acting_delay(p, v, now);

    track(&c->suspect_since, votes * 2 > voters, now);
    track(&c->unlisted_since, !listed, now);
    track(&c->replica_since, listed && !m->says_primary, now);
    track(&c->draining_since, listed && m->draining, now);
    if (held(c->suspect_since, SUSPECT_MS, delay, now)) {
        return "unreachable";
    }
    if (held(c->unlisted_since, UNLISTED_MS, delay, now)) {
        return "unlisted";
    }
    if (held(c->replica_since, NOT_PRIMARY_MS, delay, now)) {
        return "says_replica";
    }
    return held(c->draining_since, 0, delay, now) ? "draining" : NULL;
}

/* Returns whether a member could take over. */
static bool
is_candidate(const struct member_note *m, bool draining, clock_ms now)
{
    return m->listed && m->draining == draining && now >= m->excluded_until;
}

/* Tells whether any other member could take over. */
static bool
has_successor(const struct change *c, const char *primary, clock_ms now)
{
    for (int i = 0; i < c->count; i++) {
        if (strcmp(c->members[i].id, primary) != 0 &&
            is_candidate(&c->members[i], false, now)) {
            return true;
        }
    }
    return false;
}

/* Begins a change, or takes over one whose holder is gone. */
static void
claim(struct promoter *p, struct change *c, int index, const char *why,
      clock_ms now)
{
    const struct view *v = agreement_view(p->agreement);
    struct view next = *v;

    if (!next.leads[index].changing) {
        next.leads[index].epoch = next.version + 1;
        next.leads[index].changing = true;
    }
    if (write_view(p, &next, now)) {
        event_log(EVENT_STATE, "change_claimed",
                  "service=%s primary=%s why=%s version=%llu fence=%llu",
                  c->service, next.leads[index].primary, why,
                  (unsigned long long)next.version,
                  (unsigned long long)next.fence);
    }
}

/* Asks a member for its state, or to step down when a term is given. */
static void
ask(struct promoter *p, struct change *c, struct member_note *m,
    uint64_t demote_term, clock_ms now)
{
    m->asked = true;
    m->asked_at = now;
    p->actions.ask(p->actions.ctx, c->service, m->id, demote_term);
}

/* Takes a member's answer; status is NULL when there was none. */
void
promoter_status(struct promoter *p, const char *service, const char *member,
                const struct member_report *status, clock_ms now)
{
    struct change *c = change_of(p, service);
    struct member_note *m = c == NULL ? NULL : find_member(c, member);

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

/* Tells whether a member's state matters: it is listed, or leads and may still
   answer. */
static bool
is_asked(const struct member_note *m, const char *primary)
{
    return m->listed || strcmp(m->id, primary) == 0;
}

/* Tells whether all members that matter have answered. */
static bool
all_answered(const struct change *c, const char *primary)
{
    for (int i = 0; i < c->count; i++) {
        if (is_asked(&c->members[i], primary) && !c->members[i].answered) {
            return false;
        }
    }
    return true;
}

/* Compares what two members have received. */
static bool
has_more(const struct member_report *a, const struct member_report *b)
{
    return a->received_term != b->received_term
               ? a->received_term > b->received_term
               : a->received > b->received;
}

/* Returns the member to promote: that which has received most; a draining one
   only when there is no other. */
static struct member_note *
best_candidate(struct change *c, const char *old, clock_ms now)
{
    struct member_note *best = NULL;

    for (int draining = 0; draining < 2 && best == NULL; draining++) {
        for (int i = 0; i < c->count; i++) {
            struct member_note *m = &c->members[i];
            if (strcmp(m->id, old) == 0 || !m->answered ||
                !is_candidate(m, draining != 0, now)) {
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

/* Asks every member that matters and is not being asked. */
static void
ask_all(struct promoter *p, struct change *c, const char *primary,
        int64_t pause_ms, clock_ms now)
{
    for (int i = 0; i < c->count; i++) {
        struct member_note *m = &c->members[i];
        if (is_asked(m, primary) && !m->asked &&
            now - m->asked_at >= pause_ms) {
            ask(p, c, m, 0, now);
        }
    }
}

/* Decides what follows the survey. */
static void
after_survey(struct change *c, const struct view_lead *l, clock_ms now)
{
    struct member_note *leads = present_primary(c);
    const struct member_note *old = find_member(c, l->primary);
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
        enter(c, PHASE_PUBLISH, now);
        return;
    }
    if (leads != NULL && leads == old) {
        c->demoted = false;
        enter(c, PHASE_DEMOTE, now);
        return;
    }
    enter(c, PHASE_ORDER, now);
}

/* Asks the old primary to step down, so that the replicas can receive all
   that it has. */
static void
run_demote(struct promoter *p, struct change *c, const struct view_lead *l,
           clock_ms now)
{
    struct member_note *old = find_member(c, l->primary);

    if (old == NULL || now - c->since >= ANSWER_MS) {
        enter(c, PHASE_ORDER, now);
        return;
    }
    if (!c->demoted) {
        old->answered = false;
        ask(p, c, old, c->next_term, now);
        c->demoted = true;
        return;
    }
    if (old->answered) {
        c->target_term = old->status.received_term;
        c->target = old->status.received;
        enter(c, PHASE_CATCH_UP, now);
    }
}

/* Waits for a replica that has received what the old primary had. */
static void
run_catch_up(struct promoter *p, struct change *c, const struct view_lead *l,
             clock_ms now)
{
    const struct member_note *best = best_candidate(c, l->primary, now);

    if (best != NULL && (best->status.received_term > c->target_term ||
                         (best->status.received_term == c->target_term &&
                          best->status.received >= c->target))) {
        enter(c, PHASE_ORDER, now);
        return;
    }
    if (now - c->since >= CATCH_UP_MS) {
        event_log(EVENT_STATE, "catch_up_given_up",
                  "service=%s wanted=%llu.%llu", c->service,
                  (unsigned long long)c->target_term,
                  (unsigned long long)c->target);
        enter(c, PHASE_ORDER, now);
        return;
    }
    ask_all(p, c, l->primary, ASK_AGAIN_MS, now);
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
            enter(c, PHASE_SURVEY, now);
        }
        return;
    }
    const struct member_note *best = best_candidate(c, l->primary, now);
    if (best == NULL) {
        enter(c, PHASE_SURVEY, now);
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
    struct change *c = change_of(p, service);

    if (c == NULL) {
        return;
    }
    event_log(EVENT_STATE, "promotion_answered",
              "service=%s member=%s result=%d took_ms=%lld", service,
              c->chosen, result, (long long)(now - c->ordered_at));
    c->ordering = false;
    if (c->phase != PHASE_ORDER) {
        return;
    }
    struct member_note *m = find_member(c, c->chosen);
    if (result == ORDER_NOT_RUNNING && m != NULL) {
        m->excluded_until = now + EXCLUDED_MS;
        enter(c, PHASE_SURVEY, now);
    }
    else if (result == ORDER_DONE) {
        if (m != NULL) {
            m->answered = false;
        }
        enter(c, PHASE_CONFIRM, now);
    }
}

/* Waits until the new primary says that it leads. */
static void
run_confirm(struct promoter *p, struct change *c, clock_ms now)
{
    struct member_note *m = find_member(c, c->chosen);

    if (m == NULL || now - c->since >= CONFIRM_MS) {
        enter(c, PHASE_SURVEY, now);
        return;
    }
    if (m->answered && m->status.primary) {
        enter(c, PHASE_PUBLISH, now);
        return;
    }
    if (!m->asked && now - m->asked_at >= ASK_AGAIN_MS) {
        ask(p, c, m, 0, now);
    }
}

/* Publishes the new primary. */
static void
run_publish(struct promoter *p, struct change *c, int index, clock_ms now)
{
    struct view next = *agreement_view(p->agreement);
    struct view_lead *l = &next.leads[index];
    const struct member_note *m = find_member(c, c->chosen);

    l->epoch = next.version + 1;
    l->changing = false;
    l->term = m != NULL ? m->status.term : 0;
    g_strlcpy(l->primary, c->chosen, sizeof(l->primary));
    if (write_view(p, &next, now)) {
        event_log(EVENT_STATE, "change_published",
                  "service=%s primary=%s term=%llu took_ms=%lld", c->service,
                  c->chosen, (unsigned long long)l->term,
                  (long long)(now - c->begun));
    }
}

/* Carries out the change that this proxy holds. */
static void
run_change(struct promoter *p, struct change *c, const struct view_lead *l,
           int index, clock_ms now)
{
    switch (c->phase) {
    case PHASE_NONE:
        c->version = l->epoch;
        c->claim_version = agreement_view(p->agreement)->version;
        c->begun = now;
        c->since = now;
        c->ordering = false;
        enter(c, PHASE_FENCE, now);
        break;
    case PHASE_FENCE:
        if (agreement_all_acted(p->agreement, c->version, c->begun, now)) {
            enter(c, PHASE_SURVEY, now);
        }
        break;
    case PHASE_SURVEY:
        if (all_answered(c, l->primary) || now - c->since >= ANSWER_MS) {
            after_survey(c, l, now);
        }
        else {
            ask_all(p, c, l->primary, ASK_AGAIN_MS, now);
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

/* Keeps asking a member that still believes to lead, and does not, to step
   down. */
static void
demote_others(struct promoter *p, struct change *c, const struct view_lead *l,
              clock_ms now)
{
    for (int i = 0; i < c->count; i++) {
        struct member_note *m = &c->members[i];
        if (m->listed && m->says_primary && strcmp(m->id, l->primary) != 0 &&
            l->term > 0 && now - m->demoted_at >= DEMOTE_AGAIN_MS) {
            m->demoted_at = now;
            ask(p, c, m, l->term, now);
        }
    }
}

/* Tells whether a change can begin without losing commits: the primary does
   not answer, or a replica is nearly level with it. Asks the members for what
   they have; gives up after LEVEL_WAIT_MS. */
static bool
is_level(struct promoter *p, struct change *c, const struct view_lead *l,
         clock_ms since, clock_ms now)
{
    const struct member_note *old = find_member(c, l->primary);
    const struct member_note *best = best_candidate(c, l->primary, now);

    if (old == NULL || now - since >= LEVEL_WAIT_MS) {
        return true;
    }
    if (old->answered && best != NULL &&
        best->status.received + LEVEL_ENTRIES >= old->status.received &&
        best->status.received_term == old->status.received_term) {
        return true;
    }
    ask_all(p, c, l->primary, LEVEL_ASK_MS, now);
    return false;
}

/* Looks at one service: members as the directory lists them, and whether its
   primary does not answer this proxy. Called every few tens of milliseconds
   for each configured service. */
void
promoter_tick(struct promoter *p, const char *service,
              const struct candidate *members, size_t n, bool unreachable,
              clock_ms now)
{
    const struct view *v = agreement_view(p->agreement);
    struct change *c = change_of(p, service);

    if (c == NULL) {
        return;
    }
    update_members(c, members, n);
    int index = -1;
    for (int i = 0; i < v->count; i++) {
        if (strcmp(v->leads[i].service, service) == 0) {
            index = i;
        }
    }
    if (index < 0) {
        add_service(p, c, now);
        return;
    }
    const struct view_lead *l = &v->leads[index];
    const bool holder = strcmp(v->holder, p->name) == 0;
    if (c->changing_fence != v->fence) {
        /* Another holder has taken over and is given its own time. */
        c->changing_fence = v->fence;
        c->changing_since = 0;
    }
    track(&c->changing_since, l->changing, now);
    if (l->changing && holder) {
        run_change(p, c, l, index, now);
        return;
    }
    c->phase = PHASE_NONE;
    if (l->changing) {
        const bool alive = agreement_alive(p->agreement, v->holder, now);
        if (held(c->changing_since, alive ? STUCK_MS : 0,
                 acting_delay(p, v, now), now)) {
            claim(p, c, index, alive ? "holder stuck" : "holder gone", now);
        }
        return;
    }
    const char *why = reason_to_change(p, c, l, index, unreachable, now);
    const clock_ms since =
        c->draining_since != 0 ? c->draining_since : c->unlisted_since;
    if (why != NULL && has_successor(c, l->primary, now)) {
        if (c->suspect_since != 0 || since == 0 ||
            is_level(p, c, l, since, now)) {
            claim(p, c, index, why, now);
        }
    }
    else if (holder) {
        demote_others(p, c, l, now);
    }
}
