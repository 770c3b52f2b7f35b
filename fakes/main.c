#define LOG_MODULE "main"

#include "fakes/host.h"

#include "base/log.h"

#include <signal.h>

#define DEFAULT_RUN_S 600

static void
on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
    (void)w;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

static void
on_stop(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)w;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

/* Serves stand-in database groups until a signal or until --seconds have
   passed. */
int
main(int argc, char **argv)
{
    struct host_options o = {.connections = 16, .slots = 2};
    int seconds = DEFAULT_RUN_S;
    g_auto(GStrv) databases = NULL;
    g_autoptr(GError) error = NULL;
    const GOptionEntry entries[] = {
        {"database", 0, 0, G_OPTION_ARG_STRING_ARRAY, &databases,
         "a database group and the loopback ports of its members",
         "NAME=P,P,P"},
        {"connections", 0, 0, G_OPTION_ARG_INT, &o.connections,
         "connection limit per database, without control connections (16)",
         "N"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &o.slots,
         "statements executed concurrently per member (2)", "N"},
        {"connect-delay-ms", 0, 0, G_OPTION_ARG_INT, &o.connect_delay_ms,
         "delay before the authentication answer (0)", "N"},
        {"replication-delay-ms", 0, 0, G_OPTION_ARG_INT,
         &o.replication_delay_ms, "one-way delay between members (0)", "N"},
        {"short-cost-ms", 0, 0, G_OPTION_ARG_INT, &o.short_cost_ms,
         "simulated execution time on the table entries (0)", "N"},
        {"long-cost-ms", 0, 0, G_OPTION_ARG_INT, &o.long_cost_ms,
         "simulated execution time on the table renewals (0)", "N"},
        {"auto-follow", 0, 0, G_OPTION_ARG_NONE, &o.auto_follow,
         "accept a higher term without group_follow()", NULL},
        {"seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
         "exit after this time (600)", "N"},
        {0},
    };
    g_autoptr(GOptionContext) context =
        g_option_context_new("- stand-in database groups for tests");
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    ev_signal term;
    ev_signal interrupt;
    ev_timer stop;

    log_set_program("galenastep-fake");
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        databases == NULL) {
        LOG_ERROR("options", NULL, "%s",
                  error != NULL ? error->message : "no --database given");
        return 2;
    }
    struct host *h = host_create(loop, &o);
    for (unsigned i = 0; databases[i] != NULL; i++) {
        if (!host_add_database(h, databases[i], &error)) {
            LOG_ERROR("start", NULL, "%s", error->message);
            host_destroy(h);
            return 1;
        }
    }
    ev_signal_init(&term, on_signal, SIGTERM);
    ev_signal_init(&interrupt, on_signal, SIGINT);
    ev_timer_init(&stop, on_stop, seconds, 0);
    ev_signal_start(loop, &term);
    ev_signal_start(loop, &interrupt);
    ev_timer_start(loop, &stop);
    LOG_NOTICE("start", NULL, "ready");
    ev_run(loop, 0);
    host_destroy(h);
    return 0;
}
