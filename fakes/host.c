#define LOG_MODULE "host"

#include "fakes/conn.h"

#include "base/log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 4096

static void
on_accept(struct ev_loop *loop, ev_io *w, int events)
{
    struct host_member *m = w->data;

    (void)loop;
    (void)events;
    for (;;) {
        const int fd =
            accept4(m->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        conn_accept(m, fd);
    }
}

/* Listens on a member's port on loopback. Port 0 is replaced by a free one. */
static bool
open_port(struct host_member *m)
{
    const struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)m->port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    const int on = 1;
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        return false;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, (const struct sockaddr *)&address, sizeof address) != 0 ||
        listen(fd, LISTEN_BACKLOG) != 0) {
        LOG_ERROR("listen", m->db->name, "cannot listen on port %d: %s",
                  m->port, g_strerror(errno));
        close(fd);
        return false;
    }
    struct sockaddr_in bound = {0};
    socklen_t n = sizeof bound;
    if (getsockname(fd, (struct sockaddr *)&bound, &n) == 0) {
        m->port = ntohs(bound.sin_port);
    }
    m->listen_fd = fd;
    ev_io_init(&m->listener, on_accept, fd, EV_READ);
    m->listener.data = m;
    ev_io_start(m->db->host->loop, &m->listener);
    return true;
}

/* Closes a member's port; new connections are refused. */
static void
close_port(struct host_member *m)
{
    if (m->listen_fd >= 0) {
        ev_io_stop(m->db->host->loop, &m->listener);
        close(m->listen_fd);
        m->listen_fd = -1;
    }
}

/* Only ends the loop's wait; on_prepare() then runs the groups. */
static void
on_next_due(struct ev_loop *loop, ev_timer *w, int events)
{
    (void)loop;
    (void)w;
    (void)events;
}

/* Runs the groups and the connections whose wait is over until no work is
   left, then starts the timer for the next message or heartbeat. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
    struct host *h = w->data;
    const clock_ms now = clock_monotonic_ms();
    clock_ms due = CLOCK_NEVER;

    (void)events;
    do {
        struct conn *c = NULL;
        due = CLOCK_NEVER;
        for (guint i = 0; i < h->databases->len; i++) {
            struct host_database *db = g_ptr_array_index(h->databases, i);
            fake_group_run(db->group, now);
        }
        while ((c = g_queue_pop_head(&h->ready_queue)) != NULL) {
            c->in_ready_queue = false;
            conn_resume(c);
        }
        for (guint i = 0; i < h->databases->len; i++) {
            struct host_database *db = g_ptr_array_index(h->databases, i);
            due = MIN(due, fake_group_next_due(db->group, now));
        }
    } while (due <= now);
    ev_timer_stop(loop, &h->next_due_timer);
    ev_timer_set(&h->next_due_timer, (double)(due - now) / 1000, 0);
    ev_timer_start(loop, &h->next_due_timer);
}

struct host *
host_create(struct ev_loop *loop, const struct host_options *options)
{
    struct host *h = g_new0(struct host, 1);

    h->loop = loop;
    h->options = *options;
    h->databases = g_ptr_array_new();
    h->conns_by_pid = g_hash_table_new(g_direct_hash, g_direct_equal);
    ev_prepare_init(&h->prepare_watcher, on_prepare);
    h->prepare_watcher.data = h;
    ev_prepare_start(loop, &h->prepare_watcher);
    ev_timer_init(&h->next_due_timer, on_next_due, 0, 0);
    return h;
}

/* Adds a database from `NAME=port,port,port`, one port per member, and listens
   on the ports. After an error the host can only be destroyed. */
bool
host_add_database(struct host *h, const char *spec, GError **error)
{
    g_auto(GStrv) halves = g_strsplit(spec, "=", 2);
    g_auto(GStrv) ports = g_strsplit(
        halves[0] != NULL && halves[1] != NULL ? halves[1] : "", ",", -1);
    const unsigned n = g_strv_length(ports);

    if (n == 0 || n > GROUP_MEMBERS_MAX) {
        g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                    "--database %s: expected NAME=port,port,port", spec);
        return false;
    }
    const struct fake_group_options options = {
        .members = n,
        .delay_ms = h->options.replication_delay_ms,
        .auto_follow = h->options.auto_follow,
    };
    struct host_database *db = g_new0(struct host_database, 1);
    db->host = h;
    db->name = g_strdup(halves[0]);
    db->n = n;
    db->group = fake_group_create(&options, clock_monotonic_ms());
    g_ptr_array_add(h->databases, db);
    for (unsigned i = 0; i < n; i++) {
        struct host_member *m = &db->members[i];
        m->db = db;
        m->index = i;
        m->port = (int)g_ascii_strtoll(ports[i], NULL, 10);
        m->listen_fd = -1;
        m->slowdown_factor = 1;
        m->locks =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        if (m->port < 0 || m->port > 65535 || !open_port(m)) {
            g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                        "--database %s: cannot listen on port %s", spec,
                        ports[i]);
            return false;
        }
    }
    return true;
}

/* Closes all connections and ports and frees the host and its databases. */
void
host_destroy(struct host *h)
{
    for (guint i = 0; i < h->databases->len; i++) {
        struct host_database *db = g_ptr_array_index(h->databases, i);
        for (unsigned k = 0; k < db->n; k++) {
            struct host_member *m = &db->members[k];
            while (m->conns.head != NULL) {
                conn_close(m->conns.head->data);
            }
            if (m->locks != NULL) {
                close_port(m);
                g_hash_table_destroy(m->locks);
            }
        }
        fake_group_destroy(db->group);
        g_free(db->name);
        g_free(db);
    }
    ev_prepare_stop(h->loop, &h->prepare_watcher);
    ev_timer_stop(h->loop, &h->next_due_timer);
    g_ptr_array_free(h->databases, TRUE);
    g_hash_table_destroy(h->conns_by_pid);
    g_free(h);
}

/* Closes connections that the client has closed but whose end of file is not
   read yet. Without this, a connect right after a close could be refused. */
static void
close_departed_conns(struct host_database *db)
{
    for (unsigned i = 0; i < db->n; i++) {
        GList *next = NULL;
        for (GList *l = db->members[i].conns.head; l != NULL; l = next) {
            struct conn *c = l->data;
            next = l->next;
            if (c->admitted && conn_peer_closed(c)) {
                conn_close(c);
            }
        }
    }
}

/* Counts a connection against its limit. Returns false if the limit is
   reached. */
bool
host_admit_conn(struct conn *c)
{
    struct host_member *m = c->member;
    struct host_database *db = m->db;
    const int limit = c->host->options.connections;

    if ((c->is_control &&
         m->control_connections >= HOST_CONTROL_CONNECTIONS) ||
        (!c->is_control && db->connections >= limit)) {
        close_departed_conns(db);
    }
    if (c->is_control) {
        if (m->control_connections >= HOST_CONTROL_CONNECTIONS) {
            db->refused_control_connections++;
            return false;
        }
        m->control_connections++;
    }
    else {
        if (db->connections >= limit) {
            db->refused_connections++;
            return false;
        }
        db->connections++;
        db->max_connections = MAX(db->max_connections, db->connections);
    }
    c->admitted = true;
    return true;
}

/* Ends the counting of an admitted connection. */
void
host_uncount_conn(struct conn *c)
{
    if (c->admitted) {
        c->admitted = false;
        if (c->is_control) {
            c->member->control_connections--;
        }
        else {
            c->member->db->connections--;
        }
    }
}

/* Queues a connection whose wait is over; on_prepare() resumes it. */
void
host_queue_ready_conn(struct host *h, struct conn *c)
{
    if (!c->in_ready_queue) {
        c->in_ready_queue = true;
        g_queue_push_tail(&h->ready_queue, c);
    }
}

static void
occupy_slot(struct host_member *m, struct conn *c, bool is_long)
{
    c->run.has_slot = true;
    m->running++;
    if (is_long) {
        m->running_long++;
        m->max_running_long = MAX(m->max_running_long, m->running_long);
        m->db->slots_full_of_long +=
            m->running_long == m->db->host->options.slots;
    }
}

/* Takes a slot, or queues the connection and returns false. A queued
   connection holds the slot when it is resumed. */
bool
host_acquire_slot(struct host_member *m, struct conn *c, bool is_long)
{
    if (m->running >= m->db->host->options.slots ||
        m->slot_queue.head != NULL) {
        g_queue_push_tail(&m->slot_queue, c);
        return false;
    }
    occupy_slot(m, c, is_long);
    return true;
}

/* Releases a slot and passes it to the first waiting statement. */
void
host_release_slot(struct host_member *m, bool is_long)
{
    m->running--;
    m->running_long -= is_long;
    struct conn *next = g_queue_pop_head(&m->slot_queue);
    if (next != NULL) {
        occupy_slot(m, next, next->run.is_long);
        host_queue_ready_conn(m->db->host, next);
    }
}

/* Locks a key for a connection's transaction. If another connection holds the
   lock, returns false and queues the connection, unless waiting would be a
   deadlock: then *deadlock is set to true. */
bool
host_lock(struct host_member *m, struct conn *c, const char *key,
          bool *deadlock)
{
    struct conn *owner = g_hash_table_lookup(m->locks, key);

    if (owner == NULL || owner == c) {
        if (owner == NULL) {
            g_hash_table_insert(m->locks, g_strdup(key), c);
            c->locks++;
        }
        return true;
    }
    while (owner != NULL && owner != c && owner->lock_key != NULL) {
        owner = g_hash_table_lookup(m->locks, owner->lock_key);
    }
    *deadlock = owner == c;
    if (!*deadlock) {
        g_queue_push_tail(&m->lock_queue, c);
    }
    return false;
}

static gboolean
lock_is_of(gpointer key, gpointer owner, gpointer c)
{
    (void)key;
    return owner == c;
}

/* Releases a connection's locks; all waiting statements retry theirs. */
void
host_unlock_all(struct host_member *m, struct conn *c)
{
    struct conn *waiting = NULL;

    if (c->locks == 0) {
        return;
    }
    c->locks = 0;
    g_hash_table_foreach_remove(m->locks, lock_is_of, c);
    while ((waiting = g_queue_pop_head(&m->lock_queue)) != NULL) {
        g_clear_pointer(&waiting->lock_key, g_free);
        host_queue_ready_conn(m->db->host, waiting);
    }
}

/* Closes all connections of a member. The connection last is closed after its
   pending output is sent. */
static void
close_member_conns(struct host_member *m, struct conn *last)
{
    GList *next = NULL;

    for (GList *l = m->conns.head; l != NULL; l = next) {
        struct conn *c = l->data;
        next = l->next;
        if (c != last) {
            conn_close(c);
        }
        else {
            c->close_after_flush = true;
        }
    }
}

/* Finds a member by index or port; NULL if there is none. */
static struct host_member *
find_member(struct host_database *db, const char *text)
{
    char *end = NULL;
    const uint64_t n = g_ascii_strtoull(text, &end, 10);

    if (end == text) {
        return NULL;
    }
    for (unsigned i = 0; i < db->n; i++) {
        if (n == i || n == (uint64_t)db->members[i].port) {
            return &db->members[i];
        }
    }
    return NULL;
}

/* Injects a fault into a member. args are the member (index or port) and, for
   "lag" (ms) and "slow" (factor), a number. Appends the fault and the member's
   index to answer. Returns false for an unknown fault or member, or if the
   port of a revived member cannot be opened. */
bool
host_inject_fault(struct conn *c, const char *kind, const char *args,
                  GString *answer)
{
    struct host_database *db = c->member->db;
    g_auto(GStrv) words = g_strsplit(args, " ", 2);
    struct host_member *m =
        words[0] != NULL ? find_member(db, words[0]) : NULL;
    const clock_ms now = clock_monotonic_ms();

    if (m == NULL) {
        return false;
    }
    const int64_t number =
        words[1] != NULL ? g_ascii_strtoll(words[1], NULL, 10) : 0;
    if (strcmp(kind, "kill") == 0) {
        fake_group_set_alive(db->group, m->index, false, now);
        close_port(m);
        close_member_conns(m, c);
    }
    else if (strcmp(kind, "revive") == 0) {
        fake_group_set_alive(db->group, m->index, true, now);
        if (m->listen_fd < 0 && !open_port(m)) {
            return false;
        }
    }
    else if (strcmp(kind, "isolate") == 0) {
        fake_group_set_isolated(db->group, m->index, true);
    }
    else if (strcmp(kind, "heal") == 0) {
        fake_group_set_isolated(db->group, m->index, false);
        fake_group_set_lag(db->group, m->index, 0);
        m->slowdown_factor = 1;
    }
    else if (strcmp(kind, "silent") == 0) {
        for (GList *l = m->conns.head; l != NULL; l = l->next) {
            if (l->data != c) {
                conn_set_silent(l->data);
            }
        }
    }
    else if (strcmp(kind, "lag") == 0) {
        fake_group_set_lag(db->group, m->index, number);
    }
    else if (strcmp(kind, "slow") == 0) {
        m->slowdown_factor = (unsigned)MAX(number, 1);
    }
    else {
        return false;
    }
    g_string_append_printf(answer, "%s %u", kind, m->index);
    return true;
}

/* Appends the counters of a database as `key=value ...`. */
void
host_write_stats(const struct host_database *db, GString *out)
{
    const struct fake_group_violations *v =
        fake_group_get_violations(db->group);
    const int primary = fake_group_current_primary(db->group);
    int max_long = 0;

    for (unsigned i = 0; i < db->n; i++) {
        max_long = MAX(max_long, db->members[i].max_running_long);
    }
    g_string_append_printf(
        out,
        "database=%s statements=%" PRIu64 " connections=%d "
        "max_connections=%d refused_connections=%" PRIu64
        " connection_cap_violations=%" PRIu64
        " refused_control_connections=%" PRIu64
        " max_running_long=%d slots_full_of_long=%" PRIu64
        " mixed_statements=%" PRIu64 " reads_primary=%" PRIu64
        " reads_replica=%" PRIu64 " primary=%d term=%" PRIu64
        " position=%" PRIu64 " lost_acknowledged=%" PRIu64 " diverged=%" PRIu64
        " double_promotion=%" PRIu64 " replaced_acks=%" PRIu64,
        db->name, db->statements, db->connections, db->max_connections,
        db->refused_connections, db->refused_connections,
        db->refused_control_connections, max_long, db->slots_full_of_long,
        db->mixed_statements, db->reads_primary, db->reads_replica, primary,
        primary < 0 ? 0 : fake_group_sealed_term(db->group, (unsigned)primary),
        primary < 0 ? 0 : fake_group_position(db->group, (unsigned)primary),
        v->lost_acknowledged, v->diverged, v->double_promotion,
        v->replaced_acks);
    for (unsigned i = 0; i < db->n; i++) {
        g_string_append_printf(out, " max_running_long_%u=%d", i,
                               db->members[i].max_running_long);
    }
}
