#include "soak/soak.h"

#include "base/listener.h"
#include "base/reaper.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define FIRST_PORT 26100
#define MAX_CONNECTIONS 16
#define REPLICATION_MS 8
#define PROMOTION_MS 100
/* The old primary learns of the new one after this time. */
#define OLD_PRIMARY_MS 1000
#define WORK_MAX_US 4000
#define TICK_MS 5

void (*standin_group_changed)(struct soak *s);

struct entry {
    uint64_t term;
    uint64_t number;
    char item[16];
    uint64_t value;
    clock_ms at;
};

struct member {
    struct standin_group *group;
    int index;
    int fd;
    ev_io io;
    bool primary;
    uint64_t term;
    bool down;
    int64_t lag_ms;
    int lose_percent;
    GArray *log; /* of struct entry */
    GQueue conns;
};

struct conn {
    struct member *member;
    struct stream *stream;
    ev_timer work;
    GString *reply; /* being worked on */
    bool busy;
    bool started;
    bool closed;
    bool open; /* in a transaction */
    bool read_only;
    bool failed;
    char owner[16];   /* the caller whose transaction is open */
    char setting[16]; /* the value of the setting "who" */
    GArray *writes;   /* of struct entry, to be committed */
    GList link;
};

struct standin_group {
    struct soak *soak;
    struct ev_loop *loop;
    struct rng *rng;
    struct member members[SOAK_MEMBERS];
    struct reaper *reaper;
    ev_timer tick;
    int promoting; /* member, or -1 */
    clock_ms promote_at;
    clock_ms promoted_at;
    uint64_t fence;
    uint64_t newest_term;
    GHashTable *undone; /* "item:value" */
};

static void process(struct conn *c);

/* Returns the port on which a member listens. */
uint16_t
standin_group_port(int member)
{
    return (uint16_t)(FIRST_PORT + member);
}

/* Returns the member that leads in the newest term. */
int
standin_group_primary(const struct standin_group *g)
{
    int best = 0;

    for (int i = 0; i < SOAK_MEMBERS; i++) {
        if (g->members[i].primary &&
            (!g->members[best].primary ||
             g->members[i].term > g->members[best].term)) {
            best = i;
        }
    }
    return best;
}

/* Returns a member's own view of its role. */
const char *
standin_group_role(const struct standin_group *g, int member)
{
    return g->members[member].primary ? "primary" : "replica";
}

/* Returns the n'th entry of a member's log. */
static struct entry *
entry(const struct member *m, guint n)
{
    return &g_array_index(m->log, struct entry, n);
}

/* Remembers that a promotion undid an entry. */
static void
undo(struct standin_group *g, const struct entry *e)
{
    g_hash_table_add(g->undone, g_strdup_printf("%s:%lu", e->item,
                                                (unsigned long)e->value));
}

/* Tells whether a promotion undid a write. */
bool
standin_group_undone(const struct standin_group *g, const char *item,
                     uint64_t number)
{
    char *key = g_strdup_printf("%s:%lu", item, (unsigned long)number);
    const bool found = g_hash_table_contains(g->undone, key);

    g_free(key);
    return found;
}

/* Returns how often a write is in the log of the present primary. */
int
standin_group_count(const struct standin_group *g, const char *item,
                    uint64_t number)
{
    const struct member *m = &g->members[standin_group_primary(g)];
    int count = 0;

    for (guint i = 0; i < m->log->len; i++) {
        count += entry(m, i)->value == number &&
                 strcmp(entry(m, i)->item, item) == 0;
    }
    return count;
}

/* Returns the length of the part that two logs share. */
static guint
shared(const struct member *a, const struct member *b)
{
    guint n = MIN(a->log->len, b->log->len);

    while (n > 0 && (entry(a, n - 1)->term != entry(b, n - 1)->term ||
                     entry(a, n - 1)->number != entry(b, n - 1)->number)) {
        n--;
    }
    return n;
}

/* Cuts a log to the part that it shares with the primary's. */
static void
follow(struct member *m, const struct member *primary)
{
    const guint n = shared(m, primary);

    for (guint i = n; i < m->log->len; i++) {
        undo(m->group, entry(m, i));
    }
    g_array_set_size(m->log, n);
}

/* Lets the promotion take effect. */
static void
take_effect(struct standin_group *g)
{
    struct member *m = &g->members[g->promoting];

    g->promoting = -1;
    if (m->down) {
        return;
    }
    g->newest_term++;
    m->primary = true;
    m->term = g->newest_term;
    g->promoted_at = clock_now();
    for (int i = 0; i < SOAK_MEMBERS; i++) {
        struct member *o = &g->members[i];
        if (o == m) {
            continue;
        }
        for (guint k = shared(o, m); k < o->log->len; k++) {
            undo(g, entry(o, k));
        }
        if (!o->primary && !o->down) {
            follow(o, m);
        }
    }
    standin_group_changed(g->soak);
}

/* Makes a member a replica. */
static void
step_down(struct member *m)
{
    m->primary = false;
    standin_group_changed(m->group->soak);
}

/* Copies what the replicas receive by now. */
static void
replicate(struct standin_group *g, clock_ms now)
{
    struct member *p = &g->members[standin_group_primary(g)];

    for (int i = 0; i < SOAK_MEMBERS; i++) {
        struct member *m = &g->members[i];
        if (m == p || m->down) {
            continue;
        }
        if (m->primary && p->primary && p->term > m->term && !p->down &&
            now - g->promoted_at >= OLD_PRIMARY_MS) {
            step_down(m);
        }
        if (m->primary || p->down || !p->primary) {
            continue;
        }
        follow(m, p);
        m->term = p->term;
        while (m->log->len < p->log->len &&
               entry(p, m->log->len)->at + REPLICATION_MS + m->lag_ms <= now) {
            const struct entry e = *entry(p, m->log->len);
            g_array_append_val(m->log, e);
        }
    }
}

/* Periodic work of the group. */
static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct standin_group *g = w->data;
    const clock_ms now = clock_now();

    (void)loop;
    (void)revents;
    if (g->promoting >= 0 && now >= g->promote_at) {
        take_effect(g);
    }
    replicate(g, now);
}

/* Takes an order. A fence below one that was seen breaks a promise. */
bool
standin_group_promote(struct standin_group *g, int member, uint64_t fence)
{
    if (fence < g->fence) {
        soak_violation(g->soak, "order with fence %lu after %lu",
                       (unsigned long)fence, (unsigned long)g->fence);
    }
    g->fence = MAX(g->fence, fence);
    if (g->members[member].down) {
        return false;
    }
    if (!g->members[member].primary || g->promoting >= 0) {
        g->promoting = member;
        g->promote_at = clock_now() + PROMOTION_MS;
    }
    return true;
}

/* Ends a connection. */
static void
conn_close(struct conn *c)
{
    c->closed = true;
    g_queue_unlink(&c->member->conns, &c->link);
    ev_timer_stop(c->member->group->loop, &c->work);
    stream_close(c->stream);
    c->stream = NULL;
    reaper_add(c->member->group->reaper, c);
}

/* Frees a connection's record. */
static void
conn_release(void *p)
{
    struct conn *c = p;

    g_string_free(c->reply, TRUE);
    g_array_free(c->writes, TRUE);
    g_free(c);
}

/* Appends READY with the state and the position. */
static void
ready(struct conn *c)
{
    const struct member *m = c->member;
    const char *state = c->failed ? "E" : c->open ? "T" : "I";

    if (m->log->len == 0) {
        g_string_append_printf(c->reply, "READY %s %lu.0\r\n", state,
                               (unsigned long)m->term);
        return;
    }
    g_string_append_printf(c->reply, "READY %s %lu.%lu\r\n", state,
                           (unsigned long)m->term,
                           (unsigned long)entry(m, m->log->len - 1)->number);
}

/* Appends an error; it fails an open transaction. */
static void
fail(struct conn *c, const char *code)
{
    g_string_append_printf(c->reply, "ERROR %s m%d\r\n", code,
                           c->member->index);
    c->failed = c->open;
}

/* Returns the newest value of an item in a member's log. */
static uint64_t
value_of(const struct member *m, const char *item)
{
    for (guint i = m->log->len; i > 0; i--) {
        if (strcmp(entry(m, i - 1)->item, item) == 0) {
            return entry(m, i - 1)->value;
        }
    }
    return 0;
}

/* Commits entries; those of a primary that was replaced are marked. */
static void
commit(struct member *m, const struct entry *writes, guint n)
{
    struct standin_group *g = m->group;

    for (guint i = 0; i < n; i++) {
        struct entry e = writes[i];
        e.term = m->term;
        e.number = m->log->len + 1;
        e.at = clock_now();
        g_array_append_val(m->log, e);
        if (m->term < g->newest_term) {
            undo(g, &e);
            char *key =
                g_strdup_printf("late:%s:%lu", e.item, (unsigned long)e.value);
            g_hash_table_add(g->undone, key);
        }
    }
}

/* Checks that a statement runs where its caller's state is. */
static void
check_owner(struct conn *c, const char *id)
{
    char caller[16];

    g_strlcpy(caller, id, MIN(sizeof(caller), strcspn(id, "-") + 1));
    if (c->open && strcmp(caller, c->owner) != 0) {
        soak_violation(c->member->group->soak,
                       "%s runs inside the transaction of %s", id, c->owner);
    }
    if (strcmp(c->setting, caller) != 0) {
        soak_violation(c->member->group->soak,
                       "%s runs with the settings of %s", id, c->setting);
    }
}

/* Runs a read, write or commit. */
static void
run(struct conn *c, const char *id, char **w)
{
    struct member *m = c->member;

    check_owner(c, id);
    if (strcmp(w[0], "READ") == 0) {
        g_string_append_printf(c->reply, "DATAROW %lu\r\nCOMPLETE sig\r\n",
                               (unsigned long)value_of(m, w[1]));
        return;
    }
    if (!m->primary || (c->open && c->read_only)) {
        fail(c, "READONLY");
        return;
    }
    if (strcmp(w[0], "COMMIT") == 0) {
        commit(m, (const struct entry *)(void *)c->writes->data,
               c->writes->len);
        c->open = false;
        g_string_append(c->reply, "COMPLETE sig\r\n");
        return;
    }
    struct entry e = {.value = strtoull(w[2], NULL, 10)};
    g_strlcpy(e.item, w[1], sizeof(e.item));
    if (c->open) {
        g_array_append_val(c->writes, e);
    }
    else {
        commit(m, &e, 1);
    }
    g_string_append(c->reply, "COMPLETE sig\r\n");
}

/* Tells whether the log has the position of an AFTER. */
static bool
has_position(const struct member *m, const char *text)
{
    char **parts = g_strsplit(text, ".", 2);
    const uint64_t term = strtoull(parts[0], NULL, 10);
    const uint64_t number =
        parts[1] == NULL ? 0 : strtoull(parts[1], NULL, 10);
    const uint64_t own =
        m->log->len == 0 ? 0 : entry(m, m->log->len - 1)->number;

    g_strfreev(parts);
    return token_compare(m->term, own, term, number) >= 0;
}

/* Appends the row of STATUS and DEMOTE. */
static void
status(struct conn *c)
{
    const struct member *m = c->member;

    g_string_append_printf(
        c->reply, "DATAROW %s %lu %lu.%lu 0 0 0 %u\r\nCOMPLETE -\r\n",
        m->primary ? "primary" : "replica", (unsigned long)m->term,
        (unsigned long)(m->log->len == 0 ? m->term
                                         : entry(m, m->log->len - 1)->term),
        (unsigned long)(m->log->len == 0 ? 0
                                         : entry(m, m->log->len - 1)->number),
        m->conns.length);
}

/* Handles the text of a query, split into words. */
static void
query(struct conn *c, const char *id, char **w)
{
    struct member *m = c->member;

    if (strcmp(w[0], "AFTER") == 0) {
        if (!has_position(m, w[1])) {
            fail(c, "LAGGING");
            return;
        }
        w += 2;
    }
    if (strcmp(w[0], "STATUS") == 0 || strcmp(w[0], "DEMOTE") == 0) {
        if (w[0][0] == 'D' && m->primary &&
            m->term < strtoull(w[1], NULL, 10)) {
            step_down(m);
        }
        status(c);
    }
    else if (strcmp(w[0], "RESET") == 0) {
        c->setting[0] = '\0';
        g_string_append(c->reply, "COMPLETE -\r\n");
    }
    else if (strcmp(w[0], "SET") == 0) {
        g_strlcpy(c->setting, w[2], sizeof(c->setting));
        g_string_append(c->reply, "COMPLETE -\r\n");
    }
    else if (strcmp(w[0], "BEGIN") == 0) {
        c->read_only = w[1] != NULL;
        if (!c->read_only && !m->primary) {
            fail(c, "READONLY");
            return;
        }
        c->open = true;
        g_array_set_size(c->writes, 0);
        g_strlcpy(c->owner, id, MIN(sizeof(c->owner), strcspn(id, "-") + 1));
        g_string_append(c->reply, "COMPLETE -\r\n");
    }
    else if (strcmp(w[0], "ROLLBACK") == 0) {
        c->open = false;
        c->failed = false;
        g_string_append(c->reply, "COMPLETE -\r\n");
    }
    else if (c->failed) {
        fail(c, "MALFORMED");
    }
    else {
        run(c, id, w);
    }
}

/* The work is done: answers, unless the answer is lost. */
static void
on_work(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct conn *c = w->data;
    struct member *m = c->member;

    (void)loop;
    (void)revents;
    if ((int)rng_below(m->group->rng, 100) < m->lose_percent) {
        if (rng_below(m->group->rng, 2) == 0) {
            conn_close(c);
        }
        return; /* silent from now on */
    }
    stream_write(c->stream, c->reply->str, c->reply->len);
    g_string_truncate(c->reply, 0);
    c->busy = false;
    process(c);
}

/* Handles one line. */
static void
line(struct conn *c, char *text)
{
    char **w = g_strsplit(text, " ", 0);

    if (!c->started) {
        char id[16];
        g_snprintf(id, sizeof(id), "m%d", c->member->index);
        if (g_strv_length(w) != 4 || strcmp(w[1], SOAK_SERVICE) != 0 ||
            strcmp(w[3], id) != 0) {
            g_string_append(c->reply, "ERROR WRONGNODE x\r\n");
        }
        else if (c->member->conns.length > MAX_CONNECTIONS) {
            g_string_append(c->reply, "ERROR CONNLIMIT x\r\n");
        }
        else {
            c->started = true;
            ready(c);
        }
    }
    else if (strcmp(w[0], "QUERY") == 0 && g_strv_length(w) >= 3) {
        query(c, w[1], w + 2);
        ready(c);
    }
    g_strfreev(w);
}

/* Works on the next line. */
static void
process(struct conn *c)
{
    while (!c->busy && !c->closed) {
        const struct sview in = stream_input(c->stream);
        const char *end = memmem(in.p, in.n, "\r\n", 2);
        if (end == NULL) {
            return;
        }
        char *text = g_strndup(in.p, (gsize)(end - in.p));
        stream_consume(c->stream, (size_t)(end - in.p) + 2);
        c->busy = true;
        line(c, text);
        g_free(text);
        ev_timer_set(
            &c->work,
            (double)rng_below(c->member->group->rng, WORK_MAX_US) / 1e6, 0.0);
        ev_timer_start(c->member->group->loop, &c->work);
    }
}

/* More input has arrived. */
static void
on_readable(void *ctx)
{
    process(ctx);
}

/* The proxy is gone. */
static void
on_closed(void *ctx, const char *why)
{
    (void)why;
    conn_close(ctx);
}

static const struct stream_events conn_events = {.readable = on_readable,
                                                 .closed = on_closed};

/* Accepts a connection. */
static void
on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
    struct member *m = w->data;
    const int fd = accept4(m->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

    (void)revents;
    if (fd < 0) {
        return;
    }
    if (m->down) {
        close(fd);
        return;
    }
    struct conn *c = g_new0(struct conn, 1);
    c->member = m;
    c->link.data = c;
    c->reply = g_string_new(NULL);
    c->writes = g_array_new(FALSE, TRUE, sizeof(struct entry));
    ev_timer_init(&c->work, on_work, 0.0, 0.0);
    c->work.data = c;
    c->stream = stream_accepted(loop, fd, &conn_events, c);
    g_queue_push_tail_link(&m->conns, &c->link);
}

/* Starts the group; m0 leads in term 1. */
struct standin_group *
standin_group_create(struct soak *s, struct ev_loop *loop, struct rng *rng)
{
    struct standin_group *g = g_new0(struct standin_group, 1);

    g->soak = s;
    g->loop = loop;
    g->rng = rng;
    g->promoting = -1;
    g->newest_term = 1;
    g->reaper = reaper_create(loop, conn_release);
    g->undone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 0; i < SOAK_MEMBERS; i++) {
        struct member *m = &g->members[i];
        m->group = g;
        m->index = i;
        m->term = 1;
        m->primary = i == 0;
        m->log = g_array_new(FALSE, TRUE, sizeof(struct entry));
        g_queue_init(&m->conns);
        m->fd = listener_open(soak_host(), standin_group_port(i));
        if (m->fd < 0) {
            g_error("member %d cannot listen", i);
        }
        ev_io_init(&m->io, on_accept, m->fd, EV_READ);
        m->io.data = m;
        ev_io_start(loop, &m->io);
    }
    ev_timer_init(&g->tick, on_tick, TICK_MS / 1000.0, TICK_MS / 1000.0);
    g->tick.data = g;
    ev_timer_start(loop, &g->tick);
    return g;
}

/* Ends all connections of a member. */
static void
close_all(struct member *m)
{
    struct conn *c;

    while ((c = g_queue_peek_head(&m->conns)) != NULL) {
        conn_close(c);
    }
}

/* Frees the group. */
void
standin_group_destroy(struct standin_group *g)
{
    ev_timer_stop(g->loop, &g->tick);
    for (int i = 0; i < SOAK_MEMBERS; i++) {
        close_all(&g->members[i]);
        ev_io_stop(g->loop, &g->members[i].io);
        close(g->members[i].fd);
        g_array_free(g->members[i].log, TRUE);
    }
    reaper_destroy(g->reaper);
    g_hash_table_destroy(g->undone);
    g_free(g);
}

/* Crashes a member, or starts it again with its log. */
void
standin_group_crash(struct standin_group *g, int member, bool down)
{
    struct member *m = &g->members[member];

    m->down = down;
    if (down) {
        close_all(m);
    }
    else if (m->term < g->newest_term) {
        m->primary = false;
    }
    standin_group_changed(g->soak);
}

/* Sets how much later than usual a replica receives. */
void
standin_group_lag(struct standin_group *g, int member, int64_t lag_ms)
{
    g->members[member].lag_ms = lag_ms;
}

/* Sets how many answers of a member are lost after the work was done. */
void
standin_group_lose_answers(struct standin_group *g, int member, int percent)
{
    g->members[member].lose_percent = percent;
}
