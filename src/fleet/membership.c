#include "fleet/membership_internal.h"

/* A gap between ticks of this length means that the process was paused. */
#define PAUSE_THRESHOLD_MS 1000

/* Returns the name of a phase for tables and logs. */
const char *
member_phase_name(enum member_phase p)
{
    static const char *const names[] = {"live", "leaving", "suspect", "dead"};

    return (unsigned)p < G_N_ELEMENTS(names) ? names[p] : "unknown";
}

/* Tells whether everyone sends to everyone. */
bool
membership_is_full_mesh(const struct membership *m)
{
    return m->members->len <= MEMBERSHIP_FULL_MESH_MAX;
}

/* Puts a member under the eyes of the tick. */
static void
watch_list_add(struct membership *m, struct member *x)
{
    if (!x->on_watch_list) {
        x->on_watch_list = true;
        g_ptr_array_add(m->watch_list, x);
    }
}

/* Returns how long a suspicion stands before the member is called dead. In a
   fleet it has to reach the suspect and its refutation has to come back,
   which takes rounds that grow with the logarithm of the members. */
static clock_ms
suspicion_timeout_ms(const struct membership *m)
{
    if (membership_is_full_mesh(m)) {
        return MEMBERSHIP_DEAD_MS - MEMBERSHIP_SUSPECT_MS;
    }
    return MEMBERSHIP_DEAD_MS +
           (clock_ms)g_bit_storage(m->members->len) * MEMBERSHIP_ROUND_MS / 2;
}

/* Changes phase and incarnation and spreads that. */
void
membership_set_state(struct membership *m, clock_ms now, struct member *x,
                     uint32_t incarnation, enum member_phase phase)
{
    enum member_phase before = (enum member_phase)x->phase;

    uint64_t view = m->view;
    m->view ^= membership_member_hash(x);
    bool known = x->incarnation != 0 || !x->listed;
    if (incarnation != x->incarnation) {
        x->has_our_details = false;
    }
    membership_adjust_dead_counts(m, x, -1);
    x->incarnation = incarnation;
    x->phase = (uint8_t)phase;
    membership_adjust_dead_counts(m, x, 1);
    m->view ^= membership_member_hash(x);
    if (m->view != view) {
        membership_view_changed(m);
    }
    /* The first sign of a listed member is no news to others. */
    if (before != MEMBER_LIVE || phase != MEMBER_LIVE || known) {
        membership_queue_update(m, x);
    }
    x->probing = false;
    if (phase == MEMBER_SUSPECT) {
        x->deadline = now + suspicion_timeout_ms(m);
        watch_list_add(m, x);
    }
    if (phase == MEMBER_LIVE || phase == MEMBER_LEAVING) {
        x->heard = now;
    }
    if (phase == MEMBER_DEAD) {
        m->counters.deaths++;
    }
    membership_notify(m, x, before);
}

/* Answers a false report about this member with a higher incarnation. A
   report that the VM list marks it as leaving is taken over. */
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

/* Takes a report about a member. It counts when its incarnation is higher, or
   equal with a later phase. A member that is not known is added when the
   report describes it and it is up. */
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
/* Asks others to try a member that did not answer. Sets probe_wanted while
   the budget allowed no probe although there is someone to ask. */
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
                   : MEMBERSHIP_PROBE_CALL_MS);
}

#endif

/* Begins to check a member through others before it is called suspect. */
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

/* Calls x suspect, unless this member itself seems to be cut off. */
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

/* Ends probing and suspicions whose time is over. */
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
            /* A member that still talks to us is only late to refute. */
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

/* Does what time asks for; called every MEMBERSHIP_TICK_MS. After a pause of
   this process nobody is blamed for the silence. */
void
membership_tick(struct membership *m, clock_ms now)
{
    if (now - m->last_tick > PAUSE_THRESHOLD_MS) {
        m->counters.resumes++;
        for (unsigned i = 0; i < m->members->len; i++) {
            struct member *x = m->members->pdata[i];

            x->heard = now;
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

/* Takes the outcome of a heartbeat call: the answer, or NULL when there was
   none in time. */
void
membership_on_answer(struct membership *m, clock_ms now, uint32_t from,
                     const peer_heartbeat *answer)
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
    x->heard = now;
    x->last_exchange = now;
    x->probing = false;
    x->has_our_details = true;
    x->tickets = answer->tickets;
    x->view = answer->view;
    m->view_mismatches = answer->view == m->view ? 0 : m->view_mismatches + 1;
}

/* Takes the outcome of one probe through another member. */
void
membership_on_probe_answer(struct membership *m, clock_ms now, uint32_t target,
                           bool reached)
{
    struct member *x = membership_find(m, target);

    if (!x || !x->probing) {
        return;
    }
    if (reached) {
        x->heard = now;
        x->probing = false;
        return;
    }
    if (x->probes_open > 0 && --x->probes_open == 0 &&
        !membership_is_full_mesh(m)) {
        raise_suspicion(m, now, x);
    }
}
