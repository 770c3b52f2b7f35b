#include "upstream/group.h"

#include <string.h>

#define LOG_MODULE "group"
#include "base/log.h"

#define GROUP_TICK_S 0.01
#define GROUP_FAILURES_UNTIL_DOWN 3

struct group {
    struct ev_loop *loop;
    const struct settings_database *database;
    struct monitor *monitor;
    struct route_member_state views[SETTINGS_MAX_MEMBERS];
    int consecutive_failures[SETTINGS_MAX_MEMBERS]; /* of probes */
    int primary;   /* member, or ROUTE_NO_PRIMARY */
    uint64_t term; /* of the primary */
    int64_t max_staleness_ms[SETTINGS_MAX_KINDS];
    bool hold_writes; /* new requests for the primary wait for a planned switch
                       */
    struct pool *pool;
    struct admission *admission;
    GQueue queued; /* of struct group_request, linked by its field link */
    uint64_t queue_version; /* incremented when a request leaves the queue */
    uint64_t route_epoch;   /* incremented by each reroute_queued() */
    struct group_lending_ops lending;
    void (*switch_started)(void *ctx);
    void *switch_started_ctx;
    int surplus[SETTINGS_MAX_MEMBERS];
    int permits[SETTINGS_MAX_MEMBERS];
    ev_timer tick_timer;
    clock_ms next_admission_tick;
};

static struct group_request *
request_of(struct admission_request *a)
{
    return a->owner;
}

/* Removes a request from the list of queued ones if it is in it. */
static void
unlink_queued(struct group *g, struct group_request *r)
{
    if (r->link.data != NULL) {
        g_queue_unlink(&g->queued, &r->link);
        r->link.data = NULL;
        g->queue_version++;
    }
}

/* Returns the bit set of members that may serve a request now. */
static uint32_t
eligible_members(const struct group *g, const struct group_request *r,
                 clock_ms now)
{
    return route_eligible_members(
        g->views, g->database->member_count,
        g->hold_writes ? ROUTE_NO_PRIMARY : g->primary, &r->route, now);
}

/* Recomputes the eligible members of each queued request. Admission may grant
   or refuse any request meanwhile, so the traversal restarts when the list has
   changed; the epoch marks the requests that are done. */
static void
reroute_queued(struct group *g)
{
    const clock_ms now = clock_monotonic_ms();
    const uint64_t epoch = ++g->route_epoch;

    for (GList *l = g->queued.head; l != NULL;) {
        struct group_request *r = l->data;
        const uint64_t changes = g->queue_version;
        if (r->route_epoch != epoch) {
            r->route_epoch = epoch;
            const uint32_t set = eligible_members(g, r, now);
            if (set != r->admission.members) {
                admission_set_members(g->admission, now, &r->admission, set);
            }
        }
        l = changes == g->queue_version ? l->next : g->queued.head;
    }
}

/* Passes to admission which members are alive. */
static void
update_usable(struct group *g)
{
    const clock_ms now = clock_monotonic_ms();

    for (int i = 0; i < g->database->member_count; i++) {
        admission_set_member_usable(g->admission, now, i, g->views[i].alive);
    }
}

static void
apply_view_changes(struct group *g)
{
    update_usable(g);
    reroute_queued(g);
}

/* Called by the failover logic when the known primary has changed, or when
   there is none (FAILOVER_NO_MEMBER). */
static void
on_primary_changed(void *ctx, int member, uint64_t term)
{
    struct group *g = ctx;

    g->primary = member == FAILOVER_NO_MEMBER ? ROUTE_NO_PRIMARY : member;
    if (g->primary == ROUTE_NO_PRIMARY) {
        LOG_WARNING("primary", g->database->name, "no primary is known");
    }
    else {
        g->term = term;
        LOG_NOTICE("primary", monitor_member_address(g->monitor, member),
                   "primary of %s in term %" G_GUINT64_FORMAT,
                   g->database->name, term);
    }
    reroute_queued(g);
}

/* Called by the failover logic to hold new requests for the primary during a
   planned switch, or to release them. */
static void
on_hold_writes(void *ctx, bool hold_writes)
{
    struct group *g = ctx;

    g->hold_writes = hold_writes;
    reroute_queued(g);
}

/* Records a member's state, received in a probe or together with a statement's
   answer. A state of an older term than the recorded one is ignored. */
void
group_record_state(struct group *g, int member, const struct group_state *s)
{
    struct route_member_state *v = &g->views[member];
    const bool changed = !v->alive;

    if (s->term < v->term) {
        return;
    }
    if (s->term > g->term && s->role == GROUP_ROLE_PRIMARY) {
        failover_hint_primary(monitor_failover(g->monitor),
                              clock_monotonic_ms(), member, s->term);
    }
    v->alive = true;
    v->term = s->term;
    v->position = s->position;
    v->staleness_ms = s->staleness_ms;
    v->updated_at = clock_monotonic_ms();
    g->consecutive_failures[member] = 0;
    if (changed) {
        apply_view_changes(g);
    }
}

/* Counts a failed probe; takes the member out of use after
   GROUP_FAILURES_UNTIL_DOWN in a row. Other functions set the count to this
   limit first, to take the member out of use at once. */
static void
record_member_failure(struct group *g, int member, const char *why)
{
    g->consecutive_failures[member]++;
    if (g->views[member].alive &&
        g->consecutive_failures[member] >= GROUP_FAILURES_UNTIL_DOWN) {
        LOG_WARNING("probe", monitor_member_address(g->monitor, member),
                    "member of %s is not used until its next answer: %s",
                    g->database->name, why);
        g->views[member].alive = false;
        apply_view_changes(g);
    }
}

/* Takes a member out of use until it answers a probe. Called when the member's
   position is behind the position of a session, that is, when it lacks data
   that a client has already seen. */
void
group_suspend_member(struct group *g, int member)
{
    g->consecutive_failures[member] = GROUP_FAILURES_UNTIL_DOWN;
    record_member_failure(g, member,
                          "its position is behind that of a session");
}

static void
on_probe_answered(void *ctx, int member, const struct group_state *s)
{
    group_record_state(ctx, member, s);
}

static void
on_probe_failed(void *ctx, int member, const char *why)
{
    record_member_failure(ctx, member, why);
}

static void
on_switch_started(void *ctx)
{
    struct group *g = ctx;

    if (g->switch_started != NULL) {
        g->switch_started(g->switch_started_ctx);
    }
}

static const struct monitor_ops monitor_callbacks = {
    .probe_answered = on_probe_answered,
    .probe_failed = on_probe_failed,
    .primary_changed = on_primary_changed,
    .hold_writes = on_hold_writes,
    .switch_started = on_switch_started,
};

/* Calls admission_tick() when due, and passes the number of statements that
   run on the primary to the failover logic, which waits for 0 in a planned
   switch. */
static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct group *g = w->data;
    const clock_ms now = clock_monotonic_ms();

    (void)loop;
    (void)revents;
    if (g->primary != ROUTE_NO_PRIMARY) {
        failover_set_running_transactions(
            monitor_failover(g->monitor), now,
            admission_in_use(g->admission, g->primary));
    }
    if (now >= g->next_admission_tick) {
        g->next_admission_tick = admission_tick(g->admission, now);
    }
}

static void
on_acquired(void *ctx, struct upstream_conn *c)
{
    struct group_request *r = ctx;

    r->conn = c;
    r->granted_at_us = clock_monotonic_us();
    r->granted(r->ctx, c);
}

/* Called when no connection to the member could be opened. The request has not
   run, so it is submitted again, and the member is taken out of use. */
static void
on_acquire_failed(void *ctx, const char *why)
{
    struct group_request *r = ctx;
    struct group *g = r->group;
    const int member = r->admission.member;

    LOG_INFO("connect", monitor_member_address(g->monitor, member),
             "no connection to the member: %s", why);
    admission_release(g->admission, clock_monotonic_ms(), &r->admission, 0);
    g->consecutive_failures[member] = GROUP_FAILURES_UNTIL_DOWN;
    record_member_failure(g, member, why);
    group_submit(g, r);
}

static void
on_grant(void *ctx, struct admission_request *a, int member)
{
    struct group *g = ctx;
    struct group_request *r = request_of(a);

    unlink_queued(g, r);
    pool_acquire(g->pool, member, &r->waiter);
}

static void
on_refuse(void *ctx, struct admission_request *a,
          enum admission_refusal reason)
{
    struct group *g = ctx;
    struct group_request *r = request_of(a);

    unlink_queued(g, r);
    r->refused(r->ctx, reason);
}

/* Cancels a batch statement for more important requests, if its owner allows
   it. */
static void
on_preempt(void *ctx, struct admission_request *a)
{
    struct group *g = ctx;
    struct group_request *r = request_of(a);

    if (r->conn != NULL && r->preempt != NULL && r->preempt(r->ctx)) {
        LOG_INFO("preempt", r->conn->remote_address,
                 "sending a cancel request for a batch statement after "
                 "%lld ms",
                 (long long)(clock_monotonic_ms() - a->started_at));
        group_cancel_statement(g, r->conn);
    }
}

static const struct admission_ops admission_callbacks = {
    .grant = on_grant,
    .refuse = on_refuse,
    .preempt = on_preempt,
};

static void
call_refresh_leases(struct group *g)
{
    if (g->lending.refresh_leases != NULL) {
        g->lending.refresh_leases(g->lending.ctx);
    }
}

/* Queues a request. The caller sets its kind, fingerprint, route and
   callbacks, and deadline_at (0: the kind's deadline; a retry keeps its first
   one). granted() or refused() may be called before this returns. */
void
group_submit(struct group *g, struct group_request *r)
{
    const clock_ms now = clock_monotonic_ms();
    const clock_ms deadline = r->admission.deadline_at;
    const uint64_t fingerprint = r->admission.fingerprint;
    const int kind = r->admission.kind;

    r->group = g;
    r->conn = NULL;
    r->waiter.acquired = on_acquired;
    r->waiter.failed = on_acquire_failed;
    r->waiter.ctx = r;
    r->admission = (struct admission_request){
        .kind = kind,
        .fingerprint = fingerprint,
        .deadline_at = deadline,
        .owner = r,
        .members = eligible_members(g, r, now),
    };
    r->link.data = r;
    g_queue_push_tail_link(&g->queued, &r->link);
    call_refresh_leases(g);
    admission_submit(g->admission, now, &r->admission);
    g->next_admission_tick = 0;
    if (g->queued.length > 0 && g->lending.request_queued != NULL) {
        g->lending.request_queued(g->lending.ctx);
    }
}

/* Withdraws a request for which granted() has not been called. No callback
   follows. */
void
group_cancel(struct group *g, struct group_request *r)
{
    unlink_queued(g, r);
    if (r->waiter.waiting) {
        pool_cancel(g->pool, &r->waiter);
        admission_release(g->admission, clock_monotonic_ms(), &r->admission,
                          0);
        return;
    }
    admission_cancel(g->admission, &r->admission);
}

/* Ends a granted request and returns its connection. */
void
group_finish(struct group *g, struct group_request *r, enum group_return how)
{
    struct upstream_conn *c = r->conn;
    const int64_t busy = clock_monotonic_us() - r->granted_at_us;

    r->conn = NULL;
    call_refresh_leases(g);
    if (how == GROUP_RETURN_CLEAN) {
        pool_release(g->pool, c);
    }
    else if (how == GROUP_RETURN_DISCARD) {
        pool_discard(g->pool, c);
    }
    else {
        pool_drop_closed(g->pool, c);
    }
    admission_release(g->admission, clock_monotonic_ms(), &r->admission, busy);
}

/* Sets how many connections to a member this proxy may use above its floor,
   and how many batch statements may run on them. */
void
group_set_surplus(struct group *g, int member, int connections,
                  int batch_permits)
{
    const clock_ms now = clock_monotonic_ms();

    if (g->surplus[member] == connections &&
        g->permits[member] == batch_permits) {
        return;
    }
    g->surplus[member] = connections;
    g->permits[member] = batch_permits;
    pool_set_limit(g->pool, member, g->database->floor + connections);
    admission_set_surplus(g->admission, now, member, connections);
    admission_set_batch_permits(g->admission, now, member, batch_permits);
}

/* Registers the callbacks of lending, which are copied; a zeroed struct
   removes them. */
void
group_set_lending(struct group *g, const struct group_lending_ops *lending)
{
    g->lending = *lending;
    pool_set_lent_idle_timeout(g->pool, lending->idle_timeout_ms);
}

/* Returns the statement_timeout in milliseconds for the connection of a
   granted request; 0 for no limit. On a lent connection it ends with the
   lease, so that the member cancels the statement even if this process is
   paused. */
int64_t
group_statement_limit(const struct group *g, const struct group_request *r)
{
    if (!r->admission.on_surplus || g->lending.lease_left_ms == NULL) {
        return 0;
    }
    const int64_t left = g->lending.lease_left_ms(
        g->lending.ctx, r->conn->member, r->admission.holds_batch_permit);
    return MAX(left, 1);
}

/* Sets the maximum staleness of reads by callers of a kind. */
void
group_set_max_staleness(struct group *g, int kind, int64_t bound_ms)
{
    g->max_staleness_ms[kind] = bound_ms;
}

/* Returns the maximum staleness of reads by callers of a kind, in
   milliseconds. */
int64_t
group_max_staleness(const struct group *g, int kind)
{
    return g->max_staleness_ms[kind];
}

/* Registers the callback that notifies the other proxies of a planned
   switch. */
void
group_set_switch_callback(struct group *g, void (*switch_started)(void *ctx),
                          void *ctx)
{
    g->switch_started = switch_started;
    g->switch_started_ctx = ctx;
}

/* Marks a member as leaving, for instance because its VM is to be stopped: it
   gets no new reads, and the failover logic is informed. */
void
group_set_leaving(struct group *g, int member, bool leaving)
{
    if (g->views[member].leaving != leaving) {
        g->views[member].leaving = leaving;
        failover_set_leaving(monitor_failover(g->monitor),
                             clock_monotonic_ms(), member, leaving);
        apply_view_changes(g);
    }
}

/* Asks the member to cancel the running statement of a connection. The pool
   closes the connection when it is returned, so that a late cancel cannot hit
   another client's statement. */
void
group_cancel_statement(struct group *g, struct upstream_conn *c)
{
    c->cancel_pending = true;
    monitor_cancel_backend(g->monitor, c->member, upstream_conn_pid(c));
}

/* Returns a server parameter as reported by a member, such as server_version;
   NULL while no control connection is open. */
const char *
group_parameter(const struct group *g, const char *name)
{
    return monitor_parameter(g->monitor, name);
}

const char *
group_name(const struct group *g)
{
    return g->database->name;
}

const struct route_member_state *
group_member_state(const struct group *g, int member)
{
    return &g->views[member];
}

/* Returns the primary's index, or ROUTE_NO_PRIMARY. */
int
group_primary(const struct group *g)
{
    return g->primary;
}

struct admission *
group_admission(struct group *g)
{
    return g->admission;
}

struct failover *
group_failover(struct group *g)
{
    return monitor_failover(g->monitor);
}

const struct pool *
group_pool(const struct group *g)
{
    return g->pool;
}

static struct admission *
create_admission(struct group *g, const struct settings_kind *kinds,
                 int kind_count)
{
    struct admission_kind list[ADMISSION_MAX_KINDS];

    for (int i = 0; i < kind_count; i++) {
        list[i] = (struct admission_kind){
            .name = kinds[i].name,
            .class = kinds[i].class == SETTINGS_CLASS_BATCH ? ADMISSION_BATCH
                                                            : ADMISSION_SHORT,
            .priority = kinds[i].priority,
            .queue_limit = (uint32_t)kinds[i].queue,
            .deadline = kinds[i].deadline_ms,
            .straggler_limit = kinds[i].straggler_ms,
        };
    }
    return admission_create(&admission_callbacks, g, list, kind_count,
                            g->database->member_count);
}

/* Sets the initial connection limits. A proxy without peers borrows nothing:
   it gets the whole surplus of the database and, if there is any, one batch
   permit per member. */
static void
set_initial_limits(struct group *g, int proxy_count)
{
    const struct settings_database *d = g->database;
    const clock_ms now = clock_monotonic_ms();
    const int surplus =
        proxy_count > 1
            ? 0
            : (d->connections - d->floor * d->member_count) / d->member_count;

    for (int i = 0; i < d->member_count; i++) {
        admission_set_floor(g->admission, now, i, d->floor);
        group_set_surplus(g, i, surplus, surplus > 0);
    }
}

/* Creates the state of a database group and starts to probe its members. The
   settings in config must outlive it. */
struct group *
group_create(const struct group_config *config)
{
    struct ev_loop *loop = config->loop;
    const struct settings_database *database = config->database;
    struct group *g = g_new0(struct group, 1);

    g->loop = loop;
    g->database = database;
    g->primary = ROUTE_NO_PRIMARY;
    g_queue_init(&g->queued);
    for (int i = 0; i < config->kind_count; i++) {
        g->max_staleness_ms[i] = config->kinds[i].max_staleness_ms;
    }
    g->pool = pool_create(loop, database);
    g->admission = create_admission(g, config->kinds, config->kind_count);
    g->monitor = monitor_create(&(struct monitor_config){
        .loop = loop,
        .database = database,
        .proxy_id = config->proxy_id,
        .rank = config->failover_rank,
        .policy = config->policy,
        .seed = config->seed,
        .ops = &monitor_callbacks,
        .ctx = g,
    });
    set_initial_limits(g, config->proxy_count);
    ev_timer_init(&g->tick_timer, on_tick, 0.0, GROUP_TICK_S);
    g->tick_timer.data = g;
    ev_timer_start(loop, &g->tick_timer);
    return g;
}

/* Closes all connections to the group and frees it. */
void
group_destroy(struct group *g)
{
    ev_timer_stop(g->loop, &g->tick_timer);
    monitor_destroy(g->monitor);
    pool_destroy(g->pool);
    admission_destroy(g->admission);
    g_free(g);
}
