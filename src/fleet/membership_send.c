#include "fleet/membership_internal.h"

#include "fleet/rpc.h"

#include <string.h>

/* XDR bytes of a heartbeat without updates and with empty names. */
#define HEARTBEAT_BYTES 56
#define UPDATE_BYTES 16
#define PROBE_CALL_BYTES (RPC_CALL_OVERHEAD_BYTES + 8)
#define PROBE_ANSWER_BYTES (RPC_REPLY_OVERHEAD_BYTES + 4)
/* Kept free of our own calls and of updates, so that plain answers to calls
   of others can nearly always be sent; an unanswered call costs the caller
   three probes. */
#define ANSWER_RESERVE_BYTES 450
/* Up to MEMBERSHIP_SMALL_MAX members calls come regularly, and two answers
   suffice. With the larger reserve, eight members skipped heartbeats and then
   probed each other for the missing ones. */
#define ANSWER_RESERVE_FULL_MESH_BYTES 216
/* Left free of updates, for probes and for calls of others that come close
   together: their number in a second varies by two around four. */
#define PROBE_RESERVE_BYTES 500
/* Updates may always use this much, also where heartbeats of eight members
   take nearly all. */
#define UPDATES_MIN_BYTES 128
/* A new process describes itself for this long, until the VM lists of others
   have it. */
#define INTRODUCTION_MS 60000
/* States sent per message while views differ and no update is pending. */
#define RESYNC_BYTES 256
/* Differing views in a row before states are sent; an update that is still
   spreading makes views differ for a few rounds. */
#define RESYNC_AFTER_MISMATCHES 12
/* Every this many rounds a dead member that is still listed is tried, so that
   the two sides of a healed partition find each other. */
#define RETRY_DEAD_ROUNDS 4

/* Returns the XDR size of a string. */
static uint32_t
string_bytes(const char *s)
{
    return 4 + (((uint32_t)strlen(s) + 3) & ~3U);
}

/* Left free by a heartbeat that is sent for another member's probe: two
   answers. With the full reserve, helpers refused so often that a single bad
   link led to a suspicion (test_bad_link_is_harmless, seed 26). */
#define HELPER_RESERVE_BYTES 216

/* Returns what has to stay free for answers. */
static uint32_t
answer_reserve(const struct membership *m)
{
    return membership_is_full_mesh(m) ? ANSWER_RESERVE_FULL_MESH_BYTES
                                      : ANSWER_RESERVE_BYTES;
}

/* Moves the window of the last second to now. */
static void
budget_advance(struct membership *m, clock_ms now)
{
    int64_t slot = now / BUDGET_SLOT_MS;

    if (slot - m->newest_slot >= BUDGET_SLOTS) {
        memset(m->budget_slots, 0, sizeof(m->budget_slots));
        memset(m->update_slots, 0, sizeof(m->update_slots));
        m->newest_slot = slot;
    }
    while (m->newest_slot < slot) {
        m->newest_slot++;
        m->budget_slots[m->newest_slot % BUDGET_SLOTS] = 0;
        m->update_slots[m->newest_slot % BUDGET_SLOTS] = 0;
    }
}

/* Returns what may still be sent in the last second's window. */
static uint32_t
budget_left(struct membership *m, clock_ms now)
{
    uint32_t used = 0;

    budget_advance(m, now);
    for (int i = 0; i < BUDGET_SLOTS; i++) {
        used += m->budget_slots[i];
    }
#ifdef MEMBERSHIP_BREAK_BUDGET
    return 1000000;
#endif
    return used >= MEMBERSHIP_BUDGET_BYTES ? 0
                                           : MEMBERSHIP_BUDGET_BYTES - used;
}

/* Counts bytes that are sent now. */
static void
budget_charge(struct membership *m, clock_ms now, uint32_t bytes)
{
    budget_advance(m, now);
    m->budget_slots[m->newest_slot % BUDGET_SLOTS] += bytes;
    m->counters.bytes += bytes;
}

/* Returns how often an update is sent. */
unsigned
membership_send_limit(const struct membership *m)
{
    unsigned bits = g_bit_storage(m->members->len);
    unsigned limit = UPDATE_REPEAT_FACTOR * bits;

    return MIN(limit, UPDATE_SENDS_MAX - 1);
}

/* Returns the time between two exchanges of a pair in a small fleet. */
clock_ms
membership_heartbeat_ms(const struct membership *m)
{
    return m->members->len > MEMBERSHIP_HEARTBEAT_FAST_MAX
               ? MEMBERSHIP_HEARTBEAT_SLOW_MS
               : MEMBERSHIP_HEARTBEAT_MS;
}

/* Returns what updates may use in a second: what a second's heartbeats and
   answers leave, so that updates never keep a heartbeat from being sent. */
static uint32_t
updates_budget(const struct membership *m)
{
    uint32_t pair = RPC_CALL_OVERHEAD_BYTES + RPC_REPLY_OVERHEAD_BYTES +
                    2 * HEARTBEAT_BYTES;
    uint32_t pairs = membership_is_full_mesh(m)
                         ? (m->members->len - 1) * 1000 /
                               (uint32_t)membership_heartbeat_ms(m) / 2
                         : MEMBERSHIP_FANOUT * 1000 / MEMBERSHIP_ROUND_MS;
    uint32_t base = pair * pairs + PROBE_RESERVE_BYTES;

    if (base + UPDATES_MIN_BYTES >= MEMBERSHIP_BUDGET_BYTES) {
        return UPDATES_MIN_BYTES;
    }
    return MEMBERSHIP_BUDGET_BYTES - base;
}

/* Returns what updates may still use in the last second's window. */
static uint32_t
updates_budget_left(struct membership *m, clock_ms now)
{
    uint32_t share = updates_budget(m);
    uint32_t used = 0;

    budget_advance(m, now);
    for (int i = 0; i < BUDGET_SLOTS; i++) {
        used += m->update_slots[i];
    }
#ifdef MEMBERSHIP_BREAK_BUDGET
    share += 1000000;
#endif
    return used >= share ? 0 : share - used;
}

/* Takes a member's update out of its queue. */
void
membership_unqueue_update(struct membership *m, struct member *x)
{
    if (x->update_queued) {
        g_queue_unlink(&m->updates[x->update_sends], &x->link);
        x->update_queued = false;
    }
}

/* Queues a member's state to be sent with the next messages. */
void
membership_queue_update(struct membership *m, struct member *x)
{
    membership_unqueue_update(m, x);
    x->update_sends = 0;
    x->update_queued = true;
    g_queue_push_tail_link(&m->updates[0], &x->link);
}

/* Returns the bytes of an update about x. Details go with members that are up
   and not listed, because the receiver may not know them yet. */
static uint32_t
update_bytes(const struct membership *m, const struct member *x, bool details)
{
    if (!details) {
        return UPDATE_BYTES;
    }
    return UPDATE_BYTES + string_bytes(x->name) +
           string_bytes(m->domains->pdata[x->domain]) +
           string_bytes(x->address);
}

/* Appends an update about x. */
static void
put_update(struct membership *m, peer_heartbeat *hb, const struct member *x,
           bool details)
{
    unsigned i = hb->updates.updates_len++;

    m->out_updates[i] = (peer_update){
        .id = x->id,
        .incarnation = x->incarnation,
        .phase = x->phase,
        .details = details ? &m->out_details[i] : NULL,
    };
    if (details) {
        m->out_details[i] = (peer_details){
            .name = x->name,
            .domain = m->domains->pdata[x->domain],
            .address = x->address,
        };
    }
}

/* Appends queued updates, the least sent first, within room bytes. */
static uint32_t
put_queued_updates(struct membership *m, peer_heartbeat *hb, uint32_t room)
{
    struct member *sent[PEER_UPDATES_MAX];
    unsigned n = 0;
    uint32_t used = 0;
    unsigned limit = membership_send_limit(m);

    for (unsigned s = 0; s < limit; s++) {
        for (GList *l = m->updates[s].head; l; l = l->next) {
            struct member *x = l->data;
            bool details = x->phase == MEMBER_LIVE && !x->listed;
            uint32_t bytes = update_bytes(m, x, details);

            if (hb->updates.updates_len == PEER_UPDATES_MAX ||
                used + bytes > room) {
                goto full;
            }
            put_update(m, hb, x, details);
            used += bytes;
            sent[n++] = x;
        }
    }
full:
    for (unsigned i = 0; i < n; i++) {
        struct member *x = sent[i];

        membership_unqueue_update(m, x);
        x->update_sends++;
#ifdef MEMBERSHIP_BREAK_GOSSIP
        /* One send reaches one member at most. */
        x->update_sends = (uint8_t)limit;
#endif
        if (x->update_sends < limit) {
            x->update_queued = true;
            g_queue_push_tail_link(&m->updates[x->update_sends], &x->link);
        }
    }
    return used;
}

/* Appends states in turn while views differ although nothing is queued; a
   member that was away for long learns what it missed this way. */
static uint32_t
put_resync_updates(struct membership *m, peer_heartbeat *hb, uint32_t room)
{
    uint32_t used = 0;

    room = MIN(room, RESYNC_BYTES);
    for (unsigned i = 0; i < m->members->len; i++) {
        const struct member *x =
            m->members->pdata[m->resync_index % m->members->len];
        bool details = x->phase != MEMBER_DEAD && !x->listed;
        uint32_t bytes = update_bytes(m, x, details);

        if (hb->updates.updates_len == PEER_UPDATES_MAX ||
            used + bytes > room) {
            break;
        }
        put_update(m, hb, x, details);
        used += bytes;
        m->resync_index++;
    }
    return used;
}

/* Builds a heartbeat for a member within the budget. overhead is the size of
   the RPC headers, reserve what has to stay free. Returns false when not even
   the plain message fits. */
static bool
heartbeat_build(struct membership *m, clock_ms now, struct member *to,
                uint32_t overhead, uint32_t reserve, peer_heartbeat *hb)
{
    const struct member *self = m->self;
    uint32_t left = budget_left(m, now);
    uint32_t used = overhead + HEARTBEAT_BYTES;

    memset(hb, 0, sizeof(*hb));
    if (left < used + reserve) {
        m->counters.over_budget++;
        return false;
    }
    hb->id = self->id;
    hb->incarnation = self->incarnation;
    hb->name = (char *)"";
    hb->domain = (char *)"";
    hb->phase = self->phase;
    hb->tickets = m->tickets;
    hb->view = m->view;
    hb->updates.updates_val = m->out_updates;
    uint32_t room =
        left > used + answer_reserve(m) ? left - used - answer_reserve(m) : 0;
    room = MIN(room, updates_budget_left(m, now));
    uint32_t more = 0;
    /* A receiver that is thought gone is told first, so that it can refute;
       one update is small enough for the reserve. */
    if (to && to->phase >= MEMBER_SUSPECT && left >= used + UPDATE_BYTES) {
        put_update(m, hb, to, false);
        more += UPDATE_BYTES;
    }
    uint32_t bytes = update_bytes(m, self, true);
    if (to && !to->has_our_details && now - m->started < INTRODUCTION_MS &&
        more + bytes <= room) {
        put_update(m, hb, self, true);
        more += bytes;
    }
    if (more < room) {
        more += put_queued_updates(m, hb, room - more);
    }
    if (more < room && m->view_mismatches >= RESYNC_AFTER_MISMATCHES) {
        more += put_resync_updates(m, hb, room - more);
    }
    m->counters.updates += hb->updates.updates_len;
    budget_charge(m, now, used + more);
    m->update_slots[m->newest_slot % BUDGET_SLOTS] += more;
    return true;
}

/* Sends a heartbeat call when the budget allows it and leaves reserve. */
static bool
send_heartbeat(struct membership *m, clock_ms now, struct member *to,
               uint32_t reserve)
{
    peer_heartbeat hb;

    if (!heartbeat_build(m, now, to, RPC_CALL_OVERHEAD_BYTES, reserve, &hb)) {
        return false;
    }
    m->counters.heartbeats++;
    m->actions.send_heartbeat(m->actions.ctx, to->id, &hb);
    return true;
}

/* Takes a heartbeat and builds the answer, which borrows from m and is valid
   until the next call. Returns false when the budget is used up; then there
   is no answer. */
bool
membership_on_heartbeat(struct membership *m, clock_ms now,
                        const peer_heartbeat *in, peer_heartbeat *answer)
{
    membership_on_answer(m, now, in->id, in);
    struct member *from = membership_find(m, in->id);

    if (!heartbeat_build(m, now, from, RPC_REPLY_OVERHEAD_BYTES, 0, answer)) {
        return false;
    }
    m->counters.answers++;
    if (from) {
        from->has_our_details = true;
    }
    return true;
}

/* Sends a probe call when the budget allows it. */
bool
membership_send_probe(struct membership *m, clock_ms now,
                      const struct member *via, const struct member *target)
{
    /* A heartbeat has to fit beside it, since missing heartbeats cause more
       probes. */
    if (budget_left(m, now) < PROBE_CALL_BYTES + RPC_CALL_OVERHEAD_BYTES +
                                  HEARTBEAT_BYTES + answer_reserve(m)) {
        m->counters.over_budget++;
        return false;
    }
    budget_charge(m, now, PROBE_CALL_BYTES);
    m->counters.probes++;
    m->actions.send_probe(m->actions.ctx, via->id, target->id);
    return true;
}

/* Answers a probe when the budget allows it; else the requester's call runs
   into its time limit, which costs it one of three helpers. */
static void
answer_probe(struct membership *m, clock_ms now, uint32_t requester,
             uint32_t target, bool reached)
{
    if (budget_left(m, now) < PROBE_ANSWER_BYTES) {
        m->counters.over_budget++;
        return;
    }
    budget_charge(m, now, PROBE_ANSWER_BYTES);
    m->actions.answer_probe(m->actions.ctx, requester, target, reached);
}

/* Answers the probe requests that wait for this target. */
void
membership_answer_probes(struct membership *m, clock_ms now, uint32_t target,
                         bool reached)
{
    for (unsigned i = 0; i < m->pending_probe_count;) {
        struct pending_probe p = m->pending_probes[i];

        if (p.target != target) {
            i++;
            continue;
        }
        m->pending_probes[i] = m->pending_probes[--m->pending_probe_count];
        answer_probe(m, now, p.requester, target, reached);
    }
}

/* Takes a PROBE request: tries the target and answers when the outcome is
   known. */
void
membership_on_probe(struct membership *m, clock_ms now, uint32_t requester,
                    uint32_t target)
{
    struct member *x = membership_find(m, target);

    if (target == m->self->id) {
        answer_probe(m, now, requester, target, true);
        return;
    }
    if (!x || m->pending_probe_count == PENDING_PROBES_MAX ||
        !send_heartbeat(m, now, x, HELPER_RESERVE_BYTES)) {
        answer_probe(m, now, requester, target, false);
        return;
    }
    m->pending_probes[m->pending_probe_count++] =
        (struct pending_probe){.requester = requester, .target = target};
}

/* Tells who of a pair starts the exchange: half of a member's pairs fall to
   each side. One exchange serves as a heartbeat both ways, which halves the
   bytes. */
static bool
initiates_exchange(uint32_t self, uint32_t other)
{
    bool lower = self < other;

    return ((self ^ other) & 1) ? lower : !lower;
}

/* Sends what is due up to MEMBERSHIP_SMALL_MAX members. Each member has its
   own times, so that messages spread over the interval and fit the window of
   the budget. */
static void
full_mesh_tick(struct membership *m, clock_ms now)
{
    clock_ms step = membership_heartbeat_ms(m);

    for (unsigned i = 0; i < m->members->len; i++) {
        struct member *x = m->members->pdata[i];

        if (x == m->self || now < x->next_exchange) {
            continue;
        }
        bool initiates = initiates_exchange(m->self->id, x->id) ||
                         now - x->heard >= 2 * step;
        x->next_exchange +=
            x->phase == MEMBER_DEAD ? step * RETRY_DEAD_ROUNDS : step;
        if (x->next_exchange <= now) {
            x->next_exchange =
                now + 1 + (clock_ms)rng_below(&m->rng, (uint64_t)step);
        }
        /* What does not fit the budget now is late by a tick, not lost. */
        if (initiates && !send_heartbeat(m, now, x, answer_reserve(m))) {
            x->next_exchange = now + MEMBERSHIP_TICK_MS;
        }
        if (x->phase < MEMBER_SUSPECT && !x->probing &&
            now - x->heard >= step + MEMBERSHIP_HEARTBEAT_MS) {
            membership_start_probing(m, now, x);
        }
    }
}

/* Picks a member for this round; the first tries insist on a failure domain
   that is not among the chosen. Returns NULL when none was found. */
static struct member *
pick_target(struct membership *m, struct member **chosen, unsigned n,
            bool dead)
{
    for (unsigned attempt = 0; attempt < 32; attempt++) {
        struct member *x =
            m->members->pdata[rng_below(&m->rng, m->members->len)];
        bool taken = x == m->self || (x->phase == MEMBER_DEAD) != dead ||
                     (dead && !x->listed);

        for (unsigned i = 0; i < n && !taken; i++) {
            taken = chosen[i] == x ||
                    (attempt < 16 && chosen[i]->domain == x->domain);
        }
        if (!taken) {
            return x;
        }
    }
    return NULL;
}

/* Chooses the members of a fleet's next round. */
static void
choose_targets(struct membership *m)
{
    struct member *chosen[MEMBERSHIP_FANOUT];
    unsigned n = 0;

    m->round++;
    for (unsigned i = 0; i < MEMBERSHIP_FANOUT; i++) {
        bool dead =
            i == MEMBERSHIP_FANOUT - 1 && m->round % RETRY_DEAD_ROUNDS == 0;
        struct member *x = pick_target(m, chosen, n, dead);

        if (!x && dead) {
            x = pick_target(m, chosen, n, false);
        }
        if (x) {
            m->targets[n] = x->id;
            chosen[n++] = x;
        }
    }
    m->target_count = n;
}

/* Sends one heartbeat of a fleet's round; they are spread over the round, so
   that they fit the window of the budget. */
static void
gossip_tick(struct membership *m, clock_ms now)
{
    clock_ms step = MEMBERSHIP_ROUND_MS / MEMBERSHIP_FANOUT;

    if (now < m->next_send) {
        return;
    }
    m->next_send += step;
    if (m->next_send <= now) {
        m->next_send = now + step;
    }
    if (m->target_count == 0) {
        choose_targets(m);
    }
    if (m->target_count > 0) {
        struct member *x = membership_find(m, m->targets[--m->target_count]);

        if (x && !send_heartbeat(m, now, x, answer_reserve(m))) {
            m->target_count++;
            m->next_send = now + MEMBERSHIP_TICK_MS;
        }
    }
}

/* Sends the heartbeats that are due. */
void
membership_send_due(struct membership *m, clock_ms now)
{
    if (membership_is_full_mesh(m)) {
        full_mesh_tick(m, now);
    }
    else {
        gossip_tick(m, now);
    }
}
