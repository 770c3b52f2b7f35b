#include "lead/promoter_internal.h"

#include "base/event_log.h"

#include <glib.h>
#include <string.h>

/* A primary that most proxies cannot reach is replaced after this time. Each
   proxy has met 0.4 s of silence or refused connections before it votes; this
   only covers votes that are withdrawn at once. */
#define SUSPECT_MS 120
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
#define DEMOTE_AGAIN_MS 500
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

/* Creates the promoter of a proxy. */
struct promoter *
promoter_create(const char *name, struct agreement *a,
                const struct promoter_actions *actions)
{
    struct promoter *p = g_new0(struct promoter, 1);

    g_strlcpy(p->name, name, sizeof(p->name));
    p->agreement = a;
    p->actions = *actions;
    p->changes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return p;
}

/* Frees the promoter. */
void
promoter_destroy(struct promoter *p)
{
    g_hash_table_destroy(p->changes);
    g_free(p);
}

/* Tells whether a change that this proxy carries out is in progress. */
bool
promoter_busy(const struct promoter *p)
{
    return p->busy;
}

/* Notes whether the store answers this proxy. One that it does not answer
   lets the others act first. */
void
promoter_set_store_lost(struct promoter *p, bool lost)
{
    p->store_lost = lost;
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

/* Returns the record of a service, made when it is new. */
struct change *
promoter_change_of(struct promoter *p, const char *service)
{
    struct change *c = g_hash_table_lookup(p->changes, service);

    if (c == NULL) {
        c = g_new0(struct change, 1);
        g_strlcpy(c->service, service, sizeof(c->service));
        g_hash_table_insert(p->changes, c->service, c);
    }
    return c;
}

/* Takes over the members of a service; answers of those that stay are kept. */
static void
update_members(struct change *c, const struct candidate *members, size_t n)
{
    struct member_note kept[MEMBERS_MAX] = {0};
    int count = 0;

    for (size_t i = 0; i < n && count < MEMBERS_MAX; i++) {
        const struct member_note *old = change_find_member(c, members[i].id);
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

/* Writes the next view under this proxy as the holder. Returns false when a
   write is already on its way. */
bool
promoter_write_view(struct promoter *p, struct view *next, clock_ms now)
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
    if (p->store_lost) {
        return HOLDER_STEP_MS + RANK_STEP_MS * rank;
    }
    if (strcmp(v->holder, p->name) == 0) {
        return 0;
    }
    if (v->holder[0] != '\0' &&
        agreement_can_act(p->agreement, v->holder, now)) {
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

/* Marks a service to be added to the view once the directory shows who leads
   it. When that is not clear, it is added as changing, and the survey
   decides. */
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
    c->adding = true;
    g_strlcpy(c->chosen, primaries == 1 ? primary : "", sizeof(c->chosen));
}

/* Writes the services that are marked into the view, together. */
static void
add_marked(struct promoter *p, clock_ms now)
{
    struct view next = *agreement_view(p->agreement);
    const int before = next.count;
    GHashTableIter i;
    void *value;

    g_hash_table_iter_init(&i, p->changes);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        struct change *c = value;
        if (!c->adding) {
            continue;
        }
        c->adding = false;
        struct view_lead *l = view_add(&next, c->service);
        if (l == NULL) {
            event_log(EVENT_STATE, "view_full", "service=%s services=%d",
                      c->service, next.count);
            continue;
        }
        l->epoch = next.version + 1;
        l->changing = c->chosen[0] == '\0';
        g_strlcpy(l->primary, c->chosen, sizeof(l->primary));
    }
    if (next.count > before && promoter_write_view(p, &next, now)) {
        event_log(EVENT_STATE, "services_added",
                  "first=%s added=%d services=%d", next.leads[before].service,
                  next.count - before, next.count);
    }
}

/* Ends a round of promoter_tick() for all services: adds those that are new to
   the view, and notes whether a change is carried out here. */
void
promoter_flush(struct promoter *p, clock_ms now)
{
    GHashTableIter i;
    void *value;
    bool adding = false;

    p->busy = false;
    g_hash_table_iter_init(&i, p->changes);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct change *c = value;
        p->busy = p->busy || c->phase != PHASE_NONE;
        adding = adding || c->adding;
    }
    if (adding) {
        add_marked(p, now);
    }
}

/* Returns why the primary has to be replaced, or NULL. */
static const char *
reason_to_change(struct promoter *p, struct change *c,
                 const struct view_lead *l, int index, bool unreachable,
                 clock_ms now)
{
    const struct view *v = agreement_view(p->agreement);
    const struct member_note *m = change_find_member(c, l->primary);
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

/* Tells whether any other member could take over. */
static bool
has_successor(const struct change *c, const char *primary, clock_ms now)
{
    for (int i = 0; i < c->count; i++) {
        if (strcmp(c->members[i].id, primary) != 0 &&
            change_is_candidate(&c->members[i], false, now)) {
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
    if (promoter_write_view(p, &next, now)) {
        event_log(EVENT_STATE, "change_claimed",
                  "service=%s primary=%s why=%s version=%llu fence=%llu",
                  c->service, next.leads[index].primary, why,
                  (unsigned long long)next.version,
                  (unsigned long long)next.fence);
    }
}

/* Tells whether a change can begin without losing commits: the primary does
   not answer, or a replica is nearly level with it. Asks the members for what
   they have; gives up after LEVEL_WAIT_MS. */
static bool
is_level(struct promoter *p, struct change *c, const struct view_lead *l,
         clock_ms since, clock_ms now)
{
    const struct member_note *old = change_find_member(c, l->primary);
    const struct member_note *best = change_best_candidate(c, l->primary, now);

    if (old == NULL || now - since >= LEVEL_WAIT_MS) {
        return true;
    }
    if (old->answered && best != NULL &&
        best->status.received + LEVEL_ENTRIES >= old->status.received &&
        best->status.received_term == old->status.received_term) {
        return true;
    }
    change_ask_all(p, c, l->primary, LEVEL_ASK_MS, now);
    return false;
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
            change_ask(p, c, m, l->term, now);
        }
    }
}

/* Finds the service in the view; services keep their index. */
static bool
find_lead(const struct view *v, struct change *c)
{
    if (c->index < v->count &&
        strcmp(v->leads[c->index].service, c->service) == 0) {
        return true;
    }
    for (c->index = 0; c->index < v->count; c->index++) {
        if (strcmp(v->leads[c->index].service, c->service) == 0) {
            return true;
        }
    }
    return false;
}

/* Looks at one service: members as the directory lists them, and whether its
   primary does not answer this proxy. Called every few tens of milliseconds
   for each configured service, and promoter_flush() after all of them. */
void
promoter_tick(struct promoter *p, const char *service,
              const struct candidate *members, size_t n, bool unreachable,
              clock_ms now)
{
    const struct view *v = agreement_view(p->agreement);
    struct change *c = promoter_change_of(p, service);

    update_members(c, members, n);
    if (!find_lead(v, c)) {
        add_service(p, c, now);
        return;
    }
    const int index = c->index;
    const struct view_lead *l = &v->leads[index];
    const bool holder = strcmp(v->holder, p->name) == 0;
    if (c->changing_fence != v->fence) {
        /* Another holder has taken over and is given its own time. */
        c->changing_fence = v->fence;
        c->changing_since = 0;
    }
    track(&c->changing_since, l->changing, now);
    if (l->changing && holder) {
        p->busy = true;
        change_run(p, c, l, index, now);
        return;
    }
    c->phase = PHASE_NONE;
    if (l->changing) {
        const bool alive = agreement_can_act(p->agreement, v->holder, now);
        if (held(c->changing_since, alive ? STUCK_MS : 0,
                 acting_delay(p, v, now), now)) {
            c->silent = false;
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
            c->silent = c->suspect_since != 0;
            claim(p, c, index, why, now);
        }
    }
    else if (holder) {
        demote_others(p, c, l, now);
    }
}
