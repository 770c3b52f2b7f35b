#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "settings/settings.h"

/* Exit codes of the daemon, as documented in galenastepd(8). */
enum daemon_exit {
    DAEMON_EXIT_CLEAN = 0,
    DAEMON_EXIT_START_FAILED = 1,
    DAEMON_EXIT_USAGE = 2,
    DAEMON_EXIT_FORCED = 3, /* drain limit reached, or second signal */
};

enum daemon_exit daemon_run(const struct settings *s);

#endif
