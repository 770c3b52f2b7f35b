#include "upstream/watch.h"

#include "upstream/control_conn.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define LOG_MODULE "failover"
#include "base/log.h"

#define WATCH_TICK_S 0.01
#define WATCH_CANCEL_TIMEOUT_MS 1000

/* The control connection's own limit lies above the failover slice's, which
   decides; it only frees what can never be answered. */
#define WATCH_CALL_LIMIT_MS 2000

struct watch {
    struct watch_config config;
    struct control_conn *control[SETTINGS_MAX_MEMBERS];
    struct failover *failover;
    struct rng rng;
    ev_timer tick;
};

enum call_kind { CALL_PROBE, CALL_SEAL, CALL_PROMOTE, CALL_FOLLOW };

/* One call on its way to a member. */
struct call {
    struct watch *watch;
    enum call_kind kind;
    int member;
    uint64_t id;
    int64_t sent_us;
};

/* Hands the answer to a probe to the failover slice and to the group. */
static void
take_probe(struct watch *w, const struct call *k, bool ok, struct sview text)
{
    struct group_state s;
    char why[128];

    if (!ok || !group_state_parse(text, &s)) {
        snprintf(why, sizeof(why), "%.*s", (int)text.n, text.p);
        w->config.ops->silent(w->config.ctx, k->member, why);
        failover_probe_failed(w->failover, clock_now(), k->member, k->id);
        return;
    }
    const struct failover_probe p = {
        .term = s.term,
        .position = s.position,
        .role = s.role == GROUP_ROLE_PRIMARY ? FAILOVER_ROLE_PRIMARY
                                             : FAILOVER_ROLE_REPLICA,
        .silence_ms = s.silence_ms,
        .sealed = s.sealed,
        .rtt_us = clock_now_us() - k->sent_us,
    };
    w->config.ops->state(w->config.ctx, k->member, &s);
    failover_probe_answered(w->failover, clock_now(), k->member, k->id, &p);
}

/* Hands the answer to a seal: "granted TERM POSITION" or "refused ...". */
static void
take_seal(struct watch *w, const struct call *k, struct sview text)
{
    char copy[128];
    char verdict[16];
    uint64_t term;
    uint64_t position;

    snprintf(copy, sizeof(copy), "%.*s", (int)text.n, text.p);
    if (sscanf(copy, "%15s %" SCNu64 " %" SCNu64, verdict, &term, &position) !=
        3) {
        failover_call_failed(w->failover, clock_now(), k->member, k->id);
        return;
    }
    failover_seal_answered(w->failover, clock_now(), k->member, k->id,
                           strcmp(verdict, "granted") == 0, term, position);
}

/* Takes the answer of a control connection. */
static void
on_reply(void *ctx, bool ok, struct sview text)
{
    struct call *k = ctx;
    struct watch *w = k->watch;
    const clock_ms now = clock_now();

    if (k->kind == CALL_PROBE) {
        take_probe(w, k, ok, text);
    }
    else if (!ok) {
        LOG_INFO("call", watch_peer(w, k->member), "%.*s", (int)text.n,
                 text.p);
        failover_call_failed(w->failover, now, k->member, k->id);
    }
    else if (k->kind == CALL_SEAL) {
        take_seal(w, k, text);
    }
    else if (k->kind == CALL_PROMOTE) {
        failover_promote_answered(w->failover, now, k->member, k->id, true);
    }
    else {
        failover_follow_answered(w->failover, now, k->member, k->id, true);
    }
    g_free(k);
}

/* Sends one call to a member. */
static void
send_call(struct watch *w, enum call_kind kind, int member, uint64_t id,
          const char *sql)
{
    struct call *k = g_new0(struct call, 1);

    k->watch = w;
    k->kind = kind;
    k->member = member;
    k->id = id;
    k->sent_us = clock_now_us();
    control_conn_call(w->control[member], sql, WATCH_CALL_LIMIT_MS, on_reply,
                      k);
}

/* Action: asks a member for its state. */
static void
action_probe(void *ctx, int member, uint64_t call)
{
    send_call(ctx, CALL_PROBE, member, call, GROUP_SQL_STATE);
}

/* Action: seals a term on a member. */
static void
action_seal(void *ctx, int member, uint64_t term, uint64_t call)
{
    GString *sql = g_string_new(NULL);

    group_sql_seal(sql, term);
    send_call(ctx, CALL_SEAL, member, call, sql->str);
    g_string_free(sql, TRUE);
}

/* Action: makes a member the primary. */
static void
action_promote(void *ctx, int member, uint64_t term, uint64_t call)
{
    GString *sql = g_string_new(NULL);

    group_sql_promote(sql, term);
    send_call(ctx, CALL_PROMOTE, member, call, sql->str);
    g_string_free(sql, TRUE);
}

/* Action: makes a member follow the primary. */
static void
action_follow(void *ctx, int member, uint64_t term, int primary, uint64_t call)
{
    struct watch *w = ctx;
    const struct settings_address *a =
        &w->config.database->members[primary].address;
    GString *sql = g_string_new(NULL);

    group_sql_follow(sql, term, a->host, a->port);
    send_call(w, CALL_FOLLOW, member, call, sql->str);
    g_string_free(sql, TRUE);
}

/* Action: the primary is another one, or none. */
static void
action_primary(void *ctx, int member, uint64_t term)
{
    struct watch *w = ctx;

    w->config.ops->primary(w->config.ctx, member, term);
}

/* Action: holds new writes back, or lets them go. */
static void
action_hold(void *ctx, bool hold)
{
    struct watch *w = ctx;

    w->config.ops->hold(w->config.ctx, hold);
    if (hold && w->failover != NULL &&
        failover_get_state(w->failover) == FAILOVER_SWITCHING) {
        w->config.ops->switching(w->config.ctx);
    }
}

/* Action: a line for the log. */
static void
action_note(void *ctx, enum log_level level, const char *step, int member,
            const char *text)
{
    struct watch *w = ctx;

    LOG_AT(level, step,
           member == FAILOVER_NOBODY ? w->config.database->name
                                     : watch_peer(w, member),
           "%s: %s", w->config.database->name, text);
}

static const struct failover_actions actions = {
    .probe = action_probe,
    .seal = action_seal,
    .promote = action_promote,
    .follow = action_follow,
    .primary_changed = action_primary,
    .hold_writes = action_hold,
    .note = action_note,
};

/* Drives the decisions. */
static void
on_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
    struct watch *w = t->data;

    (void)loop;
    (void)revents;
    failover_tick(w->failover, clock_now());
}

/* Creates the watch; it begins to probe with the next turn of the loop. */
struct watch *
watch_create(const struct watch_config *config)
{
    struct watch *w = g_new0(struct watch, 1);
    const struct settings_database *d = config->database;
    const char *domains[SETTINGS_MAX_MEMBERS];
    struct failover_config f = {
        .proxy_id = config->proxy_id,
        .member_count = d->member_count,
        .domains = domains,
        .rank = config->rank,
        .actions = &actions,
        .ctx = w,
        .rng = &w->rng,
    };

    w->config = *config;
    rng_seed(&w->rng, config->seed);
    failover_settings_default(&f.settings);
    f.settings.policy = config->policy;
    for (int i = 0; i < d->member_count; i++) {
        domains[i] = d->members[i].domain;
        w->control[i] = control_conn_create(
            config->loop, &d->members[i].address, d->name, d->password);
    }
    w->failover = failover_create(&f, clock_now());
    ev_timer_init(&w->tick, on_tick, 0.0, WATCH_TICK_S);
    w->tick.data = w;
    ev_timer_start(config->loop, &w->tick);
    return w;
}

/* Closes the control connections and ends the decisions. Calls in flight are
   dropped. */
void
watch_destroy(struct watch *w)
{
    ev_timer_stop(w->config.loop, &w->tick);
    for (int i = 0; i < w->config.database->member_count; i++) {
        control_conn_destroy(w->control[i]);
    }
    failover_destroy(w->failover);
    g_free(w);
}

/* Returns the decisions, for operators' requests and counters. */
struct failover *
watch_failover(struct watch *w)
{
    return w->failover;
}

/* Returns a member's address for log lines. */
const char *
watch_peer(const struct watch *w, int member)
{
    return control_conn_peer(w->control[member]);
}

/* Takes the answer to a cancel request. */
static void
on_cancelled(void *ctx, bool ok, struct sview text)
{
    if (!ok) {
        LOG_INFO("cancel", control_conn_peer(ctx), "%.*s", (int)text.n,
                 text.p);
    }
}

/* Asks a member to cancel what one of its connections runs. */
void
watch_cancel_backend(struct watch *w, int member, int pid)
{
    GString *sql = g_string_new(NULL);

    group_sql_cancel(sql, pid);
    control_conn_call(w->control[member], sql->str, WATCH_CANCEL_TIMEOUT_MS,
                      on_cancelled, w->control[member]);
    g_string_free(sql, TRUE);
}

/* Returns a parameter as the first connected member reported it, or NULL. */
const char *
watch_parameter(const struct watch *w, const char *name)
{
    for (int i = 0; i < w->config.database->member_count; i++) {
        const char *value = control_conn_parameter(w->control[i], name);
        if (value != NULL) {
            return value;
        }
    }
    return NULL;
}
