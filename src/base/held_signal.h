#ifndef BASE_HELD_SIGNAL_H
#define BASE_HELD_SIGNAL_H

#include <stdbool.h>

void held_signal_set(int signum, bool held);

#endif
