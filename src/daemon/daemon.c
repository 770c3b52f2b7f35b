#include "daemon/daemon.h"

#include "caller/front.h"
#include "daemon/apply.h"
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

/* One database and the daemon it belongs to. */
struct switch_notice {
    struct daemon *daemon;
    int index;
};

/* Everything that runs in the process. */
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
    struct switch_notice notices[SETTINGS_MAX_DATABASES];
    GArray *procedures; /* of struct rpc_procedure */
    struct rpc_server *server;
    ev_signal term;
    ev_signal interrupt;
    ev_timer limit;
    ev_timer notice;
    clock_ms drain_since;
    bool draining;
    enum daemon_exit code;
};

/* A draining proxy stays up at least this long, so that every peer hears of it
   by a heartbeat, two of which are sent in this time, and the balancer by a
   health check. */
#define DAEMON_NOTICE_MS 1500

/* Ends the loop: no caller is left, and the others know. */
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

/* The time in which the others hear of the drain is over. */
static void
on_noticed(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)loop;
    (void)revents;
    finish_drain(w->data);
}

/* The last caller has gone. */
static void
on_drained(void *ctx)
{
    struct daemon *d = ctx;
    const clock_ms left = d->drain_since + DAEMON_NOTICE_MS - clock_now();

    LOG_NOTICE("drain", NULL, "every caller has gone");
    if (d->peers == NULL && d->health == NULL) {
        finish_drain(d);
        return;
    }
    ev_timer_init(&d->notice, on_noticed, (double)MAX(left, 0) / 1000.0, 0.0);
    d->notice.data = d;
    ev_timer_start(d->loop, &d->notice);
}

/* Ends a shutdown that takes too long. */
static void
on_limit(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct daemon *d = w->data;

    (void)revents;
    LOG_WARNING("drain", NULL, "%u callers remain at the drain limit",
                front_caller_count(d->front));
    d->code = DAEMON_EXIT_FORCED;
    ev_break(loop, EVBREAK_ALL);
}

/* Begins a graceful shutdown. */
static void
begin_drain(void *ctx)
{
    struct daemon *d = ctx;

    if (d->draining) {
        return;
    }
    d->draining = true;
    d->drain_since = clock_now();
    LOG_NOTICE("drain", NULL, "shutting down, %u callers are connected",
               front_caller_count(d->front));
    health_set_serving(d->health, false);
    if (d->peers != NULL) {
        peers_leave(d->peers);
    }
    ev_timer_set(&d->limit, (double)d->settings->drain_limit_ms / 1000.0, 0.0);
    ev_timer_start(d->loop, &d->limit);
    front_drain(d->front, on_drained, d);
}

/* The first signal begins a graceful shutdown, the second one ends it. */
static void
on_signal(struct ev_loop *loop, ev_signal *w, int revents)
{
    struct daemon *d = w->data;

    (void)revents;
    if (d->draining) {
        LOG_WARNING("drain", NULL, "second signal, stopping at once");
        d->code = DAEMON_EXIT_FORCED;
        ev_break(loop, EVBREAK_ALL);
        return;
    }
    begin_drain(d);
}

/* Installs the signal handlers. */
static void
watch_signals(struct daemon *d)
{
    signal(SIGPIPE, SIG_IGN);
    ev_timer_init(&d->limit, on_limit, 0.0, 0.0);
    d->limit.data = d;
    ev_signal_init(&d->term, on_signal, SIGTERM);
    ev_signal_init(&d->interrupt, on_signal, SIGINT);
    d->term.data = d;
    d->interrupt.data = d;
    ev_signal_start(d->loop, &d->term);
    ev_signal_start(d->loop, &d->interrupt);
}

/* Up to this many proxies watch every database, since each of them then learns
   of a new primary by its own probes; the others observe with longer
   intervals. */
#define DAEMON_WATCHERS 8

/* Returns this proxy's place in the order in which proxies start a failover;
   -1 for one that only observes. */
static int
failover_rank(const struct settings *s)
{
    int rank = 0;

    for (int i = 0; i < s->peer_count; i++) {
        rank += s->peers[i].id < (uint32_t)s->id;
    }
    return rank < DAEMON_WATCHERS ? rank : -1;
}

/* Creates the groups of every database. */
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
            .seed = (uint64_t)clock_now_us() ^ (uint64_t)s->id << 48,
        });
    }
}

/* Finds the lending of a database by name. */
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

/* A peer asks for lent connections. */
static void
on_loan_request(void *ctx, const peer_loan_request *request,
                peer_loan_answer *answer)
{
    struct lending *l = find_lending(ctx, request->database);

    if (l != NULL) {
        lending_serve_request(l, request, answer);
    }
}

/* A peer gives lent connections back. */
static void
on_loan_return(void *ctx, const peer_loan_return *returned)
{
    struct lending *l = find_lending(ctx, returned->database);

    if (l != NULL) {
        lending_serve_return(l, returned);
    }
}

/* A peer has the same view of the fleet. */
static void
on_agreed(void *ctx, uint32_t peer, clock_ms as_of)
{
    struct daemon *d = ctx;

    for (int i = 0; i < d->settings->database_count; i++) {
        if (d->lending[i] != NULL) {
            lending_confirm_lender(d->lending[i], peer, as_of);
        }
    }
}

/* A cancel request came to another proxy. */
static bool
on_cancel(void *ctx, uint32_t pid, uint32_t secret)
{
    struct daemon *d = ctx;

    return front_cancel(d->front, pid, secret);
}

/* A cancel request came here for a caller of another proxy. */
static void
on_foreign_cancel(void *ctx, uint32_t pid, uint32_t secret)
{
    struct daemon *d = ctx;

    if (d->peers != NULL) {
        peers_send_cancel(d->peers, pid, secret);
    }
}

/* A peer sent tickets. */
static void
on_ticket_push(void *ctx, const peer_ticket *ticket)
{
    tickets_on_push(((struct daemon *)ctx)->tickets, ticket);
}

/* A peer asks for tickets. */
static void
on_ticket_pull(void *ctx, const peer_ticket_pull *pull)
{
    tickets_on_pull(((struct daemon *)ctx)->tickets, pull);
}

/* A peer says which tickets it has. */
static void
on_ticket_digest(void *ctx, uint32_t peer, const peer_digest *digest)
{
    struct daemon *d = ctx;

    if (d->tickets != NULL) {
        tickets_on_digest(d->tickets, peer, digest);
    }
}

/* A proxy came or went. */
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

/* A ticket gave an object a new state. */
static bool
on_apply(void *ctx, const struct ticket_object *o)
{
    struct daemon *d = ctx;

    return apply_object(d->settings, d->groups, o);
}

/* A peer begins a planned switch: new work for the primary is held here too,
   until the new primary is known. */
static void
on_peer_switching(void *ctx, const char *database)
{
    struct daemon *d = ctx;

    for (int i = 0; i < d->settings->database_count; i++) {
        if (strcmp(d->settings->databases[i].name, database) == 0) {
            failover_peer_switching(group_failover(d->groups[i]), clock_now());
        }
    }
}

/* This proxy begins a planned switch. */
static void
on_switching(void *ctx)
{
    const struct switch_notice *n = ctx;
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
    .agreed = on_agreed,
    .cancel = on_cancel,
};

/* Opens the port for operators and peers, when the settings name one. */
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
            d->notices[i] = (struct switch_notice){.daemon = d, .index = i};
            group_set_switch_callback(d->groups[i], on_switching,
                                      &d->notices[i]);
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
        .apply = on_apply,
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

/* Frees what create_control() made. */
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

/* Frees all that was created, in the opposite order. */
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

/* Runs the daemon until it is told to stop; returns its exit code. */
enum daemon_exit
daemon_run(const struct settings *s)
{
    struct daemon d = {.settings = s, .code = DAEMON_EXIT_START};
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
    front_set_foreign_cancel(d.front, on_foreign_cancel, &d);
    if (!create_control(&d, &error)) {
        goto done;
    }
    d.vms = vms_create(d.loop, s, d.groups);
    watch_signals(&d);
    d.code = DAEMON_EXIT_CLEAN;
    LOG_NOTICE("start", NULL, "%s serves %d databases on %s:%u", s->name,
               s->database_count, s->listen.host, s->listen.port);
    ev_run(d.loop, 0);
done:
    if (error != NULL) {
        LOG_ERROR("start", NULL, "%s", error);
        g_free(error);
    }
    destroy_all(&d);
    return d.code;
}
