#include "load/options.h"

#define LOG_MODULE "main"
#include "base/log.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum exit_code { EXIT_CODE_DONE = 0, EXIT_CODE_TOOL = 1, EXIT_CODE_USAGE = 2 };

static const struct {
    const char *name;
    bool (*run)(const struct load_options *o);
} experiments[] = {
    {"latency", latency_run},
    {"throughput", throughput_run},
    {"idle", idle_run},
    {"answer", answer_run},
    {"consistency", consistency_run},
    {"batches", batches_run},
    {"crest", crest_run},
    {"failover", failover_run},
};

/* Returns true if the list is given and every address in it has a port. */
static bool
addresses_have_ports(char **list)
{
    for (int i = 0; list != NULL && list[i] != NULL; i++) {
        if (strchr(list[i], ':') == NULL) {
            return false;
        }
    }
    return list != NULL;
}

static enum exit_code
run(const char *name, const struct load_options *o)
{
    for (size_t i = 0; i < G_N_ELEMENTS(experiments); i++) {
        if (strcmp(experiments[i].name, name) != 0) {
            continue;
        }
        if (!experiments[i].run(o)) {
            fprintf(stderr,
                    "galenastep-load: %s could not be measured; the values "
                    "above are incomplete\n",
                    name);
            return EXIT_CODE_TOOL;
        }
        return EXIT_CODE_DONE;
    }
    fprintf(stderr, "galenastep-load: unknown experiment %s\n", name);
    return EXIT_CODE_USAGE;
}

int
main(int argc, char **argv)
{
    struct load_options o = {.seed = 1,
                             .seconds = 5.0,
                             .clients = 64,
                             .megabytes = 1024,
                             .cases = 1};
    GError *error = NULL;
    enum exit_code code = EXIT_CODE_USAGE;
    gboolean verbose = FALSE;
    const GOptionEntry entries[] = {
        {"proxy", 'p', 0, G_OPTION_ARG_STRING_ARRAY, &o.proxies,
         "Address of a proxy; may be repeated", "HOST:PORT"},
        {"member", 'm', 0, G_OPTION_ARG_STRING_ARRAY, &o.members,
         "Address of a member, in the group's order; may be repeated",
         "HOST:PORT"},
        {"database", 'd', 0, G_OPTION_ARG_STRING, &o.database,
         "Database (boats)", "NAME"},
        {"site", 0, 0, G_OPTION_ARG_STRING, &o.site,
         "Set of caller kinds to use: registry or guild (registry)", "SITE"},
        {"seed", 0, 0, G_OPTION_ARG_INT64, &o.seed,
         "Seed of the random number generator (1)", "N"},
        {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &o.seconds,
         "Length of the measurement (5)", "S"},
        {"clients", 0, 0, G_OPTION_ARG_INT, &o.clients, "Connections (64)",
         "N"},
        {"proxy-pid", 0, 0, G_OPTION_ARG_INT, &o.proxy_pid,
         "Proxy process whose memory and CPU time are measured", "PID"},
        {"megabytes", 0, 0, G_OPTION_ARG_INT, &o.megabytes,
         "Size of the large answer (1024)", "N"},
        {"cases", 0, 0, G_OPTION_ARG_INT, &o.cases,
         "Repetitions of the failover (1)", "N"},
        {"verbose", 'v', 0, G_OPTION_ARG_NONE, &verbose,
         "Log every answer that reports no success", NULL},
        {0},
    };
    GOptionContext *context = g_option_context_new(
        "latency|throughput|idle|answer|consistency|batches|crest|failover");

    log_set_program("galenastep-load");
    signal(SIGPIPE, SIG_IGN);
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "galenastep-load: %s\n", error->message);
        g_error_free(error);
        goto done;
    }
    if (o.database == NULL) {
        o.database = g_strdup("boats");
    }
    if (o.site == NULL) {
        o.site = g_strdup("registry");
    }
    if (argc != 2 || !addresses_have_ports(o.proxies) ||
        !addresses_have_ports(o.members) || o.clients < 1 ||
        o.seconds <= 0.0) {
        fprintf(stderr, "galenastep-load: name one experiment, --proxy and "
                        "--member with ports; see --help\n");
        goto done;
    }
    log_set_level(verbose ? LOG_LEVEL_DEBUG : LOG_LEVEL_NOTICE);
    code = run(argv[1], &o);
done:
    g_option_context_free(context);
    g_strfreev(o.proxies);
    g_strfreev(o.members);
    g_free(o.database);
    g_free(o.site);
    return code;
}
