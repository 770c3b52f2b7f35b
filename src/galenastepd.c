#include "base/held_signal.h"
#include "base/log.h"
#include "daemon/daemon.h"
#include "settings/settings.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>

int
main(int argc, char **argv)
{
    char *path = NULL;
    char *error = NULL;
    gboolean print_version = FALSE;
    gboolean check_only = FALSE;
    GError *option_error = NULL;
    enum daemon_exit code = DAEMON_EXIT_USAGE;
    struct settings *s = NULL;
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &path,
         "Settings file (default /etc/galenastep.ini)", "FILE"},
        {"check-config", 0, 0, G_OPTION_ARG_NONE, &check_only,
         "Check the settings file and exit", NULL},
        {"version", 'V', 0, G_OPTION_ARG_NONE, &print_version,
         "Print the version and exit", NULL},
        {0},
    };
    GOptionContext *options =
        g_option_context_new("- database proxy with session consistency");

    held_signal_set(SIGHUP, true);
    held_signal_set(SIGTERM, true);
    log_set_program("galenastepd");
    g_option_context_add_main_entries(options, entries, NULL);
    if (!g_option_context_parse(options, &argc, &argv, &option_error)) {
        fprintf(stderr, "galenastepd: %s\n", option_error->message);
        g_error_free(option_error);
        goto done;
    }
    if (argc > 1) {
        fprintf(stderr, "galenastepd: unexpected argument %s\n", argv[1]);
        goto done;
    }
    if (print_version) {
        printf("galenastepd %s\n", GALENASTEP_VERSION);
        code = DAEMON_EXIT_CLEAN;
        goto done;
    }
    s = settings_load(path == NULL ? "/etc/galenastep.ini" : path, &error);
    if (s == NULL) {
        fprintf(stderr, "galenastepd: %s\n", error);
        goto done;
    }
    if (check_only) {
        printf("settings are valid\n");
        code = DAEMON_EXIT_CLEAN;
        goto done;
    }
    enum log_level level;
    if (log_level_parse(s->log_level, &level)) {
        log_set_level(level);
    }
    code = daemon_run(s);
done:
    g_option_context_free(options);
    settings_free(s);
    g_free(path);
    g_free(error);
    return code;
}
