#include "capacity/process_usage.h"

#include "cost/usage.h"

#include <stdio.h>
#include <string.h>

/* Measures one proxy's usage counters and the report that it sends, for
   several numbers of databases with four caller kinds each. Prints key=value
   lines. */

#define KINDS 4
#define ADDS 200000

/* Adds usage as large as after several days of service, so that the numbers in
   the report have a realistic number of digits. */
static void
add(struct cost_meter *m, unsigned database, unsigned kind)
{
    static const char *const kinds[KINDS] = {"filing", "lookup", "renewal",
                                             "browse"};
    const struct cost_usage used = {.cpu_us = 1234567,
                                    .connection_ms = 7654321,
                                    .bytes = 123456789,
                                    .statements = 1234567,
                                    .store_reads = 1};
    char name[COST_NAME_BYTES];

    g_snprintf(name, sizeof(name), "db-%05u", database);
    cost_meter_add(m, name, kinds[kind % KINDS], &used);
}

static void
measure(unsigned databases)
{
    double heap = process_heap_bytes();
    struct cost_meter *m = cost_meter_create(1, 1);
    unsigned rows = databases * KINDS;

    for (unsigned i = 0; i < rows; i++) {
        add(m, i / KINDS, i);
    }
    printf("databases_%u_bytes_per_row=%.0f\n", databases,
           (process_heap_bytes() - heap) / rows);
    double cpu = process_cpu_us();
    for (unsigned i = 0; i < ADDS; i++) {
        add(m, (i / KINDS) % databases, i);
    }
    printf("databases_%u_add_ns=%.0f\n", databases,
           (process_cpu_us() - cpu) * 1000 / ADDS);
    cpu = process_cpu_us();
    char *text = cost_meter_serialize(m);
    printf("databases_%u_write_us=%.0f\n", databases, process_cpu_us() - cpu);
    printf("databases_%u_push_bytes=%zu\n", databases, strlen(text));
    printf("databases_%u_push_bytes_per_row=%.1f\n", databases,
           (double)strlen(text) / rows);

    struct cost_ledger *l = cost_ledger_create();
    heap = process_heap_bytes();
    cpu = process_cpu_us();
    if (!cost_ledger_merge(l, text, strlen(text))) {
        g_error("report refused");
    }
    printf("databases_%u_merge_us=%.0f\n", databases, process_cpu_us() - cpu);
    printf("databases_%u_ledger_bytes_per_row=%.0f\n", databases,
           (process_heap_bytes() - heap) / rows);
    cost_ledger_destroy(l);
    g_free(text);
    cost_meter_destroy(m);
}

int
main(void)
{
    measure(10);
    measure(27);
    measure(1000);
    return 0;
}
