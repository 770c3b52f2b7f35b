#include "failover/round.h"

#include <string.h>

/* FAILOVER_BREAK is set only by test builds, to show that the checks in
   tests/failover detect the fault: 1 ignores terms and positions when choosing
   the primary, 2 accepts a single sealed member as a majority, 3 accepts
   answers of earlier rounds. */
#ifndef FAILOVER_BREAK
#define FAILOVER_BREAK 0
#endif

/* Returns the lowest term with this proxy's id whose upper bits exceed those
   of highest, the highest term seen. */
uint64_t
round_next_term(uint64_t highest, uint32_t proxy_id)
{
    const uint64_t number = (highest >> FAILOVER_PROXY_ID_BITS) + 1;

    return number << FAILOVER_PROXY_ID_BITS | proxy_id;
}

/* Resets r for a new round. Answers to calls of the previous round will no
   longer match. */
void
round_start(struct round *r, uint64_t term, clock_ms now, int64_t timeout_ms)
{
    memset(r, 0, sizeof(*r));
    r->term = term;
    r->preferred = FAILOVER_NO_MEMBER;
    r->seal_first = FAILOVER_NO_MEMBER;
    r->replaced_primary = FAILOVER_NO_MEMBER;
    r->excluded = FAILOVER_NO_MEMBER;
    r->chosen = FAILOVER_NO_MEMBER;
    r->started_at = now;
    r->deadline = now + timeout_ms;
    r->majority_at = -1;
}

/* Returns whether call_id is the seal call in flight to the member, and marks
   that call as answered. */
bool
round_match_seal_answer(struct round *r, int member, uint64_t call_id)
{
#if FAILOVER_BREAK == 3
    (void)call_id;
    r->seal_call_id[member] = 0;
    return true;
#else
    if (call_id == 0 || r->seal_call_id[member] != call_id) {
        return false;
    }
    r->seal_call_id[member] = 0;
    return true;
#endif
}

/* Returns whether call_id is the promote call in flight, and marks that call
   as answered. */
bool
round_match_promote_answer(struct round *r, uint64_t call_id)
{
#if FAILOVER_BREAK == 3
    (void)call_id;
    r->promote_call_id = 0;
    return true;
#else
    if (call_id == 0 || r->promote_call_id != call_id) {
        return false;
    }
    r->promote_call_id = 0;
    return true;
#endif
}

/* Records a granted seal, except that of the excluded member. This is a
   primary that its replicas do not hear: its unacknowledged entries would make
   it the most advanced member, and if promoted again it still could not
   acknowledge anything. */
void
round_record_grant(struct round *r, int member, uint64_t term,
                   uint64_t position)
{
    if (member == r->excluded) {
        return;
    }
    r->grants[member] = (struct seal_grant){
        .granted = true,
        .term = term,
        .position = position,
    };
}

int
round_count_grants(const struct round *r, const struct members *m)
{
    int n = 0;

    for (int i = 0; i < m->count; i++) {
        n += r->grants[i].granted ? 1 : 0;
    }
    return n;
}

/* Returns whether a majority is sealed. From then on the primary of the old
   term can acknowledge no write, and every acknowledged entry is in the log of
   at least one sealed member. */
bool
round_has_majority(const struct round *r, const struct members *m)
{
#if FAILOVER_BREAK == 2
    return round_count_grants(r, m) >= 1;
#else
    return round_count_grants(r, m) >= members_majority_size(m);
#endif
}

/* Returns whether a seal call is unanswered at a member that answered its last
   probe. That member may turn out to be the more advanced one. */
bool
round_awaits_seal_answer(const struct round *r, const struct members *m)
{
    for (int i = 0; i < m->count; i++) {
        if (r->seal_call_id[i] != 0 && m->view[i].consecutive_failures == 0) {
            return true;
        }
    }
    return false;
}

/* Returns whether the member is in the failure domain of the replaced primary,
   and so may be about to fail too. */
static bool
shares_domain(const struct round *r, const struct members *m, int i)
{
    return r->replaced_primary != FAILOVER_NO_MEMBER &&
           i != r->replaced_primary && m->view[i].domain != NULL &&
           m->view[r->replaced_primary].domain != NULL &&
           strcmp(m->view[i].domain, m->view[r->replaced_primary].domain) == 0;
}

/* Returns whether member a is preferred to b as the new primary. Comparing
   term and position is required for safety; the remaining rules only choose
   between equally advanced members. */
static bool
better(const struct round *r, const struct members *m, int a, int b)
{
#if FAILOVER_BREAK != 1
    if (r->grants[a].term != r->grants[b].term) {
        return r->grants[a].term > r->grants[b].term;
    }
    if (r->grants[a].position != r->grants[b].position) {
        return r->grants[a].position > r->grants[b].position;
    }
#endif
    if (m->view[a].leaving != m->view[b].leaving) {
        return !m->view[a].leaving;
    }
    if ((a == r->preferred) != (b == r->preferred)) {
        return a == r->preferred;
    }
    if (shares_domain(r, m, a) != shares_domain(r, m, b)) {
        return shares_domain(r, m, b);
    }
    if (m->view[a].last_answer.rtt_us != m->view[b].last_answer.rtt_us) {
        return m->view[a].last_answer.rtt_us < m->view[b].last_answer.rtt_us;
    }
    return a < b;
}

/* Returns the sealed member to promote, or FAILOVER_NO_MEMBER if none is. */
int
round_choose_primary(const struct round *r, const struct members *m)
{
    int best = FAILOVER_NO_MEMBER;

    for (int i = 0; i < m->count; i++) {
        if (!r->grants[i].granted) {
            continue;
        }
        if (best == FAILOVER_NO_MEMBER || better(r, m, i, best)) {
            best = i;
        }
    }
    return best;
}
