#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/* A time or a duration in milliseconds. Times of different clocks must not be
   compared with each other. */
typedef int64_t clock_ms;

/* A deadline that is never reached. */
#define CLOCK_NEVER INT64_MAX

clock_ms clock_now(void);
clock_ms clock_boot_now(void);
clock_ms clock_wall_now(void);
int64_t clock_now_us(void);

#endif
