#include "base/held_signal.h"

#include <signal.h>
#include <stddef.h>

/* Keeps a signal pending while it is held. A process holds a signal from its
   start until the handler is installed if the default action would end it. */
void
held_signal_set(int signum, bool held)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, signum);
    sigprocmask(held ? SIG_BLOCK : SIG_UNBLOCK, &set, NULL);
}
