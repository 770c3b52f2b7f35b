#include <glib.h>

#include "failover/failover_internal.h"

/* During a planned switch a member is probed again as soon as it has answered,
   but at most this often, so that a replica that has caught up is noticed well
   within switch_limit_ms. */
#define SWITCH_PROBE_INTERVAL_MS 10

void
watch_probe(struct failover *f, int member)
{
    const uint64_t call_id = failover_next_call_id(f);

    members_probe_sent(&f->members, member, call_id, f->now);
    f->members.view[member].probe_due = f->now + f->params.probe_interval_ms;
    f->callbacks->probe(f->ctx, member, call_id);
}

void
watch_probe_all(struct failover *f)
{
    for (int i = 0; i < f->members.count; i++) {
        watch_probe(f, i);
    }
}

/* Sends the probes that are due. A proxy without a rank uses the longer
   observer_interval_ms while it knows a primary. */
void
watch_send_due_probes(struct failover *f)
{
    int64_t interval = f->params.probe_interval_ms;

    if (f->rank < 0 && f->state == FAILOVER_WATCHING) {
        interval = f->params.observer_interval_ms;
    }
    for (int i = 0; i < f->members.count; i++) {
        struct member_view *v = &f->members.view[i];
        const bool soon =
            f->state == FAILOVER_SWITCHING &&
            !members_has_probe_in_flight(&f->members, i) &&
            f->now >= v->answered_probe_sent_at + SWITCH_PROBE_INTERVAL_MS;
        if (soon || f->now >= v->probe_due) {
            watch_probe(f, i);
            v->probe_due = f->now + interval;
        }
    }
}

/* Accepts a member as the primary of term and announces it. If the member or
   its term is new, ends write holds and resets the retry state. The caller
   sets the next state. */
void
watch_adopt_primary(struct failover *f, int member, uint64_t term)
{
    const bool changed = member != f->known_primary || term != f->term;

    f->known_primary = member;
    f->primary_answered_at = f->now;
    if (changed || f->state != FAILOVER_SWITCHING) {
        f->own_write_hold = false;
    }
    if (changed) {
        f->primary_adopted_at = f->now;
        f->peer_write_hold_until = -1;
        f->failed_rounds = 0;
        f->switch_state.consecutive_failures = 0;
        for (int i = 0; i < f->members.count; i++) {
            f->members.view[i].not_following_since = -1;
            f->members.view[i].follow_due = 0;
        }
        failover_log(f, LOG_LEVEL_NOTICE, "primary", member,
                     "primary of term %llu", (unsigned long long)term);
    }
    failover_announce_primary(f, member, term);
    failover_update_write_hold(f);
}

/* Sets the earliest start of a round by this proxy: wait_ms from now plus the
   start delay of its rank. */
static void
schedule_round(struct failover *f, int64_t wait_ms)
{
    f->round_due = f->now + wait_ms + failover_start_delay_ms(f);
    f->highest_term_when_scheduled = members_highest_term(&f->members);
}

/* Enters SUSPECT: probes all members and schedules a round, wait_ms from now
   at the earliest. */
void
watch_enter_suspect(struct failover *f, int64_t wait_ms)
{
    f->state = FAILOVER_SUSPECT;
    f->suspect_since = f->now;
    f->confirm_logged = false;
    f->stranded_since = -1;
    schedule_round(f, wait_ms);
    watch_probe_all(f);
}

/* Announces that there is no primary, after a member's answer proved that the
   known one has been replaced or sealed, and enters SUSPECT. If another proxy
   has sealed a higher term, it first gets takeover_wait_ms to finish its
   round. */
void
watch_handle_primary_lost(struct failover *f, const char *why)
{
    const bool sealed = members_count_sealed_above(&f->members, f->term) >= 1;

    failover_log(f, LOG_LEVEL_WARNING, "lost", f->known_primary, "%s", why);
    f->counters.suspected++;
    f->own_write_hold = false;
    failover_announce_primary(f, FAILOVER_NO_MEMBER, f->term);
    failover_update_write_hold(f);
    if (f->params.policy == FAILOVER_POLICY_SIMPLE) {
        watch_enter_suspect(f, MAX(f->primary_answered_at +
                                       f->params.simple_timeout_ms - f->now,
                                   0));
        return;
    }
    watch_enter_suspect(f, sealed ? f->params.takeover_wait_ms : 0);
}

/* Returns whether the last answer of a member shows it as a working primary,
   not sealed by a majority and of no lower term than the known one. */
static bool
is_working_primary(const struct failover *f, int member)
{
    const struct failover_probe_answer *p =
        &f->members.view[member].last_answer;

    return p->role == FAILOVER_ROLE_PRIMARY && p->sealed <= p->term &&
           p->term >= f->term &&
           members_count_sealed_above(&f->members, p->term) <
               members_majority_size(&f->members);
}

/* Returns whether the known primary has lost contact to so many members that
   it can acknowledge no write, for example in a partition where only this
   proxy still reaches it. Always false for the first 2 * silence_bound_ms of a
   new primary, while members start to follow it. */
bool
watch_primary_lost_quorum(const struct failover *f)
{
    const clock_ms since =
        f->now - f->params.probe_interval_ms - f->params.probe_timeout_ms;
    int not_hearing = 0;

    if (f->known_primary == FAILOVER_NO_MEMBER ||
        f->now < f->primary_adopted_at + 2 * f->params.silence_bound_ms) {
        return false;
    }
    for (int i = 0; i < f->members.count; i++) {
        const struct failover_probe_answer *p =
            &f->members.view[i].last_answer;
        if (i != f->known_primary &&
            members_has_fresh_answer(&f->members, i, since) &&
            (p->term != f->term || p->sealed > f->term ||
             p->silence_ms > f->params.silence_bound_ms)) {
            not_hearing++;
        }
    }
    return f->members.count - not_hearing < members_majority_size(&f->members);
}

/* Handles a probe answer for which is_working_primary() holds: adopts the
   member unless a round in progress has a higher term, the answer is too old,
   or the primary has lost its quorum. */
static void
handle_primary_answer(struct failover *f, int member)
{
    const struct member_view *v = &f->members.view[member];
    const uint64_t term = v->last_answer.term;

    switch (f->state) {
    case FAILOVER_SEALING:
    case FAILOVER_PROMOTING:
        if (f->state == FAILOVER_PROMOTING && term == f->round.term) {
            promote_complete_round(f);
            return;
        }
        if (term < f->round.term) {
            return;
        }
        break;
    case FAILOVER_SUSPECT:
        if (v->answered_probe_sent_at < f->suspect_since ||
            (term == f->term && watch_primary_lost_quorum(f))) {
            return;
        }
        break;
    case FAILOVER_SWITCHING:
        if (term == f->term) {
            f->primary_answered_at = f->now;
            return;
        }
        break;
    case FAILOVER_WATCHING:
    case FAILOVER_FOLLOWING:
        if (term == f->term && watch_primary_lost_quorum(f)) {
            return;
        }
        break;
    }
    watch_adopt_primary(f, member, term);
    if (f->state != FAILOVER_FOLLOWING) {
        f->state = FAILOVER_WATCHING;
    }
}

/* Sends a follow call to a member that does not follow the known primary. The
   delay grows with the rank, so that normally only the proxy of the lowest
   rank sends it. */
static void
send_follow_if_needed(struct failover *f, int member)
{
    struct member_view *v = &f->members.view[member];
    const struct failover_probe_answer *p = &v->last_answer;

    if (f->announced_primary == FAILOVER_NO_MEMBER ||
        member == f->announced_primary || f->rank < 0 || p->sealed > f->term ||
        v->answered_probe_sent_at < f->primary_adopted_at ||
        (f->state != FAILOVER_WATCHING && f->state != FAILOVER_FOLLOWING)) {
        return;
    }
    if (p->term == f->term && p->role == FAILOVER_ROLE_REPLICA &&
        p->silence_ms <= 2 * f->params.silence_bound_ms) {
        v->not_following_since = -1;
        return;
    }
    if (v->not_following_since < 0) {
        v->not_following_since = f->now;
    }
    if (f->now - v->not_following_since >=
            f->rank * f->params.rank_stagger_ms &&
        f->now >= v->follow_due) {
        promote_send_follow(f, member);
    }
}

/* Handles the last answer of a member; called after each stored answer. */
void
watch_handle_probe_answer(struct failover *f, int member)
{
    const struct member_view *v = &f->members.view[member];
    const bool settled = f->state == FAILOVER_WATCHING ||
                         f->state == FAILOVER_FOLLOWING ||
                         f->state == FAILOVER_SWITCHING;

    if (is_working_primary(f, member)) {
        handle_primary_answer(f, member);
    }
    else if (settled && member == f->announced_primary &&
             v->answered_probe_sent_at >= f->primary_adopted_at) {
        watch_handle_primary_lost(
            f, "the primary reports that it is no longer the primary");
        return;
    }
    else if (f->state == FAILOVER_PROMOTING && member == f->round.chosen) {
        promote_handle_still_replica(f);
        return;
    }
    if (f->announced_primary != FAILOVER_NO_MEMBER && settled &&
        members_count_sealed_above(&f->members, f->term) >=
            members_majority_size(&f->members)) {
        watch_handle_primary_lost(f, "a majority has sealed a higher term");
        return;
    }
    send_follow_if_needed(f, member);
}

static bool
primary_failing(const struct failover *f)
{
    if (f->params.policy == FAILOVER_POLICY_SIMPLE) {
        return f->now - f->primary_answered_at >= f->params.simple_timeout_ms;
    }
    return f->members.view[f->known_primary].consecutive_failures >=
               f->params.probe_failures ||
           watch_primary_lost_quorum(f);
}

/* Timed step of WATCHING and FOLLOWING: enters SUSPECT when the primary fails,
   otherwise starts an automatic switch if one is due. */
void
watch_watching_step(struct failover *f)
{
    if (f->state == FAILOVER_FOLLOWING && f->now >= f->following_until) {
        f->state = FAILOVER_WATCHING;
    }
    if (f->known_primary == FAILOVER_NO_MEMBER) {
        watch_enter_suspect(f, f->params.takeover_wait_ms);
        return;
    }
    if (primary_failing(f)) {
        f->counters.suspected++;
        failover_log(
            f, LOG_LEVEL_WARNING, "suspect", f->known_primary,
            "%lld consecutive probes failed; %s",
            (long long)f->members.view[f->known_primary].consecutive_failures,
            watch_primary_lost_quorum(f)
                ? "too few replicas hear the primary"
                : "asking the replicas whether they hear it");
        watch_enter_suspect(f, 0);
        return;
    }
    switch_start_automatic(f);
}

/* Timed step of SUSPECT: starts a round once it is due and a majority answers,
   unless a majority still hears a primary. Postpones it when a higher term
   shows up, because another proxy has then started a round. */
void
watch_suspect_step(struct failover *f)
{
    const clock_ms newest =
        f->now - f->params.probe_interval_ms - f->params.probe_timeout_ms;
    const clock_ms since = MAX(f->suspect_since, newest);

    if (members_highest_term(&f->members) > f->highest_term_when_scheduled) {
        schedule_round(f, f->params.policy == FAILOVER_POLICY_SIMPLE
                              ? f->params.simple_retry_ms
                              : f->params.takeover_wait_ms);
    }
    if (f->rank < 0 || f->now < f->round_due ||
        members_count_fresh_answers(&f->members, since) <
            members_majority_size(&f->members)) {
        return;
    }
    if (f->params.policy == FAILOVER_POLICY_STAGGERED &&
        members_majority_hears_primary(&f->members, since, f->term,
                                       f->params.silence_bound_ms)) {
        if (!f->confirm_logged) {
            f->confirm_logged = true;
            f->counters.confirmed_elsewhere++;
            failover_log(f, LOG_LEVEL_WARNING, "confirm", f->known_primary,
                         "only this proxy has lost the primary");
        }
        schedule_round(f, f->params.probe_interval_ms);
        return;
    }
    promote_start_round(f, FAILOVER_NO_MEMBER, FAILOVER_NO_MEMBER);
}
