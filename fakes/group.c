#include "fakes/group_internal.h"

#include <stdio.h>

static void
uncommitted_value_free(void *p)
{
    struct uncommitted_value *v = p;

    g_free(v->value);
    g_free(v);
}

/* Creates a group with member 0 as primary of GROUP_FIRST_TERM. */
struct fake_group *
fake_group_create(const struct fake_group_options *options, clock_ms now)
{
    struct fake_group *g = g_new0(struct fake_group, 1);

    g_assert(options->members > 0 && options->members <= GROUP_MEMBERS_MAX);
    g->n_members = options->members;
    g->delay_ms = options->delay_ms;
    g->auto_follow = options->auto_follow;
    g->now = now;
    g->heartbeat_at = now;
    for (unsigned i = 0; i < g->n_members; i++) {
        struct member *m = &g->members[i];
        m->alive = true;
        m->following = i != 0;
        m->sealed_term = GROUP_FIRST_TERM;
        m->log = g_ptr_array_new_with_free_func(fake_group_entry_unref);
        m->visible = row_map_create();
        m->uncommitted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                               uncommitted_value_free);
        m->last_append_at = now;
        m->caught_up_at = now;
    }
    fake_group_promote(g, 0, GROUP_FIRST_TERM, now);
    fake_group_run(g, now);
    return g;
}

/* Frees the group. Callbacks of waiting calls are not called. */
void
fake_group_destroy(struct fake_group *g)
{
    for (unsigned i = 0; i < g->n_members; i++) {
        struct member *m = &g->members[i];
        g_ptr_array_free(m->log, TRUE);
        row_map_destroy(m->visible);
        g_hash_table_destroy(m->uncommitted);
        g_queue_clear_full(&m->commit_waiters, g_free);
        g_queue_clear_full(&m->confirm_waiters, g_free);
        for (unsigned k = 0; k < g->n_members; k++) {
            g_queue_clear_full(&g->links[i][k],
                               (GDestroyNotify)fake_group_message_free);
        }
    }
    g_free(g);
}

unsigned
fake_group_members(const struct fake_group *g)
{
    return g->n_members;
}

/* Drops log entries that are committed on every member and so are never sent
   again. Drops at least min_entries at once, since each removal moves the rest
   of the log. */
static void
compact_logs(struct fake_group *g)
{
    const uint64_t min_entries = 65536;
    uint64_t low = UINT64_MAX;

    for (unsigned i = 0; i < g->n_members; i++) {
        low = MIN(low, g->members[i].commit_position);
    }
    for (unsigned i = 0; i < g->n_members; i++) {
        struct member *m = &g->members[i];
        if (low < m->log_base + min_entries) {
            continue;
        }
        m->log_base_term = fake_group_term_at(m, low);
        g_ptr_array_remove_range(m->log, 0, (unsigned)(low - m->log_base));
        m->log_base = low;
    }
}

/* Delivers or drops one due message. Returns false if none is due. */
static bool
deliver_one(struct fake_group *g)
{
    for (unsigned from = 0; from < g->n_members; from++) {
        for (unsigned to = 0; to < g->n_members; to++) {
            GQueue *link = &g->links[from][to];
            struct message *msg = g_queue_peek_head(link);
            if (msg == NULL || msg->due > g->now) {
                continue;
            }
            g_queue_pop_head(link);
            const struct member *a = &g->members[from];
            const struct member *b = &g->members[to];
            if (a->alive && b->alive && !a->isolated && !b->isolated) {
                fake_group_receive(g, to, msg);
            }
            fake_group_message_free(msg);
            return true;
        }
    }
    return false;
}

/* Sends the primaries' pending messages and delivers all due messages. Calls
   the callbacks of decided calls; they must not call the group. */
void
fake_group_run(struct fake_group *g, clock_ms now)
{
    bool again = true;

    g->now = now;
    if (now >= g->heartbeat_at) {
        g->heartbeat_at = now + GROUP_HEARTBEAT_MS;
        for (unsigned i = 0; i < g->n_members; i++) {
            g->members[i].send_pending |= g->members[i].primary;
        }
        compact_logs(g);
    }
    while (again) {
        again = false;
        for (unsigned i = 0; i < g->n_members; i++) {
            struct member *m = &g->members[i];
            if (m->send_pending) {
                m->send_pending = false;
                if (m->primary && m->alive) {
                    fake_group_send_all(g, i);
                    fake_group_advance_commit(g, i);
                    again = true;
                }
            }
        }
        while (deliver_one(g)) {
            again = true;
        }
    }
}

/* Returns the time of the next work of fake_group_run(); now if work is
   pending already. */
clock_ms
fake_group_next_due(const struct fake_group *g, clock_ms now)
{
    clock_ms due = g->heartbeat_at;

    for (unsigned from = 0; from < g->n_members; from++) {
        if (g->members[from].send_pending) {
            return now;
        }
        for (unsigned to = 0; to < g->n_members; to++) {
            const struct message *msg =
                g_queue_peek_head((GQueue *)&g->links[from][to]);
            if (msg != NULL) {
                due = MIN(due, msg->due);
            }
        }
    }
    return due;
}

/* Returns the newest value of a row in a primary's log, including uncommitted
   entries; NULL if the row does not exist. */
const char *
fake_group_latest_value(const struct fake_group *g, unsigned member,
                        const char *key)
{
    const struct member *m = &g->members[member];
    const struct uncommitted_value *v =
        g_hash_table_lookup(m->uncommitted, key);

    return v != NULL ? v->value : row_map_get(m->visible, key);
}

/* Resolves operations to the absolute values that they lead to after all
   entries of the log. Results of earlier operations in e are searched first,
   since a transaction may change a row several times. */
static enum fake_group_status
resolve_ops(const struct fake_group *g, unsigned member, const struct op *ops,
            unsigned n_ops, struct entry *e)
{
    for (unsigned i = 0; i < n_ops; i++) {
        const char *current = fake_group_latest_value(g, member, ops[i].key);
        for (unsigned k = e->n_ops; k-- > 0;) {
            if (strcmp(e->ops[k].key, ops[i].key) == 0) {
                current = e->ops[k].value;
                break;
            }
        }
        if (ops[i].kind == OP_INSERT && current != NULL) {
            return GROUP_DUPLICATE;
        }
        char *next = NULL;
        if (!op_apply(&ops[i], current, &next)) {
            return GROUP_BAD_NUMBER;
        }
        if (next != NULL) {
            e->ops[e->n_ops++] = (struct op){
                .kind = OP_PUT, .key = g_strdup(ops[i].key), .value = next};
        }
    }
    return GROUP_OK;
}

static void
push_waiter(GQueue *queue, struct waiter w)
{
    struct waiter *copy = g_new(struct waiter, 1);

    *copy = w;
    g_queue_push_tail(queue, copy);
}

/* Appends operations as one entry on a primary. If it returns GROUP_PENDING,
   done is called with GROUP_OK when a majority holds the entry in the
   primary's own term, or with GROUP_REPLACED. With n_ops 0, the empty entry is
   committed after all earlier entries. */
enum fake_group_status
fake_group_commit(struct fake_group *g, unsigned member, const struct op *ops,
                  unsigned n_ops, fake_group_done *done, void *ctx)
{
    struct member *m = &g->members[member];

    if (!m->primary || !m->alive) {
        return GROUP_NOT_PRIMARY;
    }
    struct entry *e = fake_group_entry_new(m->sealed_term, n_ops);
    const enum fake_group_status status =
        resolve_ops(g, member, ops, n_ops, e);
    if (status != GROUP_OK) {
        fake_group_entry_unref(e);
        return status;
    }
    fake_group_append(g, member, e);
    push_waiter(&m->commit_waiters,
                (struct waiter){.position = fake_group_last_position(m),
                                .done = done,
                                .ctx = ctx});
    return GROUP_PENDING;
}

/* Calls done when a majority has confirmed the primary's term after this call
   and all entries that were in its log at the call are committed. */
enum fake_group_status
fake_group_confirm(struct fake_group *g, unsigned member,
                   fake_group_done *done, void *ctx)
{
    struct member *m = &g->members[member];

    if (!m->primary || !m->alive) {
        return GROUP_NOT_PRIMARY;
    }
    m->send_pending = true;
    push_waiter(&m->confirm_waiters,
                (struct waiter){.position = fake_group_last_position(m),
                                .round = m->round + 1,
                                .done = done,
                                .ctx = ctx});
    return GROUP_PENDING;
}

static void
drop_waiters(GQueue *queue, const void *ctx)
{
    GList *next = NULL;

    for (GList *l = queue->head; l != NULL; l = next) {
        struct waiter *w = l->data;
        next = l->next;
        if (w->ctx == ctx) {
            g_free(w);
            g_queue_delete_link(queue, l);
        }
    }
}

/* Drops the waiting calls of ctx; their callbacks are not called. Entries
   already appended stay. */
void
fake_group_drop_waiters(struct fake_group *g, unsigned member, const void *ctx)
{
    drop_waiters(&g->members[member].commit_waiters, ctx);
    drop_waiters(&g->members[member].confirm_waiters, ctx);
}

/* Returns the time in ms since a replica last heard from its primary, or since
   a primary sent the last message that a majority acknowledged. */
static clock_ms
contact_age_ms(const struct fake_group *g, const struct member *m,
               clock_ms now)
{
    clock_ms sent_at[GROUP_MEMBERS_MAX] = {0};

    if (!m->primary) {
        return now - m->last_append_at;
    }
    for (unsigned i = 0; i < g->n_members; i++) {
        clock_ms t = m == &g->members[i] ? now : m->acked_sent_at[i];
        unsigned k = i;
        for (; k > 0 && sent_at[k - 1] < t; k--) {
            sent_at[k] = sent_at[k - 1];
        }
        sent_at[k] = t;
    }
    return now - sent_at[g->n_members / 2];
}

/* Writes `term position role staleness_ms silence_ms sealed`. term is that of
   the entry at position, so that (term, position) orders the states of all
   members. sealed is the highest term sealed on the member; on a primary, the
   term that it leads. A primary that no majority has acknowledged for 500 ms
   reports silence_ms as its staleness too. */
size_t
fake_group_state(const struct fake_group *g, unsigned member, clock_ms now,
                 char out[GROUP_STATE_BYTES])
{
    const clock_ms unconfirmed_limit_ms = 500;
    const struct member *m = &g->members[member];
    const clock_ms silence_ms = MAX(contact_age_ms(g, m, now), 0);
    clock_ms staleness_ms = MAX(now - m->caught_up_at, 0);

    if (m->primary) {
        staleness_ms = silence_ms > unconfirmed_limit_ms ? silence_ms : 0;
    }
    return (size_t)snprintf(out, GROUP_STATE_BYTES,
                            "%" PRIu64 " %" PRIu64 " %s %" PRId64 " %" PRId64
                            " %" PRIu64,
                            m->visible_term, m->commit_position,
                            m->primary ? "primary" : "replica", staleness_ms,
                            silence_ms, m->sealed_term);
}

/* Seals a term. Writes `granted TERM POSITION` with the term and position of
   the last log entry, which serve to choose the most advanced member, or
   `refused SEALED POSITION`. Sealing the same term again is granted, since a
   term has one owner. */
enum fake_group_status
fake_group_seal(struct fake_group *g, unsigned member, uint64_t term,
                char out[GROUP_STATE_BYTES])
{
    struct member *m = &g->members[member];

    if (term < m->sealed_term) {
        snprintf(out, GROUP_STATE_BYTES, "refused %" PRIu64 " %" PRIu64,
                 m->sealed_term, fake_group_last_position(m));
        return GROUP_REFUSED;
    }
    if (term > m->sealed_term) {
        m->sealed_term = term;
        m->following = false;
        fake_group_step_down(g, m);
    }
    snprintf(out, GROUP_STATE_BYTES, "granted %" PRIu64 " %" PRIu64,
             fake_group_term_at(m, fake_group_last_position(m)),
             fake_group_last_position(m));
    return GROUP_OK;
}

/* Counts the rule violations of a promotion. */
static void
check_promotion(struct fake_group *g, unsigned member, uint64_t term)
{
    const struct member *m = &g->members[member];
    const uint64_t last = fake_group_last_position(m);
    const uint64_t last_term = fake_group_term_at(m, last);

    if (last_term < g->acked_term ||
        (last_term == g->acked_term && last < g->acked_position)) {
        g->violations.lost_acknowledged++;
    }
    if (term == g->promoted_term && member != g->promoted_member) {
        g->violations.double_promotion++;
    }
    if (term > g->promoted_term) {
        g->promoted_term = term;
        g->promoted_member = member;
    }
}

/* Makes the member primary of a term that is sealed on it. Promoting it again
   in the same term has no effect. */
enum fake_group_status
fake_group_promote(struct fake_group *g, unsigned member, uint64_t term,
                   clock_ms now)
{
    struct member *m = &g->members[member];

    if (m->sealed_term != term || m->following) {
        return GROUP_REFUSED;
    }
    if (m->primary) {
        return GROUP_OK;
    }
    check_promotion(g, member, term);
    m->primary = true;
    for (unsigned i = 0; i < g->n_members; i++) {
        m->next_position[i] = fake_group_last_position(m) + 1;
        m->match_position[i] = 0;
        m->acked_round[i] = 0;
        m->acked_sent_at[i] = now;
    }
    for (uint64_t p = m->commit_position + 1; p <= fake_group_last_position(m);
         p++) {
        const struct entry *e = g_ptr_array_index(m->log, p - m->log_base - 1);
        for (unsigned i = 0; i < e->n_ops; i++) {
            struct uncommitted_value *v = g_new(struct uncommitted_value, 1);
            *v = (struct uncommitted_value){
                .position = p, .value = g_strdup(e->ops[i].value)};
            g_hash_table_replace(m->uncommitted, g_strdup(e->ops[i].key), v);
        }
    }
    fake_group_append(g, member, fake_group_entry_new(term, 0));
    m->term_start_position = fake_group_last_position(m);
    return GROUP_OK;
}

/* Makes the member accept replication of a term; a higher term is sealed
   first. The primary of the term refuses. */
enum fake_group_status
fake_group_follow(struct fake_group *g, unsigned member, uint64_t term,
                  unsigned primary, clock_ms now)
{
    struct member *m = &g->members[member];

    if (term < m->sealed_term || primary == member ||
        (term == m->sealed_term && m->primary)) {
        return GROUP_REFUSED;
    }
    if (term > m->sealed_term) {
        m->sealed_term = term;
        fake_group_step_down(g, m);
    }
    if (!m->following) {
        m->following = true;
        m->last_append_at = now;
    }
    return GROUP_OK;
}

/* Returns true if the member considers itself primary of its sealed term; a
   higher term may be sealed elsewhere. */
bool
fake_group_is_primary(const struct fake_group *g, unsigned member)
{
    return g->members[member].primary;
}

uint64_t
fake_group_sealed_term(const struct fake_group *g, unsigned member)
{
    return g->members[member].sealed_term;
}

/* Returns the position of the last visible entry. */
uint64_t
fake_group_position(const struct fake_group *g, unsigned member)
{
    return g->members[member].commit_position;
}

/* Returns the term of the last visible entry. */
uint64_t
fake_group_visible_term(const struct fake_group *g, unsigned member)
{
    return g->members[member].visible_term;
}

/* Returns true if the member's log has an entry of this term at a position.
   Compacted entries are assumed to match. */
bool
fake_group_has_entry(const struct fake_group *g, unsigned member,
                     uint64_t position, uint64_t term)
{
    const struct member *m = &g->members[member];

    return position <= m->log_base ||
           (position <= fake_group_last_position(m) &&
            fake_group_term_at(m, position) == term);
}

/* Returns the position of the last entry in the log. */
uint64_t
fake_group_log_end(const struct fake_group *g, unsigned member)
{
    return fake_group_last_position(&g->members[member]);
}

/* Returns the term of the last entry in the log. */
uint64_t
fake_group_log_term(const struct fake_group *g, unsigned member)
{
    const struct member *m = &g->members[member];

    return fake_group_term_at(m, fake_group_last_position(m));
}

/* Returns the running primary of the highest term, -1 if there is none. */
int
fake_group_current_primary(const struct fake_group *g)
{
    int best = -1;

    for (unsigned i = 0; i < g->n_members; i++) {
        const struct member *m = &g->members[i];
        if (m->primary && m->alive &&
            (best < 0 || m->sealed_term > g->members[best].sealed_term)) {
            best = (int)i;
        }
    }
    return best;
}

/* Returns the member's rows as of its last visible entry. */
const struct row_map *
fake_group_visible(const struct fake_group *g, unsigned member)
{
    return g->members[member].visible;
}

const struct fake_group_violations *
fake_group_get_violations(const struct fake_group *g)
{
    return &g->violations;
}

/* Stops or starts a member. Its log, sealed term and role are kept, so a
   restarted primary still considers itself primary. */
void
fake_group_set_alive(struct fake_group *g, unsigned member, bool alive,
                     clock_ms now)
{
    struct member *m = &g->members[member];

    if (m->alive == alive) {
        return;
    }
    m->alive = alive;
    m->last_append_at = now;
    if (!alive) {
        g_queue_clear_full(&m->commit_waiters, g_free);
        g_queue_clear_full(&m->confirm_waiters, g_free);
    }
}

/* Disconnects the member from all other members, or connects it again. */
void
fake_group_set_isolated(struct fake_group *g, unsigned member, bool isolated)
{
    g->members[member].isolated = isolated;
}

/* Delays replication to the member by lag_ms on top of the usual delay. */
void
fake_group_set_lag(struct fake_group *g, unsigned member, clock_ms lag_ms)
{
    g->members[member].lag_ms = lag_ms;
}
