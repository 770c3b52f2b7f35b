#include <glib.h>
#include <string.h>

#include "failover/failover_internal.h"

/* Promote calls per round, counting repeats after a lost answer; the call is
   idempotent. After that many the round fails and the next one tries again. */
#define PROMOTE_CALLS_MAX 3

static void
send_seal(struct failover *f, int member)
{
    const uint64_t call_id = failover_next_call_id(f);

    f->round.seal_call_id[member] = call_id;
    f->callbacks->seal(f->ctx, member, f->round.term, call_id);
}

/* Sends seal calls to all members except the one that was sealed first. */
static void
seal_remaining_members(struct failover *f)
{
    const int first = f->round.seal_first;

    f->round.seal_first = FAILOVER_NO_MEMBER;
    for (int i = 0; i < f->members.count; i++) {
        if (i != first) {
            send_seal(f, i);
        }
    }
}

/* Starts a round under a new term. preferred, or FAILOVER_NO_MEMBER, is
   promoted if no member is more advanced. seal_first, or FAILOVER_NO_MEMBER,
   is the old primary of a planned switch: it is sealed before the others so
   that the entries it has already sent still reach the replicas. */
void
promote_start_round(struct failover *f, int preferred, int seal_first)
{
    const uint64_t highest =
        MAX(members_highest_term(&f->members), MAX(f->term, f->round.term));
    const uint64_t term = round_next_term(highest, f->proxy_id);

    f->counters.rounds_started++;
    round_start(&f->round, term, f->now, f->params.call_timeout_ms);
    f->round.preferred = preferred;
    f->round.replaced_primary = f->known_primary;
    if (watch_primary_lost_quorum(f)) {
        f->round.excluded = f->known_primary;
    }
    f->state = FAILOVER_SEALING;
    failover_log(f, LOG_LEVEL_NOTICE, "seal", FAILOVER_NO_MEMBER,
                 "sealing members for term %llu", (unsigned long long)term);
    failover_announce_primary(f, FAILOVER_NO_MEMBER, f->term);
    if (seal_first == FAILOVER_NO_MEMBER) {
        seal_remaining_members(f);
        return;
    }
    f->round.seal_first = seal_first;
    send_seal(f, seal_first);
}

/* Abandons the round and schedules the next one after a random backoff, so
   that competing proxies do not collide again. The backoff uses full jitter:
   it is uniform between 0 and a bound that doubles with each failure. */
void
promote_fail_round(struct failover *f, const char *why)
{
    int64_t bound = f->params.backoff_base_ms;
    int64_t wait = f->params.simple_retry_ms;

    f->counters.rounds_failed++;
    for (int i = 0; i < f->failed_rounds && bound < f->params.backoff_cap_ms;
         i++) {
        bound *= 2;
    }
    bound = MIN(bound, f->params.backoff_cap_ms);
    f->failed_rounds++;
    if (f->params.policy == FAILOVER_POLICY_STAGGERED) {
        wait = (int64_t)rng_below(f->rng, (uint64_t)bound + 1);
    }
    failover_log(f, LOG_LEVEL_WARNING, "round", f->round.chosen,
                 "round of term %llu failed: %s; next attempt in %lld ms",
                 (unsigned long long)f->round.term, why, (long long)wait);
    f->own_write_hold = false;
    failover_update_write_hold(f);
    watch_enter_suspect(f, 0);
    f->round_due = f->now + wait;
}

/* Sends a follow call for the announced primary to one member. */
void
promote_send_follow(struct failover *f, int member)
{
    const uint64_t call_id = failover_next_call_id(f);

    f->follow_call_id[member] = call_id;
    f->members.view[member].follow_due = f->now + f->params.follow_retry_ms;
    f->callbacks->follow(f->ctx, member, f->term, f->announced_primary,
                         call_id);
}

/* Announces the promoted member as primary and tells the others to follow
   it. */
void
promote_complete_round(struct failover *f)
{
    f->counters.rounds_completed++;
    watch_adopt_primary(f, f->round.chosen, f->round.term);
    f->state = FAILOVER_FOLLOWING;
    f->following_until = f->now + f->params.call_timeout_ms;
    for (int i = 0; i < f->members.count; i++) {
        if (i != f->announced_primary) {
            promote_send_follow(f, i);
        }
    }
}

static void
send_promote(struct failover *f)
{
    struct round *r = &f->round;

    r->promote_call_id = failover_next_call_id(f);
    r->promote_calls_sent++;
    r->checking_promotion = false;
    r->deadline = f->now + f->params.call_timeout_ms;
    f->callbacks->promote(f->ctx, r->chosen, r->term, r->promote_call_id);
}

/* Timed step of SEALING: waits for a majority of seals and up to seal_grace_ms
   longer for the others, then promotes the most advanced sealed member. */
void
promote_sealing_step(struct failover *f)
{
    struct round *r = &f->round;

    if (r->seal_first != FAILOVER_NO_MEMBER) {
        if (r->seal_call_id[r->seal_first] != 0 &&
            f->now < r->started_at + f->params.seal_grace_ms) {
            return;
        }
        seal_remaining_members(f);
        return;
    }
    if (!round_has_majority(r, &f->members)) {
        bool pending = false;
        for (int i = 0; i < f->members.count; i++) {
            pending = pending || r->seal_call_id[i] != 0;
        }
        if (!pending || f->now >= r->deadline) {
            promote_fail_round(f, "no majority could be sealed");
        }
        return;
    }
    if (r->majority_at < 0) {
        r->majority_at = f->now;
    }
    if (round_awaits_seal_answer(r, &f->members) &&
        f->now < r->majority_at + f->params.seal_grace_ms) {
        return;
    }
    r->chosen = round_choose_primary(r, &f->members);
    f->state = FAILOVER_PROMOTING;
    failover_log(f, LOG_LEVEL_NOTICE, "promote", r->chosen,
                 "promoting the member to primary of term %llu",
                 (unsigned long long)r->term);
    send_promote(f);
}

/* Probes the chosen member after its answer to the promote call was lost. */
void
promote_handle_lost_answer(struct failover *f)
{
    f->round.promote_call_id = 0;
    f->round.checking_promotion = true;
    f->round.deadline = f->now + f->params.call_timeout_ms;
    failover_log(
        f, LOG_LEVEL_NOTICE, "promote", f->round.chosen,
        "no answer to the promote call; probing the state of the member");
    watch_probe(f, f->round.chosen);
}

/* Handles a probe answer of the chosen member by which it is not a working
   primary yet: fails the round, or repeats a promote call whose answer was
   lost. */
void
promote_handle_still_replica(struct failover *f)
{
    const struct failover_probe_answer *p =
        &f->members.view[f->round.chosen].last_answer;

    if (p->sealed > f->round.term) {
        promote_fail_round(f, "a higher term was sealed");
        return;
    }
    if (!f->round.checking_promotion) {
        return;
    }
    if (f->round.promote_calls_sent >= PROMOTE_CALLS_MAX) {
        promote_fail_round(f, "the member does not become primary");
        return;
    }
    send_promote(f);
}

/* Timed step of PROMOTING: handles the timeout of the promote call and of the
   probe that follows a lost answer. */
void
promote_promoting_step(struct failover *f)
{
    if (f->now < f->round.deadline) {
        return;
    }
    if (f->round.checking_promotion) {
        promote_fail_round(f, "the promoted member does not answer");
        return;
    }
    promote_handle_lost_answer(f);
}
