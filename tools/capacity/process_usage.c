#include "capacity/process_usage.h"

#include <malloc.h>
#include <time.h>

/* Returns the CPU time that this process has used, in microseconds. */
double
process_cpu_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/* Returns the number of heap bytes in use (mallinfo2). */
double
process_heap_bytes(void)
{
    struct mallinfo2 i = mallinfo2();

    return (double)i.uordblks + (double)i.hblkhd;
}
