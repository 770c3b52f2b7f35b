#include "upstream/pool.h"

#include "wire/frame.h"

#define LOG_MODULE "pool"
#include "base/log.h"

/* An idle connection that was silent for longer is asked for a sign of life,
   since something between the ends may have lost track of it. */
#define POOL_LIVENESS_AFTER_MS 10000
#define POOL_ANSWER_TIMEOUT_MS 1000
#define POOL_TICK_S 0.25
#define POOL_MAX_ANSWER_BYTES 65536

enum slot_state {
    SLOT_OPENING,
    SLOT_IDLE,
    SLOT_CHECKING, /* waits for the end of a reset or a liveness exchange */
    SLOT_LENT,
};

/* One connection that the pool accounts for. */
struct slot {
    struct pool *pool;
    struct upstream_conn *conn;
    enum slot_state state;
    clock_ms since;
};

struct pool_member {
    GPtrArray *slots; /* of struct slot */
    GQueue waiters;   /* of struct pool_waiter */
    int limit;
};

struct pool {
    struct ev_loop *loop;
    const struct settings_database *database;
    struct pool_member members[SETTINGS_MAX_MEMBERS];
    int64_t lent_idle_timeout_ms;
    ev_timer tick;
};

static void serve_waiters(struct pool *p, int member);

/* Finds the record of a connection. */
static struct slot *
find_slot(struct pool *p, const struct upstream_conn *c)
{
    GPtrArray *slots = p->members[c->member].slots;

    for (guint i = 0; i < slots->len; i++) {
        struct slot *s = g_ptr_array_index(slots, i);
        if (s->conn == c) {
            return s;
        }
    }
    return NULL;
}

/* Closes a connection that is not lent. */
static void
close_slot(struct pool *p, struct slot *s)
{
    const int member = s->conn->member;

    upstream_conn_close(s->conn);
    g_ptr_array_remove_fast(p->members[member].slots, s);
}

/* Returns the idle connection to close when there is one too many: a lent one
   first, since those of the floor need no lease; NULL when none is idle. */
static struct slot *
find_excess(struct pool_member *m)
{
    struct slot *any = NULL;

    for (guint i = 0; i < m->slots->len; i++) {
        struct slot *s = g_ptr_array_index(m->slots, i);
        if (s->state == SLOT_IDLE) {
            any = s;
            if (s->conn->lent) {
                return s;
            }
        }
    }
    return any;
}

/* Makes a connection available, or closes one when there is one too many. */
static void
slot_becomes_idle(struct pool *p, struct slot *s)
{
    const int member = s->conn->member;
    struct pool_member *m = &p->members[member];

    s->state = SLOT_IDLE;
    s->since = clock_now();
    if ((int)m->slots->len > m->limit) {
        close_slot(p, find_excess(m));
    }
    serve_waiters(p, member);
}

/* A new connection is ready. */
static void
on_ready(void *ctx, struct upstream_conn *c)
{
    struct slot *s = ctx;

    (void)c;
    slot_becomes_idle(s->pool, s);
}

/* Takes messages on a connection that nobody has borrowed. Anything but the
   end of an exchange and harmless notes means that its state is in doubt. */
static void
on_readable(void *ctx, struct upstream_conn *c)
{
    struct slot *s = ctx;
    struct frame f;

    for (;;) {
        const enum frame_status status =
            frame_next(upstream_conn_input(c), POOL_MAX_ANSWER_BYTES, &f);
        if (status == FRAME_INCOMPLETE) {
            return;
        }
        const bool note = status == FRAME_COMPLETE &&
                          (f.type == 'S' || f.type == 'N' || f.type == 'A');
        const bool answer = status == FRAME_COMPLETE &&
                            s->state == SLOT_CHECKING &&
                            (f.type == 'C' || f.type == 'I');
        const bool end = status == FRAME_COMPLETE &&
                         s->state == SLOT_CHECKING && f.type == 'Z' &&
                         f.body.n == 1 && f.body.p[0] == 'I';
        if (!note && !answer && !end) {
            LOG_INFO("idle", c->peer, "connection closed: unexpected message");
            close_slot(s->pool, s);
            return;
        }
        upstream_conn_consume(c, f.total_bytes);
        if (end) {
            slot_becomes_idle(s->pool, s);
            return;
        }
    }
}

/* A connection ended while it was not lent. A failed attempt to open one is
   told to the oldest waiter. */
static void
on_closed(void *ctx, struct upstream_conn *c, const char *why)
{
    struct slot *s = ctx;
    struct pool *p = s->pool;
    const int member = c->member;
    struct pool_member *m = &p->members[member];
    const bool opening = s->state == SLOT_OPENING;

    LOG_DEBUG("idle", c->peer, "connection ended: %s", why);
    g_ptr_array_remove_fast(m->slots, s);
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

/* Counts the connections of a member that are not under a lease. */
static int
count_floor(const struct pool_member *m)
{
    int n = 0;

    for (guint i = 0; i < m->slots->len; i++) {
        const struct slot *s = g_ptr_array_index(m->slots, i);
        n += !s->conn->lent;
    }
    return n;
}

/* Opens one more connection to a member. */
static void
open_slot(struct pool *p, int member)
{
    const struct upstream_target t = {
        .address = &p->database->members[member].address,
        .database = p->database->name,
        .user = p->database->user,
        .password = p->database->password,
        .connect_timeout_ms = p->database->connect_timeout_ms,
        .idle_timeout_ms =
            count_floor(&p->members[member]) < p->database->floor
                ? 0
                : p->lent_idle_timeout_ms,
    };
    struct slot *s = g_new0(struct slot, 1);

    s->pool = p;
    s->state = SLOT_OPENING;
    s->since = clock_now();
    s->conn = upstream_conn_open(p->loop, &t, &pool_ops, s);
    s->conn->member = member;
    g_ptr_array_add(p->members[member].slots, s);
}

/* Returns the most recently used idle connection, which is the one least
   likely to have gone silent; NULL when there is none. */
static struct slot *
find_idle(struct pool_member *m)
{
    struct slot *best = NULL;

    for (guint i = 0; i < m->slots->len; i++) {
        struct slot *s = g_ptr_array_index(m->slots, i);
        if (s->state == SLOT_IDLE &&
            (best == NULL || s->since > best->since)) {
            best = s;
        }
    }
    return best;
}

/* Counts the connections of a member that are being opened or checked. */
static guint
count_coming(const struct pool_member *m)
{
    guint n = 0;

    for (guint i = 0; i < m->slots->len; i++) {
        const struct slot *s = g_ptr_array_index(m->slots, i);
        n += s->state == SLOT_OPENING || s->state == SLOT_CHECKING;
    }
    return n;
}

/* Hands idle connections to waiters and opens more up to the limit. */
static void
serve_waiters(struct pool *p, int member)
{
    struct pool_member *m = &p->members[member];
    struct slot *s;

    while (g_queue_get_length(&m->waiters) > 0 && (s = find_idle(m)) != NULL) {
        struct pool_waiter *w = g_queue_pop_head(&m->waiters);
        s->state = SLOT_LENT;
        w->waiting = false;
        w->acquired(w->ctx, s->conn);
    }
    while (g_queue_get_length(&m->waiters) > count_coming(m) &&
           (int)m->slots->len < m->limit) {
        open_slot(p, member);
    }
}

/* Asks for a connection to a member. acquired() may be called before this
   returns. */
void
pool_acquire(struct pool *p, int member, struct pool_waiter *w)
{
    w->member = member;
    w->waiting = true;
    g_queue_push_tail(&p->members[member].waiters, w);
    serve_waiters(p, member);
}

/* Withdraws a waiter. */
void
pool_cancel(struct pool *p, struct pool_waiter *w)
{
    if (w->waiting) {
        g_queue_remove(&p->members[w->member].waiters, w);
        w->waiting = false;
    }
}

/* Takes back a connection whose transaction has ended. */
void
pool_release(struct pool *p, struct upstream_conn *c)
{
    struct slot *s = find_slot(p, c);

    upstream_conn_attach(c, &pool_ops, s);
    if (c->cancel_pending || upstream_conn_input(c).n > 0) {
        pool_discard(p, c);
        return;
    }
    if (c->dirty) {
        s->state = SLOT_CHECKING;
        s->since = clock_now();
        c->dirty = false;
        c->settings_hash = 0;
        g_hash_table_remove_all(c->prepared);
        frame_put_query(c->out, "DISCARD ALL");
        upstream_conn_flush(c);
        return;
    }
    slot_becomes_idle(p, s);
}

/* Takes back a connection whose state is in doubt and closes it. */
void
pool_discard(struct pool *p, struct upstream_conn *c)
{
    const int member = c->member;

    close_slot(p, find_slot(p, c));
    serve_waiters(p, member);
}

/* Drops the record of a lent connection that its user was told is closed. */
void
pool_forget(struct pool *p, struct upstream_conn *c)
{
    const int member = c->member;

    g_ptr_array_remove_fast(p->members[member].slots, find_slot(p, c));
    serve_waiters(p, member);
}

/* Sets the idle timeout with which connections beyond the floor are opened. */
void
pool_set_lent_idle_timeout(struct pool *p, int64_t timeout_ms)
{
    p->lent_idle_timeout_ms = timeout_ms;
}

/* Sets how many connections to a member may be open; idle ones beyond it are
   closed at once, lent ones when they come back. */
void
pool_set_limit(struct pool *p, int member, int connections)
{
    struct pool_member *m = &p->members[member];
    struct slot *s;

    m->limit = connections;
    while ((int)m->slots->len > m->limit && (s = find_excess(m)) != NULL) {
        close_slot(p, s);
    }
    serve_waiters(p, member);
}

/* Returns how many connections to a member are open or being opened. */
int
pool_open_count(const struct pool *p, int member)
{
    return (int)p->members[member].slots->len;
}

/* Checks one connection for silence; returns true when it was closed. */
static bool
check_slot(struct pool *p, struct slot *s, clock_ms now)
{
    if (s->state == SLOT_CHECKING && now - s->since > POOL_ANSWER_TIMEOUT_MS) {
        LOG_INFO("liveness", s->conn->peer, "connection is silent, closed");
        close_slot(p, s);
        return true;
    }
    if (s->state == SLOT_IDLE &&
        now - s->conn->last_heard > POOL_LIVENESS_AFTER_MS) {
        s->state = SLOT_CHECKING;
        s->since = now;
        frame_put_query(s->conn->out, "");
        upstream_conn_flush(s->conn);
    }
    return false;
}

/* Looks at every connection that is not lent. */
static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct pool *p = w->data;
    const clock_ms now = clock_now();

    (void)loop;
    (void)revents;
    for (int i = 0; i < p->database->member_count; i++) {
        GPtrArray *slots = p->members[i].slots;
        for (guint j = slots->len; j > 0; j--) {
            check_slot(p, g_ptr_array_index(slots, j - 1), now);
        }
        serve_waiters(p, i);
    }
}

/* Creates the pool of one database; nothing is opened before it is asked
   for. */
struct pool *
pool_create(struct ev_loop *loop, const struct settings_database *database)
{
    struct pool *p = g_new0(struct pool, 1);

    p->loop = loop;
    p->database = database;
    for (int i = 0; i < database->member_count; i++) {
        p->members[i].slots = g_ptr_array_new_with_free_func(g_free);
        g_queue_init(&p->members[i].waiters);
        p->members[i].limit = database->floor;
    }
    ev_timer_init(&p->tick, on_tick, POOL_TICK_S, POOL_TICK_S);
    p->tick.data = p;
    ev_timer_start(loop, &p->tick);
    return p;
}

/* Closes every connection, lent ones too. */
void
pool_destroy(struct pool *p)
{
    ev_timer_stop(p->loop, &p->tick);
    for (int i = 0; i < p->database->member_count; i++) {
        struct pool_member *m = &p->members[i];
        for (guint j = 0; j < m->slots->len; j++) {
            struct slot *s = g_ptr_array_index(m->slots, j);
            upstream_conn_close(s->conn);
        }
        g_ptr_array_free(m->slots, TRUE);
        g_queue_clear(&m->waiters);
    }
    g_free(p);
}
