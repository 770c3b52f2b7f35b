#include "fleet/membership_internal.h"

#include "fleet/rpc.h"

#include <string.h>

/* XDR bytes of a heartbeat without updates and with empty names. */
#define HEARTBEAT_BYTES 56
#define UPDATE_BYTES 16
#define PROBE_CALL_BYTES (RPC_CALL_OVERHEAD_BYTES + 8)
#define PROBE_ANSWER_BYTES (RPC_REPLY_OVERHEAD_BYTES + 4)
/* Part of the budget that this member's own calls and updates leave free, so
   that it can nearly always answer calls of others without updates. An
   unanswered call costs the caller three probes. */
#define ANSWER_RESERVE_BYTES 450
/* The same in a full mesh, where calls come at regular intervals and room for
   two answers is enough. With the larger reserve, eight members skipped
   heartbeats and then probed each other because of the missing ones. */
#define ANSWER_RESERVE_FULL_MESH_BYTES 216
/* Part of the budget that updates leave free for probes and for bursts of
   calls from others: a member receives four calls per second, plus or minus
   two. */
#define PROBE_RESERVE_BYTES 500
/* Minimum budget of updates, for example with eight members, whose heartbeats
   take nearly the whole budget. */
#define UPDATES_MIN_BYTES 128
/* A new process sends its own details for this long; after that, the VM lists
   of the other members contain it. */
#define INTRODUCTION_MS 60000
/* Bytes of resynchronization updates per message. */
#define RESYNC_BYTES 256
/* Number of consecutive view mismatches that starts a resynchronization. An
   update that is still spreading causes a few mismatches. */
#define RESYNC_AFTER_MISMATCHES 12
/* Dead members that are still listed are contacted every RETRY_DEAD_ROUNDS
   rounds, so that the two sides of a healed partition find each other. */
#define RETRY_DEAD_ROUNDS 4

/* Returns the XDR size of a string. */
static uint32_t
string_bytes(const char *s)
{
    return 4 + (((uint32_t)strlen(s) + 3) & ~3U);
}

/* Budget that has to stay free, room for two answers, when this member sends a
   heartbeat on behalf of another member's probe. With the full reserve,
   members refused probes so often that a single bad link led to a suspicion
   (test_bad_link_is_harmless, seed 26). */
#define HELPER_RESERVE_BYTES 216

static uint32_t
answer_reserve(const struct membership *m)
{
    return membership_is_full_mesh(m) ? ANSWER_RESERVE_FULL_MESH_BYTES
                                      : ANSWER_RESERVE_BYTES;
}

/* Moves the sliding window of one second to now and clears the new slots. */
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

/* Returns the number of bytes that may still be sent now. */
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

/* Adds sent bytes to the current slot. */
static void
budget_charge(struct membership *m, clock_ms now, uint32_t bytes)
{
    budget_advance(m, now);
    m->budget_slots[m->newest_slot % BUDGET_SLOTS] += bytes;
    m->counters.bytes += bytes;
}

/* Returns how many times an update is sent. */
unsigned
membership_send_limit(const struct membership *m)
{
    unsigned bits = g_bit_storage(m->members->len);
    unsigned limit = UPDATE_REPEAT_FACTOR * bits;

    return MIN(limit, UPDATE_SENDS_MAX - 1);
}

/* Returns the interval between exchanges of two members in a full mesh. */
clock_ms
membership_heartbeat_ms(const struct membership *m)
{
    return m->members->len > MEMBERSHIP_HEARTBEAT_FAST_MAX
               ? MEMBERSHIP_HEARTBEAT_SLOW_MS
               : MEMBERSHIP_HEARTBEAT_MS;
}

/* Returns the bytes per second that updates may use: the budget without the
   heartbeats and answers of one second, so that updates never delay a
   heartbeat. */
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

/* Returns the number of bytes that updates may still use now. */
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

/* Removes a member's update from its queue, if it is queued. */
void
membership_unqueue_update(struct membership *m, struct member *x)
{
    if (x->update_queued) {
        g_queue_unlink(&m->updates[x->update_sends], &x->link);
        x->update_queued = false;
    }
}

/* Queues an update about a member to be sent with the next messages. */
void
membership_queue_update(struct membership *m, struct member *x)
{
    membership_unqueue_update(m, x);
    x->update_sends = 0;
    x->update_queued = true;
    g_queue_push_tail_link(&m->updates[0], &x->link);
}

/* Returns the XDR size of an update about x, with or without its details. */
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

/* Appends queued updates of at most room bytes, those sent the fewest times
   first. Updates about live members that are not listed contain their details,
   because the receiver may not know them yet. Returns the bytes used. */
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
        /* An update that is sent once reaches at most one member. */
        x->update_sends = (uint8_t)limit;
#endif
        if (x->update_sends < limit) {
            x->update_queued = true;
            g_queue_push_tail_link(&m->updates[x->update_sends], &x->link);
        }
    }
    return used;
}

/* Appends the states of members in turn, at most room bytes. Used while views
   differ for long although no update is queued: a member that was away for
   long catches up this way. Returns the bytes used. */
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

/* Builds a heartbeat with as many updates as the budget allows and charges it
   to the budget. overhead is the size of the RPC headers, reserve the budget
   that has to stay free. Returns false if not even a heartbeat without updates
   fits. The updates point into m. */
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
    hb->view_hash = m->view_hash;
    hb->updates.updates_val = m->out_updates;
    uint32_t room =
        left > used + answer_reserve(m) ? left - used - answer_reserve(m) : 0;
    room = MIN(room, updates_budget_left(m, now));
    uint32_t more = 0;
    /* A suspect or dead receiver is told about it first, so that it can refute
       the report. One update is small enough to be taken from the reserve. */
    if (to && to->phase >= MEMBER_SUSPECT && left >= used + UPDATE_BYTES) {
        put_update(m, hb, to, false);
        more += UPDATE_BYTES;
    }
    uint32_t bytes = update_bytes(m, self, true);
    if (to && !to->has_our_details && now - m->started_at < INTRODUCTION_MS &&
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

/* Sends a heartbeat call. Returns false if the budget does not allow it. */
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

/* Handles a received heartbeat and builds the answer, which points into m and
   is valid until the next call. Returns false if the budget is used up; then
   there is no answer to send. */
bool
membership_on_heartbeat(struct membership *m, clock_ms now,
                        const peer_heartbeat *in, peer_heartbeat *answer)
{
    membership_on_heartbeat_answer(m, now, in->id, in);
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

/* Sends a probe call. Returns false if the budget does not allow it. */
bool
membership_send_probe(struct membership *m, clock_ms now,
                      const struct member *via, const struct member *target)
{
    /* A heartbeat has to fit into the budget as well, since missing heartbeats
       cause more probes. */
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

/* Answers a probe. If the budget does not allow it, the requester's call times
   out, which costs it one of its probes (three in gossip mode). */
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

/* Answers the pending probes of this target. */
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

/* Handles a PROBE request: sends a heartbeat to the target and answers once
   the outcome is known. Answers at once that the target was not reached if it
   is unknown, too many probes are pending or the budget allows no
   heartbeat. */
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

/* Returns true if self starts the exchanges of this pair. One exchange serves
   as a heartbeat in both directions, which halves the bytes. Each member
   starts the exchanges of half of its pairs. */
static bool
initiates_exchange(uint32_t self, uint32_t other)
{
    bool lower = self < other;

    return ((self ^ other) & 1) ? lower : !lower;
}

/* Sends the heartbeats that are due in a full mesh. Each pair has its own
   schedule, which spreads the messages over the interval and keeps them within
   the budget's window. */
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
                         now - x->last_heard >= 2 * step;
        x->next_exchange +=
            x->phase == MEMBER_DEAD ? step * RETRY_DEAD_ROUNDS : step;
        if (x->next_exchange <= now) {
            x->next_exchange =
                now + 1 + (clock_ms)rng_below(&m->rng, (uint64_t)step);
        }
        /* A heartbeat that exceeds the budget is retried at the next tick. */
        if (initiates && !send_heartbeat(m, now, x, answer_reserve(m))) {
            x->next_exchange = now + MEMBERSHIP_TICK_MS;
        }
        if (x->phase < MEMBER_SUSPECT && !x->probing &&
            now - x->last_heard >= step + MEMBERSHIP_HEARTBEAT_MS) {
            membership_start_probing(m, now, x);
        }
    }
}

/* Picks a random member for this round. The first 16 attempts accept only
   failure domains without a chosen member yet. Returns NULL if none was
   found. */
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

/* Chooses the targets of the next gossip round. */
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

/* Sends one of the round's heartbeats if it is due. They are spread over the
   round, which keeps them within the budget's window. */
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
