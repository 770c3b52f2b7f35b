#include "failover/failover.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "failover/failover_internal.h"

#define LOG_TEXT_MAX_BYTES 200

uint64_t
failover_next_call_id(struct failover *f)
{
    f->last_call_id++;
    return f->last_call_id;
}

/* Passes a log message to the log_event() callback, cut to LOG_TEXT_MAX_BYTES.
 */
void
failover_log(struct failover *f, enum log_level level, const char *step,
             int member, const char *fmt, ...)
{
    char text[LOG_TEXT_MAX_BYTES];
    va_list ap;

    va_start(ap, fmt);
    (void)vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    f->callbacks->log_event(f->ctx, level, step, member, text);
}

/* Sets the primary and its term, and reports a change by primary_changed().
   Without a primary a change of the term alone is not reported. */
void
failover_announce_primary(struct failover *f, int member, uint64_t term)
{
    if (f->announced_primary == member &&
        (member == FAILOVER_NO_MEMBER || f->term == term)) {
        return;
    }
    f->announced_primary = member;
    f->term = term;
    f->callbacks->primary_changed(f->ctx, member, term);
}

/* Calls hold_writes() if the combination of own and peer holds has changed. */
void
failover_update_write_hold(struct failover *f)
{
    const bool hold = f->own_write_hold || f->peer_write_hold_until >= 0;

    if (hold != f->writes_held) {
        f->writes_held = hold;
        f->callbacks->hold_writes(f->ctx, hold);
    }
}

/* Returns the delay before a round, by rank and at random, that keeps several
   proxies from starting rounds at the same time. */
int64_t
failover_start_delay_ms(struct failover *f)
{
    if (f->params.policy == FAILOVER_POLICY_SIMPLE) {
        return 0;
    }
    return MAX(f->rank, 0) * f->params.rank_stagger_ms +
           (int64_t)rng_below(f->rng, (uint64_t)f->params.jitter_ms + 1);
}

/* Creates a machine that knows no primary yet; it probes all members at once,
   from inside this call. Returns NULL if the settings, the member count or the
   proxy id are out of range. For a message about the settings, callers run
   failover_settings_check() first. The caller frees the machine with
   failover_destroy(). */
struct failover *
failover_create(const struct failover_config *config, clock_ms now)
{
    char why[LOG_TEXT_MAX_BYTES];

    if (!failover_settings_check(&config->settings, why, sizeof(why)) ||
        config->member_count < 1 ||
        config->member_count > FAILOVER_MAX_MEMBERS || config->proxy_id < 1 ||
        config->proxy_id >> FAILOVER_PROXY_ID_BITS != 0) {
        return NULL;
    }
    struct failover *f = g_new0(struct failover, 1);
    f->params = config->settings;
    f->callbacks = config->actions;
    f->ctx = config->ctx;
    f->rng = config->rng;
    f->proxy_id = config->proxy_id;
    f->rank = config->rank;
    f->now = now;
    /* Ids start at a random number so that answers to an earlier process with
       the same proxy id do not match. */
    f->last_call_id = rng_next(f->rng) >> 8;
    members_init(&f->members, config->member_count, config->domains);
    f->announced_primary = FAILOVER_NO_MEMBER;
    f->known_primary = FAILOVER_NO_MEMBER;
    f->primary_answered_at = now;
    f->peer_write_hold_until = -1;
    f->stranded_since = -1;
    f->leaving_since = -1;
    watch_enter_suspect(f, f->params.takeover_wait_ms);
    return f;
}

/* Frees the machine without calling any callback. f may be NULL. */
void
failover_destroy(struct failover *f)
{
    if (f != NULL) {
        members_clear(&f->members);
        g_free(f);
    }
}

/* Drops calls in flight and abandons a round or planned switch after the
   process did not run for gap_ms. Timeouts that passed meanwhile say nothing
   about the members, and another proxy may have started a newer round. What
   the abandoned round achieved shows in the answers to new probes. */
static void
restart_after_pause(struct failover *f, int64_t gap_ms)
{
    f->counters.pauses++;
    failover_log(
        f, LOG_LEVEL_NOTICE, "resume", FAILOVER_NO_MEMBER,
        "no event for %lld ms, process was paused; probing all members",
        (long long)gap_ms);
    members_reset_probes(&f->members);
    memset(f->follow_call_id, 0, sizeof(f->follow_call_id));
    f->stranded_since = -1;
    f->primary_answered_at = f->now;
    switch (f->state) {
    case FAILOVER_SEALING:
    case FAILOVER_PROMOTING:
        promote_fail_round(f, "this process was paused during the round");
        break;
    case FAILOVER_SWITCHING:
        switch_cancel(f, "this process was paused during the switch");
        break;
    case FAILOVER_SUSPECT:
        watch_enter_suspect(f, f->params.takeover_wait_ms);
        break;
    case FAILOVER_FOLLOWING:
        f->state = FAILOVER_WATCHING;
        break;
    case FAILOVER_WATCHING:
        break;
    }
}

/* Sets the current time at each input and handles a pause. Time that goes
   backwards is ignored. */
static void
advance_time(struct failover *f, clock_ms now)
{
    const int64_t gap_ms = now - f->now;

    if (gap_ms <= 0) {
        return;
    }
    f->now = now;
    if (gap_ms > f->params.pause_gap_ms) {
        restart_after_pause(f, gap_ms);
    }
}

/* Runs the timed step of the current state. */
static void
step(struct failover *f)
{
    if (f->peer_write_hold_until >= 0 && f->now >= f->peer_write_hold_until) {
        f->peer_write_hold_until = -1;
        failover_update_write_hold(f);
    }
    switch (f->state) {
    case FAILOVER_WATCHING:
    case FAILOVER_FOLLOWING:
        watch_watching_step(f);
        break;
    case FAILOVER_SUSPECT:
        watch_suspect_step(f);
        break;
    case FAILOVER_SEALING:
        promote_sealing_step(f);
        break;
    case FAILOVER_PROMOTING:
        promote_promoting_step(f);
        break;
    case FAILOVER_SWITCHING:
        switch_step(f);
        break;
    }
}

/* Advances time: expires and sends probes and runs what is due. Must be called
   at least every 50 ms. A gap of more than pause_gap_ms between two inputs
   counts as a pause of the process. */
void
failover_tick(struct failover *f, clock_ms now)
{
    advance_time(f, now);
    for (int i = 0; i < f->members.count; i++) {
        members_expire_probes(&f->members, i, f->now,
                              f->params.probe_timeout_ms);
    }
    step(f);
    watch_send_due_probes(f);
}

/* Input: a member answered a probe. Late and repeated answers are ignored. */
void
failover_probe_answered(struct failover *f, clock_ms now, int member,
                        uint64_t call_id,
                        const struct failover_probe_answer *answer)
{
    advance_time(f, now);
    if (!members_record_answer(&f->members, member, call_id, answer)) {
        f->counters.late_answers++;
        return;
    }
    watch_handle_probe_answer(f, member);
    step(f);
}

/* Input: a probe failed, because the connection was refused or broke, or the
   answer was late or invalid. */
void
failover_probe_failed(struct failover *f, clock_ms now, int member,
                      uint64_t call_id)
{
    advance_time(f, now);
    (void)members_record_failure(&f->members, member, call_id);
    step(f);
}

/* Input: a member answered a seal call. term and position are those of the
   last entry in its log, whether or not a majority has that entry. */
void
failover_seal_answered(struct failover *f, clock_ms now, int member,
                       uint64_t call_id, bool granted, uint64_t term,
                       uint64_t position)
{
    advance_time(f, now);
    if (f->state != FAILOVER_SEALING ||
        !round_match_seal_answer(&f->round, member, call_id)) {
        f->counters.late_answers++;
        return;
    }
    if (!granted) {
        promote_fail_round(f, "a member has sealed a higher term");
        return;
    }
    struct failover_probe_answer *last_answer =
        &f->members.view[member].last_answer;
    last_answer->sealed = MAX(last_answer->sealed, f->round.term);
    round_record_grant(&f->round, member, term, position);
    step(f);
}

/* Input: the chosen member answered the promote call. */
void
failover_promote_answered(struct failover *f, clock_ms now, int member,
                          uint64_t call_id, bool promoted)
{
    advance_time(f, now);
    (void)member;
    if (f->state != FAILOVER_PROMOTING ||
        !round_match_promote_answer(&f->round, call_id)) {
        f->counters.late_answers++;
        return;
    }
    if (promoted) {
        promote_complete_round(f);
    }
    else {
        promote_fail_round(f, "the member refused the promotion");
    }
}

/* Input: a member answered a follow call. A refusal needs no action here: a
   probe will show whether the member sealed a higher term. */
void
failover_follow_answered(struct failover *f, clock_ms now, int member,
                         uint64_t call_id, bool following)
{
    advance_time(f, now);
    if (call_id != 0 && f->follow_call_id[member] == call_id) {
        f->follow_call_id[member] = 0;
        if (following) {
            f->members.view[member].not_following_since = -1;
        }
    }
    step(f);
}

/* Input: a seal, promote or follow call failed or timed out. It may have taken
   effect at the member nevertheless. */
void
failover_call_failed(struct failover *f, clock_ms now, int member,
                     uint64_t call_id)
{
    advance_time(f, now);
    if (call_id == 0) {
        return;
    }
    if (f->follow_call_id[member] == call_id) {
        f->follow_call_id[member] = 0;
    }
    else if (f->state == FAILOVER_SEALING &&
             f->round.seal_call_id[member] == call_id) {
        f->round.seal_call_id[member] = 0;
    }
    else if (f->state == FAILOVER_PROMOTING &&
             f->round.promote_call_id == call_id) {
        promote_handle_lost_answer(f);
    }
    step(f);
}

/* Sets whether a member is about to leave the group. A leaving primary is
   replaced by a planned switch. */
void
failover_set_leaving(struct failover *f, clock_ms now, int member,
                     bool leaving)
{
    advance_time(f, now);
    f->members.view[member].leaving = leaving;
}

/* Sets the rank of this proxy. A proxy of rank -1 only probes and never starts
   a round or an automatic switch. */
void
failover_set_rank(struct failover *f, clock_ms now, int rank)
{
    advance_time(f, now);
    f->rank = rank;
}

/* Sets the number of transactions that run on the primary through this proxy.
   A planned switch waits up to switch_limit_ms for it to reach 0. */
void
failover_set_running_transactions(struct failover *f, clock_ms now,
                                  int running_transactions)
{
    advance_time(f, now);
    f->running_transactions = running_transactions;
    if (f->state == FAILOVER_SWITCHING) {
        step(f);
    }
}

/* Replaces the primary at an operator's request by target, or by the best
   member if target is FAILOVER_NO_MEMBER. If the primary is healthy, starts a
   planned switch. If this proxy has lost it, starts a round at once, without
   asking the replicas; without this, a primary that only its replicas can
   reach would never be replaced. Returns false if the target is not usable or
   nothing could be started. */
bool
failover_request_switch(struct failover *f, clock_ms now, int target)
{
    advance_time(f, now);
    if (target != FAILOVER_NO_MEMBER &&
        (target < 0 || target >= f->members.count ||
         target == f->known_primary ||
         f->members.view[target].consecutive_failures > 0)) {
        return false;
    }
    if (f->state == FAILOVER_SUSPECT) {
        const clock_ms since =
            f->now - f->params.probe_interval_ms - f->params.probe_timeout_ms;
        if (members_count_fresh_answers(&f->members, since) <
            members_majority_size(&f->members)) {
            return false;
        }
        failover_log(f, LOG_LEVEL_NOTICE, "switch", target,
                     "operator replaces the primary that this proxy lost");
        promote_start_round(f, target, FAILOVER_NO_MEMBER);
        return true;
    }
    return switch_start(f, SWITCH_OPERATOR, target);
}

/* Input: another proxy has begun a planned switch. Holds new writes until the
   primary changes, but no longer than a switch can take. */
void
failover_peer_switching(struct failover *f, clock_ms now)
{
    advance_time(f, now);
    f->peer_write_hold_until =
        f->now + f->params.switch_limit_ms + f->params.call_timeout_ms;
    failover_update_write_hold(f);
}

/* Input: an unconfirmed report, such as from a peer or a member's answer, that
   member is the primary of term. If the term is newer than the known one, all
   members are probed at once. */
void
failover_hint_primary(struct failover *f, clock_ms now, int member,
                      uint64_t term)
{
    advance_time(f, now);
    if (term > f->term && member >= 0 && member < f->members.count) {
        watch_probe_all(f);
    }
}

enum failover_state
failover_get_state(const struct failover *f)
{
    return f->state;
}

/* Returns the name of a state as shown to operators; a static string. */
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

/* Returns the announced primary, or FAILOVER_NO_MEMBER. */
int
failover_get_primary(const struct failover *f)
{
    return f->announced_primary;
}

/* Returns the term of the newest known primary; 0 before the first. */
uint64_t
failover_get_term(const struct failover *f)
{
    return f->term;
}

bool
failover_is_holding_writes(const struct failover *f)
{
    return f->writes_held;
}

/* Returns the counters since creation; they belong to f. */
const struct failover_counters *
failover_get_counters(const struct failover *f)
{
    return &f->counters;
}
