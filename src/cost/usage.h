#ifndef COST_USAGE_H
#define COST_USAGE_H

#include "base/sview.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define COST_NAME_BYTES 64
#define COST_TEXT_MAX_BYTES ((size_t)1 << 20)

/* Resource usage; all counters are monotonic. */
struct cost_usage {
    uint64_t cpu_us;        /* CPU time of the proxy */
    uint64_t connection_ms; /* time in use of upstream connections */
    uint64_t bytes;         /* sent to and received from callers */
    uint64_t statements;
    uint64_t store_reads;
    uint64_t store_writes;
};

/* Usage of one database by one caller kind. */
struct cost_row {
    char database[COST_NAME_BYTES];
    char kind[COST_NAME_BYTES];
    struct cost_usage used;
};

/* Accumulates the usage of one proxy since its start. */
struct cost_meter;

struct cost_meter *cost_meter_create(uint64_t proxy, uint64_t incarnation);
void cost_meter_destroy(struct cost_meter *m);
bool cost_meter_add(struct cost_meter *m, const char *database,
                    const char *kind, const struct cost_usage *used);
char *cost_meter_serialize(struct cost_meter *m);

/* Merges the totals of the meters of all proxies. */
struct cost_ledger;

struct cost_ledger *cost_ledger_create(void);
void cost_ledger_destroy(struct cost_ledger *l);
bool cost_ledger_merge(struct cost_ledger *l, const char *text, size_t n);
GArray *cost_ledger_rows(const struct cost_ledger *l);
void cost_rows_subtract(GArray *rows, const GArray *before);

void cost_usage_add(struct cost_usage *sum, const struct cost_usage *used);
bool cost_name_valid(const char *name);

#endif
