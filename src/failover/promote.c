#include <glib.h>
#include <string.h>

#include "failover/machine.h"

/* Promote calls per round. The call is idempotent, and a further loss is left
   to the next round. */
#define PROMOTES_MAX 3

/* Sends the seal of this round to one member. */
static void
send_seal(struct failover *f, int member)
{
    const uint64_t call = machine_next_call(f);

    f->round.seal_call[member] = call;
    f->act->seal(f->ctx, member, f->round.term, call);
}

/* Seals every member that was not sealed yet. */
static void
seal_rest(struct failover *f)
{
    const int first = f->round.seal_first;

    f->round.seal_first = FAILOVER_NOBODY;
    for (int i = 0; i < f->members.count; i++) {
        if (i != first) {
            send_seal(f, i);
        }
    }
}

/* Starts a round with a new term. preferred wins among equally advanced
   members. seal_first, when given, is the old primary of a planned switch:
   sealing it ahead lets the entries that it has sent reach the replicas. */
void
promote_begin(struct failover *f, int preferred, int seal_first)
{
    const uint64_t highest =
        MAX(members_highest_term(&f->members), MAX(f->term, f->round.term));
    const uint64_t term = round_next_term(highest, f->proxy_id);

    f->counters.rounds_started++;
    round_start(&f->round, term, f->now, f->set.call_timeout_ms);
    f->round.preferred = preferred;
    f->round.lost = f->leader;
    if (watch_lost_quorum(f)) {
        f->round.excluded = f->leader;
    }
    f->state = FAILOVER_SEALING;
    machine_note(f, LOG_LEVEL_NOTICE, "seal", FAILOVER_NOBODY,
                 "sealing term %llu", (unsigned long long)term);
    machine_announce(f, FAILOVER_NOBODY, f->term);
    if (seal_first == FAILOVER_NOBODY) {
        seal_rest(f);
        return;
    }
    f->round.seal_first = seal_first;
    send_seal(f, seal_first);
}

/* Gives up the round and waits a random time, so that competing promoters
   part ("full jitter": uniform between 0 and a bound that doubles). */
void
promote_fail(struct failover *f, const char *why)
{
    int64_t bound = f->set.backoff_base_ms;
    int64_t wait = f->set.simple_retry_ms;

    f->counters.rounds_failed++;
    for (int i = 0; i < f->attempts && bound < f->set.backoff_cap_ms; i++) {
        bound *= 2;
    }
    bound = MIN(bound, f->set.backoff_cap_ms);
    f->attempts++;
    if (f->set.policy == FAILOVER_POLICY_STAGGERED) {
        wait = (int64_t)rng_below(f->rng, (uint64_t)bound + 1);
    }
    machine_note(f, LOG_LEVEL_WARNING, "round", f->round.chosen,
                 "term %llu not completed: %s; next attempt in %lld ms",
                 (unsigned long long)f->round.term, why, (long long)wait);
    f->own_hold = false;
    machine_update_hold(f);
    watch_suspect(f, 0);
    f->suspect_due = f->now + wait;
}

/* Tells one member to follow the announced primary. */
void
promote_follow(struct failover *f, int member)
{
    const uint64_t call = machine_next_call(f);

    f->follow_call[member] = call;
    f->members.view[member].follow_due = f->now + f->set.follow_retry_ms;
    f->act->follow(f->ctx, member, f->term, f->primary, call);
}

/* Announces the promoted member and sends the others to it. */
void
promote_complete(struct failover *f)
{
    f->counters.rounds_completed++;
    watch_adopt(f, f->round.chosen, f->round.term);
    f->state = FAILOVER_FOLLOWING;
    f->following_until = f->now + f->set.call_timeout_ms;
    for (int i = 0; i < f->members.count; i++) {
        if (i != f->primary) {
            promote_follow(f, i);
        }
    }
}

/* Sends the promotion of the chosen member. */
static void
send_promote(struct failover *f)
{
    struct round *r = &f->round;

    r->promote_call = machine_next_call(f);
    r->promotes++;
    r->checking = false;
    r->deadline = f->now + f->set.call_timeout_ms;
    f->act->promote(f->ctx, r->chosen, r->term, r->promote_call);
}

/* Waits for a majority of seals and a little longer for the rest, then
   promotes the most advanced member. */
void
promote_seal_step(struct failover *f)
{
    struct round *r = &f->round;

    if (r->seal_first != FAILOVER_NOBODY) {
        if (r->seal_call[r->seal_first] != 0 &&
            f->now < r->started + f->set.seal_grace_ms) {
            return;
        }
        seal_rest(f);
        return;
    }
    if (!round_has_majority(r, &f->members)) {
        bool pending = false;
        for (int i = 0; i < f->members.count; i++) {
            pending = pending || r->seal_call[i] != 0;
        }
        if (!pending || f->now >= r->deadline) {
            promote_fail(f, "no majority could be sealed");
        }
        return;
    }
    if (r->majority_at < 0) {
        r->majority_at = f->now;
    }
    if (round_waits(r, &f->members) &&
        f->now < r->majority_at + f->set.seal_grace_ms) {
        return;
    }
    r->chosen = round_choose(r, &f->members);
    f->state = FAILOVER_PROMOTING;
    machine_note(f, LOG_LEVEL_NOTICE, "promote", r->chosen,
                 "promoting for term %llu", (unsigned long long)r->term);
    send_promote(f);
}

/* Asks the chosen member what the promotion did after its answer was lost. */
void
promote_lost_answer(struct failover *f)
{
    f->round.promote_call = 0;
    f->round.checking = true;
    f->round.deadline = f->now + f->set.call_timeout_ms;
    machine_note(f, LOG_LEVEL_NOTICE, "promote", f->round.chosen,
                 "no answer; asking the member for its state");
    watch_probe(f, f->round.chosen);
}

/* Decides by the state of the chosen member, which is not the primary of this
   round yet. */
void
promote_check(struct failover *f)
{
    const struct failover_probe *p = &f->members.view[f->round.chosen].last;

    if (p->sealed > f->round.term) {
        promote_fail(f, "a higher term was sealed");
        return;
    }
    if (!f->round.checking) {
        return;
    }
    if (f->round.promotes >= PROMOTES_MAX) {
        promote_fail(f, "the promotion does not take effect");
        return;
    }
    send_promote(f);
}

/* Watches the time of a promotion. */
void
promote_step(struct failover *f)
{
    if (f->now < f->round.deadline) {
        return;
    }
    if (f->round.checking) {
        promote_fail(f, "the promoted member does not answer");
        return;
    }
    promote_lost_answer(f);
}
