#include "failover/members.h"

#include <glib.h>

/* Starts with no knowledge of count members. domains may hold NULL. */
void
members_init(struct members *m, int count, const char *const *domains)
{
    *m = (struct members){.count = count};
    for (int i = 0; i < count; i++) {
        m->view[i].domain = g_strdup(domains != NULL ? domains[i] : NULL);
        m->view[i].answered_sent = -1;
        m->view[i].stray_since = -1;
    }
}

/* Frees what the views own. */
void
members_clear(struct members *m)
{
    for (int i = 0; i < m->count; i++) {
        g_free(m->view[i].domain);
        m->view[i].domain = NULL;
    }
}

/* Returns how many members make a majority of the whole list. */
int
members_majority(const struct members *m)
{
    return m->count / 2 + 1;
}

/* Records a probe in flight. The oldest record gives way when all are taken;
   its answer will then be ignored. */
void
members_sent(struct members *m, int i, uint64_t call, clock_ms now)
{
    struct member_view *v = &m->view[i];
    struct probe_slot *slot = &v->slots[0];

    for (int k = 0; k < FAILOVER_PROBE_SLOTS; k++) {
        if (v->slots[k].call == 0) {
            slot = &v->slots[k];
            break;
        }
        if (v->slots[k].sent < slot->sent) {
            slot = &v->slots[k];
        }
    }
    *slot = (struct probe_slot){.call = call, .sent = now};
}

/* Frees the record of a call and returns its send time, or -1 when the call
   is unknown: answered before, expired, or from before a pause. */
static clock_ms
take_slot(struct member_view *v, uint64_t call)
{
    for (int k = 0; k < FAILOVER_PROBE_SLOTS; k++) {
        if (call != 0 && v->slots[k].call == call) {
            v->slots[k].call = 0;
            return v->slots[k].sent;
        }
    }
    return -1;
}

/* Stores an answer unless it is late or older than the one already stored.
   Returns whether it was stored. */
bool
members_answer(struct members *m, int i, uint64_t call,
               const struct failover_probe *answer)
{
    struct member_view *v = &m->view[i];
    const clock_ms sent = take_slot(v, call);

    if (sent < 0 || sent < v->answered_sent) {
        return false;
    }
    /* A sealed term never goes down, so an answer that was overtaken by a
       granted seal must not lower it here. */
    const uint64_t sealed = MAX(v->last.sealed, answer->sealed);
    v->last = *answer;
    v->last.sealed = sealed;
    v->answered_sent = sent;
    v->failures = 0;
    return true;
}

/* Counts a failed probe. A failure of a probe that is older than the newest
   answer says nothing. Returns whether it was counted. */
bool
members_fail(struct members *m, int i, uint64_t call)
{
    struct member_view *v = &m->view[i];
    const clock_ms sent = take_slot(v, call);

    if (sent < 0 || sent < v->answered_sent) {
        return false;
    }
    v->failures++;
    return true;
}

/* Counts every probe that is older than the timeout as failed. */
void
members_expire(struct members *m, int i, clock_ms now, int64_t timeout_ms)
{
    struct member_view *v = &m->view[i];

    for (int k = 0; k < FAILOVER_PROBE_SLOTS; k++) {
        if (v->slots[k].call != 0 && now - v->slots[k].sent >= timeout_ms) {
            (void)members_fail(m, i, v->slots[k].call);
        }
    }
}

/* Returns whether a probe of the member is unanswered. */
bool
members_in_flight(const struct members *m, int i)
{
    for (int k = 0; k < FAILOVER_PROBE_SLOTS; k++) {
        if (m->view[i].slots[k].call != 0) {
            return true;
        }
    }
    return false;
}

/* Drops all probes in flight and all counted failures. Used after a pause of
   this process, whose timeouts say nothing about the members. */
void
members_forget_calls(struct members *m)
{
    for (int i = 0; i < m->count; i++) {
        for (int k = 0; k < FAILOVER_PROBE_SLOTS; k++) {
            m->view[i].slots[k].call = 0;
        }
        m->view[i].failures = 0;
        m->view[i].probe_due = 0;
    }
}

/* Returns whether the newest answer was asked for at or after since. */
bool
members_fresh(const struct members *m, int i, clock_ms since)
{
    return m->view[i].answered_sent >= 0 && m->view[i].answered_sent >= since;
}

/* Counts the members with a fresh answer. */
int
members_fresh_count(const struct members *m, clock_ms since)
{
    int n = 0;

    for (int i = 0; i < m->count; i++) {
        n += members_fresh(m, i, since) ? 1 : 0;
    }
    return n;
}

/* Counts the members known to have sealed a term above term. The age of the
   answers does not matter, since a sealed term never goes down. */
int
members_sealed_above(const struct members *m, uint64_t term)
{
    int n = 0;

    for (int i = 0; i < m->count; i++) {
        n += m->view[i].last.sealed > term ? 1 : 0;
    }
    return n;
}

/* Returns the highest term seen anywhere, sealed or in force. */
uint64_t
members_highest_term(const struct members *m)
{
    uint64_t term = 0;

    for (int i = 0; i < m->count; i++) {
        term = MAX(term, m->view[i].last.term);
        term = MAX(term, m->view[i].last.sealed);
    }
    return term;
}

/* Returns whether a majority is in contact with the primary of the highest
   term in force, judged by fresh answers. A member that did not answer may
   be that primary and counts as one; a member that sealed a higher term
   cannot acknowledge for it and does not count. */
bool
members_hear_primary(const struct members *m, clock_ms since,
                     uint64_t known_term, int64_t bound_ms)
{
    uint64_t term = known_term;
    int hearing = 0;
    bool unanswered = false;

    for (int i = 0; i < m->count; i++) {
        if (members_fresh(m, i, since)) {
            term = MAX(term, m->view[i].last.term);
        }
    }
    for (int i = 0; i < m->count; i++) {
        const struct failover_probe *p = &m->view[i].last;

        if (!members_fresh(m, i, since)) {
            unanswered = unanswered || p->sealed <= term;
        }
        else if (p->term == term && p->sealed <= term &&
                 (p->role == FAILOVER_ROLE_PRIMARY ||
                  p->silence_ms <= bound_ms)) {
            hearing++;
        }
    }
    return hearing + (unanswered ? 1 : 0) >= members_majority(m);
}
