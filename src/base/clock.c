#include "base/clock.h"

#include <time.h>

/* Returns the time of CLOCK_MONOTONIC in milliseconds. Only I/O code reads the
   clock; state machines get the time as an argument. */
clock_ms
clock_monotonic_ms(void)
{
    return clock_monotonic_us() / 1000;
}

/* Returns the time of CLOCK_MONOTONIC in microseconds, to measure latency. */
int64_t
clock_monotonic_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static clock_ms
read_clock(clockid_t id)
{
    struct timespec ts;

    clock_gettime(id, &ts);
    return (clock_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Returns the time of CLOCK_BOOTTIME in milliseconds. Unlike the monotonic
   clock it keeps running while the VM is suspended, so leases use it. */
clock_ms
clock_boottime_ms(void)
{
    return read_clock(CLOCK_BOOTTIME);
}

/* Returns Unix time in milliseconds. It may jump when the clock is set, so use
   it only for timestamps in log lines and for incarnation numbers. */
clock_ms
clock_realtime_ms(void)
{
    return read_clock(CLOCK_REALTIME);
}
