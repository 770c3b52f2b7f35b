#include "fakes/group_internal.h"

#include <stdio.h>

/* Frees a value of the tip table. */
static void
tip_value_free(void *p)
{
    struct tip_value *v = p;

    g_free(v->value);
    g_free(v);
}

/* Creates a group whose member 0 leads GROUP_FIRST_TERM. */
struct fake_group *
fake_group_create(const struct fake_group_options *options, clock_ms now)
{
    struct fake_group *g = g_new0(struct fake_group, 1);

    g_assert(options->members > 0 && options->members <= GROUP_MEMBERS_MAX);
    g->n = options->members;
    g->delay_ms = options->delay_ms;
    g->auto_follow = options->auto_follow;
    g->now = now;
    g->heartbeat_at = now;
    for (unsigned i = 0; i < g->n; i++) {
        struct member *m = &g->members[i];
        m->alive = true;
        m->following = i != 0;
        m->sealed = GROUP_FIRST_TERM;
        m->log = g_ptr_array_new_with_free_func(fake_group_entry_unref);
        m->visible = store_create();
        m->tip = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                       tip_value_free);
        m->heard_at = now;
        m->fresh_at = now;
    }
    fake_group_promote(g, 0, GROUP_FIRST_TERM, now);
    fake_group_run(g, now);
    return g;
}

/* Frees the group; callbacks of waiting calls are not run. */
void
fake_group_destroy(struct fake_group *g)
{
    for (unsigned i = 0; i < g->n; i++) {
        struct member *m = &g->members[i];
        g_ptr_array_free(m->log, TRUE);
        store_destroy(m->visible);
        g_hash_table_destroy(m->tip);
        g_queue_clear_full(&m->commits, g_free);
        g_queue_clear_full(&m->confirms, g_free);
        for (unsigned k = 0; k < g->n; k++) {
            g_queue_clear_full(&g->links[i][k],
                               (GDestroyNotify)fake_group_message_free);
        }
    }
    g_free(g);
}

/* Returns the number of members. */
unsigned
fake_group_members(const struct fake_group *g)
{
    return g->n;
}

/* Drops log entries that every member shows already; nothing can ask for
   them again. Runs in large steps, because it moves the rest of the log. */
static void
compact(struct fake_group *g)
{
    const uint64_t step = 65536;
    uint64_t low = UINT64_MAX;

    for (unsigned i = 0; i < g->n; i++) {
        low = MIN(low, g->members[i].commit);
    }
    for (unsigned i = 0; i < g->n; i++) {
        struct member *m = &g->members[i];
        if (low < m->base + step) {
            continue;
        }
        m->base_term = fake_group_term_at(m, low);
        g_ptr_array_remove_range(m->log, 0, (unsigned)(low - m->base));
        m->base = low;
    }
}

/* Delivers one due message; returns false when there was none. */
static bool
deliver_one(struct fake_group *g)
{
    for (unsigned from = 0; from < g->n; from++) {
        for (unsigned to = 0; to < g->n; to++) {
            GQueue *link = &g->links[from][to];
            struct message *msg = g_queue_peek_head(link);
            if (msg == NULL || msg->due > g->now) {
                continue;
            }
            g_queue_pop_head(link);
            const struct member *a = &g->members[from];
            const struct member *b = &g->members[to];
            if (a->alive && b->alive && !a->isolated && !b->isolated) {
                fake_group_deliver(g, to, msg);
            }
            fake_group_message_free(msg);
            return true;
        }
    }
    return false;
}

/* Sends what primaries have to send and delivers what is due. Callbacks of
   waiting calls run inside; they must not call the group. */
void
fake_group_run(struct fake_group *g, clock_ms now)
{
    bool again = true;

    g->now = now;
    if (now >= g->heartbeat_at) {
        g->heartbeat_at = now + GROUP_HEARTBEAT_MS;
        for (unsigned i = 0; i < g->n; i++) {
            g->members[i].dirty |= g->members[i].primary;
        }
        compact(g);
    }
    while (again) {
        again = false;
        for (unsigned i = 0; i < g->n; i++) {
            struct member *m = &g->members[i];
            if (m->dirty) {
                m->dirty = false;
                if (m->primary && m->alive) {
                    fake_group_send_all(g, i);
                    fake_group_advance(g, i);
                    again = true;
                }
            }
        }
        while (deliver_one(g)) {
            again = true;
        }
    }
}

/* Returns when group_run() has work again; now when it has some already. */
clock_ms
fake_group_next_due(const struct fake_group *g, clock_ms now)
{
    clock_ms due = g->heartbeat_at;

    for (unsigned from = 0; from < g->n; from++) {
        if (g->members[from].dirty) {
            return now;
        }
        for (unsigned to = 0; to < g->n; to++) {
            const struct message *msg =
                g_queue_peek_head((GQueue *)&g->links[from][to]);
            if (msg != NULL) {
                due = MIN(due, msg->due);
            }
        }
    }
    return due;
}

/* Returns the newest value of a row in a primary's log, committed or not;
   NULL when the row is absent. */
const char *
fake_group_tip_value(const struct fake_group *g, unsigned member,
                     const char *key)
{
    const struct member *m = &g->members[member];
    const struct tip_value *v = g_hash_table_lookup(m->tip, key);

    return v != NULL ? v->value : store_get(m->visible, key);
}

/* Turns operations into absolute values against the tip. A row may be
   changed more than once, so earlier results are searched first. */
static enum fake_group_status
resolve(const struct fake_group *g, unsigned member, const struct op *ops,
        unsigned n_ops, struct entry *e)
{
    for (unsigned i = 0; i < n_ops; i++) {
        const char *current = fake_group_tip_value(g, member, ops[i].key);
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

/* Adds a waiter to a queue. */
static void
push_waiter(GQueue *queue, struct waiter w)
{
    struct waiter *copy = g_new(struct waiter, 1);

    *copy = w;
    g_queue_push_tail(queue, copy);
}

/* Appends operations as one entry on a primary. done runs with GROUP_OK when
   a majority holds the entry in the primary's own term, or GROUP_REPLACED.
   n_ops may be 0: such an entry orders the answer behind all earlier ones. */
enum fake_group_status
fake_group_commit(struct fake_group *g, unsigned member, const struct op *ops,
                  unsigned n_ops, fake_group_done *done, void *ctx)
{
    struct member *m = &g->members[member];

    if (!m->primary || !m->alive) {
        return GROUP_NOT_PRIMARY;
    }
    struct entry *e = fake_group_entry_new(m->sealed, n_ops);
    const enum fake_group_status status = resolve(g, member, ops, n_ops, e);
    if (status != GROUP_OK) {
        fake_group_entry_unref(e);
        return status;
    }
    fake_group_append(g, member, e);
    push_waiter(&m->commits, (struct waiter){.position = fake_group_last(m),
                                             .done = done,
                                             .ctx = ctx});
    return GROUP_PENDING;
}

/* Waits until a majority has confirmed the primary's term after this call
   and everything in its log at the time of the call is committed. */
enum fake_group_status
fake_group_confirm(struct fake_group *g, unsigned member,
                   fake_group_done *done, void *ctx)
{
    struct member *m = &g->members[member];

    if (!m->primary || !m->alive) {
        return GROUP_NOT_PRIMARY;
    }
    m->dirty = true;
    push_waiter(&m->confirms, (struct waiter){.position = fake_group_last(m),
                                              .round = m->round + 1,
                                              .done = done,
                                              .ctx = ctx});
    return GROUP_PENDING;
}

/* Removes the waiters of ctx from one queue. */
static void
forget_in(GQueue *queue, const void *ctx)
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

/* Drops the waiting calls of ctx; entries already appended stay. */
void
fake_group_forget(struct fake_group *g, unsigned member, const void *ctx)
{
    forget_in(&g->members[member].commits, ctx);
    forget_in(&g->members[member].confirms, ctx);
}

/* Time since a replica heard from its primary, or since a majority answered
   a primary. */
static clock_ms
silence(const struct fake_group *g, const struct member *m, clock_ms now)
{
    clock_ms sent_at[GROUP_MEMBERS_MAX] = {0};

    if (!m->primary) {
        return now - m->heard_at;
    }
    for (unsigned i = 0; i < g->n; i++) {
        clock_ms t = m == &g->members[i] ? now : m->received_sent_at[i];
        unsigned k = i;
        for (; k > 0 && sent_at[k - 1] < t; k--) {
            sent_at[k] = sent_at[k - 1];
        }
        sent_at[k] = t;
    }
    return now - sent_at[g->n / 2];
}

/* Writes `term position role staleness_ms silence_ms sealed`. term is that
   of the entry at position, so that (term, position) orders states of all
   members. sealed is the highest term sealed here; a primary leads it. A
   primary without a majority for 500 ms reports its silence as staleness. */
size_t
fake_group_state(const struct fake_group *g, unsigned member, clock_ms now,
                 char out[GROUP_STATE_BYTES])
{
    const clock_ms unconfirmed_limit_ms = 500;
    const struct member *m = &g->members[member];
    const clock_ms quiet = MAX(silence(g, m, now), 0);
    clock_ms stale = MAX(now - m->fresh_at, 0);

    if (m->primary) {
        stale = quiet > unconfirmed_limit_ms ? quiet : 0;
    }
    return (size_t)snprintf(
        out, GROUP_STATE_BYTES,
        "%" PRIu64 " %" PRIu64 " %s %" PRId64 " %" PRId64 " %" PRIu64,
        m->visible_term, m->commit, m->primary ? "primary" : "replica", stale,
        quiet, m->sealed);
}

/* Seals a term. Writes `granted TERM POSITION` with the term and position of
   the last entry in the log, by which the most advanced member is chosen, or
   `refused SEALED POSITION`. A term has one owner, so sealing the same term
   again is granted. */
enum fake_group_status
fake_group_seal(struct fake_group *g, unsigned member, uint64_t term,
                char out[GROUP_STATE_BYTES])
{
    struct member *m = &g->members[member];

    if (term < m->sealed) {
        snprintf(out, GROUP_STATE_BYTES, "refused %" PRIu64 " %" PRIu64,
                 m->sealed, fake_group_last(m));
        return GROUP_REFUSED;
    }
    if (term > m->sealed) {
        m->sealed = term;
        m->following = false;
        fake_group_step_down(g, m);
    }
    snprintf(out, GROUP_STATE_BYTES, "granted %" PRIu64 " %" PRIu64,
             fake_group_term_at(m, fake_group_last(m)), fake_group_last(m));
    return GROUP_OK;
}

/* Counts a promotion that breaks the rules of the design. */
static void
check_promotion(struct fake_group *g, unsigned member, uint64_t term)
{
    const struct member *m = &g->members[member];
    const uint64_t last = fake_group_last(m);
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

/* Makes the member primary of a term that is sealed on it. Promoting it
   again in the same term changes nothing. */
enum fake_group_status
fake_group_promote(struct fake_group *g, unsigned member, uint64_t term,
                   clock_ms now)
{
    struct member *m = &g->members[member];

    if (m->sealed != term || m->following) {
        return GROUP_REFUSED;
    }
    if (m->primary) {
        return GROUP_OK;
    }
    check_promotion(g, member, term);
    m->primary = true;
    for (unsigned i = 0; i < g->n; i++) {
        m->next[i] = fake_group_last(m) + 1;
        m->match[i] = 0;
        m->received_round[i] = 0;
        m->received_sent_at[i] = now;
    }
    for (uint64_t p = m->commit + 1; p <= fake_group_last(m); p++) {
        const struct entry *e = g_ptr_array_index(m->log, p - m->base - 1);
        for (unsigned i = 0; i < e->n_ops; i++) {
            struct tip_value *v = g_new(struct tip_value, 1);
            *v = (struct tip_value){.position = p,
                                    .value = g_strdup(e->ops[i].value)};
            g_hash_table_replace(m->tip, g_strdup(e->ops[i].key), v);
        }
    }
    fake_group_append(g, member, fake_group_entry_new(term, 0));
    m->own_first = fake_group_last(m);
    return GROUP_OK;
}

/* Makes the member accept replication of a term, sealing it when it is
   higher. A primary of that same term refuses. */
enum fake_group_status
fake_group_follow(struct fake_group *g, unsigned member, uint64_t term,
                  unsigned primary, clock_ms now)
{
    struct member *m = &g->members[member];

    if (term < m->sealed || primary == member ||
        (term == m->sealed && m->primary)) {
        return GROUP_REFUSED;
    }
    if (term > m->sealed) {
        m->sealed = term;
        fake_group_step_down(g, m);
    }
    if (!m->following) {
        m->following = true;
        m->heard_at = now;
    }
    return GROUP_OK;
}

/* Tells whether the member leads its sealed term. */
bool
fake_group_is_primary(const struct fake_group *g, unsigned member)
{
    return g->members[member].primary;
}

/* Returns the highest term sealed on the member. */
uint64_t
fake_group_sealed_term(const struct fake_group *g, unsigned member)
{
    return g->members[member].sealed;
}

/* Returns the position of the last visible entry. */
uint64_t
fake_group_position(const struct fake_group *g, unsigned member)
{
    return g->members[member].commit;
}

/* Returns the term of the last visible entry. */
uint64_t
fake_group_visible_term(const struct fake_group *g, unsigned member)
{
    return g->members[member].visible_term;
}

/* Tells whether the member's log has an entry of this term at a position. */
bool
fake_group_holds(const struct fake_group *g, unsigned member,
                 uint64_t position, uint64_t term)
{
    const struct member *m = &g->members[member];

    return position <= m->base || (position <= fake_group_last(m) &&
                                   fake_group_term_at(m, position) == term);
}

/* Returns the position of the last entry in the log. */
uint64_t
fake_group_log_end(const struct fake_group *g, unsigned member)
{
    return fake_group_last(&g->members[member]);
}

/* Returns the term of the last entry in the log. */
uint64_t
fake_group_log_term(const struct fake_group *g, unsigned member)
{
    const struct member *m = &g->members[member];

    return fake_group_term_at(m, fake_group_last(m));
}

/* Returns the live primary of the highest term, -1 when there is none. */
int
fake_group_current_primary(const struct fake_group *g)
{
    int best = -1;

    for (unsigned i = 0; i < g->n; i++) {
        const struct member *m = &g->members[i];
        if (m->primary && m->alive &&
            (best < 0 || m->sealed > g->members[best].sealed)) {
            best = (int)i;
        }
    }
    return best;
}

/* Returns the rows that the member shows. */
const struct store *
fake_group_visible(const struct fake_group *g, unsigned member)
{
    return g->members[member].visible;
}

/* Returns the counts of broken rules. */
const struct fake_group_violations *
fake_group_get_violations(const struct fake_group *g)
{
    return &g->violations;
}

/* Stops or starts a member. Its log, sealed term and role survive, so a
   primary that comes back still believes that it leads. */
void
fake_group_set_alive(struct fake_group *g, unsigned member, bool alive,
                     clock_ms now)
{
    struct member *m = &g->members[member];

    if (m->alive == alive) {
        return;
    }
    m->alive = alive;
    m->heard_at = now;
    if (!alive) {
        g_queue_clear_full(&m->commits, g_free);
        g_queue_clear_full(&m->confirms, g_free);
    }
}

/* Cuts the member off from the others, or connects it again. */
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
