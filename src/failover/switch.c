#include <glib.h>

#include "failover/machine.h"

/* Each attempt holds writes for up to switch_limit_ms, so the time between
   attempts for a leaving primary doubles; at most 16 times switch_retry_ms. */
#define RETRY_DOUBLINGS_MAX 4

/* Begins a planned switch: holds new writes and asks all members. Returns
   false when there is no healthy primary to switch from. */
bool
switch_start(struct failover *f, enum switch_reason reason, int target)
{
    if ((f->state != FAILOVER_WATCHING && f->state != FAILOVER_FOLLOWING) ||
        f->primary == FAILOVER_NOBODY ||
        f->members.view[f->primary].failures > 0) {
        return false;
    }
    f->counters.switches_started++;
    f->state = FAILOVER_SWITCHING;
    f->sw.reason = reason;
    f->sw.target = target;
    f->sw.started = f->now;
    f->sw.limit = f->now + f->set.switch_limit_ms;
    machine_note(f, LOG_LEVEL_NOTICE, "switch", f->primary,
                 "holding writes for a planned switch");
    f->own_hold = true;
    machine_update_hold(f);
    watch_probe_all(f);
    return true;
}

/* Ends a switch before anything was sealed; the primary goes on. */
void
switch_cancel(struct failover *f, const char *why)
{
    f->counters.switches_failed++;
    f->sw.failed = MIN(f->sw.failed + 1, RETRY_DOUBLINGS_MAX + 1);
    f->sw.retry_due = f->now + f->set.switch_retry_ms +
                      (int64_t)rng_below(f->rng, (uint64_t)f->set.jitter_ms);
    f->sw.leaving_due =
        f->now + (f->set.switch_retry_ms << (f->sw.failed - 1));
    f->state = FAILOVER_WATCHING;
    machine_note(f, LOG_LEVEL_WARNING, "switch", f->primary,
                 "switch not done, writes resume: %s", why);
    f->own_hold = false;
    machine_update_hold(f);
}

/* Returns whether a replica can take over: it answered since the hold and
   has everything that the primary reported since the hold. */
static bool
caught_up(const struct failover *f, int i)
{
    const struct members *m = &f->members;

    return i != f->primary && members_fresh(m, i, f->sw.started) &&
           members_fresh(m, f->primary, f->sw.started) &&
           m->view[i].last.term == f->term &&
           m->view[i].last.sealed <= f->term &&
           m->view[i].last.silence_ms <= f->set.silence_bound_ms &&
           m->view[i].last.position >= m->view[f->primary].last.position;
}

/* Returns the member to switch to, or FAILOVER_NOBODY. */
static int
find_target(const struct failover *f)
{
    int best = FAILOVER_NOBODY;

    if (members_fresh_count(&f->members, f->sw.started) <
        members_majority(&f->members)) {
        return FAILOVER_NOBODY;
    }
    if (f->sw.reason == SWITCH_REPAIR) {
        return f->primary;
    }
    for (int i = 0; i < f->members.count; i++) {
        const struct member_view *v = &f->members.view[i];
        if (f->sw.target != FAILOVER_NOBODY ? i != f->sw.target : v->leaving) {
            continue;
        }
        if (caught_up(f, i) &&
            (best == FAILOVER_NOBODY ||
             v->last.rtt_us < f->members.view[best].last.rtt_us)) {
            best = i;
        }
    }
    return best;
}

/* Waits for running transactions and a caught-up member, then seals. At the
   limit the switch is called off when no member has caught up; otherwise the
   transactions that still run are cut. */
void
switch_step(struct failover *f)
{
    const int target = find_target(f);

    if (f->members.view[f->primary].failures >= f->set.probe_failures) {
        switch_cancel(f, "the primary does not answer");
        return;
    }
    if (target == FAILOVER_NOBODY) {
        if (f->now >= f->sw.limit) {
            switch_cancel(f, "no member has caught up");
        }
        return;
    }
    /* The other proxies learn of the hold by a peer message, and their last
       writes are still on the way to the primary. */
    if (f->now < f->sw.started + f->set.switch_settle_ms ||
        (f->running > 0 && f->now < f->sw.limit)) {
        return;
    }
    if (f->running > 0) {
        machine_note(f, LOG_LEVEL_WARNING, "switch", f->primary,
                     "%d transactions run past the limit", f->running);
    }
    f->sw.retry_due = f->now + f->set.switch_retry_ms;
    promote_begin(f, target,
                  f->sw.reason == SWITCH_REPAIR ? FAILOVER_NOBODY
                                                : f->primary);
}

/* Returns whether some member that answers has sealed a term above that of
   the working primary. It refuses that primary, and only a new term that
   includes it brings it back. */
static bool
any_stranded(const struct failover *f)
{
    const clock_ms since =
        MAX(f->adopted_at,
            f->now - f->set.probe_interval_ms - f->set.probe_timeout_ms);

    for (int i = 0; i < f->members.count; i++) {
        if (f->members.view[i].last.sealed > f->term &&
            members_fresh(&f->members, i, since)) {
            return true;
        }
    }
    return false;
}

/* Returns whether another member could replace a leaving primary. */
static bool
has_staying_replica(const struct failover *f)
{
    for (int i = 0; i < f->members.count; i++) {
        if (i != f->primary && !f->members.view[i].leaving &&
            f->members.view[i].failures == 0 &&
            f->members.view[i].last.term == f->term) {
            return true;
        }
    }
    return false;
}

/* Starts the switches that need no operator. The delay by rank leaves them to
   the first watcher when that one works. */
void
switch_automatic(struct failover *f)
{
    const int64_t delay = f->rank * f->set.rank_stagger_ms;

    if (f->rank < 0 || f->primary == FAILOVER_NOBODY) {
        return;
    }
    if (!any_stranded(f)) {
        f->stranded_since = -1;
    }
    else if (f->stranded_since < 0) {
        f->stranded_since = f->now;
        f->repair_jitter_ms =
            (int64_t)rng_below(f->rng, (uint64_t)f->set.jitter_ms + 1);
    }
    if (f->now < f->sw.retry_due) {
        return;
    }
    if (f->stranded_since >= 0 &&
        f->now - f->stranded_since >=
            f->set.stranded_ms + delay + f->repair_jitter_ms) {
        f->stranded_since = -1;
        (void)switch_start(f, SWITCH_REPAIR, FAILOVER_NOBODY);
        return;
    }
    if (!f->members.view[f->primary].leaving || !has_staying_replica(f)) {
        f->leaving_since = -1;
        return;
    }
    if (f->leaving_since < 0) {
        f->leaving_since = f->now;
    }
    /* The switch of a lower rank takes switch_limit_ms and a few round
       trips; starting within that time would seal the group twice. */
    if (f->now >= f->sw.leaving_due &&
        f->now - f->leaving_since >= 2 * f->set.switch_limit_ms * f->rank) {
        (void)switch_start(f, SWITCH_LEAVING, FAILOVER_NOBODY);
    }
}
