#include "cost/report.h"

#define MS_PER_HOUR 3600000
#define US_PER_MS 1000
#define BYTES_PER_GB 1000000000
/* The daemon is single-threaded, so it uses one core of a VM. */
#define CORES_PER_VM 1

typedef __int128 int128;

/* Returns whole * used / capacity, rounded down, or 0 if capacity is 0. */
static cost_nano
prorate(cost_nano whole, uint64_t used, uint64_t capacity)
{
    if (capacity == 0) {
        return 0;
    }
    return (cost_nano)((int128)whole * used / capacity);
}

cost_nano
cost_breakdown_sum(const struct cost_breakdown *p)
{
    return p->vms + p->connections + p->store + p->traffic;
}

static void
subtract(struct cost_breakdown *a, const struct cost_breakdown *b)
{
    a->vms -= b->vms;
    a->connections -= b->connections;
    a->store -= b->store;
    a->traffic -= b->traffic;
}

/* Returns the actual cost of the fleet. VMs and connections are charged by
   time, whether used or idle; store operations and traffic by volume. */
static struct cost_breakdown
fleet_cost(const struct cost_fleet *f, const struct cost_prices *p)
{
    int128 ms = f->period_ms;

    return (struct cost_breakdown){
        .vms = (cost_nano)((int128)p->vm_hour * p->vms * ms / MS_PER_HOUR),
        .connections = (cost_nano)((int128)p->connection_hour *
                                   f->connections * ms / MS_PER_HOUR),
        .store = (cost_nano)((int128)p->store_read * f->store_reads +
                             (int128)p->store_write * f->store_writes),
        .traffic = (cost_nano)((int128)p->gb * f->bytes / BYTES_PER_GB),
    };
}

/* Returns the cost of one row: its share of each total is its usage divided by
   capacity. reads and writes are the totals for store operations. */
static struct cost_breakdown
row_cost(const struct cost_usage *u, const struct cost_breakdown *total,
         const struct cost_usage *capacity, cost_nano reads, cost_nano writes)
{
    return (struct cost_breakdown){
        .vms = prorate(total->vms, u->cpu_us, capacity->cpu_us),
        .connections = prorate(total->connections, u->connection_ms,
                               capacity->connection_ms),
        .store = prorate(reads, u->store_reads, capacity->store_reads) +
                 prorate(writes, u->store_writes, capacity->store_writes),
        .traffic = prorate(total->traffic, u->bytes, capacity->bytes),
    };
}

/* Distributes the actual cost of the fleet over usage, an array of struct
   cost_row. Each row is rounded down. The remainder, mostly idle capacity, is
   unattributed, so that the rows and it add up to the total exactly. If the
   usage exceeds what the fleet reports, for instance because the two were read
   at different times, the actual cost is divided in proportion to the usage.
 */
struct cost_report *
cost_report_create(const GArray *usage, const struct cost_fleet *fleet,
                   const struct cost_prices *prices)
{
    struct cost_report *r = g_new0(struct cost_report, 1);
    struct cost_usage used = {0};
    uint64_t ms = (uint64_t)fleet->period_ms;

    for (guint i = 0; i < usage->len; i++) {
        cost_usage_add(&used, &g_array_index(usage, struct cost_row, i).used);
    }
    const struct cost_usage capacity = {
        .cpu_us = MAX(used.cpu_us,
                      (uint64_t)prices->vms * ms * US_PER_MS * CORES_PER_VM),
        .connection_ms =
            MAX(used.connection_ms, (uint64_t)fleet->connections * ms),
        .bytes = MAX(used.bytes, fleet->bytes),
        .store_reads = MAX(used.store_reads, fleet->store_reads),
        .store_writes = MAX(used.store_writes, fleet->store_writes),
    };
    cost_nano reads =
        (cost_nano)((int128)prices->store_read * fleet->store_reads);
    cost_nano writes =
        (cost_nano)((int128)prices->store_write * fleet->store_writes);

    r->rows = g_array_new(FALSE, TRUE, sizeof(struct cost_report_row));
    r->total = fleet_cost(fleet, prices);
    r->unattributed = r->total;
    for (guint i = 0; i < usage->len; i++) {
        struct cost_report_row row = {
            .row = g_array_index(usage, struct cost_row, i)};

        row.cost =
            row_cost(&row.row.used, &r->total, &capacity, reads, writes);
        subtract(&r->unattributed, &row.cost);
        g_array_append_val(r->rows, row);
    }
    return r;
}

/* NULL is allowed. */
void
cost_report_destroy(struct cost_report *r)
{
    if (r) {
        g_array_free(r->rows, TRUE);
        g_free(r);
    }
}

static void
append_amount(GString *out, cost_nano amount)
{
    g_string_append_printf(
        out, ",%" G_GINT64_FORMAT ".%09" G_GINT64_MODIFIER "d",
        (gint64)(amount / 1000000000), (gint64)(amount % 1000000000));
}

/* Appends one CSV line without a newline. */
static void
append_line(GString *out, const char *database, const char *kind,
            const struct cost_usage *u, const struct cost_breakdown *p)
{
    const uint64_t fields[] = {u->cpu_us,      u->connection_ms,
                               u->bytes,       u->statements,
                               u->store_reads, u->store_writes};

    g_string_append_printf(out, "%s,%s", database, kind);
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        g_string_append_printf(out, ",%" G_GUINT64_FORMAT, (guint64)fields[i]);
    }
    append_amount(out, p->vms);
    append_amount(out, p->connections);
    append_amount(out, p->store);
    append_amount(out, p->traffic);
    append_amount(out, cost_breakdown_sum(p));
}

/* Returns the report as CSV with a header line. The caller frees it with
   g_free(). */
char *
cost_report_csv(const struct cost_report *r)
{
    static const struct cost_usage none;
    GString *out = g_string_new(
        "database,kind,cpu_us,connection_ms,bytes,statements,store_reads,"
        "store_writes,cost_vms,cost_connections,cost_store,cost_traffic,"
        "cost\n");

    for (guint i = 0; i < r->rows->len; i++) {
        const struct cost_report_row *row =
            &g_array_index(r->rows, struct cost_report_row, i);

        append_line(out, row->row.database, row->row.kind, &row->row.used,
                    &row->cost);
        g_string_append_c(out, '\n');
    }
    append_line(out, "unattributed", "", &none, &r->unattributed);
    g_string_append_c(out, '\n');
    append_line(out, "total", "", &none, &r->total);
    g_string_append_c(out, '\n');
    return g_string_free(out, FALSE);
}

/* Returns row i in the form for the table service: the key is
   PERIOD.DATABASE.KIND and the value a line of the CSV. The row after the last
   one has the unattributed cost, with the key PERIOD.unattributed. Returns
   false for a higher i; otherwise the caller frees *key and *value with
   g_free(). */
bool
cost_report_table_row(const struct cost_report *r, size_t i,
                      const char *period, char **key, char **value)
{
    static const struct cost_usage none;
    GString *out = g_string_new(NULL);

    if (i < r->rows->len) {
        const struct cost_report_row *row =
            &g_array_index(r->rows, struct cost_report_row, i);

        append_line(out, row->row.database, row->row.kind, &row->row.used,
                    &row->cost);
        *key = g_strdup_printf("%s.%s.%s", period, row->row.database,
                               row->row.kind);
    }
    else if (i == r->rows->len) {
        append_line(out, "unattributed", "", &none, &r->unattributed);
        *key = g_strdup_printf("%s.unattributed", period);
    }
    else {
        g_string_free(out, TRUE);
        return false;
    }
    *value = g_string_free(out, FALSE);
    return true;
}
