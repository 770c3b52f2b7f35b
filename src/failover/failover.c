#include "failover/failover.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "failover/machine.h"

#define NOTE_MAX_BYTES 200

/* Returns an id for the next call. */
uint64_t
machine_next_call(struct failover *f)
{
    f->last_call++;
    return f->last_call;
}

/* Hands a formatted line to the log. */
void
machine_note(struct failover *f, enum log_level level, const char *step,
             int member, const char *fmt, ...)
{
    char text[NOTE_MAX_BYTES];
    va_list ap;

    va_start(ap, fmt);
    (void)vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    f->act->note(f->ctx, level, step, member, text);
}

/* Announces the primary when it differs from what was announced last. */
void
machine_announce(struct failover *f, int member, uint64_t term)
{
    if (f->primary == member &&
        (member == FAILOVER_NOBODY || f->term == term)) {
        return;
    }
    f->primary = member;
    f->term = term;
    f->act->primary_changed(f->ctx, member, term);
}

/* Announces whether new writes are held, when that changed. */
void
machine_update_hold(struct failover *f)
{
    const bool hold = f->own_hold || f->peer_hold_until >= 0;

    if (hold != f->holding) {
        f->holding = hold;
        f->act->hold_writes(f->ctx, hold);
    }
}

/* Returns the delay that keeps several watchers from starting together. */
int64_t
machine_start_delay(struct failover *f)
{
    if (f->set.policy == FAILOVER_POLICY_SIMPLE) {
        return 0;
    }
    return MAX(f->rank, 0) * f->set.rank_stagger_ms +
           (int64_t)rng_below(f->rng, (uint64_t)f->set.jitter_ms + 1);
}

/* Creates a machine that knows no primary yet. Returns NULL when the
   settings, the member count or the proxy id are out of range; the caller
   has checked the settings with failover_settings_check() for a message. */
struct failover *
failover_create(const struct failover_config *config, clock_ms now)
{
    char why[NOTE_MAX_BYTES];

    if (!failover_settings_check(&config->settings, why, sizeof(why)) ||
        config->member_count < 1 ||
        config->member_count > FAILOVER_MEMBERS_MAX || config->proxy_id < 1 ||
        config->proxy_id >> FAILOVER_ID_BITS != 0) {
        return NULL;
    }
    struct failover *f = g_new0(struct failover, 1);
    f->set = config->settings;
    f->act = config->actions;
    f->ctx = config->ctx;
    f->rng = config->rng;
    f->proxy_id = config->proxy_id;
    f->rank = config->rank;
    f->now = now;
    /* A random start keeps answers meant for an earlier process with the
       same proxy id from matching. */
    f->last_call = rng_next(f->rng) >> 8;
    members_init(&f->members, config->member_count, config->domains);
    f->primary = FAILOVER_NOBODY;
    f->leader = FAILOVER_NOBODY;
    f->primary_seen = now;
    f->peer_hold_until = -1;
    f->stranded_since = -1;
    f->leaving_since = -1;
    watch_suspect(f, f->set.takeover_wait_ms);
    return f;
}

/* Frees the machine; nothing is announced. */
void
failover_destroy(struct failover *f)
{
    if (f != NULL) {
        members_clear(&f->members);
        g_free(f);
    }
}

/* Starts over after the process did not run for a while. Timeouts that passed
   meanwhile are no evidence, and a round may have been overtaken, so it is
   abandoned; what it did is learnt from the members. */
static void
resume_from_pause(struct failover *f, int64_t gap_ms)
{
    f->counters.pauses++;
    machine_note(f, LOG_LEVEL_NOTICE, "resume", FAILOVER_NOBODY,
                 "no event for %lld ms; probing all members again",
                 (long long)gap_ms);
    members_forget_calls(&f->members);
    memset(f->follow_call, 0, sizeof(f->follow_call));
    f->stranded_since = -1;
    f->primary_seen = f->now;
    switch (f->state) {
    case FAILOVER_SEALING:
    case FAILOVER_PROMOTING:
        promote_fail(f, "paused during the round");
        break;
    case FAILOVER_SWITCHING:
        switch_cancel(f, "paused during the switch");
        break;
    case FAILOVER_SUSPECT:
        watch_suspect(f, f->set.takeover_wait_ms);
        break;
    case FAILOVER_FOLLOWING:
        f->state = FAILOVER_WATCHING;
        break;
    case FAILOVER_WATCHING:
        break;
    }
}

/* Takes the time of an input. Time that steps back is ignored. */
static void
enter(struct failover *f, clock_ms now)
{
    const int64_t gap_ms = now - f->now;

    if (gap_ms <= 0) {
        return;
    }
    f->now = now;
    if (gap_ms > f->set.pause_gap_ms) {
        resume_from_pause(f, gap_ms);
    }
}

/* Does what is due in the present state. */
static void
step(struct failover *f)
{
    if (f->peer_hold_until >= 0 && f->now >= f->peer_hold_until) {
        f->peer_hold_until = -1;
        machine_update_hold(f);
    }
    switch (f->state) {
    case FAILOVER_WATCHING:
    case FAILOVER_FOLLOWING:
        watch_step(f);
        break;
    case FAILOVER_SUSPECT:
        watch_suspect_step(f);
        break;
    case FAILOVER_SEALING:
        promote_seal_step(f);
        break;
    case FAILOVER_PROMOTING:
        promote_step(f);
        break;
    case FAILOVER_SWITCHING:
        switch_step(f);
        break;
    }
}

/* Advances time. To be called at least every 50 ms; a gap above pause_gap_ms
   between two inputs is taken for a pause of the process. */
void
failover_tick(struct failover *f, clock_ms now)
{
    enter(f, now);
    for (int i = 0; i < f->members.count; i++) {
        members_expire(&f->members, i, f->now, f->set.probe_timeout_ms);
    }
    step(f);
    watch_send_due(f);
}

/* Takes the answer to a probe. Late and repeated answers are ignored. */
void
failover_probe_answered(struct failover *f, clock_ms now, int member,
                        uint64_t call, const struct failover_probe *answer)
{
    enter(f, now);
    if (!members_answer(&f->members, member, call, answer)) {
        f->counters.late_answers++;
        return;
    }
    watch_answer(f, member);
    step(f);
}

/* Takes the failure of a probe: refused, broken or timed out. */
void
failover_probe_failed(struct failover *f, clock_ms now, int member,
                      uint64_t call)
{
    enter(f, now);
    (void)members_fail(&f->members, member, call);
    step(f);
}

/* Takes the answer to a seal. term and position are those of the last log
   entry of the member, whether or not a majority holds it. */
void
failover_seal_answered(struct failover *f, clock_ms now, int member,
                       uint64_t call, bool granted, uint64_t term,
                       uint64_t position)
{
    enter(f, now);
    if (f->state != FAILOVER_SEALING ||
        !round_take_seal(&f->round, member, call)) {
        f->counters.late_answers++;
        return;
    }
    if (!granted) {
        promote_fail(f, "a member has sealed a higher term");
        return;
    }
    struct failover_probe *last = &f->members.view[member].last;
    last->sealed = MAX(last->sealed, f->round.term);
    round_grant(&f->round, member, term, position);
    step(f);
}

/* Takes the answer to a promotion. */
void
failover_promote_answered(struct failover *f, clock_ms now, int member,
                          uint64_t call, bool promoted)
{
    enter(f, now);
    (void)member;
    if (f->state != FAILOVER_PROMOTING ||
        !round_take_promote(&f->round, call)) {
        f->counters.late_answers++;
        return;
    }
    if (promoted) {
        promote_complete(f);
    }
    else {
        promote_fail(f, "the member refused the promotion");
    }
}

/* Takes the answer to a follow call. A refusal needs no action here: a probe
   shows whether the member sealed a higher term. */
void
failover_follow_answered(struct failover *f, clock_ms now, int member,
                         uint64_t call, bool following)
{
    enter(f, now);
    if (call != 0 && f->follow_call[member] == call) {
        f->follow_call[member] = 0;
        if (following) {
            f->members.view[member].stray_since = -1;
        }
    }
    step(f);
}

/* Takes the error or timeout of a seal, promote or follow call. What the
   call did is unknown. */
void
failover_call_failed(struct failover *f, clock_ms now, int member,
                     uint64_t call)
{
    enter(f, now);
    if (call == 0) {
        return;
    }
    if (f->follow_call[member] == call) {
        f->follow_call[member] = 0;
    }
    else if (f->state == FAILOVER_SEALING &&
             f->round.seal_call[member] == call) {
        f->round.seal_call[member] = 0;
    }
    else if (f->state == FAILOVER_PROMOTING && f->round.promote_call == call) {
        promote_lost_answer(f);
    }
    step(f);
}

/* Marks a member as leaving or not. A primary that is leaving is switched. */
void
failover_set_leaving(struct failover *f, clock_ms now, int member,
                     bool leaving)
{
    enter(f, now);
    f->members.view[member].leaving = leaving;
}

/* Sets the watch rank; -1 observes and never starts a round. */
void
failover_set_rank(struct failover *f, clock_ms now, int rank)
{
    enter(f, now);
    f->rank = rank;
}

/* Sets the number of transactions that run on the primary through this
   proxy; a planned switch waits for 0 up to switch_limit_ms. */
void
failover_set_running(struct failover *f, clock_ms now, int running)
{
    enter(f, now);
    f->running = running;
    if (f->state == FAILOVER_SWITCHING) {
        step(f);
    }
}

/* Starts the operator's switch to target, or to the best member when target
   is FAILOVER_NOBODY. With a healthy primary it is a planned switch. With a
   primary that this proxy has lost it starts a round at once, without the
   confirmation by replicas: this is the way out when a primary serves its
   replicas but no proxy. Returns false when nothing could be started. */
bool
failover_request_switch(struct failover *f, clock_ms now, int target)
{
    enter(f, now);
    if (target != FAILOVER_NOBODY &&
        (target < 0 || target >= f->members.count || target == f->leader ||
         f->members.view[target].failures > 0)) {
        return false;
    }
    if (f->state == FAILOVER_SUSPECT) {
        const clock_ms since =
            f->now - f->set.probe_interval_ms - f->set.probe_timeout_ms;
        if (members_fresh_count(&f->members, since) <
            members_majority(&f->members)) {
            return false;
        }
        machine_note(f, LOG_LEVEL_NOTICE, "switch", target,
                     "operator replaces a primary that this proxy lost");
        promote_begin(f, target, FAILOVER_NOBODY);
        return true;
    }
    return switch_start(f, SWITCH_OPERATOR, target);
}

/* Holds new writes because another proxy began a planned switch. Ends with
   the next change of primary, or by itself after the time that a switch can
   take. */
void
failover_peer_switching(struct failover *f, clock_ms now)
{
    enter(f, now);
    f->peer_hold_until =
        f->now + f->set.switch_limit_ms + f->set.call_timeout_ms;
    machine_update_hold(f);
}

/* Takes news of a primary from a peer or from traffic. It is not believed
   but makes this proxy probe at once. */
void
failover_hint_primary(struct failover *f, clock_ms now, int member,
                      uint64_t term)
{
    enter(f, now);
    if (term > f->term && member >= 0 && member < f->members.count) {
        watch_probe_all(f);
    }
}

/* Returns the present state. */
enum failover_state
failover_get_state(const struct failover *f)
{
    return f->state;
}

/* Returns the name of a state as shown to operators. */
const char *
failover_state_name(enum failover_state state)
{
    static const char *const names[] = {
        [FAILOVER_WATCHING] = "watching",   [FAILOVER_SUSPECT] = "suspect",
        [FAILOVER_SEALING] = "sealing",     [FAILOVER_PROMOTING] = "promoting",
        [FAILOVER_FOLLOWING] = "following", [FAILOVER_SWITCHING] = "switching",
    };

    return names[state];
}

/* Returns the announced primary, or FAILOVER_NOBODY. */
int
failover_get_primary(const struct failover *f)
{
    return f->primary;
}

/* Returns the term of the newest known primary; 0 before the first. */
uint64_t
failover_get_term(const struct failover *f)
{
    return f->term;
}

/* Returns whether new writes are held. */
bool
failover_is_holding(const struct failover *f)
{
    return f->holding;
}

/* Returns the counters since creation. */
const struct failover_counters *
failover_get_counters(const struct failover *f)
{
    return &f->counters;
}
