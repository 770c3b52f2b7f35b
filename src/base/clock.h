#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/* Milliseconds on a monotonic clock; the origin has no meaning. */
typedef int64_t clock_ms;

#define CLOCK_NEVER INT64_MAX

clock_ms clock_now(void);
clock_ms clock_boot_now(void);
clock_ms clock_wall_now(void);
int64_t clock_now_us(void);

#endif
