#include <glib.h>

#include "failover/failover_internal.h"

/* Each attempt holds writes for up to switch_limit_ms, so for a leaving
   primary the time between failed attempts doubles, up to 16 times
   switch_retry_ms. */
#define RETRY_DOUBLINGS_MAX 4

/* Starts a planned switch: holds new writes and probes all members. Returns
   false if there is no healthy primary or another operation is in progress. */
bool
switch_start(struct failover *f, enum switch_reason reason, int target)
{
    if ((f->state != FAILOVER_WATCHING && f->state != FAILOVER_FOLLOWING) ||
        f->announced_primary == FAILOVER_NO_MEMBER ||
        f->members.view[f->announced_primary].consecutive_failures > 0) {
        return false;
    }
    f->counters.switches_started++;
    f->state = FAILOVER_SWITCHING;
    f->switch_state.reason = reason;
    f->switch_state.target = target;
    f->switch_state.started_at = f->now;
    f->switch_state.deadline = f->now + f->params.switch_limit_ms;
    failover_log(f, LOG_LEVEL_NOTICE, "switch", f->announced_primary,
                 "holding writes for a planned switch");
    f->own_write_hold = true;
    failover_update_write_hold(f);
    watch_probe_all(f);
    return true;
}

/* Cancels a planned switch before anything was sealed. The primary stays and
   writes resume. */
void
switch_cancel(struct failover *f, const char *why)
{
    f->counters.switches_failed++;
    f->switch_state.consecutive_failures =
        MIN(f->switch_state.consecutive_failures + 1, RETRY_DOUBLINGS_MAX + 1);
    f->switch_state.retry_due =
        f->now + f->params.switch_retry_ms +
        (int64_t)rng_below(f->rng, (uint64_t)f->params.jitter_ms);
    f->switch_state.leaving_retry_due =
        f->now + (f->params.switch_retry_ms
                  << (f->switch_state.consecutive_failures - 1));
    f->state = FAILOVER_WATCHING;
    failover_log(f, LOG_LEVEL_WARNING, "switch", f->announced_primary,
                 "switch cancelled, writes resume: %s", why);
    f->own_write_hold = false;
    failover_update_write_hold(f);
}

/* Returns whether a replica can become primary: both it and the primary have
   answered a probe sent since writes are held, and the replica is at or past
   the position of the primary. */
static bool
caught_up(const struct failover *f, int i)
{
    const struct members *m = &f->members;

    return i != f->announced_primary &&
           members_has_fresh_answer(m, i, f->switch_state.started_at) &&
           members_has_fresh_answer(m, f->announced_primary,
                                    f->switch_state.started_at) &&
           m->view[i].last_answer.term == f->term &&
           m->view[i].last_answer.sealed <= f->term &&
           m->view[i].last_answer.silence_ms <= f->params.silence_bound_ms &&
           m->view[i].last_answer.position >=
               m->view[f->announced_primary].last_answer.position;
}

/* Returns the member to switch to, or FAILOVER_NO_MEMBER as long as none is
   suitable. SWITCH_REPAIR keeps the primary. */
static int
find_target(const struct failover *f)
{
    int best = FAILOVER_NO_MEMBER;

    if (members_count_fresh_answers(&f->members, f->switch_state.started_at) <
        members_majority_size(&f->members)) {
        return FAILOVER_NO_MEMBER;
    }
    if (f->switch_state.reason == SWITCH_REPAIR) {
        return f->announced_primary;
    }
    for (int i = 0; i < f->members.count; i++) {
        const struct member_view *v = &f->members.view[i];
        if (f->switch_state.target != FAILOVER_NO_MEMBER
                ? i != f->switch_state.target
                : v->leaving) {
            continue;
        }
        if (caught_up(f, i) &&
            (best == FAILOVER_NO_MEMBER ||
             v->last_answer.rtt_us <
                 f->members.view[best].last_answer.rtt_us)) {
            best = i;
        }
    }
    return best;
}

/* Timed step of SWITCHING: waits for a caught-up member and the end of running
   transactions, then starts the round. At the deadline the switch is cancelled
   if no member has caught up; otherwise transactions still running are
   aborted. */
void
switch_step(struct failover *f)
{
    const int target = find_target(f);

    if (f->members.view[f->announced_primary].consecutive_failures >=
        f->params.probe_failures) {
        switch_cancel(f, "the primary does not answer");
        return;
    }
    if (target == FAILOVER_NO_MEMBER) {
        if (f->now >= f->switch_state.deadline) {
            switch_cancel(f, "no member has caught up in time");
        }
        return;
    }
    /* The other proxies are told of the hold by a peer message. Until it has
       arrived and their last writes have reached the primary, nothing may be
       sealed. */
    if (f->now < f->switch_state.started_at + f->params.switch_settle_ms ||
        (f->running_transactions > 0 && f->now < f->switch_state.deadline)) {
        return;
    }
    if (f->running_transactions > 0) {
        failover_log(f, LOG_LEVEL_WARNING, "switch", f->announced_primary,
                     "%d transactions run past the limit and are aborted",
                     f->running_transactions);
    }
    f->switch_state.retry_due = f->now + f->params.switch_retry_ms;
    promote_start_round(f, target,
                        f->switch_state.reason == SWITCH_REPAIR
                            ? FAILOVER_NO_MEMBER
                            : f->announced_primary);
}

/* Returns whether a member that answers has sealed a term above that of the
   working primary. It rejects this primary, and only a round with a new term
   makes it follow again. */
static bool
has_stranded_member(const struct failover *f)
{
    const clock_ms since =
        MAX(f->primary_adopted_at,
            f->now - f->params.probe_interval_ms - f->params.probe_timeout_ms);

    for (int i = 0; i < f->members.count; i++) {
        if (f->members.view[i].last_answer.sealed > f->term &&
            members_has_fresh_answer(&f->members, i, since)) {
            return true;
        }
    }
    return false;
}

/* Returns whether a replica that is not leaving itself could replace the
   primary. */
static bool
has_non_leaving_replica(const struct failover *f)
{
    for (int i = 0; i < f->members.count; i++) {
        if (i != f->announced_primary && !f->members.view[i].leaving &&
            f->members.view[i].consecutive_failures == 0 &&
            f->members.view[i].last_answer.term == f->term) {
            return true;
        }
    }
    return false;
}

/* Starts a planned switch to readmit a stranded member or to replace a leaving
   primary. The delay grows with the rank, so that normally only the proxy of
   the lowest rank starts it. */
void
switch_start_automatic(struct failover *f)
{
    const int64_t delay = f->rank * f->params.rank_stagger_ms;

    if (f->rank < 0 || f->announced_primary == FAILOVER_NO_MEMBER) {
        return;
    }
    if (!has_stranded_member(f)) {
        f->stranded_since = -1;
    }
    else if (f->stranded_since < 0) {
        f->stranded_since = f->now;
        f->repair_jitter_ms =
            (int64_t)rng_below(f->rng, (uint64_t)f->params.jitter_ms + 1);
    }
    if (f->now < f->switch_state.retry_due) {
        return;
    }
    if (f->stranded_since >= 0 &&
        f->now - f->stranded_since >=
            f->params.stranded_ms + delay + f->repair_jitter_ms) {
        f->stranded_since = -1;
        (void)switch_start(f, SWITCH_REPAIR, FAILOVER_NO_MEMBER);
        return;
    }
    if (!f->members.view[f->announced_primary].leaving ||
        !has_non_leaving_replica(f)) {
        f->leaving_since = -1;
        return;
    }
    if (f->leaving_since < 0) {
        f->leaving_since = f->now;
    }
    /* The switch of a proxy of lower rank takes switch_limit_ms and a few
       round trips. Starting another one meanwhile would seal the group twice.
     */
    if (f->now >= f->switch_state.leaving_retry_due &&
        f->now - f->leaving_since >= 2 * f->params.switch_limit_ms * f->rank) {
        (void)switch_start(f, SWITCH_LEAVING, FAILOVER_NO_MEMBER);
    }
}
