#ifndef LOAD_DURATIONS_H
#define LOAD_DURATIONS_H

#include <glib.h>
#include <stdint.h>

/* A list of durations in microseconds. */
struct durations {
    GArray *values;
};

void durations_init(struct durations *s);
void durations_clear(struct durations *s);
void durations_add(struct durations *s, int64_t us);
int64_t durations_percentile(struct durations *s, double percent);

#endif
