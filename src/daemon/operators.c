#include "daemon/operators.h"

#include <inttypes.h>
#include <stdarg.h>
#include <sys/resource.h>

#define CELL_BYTES 64

/* Formats a number into buffer of CELL_BYTES and returns buffer. */
static const char *
format_cell(char *buffer, int64_t value)
{
    g_snprintf(buffer, CELL_BYTES, "%" PRId64, value);
    return buffer;
}

/* Adds the row of one member to the table "status". */
static void
add_member_row(struct control_table *t, const struct settings_database *d,
               struct group *g, int member)
{
    const struct route_member_state *v = group_member_state(g, member);
    const struct settings_member *m = &d->members[member];
    char address[CELL_BYTES];
    char term[CELL_BYTES];
    char position[CELL_BYTES];
    char lag[CELL_BYTES];
    char open[CELL_BYTES];
    char used[CELL_BYTES];
    char waiting[CELL_BYTES];

    g_snprintf(address, sizeof(address), "%s:%u", m->address.host,
               m->address.port);
    const int wait =
        admission_waiting(group_admission(g), member, ADMISSION_SHORT) +
        admission_waiting(group_admission(g), member, ADMISSION_BATCH);
    control_table_add(
        t, d->name, address, m->domain,
        member == group_primary(g) ? "primary" : "replica",
        !v->alive    ? "no"
        : v->leaving ? "leaving"
                     : "yes",
        format_cell(term, (int64_t)v->term),
        format_cell(position, (int64_t)v->position),
        format_cell(lag, v->staleness_ms),
        format_cell(open, pool_open_count(group_pool(g), member)),
        format_cell(used, admission_in_use(group_admission(g), member)),
        format_cell(waiting, wait),
        failover_state_name(failover_get_state(group_failover(g))), NULL);
}

/* Fills the table "status": one row for each member of each database. */
static void
fill_status(void *ctx, const char *argument, struct control_table *t)
{
    const struct operators_config *o = ctx;

    (void)argument;
    control_table_add(t, "database", "member", "domain", "role", "up", "term",
                      "position", "lag_ms", "open", "in_use", "waiting",
                      "failover", NULL);
    for (int i = 0; i < o->settings->database_count; i++) {
        const struct settings_database *d = &o->settings->databases[i];
        for (int m = 0; m < d->member_count; m++) {
            add_member_row(t, d, o->groups[i], m);
        }
    }
}

/* Fills the table "members", which lists the proxies of the fleet, not the
   members of database groups. */
static void
fill_members(void *ctx, const char *argument, struct control_table *t)
{
    const struct operators_config *o = ctx;
    const clock_ms now = clock_monotonic_ms();
    struct member_info m;
    char id[CELL_BYTES];
    char last_heard[CELL_BYTES];
    char tickets[CELL_BYTES];

    (void)argument;
    control_table_add(t, "id", "name", "domain", "address", "phase",
                      "heard_ms_ago", "ticket", NULL);
    if (o->peers == NULL) {
        control_table_add(t, format_cell(id, o->settings->id),
                          o->settings->name, o->settings->failure_domain, "",
                          "live", "0", "", NULL);
        return;
    }
    struct membership *list = peers_membership(o->peers);
    for (size_t i = 0; i < membership_size(list); i++) {
        if (!membership_at(list, i, &m)) {
            continue;
        }
        const bool self = m.id == membership_self_id(list);
        control_table_add(
            t, format_cell(id, m.id), m.name, m.domain, m.address,
            member_phase_name(m.phase),
            format_cell(last_heard, self ? 0 : now - m.last_heard),
            format_cell(tickets, (int64_t)m.tickets.highest_ticket), NULL);
    }
}

/* Adds a counter that belongs to no caller kind. scope is a database,
   "process" or "fleet". */
static void
add_counter(struct control_table *t, const char *scope, const char *name,
            uint64_t value)
{
    char text[CELL_BYTES];

    control_table_add(t, scope, "-", name, format_cell(text, (int64_t)value),
                      NULL);
}

/* Adds the counters of a database and caller kind, except those that are
   zero. */
static void
add_kind_counters(struct control_table *t, const struct operators_config *o,
                  int i, int kind)
{
    const struct counters *c = front_counters(o->front);
    char text[CELL_BYTES];

    for (int n = 0; n < COUNTER_COUNT; n++) {
        const uint64_t v = c->value[i][kind][n];
        if (v != 0) {
            control_table_add(t, o->settings->databases[i].name,
                              o->settings->kinds[kind].name,
                              counter_name((enum counter)n),
                              format_cell(text, (int64_t)v), NULL);
        }
    }
}

static void
add_failover_counters(struct control_table *t, const char *name,
                      const struct failover_counters *c)
{
    add_counter(t, name, "failover_suspected", c->suspected);
    add_counter(t, name, "failover_confirmed_elsewhere",
                c->confirmed_elsewhere);
    add_counter(t, name, "failover_rounds_started", c->rounds_started);
    add_counter(t, name, "failover_rounds_failed", c->rounds_failed);
    add_counter(t, name, "failover_rounds_completed", c->rounds_completed);
    add_counter(t, name, "failover_switches_started", c->switches_started);
    add_counter(t, name, "failover_switches_failed", c->switches_failed);
    add_counter(t, name, "failover_late_answers", c->late_answers);
    add_counter(t, name, "failover_pauses", c->pauses);
}

/* Adds the counters of the process and of the fleet's membership protocol. */
static void
add_process_counters(struct control_table *t, const struct operators_config *o)
{
    struct rusage u;

    getrusage(RUSAGE_SELF, &u);
    add_counter(t, "process", "cpu_ms",
                (uint64_t)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1000 +
                    (uint64_t)(u.ru_utime.tv_usec + u.ru_stime.tv_usec) /
                        1000);
    add_counter(t, "process", "max_rss_kb", (uint64_t)u.ru_maxrss);
    add_counter(t, "process", "callers", front_caller_count(o->front));
    if (o->peers == NULL) {
        return;
    }
    const struct membership_counters *m =
        membership_counters(peers_membership(o->peers));
    add_counter(t, "fleet", "bytes_sent", m->bytes);
    add_counter(t, "fleet", "heartbeats", m->heartbeats);
    add_counter(t, "fleet", "refused_over_budget", m->over_budget);
    add_counter(t, "fleet", "suspicions", m->suspicions);
    add_counter(t, "fleet", "deaths", m->deaths);
    add_counter(t, "fleet", "pauses", m->resumes);
}

static void
fill_counters(void *ctx, const char *argument, struct control_table *t)
{
    const struct operators_config *o = ctx;

    (void)argument;
    control_table_add(t, "database", "kind", "counter", "value", NULL);
    for (int i = 0; i < o->settings->database_count; i++) {
        for (int k = 0; k < o->settings->kind_count; k++) {
            add_kind_counters(t, o, i, k);
        }
        add_failover_counters(
            t, o->settings->databases[i].name,
            failover_get_counters(group_failover(o->groups[i])));
    }
    add_process_counters(t, o);
}

/* Begins a graceful shutdown. The answer does not wait for its end. */
static void
on_drain(void *ctx, struct control_reply *r)
{
    const struct operators_config *o = ctx;

    control_reply_send(r, CONTROL_OK, "the proxy is draining");
    o->drain(o->ctx);
}

/* Registers the tables and commands. config must outlive c. */
void
operators_register(struct control *c, const struct operators_config *config)
{
    /* The callbacks do not modify config. */
    void *ctx = (void *)config;

    control_register_table(c, "status", fill_status, ctx);
    control_register_table(c, "members", fill_members, ctx);
    control_register_table(c, "counters", fill_counters, ctx);
    control_register_drain(c, on_drain, ctx);
}
