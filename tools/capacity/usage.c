#include "capacity/usage.h"

#include <malloc.h>
#include <time.h>

/* Returns the CPU time of this process in microseconds. */
double
usage_cpu_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/* Returns the bytes in use on the heap. */
double
usage_heap_bytes(void)
{
    struct mallinfo2 i = mallinfo2();

    return (double)i.uordblks + (double)i.hblkhd;
}
