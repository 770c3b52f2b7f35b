#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/* A time or a duration in milliseconds. Times of different clocks must not be
   compared with each other. */
typedef int64_t clock_ms;

/* A deadline that is never reached. */
#define CLOCK_NEVER INT64_MAX

clock_ms clock_monotonic_ms(void);
clock_ms clock_boottime_ms(void);
clock_ms clock_realtime_ms(void);
int64_t clock_monotonic_us(void);

#endif
