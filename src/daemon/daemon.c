#include "daemon/daemon.h"

#include "base/held_signal.h"
#include "caller/front.h"
#include "daemon/apply_ticket.h"
#include "daemon/health.h"
#include "daemon/operators.h"
#include "daemon/tickets.h"
#include "daemon/vms.h"
#include "upstream/lending.h"

#define LOG_MODULE "daemon"
#include "base/log.h"

#include <signal.h>
#include <string.h>

struct daemon;

/* Context of a group's callback when a planned switch begins. */
struct switch_ctx {
    struct daemon *daemon;
    int index;
};

struct daemon {
    struct ev_loop *loop;
    const struct settings *settings;
    struct group *groups[SETTINGS_MAX_DATABASES];
    struct front *front;
    struct health *health;
    struct rpc_keys *keys;
    struct control *control;
    struct operators_config operators;
    struct peers *peers;
    struct lending *lending[SETTINGS_MAX_DATABASES];
    struct tickets *tickets;
    struct vms *vms;
    struct switch_ctx switch_ctxs[SETTINGS_MAX_DATABASES];
    GArray *procedures; /* of struct rpc_procedure */
    struct rpc_server *server;
    ev_signal sigterm;
    ev_signal sigint;
    ev_signal sighup;
    ev_timer drain_limit_timer;
    ev_timer drain_notice_timer;
    clock_ms drain_started_at;
    bool draining;
    bool ending; /* all callers are being disconnected */
    enum daemon_exit exit_code;
};

/* A draining proxy keeps running for at least this long: enough for two
   heartbeats, by which the peers learn of the drain, and for a health check by
   the load balancer. */
#define DAEMON_DRAIN_NOTICE_MS 1500
/* The end of the drain limit: statements that still run are cancelled, so that
   members can tell their outcome, and after half of this time all callers are
   disconnected. At most a quarter of the limit. */
#define DAEMON_END_MS 500
#define DAEMON_END_PART 4
/* For callers to receive their last answers, however short the limit is. */
#define DAEMON_CLOSE_MIN_MS 200

/* Ends the event loop once no caller is left and the notice time has
   passed. */
static void
finish_drain(struct daemon *d)
{
    for (int i = 0; i < d->settings->database_count; i++) {
        if (d->lending[i] != NULL) {
            lending_return_all(d->lending[i]);
        }
    }
    ev_break(d->loop, EVBREAK_ALL);
}

static void
on_drain_notice_end(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)loop;
    (void)revents;
    finish_drain(w->data);
}

/* Called when the last caller has disconnected. */
static void
on_drained(void *ctx)
{
    struct daemon *d = ctx;
    const clock_ms left =
        d->drain_started_at + DAEMON_DRAIN_NOTICE_MS - clock_monotonic_ms();

    LOG_NOTICE("drain", NULL, "every caller has disconnected");
    if (d->ending || (d->peers == NULL && d->health == NULL)) {
        finish_drain(d);
        return;
    }
    ev_timer_init(&d->drain_notice_timer, on_drain_notice_end,
                  (double)MAX(left, 0) / 1000.0, 0.0);
    d->drain_notice_timer.data = d;
    ev_timer_start(d->loop, &d->drain_notice_timer);
}

/* Ends the process although callers have not received their last answers. */
static void
on_close_limit(struct ev_loop *loop, ev_timer *w, int revents)
{
    const struct daemon *d = w->data;

    (void)revents;
    LOG_WARNING("drain", NULL, "%u callers have not read their last answers",
                front_caller_count(d->front));
    ev_break(loop, EVBREAK_ALL);
}

/* Calls a function in so many milliseconds, in place of what the timer was set
   to before. */
static void
set_drain_limit_timer(struct daemon *d, int64_t ms,
                      void (*expired)(struct ev_loop *loop, ev_timer *w,
                                      int revents))
{
    ev_timer_stop(d->loop, &d->drain_limit_timer);
    ev_set_cb(&d->drain_limit_timer, expired);
    ev_timer_set(&d->drain_limit_timer, (double)ms / 1000.0, 0.0);
    ev_timer_start(d->loop, &d->drain_limit_timer);
}

/* Returns how long before the drain limit the statements that still run are
   cancelled. */
static int64_t
end_ms(const struct daemon *d)
{
    return MIN(DAEMON_END_MS, d->settings->drain_limit_ms / DAEMON_END_PART);
}

/* Answers all requests and disconnects all callers. The process ends once they
   are gone. */
static void
end_callers(struct daemon *d)
{
    d->ending = true;
    d->exit_code = DAEMON_EXIT_FORCED;
    if (front_caller_count(d->front) == 0) {
        finish_drain(d);
        return;
    }
    set_drain_limit_timer(d, MAX(end_ms(d) / 2, DAEMON_CLOSE_MIN_MS),
                          on_close_limit);
    front_end(d->front);
}

static void
on_cancel_end(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)loop;
    (void)revents;
    end_callers(w->data);
}

/* Called shortly before the drain limit. */
static void
on_drain_limit(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct daemon *d = w->data;

    (void)loop;
    (void)revents;
    if (front_caller_count(d->front) == 0) {
        finish_drain(d);
        return;
    }
    LOG_WARNING("drain", NULL,
                "%u callers are still connected at the drain limit",
                front_caller_count(d->front));
    front_cancel_statements(d->front);
    set_drain_limit_timer(d, end_ms(d) / 2, on_cancel_end);
}

/* Begins a graceful shutdown; does nothing if one is in progress. */
static void
begin_drain(void *ctx)
{
    struct daemon *d = ctx;

    if (d->draining) {
        return;
    }
    d->draining = true;
    d->drain_started_at = clock_monotonic_ms();
    LOG_NOTICE("drain", NULL, "shutting down with %u callers connected",
               front_caller_count(d->front));
    health_set_serving(d->health, false);
    if (d->peers != NULL) {
        peers_leave(d->peers);
    }
    set_drain_limit_timer(d, d->settings->drain_limit_ms - end_ms(d),
                          on_drain_limit);
    front_drain(d->front, on_drained, d);
}

/* The first signal begins a graceful shutdown. A second one disconnects all
   callers at once, and the process ends when they have their answers; a third
   one does not wait for that. */
static void
on_signal(struct ev_loop *loop, ev_signal *w, int revents)
{
    struct daemon *d = w->data;

    (void)revents;
    if (d->ending) {
        LOG_WARNING("drain", NULL,
                    "another signal received, stopping at once");
        ev_break(loop, EVBREAK_ALL);
        return;
    }
    if (d->draining) {
        LOG_WARNING("drain", NULL,
                    "second signal received, disconnecting all callers");
        end_callers(d);
        return;
    }
    begin_drain(d);
}

/* The default action would end the process and cut off its callers. */
static void
on_sighup(struct ev_loop *loop, ev_signal *w, int revents)
{
    (void)loop;
    (void)w;
    (void)revents;
    LOG_WARNING("reload", NULL,
                "SIGHUP is ignored: settings are read at the start only");
}

static void
install_signal_handlers(struct daemon *d)
{
    signal(SIGPIPE, SIG_IGN);
    ev_timer_init(&d->drain_limit_timer, on_drain_limit, 0.0, 0.0);
    d->drain_limit_timer.data = d;
    ev_signal_init(&d->sigterm, on_signal, SIGTERM);
    ev_signal_init(&d->sigint, on_signal, SIGINT);
    d->sigterm.data = d;
    d->sigint.data = d;
    ev_signal_start(d->loop, &d->sigterm);
    ev_signal_start(d->loop, &d->sigint);
    ev_signal_init(&d->sighup, on_sighup, SIGHUP);
    ev_signal_start(d->loop, &d->sighup);
    held_signal_set(SIGHUP, false);
    held_signal_set(SIGTERM, false);
}

/* Up to this many proxies watch every database at the short probe interval, so
   that each of them detects a new primary by its own probes. The others probe
   less often. */
#define DAEMON_MAX_WATCHERS 8

/* Returns this proxy's place in the order in which proxies start a failover,
   or -1 when it only observes. */
static int
failover_rank(const struct settings *s)
{
    int rank = 0;

    for (int i = 0; i < s->peer_count; i++) {
        rank += s->peers[i].id < (uint32_t)s->id;
    }
    return rank < DAEMON_MAX_WATCHERS ? rank : -1;
}

static void
create_groups(struct daemon *d)
{
    const struct settings *s = d->settings;

    for (int i = 0; i < s->database_count; i++) {
        d->groups[i] = group_create(&(struct group_config){
            .loop = d->loop,
            .database = &s->databases[i],
            .kinds = s->kinds,
            .kind_count = s->kind_count,
            .proxy_count = s->peer_count + 1,
            .proxy_id = (uint32_t)s->id,
            .failover_rank = failover_rank(s),
            .policy = FAILOVER_POLICY_STAGGERED,
            .seed = (uint64_t)clock_monotonic_us() ^ (uint64_t)s->id << 48,
        });
    }
}

/* Returns the lending of a database, or NULL. */
static struct lending *
find_lending(struct daemon *d, const char *name)
{
    for (int i = 0; i < d->settings->database_count; i++) {
        if (strcmp(d->settings->databases[i].name, name) == 0) {
            return d->lending[i];
        }
    }
    return NULL;
}

/* Answers a peer that asks to borrow connections. */
static void
on_loan_request(void *ctx, const peer_loan_request *request,
                peer_loan_answer *answer)
{
    struct lending *l = find_lending(ctx, request->database);

    if (l != NULL) {
        lending_serve_request(l, request, answer);
    }
}

/* Takes back connections that a peer had borrowed. */
static void
on_loan_return(void *ctx, const peer_loan_return *returned)
{
    struct lending *l = find_lending(ctx, returned->database);

    if (l != NULL) {
        lending_serve_return(l, returned);
    }
}

/* Called when a peer, answering a message sent at as_of, names the same owners
   as this proxy. */
static void
on_owners_confirmed(void *ctx, uint32_t peer, clock_ms as_of)
{
    struct daemon *d = ctx;

    for (int i = 0; i < d->settings->database_count; i++) {
        if (d->lending[i] != NULL) {
            lending_confirm_lender(d->lending[i], peer, as_of);
        }
    }
}

/* Handles a cancel request that another proxy received. Returns false when its
   caller is not connected here. */
static bool
on_cancel(void *ctx, uint32_t pid, uint32_t secret)
{
    struct daemon *d = ctx;

    return front_cancel(d->front, pid, secret);
}

/* Forwards a cancel request for a caller of another proxy. */
static void
forward_cancel(void *ctx, uint32_t pid, uint32_t secret)
{
    struct daemon *d = ctx;

    if (d->peers != NULL) {
        peers_send_cancel(d->peers, pid, secret);
    }
}

static void
on_ticket_push(void *ctx, const peer_ticket *ticket)
{
    tickets_on_push(((struct daemon *)ctx)->tickets, ticket);
}

static void
on_ticket_pull(void *ctx, const peer_ticket_pull *pull)
{
    tickets_on_pull(((struct daemon *)ctx)->tickets, pull);
}

static void
on_ticket_digest(void *ctx, uint32_t peer, const peer_digest *digest)
{
    struct daemon *d = ctx;

    if (d->tickets != NULL) {
        tickets_on_digest(d->tickets, peer, digest);
    }
}

/* Called when a proxy of the fleet appears, disappears or changes its
   phase. */
static void
on_member_changed(void *ctx, const struct member_info *m,
                  enum member_phase before)
{
    struct daemon *d = ctx;

    (void)before;
    if (d->tickets != NULL) {
        tickets_on_member(d->tickets, m);
    }
}

static bool
apply_ticket(void *ctx, const struct ticket_object *o)
{
    struct daemon *d = ctx;

    return apply_ticket_object(d->settings, d->groups, o);
}

/* A peer begins a planned switch. New work for the primary waits here too
   until the new primary is known. */
static void
on_peer_switching(void *ctx, const char *database)
{
    struct daemon *d = ctx;

    for (int i = 0; i < d->settings->database_count; i++) {
        if (strcmp(d->settings->databases[i].name, database) == 0) {
            failover_peer_switching(group_failover(d->groups[i]),
                                    clock_monotonic_ms());
        }
    }
}

/* This proxy begins a planned switch, and tells its peers. */
static void
on_switching(void *ctx)
{
    const struct switch_ctx *n = ctx;
    struct daemon *d = n->daemon;

    if (d->peers != NULL) {
        peers_send_switching(d->peers, d->settings->databases[n->index].name);
    }
}

static const struct peers_ops peers_callbacks = {
    .loan_request = on_loan_request,
    .loan_return = on_loan_return,
    .ticket_push = on_ticket_push,
    .ticket_pull = on_ticket_pull,
    .ticket_digest = on_ticket_digest,
    .member_changed = on_member_changed,
    .switching = on_peer_switching,
    .owners_confirmed = on_owners_confirmed,
    .cancel = on_cancel,
};

/* Opens the port for operators and peers if the settings name one. Returns
   false and sets error to a text to be freed. */
static bool
create_control(struct daemon *d, char **error)
{
    const struct settings *s = d->settings;

    if (s->control_listen.port == 0) {
        return true;
    }
    d->keys = rpc_keys_create();
    if (!rpc_keys_load(d->keys, s->key_file, error)) {
        return false;
    }
    d->procedures = g_array_new(FALSE, FALSE, sizeof(struct rpc_procedure));
    if (s->peer_count > 0) {
        d->peers = peers_create(d->loop, s, d->keys, &peers_callbacks, d);
        peers_append_procedures(d->peers, d->procedures);
        for (int i = 0; i < s->database_count; i++) {
            d->switch_ctxs[i] = (struct switch_ctx){.daemon = d, .index = i};
            group_set_switch_callback(d->groups[i], on_switching,
                                      &d->switch_ctxs[i]);
            d->lending[i] = lending_create(d->loop, s, &s->databases[i], i,
                                           d->groups[i], d->peers);
        }
    }
    d->operators = (struct operators_config){
        .settings = s,
        .groups = d->groups,
        .front = d->front,
        .peers = d->peers,
        .drain = begin_drain,
        .ctx = d,
    };
    d->tickets = tickets_create(&(struct tickets_config){
        .loop = d->loop,
        .settings = s,
        .peers = d->peers,
        .apply = apply_ticket,
        .ctx = d,
    });
    d->control = control_create();
    tickets_register(d->tickets, d->control);
    operators_register(d->control, &d->operators);
    control_append_procedures(d->control, d->procedures);
    d->server = rpc_server_create(
        d->loop, s->control_listen.host, s->control_listen.port, d->keys,
        (const struct rpc_procedure *)(void *)d->procedures->data,
        d->procedures->len, &(struct rpc_server_limits){0}, error);
    return d->server != NULL;
}

/* Frees what create_control() created. */
static void
destroy_control(struct daemon *d)
{
    if (d->server != NULL) {
        rpc_server_destroy(d->server);
    }
    tickets_destroy(d->tickets);
    for (int i = 0; i < d->settings->database_count; i++) {
        lending_destroy(d->lending[i]);
    }
    peers_destroy(d->peers);
    if (d->control != NULL) {
        control_destroy(d->control);
    }
    if (d->procedures != NULL) {
        g_array_free(d->procedures, TRUE);
    }
    if (d->keys != NULL) {
        rpc_keys_destroy(d->keys);
    }
}

/* Frees everything in the reverse order of its creation. */
static void
destroy_all(struct daemon *d)
{
    if (d->front != NULL) {
        front_destroy(d->front);
    }
    vms_destroy(d->vms);
    destroy_control(d);
    for (int i = 0; i < d->settings->database_count; i++) {
        if (d->groups[i] != NULL) {
            group_destroy(d->groups[i]);
        }
    }
    health_destroy(d->health);
    ev_loop_destroy(d->loop);
}

/* Runs until a signal or an operator ends it. Errors at startup are logged.
   Returns the exit code. */
enum daemon_exit
daemon_run(const struct settings *s)
{
    struct daemon d = {.settings = s, .exit_code = DAEMON_EXIT_START_FAILED};
    char *error = NULL;

    d.loop = ev_default_loop(EVFLAG_AUTO);
    if (s->health_listen.port != 0) {
        d.health = health_create(d.loop, &s->health_listen, &error);
        if (d.health == NULL) {
            goto done;
        }
    }
    create_groups(&d);
    d.front = front_create(d.loop, s, d.groups, &error);
    if (d.front == NULL) {
        goto done;
    }
    front_set_cancel_forwarder(d.front, forward_cancel, &d);
    if (!create_control(&d, &error)) {
        goto done;
    }
    d.vms = vms_create(d.loop, s, d.groups);
    install_signal_handlers(&d);
    d.exit_code = DAEMON_EXIT_CLEAN;
    LOG_NOTICE("start", NULL, "%s serves %d databases on %s:%u", s->name,
               s->database_count, s->listen.host, s->listen.port);
    ev_run(d.loop, 0);
done:
    if (error != NULL) {
        LOG_ERROR("start", NULL, "%s", error);
        g_free(error);
    }
    destroy_all(&d);
    return d.exit_code;
}
