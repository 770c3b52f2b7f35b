#include "soak/soak.h"

#include "base/deferred_free.h"
#include "base/listener.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define FIRST_TERM 1
#define FIRST_MEMBER_PORT 26100
#define REPLICATION_DELAY_MS 8
#define PROMOTION_DELAY_MS 100
/* A replaced primary becomes a replica this long after the promotion. */
#define DEMOTION_DELAY_MS 1000
/* By default, and of all but reads, writes and commits. */
#define EXECUTION_MAX_MS 4
#define TICK_MS 5

void (*standin_group_on_role_change)(struct soak *s);

struct entry {
    uint64_t term;
    uint64_t position; /* in the log, from 1 */
    char item[16];
    uint64_t value; /* number of the caller's write */
    clock_ms committed_at;
};

/* An order that has been accepted and has yet to take effect. */
struct promotion {
    int member;
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
    int lose_answers_percent;
    GArray *log; /* of struct entry */
    GQueue conns;
};

struct conn {
    struct member *member;
    struct stream *stream;
    ev_timer execution_timer;
    GString *reply; /* answer to the statement that is being executed */
    bool busy;
    bool executes; /* a read, write or commit, rather than a short request */
    bool started;
    char account[64]; /* named at STARTUP */
    bool counted;     /* the open transaction has counted as an operation */
    bool closed;
    bool in_transaction;
    bool read_only;
    bool transaction_failed;
    char transaction_owner[16]; /* the caller whose transaction is open */
    char who_setting[16];       /* value of the session setting "who" */
    GArray *writes;             /* of struct entry; applied at COMMIT */
    guint committed_length; /* of the log with the commit to be answered; 0 if
                               there is none */
    uint64_t committed_term;
    GList link;
};

struct standin_group {
    struct soak *soak;
    struct accounts *accounts; /* NULL without --accounts */
    struct ev_loop *loop;
    struct rng *rng;
    struct member members[SOAK_MEMBERS];
    struct deferred_free *deferred_free;
    ev_timer tick;
    GQueue promotions; /* struct promotion; they take effect in this order */
    int64_t promotion_delay_ms;
    int64_t execution_max_ms;
    GHashTable *begun; /* set of the IDs of statements */
    bool synchronous;  /* a replica receives a commit before it is answered */
    clock_ms promoted_at;
    uint64_t fence; /* highest fencing token received */
    uint64_t newest_term;
    GHashTable *discarded; /* set of "item:value"; "late:item:value" as well if
                              the write was committed by a replaced primary */
    guint max_connections; /* of each member */
};

static void process_input(struct conn *c);

uint16_t
standin_group_port(int member)
{
    return (uint16_t)(FIRST_MEMBER_PORT + member);
}

/* Returns the primary with the highest term. */
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

/* Returns "primary" or "replica", as the member itself reports. A replaced
   primary reports "primary" until it is demoted. */
const char *
standin_group_role(const struct standin_group *g, int member)
{
    return g->members[member].primary ? "primary" : "replica";
}

static struct entry *
entry(const struct member *m, guint n)
{
    return &g_array_index(m->log, struct entry, n);
}

static void
mark_discarded(struct standin_group *g, const struct entry *e)
{
    g_hash_table_add(g->discarded, g_strdup_printf("%s:%lu", e->item,
                                                   (unsigned long)e->value));
}

/* Returns true if a promotion has discarded a write: its entry was not in the
   new primary's log, or was appended after the promotion by a replaced
   primary. */
bool
standin_group_has_discarded(const struct standin_group *g, const char *item,
                            uint64_t number)
{
    char *key = g_strdup_printf("%s:%lu", item, (unsigned long)number);
    const bool found = g_hash_table_contains(g->discarded, key);

    g_free(key);
    return found;
}

int
standin_group_count_write(const struct standin_group *g, const char *item,
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

/* Returns how many entries at the start of two logs are equal. */
static guint
common_length(const struct member *a, const struct member *b)
{
    guint n = MIN(a->log->len, b->log->len);

    while (n > 0 && (entry(a, n - 1)->term != entry(b, n - 1)->term ||
                     entry(a, n - 1)->position != entry(b, n - 1)->position)) {
        n--;
    }
    return n;
}

/* Truncates a replica's log to the part that it has in common with the
   primary's. */
static void
truncate_divergent(struct member *m, const struct member *primary)
{
    const guint n = common_length(m, primary);

    for (guint i = n; i < m->log->len; i++) {
        mark_discarded(m->group, entry(m, i));
    }
    g_array_set_size(m->log, n);
}

/* Completes the oldest promotion: the member becomes the primary of a new
   term, and entries that are missing from its log are discarded. Nothing
   changes for the present primary. */
static void
complete_promotion(struct standin_group *g)
{
    struct promotion *p = g_queue_pop_head(&g->promotions);
    struct member *m = &g->members[p->member];

    g_free(p);
    if (m->down || (m->primary && m->term == g->newest_term)) {
        return;
    }
    g->newest_term++;
    m->primary = true;
    m->term = g->newest_term;
    g->promoted_at = clock_monotonic_ms();
    for (int i = 0; i < SOAK_MEMBERS; i++) {
        struct member *o = &g->members[i];
        if (o == m) {
            continue;
        }
        for (guint k = common_length(o, m); k < o->log->len; k++) {
            mark_discarded(g, entry(o, k));
        }
        if (!o->primary && !o->down) {
            truncate_divergent(o, m);
        }
    }
    standin_group_on_role_change(g->soak);
}

static void
demote(struct member *m)
{
    m->primary = false;
    standin_group_on_role_change(m->group->soak);
}

/* Copies entries to the replicas once the replication delay and the member's
   lag have passed. */
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
            now - g->promoted_at >= DEMOTION_DELAY_MS) {
            demote(m);
        }
        if (m->primary || p->down || !p->primary) {
            continue;
        }
        truncate_divergent(m, p);
        m->term = p->term;
        while (m->log->len < p->log->len &&
               entry(p, m->log->len)->committed_at + REPLICATION_DELAY_MS +
                       m->lag_ms <=
                   now) {
            const struct entry e = *entry(p, m->log->len);
            g_array_append_val(m->log, e);
        }
    }
}

/* Completes due promotions and replicates. */
static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct standin_group *g = w->data;
    const clock_ms now = clock_monotonic_ms();

    (void)loop;
    (void)revents;
    const struct promotion *p;
    while ((p = g_queue_peek_head(&g->promotions)) != NULL && now >= p->at) {
        complete_promotion(g);
    }
    replicate(g, now);
}

/* Takes a promotion order, which takes effect later; returns false if the
   member is down. The fencing tokens of successive orders
   must not decrease. */
bool
standin_group_promote(struct standin_group *g, int member, uint64_t fence)
{
    if (fence < g->fence) {
        soak_violation(g->soak,
                       "promotion order with fence %lu after fence %lu",
                       (unsigned long)fence, (unsigned long)g->fence);
    }
    g->fence = MAX(g->fence, fence);
    if (g->members[member].down) {
        return false;
    }
    struct promotion *p = g_new0(struct promotion, 1);
    p->member = member;
    p->at = clock_monotonic_ms() + g->promotion_delay_ms;
    g_queue_push_tail(&g->promotions, p);
    return true;
}

bool
standin_group_has_begun(const struct standin_group *g, const char *id)
{
    return g_hash_table_contains(g->begun, id);
}

/* Sets the longest time that a read, write or commit takes. */
void
standin_group_set_execution(struct standin_group *g, int64_t max_ms)
{
    g->execution_max_ms = max_ms;
}

/* Sets how long a promotion takes, and whether a commit is answered only once
   a replica has received it. */
void
standin_group_set_mode(struct standin_group *g, int64_t promotion_delay_ms,
                       bool synchronous)
{
    g->promotion_delay_ms = promotion_delay_ms;
    g->synchronous = synchronous;
}

/* Closes a connection; it is freed later from the loop. */
static void
conn_close(struct conn *c)
{
    c->closed = true;
    g_queue_unlink(&c->member->conns, &c->link);
    ev_timer_stop(c->member->group->loop, &c->execution_timer);
    stream_close(c->stream);
    c->stream = NULL;
    deferred_free_add(c->member->group->deferred_free, c);
}

static void
conn_release(void *p)
{
    struct conn *c = p;

    g_string_free(c->reply, TRUE);
    g_array_free(c->writes, TRUE);
    g_free(c);
}

/* Appends READY with the transaction state (E failed, T open, I idle) and the
   member's position. */
static void
append_ready(struct conn *c)
{
    const struct member *m = c->member;
    const char *state = c->transaction_failed ? "E"
                        : c->in_transaction   ? "T"
                                              : "I";

    if (m->log->len == 0) {
        g_string_append_printf(c->reply, "READY %s %lu.0\r\n", state,
                               (unsigned long)m->term);
        return;
    }
    g_string_append_printf(c->reply, "READY %s %lu.%lu\r\n", state,
                           (unsigned long)m->term,
                           (unsigned long)entry(m, m->log->len - 1)->position);
}

/* Appends an ERROR line; an open transaction fails. */
static void
append_error(struct conn *c, const char *code)
{
    g_string_append_printf(c->reply, "ERROR %s m%d\r\n", code,
                           c->member->index);
    c->transaction_failed = c->in_transaction;
}

/* Returns true if a replica has received the commit that a connection has yet
   to answer. */
static bool
replica_has_commit(const struct conn *c)
{
    const struct standin_group *g = c->member->group;

    for (int i = 0; i < SOAK_MEMBERS; i++) {
        const struct member *m = &g->members[i];
        if (m != c->member && m->log->len >= c->committed_length &&
            entry(m, c->committed_length - 1)->term == c->committed_term) {
            return true;
        }
    }
    return false;
}

static uint64_t
newest_value(const struct member *m, const char *item)
{
    for (guint i = m->log->len; i > 0; i--) {
        if (strcmp(entry(m, i - 1)->item, item) == 0) {
            return entry(m, i - 1)->value;
        }
    }
    return 0;
}

/* Appends entries to the log. Those of a replaced primary are lost at its
   demotion; they are marked as discarded at once, also under their "late:"
   key. */
static void
commit(struct member *m, const struct entry *writes, guint n)
{
    struct standin_group *g = m->group;

    for (guint i = 0; i < n; i++) {
        struct entry e = writes[i];
        e.term = m->term;
        e.position = m->log->len + 1;
        e.committed_at = clock_monotonic_ms();
        g_array_append_val(m->log, e);
        if (m->term < g->newest_term) {
            mark_discarded(g, &e);
            char *key =
                g_strdup_printf("late:%s:%lu", e.item, (unsigned long)e.value);
            g_hash_table_add(g->discarded, key);
        }
    }
}

/* Checks that a statement runs on a connection whose transaction and session
   settings are those of its caller. The request ID starts with the caller's
   name. */
static void
check_session_state(struct conn *c, const char *id)
{
    char caller[16];

    g_strlcpy(caller, id, MIN(sizeof(caller), strcspn(id, "-") + 1));
    if (c->in_transaction && strcmp(caller, c->transaction_owner) != 0) {
        soak_violation(c->member->group->soak,
                       "%s runs inside the transaction of %s", id,
                       c->transaction_owner);
    }
    if (strcmp(c->who_setting, caller) != 0) {
        soak_violation(c->member->group->soak,
                       "%s runs with the settings of %s", id, c->who_setting);
    }
}

/* Counts a statement outside a transaction, or the first one of a
   transaction. */
static void
count_operation(struct conn *c)
{
    struct accounts *a = c->member->group->accounts;

    if (a != NULL && !(c->in_transaction && c->counted)) {
        accounts_count_operation(a, c->account);
        c->counted = true;
    }
}

static void
run_statement(struct conn *c, const char *id, char **w)
{
    struct member *m = c->member;

    check_session_state(c, id);
    if (m->group->accounts != NULL) {
        accounts_check_statement(m->group->accounts, c->account, id);
    }
    c->executes = true;
    g_hash_table_add(m->group->begun, g_strdup(id));
    if (strcmp(w[0], "READ") == 0) {
        count_operation(c);
        g_string_append_printf(c->reply, "DATAROW %lu\r\nCOMPLETE sig\r\n",
                               (unsigned long)newest_value(m, w[1]));
        return;
    }
    /* The commit of a transaction that wrote nothing succeeds anywhere. */
    const bool commits_nothing =
        strcmp(w[0], "COMMIT") == 0 && c->writes->len == 0;
    if (!commits_nothing &&
        (!m->primary || (c->in_transaction && c->read_only))) {
        append_error(c, "READONLY");
        return;
    }
    count_operation(c);
    if (strcmp(w[0], "COMMIT") == 0) {
        commit(m, (const struct entry *)(void *)c->writes->data,
               c->writes->len);
        c->committed_length = c->writes->len > 0 ? m->log->len : 0;
        c->committed_term = m->term;
        c->in_transaction = false;
        g_string_append(c->reply, "COMPLETE sig\r\n");
        return;
    }
    struct entry e = {.value = strtoull(w[2], NULL, 10)};
    g_strlcpy(e.item, w[1], sizeof(e.item));
    if (c->in_transaction) {
        g_array_append_val(c->writes, e);
    }
    else {
        commit(m, &e, 1);
        c->committed_length = m->log->len;
        c->committed_term = m->term;
    }
    g_string_append(c->reply, "COMPLETE sig\r\n");
}

/* Returns true if the log has reached TERM.POSITION. A replica that follows a
   new primary may still lack entries of earlier terms, so only the entries
   that it has received count. */
static bool
has_position(const struct member *m, const char *text)
{
    const struct entry *last =
        m->log->len == 0 ? NULL : entry(m, m->log->len - 1);
    const uint64_t own_term = m->primary     ? m->term
                              : last == NULL ? FIRST_TERM
                                             : last->term;
    char **parts = g_strsplit(text, ".", 2);
    const uint64_t term = strtoull(parts[0], NULL, 10);
    const uint64_t position =
        parts[1] == NULL ? 0 : strtoull(parts[1], NULL, 10);
    const uint64_t own = last == NULL ? 0 : last->position;

    g_strfreev(parts);
    return token_compare(own_term, own, term, position) >= 0;
}

/* Appends the row that answers STATUS and DEMOTE. */
static void
append_status(struct conn *c)
{
    const struct member *m = c->member;

    g_string_append_printf(
        c->reply, "DATAROW %s %lu %lu.%lu 0 0 0 %u\r\nCOMPLETE -\r\n",
        m->primary ? "primary" : "replica", (unsigned long)m->term,
        (unsigned long)(m->log->len == 0 ? m->term
                                         : entry(m, m->log->len - 1)->term),
        (unsigned long)(m->log->len == 0
                            ? 0
                            : entry(m, m->log->len - 1)->position),
        m->conns.length);
}

/* Executes the text of a QUERY, split into words. */
static void
run_query(struct conn *c, const char *id, char **w)
{
    struct member *m = c->member;

    if (strcmp(w[0], "AFTER") == 0) {
        if (!has_position(m, w[1])) {
            append_error(c, "LAGGING");
            return;
        }
        w += 2;
    }
    if (strcmp(w[0], "STATUS") == 0 || strcmp(w[0], "DEMOTE") == 0) {
        if (w[0][0] == 'D' && m->primary &&
            m->term < strtoull(w[1], NULL, 10)) {
            demote(m);
        }
        append_status(c);
    }
    else if (strcmp(w[0], "RESET") == 0) {
        c->who_setting[0] = '\0';
        g_string_append(c->reply, "COMPLETE -\r\n");
    }
    else if (strcmp(w[0], "SET") == 0) {
        g_strlcpy(c->who_setting, w[2], sizeof(c->who_setting));
        g_string_append(c->reply, "COMPLETE -\r\n");
    }
    else if (strcmp(w[0], "BEGIN") == 0) {
        c->read_only = w[1] != NULL;
        if (!c->read_only && !m->primary) {
            append_error(c, "READONLY");
            return;
        }
        c->in_transaction = true;
        c->counted = false;
        g_array_set_size(c->writes, 0);
        g_strlcpy(c->transaction_owner, id,
                  MIN(sizeof(c->transaction_owner), strcspn(id, "-") + 1));
        g_string_append(c->reply, "COMPLETE -\r\n");
    }
    else if (strcmp(w[0], "ROLLBACK") == 0) {
        c->in_transaction = false;
        c->transaction_failed = false;
        g_string_append(c->reply, "COMPLETE -\r\n");
    }
    else if (c->transaction_failed) {
        append_error(c, "MALFORMED");
    }
    else {
        run_statement(c, id, w);
    }
}

/* Sends the answer after the simulated execution time. A lost answer leaves
   the connection closed or silent. */
static void
on_execution_done(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct conn *c = w->data;
    struct member *m = c->member;

    (void)revents;
    if (m->group->synchronous && c->committed_length > 0 &&
        !replica_has_commit(c)) {
        ev_timer_set(w, TICK_MS / 1000.0, 0.0);
        ev_timer_start(loop, w);
        return;
    }
    c->committed_length = 0;
    if ((int)rng_below(m->group->rng, 100) < m->lose_answers_percent) {
        if (rng_below(m->group->rng, 2) == 0) {
            conn_close(c);
        }
        return; /* busy stays set, so the connection answers nothing more */
    }
    stream_write(c->stream, c->reply->str, c->reply->len);
    g_string_truncate(c->reply, 0);
    c->busy = false;
    process_input(c);
}

/* Handles one line: the startup line first, then QUERY lines. */
static void
handle_line(struct conn *c, char *text)
{
    char **w = g_strsplit(text, " ", 0);

    if (!c->started) {
        char id[16];
        g_snprintf(id, sizeof(id), "m%d", c->member->index);
        if (g_strv_length(w) != 4 || strcmp(w[1], SOAK_SERVICE) != 0 ||
            strcmp(w[3], id) != 0) {
            g_string_append(c->reply, "ERROR WRONGNODE x\r\n");
        }
        else if (c->member->conns.length > c->member->group->max_connections) {
            g_string_append(c->reply, "ERROR CONNLIMIT x\r\n");
        }
        else {
            c->started = true;
            g_strlcpy(c->account, w[2], sizeof(c->account));
            append_ready(c);
        }
    }
    else if (strcmp(w[0], "QUERY") == 0 && g_strv_length(w) >= 3) {
        run_query(c, w[1], w + 2);
        append_ready(c);
    }
    g_strfreev(w);
}

/* Handles the next line that has arrived, one at a time; its answer is sent
   after a random execution time. */
static void
process_input(struct conn *c)
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
        c->executes = false;
        handle_line(c, text);
        g_free(text);
        const int64_t max_ms = c->executes ? c->member->group->execution_max_ms
                                           : EXECUTION_MAX_MS;
        ev_timer_set(
            &c->execution_timer,
            (double)rng_below(c->member->group->rng, (uint64_t)max_ms * 1000) /
                1e6,
            0.0);
        ev_timer_start(c->member->group->loop, &c->execution_timer);
    }
}

static void
on_readable(void *ctx)
{
    process_input(ctx);
}

static void
on_closed(void *ctx, const char *why)
{
    (void)why;
    conn_close(ctx);
}

static const struct stream_callbacks conn_events = {.readable = on_readable,
                                                    .closed = on_closed};

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
    ev_timer_init(&c->execution_timer, on_execution_done, 0.0, 0.0);
    c->execution_timer.data = c;
    c->stream = stream_from_fd(loop, fd, &conn_events, c);
    g_queue_push_tail_link(&m->conns, &c->link);
}

/* Starts all members; member 0 is the primary of term 1. Aborts the soak if a
   port is in use. */
struct standin_group *
standin_group_create(struct soak *s, struct ev_loop *loop, struct rng *rng,
                     guint max_connections)
{
    struct standin_group *g = g_new0(struct standin_group, 1);

    g->soak = s;
    g->loop = loop;
    g->rng = rng;
    g->max_connections = max_connections;
    g->promotion_delay_ms = PROMOTION_DELAY_MS;
    g->execution_max_ms = EXECUTION_MAX_MS;
    g->begun = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g->newest_term = 1;
    g->deferred_free = deferred_free_create(loop, conn_release);
    g->discarded =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 0; i < SOAK_MEMBERS; i++) {
        struct member *m = &g->members[i];
        m->group = g;
        m->index = i;
        m->term = FIRST_TERM;
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

/* Lets the members check the account of each statement. */
void
standin_group_set_accounts(struct standin_group *g, struct accounts *a)
{
    g->accounts = a;
}

static void
close_connections(struct member *m)
{
    struct conn *c;

    while ((c = g_queue_peek_head(&m->conns)) != NULL) {
        conn_close(c);
    }
}

void
standin_group_destroy(struct standin_group *g)
{
    ev_timer_stop(g->loop, &g->tick);
    for (int i = 0; i < SOAK_MEMBERS; i++) {
        close_connections(&g->members[i]);
        ev_io_stop(g->loop, &g->members[i].io);
        close(g->members[i].fd);
        g_array_free(g->members[i].log, TRUE);
    }
    deferred_free_destroy(g->deferred_free);
    g_hash_table_destroy(g->discarded);
    g_hash_table_destroy(g->begun);
    g_queue_clear_full(&g->promotions, g_free);
    g_free(g);
}

/* Stops a member and closes its connections, or starts it again with its log.
   If it was replaced as primary meanwhile, it starts as a replica. */
void
standin_group_set_down(struct standin_group *g, int member, bool down)
{
    struct member *m = &g->members[member];

    m->down = down;
    if (down) {
        close_connections(m);
    }
    else if (m->term < g->newest_term) {
        m->primary = false;
    }
    standin_group_on_role_change(g->soak);
}

/* Sets the replication delay of a replica beyond REPLICATION_DELAY_MS. */
void
standin_group_set_lag(struct standin_group *g, int member, int64_t lag_ms)
{
    g->members[member].lag_ms = lag_ms;
}

/* Sets the percentage of a member's answers that are lost after the statement
   was executed. */
void
standin_group_lose_answers(struct standin_group *g, int member, int percent)
{
    g->members[member].lose_answers_percent = percent;
}
