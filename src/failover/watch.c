#include <glib.h>

#include "failover/machine.h"

/* While a planned switch waits, members are asked again as soon as they
   answered, but at most this often, so that a caught-up replica is noticed
   well inside switch_limit_ms. */
#define SWITCH_PROBE_MS 10

/* Sends one probe. */
void
watch_probe(struct failover *f, int member)
{
    const uint64_t call = machine_next_call(f);

    members_sent(&f->members, member, call, f->now);
    f->members.view[member].probe_due = f->now + f->set.probe_interval_ms;
    f->act->probe(f->ctx, member, call);
}

/* Sends a probe to every member. */
void
watch_probe_all(struct failover *f)
{
    for (int i = 0; i < f->members.count; i++) {
        watch_probe(f, i);
    }
}

/* Sends the probes that are due. A proxy without a rank asks less often while
   it knows a primary. */
void
watch_send_due(struct failover *f)
{
    int64_t interval = f->set.probe_interval_ms;

    if (f->rank < 0 && f->state == FAILOVER_WATCHING) {
        interval = f->set.observer_interval_ms;
    }
    for (int i = 0; i < f->members.count; i++) {
        struct member_view *v = &f->members.view[i];
        const bool soon = f->state == FAILOVER_SWITCHING &&
                          !members_in_flight(&f->members, i) &&
                          f->now >= v->answered_sent + SWITCH_PROBE_MS;
        if (soon || f->now >= v->probe_due) {
            watch_probe(f, i);
            v->probe_due = f->now + interval;
        }
    }
}

/* Takes a member as the primary of term and ends what was going on. */
void
watch_adopt(struct failover *f, int member, uint64_t term)
{
    const bool changed = member != f->leader || term != f->term;

    f->leader = member;
    f->primary_seen = f->now;
    if (changed || f->state != FAILOVER_SWITCHING) {
        f->own_hold = false;
    }
    if (changed) {
        f->adopted_at = f->now;
        f->peer_hold_until = -1;
        f->attempts = 0;
        f->sw.failed = 0;
        for (int i = 0; i < f->members.count; i++) {
            f->members.view[i].stray_since = -1;
            f->members.view[i].follow_due = 0;
        }
        machine_note(f, LOG_LEVEL_NOTICE, "primary", member,
                     "primary of term %llu", (unsigned long long)term);
    }
    machine_announce(f, member, term);
    machine_update_hold(f);
}

/* Sets when this proxy may start a round, wait_ms from now at the earliest. */
static void
set_due(struct failover *f, int64_t wait_ms)
{
    f->suspect_due = f->now + wait_ms + machine_start_delay(f);
    f->suspect_sealed = members_highest_term(&f->members);
}

/* Doubts the primary and asks all members. */
void
watch_suspect(struct failover *f, int64_t wait_ms)
{
    f->state = FAILOVER_SUSPECT;
    f->suspect_since = f->now;
    f->elsewhere_noted = false;
    f->stranded_since = -1;
    set_due(f, wait_ms);
    watch_probe_all(f);
}

/* Acts on the certainty that the known primary leads no longer. When another
   proxy sealed a term, it is given time to finish. */
void
watch_lose_primary(struct failover *f, const char *why)
{
    const bool sealed = members_sealed_above(&f->members, f->term) >= 1;

    machine_note(f, LOG_LEVEL_WARNING, "lost", f->leader, "%s", why);
    f->counters.suspected++;
    f->own_hold = false;
    machine_announce(f, FAILOVER_NOBODY, f->term);
    machine_update_hold(f);
    if (f->set.policy == FAILOVER_POLICY_SIMPLE) {
        watch_suspect(
            f, MAX(f->primary_seen + f->set.simple_timeout_ms - f->now, 0));
        return;
    }
    watch_suspect(f, sealed ? f->set.takeover_wait_ms : 0);
}

/* Returns whether the newest answer of a member shows a working primary that
   is at least as new as the one known. */
static bool
is_primary(const struct failover *f, int member)
{
    const struct failover_probe *p = &f->members.view[member].last;

    return p->role == FAILOVER_ROLE_PRIMARY && p->sealed <= p->term &&
           p->term >= f->term &&
           members_sealed_above(&f->members, p->term) <
               members_majority(&f->members);
}

/* Returns whether too few members can hear the known primary for it to
   acknowledge anything, as after a partition that leaves it in contact with
   this proxy only. A new primary gets time to be followed. */
bool
watch_lost_quorum(const struct failover *f)
{
    const clock_ms since =
        f->now - f->set.probe_interval_ms - f->set.probe_timeout_ms;
    int deaf = 0;

    if (f->leader == FAILOVER_NOBODY ||
        f->now < f->adopted_at + 2 * f->set.silence_bound_ms) {
        return false;
    }
    for (int i = 0; i < f->members.count; i++) {
        const struct failover_probe *p = &f->members.view[i].last;
        if (i != f->leader && members_fresh(&f->members, i, since) &&
            (p->term != f->term || p->sealed > f->term ||
             p->silence_ms > f->set.silence_bound_ms)) {
            deaf++;
        }
    }
    return f->members.count - deaf < members_majority(&f->members);
}

/* Handles an answer of a working primary. */
static void
primary_answered(struct failover *f, int member)
{
    const struct member_view *v = &f->members.view[member];
    const uint64_t term = v->last.term;

    switch (f->state) {
    case FAILOVER_SEALING:
    case FAILOVER_PROMOTING:
        if (f->state == FAILOVER_PROMOTING && term == f->round.term) {
            promote_complete(f);
            return;
        }
        if (term < f->round.term) {
            return;
        }
        break;
    case FAILOVER_SUSPECT:
        if (v->answered_sent < f->suspect_since ||
            (term == f->term && watch_lost_quorum(f))) {
            return;
        }
        break;
    case FAILOVER_SWITCHING:
        if (term == f->term) {
            f->primary_seen = f->now;
            return;
        }
        break;
    case FAILOVER_WATCHING:
    case FAILOVER_FOLLOWING:
        if (term == f->term && watch_lost_quorum(f)) {
            return;
        }
        break;
    }
    watch_adopt(f, member, term);
    if (f->state != FAILOVER_FOLLOWING) {
        f->state = FAILOVER_WATCHING;
    }
}

/* Tells a member that does not follow the known primary to do so. The delay
   by rank leaves this to the first watcher when that one works. */
static void
follow_stray(struct failover *f, int member)
{
    struct member_view *v = &f->members.view[member];
    const struct failover_probe *p = &v->last;

    if (f->primary == FAILOVER_NOBODY || member == f->primary || f->rank < 0 ||
        p->sealed > f->term || v->answered_sent < f->adopted_at ||
        (f->state != FAILOVER_WATCHING && f->state != FAILOVER_FOLLOWING)) {
        return;
    }
    if (p->term == f->term && p->role == FAILOVER_ROLE_REPLICA &&
        p->silence_ms <= 2 * f->set.silence_bound_ms) {
        v->stray_since = -1;
        return;
    }
    if (v->stray_since < 0) {
        v->stray_since = f->now;
    }
    if (f->now - v->stray_since >= f->rank * f->set.rank_stagger_ms &&
        f->now >= v->follow_due) {
        promote_follow(f, member);
    }
}

/* Acts on the newest answer of a member. */
void
watch_answer(struct failover *f, int member)
{
    const struct member_view *v = &f->members.view[member];
    const bool settled = f->state == FAILOVER_WATCHING ||
                         f->state == FAILOVER_FOLLOWING ||
                         f->state == FAILOVER_SWITCHING;

    if (is_primary(f, member)) {
        primary_answered(f, member);
    }
    else if (settled && member == f->primary &&
             v->answered_sent >= f->adopted_at) {
        watch_lose_primary(f, "the primary reports that it leads no longer");
        return;
    }
    else if (f->state == FAILOVER_PROMOTING && member == f->round.chosen) {
        promote_check(f);
        return;
    }
    if (f->primary != FAILOVER_NOBODY && settled &&
        members_sealed_above(&f->members, f->term) >=
            members_majority(&f->members)) {
        watch_lose_primary(f, "a majority has sealed a higher term");
        return;
    }
    follow_stray(f, member);
}

/* Returns whether the primary counts as lost for this proxy. */
static bool
primary_failing(const struct failover *f)
{
    if (f->set.policy == FAILOVER_POLICY_SIMPLE) {
        return f->now - f->primary_seen >= f->set.simple_timeout_ms;
    }
    return f->members.view[f->leader].failures >= f->set.probe_failures ||
           watch_lost_quorum(f);
}

/* Watches while a primary is known. */
void
watch_step(struct failover *f)
{
    if (f->state == FAILOVER_FOLLOWING && f->now >= f->following_until) {
        f->state = FAILOVER_WATCHING;
    }
    if (f->leader == FAILOVER_NOBODY) {
        watch_suspect(f, f->set.takeover_wait_ms);
        return;
    }
    if (primary_failing(f)) {
        f->counters.suspected++;
        machine_note(f, LOG_LEVEL_WARNING, "suspect", f->leader,
                     "%lld probes failed in a row, %s",
                     (long long)f->members.view[f->leader].failures,
                     watch_lost_quorum(f) ? "its replicas do not hear it"
                                          : "asking the replicas");
        watch_suspect(f, 0);
        return;
    }
    switch_automatic(f);
}

/* Starts a round once it is due, a majority answers and no majority is still
   in contact with a primary. */
void
watch_suspect_step(struct failover *f)
{
    const clock_ms newest =
        f->now - f->set.probe_interval_ms - f->set.probe_timeout_ms;
    const clock_ms since = MAX(f->suspect_since, newest);

    if (members_highest_term(&f->members) > f->suspect_sealed) {
        set_due(f, f->set.policy == FAILOVER_POLICY_SIMPLE
                       ? f->set.simple_retry_ms
                       : f->set.takeover_wait_ms);
    }
    if (f->rank < 0 || f->now < f->suspect_due ||
        members_fresh_count(&f->members, since) <
            members_majority(&f->members)) {
        return;
    }
    if (f->set.policy == FAILOVER_POLICY_STAGGERED &&
        members_hear_primary(&f->members, since, f->term,
                             f->set.silence_bound_ms)) {
        if (!f->elsewhere_noted) {
            f->elsewhere_noted = true;
            f->counters.confirmed_elsewhere++;
            machine_note(f, LOG_LEVEL_WARNING, "confirm", f->leader,
                         "only this proxy has lost the primary");
        }
        set_due(f, f->set.probe_interval_ms);
        return;
    }
    promote_begin(f, FAILOVER_NOBODY, FAILOVER_NOBODY);
}
