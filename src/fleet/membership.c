#include "fleet/membership_internal.h"

/* A longer gap between two ticks means that the process was paused. */
#define PAUSE_THRESHOLD_MS 1000

const char *
member_phase_name(enum member_phase p)
{
    static const char *const names[] = {"live", "leaving", "suspect", "dead"};

    return (unsigned)p < G_N_ELEMENTS(names) ? names[p] : "unknown";
}

bool
membership_is_full_mesh(const struct membership *m)
{
    return m->members->len <= MEMBERSHIP_FULL_MESH_MAX;
}

static void
watch_list_add(struct membership *m, struct member *x)
{
    if (!x->on_watch_list) {
        x->on_watch_list = true;
        g_ptr_array_add(m->watch_list, x);
    }
}

/* Returns how long a member stays suspect before it is declared dead. In
   gossip mode, the suspicion has to reach the suspect and its refutation has
   to come back; the number of rounds for that grows with the logarithm of the
   number of members. */
static clock_ms
suspicion_timeout_ms(const struct membership *m)
{
    if (membership_is_full_mesh(m)) {
        return MEMBERSHIP_DEAD_MS - MEMBERSHIP_SUSPECT_MS;
    }
    return MEMBERSHIP_DEAD_MS +
           (clock_ms)g_bit_storage(m->members->len) * MEMBERSHIP_ROUND_MS / 2;
}

/* Sets a member's phase and incarnation and queues an update about it. The
   first contact with a listed member is not sent on, since the others know the
   member from their own lists. */
void
membership_set_state(struct membership *m, clock_ms now, struct member *x,
                     uint32_t incarnation, enum member_phase phase)
{
    enum member_phase before = (enum member_phase)x->phase;

    uint64_t view_hash = m->view_hash;
    m->view_hash ^= membership_member_hash(x);
    bool known = x->incarnation != 0 || !x->listed;
    if (incarnation != x->incarnation) {
        x->has_our_details = false;
    }
    membership_adjust_dead_counts(m, x, -1);
    x->incarnation = incarnation;
    x->phase = (uint8_t)phase;
    membership_adjust_dead_counts(m, x, 1);
    m->view_hash ^= membership_member_hash(x);
    if (m->view_hash != view_hash) {
        membership_view_changed(m);
    }
    if (before != MEMBER_LIVE || phase != MEMBER_LIVE || known) {
        membership_queue_update(m, x);
    }
    x->probing = false;
    if (phase == MEMBER_SUSPECT) {
        x->deadline = now + suspicion_timeout_ms(m);
        watch_list_add(m, x);
    }
    if (phase == MEMBER_LIVE || phase == MEMBER_LEAVING) {
        x->last_heard = now;
    }
    if (phase == MEMBER_DEAD) {
        m->counters.deaths++;
    }
    membership_notify(m, x, before);
}

/* Handles a report about this member. A false report is refuted with a higher
   incarnation. A report that the VM list marks this member as leaving is
   accepted. */
static void
report_about_self(struct membership *m, clock_ms now, uint32_t incarnation,
                  enum member_phase phase)
{
    struct member *self = m->self;

    if (incarnation < self->incarnation) {
        return;
    }
    if (phase == MEMBER_LEAVING && self->phase == MEMBER_LIVE &&
        incarnation == self->incarnation) {
        membership_set_state(m, now, self, incarnation, MEMBER_LEAVING);
        return;
    }
    if (incarnation > self->incarnation || phase >= MEMBER_SUSPECT) {
#ifndef MEMBERSHIP_BREAK_REFUTE
        m->counters.refutations++;
        membership_set_state(m, now, self, incarnation + 1,
                             (enum member_phase)self->phase);
#endif
    }
}

/* Applies a report about a member. It takes effect if its incarnation is
   higher than the known one, or equal with a higher phase. An unknown member
   is added if the report contains its details and it is not dead. */
void
membership_apply_report(struct membership *m, clock_ms now, uint32_t id,
                        uint32_t incarnation, enum member_phase phase,
                        const peer_details *details)
{
    struct member *x = membership_find(m, id);

    if (phase > MEMBER_DEAD) {
        return;
    }
    if (!x) {
        if (!details || phase == MEMBER_DEAD) {
            return;
        }
        x = membership_add_member(m, now, id, incarnation, details);
        membership_set_state(m, now, x, incarnation, phase);
        return;
    }
    if (x == m->self) {
        report_about_self(m, now, incarnation, phase);
        return;
    }
    if (incarnation < x->incarnation ||
        (incarnation == x->incarnation && phase <= x->phase)) {
        return;
    }
    if (details && incarnation > x->incarnation) {
        membership_set_details(m, x, details->name, details->domain,
                               details->address);
    }
    membership_set_state(m, now, x, incarnation, phase);
}

#ifndef MEMBERSHIP_BREAK_PROBE
/* Asks other members to probe one that did not answer. Sets probe_deferred if
   there is a member to ask but the budget allows no probe. */
static void
send_probes(struct membership *m, clock_ms now, struct member *x)
{
    unsigned wanted = membership_is_full_mesh(m) ? MEMBERSHIP_PROBES_FULL_MESH
                                                 : MEMBERSHIP_PROBES;
    unsigned n = m->members->len;
    unsigned start = (unsigned)rng_below(&m->rng, n);
    unsigned sent = 0;
    bool refused = false;

    for (unsigned i = 0; i < n && sent < wanted && !refused; i++) {
        const struct member *via = m->members->pdata[(start + i) % n];

        if (via == m->self || via == x || via->phase >= MEMBER_SUSPECT ||
            via->probing) {
            continue;
        }
        refused = !membership_send_probe(m, now, via, x);
        sent += !refused;
    }
    x->probes_open = (uint8_t)sent;
    x->probe_deferred = refused && sent == 0;
    x->deadline =
        now + (membership_is_full_mesh(m)
                   ? MEMBERSHIP_SUSPECT_MS - 2 * MEMBERSHIP_HEARTBEAT_MS
                   : MEMBERSHIP_PROBE_TIMEOUT_MS);
}

#endif

/* Starts an indirect check of a member, which precedes any suspicion. */
void
membership_start_probing(struct membership *m, clock_ms now, struct member *x)
{
    x->probing = true;
    x->probe_deferred = false;
    x->probes_open = 0;
    x->deadline = now;
    watch_list_add(m, x);
#ifndef MEMBERSHIP_BREAK_PROBE
    send_probes(m, now, x);
#endif
}

/* Declares a member suspect, unless this member seems to be isolated
   itself. */
static void
raise_suspicion(struct membership *m, clock_ms now, struct member *x)
{
    x->probing = false;
    if (!membership_is_full_mesh(m) && now - m->last_success > ISOLATED_MS) {
        return;
    }
    if (x->phase < MEMBER_SUSPECT) {
        m->counters.suspicions++;
        membership_set_state(m, now, x, x->incarnation, MEMBER_SUSPECT);
    }
}

/* Retries deferred probes and handles probes and suspicions whose deadline has
   passed. */
static void
watch_list_tick(struct membership *m, clock_ms now)
{
    for (unsigned i = 0; i < m->watch_list->len;) {
        struct member *x = m->watch_list->pdata[i];

        if (x->probing && x->probe_deferred) {
            membership_start_probing(m, now, x);
        }
        else if (x->probing && now >= x->deadline) {
            raise_suspicion(m, now, x);
        }
        else if (x->phase == MEMBER_SUSPECT && now >= x->deadline) {
            /* A member that still sends messages is up and has only not
               refuted the suspicion yet. */
            if (now - x->last_exchange < MEMBERSHIP_SUSPECT_MS ||
                (!membership_is_full_mesh(m) &&
                 now - m->last_success > ISOLATED_MS)) {
                x->deadline = now + MEMBERSHIP_SUSPECT_MS;
            }
            else {
                membership_set_state(m, now, x, x->incarnation, MEMBER_DEAD);
            }
        }
        if (x->probing || x->phase == MEMBER_SUSPECT) {
            i++;
            continue;
        }
        x->on_watch_list = false;
        g_ptr_array_remove_index_fast(m->watch_list, i);
    }
}

/* Runs timers and sends what is due; called every MEMBERSHIP_TICK_MS. After a
   pause of this process, the silence of other members is not taken as a
   failure. */
void
membership_tick(struct membership *m, clock_ms now)
{
    if (now - m->last_tick > PAUSE_THRESHOLD_MS) {
        m->counters.resumes++;
        for (unsigned i = 0; i < m->members->len; i++) {
            struct member *x = m->members->pdata[i];

            x->last_heard = now;
            x->probing = false;
            if (x->phase == MEMBER_SUSPECT) {
                x->deadline = now + suspicion_timeout_ms(m);
            }
        }
        m->last_success = now;
        m->next_send = now;
        m->quorum_since = CLOCK_NEVER;
    }
    m->last_tick = now;
    watch_list_tick(m, now);
    membership_send_due(m, now);
    if (!membership_has_quorum(m, now)) {
        m->quorum_since = CLOCK_NEVER;
    }
    else if (m->quorum_since == CLOCK_NEVER) {
        m->quorum_since = now;
    }
}

/* Handles the outcome of a heartbeat call. answer is NULL if the call failed
   or timed out. */
void
membership_on_heartbeat_answer(struct membership *m, clock_ms now,
                               uint32_t from, const peer_heartbeat *answer)
{
    struct member *x = membership_find(m, from);

    membership_answer_probes(m, now, from, answer != NULL);
    if (!answer) {
        if (x && !membership_is_full_mesh(m) && x->phase < MEMBER_SUSPECT &&
            !x->probing) {
            membership_start_probing(m, now, x);
        }
        return;
    }
    m->last_success = now;
    for (unsigned i = 0; i < answer->updates.updates_len; i++) {
        const peer_update *u = &answer->updates.updates_val[i];

        membership_apply_report(m, now, u->id, u->incarnation,
                                (enum member_phase)u->phase, u->details);
    }
    x = membership_find(m, from);
    if (!x || x == m->self) {
        return;
    }
    membership_apply_report(m, now, from, answer->incarnation,
                            (enum member_phase)answer->phase, NULL);
    if (answer->name[0] != '\0') {
        char *address = g_strdup(x->address);
        membership_set_details(m, x, answer->name, answer->domain, address);
        g_free(address);
    }
    x->last_heard = now;
    x->last_exchange = now;
    x->probing = false;
    x->has_our_details = true;
    x->tickets = answer->tickets;
    x->view_hash = answer->view_hash;
    m->view_mismatches =
        answer->view_hash == m->view_hash ? 0 : m->view_mismatches + 1;
}

/* Handles the outcome of a probe that another member sent on behalf of this
   one. */
void
membership_on_probe_answer(struct membership *m, clock_ms now, uint32_t target,
                           bool reached)
{
    struct member *x = membership_find(m, target);

    if (!x || !x->probing) {
        return;
    }
    if (reached) {
        x->last_heard = now;
        x->probing = false;
        return;
    }
    if (x->probes_open > 0 && --x->probes_open == 0 &&
        !membership_is_full_mesh(m)) {
        raise_suspicion(m, now, x);
    }
}
