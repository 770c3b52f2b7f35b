#ifndef COST_REPORT_H
#define COST_REPORT_H

#include "cost/usage.h"

/* Money in units of 10^-9 of the currency, so that the price of one store
   operation is a whole number and sums are exact. */
typedef int64_t cost_nano;

/* The group [prices] of the settings. */
struct cost_prices {
    cost_nano vm_hour;
    int64_t vms; /* entry VMs that are paid for */
    cost_nano connection_hour;
    cost_nano store_read;
    cost_nano store_write;
    cost_nano gb; /* 10^9 bytes */
};

/* What the fleet consumed in the period, whoever caused it. */
struct cost_fleet {
    int64_t period_ms;
    int64_t connections; /* upstream connections paid for, all databases */
    uint64_t store_reads;
    uint64_t store_writes;
    uint64_t bytes;
};

struct cost_parts {
    cost_nano vms;
    cost_nano connections;
    cost_nano store;
    cost_nano traffic;
};

struct cost_report_row {
    struct cost_row row;
    struct cost_parts parts;
};

/* rows, then one row for what no database caused; together they are total. */
struct cost_report {
    GArray *rows; /* of struct cost_report_row */
    struct cost_parts unattributed;
    struct cost_parts total;
};

bool cost_prices_read(GKeyFile *file, struct cost_prices *out, char *reason,
                      size_t n_reason);
struct cost_report *cost_report_new(const GArray *usage,
                                    const struct cost_fleet *fleet,
                                    const struct cost_prices *prices);
void cost_report_free(struct cost_report *r);
cost_nano cost_parts_sum(const struct cost_parts *p);
char *cost_report_csv(const struct cost_report *r);
bool cost_report_table_row(const struct cost_report *r, size_t i,
                           const char *period, char **key, char **value);

#endif
