#include "failover/members.h"

#include <glib.h>

/* Copies domains, the failure domain of each member. Single entries or domains
   itself may be NULL. */
void
members_init(struct members *m, int count, const char *const *domains)
{
    *m = (struct members){.count = count};
    for (int i = 0; i < count; i++) {
        m->view[i].domain = g_strdup(domains != NULL ? domains[i] : NULL);
        m->view[i].answered_probe_sent_at = -1;
        m->view[i].not_following_since = -1;
    }
}

void
members_clear(struct members *m)
{
    for (int i = 0; i < m->count; i++) {
        g_free(m->view[i].domain);
        m->view[i].domain = NULL;
    }
}

int
members_majority_size(const struct members *m)
{
    return m->count / 2 + 1;
}

/* Records a probe in flight. If all slots are in use, the oldest probe is
   dropped and its answer will be ignored. */
void
members_probe_sent(struct members *m, int i, uint64_t call_id, clock_ms now)
{
    struct member_view *v = &m->view[i];
    struct probe_slot *slot = &v->probe_slots[0];

    for (int k = 0; k < FAILOVER_PROBE_SLOTS; k++) {
        if (v->probe_slots[k].call_id == 0) {
            slot = &v->probe_slots[k];
            break;
        }
        if (v->probe_slots[k].sent_at < slot->sent_at) {
            slot = &v->probe_slots[k];
        }
    }
    *slot = (struct probe_slot){.call_id = call_id, .sent_at = now};
}

/* Frees the slot of a probe and returns its send time, or -1 if there is none:
   the probe was answered before, has expired or dates from before a pause. */
static clock_ms
take_slot(struct member_view *v, uint64_t call_id)
{
    for (int k = 0; k < FAILOVER_PROBE_SLOTS; k++) {
        if (call_id != 0 && v->probe_slots[k].call_id == call_id) {
            v->probe_slots[k].call_id = 0;
            return v->probe_slots[k].sent_at;
        }
    }
    return -1;
}

/* Stores the answer to a probe and resets the count of failures. Returns false
   and stores nothing if the probe is not in flight or was sent before that of
   the stored answer. */
bool
members_record_answer(struct members *m, int i, uint64_t call_id,
                      const struct failover_probe_answer *answer)
{
    struct member_view *v = &m->view[i];
    const clock_ms sent = take_slot(v, call_id);

    if (sent < 0 || sent < v->answered_probe_sent_at) {
        return false;
    }
    /* A member's sealed term never decreases. An answer sent before a granted
       seal may arrive after it and must not lower the value. */
    const uint64_t sealed = MAX(v->last_answer.sealed, answer->sealed);
    v->last_answer = *answer;
    v->last_answer.sealed = sealed;
    v->answered_probe_sent_at = sent;
    v->consecutive_failures = 0;
    return true;
}

/* Counts a failed probe. Returns false and counts nothing if the probe is not
   in flight or was sent before that of the stored answer. */
bool
members_record_failure(struct members *m, int i, uint64_t call_id)
{
    struct member_view *v = &m->view[i];
    const clock_ms sent = take_slot(v, call_id);

    if (sent < 0 || sent < v->answered_probe_sent_at) {
        return false;
    }
    v->consecutive_failures++;
    return true;
}

/* Counts as failed every probe of the member without an answer after
   timeout_ms. */
void
members_expire_probes(struct members *m, int i, clock_ms now,
                      int64_t timeout_ms)
{
    struct member_view *v = &m->view[i];

    for (int k = 0; k < FAILOVER_PROBE_SLOTS; k++) {
        if (v->probe_slots[k].call_id != 0 &&
            now - v->probe_slots[k].sent_at >= timeout_ms) {
            (void)members_record_failure(m, i, v->probe_slots[k].call_id);
        }
    }
}

bool
members_has_probe_in_flight(const struct members *m, int i)
{
    for (int k = 0; k < FAILOVER_PROBE_SLOTS; k++) {
        if (m->view[i].probe_slots[k].call_id != 0) {
            return true;
        }
    }
    return false;
}

/* Drops all probes in flight, resets the counts of failures and makes all
   probes due. Called after a pause of this process, as timeouts during the
   pause say nothing about the members. */
void
members_reset_probes(struct members *m)
{
    for (int i = 0; i < m->count; i++) {
        for (int k = 0; k < FAILOVER_PROBE_SLOTS; k++) {
            m->view[i].probe_slots[k].call_id = 0;
        }
        m->view[i].consecutive_failures = 0;
        m->view[i].probe_due = 0;
    }
}

/* Returns whether the last answer is to a probe sent at or after since. */
bool
members_has_fresh_answer(const struct members *m, int i, clock_ms since)
{
    return m->view[i].answered_probe_sent_at >= 0 &&
           m->view[i].answered_probe_sent_at >= since;
}

int
members_count_fresh_answers(const struct members *m, clock_ms since)
{
    int n = 0;

    for (int i = 0; i < m->count; i++) {
        n += members_has_fresh_answer(m, i, since) ? 1 : 0;
    }
    return n;
}

/* Counts the members that have sealed a term above term. Answers of any age
   count, since a sealed term never decreases. */
int
members_count_sealed_above(const struct members *m, uint64_t term)
{
    int n = 0;

    for (int i = 0; i < m->count; i++) {
        n += m->view[i].last_answer.sealed > term ? 1 : 0;
    }
    return n;
}

/* Returns the highest term of all members, followed or sealed; 0 if none is
   known. */
uint64_t
members_highest_term(const struct members *m)
{
    uint64_t term = 0;

    for (int i = 0; i < m->count; i++) {
        term = MAX(term, m->view[i].last_answer.term);
        term = MAX(term, m->view[i].last_answer.sealed);
    }
    return term;
}

/* Returns whether a majority, the primary included, has heard from the primary
   of the highest term within bound_ms, by answers to probes sent at or after
   since. That term is the highest among these answers and known_term. Members
   that sealed a higher term cannot acknowledge its writes and do not count.
   All members without an answer together count as one, because the primary may
   be among them. */
bool
members_majority_hears_primary(const struct members *m, clock_ms since,
                               uint64_t known_term, int64_t bound_ms)
{
    uint64_t term = known_term;
    int hearing = 0;
    bool unanswered = false;

    for (int i = 0; i < m->count; i++) {
        if (members_has_fresh_answer(m, i, since)) {
            term = MAX(term, m->view[i].last_answer.term);
        }
    }
    for (int i = 0; i < m->count; i++) {
        const struct failover_probe_answer *p = &m->view[i].last_answer;

        if (!members_has_fresh_answer(m, i, since)) {
            unanswered = unanswered || p->sealed <= term;
        }
        else if (p->term == term && p->sealed <= term &&
                 (p->role == FAILOVER_ROLE_PRIMARY ||
                  p->silence_ms <= bound_ms)) {
            hearing++;
        }
    }
    return hearing + (unanswered ? 1 : 0) >= members_majority_size(m);
}
