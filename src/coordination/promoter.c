#include "coordination/promoter_internal.h"

#include "base/event_log.h"

#include <glib.h>
#include <string.h>

/* A primary that a majority of the proxies cannot reach is replaced after this
   time. Each proxy has seen 0.4 s of silence or refused connections before it
   votes, so this only filters out votes that are withdrawn at once. */
#define UNREACHABLE_MS 120
/* A primary that is no longer listed, or that reports to be a replica, is
   replaced after this time. After an outage the store restores its entries
   within 2 s. */
#define UNLISTED_MS 2600
#define NOT_PRIMARY_MS 1200
/* Proxies act one after another, separated by these delays, so that the next
   one takes over if the first cannot reach the store. */
#define RANK_STEP_MS 250
#define HOLDER_STEP_MS 1000
/* Another proxy takes over a change from its holder after this time, which is
   longer than the longest wait for leases to expire. */
#define HOLDER_TIMEOUT_MS 12000
#define DEMOTE_INTERVAL_MS 500
/* Interval between attempts to write the view; doubled after each failure. */
#define WRITE_RETRY_MS 150
#define WRITE_RETRY_MAX_MS 1000
/* A write usually takes 12 ms; one that takes this long counts as failing. */
#define WRITE_SLOW_MS 600
/* A primary that answers, but is draining or unlisted, is replaced once a
   replica is at most CAUGHT_UP_ENTRIES behind and no other member reports to
   be a primary, or after CAUGHT_UP_TIMEOUT_MS: a member must not be used for
   more than 7 s after it is gone. */
#define CAUGHT_UP_TIMEOUT_MS 4500
#define CAUGHT_UP_ENTRIES 20
#define CAUGHT_UP_QUERY_MS 150

struct promoter *
promoter_create(const char *name, struct agreement *a,
                const struct promoter_actions *actions)
{
    struct promoter *p = g_new0(struct promoter, 1);

    g_strlcpy(p->name, name, sizeof(p->name));
    p->agreement = a;
    p->actions = *actions;
    p->primary_changes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return p;
}

void
promoter_destroy(struct promoter *p)
{
    g_hash_table_destroy(p->primary_changes);
    g_free(p);
}

/* Returns true while this proxy is carrying out a change. */
bool
promoter_busy(const struct promoter *p)
{
    return p->busy;
}

/* Returns the number of orders under a fence lower than this one that have not
   been answered: the platform may still receive them. */
size_t
promoter_order_count(const struct promoter *p, uint64_t fence)
{
    GHashTableIter i;
    void *value;
    size_t n = 0;

#ifdef PROMOTER_BREAK_ORDER_UNDER_WAY
    fence = 0;
#endif
    g_hash_table_iter_init(&i, p->primary_changes);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct primary_change *c = value;
        n += c->order_pending && c->order_fence < fence;
    }
    return n;
}

/* Records whether the store fails to answer this proxy. If so, the other
   proxies act first. */
void
promoter_set_store_lost(struct promoter *p, bool lost)
{
    p->store_lost = lost;
}

/* Returns true if a change waits because writes of the view fail. The proxy
   then reports this, so that another one takes over the change. */
bool
promoter_is_blocked(const struct promoter *p, clock_ms now)
{
    const bool failing = p->write_pending
                             ? now - p->write_started_at >= WRITE_SLOW_MS
                             : p->write_pause_ms > WRITE_RETRY_MS;

    return failing && promoter_busy(p);
}

/* Returns the state of a service, which is created if necessary. */
struct primary_change *
promoter_get_primary_change(struct promoter *p, const char *service)
{
    struct primary_change *c =
        g_hash_table_lookup(p->primary_changes, service);

    if (c == NULL) {
        c = g_new0(struct primary_change, 1);
        g_strlcpy(c->service, service, sizeof(c->service));
        g_hash_table_insert(p->primary_changes, c->service, c);
    }
    return c;
}

/* Records that a member has started again with an empty log, and which
   position it has to reach until it holds all that it has confirmed. */
static void
track_restart(struct member_state *m, const struct service_member *from,
              const struct service_state *state, clock_ms now)
{
    if (m->started_at == 0 ? from->started_recently
                           : from->started_at > m->started_at) {
        m->emptied_at = now;
        m->emptied_position.known = false;
    }
    m->started_at = MAX(m->started_at, from->started_at);
    if (m->emptied_at != 0 && !m->emptied_position.known &&
        state->primary_position.known &&
        state->primary_position_at >= m->emptied_at) {
        m->emptied_position = state->primary_position;
    }
}

/* Replaces the list of members; the state of members that stay is kept. */
static void
update_members(struct primary_change *c, const struct service_state *state,
               clock_ms now)
{
    const struct service_member *members = state->members;
    struct member_state kept[SERVICE_MEMBERS_MAX] = {0};
    int count = 0;

    for (size_t i = 0; i < state->member_count && count < SERVICE_MEMBERS_MAX;
         i++) {
        const struct member_state *old =
            primary_change_find_member(c, members[i].id);
        struct member_state *m = &kept[count++];
        if (old != NULL) {
            *m = *old;
        }
        g_strlcpy(m->id, members[i].id, sizeof(m->id));
        m->listed = members[i].listed;
        m->draining = members[i].draining;
        m->says_primary = members[i].says_primary;
        m->replaced = members[i].replaced;
        track_restart(m, &members[i], state, now);
    }
    memcpy(c->members, kept, sizeof(kept));
    c->count = count;
}

/* Returns the version of the view that would follow v. */
uint64_t
promoter_next_version(const struct promoter *p, const struct view *v)
{
    return MAX(v->version, agreement_era_base(p->agreement)) + 1;
}

/* Writes the next view with this proxy as its holder. Returns false if a write
   is pending or it is too early for a retry. */
bool
promoter_write_view(struct promoter *p, struct view *next, clock_ms now)
{
    if (p->write_pending || now - p->write_started_at < p->write_pause_ms) {
        return false;
    }
    if (strcmp(next->holder, p->name) != 0) {
        next->fence++;
        g_strlcpy(next->holder, p->name, sizeof(next->holder));
    }
    next->fence = MAX(next->fence, agreement_era_base(p->agreement) + 1);
    next->version = promoter_next_version(p, next);
    p->write_pending = true;
    p->write_started_at = now;
    p->actions.write_view(p->actions.ctx, next);
    return true;
}

/* Records the outcome of a write. The view that the store holds now has
   already been passed to agreement_adopt_view(). */
void
promoter_view_written(struct promoter *p, bool done)
{
    p->write_pending = false;
    p->write_pause_ms = done ? 0
                             : CLAMP(p->write_pause_ms * 2, WRITE_RETRY_MS,
                                     WRITE_RETRY_MAX_MS);
}

/* Returns how long this proxy waits before it acts on a condition; CLOCK_NEVER
   if it leaves that to others. */
int64_t
promoter_action_delay_ms(const struct promoter *p, const struct view *v,
                         clock_ms now)
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
        agreement_can_change_view(p->agreement, v->holder, now)) {
        return HOLDER_STEP_MS + RANK_STEP_MS * rank;
    }
    return RANK_STEP_MS * rank;
}

/* Records since when a condition has held; 0 while it does not hold. */
static void
track_since(clock_ms *since, bool holds, clock_ms now)
{
    if (!holds) {
        *since = 0;
    }
    else if (*since == 0) {
        *since = now;
    }
}

/* Returns true if a condition has held for ms plus delay, which may be
   CLOCK_NEVER. */
static bool
has_lasted(clock_ms since, int64_t ms, int64_t delay, clock_ms now)
{
    return since != 0 && delay != CLOCK_NEVER && now - since >= ms + delay;
}

/* Marks a service to be added to the view once the directory shows its
   primary. If that stays ambiguous, the service is added as changing and the
   survey finds the primary. */
static void
mark_new_service(struct promoter *p, struct primary_change *c, clock_ms now)
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
    /* The service may be in a view that the store has lost. */
    track_since(&c->not_in_view_since,
                listed > 0 && !agreement_is_settling(p->agreement, now), now);
    const int64_t wait_ms = primaries == 1 ? 0 : UNLISTED_MS;
    if (!has_lasted(c->not_in_view_since, wait_ms,
                    promoter_action_delay_ms(p, v, now), now)) {
        return;
    }
    c->add_pending = true;
    g_strlcpy(c->new_primary, primaries == 1 ? primary : "",
              sizeof(c->new_primary));
}

/* Adds all marked services to the view in a single write. */
static void
write_new_services(struct promoter *p, clock_ms now)
{
    struct view next = *agreement_view(p->agreement);
    const int before = next.count;
    GHashTableIter i;
    void *value;

    g_hash_table_iter_init(&i, p->primary_changes);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        struct primary_change *c = value;
        if (!c->add_pending) {
            continue;
        }
        c->add_pending = false;
        struct view_entry *e = view_add(&next, c->service);
        if (e == NULL) {
            event_log(EVENT_STATE, "view_full", "service=%s services=%d",
                      c->service, next.count);
            continue;
        }
        e->epoch = promoter_next_version(p, &next);
        if (agreement_may_have_lost_services(p->agreement, now)) {
            /* It may have another primary since. */
            e->changing = true;
            g_strlcpy(e->ordered, VIEW_ORDERED_UNKNOWN, sizeof(e->ordered));
        }
        else {
            e->changing = c->new_primary[0] == '\0';
        }
        g_strlcpy(e->primary, c->new_primary, sizeof(e->primary));
    }
    if (next.count > before && promoter_write_view(p, &next, now)) {
        event_log(
            EVENT_STATE, "services_added", "first=%s added=%d services=%d",
            next.entries[before].service, next.count - before, next.count);
    }
}

/* Records in the view, in a single write, which members are about to be
   ordered. The orders follow once the write has succeeded. */
static void
write_pending_orders(struct promoter *p, clock_ms now)
{
    struct view next = *agreement_view(p->agreement);
    GHashTableIter i;
    void *value;

    g_hash_table_iter_init(&i, p->primary_changes);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct primary_change *c = value;
        if (c->record_pending) {
            struct view_entry *e = &next.entries[c->index];
            e->epoch = promoter_next_version(p, &next);
            g_strlcpy(e->ordered, c->new_primary, sizeof(e->ordered));
            e->ordered_set =
                (successor_orders_settled(c, now) ? 0 : e->ordered_set) |
                view_member_bit(c->new_primary);
        }
    }
    if (promoter_write_view(p, &next, now)) {
        event_log(EVENT_STATE, "orders_recorded", "version=%llu",
                  (unsigned long long)next.version);
    }
}

/* Called after promoter_tick() has run for all services: adds the new ones to
   the view, records orders in it, and whether a change is in progress here.
   Writes the view again when the store has lost it. */
void
promoter_end_round(struct promoter *p, clock_ms now)
{
    GHashTableIter i;
    void *value;
    bool add_pending = false;
    bool record_pending = false;

    if (agreement_view_is_lost(p->agreement) &&
        agreement_view(p->agreement)->version > 0) {
        restoration_run(p, now);
        return;
    }
    p->busy = false;
    g_hash_table_iter_init(&i, p->primary_changes);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct primary_change *c = value;
        p->busy = p->busy || c->phase != PHASE_NONE;
        add_pending = add_pending || c->add_pending;
        record_pending = record_pending || c->record_pending;
    }
    if (record_pending) {
        write_pending_orders(p, now);
    }
    if (add_pending) {
        write_new_services(p, now);
    }
}

/* Returns the reason for replacing the primary, for the log, or NULL. */
static const char *
replacement_reason(struct promoter *p, struct primary_change *c,
                   const struct view_entry *e, int index, bool unreachable,
                   clock_ms now)
{
    const struct view *v = agreement_view(p->agreement);
    const struct member_state *m = primary_change_find_member(c, e->primary);
    const int votes = agreement_unreachable_votes(p->agreement, index, now) +
                      (unreachable ? 1 : 0);
    const int voters = agreement_alive_count(p->agreement, now) + 1;
    const bool listed = m != NULL && m->listed;
    const int64_t delay = promoter_action_delay_ms(p, v, now);

    track_since(&c->unreachable_since, votes * 2 > voters, now);
    track_since(&c->unlisted_since, !listed, now);
    track_since(&c->not_primary_since, listed && !m->says_primary, now);
    track_since(&c->draining_since, listed && m->draining, now);
    if (delay != CLOCK_NEVER && successor_is_superseded(c, e)) {
        return "superseded";
    }
    if (has_lasted(c->unreachable_since, UNREACHABLE_MS, delay, now)) {
        return "unreachable";
    }
    if (has_lasted(c->unlisted_since, UNLISTED_MS, delay, now)) {
        return "unlisted";
    }
    if (has_lasted(c->not_primary_since, NOT_PRIMARY_MS, delay, now)) {
        return "says_replica";
    }
    return has_lasted(c->draining_since, 0, delay, now) ? "draining" : NULL;
}

/* Returns true if a member other than the primary could be promoted. One that
   is draining is good enough only for a primary that does not serve. */
static bool
has_successor(const struct primary_change *c, const char *primary,
              bool draining_too, clock_ms now)
{
    for (int i = 0; i < c->count; i++) {
        const struct member_state *m = &c->members[i];
        if (strcmp(m->id, primary) != 0 &&
            (successor_is_candidate(m, false, now) ||
             (draining_too && successor_is_candidate(m, true, now)))) {
            return true;
        }
    }
    return false;
}

/* Begins a change, or takes over one whose holder is gone. */
static void
claim_change(struct promoter *p, struct primary_change *c, int index,
             const char *why, clock_ms now)
{
    const struct view *v = agreement_view(p->agreement);
    struct view next = *v;

    if (!next.entries[index].changing) {
        next.entries[index].epoch = promoter_next_version(p, &next);
        next.entries[index].changing = true;
    }
    if (promoter_write_view(p, &next, now)) {
        event_log(EVENT_STATE, "change_claimed",
                  "service=%s primary=%s why=%s version=%llu fence=%llu",
                  c->service, next.entries[index].primary, why,
                  (unsigned long long)next.version,
                  (unsigned long long)next.fence);
    }
}

/* Returns true if another listed member reports to be a primary: it has been
   replaced and has not stepped down yet. */
static bool
has_stale_primary(const struct primary_change *c, const struct view_entry *e)
{
    for (int i = 0; i < c->count; i++) {
        const struct member_state *m = &c->members[i];
        if (m->listed && m->says_primary && strcmp(m->id, e->primary) != 0 &&
            e->term > 0) {
            return true;
        }
    }
    return false;
}

/* Asks members that wrongly report to be the primary to step down, and repeats
   this until they do. */
static void
demote_stale_primaries(struct promoter *p, struct primary_change *c,
                       const struct view_entry *e, clock_ms now)
{
    for (int i = 0; i < c->count; i++) {
        struct member_state *m = &c->members[i];
        if (m->listed && m->says_primary && strcmp(m->id, e->primary) != 0 &&
            e->term > 0 && now - m->demote_sent_at >= DEMOTE_INTERVAL_MS) {
            m->demote_sent_at = now;
            primary_change_query_member(p, c, m, e->term, now);
        }
    }
}

/* Returns true if a switch can begin without losing commits: the primary is
   gone, or a replica is at most CAUGHT_UP_ENTRIES behind it and there is no
   replaced primary that the replicas could follow once it has stepped down.
   Otherwise asks the members for their state. Stops waiting after
   CAUGHT_UP_TIMEOUT_MS. */
static bool
replica_caught_up(struct promoter *p, struct primary_change *c,
                  const struct view_entry *e, clock_ms since, clock_ms now)
{
    const struct member_state *old = primary_change_find_member(c, e->primary);
    const struct member_state *best = successor_preferred(c, e->primary, now);

    if (old == NULL || now - since >= CAUGHT_UP_TIMEOUT_MS) {
        return true;
    }
    if (has_stale_primary(c, e)) {
        demote_stale_primaries(p, c, e, now);
        return false;
    }
    if (old->answered && best != NULL &&
        best->report.received_position + CAUGHT_UP_ENTRIES >=
            old->report.received_position &&
        best->report.received_term == old->report.received_term) {
        return true;
    }
    primary_change_query_members(p, c, e->primary, CAUGHT_UP_QUERY_MS, now);
    return false;
}

/* Sets c->index to the service's index in the view; returns false if it is not
   there. The last index is tried first, since services keep theirs. */
static bool
find_in_view(const struct view *v, struct primary_change *c)
{
    if (c->index < v->count &&
        strcmp(v->entries[c->index].service, c->service) == 0) {
        return true;
    }
    for (c->index = 0; c->index < v->count; c->index++) {
        if (strcmp(v->entries[c->index].service, c->service) == 0) {
            return true;
        }
    }
    return false;
}

/* Forgets since when reasons to replace the primary have held: they do not
   apply to the next one. */
static void
forget_reasons(struct primary_change *c)
{
    c->unreachable_since = 0;
    c->unlisted_since = 0;
    c->not_primary_since = 0;
    c->draining_since = 0;
}

/* Checks one service. Called every few tens of milliseconds for each
   configured service, then promoter_end_round(). */
void
promoter_tick(struct promoter *p, const char *service,
              const struct service_state *state, clock_ms now)
{
    const struct view *v = agreement_view(p->agreement);
    struct primary_change *c = promoter_get_primary_change(p, service);

    update_members(c, state, now);
    c->sync_replicas = state->sync_replicas;
    c->newest_commit_term =
        MAX(c->newest_commit_term, state->newest_commit_term);
    if (state->primary_position.known) {
        token_raise(&c->newest_position, state->primary_position.term,
                    state->primary_position.position);
    }
    if (agreement_view_is_lost(p->agreement) && v->version > 0) {
        c->phase = PHASE_NONE;
        c->record_pending = false;
        return;
    }
    if (!find_in_view(v, c)) {
        mark_new_service(p, c, now);
        return;
    }
    const int index = c->index;
    const struct view_entry *e = &v->entries[index];
    const bool holder = strcmp(v->holder, p->name) == 0;
    if (c->changing_fence != v->fence) {
        /* A new holder gets the full HOLDER_TIMEOUT_MS. */
        c->changing_fence = v->fence;
        c->changing_since = 0;
    }
    track_since(&c->changing_since, e->changing, now);
    if (e->changing) {
        forget_reasons(c);
    }
    if (e->changing && holder) {
        p->busy = true;
        primary_change_run(p, c, e, index, now);
        return;
    }
    c->phase = PHASE_NONE;
    c->record_pending = false;
    if (e->changing) {
        const bool alive =
            agreement_can_change_view(p->agreement, v->holder, now);
        if (has_lasted(c->changing_since, alive ? HOLDER_TIMEOUT_MS : 0,
                       promoter_action_delay_ms(p, v, now), now)) {
            c->primary_unreachable = false;
            claim_change(p, c, index, alive ? "holder stuck" : "holder gone",
                         now);
        }
        return;
    }
    const char *why =
        replacement_reason(p, c, e, index, state->primary_unreachable, now);
    const clock_ms since =
        c->draining_since != 0 ? c->draining_since : c->unlisted_since;
    if (why != NULL &&
        has_successor(c, e->primary, c->unreachable_since != 0, now)) {
        if (c->unreachable_since != 0 || since == 0 ||
            replica_caught_up(p, c, e, since, now)) {
            c->primary_unreachable = c->unreachable_since != 0;
            claim_change(p, c, index, why, now);
        }
    }
    else if (holder) {
        demote_stale_primaries(p, c, e, now);
    }
}
