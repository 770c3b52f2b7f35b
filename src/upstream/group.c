#include "upstream/group.h"

#include <string.h>

#define LOG_MODULE "group"
#include "base/log.h"

#define GROUP_TICK_S 0.01
#define GROUP_PROBE_INTERVAL_MS 200
#define GROUP_PROBE_TIMEOUT_MS 300
#define GROUP_PROBE_FAILURES 3
#define GROUP_CANCEL_TIMEOUT_MS 1000

/* One member with its control connection. */
struct group_member {
    struct group *group;
    int index;
    struct control_conn *control;
    enum group_role role;
    int failures; /* probes without an answer in a row */
    bool probing;
};

struct group {
    struct ev_loop *loop;
    const struct settings_database *database;
    struct group_member members[SETTINGS_MAX_MEMBERS];
    struct route_view views[SETTINGS_MAX_MEMBERS];
    int primary;
    uint64_t term;
    struct pool *pool;
    struct admission *admission;
    GQueue queued; /* of struct group_request, by its link */
    uint64_t queue_changes;
    uint64_t route_epoch;
    ev_timer tick;
    clock_ms next_probe;
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
            const uint32_t set =
                route_members(g->views, g->database->member_count, g->primary,
                              &r->route, now);
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

/* Chooses the primary: the member that leads the highest term. */
static void
choose_primary(struct group *g)
{
    int best = ROUTE_NO_PRIMARY;
    uint64_t term = 0;

    for (int i = 0; i < g->database->member_count; i++) {
        if (g->views[i].alive && g->members[i].role == GROUP_ROLE_PRIMARY &&
            g->views[i].term >= term) {
            best = i;
            term = g->views[i].term;
        }
    }
    /* A member that reached a higher term proves that the old one is over. */
    if (best != ROUTE_NO_PRIMARY && term < g->term) {
        best = ROUTE_NO_PRIMARY;
    }
    if (best == g->primary && (best == ROUTE_NO_PRIMARY || term == g->term)) {
        return;
    }
    g->primary = best;
    if (best == ROUTE_NO_PRIMARY) {
        LOG_WARNING("primary", g->database->name, "no primary is known");
    }
    else {
        g->term = term;
        LOG_NOTICE("primary", control_conn_peer(g->members[best].control),
                   "primary of %s in term %" G_GUINT64_FORMAT,
                   g->database->name, term);
    }
}

/* Applies a change of what is known of the members. */
static void
views_changed(struct group *g)
{
    choose_primary(g);
    update_usable(g);
    reroute_queued(g);
}

/* Takes what a member said of itself, in a probe or beside a statement. */
void
group_note_state(struct group *g, int member, const struct group_state *s)
{
    struct route_view *v = &g->views[member];
    struct group_member *m = &g->members[member];
    const bool changed = !v->alive || v->term != s->term || m->role != s->role;

    if (token_compare(s->term, s->position, v->term, v->position) < 0 &&
        s->term < v->term) {
        return;
    }
    v->alive = true;
    v->term = s->term;
    v->position = s->position;
    v->staleness_ms = s->staleness_ms;
    v->updated_at = clock_now();
    m->role = s->role;
    m->failures = 0;
    if (changed) {
        views_changed(g);
    }
}

/* Notes that a member did not answer. */
static void
member_failed(struct group *g, int member, const char *why)
{
    struct group_member *m = &g->members[member];

    m->failures++;
    if (g->views[member].alive && m->failures >= GROUP_PROBE_FAILURES) {
        LOG_WARNING("probe", control_conn_peer(m->control),
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
    g->members[member].failures = GROUP_PROBE_FAILURES;
    member_failed(g, member, "it is behind a session that was shown more");
}

/* Takes the answer to a probe. */
static void
on_probe(void *ctx, bool ok, struct sview text)
{
    struct group_member *m = ctx;
    struct group_state s;

    m->probing = false;
    if (ok && group_state_parse(text, &s)) {
        group_note_state(m->group, m->index, &s);
        return;
    }
    char *why = g_strndup(text.p, text.n);
    member_failed(m->group, m->index, why);
    g_free(why);
}

/* Asks every member for its state. */
static void
probe_members(struct group *g)
{
    for (int i = 0; i < g->database->member_count; i++) {
        struct group_member *m = &g->members[i];
        if (!m->probing) {
            m->probing = true;
            control_conn_call(m->control, GROUP_SQL_STATE,
                              GROUP_PROBE_TIMEOUT_MS, on_probe, m);
        }
    }
}

/* Drives probes and the queue's deadlines. */
static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct group *g = w->data;
    const clock_ms now = clock_now();

    (void)loop;
    (void)revents;
    if (now >= g->next_probe) {
        g->next_probe = now + GROUP_PROBE_INTERVAL_MS;
        probe_members(g);
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

    LOG_INFO("connect", control_conn_peer(g->members[member].control),
             "no connection: %s", why);
    admission_release(g->admission, clock_now(), &r->admission, 0);
    g->members[member].failures = GROUP_PROBE_FAILURES;
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

static const struct admission_ops admission_callbacks = {
    .grant = on_grant,
    .refuse = on_refuse,
};

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
        .members = route_members(g->views, g->database->member_count,
                                 g->primary, &r->route, now),
    };
    r->link.data = r;
    g_queue_push_tail_link(&g->queued, &r->link);
    admission_submit(g->admission, now, &r->admission);
    g->next_admission = 0;
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

/* Marks a member as leaving: it gets no new reads. */
void
group_set_leaving(struct group *g, int member, bool leaving)
{
    if (g->views[member].leaving != leaving) {
        g->views[member].leaving = leaving;
        views_changed(g);
    }
}

/* Refuses new work; what was admitted goes on. */
void
group_set_draining(struct group *g)
{
    admission_set_draining(g->admission, true);
}

/* Takes the answer to a cancel request. */
static void
on_cancel_answer(void *ctx, bool ok, struct sview text)
{
    struct group_member *m = ctx;

    if (!ok) {
        LOG_INFO("cancel", control_conn_peer(m->control), "%.*s", (int)text.n,
                 text.p);
    }
}

/* Asks the member to cancel what a connection runs. The connection is closed
   afterwards, so that a late cancel cannot hit someone else's statement. */
void
group_cancel_statement(struct group *g, struct upstream_conn *c)
{
    GString *sql = g_string_new(NULL);
    struct group_member *m = &g->members[c->member];

    c->cancel_pending = true;
    group_sql_cancel(sql, upstream_conn_pid(c));
    control_conn_call(m->control, sql->str, GROUP_CANCEL_TIMEOUT_MS,
                      on_cancel_answer, m);
    g_string_free(sql, TRUE);
}

/* Returns the database's name. */
const char *
group_name(const struct group *g)
{
    return g->database->name;
}

/* Returns the number of members. */
int
group_member_count(const struct group *g)
{
    return g->database->member_count;
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

/* Returns the highest term in which a primary was seen. */
uint64_t
group_term(const struct group *g)
{
    return g->term;
}

/* Returns the queue in front of the group, for counters. */
struct admission *
group_admission(struct group *g)
{
    return g->admission;
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
        admission_set_surplus(g->admission, now, i, surplus);
        admission_set_batch_permits(g->admission, now, i, surplus > 0);
        pool_set_limit(g->pool, i, d->floor + surplus);
    }
}

/* Creates the view of a database group and begins to watch it. */
struct group *
group_create(struct ev_loop *loop, const struct settings_database *database,
             const struct settings_kind *kinds, int kind_count,
             int proxy_count)
{
    struct group *g = g_new0(struct group, 1);

    g->loop = loop;
    g->database = database;
    g->primary = ROUTE_NO_PRIMARY;
    g_queue_init(&g->queued);
    g->pool = pool_create(loop, database);
    g->admission = create_admission(g, kinds, kind_count);
    for (int i = 0; i < database->member_count; i++) {
        g->members[i] = (struct group_member){
            .group = g,
            .index = i,
            .control = control_conn_create(loop, &database->members[i].address,
                                           database->name, database->password),
        };
    }
    set_shares(g, proxy_count);
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
    for (int i = 0; i < g->database->member_count; i++) {
        control_conn_destroy(g->members[i].control);
    }
    pool_destroy(g->pool);
    admission_destroy(g->admission);
    g_free(g);
}
