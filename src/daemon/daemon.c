#include "daemon/daemon.h"

#include "caller/front.h"
#include "daemon/health.h"

#define LOG_MODULE "daemon"
#include "base/log.h"

#include <signal.h>

/* Everything that runs in the process. */
struct daemon {
    struct ev_loop *loop;
    const struct settings *settings;
    struct group *groups[SETTINGS_MAX_DATABASES];
    struct front *front;
    struct health *health;
    ev_signal term;
    ev_signal interrupt;
    ev_timer limit;
    bool draining;
    enum daemon_exit code;
};

/* Ends the loop when the last caller has gone. */
static void
on_drained(void *ctx)
{
    struct daemon *d = ctx;

    LOG_NOTICE("drain", NULL, "every caller has gone");
    ev_break(d->loop, EVBREAK_ALL);
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
    d->draining = true;
    LOG_NOTICE("drain", NULL, "shutting down, %u callers are connected",
               front_caller_count(d->front));
    health_set_serving(d->health, false);
    ev_timer_set(&d->limit, (double)d->settings->drain_limit_ms / 1000.0, 0.0);
    ev_timer_start(loop, &d->limit);
    front_drain(d->front, on_drained, d);
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

/* Returns this proxy's place among those that watch: its id's order among the
   first three, the rest only observe. */
static int
watch_rank(const struct settings *s)
{
    return (int)((s->id - 1) % (s->peer_count + 1));
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
            .watch_rank = watch_rank(s),
            .policy = FAILOVER_POLICY_STAGGERED,
            .seed = (uint64_t)clock_now_us() ^ (uint64_t)s->id << 48,
        });
    }
}

/* Frees all that was created, in the opposite order. */
static void
destroy_all(struct daemon *d)
{
    if (d->front != NULL) {
        front_destroy(d->front);
    }
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
