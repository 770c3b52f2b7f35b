#ifndef LOAD_SAMPLES_H
#define LOAD_SAMPLES_H

#include <glib.h>
#include <stdint.h>

/* A list of durations in microseconds. */
struct samples {
    GArray *values;
};

void samples_init(struct samples *s);
void samples_clear(struct samples *s);
void samples_add(struct samples *s, int64_t us);
int64_t samples_percentile(struct samples *s, double percent);

#endif
