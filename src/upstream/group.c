#include "upstream/group.h"

#include <string.h>

#define LOG_MODULE "group"
#include "base/log.h"

#define GROUP_TICK_S 0.01
#define GROUP_PROBE_FAILURES 3

struct group {
    struct ev_loop *loop;
    const struct settings_database *database;
    struct watch *watch;
    struct route_view views[SETTINGS_MAX_MEMBERS];
    int failures[SETTINGS_MAX_MEMBERS]; /* probes in a row without answer */
    int primary;
    uint64_t term;
    int64_t max_staleness_ms[SETTINGS_MAX_KINDS];
    bool hold; /* new work for the primary waits during a planned switch */
    struct pool *pool;
    struct admission *admission;
    GQueue queued; /* of struct group_request, by its link */
    uint64_t queue_changes;
    uint64_t route_epoch;
    struct group_lending lending;
    void (*switching)(void *ctx);
    void *switching_ctx;
    int surplus[SETTINGS_MAX_MEMBERS];
    int permits[SETTINGS_MAX_MEMBERS];
    ev_timer tick;
    clock_ms next_admission;
};

/* Returns the request whose admission record this is. */
static struct group_request *
request_of(struct admission_request *a)
{
    return a->owner;
}

/* Takes a request off the list of queued ones. */
static void
unlink_queued(struct group *g, struct group_request *r)
{
    if (r->link.data != NULL) {
        g_queue_unlink(&g->queued, &r->link);
        r->link.data = NULL;
        g->queue_changes++;
    }
}

/* Returns the members that may serve a request now. */
static uint32_t
members_for(const struct group *g, const struct group_request *r, clock_ms now)
{
    return route_members(g->views, g->database->member_count,
                         g->hold ? ROUTE_NO_PRIMARY : g->primary, &r->route,
                         now);
}

/* Works out again where each queued request may run. Admission may grant or
   refuse any request meanwhile, so the walk starts again when the list has
   changed; the epoch tells which requests were done. */
static void
reroute_queued(struct group *g)
{
    const clock_ms now = clock_now();
    const uint64_t epoch = ++g->route_epoch;

    for (GList *l = g->queued.head; l != NULL;) {
        struct group_request *r = l->data;
        const uint64_t changes = g->queue_changes;
        if (r->route_epoch != epoch) {
            r->route_epoch = epoch;
            const uint32_t set = members_for(g, r, now);
            if (set != r->admission.members) {
                admission_set_members(g->admission, now, &r->admission, set);
            }
        }
        l = changes == g->queue_changes ? l->next : g->queued.head;
    }
}

/* Tells admission which members answer. */
static void
update_usable(struct group *g)
{
    const clock_ms now = clock_now();

    for (int i = 0; i < g->database->member_count; i++) {
        admission_set_member_usable(g->admission, now, i, g->views[i].alive);
    }
}

/* Applies a change of what is known of the members. */
static void
views_changed(struct group *g)
{
    update_usable(g);
    reroute_queued(g);
}

/* The failover slice knows of another primary, or of none. */
static void
on_primary(void *ctx, int member, uint64_t term)
{
    struct group *g = ctx;

    g->primary = member == FAILOVER_NOBODY ? ROUTE_NO_PRIMARY : member;
    if (g->primary == ROUTE_NO_PRIMARY) {
        LOG_WARNING("primary", g->database->name, "no primary is known");
    }
    else {
        g->term = term;
        LOG_NOTICE("primary", watch_peer(g->watch, member),
                   "primary of %s in term %" G_GUINT64_FORMAT,
                   g->database->name, term);
    }
    reroute_queued(g);
}

/* The failover slice holds new work for the primary, or lets it go. */
static void
on_hold(void *ctx, bool hold)
{
    struct group *g = ctx;

    g->hold = hold;
    reroute_queued(g);
}

/* Takes what a member said of itself, in a probe or beside a statement. */
void
group_note_state(struct group *g, int member, const struct group_state *s)
{
    struct route_view *v = &g->views[member];
    const bool changed = !v->alive;

    if (s->term < v->term) {
        return;
    }
    if (s->term > g->term && s->role == GROUP_ROLE_PRIMARY) {
        failover_hint_primary(watch_failover(g->watch), clock_now(), member,
                              s->term);
    }
    v->alive = true;
    v->term = s->term;
    v->position = s->position;
    v->staleness_ms = s->staleness_ms;
    v->updated_at = clock_now();
    g->failures[member] = 0;
    if (changed) {
        views_changed(g);
    }
}

/* Notes that a member did not answer. */
static void
member_failed(struct group *g, int member, const char *why)
{
    g->failures[member]++;
    if (g->views[member].alive &&
        g->failures[member] >= GROUP_PROBE_FAILURES) {
        LOG_WARNING("probe", watch_peer(g->watch, member),
                    "member of %s does not answer: %s", g->database->name,
                    why);
        g->views[member].alive = false;
        views_changed(g);
    }
}

/* Stops using a member until it answers a probe, after it proved to be behind
   what it should know. */
void
group_distrust(struct group *g, int member)
{
    g->failures[member] = GROUP_PROBE_FAILURES;
    member_failed(g, member, "it is behind a session that was shown more");
}

/* Takes a probe's answer. */
static void
on_state(void *ctx, int member, const struct group_state *s)
{
    group_note_state(ctx, member, s);
}

/* Takes a probe's failure. */
static void
on_silent(void *ctx, int member, const char *why)
{
    member_failed(ctx, member, why);
}

/* This proxy begins a planned switch. */
static void
on_switching(void *ctx)
{
    struct group *g = ctx;

    if (g->switching != NULL) {
        g->switching(g->switching_ctx);
    }
}

static const struct watch_ops watch_callbacks = {
    .state = on_state,
    .silent = on_silent,
    .primary = on_primary,
    .hold = on_hold,
    .switching = on_switching,
};

/* Drives the queue's deadlines and tells the failover slice how much runs. */
static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct group *g = w->data;
    const clock_ms now = clock_now();

    (void)loop;
    (void)revents;
    if (g->primary != ROUTE_NO_PRIMARY) {
        failover_set_running(watch_failover(g->watch), now,
                             admission_in_use(g->admission, g->primary));
    }
    if (now >= g->next_admission) {
        g->next_admission = admission_tick(g->admission, now);
    }
}

/* Hands a connection to the request that waited for it. */
static void
on_acquired(void *ctx, struct upstream_conn *c)
{
    struct group_request *r = ctx;

    r->conn = c;
    r->granted_us = clock_now_us();
    r->granted(r->ctx, c);
}

/* No connection to the member could be opened: nothing was run, so the
   request goes back to the queue while the member counts as failed. */
static void
on_acquire_failed(void *ctx, const char *why)
{
    struct group_request *r = ctx;
    struct group *g = r->group;
    const int member = r->admission.member;

    LOG_INFO("connect", watch_peer(g->watch, member), "no connection: %s",
             why);
    admission_release(g->admission, clock_now(), &r->admission, 0);
    g->failures[member] = GROUP_PROBE_FAILURES;
    member_failed(g, member, why);
    group_submit(g, r);
}

/* Admission lets a request run on a member. */
static void
on_grant(void *ctx, struct admission_request *a, int member)
{
    struct group *g = ctx;
    struct group_request *r = request_of(a);

    unlink_queued(g, r);
    pool_acquire(g->pool, member, &r->waiter);
}

/* Admission refuses a request. */
static void
on_refuse(void *ctx, struct admission_request *a,
          enum admission_refusal reason)
{
    struct group *g = ctx;
    struct group_request *r = request_of(a);

    unlink_queued(g, r);
    r->refused(r->ctx, reason);
}

/* Admission asks to give up a batch that holds up more important work. */
static void
on_preempt(void *ctx, struct admission_request *a)
{
    struct group *g = ctx;
    struct group_request *r = request_of(a);

    if (r->conn != NULL && r->preempt != NULL && r->preempt(r->ctx)) {
        LOG_INFO("preempt", r->conn->peer,
                 "cancel a batch statement after "
                 "%lld ms",
                 (long long)(clock_now() - a->started_at));
        group_cancel_statement(g, r->conn);
    }
}

static const struct admission_ops admission_callbacks = {
    .grant = on_grant,
    .refuse = on_refuse,
    .preempt = on_preempt,
};

/* Asks which leases are still in force. */
static void
refresh_shares(struct group *g)
{
    if (g->lending.refresh != NULL) {
        g->lending.refresh(g->lending.ctx);
    }
}

/* Queues a request. The caller has set its kind, fingerprint, route,
   callbacks and, for a retry, its deadline. granted() or refused() may be
   called before this returns. */
void
group_submit(struct group *g, struct group_request *r)
{
    const clock_ms now = clock_now();
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
        .members = members_for(g, r, now),
    };
    r->link.data = r;
    g_queue_push_tail_link(&g->queued, &r->link);
    refresh_shares(g);
    admission_submit(g->admission, now, &r->admission);
    g->next_admission = 0;
    if (g->queued.length > 0 && g->lending.waiting != NULL) {
        g->lending.waiting(g->lending.ctx);
    }
}

/* Withdraws a request that has not been granted a connection. */
void
group_cancel(struct group *g, struct group_request *r)
{
    unlink_queued(g, r);
    if (r->waiter.waiting) {
        pool_cancel(g->pool, &r->waiter);
        admission_release(g->admission, clock_now(), &r->admission, 0);
        return;
    }
    admission_cancel(g->admission, &r->admission);
}

/* Gives a granted connection back. */
void
group_finish(struct group *g, struct group_request *r, enum group_return how)
{
    struct upstream_conn *c = r->conn;
    const int64_t busy = clock_now_us() - r->granted_us;

    r->conn = NULL;
    refresh_shares(g);
    if (how == GROUP_RETURN_CLEAN) {
        pool_release(g->pool, c);
    }
    else if (how == GROUP_RETURN_DISCARD) {
        pool_discard(g->pool, c);
    }
    else {
        pool_forget(g->pool, c);
    }
    admission_release(g->admission, clock_now(), &r->admission, busy);
}

/* Sets what this proxy may use of a member beyond its floor, and how many
   batch statements may run there. */
void
group_set_surplus(struct group *g, int member, int connections,
                  int batch_permits)
{
    const clock_ms now = clock_now();

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

/* Registers those who lend; a record of zeros ends it. */
void
group_set_lending(struct group *g, const struct group_lending *lending)
{
    g->lending = *lending;
    pool_set_lent_idle_timeout(g->pool, lending->idle_timeout_ms);
}

/* Returns how long a statement on the request's connection may run, in
   milliseconds: until its lease ends, so that the member stops what a paused
   holder cannot; 0 for no limit, for work that the floor admits. */
int64_t
group_statement_limit(const struct group *g, const struct group_request *r)
{
    if (!r->admission.on_surplus || g->lending.lease_left == NULL) {
        return 0;
    }
    const int64_t left = g->lending.lease_left(
        g->lending.ctx, r->conn->member, r->admission.holds_batch_permit);
    return MAX(left, 1);
}

/* Sets how stale a read of a caller kind may be, in milliseconds. */
void
group_set_max_staleness(struct group *g, int kind, int64_t bound_ms)
{
    g->max_staleness_ms[kind] = bound_ms;
}

/* Returns how stale a read of a caller kind may be, in milliseconds. */
int64_t
group_max_staleness(const struct group *g, int kind)
{
    return g->max_staleness_ms[kind];
}

/* Registers who tells the other proxies of a planned switch. */
void
group_set_switching(struct group *g, void (*switching)(void *ctx), void *ctx)
{
    g->switching = switching;
    g->switching_ctx = ctx;
}

/* Marks a member as leaving: it gets no new reads. */
void
group_set_leaving(struct group *g, int member, bool leaving)
{
    if (g->views[member].leaving != leaving) {
        g->views[member].leaving = leaving;
        failover_set_leaving(watch_failover(g->watch), clock_now(), member,
                             leaving);
        views_changed(g);
    }
}

/* Refuses new work; what was admitted goes on. */
void
group_set_draining(struct group *g)
{
    admission_set_draining(g->admission, true);
}

/* Asks the member to cancel what a connection runs. The connection is closed
   afterwards, so that a late cancel cannot hit someone else's statement. */
void
group_cancel_statement(struct group *g, struct upstream_conn *c)
{
    c->cancel_pending = true;
    watch_cancel_backend(g->watch, c->member, upstream_conn_pid(c));
}

/* Returns a parameter as a member reported it, such as server_version; NULL
   while no member is connected. */
const char *
group_parameter(const struct group *g, const char *name)
{
    return watch_parameter(g->watch, name);
}

/* Returns the database's name. */
const char *
group_name(const struct group *g)
{
    return g->database->name;
}

/* Returns what is known of a member. */
const struct route_view *
group_view(const struct group *g, int member)
{
    return &g->views[member];
}

/* Returns the primary's index, or ROUTE_NO_PRIMARY. */
int
group_primary(const struct group *g)
{
    return g->primary;
}

/* Returns the queue in front of the group, for counters. */
struct admission *
group_admission(struct group *g)
{
    return g->admission;
}

/* Returns the failover decisions, for operators. */
struct failover *
group_failover(struct group *g)
{
    return watch_failover(g->watch);
}

/* Returns the pool, for counters. */
const struct pool *
group_pool(const struct group *g)
{
    return g->pool;
}

/* Makes the queue from the settings of the caller kinds. */
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

/* Sets the connections that this proxy may use. A proxy without peers has the
   whole database to itself; the surplus and one batch permit are then its
   own. */
static void
set_shares(struct group *g, int proxy_count)
{
    const struct settings_database *d = g->database;
    const clock_ms now = clock_now();
    const int surplus =
        proxy_count > 1
            ? 0
            : (d->connections - d->floor * d->member_count) / d->member_count;

    for (int i = 0; i < d->member_count; i++) {
        admission_set_floor(g->admission, now, i, d->floor);
        group_set_surplus(g, i, surplus, surplus > 0);
    }
}

/* Creates the view of a database group and begins to watch it. */
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
    g->watch = watch_create(&(struct watch_config){
        .loop = loop,
        .database = database,
        .proxy_id = config->proxy_id,
        .rank = config->watch_rank,
        .policy = config->policy,
        .seed = config->seed,
        .ops = &watch_callbacks,
        .ctx = g,
    });
    set_shares(g, config->proxy_count);
    ev_timer_init(&g->tick, on_tick, 0.0, GROUP_TICK_S);
    g->tick.data = g;
    ev_timer_start(loop, &g->tick);
    return g;
}

/* Closes everything that belongs to the group. */
void
group_destroy(struct group *g)
{
    ev_timer_stop(g->loop, &g->tick);
    watch_destroy(g->watch);
    pool_destroy(g->pool);
    admission_destroy(g->admission);
    g_free(g);
}
