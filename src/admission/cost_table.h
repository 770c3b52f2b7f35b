#ifndef ADMISSION_COST_TABLE_H
#define ADMISSION_COST_TABLE_H

#include <stdint.h>

/* Mean statement costs in microseconds by fingerprint, in a table of fixed
   size. */
struct cost_table;

struct cost_table *cost_table_create(uint32_t entries);
void cost_table_destroy(struct cost_table *t);
int64_t cost_table_mean(struct cost_table *t, uint64_t fingerprint,
                        int64_t fallback_us);
void cost_table_add(struct cost_table *t, uint64_t fingerprint,
                    int64_t cost_us);
void cost_table_raise(struct cost_table *t, uint64_t fingerprint,
                      int64_t at_least_us);
void cost_table_decay(struct cost_table *t, uint64_t fingerprint);

#endif
