#include "upstream/pool.h"

#include "wire/frame.h"

#define LOG_MODULE "pool"
#include "base/log.h"

/* An idle connection that has received nothing for longer is checked with an
   empty query, because a network device on the path may have dropped the
   connection's state. */
#define POOL_LIVENESS_IDLE_MS 10000
#define POOL_CHECK_TIMEOUT_MS 1000
#define POOL_TICK_S 0.25
#define POOL_MAX_ANSWER_BYTES 65536

enum pooled_conn_state {
    POOLED_OPENING,
    POOLED_IDLE,
    POOLED_CHECKING, /* awaits the answer to DISCARD ALL or a liveness check */
    POOLED_IN_USE,   /* handed out by pool_acquire() */
};

struct pooled_conn {
    struct pool *pool;
    struct upstream_conn *conn;
    enum pooled_conn_state state;
    clock_ms state_since;
};

struct pool_member {
    GPtrArray *conns; /* of struct pooled_conn */
    GQueue waiters;   /* of struct pool_waiter */
    int limit;        /* of open connections */
};

struct pool {
    struct ev_loop *loop;
    const struct settings_database *database;
    struct pool_member members[SETTINGS_MAX_MEMBERS];
    int64_t lent_idle_timeout_ms;
    ev_timer tick_timer;
};

static void serve_waiters(struct pool *p, int member);

static struct pooled_conn *
find_pooled_conn(struct pool *p, const struct upstream_conn *c)
{
    GPtrArray *conns = p->members[c->member].conns;

    for (guint i = 0; i < conns->len; i++) {
        struct pooled_conn *s = g_ptr_array_index(conns, i);
        if (s->conn == c) {
            return s;
        }
    }
    return NULL;
}

static void
close_pooled_conn(struct pool *p, struct pooled_conn *s)
{
    const int member = s->conn->member;

    upstream_conn_close(s->conn);
    g_ptr_array_remove_fast(p->members[member].conns, s);
}

/* Returns the idle connection to close when the limit is exceeded, or NULL
   when none is idle. Prefers one opened under a lease, since those of the
   floor need no lease. */
static struct pooled_conn *
find_excess(struct pool_member *m)
{
    struct pooled_conn *any = NULL;

    for (guint i = 0; i < m->conns->len; i++) {
        struct pooled_conn *s = g_ptr_array_index(m->conns, i);
        if (s->state == POOLED_IDLE) {
            any = s;
            if (s->conn->lent) {
                return s;
            }
        }
    }
    return any;
}

/* Makes a connection available, or closes an idle one when the limit is
   exceeded. */
static void
set_idle(struct pool *p, struct pooled_conn *s)
{
    const int member = s->conn->member;
    struct pool_member *m = &p->members[member];

    s->state = POOLED_IDLE;
    s->state_since = clock_monotonic_ms();
    if ((int)m->conns->len > m->limit) {
        close_pooled_conn(p, find_excess(m));
    }
    serve_waiters(p, member);
}

static void
on_ready(void *ctx, struct upstream_conn *c)
{
    struct pooled_conn *s = ctx;

    (void)c;
    set_idle(s->pool, s);
}

/* Handles messages on a connection that is not handed out. Expected are the
   answer to a reset or a liveness check and the asynchronous messages
   ParameterStatus ('S'), NoticeResponse ('N') and NotificationResponse ('A');
   after any other message the session state is unknown and the connection is
   closed. */
static void
on_readable(void *ctx, struct upstream_conn *c)
{
    struct pooled_conn *s = ctx;
    struct frame f;

    for (;;) {
        const enum frame_status status =
            frame_next(upstream_conn_input(c), POOL_MAX_ANSWER_BYTES, &f);
        if (status == FRAME_INCOMPLETE) {
            return;
        }
        const bool notice = status == FRAME_COMPLETE &&
                            (f.type == 'S' || f.type == 'N' || f.type == 'A');
        const bool answer = status == FRAME_COMPLETE &&
                            s->state == POOLED_CHECKING &&
                            (f.type == 'C' || f.type == 'I');
        const bool end = status == FRAME_COMPLETE &&
                         s->state == POOLED_CHECKING && f.type == 'Z' &&
                         f.body.n == 1 && f.body.p[0] == 'I';
        if (!notice && !answer && !end) {
            LOG_INFO("idle", c->remote_address,
                     "closing connection: unexpected message");
            close_pooled_conn(s->pool, s);
            return;
        }
        upstream_conn_consume(c, f.total_bytes);
        if (end) {
            set_idle(s->pool, s);
            return;
        }
    }
}

/* Called when a connection ends that is not handed out. If it was still being
   opened, the oldest waiter is told of the failure. */
static void
on_closed(void *ctx, struct upstream_conn *c, const char *why)
{
    struct pooled_conn *s = ctx;
    struct pool *p = s->pool;
    const int member = c->member;
    struct pool_member *m = &p->members[member];
    const bool opening = s->state == POOLED_OPENING;

    LOG_DEBUG("idle", c->remote_address, "connection lost: %s", why);
    g_ptr_array_remove_fast(m->conns, s);
    if (opening) {
        struct pool_waiter *w = g_queue_pop_head(&m->waiters);
        if (w != NULL) {
            w->waiting = false;
            w->failed(w->ctx, why);
        }
    }
    else {
        serve_waiters(p, member);
    }
}

static const struct upstream_conn_ops pool_ops = {
    .ready = on_ready,
    .readable = on_readable,
    .closed = on_closed,
};

static int
count_floor_conns(const struct pool_member *m)
{
    int n = 0;

    for (guint i = 0; i < m->conns->len; i++) {
        const struct pooled_conn *s = g_ptr_array_index(m->conns, i);
        n += !s->conn->lent;
    }
    return n;
}

/* Opens one more connection to a member: as one of the floor if the floor is
   not yet reached, else as a lent one with an idle timeout. */
static void
open_pooled_conn(struct pool *p, int member)
{
    const struct upstream_target t = {
        .address = &p->database->members[member].address,
        .database = p->database->name,
        .user = p->database->user,
        .password = p->database->password,
        .connect_timeout_ms = p->database->connect_timeout_ms,
        .idle_timeout_ms =
            count_floor_conns(&p->members[member]) < p->database->floor
                ? 0
                : p->lent_idle_timeout_ms,
    };
    struct pooled_conn *s = g_new0(struct pooled_conn, 1);

    s->pool = p;
    s->state = POOLED_OPENING;
    s->state_since = clock_monotonic_ms();
    s->conn = upstream_conn_open(p->loop, &t, &pool_ops, s);
    s->conn->member = member;
    g_ptr_array_add(p->members[member].conns, s);
}

/* Returns the most recently used idle connection, which is the least likely to
   have been lost unnoticed; NULL when none is idle. */
static struct pooled_conn *
find_idle(struct pool_member *m)
{
    struct pooled_conn *best = NULL;

    for (guint i = 0; i < m->conns->len; i++) {
        struct pooled_conn *s = g_ptr_array_index(m->conns, i);
        if (s->state == POOLED_IDLE &&
            (best == NULL || s->state_since > best->state_since)) {
            best = s;
        }
    }
    return best;
}

static guint
count_pending(const struct pool_member *m)
{
    guint n = 0;

    for (guint i = 0; i < m->conns->len; i++) {
        const struct pooled_conn *s = g_ptr_array_index(m->conns, i);
        n += s->state == POOLED_OPENING || s->state == POOLED_CHECKING;
    }
    return n;
}

/* Hands idle connections to waiters and opens more for the others, up to the
   limit. */
static void
serve_waiters(struct pool *p, int member)
{
    struct pool_member *m = &p->members[member];
    struct pooled_conn *s;

    while (g_queue_get_length(&m->waiters) > 0 && (s = find_idle(m)) != NULL) {
        struct pool_waiter *w = g_queue_pop_head(&m->waiters);
        s->state = POOLED_IN_USE;
        w->waiting = false;
        w->acquired(w->ctx, s->conn);
    }
    while (g_queue_get_length(&m->waiters) > count_pending(m) &&
           (int)m->conns->len < m->limit) {
        open_pooled_conn(p, member);
    }
}

/* Requests a connection to a member. acquired() may be called before this
   returns. */
void
pool_acquire(struct pool *p, int member, struct pool_waiter *w)
{
    w->member = member;
    w->waiting = true;
    g_queue_push_tail(&p->members[member].waiters, w);
    serve_waiters(p, member);
}

/* Ends a wait without a callback; does nothing if w is not waiting. */
void
pool_cancel(struct pool *p, struct pool_waiter *w)
{
    if (w->waiting) {
        g_queue_remove(&p->members[w->member].waiters, w);
        w->waiting = false;
    }
}

/* Returns a connection whose transaction has ended. It is reset first if it is
   dirty, and closed if a cancel may still arrive or input is left over. */
void
pool_release(struct pool *p, struct upstream_conn *c)
{
    struct pooled_conn *s = find_pooled_conn(p, c);

    upstream_conn_attach(c, &pool_ops, s);
    if (c->cancel_pending || upstream_conn_input(c).n > 0) {
        pool_discard(p, c);
        return;
    }
    if (c->dirty) {
        s->state = POOLED_CHECKING;
        s->state_since = clock_monotonic_ms();
        c->dirty = false;
        c->settings_hash = 0;
        g_hash_table_remove_all(c->prepared);
        frame_put_query(c->out, "DISCARD ALL");
        upstream_conn_flush(c);
        return;
    }
    set_idle(p, s);
}

/* Returns and closes a connection whose session state is unknown. */
void
pool_discard(struct pool *p, struct upstream_conn *c)
{
    const int member = c->member;

    close_pooled_conn(p, find_pooled_conn(p, c));
    serve_waiters(p, member);
}

/* Removes a handed-out connection from the pool after closed() was called for
   it; c is about to be freed. */
void
pool_drop_closed(struct pool *p, struct upstream_conn *c)
{
    const int member = c->member;

    g_ptr_array_remove_fast(p->members[member].conns, find_pooled_conn(p, c));
    serve_waiters(p, member);
}

/* Sets the idle_session_timeout with which connections above the floor are
   opened; 0 for none. With it the member closes those of a proxy that is
   paused beyond the end of its lease. */
void
pool_set_lent_idle_timeout(struct pool *p, int64_t timeout_ms)
{
    p->lent_idle_timeout_ms = timeout_ms;
}

/* Sets how many connections to a member may be open. Excess idle connections
   are closed at once, those in use when they are returned. */
void
pool_set_limit(struct pool *p, int member, int connections)
{
    struct pool_member *m = &p->members[member];
    struct pooled_conn *s;

    m->limit = connections;
    while ((int)m->conns->len > m->limit && (s = find_excess(m)) != NULL) {
        close_pooled_conn(p, s);
    }
    serve_waiters(p, member);
}

/* Returns how many connections to a member are open or being opened. */
int
pool_open_count(const struct pool *p, int member)
{
    return (int)p->members[member].conns->len;
}

/* Closes a connection that does not answer a check in time, and starts a check
   on one that has been idle for long. Returns true if it was closed. */
static bool
check_liveness(struct pool *p, struct pooled_conn *s, clock_ms now)
{
    if (s->state == POOLED_CHECKING &&
        now - s->state_since > POOL_CHECK_TIMEOUT_MS) {
        LOG_INFO("liveness", s->conn->remote_address,
                 "connection is silent (no answer to a check), closing it");
        close_pooled_conn(p, s);
        return true;
    }
    if (s->state == POOLED_IDLE &&
        now - s->conn->last_received_at > POOL_LIVENESS_IDLE_MS) {
        s->state = POOLED_CHECKING;
        s->state_since = now;
        frame_put_query(s->conn->out, "");
        upstream_conn_flush(s->conn);
    }
    return false;
}

static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct pool *p = w->data;
    const clock_ms now = clock_monotonic_ms();

    (void)loop;
    (void)revents;
    for (int i = 0; i < p->database->member_count; i++) {
        GPtrArray *conns = p->members[i].conns;
        for (guint j = conns->len; j > 0; j--) {
            check_liveness(p, g_ptr_array_index(conns, j - 1), now);
        }
        serve_waiters(p, i);
    }
}

/* Creates the pool of one database. Connections are opened on demand; the
   limit per member is initially the floor. */
struct pool *
pool_create(struct ev_loop *loop, const struct settings_database *database)
{
    struct pool *p = g_new0(struct pool, 1);

    p->loop = loop;
    p->database = database;
    for (int i = 0; i < database->member_count; i++) {
        p->members[i].conns = g_ptr_array_new_with_free_func(g_free);
        g_queue_init(&p->members[i].waiters);
        p->members[i].limit = database->floor;
    }
    ev_timer_init(&p->tick_timer, on_tick, POOL_TICK_S, POOL_TICK_S);
    p->tick_timer.data = p;
    ev_timer_start(loop, &p->tick_timer);
    return p;
}

/* Closes every connection, including those in use, and drops all waiters. */
void
pool_destroy(struct pool *p)
{
    ev_timer_stop(p->loop, &p->tick_timer);
    for (int i = 0; i < p->database->member_count; i++) {
        struct pool_member *m = &p->members[i];
        for (guint j = 0; j < m->conns->len; j++) {
            struct pooled_conn *s = g_ptr_array_index(m->conns, j);
            upstream_conn_close(s->conn);
        }
        g_ptr_array_free(m->conns, TRUE);
        g_queue_clear(&m->waiters);
    }
    g_free(p);
}
