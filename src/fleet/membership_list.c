#include "fleet/membership_internal.h"

#include <string.h>
#include <xxhash.h>

/* Returns the index of the member with this id, or where to insert it. */
static unsigned
member_position(const struct membership *m, uint32_t id)
{
    unsigned low = 0;
    unsigned high = m->members->len;

    while (low < high) {
        unsigned mid = low + (high - low) / 2;

        if (((struct member *)m->members->pdata[mid])->id < id) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    return low;
}

struct member *
membership_find(const struct membership *m, uint32_t id)
{
    unsigned i = member_position(m, id);

    if (i < m->members->len) {
        struct member *x = m->members->pdata[i];

        return x->id == id ? x : NULL;
    }
    return NULL;
}

/* Returns a member's contribution to the view hash. Dead members contribute
   nothing, like unknown ones. A suspicion does not change the view, because
   most suspicions are refuted. */
uint64_t
membership_member_hash(const struct member *x)
{
    if (x->phase == MEMBER_DEAD) {
        return 0;
    }
    return XXH64(&x->id, sizeof(x->id), x->phase == MEMBER_LEAVING ? 2 : 1);
}

/* Resets the time since which the quorum has stood. Not in gossip mode: views
   change too often there, and its quorum does not compare them. */
void
membership_view_changed(struct membership *m)
{
    if (membership_is_full_mesh(m)) {
        m->quorum_since = CLOCK_NEVER;
    }
}

static void
info_fill(const struct membership *m, const struct member *x,
          struct member_info *out)
{
    *out = (struct member_info){
        .id = x->id,
        .incarnation = x->incarnation,
        .phase = (enum member_phase)x->phase,
        .listed = x->listed,
        .name = x->name,
        .domain = m->domains->pdata[x->domain],
        .address = x->address,
        .tickets = x->tickets,
        .last_heard = x->last_heard,
    };
}

/* Calls the changed callback, if there is one. */
void
membership_notify(struct membership *m, const struct member *x,
                  enum member_phase before)
{
    struct member_info info;

    if (m->actions.changed) {
        info_fill(m, x, &info);
        m->actions.changed(m->actions.ctx, &info, before);
    }
}

/* Returns the index of a failure domain in domains and adds it if needed. */
static uint16_t
domain_index(struct membership *m, const char *domain)
{
    for (unsigned i = 0; i < m->domains->len; i++) {
        if (strcmp(m->domains->pdata[i], domain) == 0) {
            return (uint16_t)i;
        }
    }
    g_ptr_array_add(m->domains, g_strdup(domain));
    return (uint16_t)(m->domains->len - 1);
}

/* Replaces a member's name, failure domain and address with copies. */
void
membership_set_details(struct membership *m, struct member *x,
                       const char *name, const char *domain,
                       const char *address)
{
    size_t n = strlen(name) + 1;
    char *block = g_malloc(n + strlen(address) + 1);

    memcpy(block, name, n);
    memcpy(block + n, address, strlen(address) + 1);
    g_free(x->name);
    x->name = block;
    x->address = block + n;
    x->domain = domain_index(m, domain);
}

/* Adds a member, which is assumed to be live. */
struct member *
membership_add_member(struct membership *m, clock_ms now, uint32_t id,
                      uint32_t incarnation, const peer_details *d)
{
    struct member *x = g_new0(struct member, 1);

    x->id = id;
    x->incarnation = incarnation;
    x->last_heard = now;
    x->last_exchange = now - MEMBERSHIP_DEAD_MS;
    x->next_exchange =
        now + (clock_ms)rng_below(&m->rng, MEMBERSHIP_HEARTBEAT_MS);
    x->link.data = x;
    membership_set_details(m, x, d->name, d->domain, d->address);
    g_ptr_array_insert(m->members, (int)member_position(m, id), x);
    m->view_hash ^= membership_member_hash(x);
    membership_view_changed(m);
    return x;
}

/* Adds delta (1 or -1) to the count of dead members that x belongs to, if any.
   Called before and after each change of a member's phase or listing. */
void
membership_adjust_dead_counts(struct membership *m, const struct member *x,
                              int delta)
{
    if (x->phase == MEMBER_DEAD && x->listed) {
        m->dead_listed_count += (unsigned)delta;
    }
    else if (x->phase == MEMBER_DEAD) {
        m->dead_unlisted_count += (unsigned)delta;
    }
}

/* Returns true if this member is on the side of a partition that may decide.

   In a full mesh, a majority of the members (dead unlisted ones excepted) has
   to have reported the same view within MEMBERSHIP_SUSPECT_MS, so two
   different views cannot both have a quorum. In gossip mode, no member hears
   from a majority in that time; there, a recent successful exchange and a
   majority that is not dead are enough. */
bool
membership_has_quorum(const struct membership *m, clock_ms now)
{
    unsigned all = m->members->len - m->dead_unlisted_count;
    unsigned agree = 1;

    if (!membership_is_full_mesh(m)) {
        return now - m->last_success <= ISOLATED_MS &&
               2 * (all - m->dead_listed_count) > all;
    }
    for (unsigned i = 0; i < m->members->len; i++) {
        const struct member *x = m->members->pdata[i];

        if (x != m->self && x->phase != MEMBER_DEAD) {
            agree += x->view_hash == m->view_hash &&
                     now - x->last_exchange < MEMBERSHIP_SUSPECT_MS;
        }
    }
    return 2 * agree > all;
}

/* Returns since when this member has had a quorum without a break and, in a
   full mesh, with the same view, as observed by the ticks. Returns CLOCK_NEVER
   without a quorum. */
clock_ms
membership_quorum_since(const struct membership *m)
{
    return m->quorum_since;
}

/* Adds a member from the settings or the VM list, or marks a known one as
   listed. The VM list may lag behind. */
void
membership_list_add(struct membership *m, clock_ms now, uint32_t id,
                    const char *name, const char *domain, const char *address)
{
    struct member *x = membership_find(m, id);
    const peer_details d = {.name = (char *)name,
                            .domain = (char *)domain,
                            .address = (char *)address};

    if (!x) {
        x = membership_add_member(m, now, id, 0, &d);
        membership_notify(m, x, MEMBER_LIVE);
    }
    membership_adjust_dead_counts(m, x, -1);
    x->listed = true;
    membership_adjust_dead_counts(m, x, 1);
}

/* Handles a mark in the VM list that a member is about to leave. */
void
membership_list_mark_leaving(struct membership *m, clock_ms now, uint32_t id)
{
    struct member *x = membership_find(m, id);

    if (x && x->phase == MEMBER_LIVE) {
        membership_set_state(m, now, x, x->incarnation, MEMBER_LEAVING);
    }
}

/* Handles a member's removal from the VM list. The member is forgotten only if
   it is dead; as long as it answers, it stays a member. */
void
membership_list_remove(struct membership *m, clock_ms now, uint32_t id)
{
    struct member *x = membership_find(m, id);

    (void)now;
    if (!x || x == m->self) {
        return;
    }
    membership_adjust_dead_counts(m, x, -1);
    x->listed = false;
    membership_adjust_dead_counts(m, x, 1);
    if (x->phase != MEMBER_DEAD) {
        return;
    }
    membership_adjust_dead_counts(m, x, -1);
    membership_unqueue_update(m, x);
    if (x->on_watch_list) {
        g_ptr_array_remove_fast(m->watch_list, x);
    }
    g_ptr_array_remove_index(m->members, member_position(m, id));
    g_free(x->name);
    g_free(x);
}

/* Announces that this member leaves. From now on it owns no objects. */
void
membership_leave(struct membership *m, clock_ms now)
{
    if (m->self->phase == MEMBER_LIVE) {
        membership_set_state(m, now, m->self, m->self->incarnation + 1,
                             MEMBER_LEAVING);
    }
}

/* Sets the ticket digest that heartbeats contain. */
void
membership_set_tickets(struct membership *m, peer_digest digest)
{
    m->tickets = digest;
}

/* Creates a membership that contains only this member. The first round starts
   at a random time, so that proxies that start together do not send at the
   same time. Copies self and actions. */
struct membership *
membership_create(const struct membership_self *self,
                  const struct membership_actions *actions, uint64_t seed,
                  clock_ms now)
{
    struct membership *m = g_new0(struct membership, 1);
    const peer_details d = {.name = (char *)self->name,
                            .domain = (char *)self->domain,
                            .address = (char *)self->address};

    m->actions = *actions;
    rng_seed(&m->rng, seed);
    m->members = g_ptr_array_new();
    m->watch_list = g_ptr_array_new();
    m->domains = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < UPDATE_SENDS_MAX; i++) {
        g_queue_init(&m->updates[i]);
    }
    m->self = membership_add_member(m, now, self->id, self->incarnation, &d);
    m->self->listed = true;
    membership_queue_update(m, m->self);
    m->started_at = now;
    m->last_tick = now;
    m->last_success = now;
    m->quorum_since = CLOCK_NEVER;
    m->next_send = now + (clock_ms)rng_below(&m->rng, MEMBERSHIP_ROUND_MS);
    return m;
}

void
membership_destroy(struct membership *m)
{
    if (!m) {
        return;
    }
    for (unsigned i = 0; i < m->members->len; i++) {
        struct member *x = m->members->pdata[i];

        g_free(x->name);
        g_free(x);
    }
    g_ptr_array_free(m->members, TRUE);
    g_ptr_array_free(m->watch_list, TRUE);
    g_ptr_array_free(m->domains, TRUE);
    g_free(m);
}

/* Returns the number of known members, including this one and dead ones. */
size_t
membership_size(const struct membership *m)
{
    return m->members->len;
}

/* Copies the state of a member to out. Returns false if the id is unknown. */
bool
membership_get(const struct membership *m, uint32_t id,
               struct member_info *out)
{
    const struct member *x = membership_find(m, id);

    if (x) {
        info_fill(m, x, out);
    }
    return x != NULL;
}

/* Copies the state of the member at an index, in order of ids, to out. Returns
   false past the last member. */
bool
membership_at(const struct membership *m, size_t index,
              struct member_info *out)
{
    if (index >= m->members->len) {
        return false;
    }
    info_fill(m, m->members->pdata[index], out);
    return true;
}

uint32_t
membership_self_id(const struct membership *m)
{
    return m->self->id;
}

/* Returns a hash over the members that are not dead and which of them are
   leaving. Members with equal hashes have the same view. */
uint64_t
membership_view_hash(const struct membership *m)
{
    return m->view_hash;
}

/* Returns the counters; they stay valid and change as the membership works. */
const struct membership_counters *
membership_counters(const struct membership *m)
{
    return &m->counters;
}
