#ifndef COST_REPORT_H
#define COST_REPORT_H

#include "cost/usage.h"

/* An amount of money in units of 10^-9 of the currency. Prices of single store
   operations are integers in this unit, so sums are exact. */
typedef int64_t cost_nano;

/* The group [prices] of the settings. */
struct cost_prices {
    cost_nano vm_hour;         /* of one VM for an hour */
    int64_t vms;               /* number of VMs of proxies that are paid for */
    cost_nano connection_hour; /* of one upstream connection for an hour */
    cost_nano store_read;      /* of one operation, like the next */
    cost_nano store_write;
    cost_nano gb; /* of 10^9 bytes of traffic */
};

/* Total consumption of the fleet in a period, attributed to a database or not.
 */
struct cost_fleet {
    int64_t period_ms;
    int64_t connections; /* paid upstream connections of all databases */
    uint64_t store_reads;
    uint64_t store_writes;
    uint64_t bytes;
};

struct cost_breakdown {
    cost_nano vms;
    cost_nano connections;
    cost_nano store;
    cost_nano traffic;
};

struct cost_report_row {
    struct cost_row row;
    struct cost_breakdown cost;
};

/* The costs of rows plus unattributed equal total. */
struct cost_report {
    GArray *rows; /* of struct cost_report_row */
    struct cost_breakdown unattributed;
    struct cost_breakdown total;
};

bool cost_prices_read(GKeyFile *file, struct cost_prices *out, char *reason,
                      size_t n_reason);
struct cost_report *cost_report_create(const GArray *usage,
                                       const struct cost_fleet *fleet,
                                       const struct cost_prices *prices);
void cost_report_destroy(struct cost_report *r);
cost_nano cost_breakdown_sum(const struct cost_breakdown *p);
char *cost_report_csv(const struct cost_report *r);
bool cost_report_table_row(const struct cost_report *r, size_t i,
                           const char *period, char **key, char **value);

#endif
