#include "failover/round.h"

#include <string.h>

/* FAILOVER_BREAK is set only by the test build, to show that the checks in
   tests/failover/ notice the fault: 1 chooses without comparing positions,
   2 seals a single member, 3 accepts answers of earlier rounds. */
#ifndef FAILOVER_BREAK
#define FAILOVER_BREAK 0
#endif

/* Returns the lowest term of this proxy above every term seen. */
uint64_t
round_next_term(uint64_t highest, uint32_t proxy_id)
{
    const uint64_t number = (highest >> FAILOVER_ID_BITS) + 1;

    return number << FAILOVER_ID_BITS | proxy_id;
}

/* Begins a round; all answers of the round before become late. */
void
round_start(struct round *r, uint64_t term, clock_ms now, int64_t timeout_ms)
{
    memset(r, 0, sizeof(*r));
    r->term = term;
    r->preferred = FAILOVER_NOBODY;
    r->seal_first = FAILOVER_NOBODY;
    r->lost = FAILOVER_NOBODY;
    r->excluded = FAILOVER_NOBODY;
    r->chosen = FAILOVER_NOBODY;
    r->started = now;
    r->deadline = now + timeout_ms;
    r->majority_at = -1;
}

/* Returns whether the answer belongs to the seal call in flight. */
bool
round_take_seal(struct round *r, int member, uint64_t call)
{
#if FAILOVER_BREAK == 3
    (void)call;
    r->seal_call[member] = 0;
    return true;
#else
    if (call == 0 || r->seal_call[member] != call) {
        return false;
    }
    r->seal_call[member] = 0;
    return true;
#endif
}

/* Returns whether the answer belongs to the promote call in flight. */
bool
round_take_promote(struct round *r, uint64_t call)
{
#if FAILOVER_BREAK == 3
    (void)call;
    r->promote_call = 0;
    return true;
#else
    if (call == 0 || r->promote_call != call) {
        return false;
    }
    r->promote_call = 0;
    return true;
#endif
}

/* Stores a granted seal. A primary that its replicas do not hear is sealed but
   not counted: its unacknowledged entries would make it the most advanced
   member, and promoted again it could still acknowledge nothing. */
void
round_grant(struct round *r, int member, uint64_t term, uint64_t position)
{
    if (member == r->excluded) {
        return;
    }
    r->grants[member] = (struct grant){
        .granted = true,
        .term = term,
        .position = position,
    };
}

/* Counts the granted seals. */
int
round_grants(const struct round *r, const struct members *m)
{
    int n = 0;

    for (int i = 0; i < m->count; i++) {
        n += r->grants[i].granted ? 1 : 0;
    }
    return n;
}

/* Returns whether enough members are sealed that the old term can acknowledge
   nothing more and every acknowledged entry is on one of them. */
bool
round_has_majority(const struct round *r, const struct members *m)
{
#if FAILOVER_BREAK == 2
    return round_grants(r, m) >= 1;
#else
    return round_grants(r, m) >= members_majority(m);
#endif
}

/* Returns whether a member that answered its last probe still owes the answer
   to its seal, so that a better choice may come. */
bool
round_waits(const struct round *r, const struct members *m)
{
    for (int i = 0; i < m->count; i++) {
        if (r->seal_call[i] != 0 && m->view[i].failures == 0) {
            return true;
        }
    }
    return false;
}

/* Returns whether the member shares the failure domain of the lost primary,
   and so possibly its fate. */
static bool
shares_domain(const struct round *r, const struct members *m, int i)
{
    return r->lost != FAILOVER_NOBODY && i != r->lost &&
           m->view[i].domain != NULL && m->view[r->lost].domain != NULL &&
           strcmp(m->view[i].domain, m->view[r->lost].domain) == 0;
}

/* Returns whether member a is a better primary than b. Only the first
   comparison concerns safety; the rest decides between equals. */
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
    if (m->view[a].last.rtt_us != m->view[b].last.rtt_us) {
        return m->view[a].last.rtt_us < m->view[b].last.rtt_us;
    }
    return a < b;
}

/* Returns the member to promote among the sealed ones, or FAILOVER_NOBODY. */
int
round_choose(const struct round *r, const struct members *m)
{
    int best = FAILOVER_NOBODY;

    for (int i = 0; i < m->count; i++) {
        if (!r->grants[i].granted) {
            continue;
        }
        if (best == FAILOVER_NOBODY || better(r, m, i, best)) {
            best = i;
        }
    }
    return best;
}
