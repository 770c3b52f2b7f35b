#include "base/clock.h"

#include <time.h>

/* Returns the monotonic time in milliseconds. Only I/O code calls this;
   decision code is handed the time. */
clock_ms
clock_now(void)
{
    return clock_now_us() / 1000;
}

/* Returns the monotonic time in microseconds, for latency figures. */
int64_t
clock_now_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* Reads one of the kernel's clocks in milliseconds. */
static clock_ms
read_clock(clockid_t id)
{
    struct timespec ts;

    clock_gettime(id, &ts);
    return (clock_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Returns milliseconds on a clock that also counts the time for which the VM
   was suspended. Leases are measured on it. */
clock_ms
clock_boot_now(void)
{
    return read_clock(CLOCK_BOOTTIME);
}

/* Returns Unix milliseconds. They may jump, so they only label log lines and
   incarnations. */
clock_ms
clock_wall_now(void)
{
    return read_clock(CLOCK_REALTIME);
}
