#include "upstream/monitor.h"

#include "upstream/control_conn.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define LOG_MODULE "failover"
#include "base/log.h"

#define MONITOR_TICK_S 0.01
#define MONITOR_CANCEL_TIMEOUT_MS 1000

/* Timeout of a call on the control connection. It is longer than the timeouts
   of the failover logic, which decide; it only frees calls that are never
   answered. */
#define MONITOR_CALL_TIMEOUT_MS 2000

struct monitor {
    struct monitor_config config;
    struct control_conn *control[SETTINGS_MAX_MEMBERS];
    struct failover *failover;
    struct rng rng;
    ev_timer tick_timer;
};

enum call_kind { CALL_PROBE, CALL_SEAL, CALL_PROMOTE, CALL_FOLLOW };

struct pending_call {
    struct monitor *monitor;
    enum call_kind kind;
    int member;
    uint64_t id; /* given by the failover logic */
    int64_t sent_us;
};

/* Passes the answer to a probe to the group and to the failover logic. */
static void
handle_probe_answer(struct monitor *m, const struct pending_call *call,
                    bool ok, struct sview text)
{
    struct group_state s;
    char why[128];

    if (!ok || !group_state_parse(text, &s)) {
        snprintf(why, sizeof(why), "%.*s", (int)text.n, text.p);
        m->config.ops->probe_failed(m->config.ctx, call->member, why);
        failover_probe_failed(m->failover, clock_monotonic_ms(), call->member,
                              call->id);
        return;
    }
    const struct failover_probe_answer p = {
        .term = s.term,
        .position = s.position,
        .role = s.role == GROUP_ROLE_PRIMARY ? FAILOVER_ROLE_PRIMARY
                                             : FAILOVER_ROLE_REPLICA,
        .silence_ms = s.silence_ms,
        .sealed = s.sealed,
        .rtt_us = clock_monotonic_us() - call->sent_us,
    };
    m->config.ops->probe_answered(m->config.ctx, call->member, &s);
    failover_probe_answered(m->failover, clock_monotonic_ms(), call->member,
                            call->id, &p);
}

/* Passes the answer to a seal call to the failover logic. The text is
   "granted TERM POSITION" or "refused SEALED_TERM POSITION". */
static void
handle_seal_answer(struct monitor *m, const struct pending_call *call,
                   struct sview text)
{
    char copy[128];
    char verdict[16];
    uint64_t term;
    uint64_t position;

    snprintf(copy, sizeof(copy), "%.*s", (int)text.n, text.p);
    if (sscanf(copy, "%15s %" SCNu64 " %" SCNu64, verdict, &term, &position) !=
        3) {
        failover_call_failed(m->failover, clock_monotonic_ms(), call->member,
                             call->id);
        return;
    }
    failover_seal_answered(m->failover, clock_monotonic_ms(), call->member,
                           call->id, strcmp(verdict, "granted") == 0, term,
                           position);
}

static void
on_reply(void *ctx, bool ok, struct sview text)
{
    struct pending_call *call = ctx;
    struct monitor *m = call->monitor;
    const clock_ms now = clock_monotonic_ms();

    if (call->kind == CALL_PROBE) {
        handle_probe_answer(m, call, ok, text);
    }
    else if (!ok) {
        LOG_INFO("call", monitor_member_address(m, call->member),
                 "call failed: %.*s", (int)text.n, text.p);
        failover_call_failed(m->failover, now, call->member, call->id);
    }
    else if (call->kind == CALL_SEAL) {
        handle_seal_answer(m, call, text);
    }
    else if (call->kind == CALL_PROMOTE) {
        failover_promote_answered(m->failover, now, call->member, call->id,
                                  true);
    }
    else {
        failover_follow_answered(m->failover, now, call->member, call->id,
                                 true);
    }
    g_free(call);
}

static void
send_call(struct monitor *m, enum call_kind kind, int member, uint64_t id,
          const char *sql)
{
    struct pending_call *call = g_new0(struct pending_call, 1);

    call->monitor = m;
    call->kind = kind;
    call->member = member;
    call->id = id;
    call->sent_us = clock_monotonic_us();
    control_conn_call(m->control[member], sql, MONITOR_CALL_TIMEOUT_MS,
                      on_reply, call);
}

/* The action_*() functions are called by the failover logic. */

static void
action_probe(void *ctx, int member, uint64_t call)
{
    send_call(ctx, CALL_PROBE, member, call, GROUP_SQL_STATE);
}

static void
action_seal(void *ctx, int member, uint64_t term, uint64_t call)
{
    GString *sql = g_string_new(NULL);

    group_sql_seal(sql, term);
    send_call(ctx, CALL_SEAL, member, call, sql->str);
    g_string_free(sql, TRUE);
}

static void
action_promote(void *ctx, int member, uint64_t term, uint64_t call)
{
    GString *sql = g_string_new(NULL);

    group_sql_promote(sql, term);
    send_call(ctx, CALL_PROMOTE, member, call, sql->str);
    g_string_free(sql, TRUE);
}

static void
action_follow(void *ctx, int member, uint64_t term, int primary, uint64_t call)
{
    struct monitor *m = ctx;
    const struct settings_address *a =
        &m->config.database->members[primary].address;
    GString *sql = g_string_new(NULL);

    group_sql_follow(sql, term, a->host, a->port);
    send_call(m, CALL_FOLLOW, member, call, sql->str);
    g_string_free(sql, TRUE);
}

static void
action_primary_changed(void *ctx, int member, uint64_t term)
{
    struct monitor *m = ctx;

    m->config.ops->primary_changed(m->config.ctx, member, term);
}

/* Also reports the start of a planned switch, which begins with a hold. During
   failover_create() m->failover is still NULL. */
static void
action_hold_writes(void *ctx, bool hold_writes)
{
    struct monitor *m = ctx;

    m->config.ops->hold_writes(m->config.ctx, hold_writes);
    if (hold_writes && m->failover != NULL &&
        failover_get_state(m->failover) == FAILOVER_SWITCHING) {
        m->config.ops->switch_started(m->config.ctx);
    }
}

static void
action_log_event(void *ctx, enum log_level level, const char *step, int member,
                 const char *text)
{
    struct monitor *m = ctx;

    LOG_AT(level, step,
           member == FAILOVER_NO_MEMBER ? m->config.database->name
                                        : monitor_member_address(m, member),
           "%s: %s", m->config.database->name, text);
}

static const struct failover_actions actions = {
    .probe = action_probe,
    .seal = action_seal,
    .promote = action_promote,
    .follow = action_follow,
    .primary_changed = action_primary_changed,
    .hold_writes = action_hold_writes,
    .log_event = action_log_event,
};

static void
on_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
    struct monitor *m = t->data;

    (void)loop;
    (void)revents;
    failover_tick(m->failover, clock_monotonic_ms());
}

/* Creates the monitor; probing starts with the next iteration of the event
   loop. */
struct monitor *
monitor_create(const struct monitor_config *config)
{
    struct monitor *m = g_new0(struct monitor, 1);
    const struct settings_database *d = config->database;
    const char *domains[SETTINGS_MAX_MEMBERS];
    struct failover_config f = {
        .proxy_id = config->proxy_id,
        .member_count = d->member_count,
        .domains = domains,
        .rank = config->rank,
        .actions = &actions,
        .ctx = m,
        .rng = &m->rng,
    };

    m->config = *config;
    rng_seed(&m->rng, config->seed);
    failover_settings_default(&f.settings);
    f.settings.policy = config->policy;
    for (int i = 0; i < d->member_count; i++) {
        domains[i] = d->members[i].domain;
        m->control[i] = control_conn_create(
            config->loop, &d->members[i].address, d->name, d->password);
    }
    m->failover = failover_create(&f, clock_monotonic_ms());
    ev_timer_init(&m->tick_timer, on_tick, 0.0, MONITOR_TICK_S);
    m->tick_timer.data = m;
    ev_timer_start(config->loop, &m->tick_timer);
    return m;
}

/* Closes the control connections and frees the monitor. Calls in flight fail
   first, so that their callbacks run before this returns. */
void
monitor_destroy(struct monitor *m)
{
    ev_timer_stop(m->config.loop, &m->tick_timer);
    for (int i = 0; i < m->config.database->member_count; i++) {
        control_conn_destroy(m->control[i]);
    }
    failover_destroy(m->failover);
    g_free(m);
}

struct failover *
monitor_failover(struct monitor *m)
{
    return m->failover;
}

/* Returns a member's address as "HOST:PORT", for log lines. */
const char *
monitor_member_address(const struct monitor *m, int member)
{
    return control_conn_address(m->control[member]);
}

static void
on_cancelled(void *ctx, bool ok, struct sview text)
{
    if (!ok) {
        LOG_INFO("cancel", control_conn_address(ctx), "cancel failed: %.*s",
                 (int)text.n, text.p);
    }
}

/* Asks a member to cancel the running statement of the backend with the given
   process id. A failure is only logged. */
void
monitor_cancel_backend(struct monitor *m, int member, int pid)
{
    GString *sql = g_string_new(NULL);

    group_sql_cancel(sql, pid);
    control_conn_call(m->control[member], sql->str, MONITOR_CANCEL_TIMEOUT_MS,
                      on_cancelled, m->control[member]);
    g_string_free(sql, TRUE);
}

/* Returns a server parameter as reported by the first member with an open
   control connection, or NULL. */
const char *
monitor_parameter(const struct monitor *m, const char *name)
{
    for (int i = 0; i < m->config.database->member_count; i++) {
        const char *value = control_conn_parameter(m->control[i], name);
        if (value != NULL) {
            return value;
        }
    }
    return NULL;
}
