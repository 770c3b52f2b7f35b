#include "platform.h"

#include <glib.h>
#include <stdio.h>

#define DEFAULT_RUN_S 600

/* Serves until --seconds have passed, so that a forgotten process ends. */
int
main(int argc, char **argv)
{
    int port = 0;
    int seconds = DEFAULT_RUN_S;
    const GOptionEntry entries[] = {
        {"port", 0, 0, G_OPTION_ARG_INT, &port,
         "port to listen on; 0 selects a free one", "N"},
        {"seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
         "time to serve before exit (600)", "N"},
        {0},
    };
    GOptionContext *options = g_option_context_new("- platform stand-in");
    GError *error = NULL;

    g_option_context_add_main_entries(options, entries, NULL);
    if (!g_option_context_parse(options, &argc, &argv, &error) || port < 0 ||
        port > 65535 || seconds < 0) {
        (void)fprintf(stderr, "galenastep-fake-platform: %s\n",
                      error ? error->message : "value out of range");
        return 2;
    }
    g_option_context_free(options);
    struct fake_platform *f = fake_platform_start((uint16_t)port);

    if (!f) {
        (void)fprintf(stderr,
                      "galenastep-fake-platform: cannot listen on the port\n");
        return 1;
    }
    printf("port=%d\n", fake_platform_port(f));
    (void)fflush(stdout);
    g_usleep((gulong)seconds * G_USEC_PER_SEC);
    fake_platform_stop(f);
    return 0;
}
