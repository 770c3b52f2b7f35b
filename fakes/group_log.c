#include "fakes/group_internal.h"

/* Limit per message; the rest is sent after the acknowledgement. */
#define APPEND_MAX_ENTRIES 1024

/* Creates an entry with space for n_ops operations and one reference. */
struct entry *
fake_group_entry_new(uint64_t term, unsigned n_ops)
{
    struct entry *e =
        g_malloc0(sizeof(struct entry) + n_ops * sizeof(struct op));

    e->refs = 1;
    e->term = term;
    return e;
}

void
fake_group_entry_unref(void *p)
{
    struct entry *e = p;

    if (--e->refs > 0) {
        return;
    }
    for (unsigned i = 0; i < e->n_ops; i++) {
        op_clear(&e->ops[i]);
    }
    g_free(e);
}

void
fake_group_message_free(struct message *msg)
{
    if (msg->entries != NULL) {
        g_ptr_array_free(msg->entries, TRUE);
    }
    g_free(msg);
}

uint64_t
fake_group_last_position(const struct member *m)
{
    return m->log_base + m->log->len;
}

/* Returns the term of the entry at a position; 0 before the first entry. The
   position must not be below log_base. */
uint64_t
fake_group_term_at(const struct member *m, uint64_t position)
{
    if (position == m->log_base) {
        return m->log_base_term;
    }
    const struct entry *e =
        g_ptr_array_index(m->log, position - m->log_base - 1);
    return e->term;
}

/* Queues a message on the link between two members. Like a TCP connection, a
   link keeps the order of messages when its delay changes. */
static void
send_message(struct fake_group *g, unsigned from, unsigned to,
             struct message msg)
{
    const clock_ms lag =
        msg.kind == MESSAGE_APPEND ? g->members[to].lag_ms : 0;
    struct message *copy = g_new(struct message, 1);

    *copy = msg;
    copy->from = from;
    copy->due = g->now + g->delay_ms + lag;
    g_queue_push_tail(&g->links[from][to], copy);
}

/* Ends a member's role as primary and fails all calls waiting on it. */
void
fake_group_step_down(struct fake_group *g, struct member *m)
{
    struct waiter *w = NULL;

    (void)g;
    m->primary = false;
    m->send_pending = false;
    g_hash_table_remove_all(m->uncommitted);
    while ((w = g_queue_pop_head(&m->commit_waiters)) != NULL) {
        w->done(w->ctx, GROUP_REPLACED);
        g_free(w);
    }
    while ((w = g_queue_pop_head(&m->confirm_waiters)) != NULL) {
        w->done(w->ctx, GROUP_NOT_PRIMARY);
        g_free(w);
    }
}

static void
apply_entries_to(struct member *m, uint64_t position)
{
    while (m->commit_position < position) {
        const struct entry *e =
            g_ptr_array_index(m->log, m->commit_position - m->log_base);
        m->commit_position++;
        for (unsigned i = 0; i < e->n_ops; i++) {
            const struct op *o = &e->ops[i];
            row_map_put(m->visible, o->key, o->value);
            const struct uncommitted_value *v =
                g_hash_table_lookup(m->uncommitted, o->key);
            if (v != NULL && v->position <= m->commit_position) {
                g_hash_table_remove(m->uncommitted, o->key);
            }
        }
        m->visible_term = e->term;
    }
}

/* Returns the highest value that a majority of members has reached. */
static uint64_t
majority_value(const struct fake_group *g, const uint64_t *values)
{
    uint64_t sorted[GROUP_MEMBERS_MAX] = {0};

    for (unsigned i = 0; i < g->n_members; i++) {
        unsigned k = i;
        for (; k > 0 && sorted[k - 1] < values[i]; k--) {
            sorted[k] = sorted[k - 1];
        }
        sorted[k] = values[i];
    }
    return sorted[g->n_members / 2];
}

/* Records an acknowledged commit, or counts a violation if a commit of a newer
   term was acknowledged before. */
static void
record_ack(struct fake_group *g, const struct member *m, uint64_t position)
{
    if (m->sealed_term < g->acked_term) {
        g->violations.replaced_acks++;
        return;
    }
    g->acked_term = m->sealed_term;
    g->acked_position = position;
}

/* Commits the entries that a majority holds, if the last of them is of the
   primary's own term, and calls back the calls that waited for this. */
void
fake_group_advance_commit(struct fake_group *g, unsigned member)
{
    struct member *m = &g->members[member];
    struct waiter *w = NULL;

    m->match_position[member] = fake_group_last_position(m);
    m->acked_round[member] = m->round;
    const uint64_t held = majority_value(g, m->match_position);
    if (held > m->commit_position &&
        fake_group_term_at(m, held) == m->sealed_term) {
        apply_entries_to(m, held);
    }
    while ((w = g_queue_peek_head(&m->commit_waiters)) != NULL &&
           w->position <= m->commit_position) {
        g_queue_pop_head(&m->commit_waiters);
        record_ack(g, m, w->position);
        w->done(w->ctx, GROUP_OK);
        g_free(w);
    }
    const uint64_t round = majority_value(g, m->acked_round);
    while ((w = g_queue_peek_head(&m->confirm_waiters)) != NULL &&
           w->round <= round && w->position <= m->commit_position &&
           m->term_start_position <= m->commit_position) {
        g_queue_pop_head(&m->confirm_waiters);
        w->done(w->ctx, GROUP_OK);
        g_free(w);
    }
}

/* Appends an entry on a primary; fake_group_run() sends it. Takes ownership of
   e. */
void
fake_group_append(struct fake_group *g, unsigned member, struct entry *e)
{
    struct member *m = &g->members[member];

    g_ptr_array_add(m->log, e);
    for (unsigned i = 0; i < e->n_ops; i++) {
        struct uncommitted_value *v = g_new(struct uncommitted_value, 1);
        *v =
            (struct uncommitted_value){.position = fake_group_last_position(m),
                                       .value = g_strdup(e->ops[i].value)};
        g_hash_table_replace(m->uncommitted, g_strdup(e->ops[i].key), v);
    }
    m->send_pending = true;
}

/* Sends every other member its unsent entries, or a heartbeat if there are
   none. */
void
fake_group_send_all(struct fake_group *g, unsigned member)
{
    struct member *m = &g->members[member];

    m->round++;
    for (unsigned to = 0; to < g->n_members; to++) {
        if (to == member) {
            continue;
        }
        const uint64_t first = MAX(m->next_position[to], m->log_base + 1);
        const uint64_t last =
            MIN(fake_group_last_position(m), first + APPEND_MAX_ENTRIES - 1);
        GPtrArray *entries = NULL;
        if (last >= first) {
            entries = g_ptr_array_new_full((unsigned)(last - first + 1),
                                           fake_group_entry_unref);
            for (uint64_t p = first; p <= last; p++) {
                struct entry *e =
                    g_ptr_array_index(m->log, p - m->log_base - 1);
                e->refs++;
                g_ptr_array_add(entries, e);
            }
        }
        send_message(
            g, member, to,
            (struct message){.kind = MESSAGE_APPEND,
                             .sent_at = g->now,
                             .term = m->sealed_term,
                             .round = m->round,
                             .position = first - 1,
                             .prev_term = fake_group_term_at(m, first - 1),
                             .commit_position = m->commit_position,
                             .entries = entries});
        m->next_position[to] = MAX(last + 1, first);
    }
}

/* Drops the entries after a position. If that would remove visible entries,
   counts a violation and returns false. */
static bool
truncate_log(struct fake_group *g, struct member *m, uint64_t position)
{
    if (position < m->commit_position) {
        g->violations.diverged++;
        return false;
    }
    g_ptr_array_set_size(m->log, (int)(position - m->log_base));
    return true;
}

/* Merges the entries of a message into a log that matches the primary's up to
   msg->position. Returns false if visible entries differ. */
static bool
merge_entries(struct fake_group *g, struct member *m,
              const struct message *msg)
{
    const unsigned n = msg->entries == NULL ? 0 : msg->entries->len;

    for (unsigned i = 0; i < n; i++) {
        struct entry *e = g_ptr_array_index(msg->entries, i);
        const uint64_t p = msg->position + 1 + i;
        if (p <= m->log_base) {
            continue;
        }
        if (p <= fake_group_last_position(m)) {
            if (fake_group_term_at(m, p) == e->term) {
                continue;
            }
            if (!truncate_log(g, m, p - 1)) {
                return false;
            }
        }
        e->refs++;
        g_ptr_array_add(m->log, e);
    }
    return true;
}

/* Handles entries or a heartbeat on a replica. */
static void
receive_append(struct fake_group *g, unsigned to, const struct message *msg)
{
    struct member *m = &g->members[to];
    struct message answer = {.kind = MESSAGE_REFUSAL,
                             .term = msg->term,
                             .round = msg->round,
                             .sent_at = msg->sent_at,
                             .position = m->sealed_term};

    if (msg->term > m->sealed_term && g->auto_follow) {
        fake_group_follow(g, to, msg->term, msg->from, g->now);
    }
    if (msg->term != m->sealed_term || (!m->following && !g->auto_follow) ||
        m->primary) {
        send_message(g, to, msg->from, answer);
        return;
    }
    m->following = true;
    m->last_append_at = g->now;
    answer.kind = MESSAGE_LOG_MISMATCH;
    if (msg->position > fake_group_last_position(m)) {
        answer.position = fake_group_last_position(m);
        send_message(g, to, msg->from, answer);
        return;
    }
    if (msg->position >= m->log_base &&
        fake_group_term_at(m, msg->position) != msg->prev_term) {
        if (truncate_log(g, m, msg->position - 1)) {
            /* Requests all entries after the commit position at once: going
               back one entry per round trip takes too long after a
               partition. */
            answer.position = m->commit_position;
            send_message(g, to, msg->from, answer);
        }
        return;
    }
    if (!merge_entries(g, m, msg)) {
        return;
    }
    const uint64_t match =
        msg->position + (msg->entries == NULL ? 0 : msg->entries->len);
    apply_entries_to(m, MIN(msg->commit_position, match));
    if (m->commit_position >= msg->commit_position) {
        m->caught_up_at = msg->sent_at;
    }
    answer.kind = MESSAGE_APPEND_ACK;
    answer.position = match;
    send_message(g, to, msg->from, answer);
}

/* Handles a message that has arrived at a member. */
void
fake_group_receive(struct fake_group *g, unsigned to, struct message *msg)
{
    struct member *m = &g->members[to];
    const unsigned from = msg->from;

    if (msg->kind == MESSAGE_APPEND) {
        receive_append(g, to, msg);
        return;
    }
    if (!m->primary || msg->term != m->sealed_term) {
        return;
    }
    switch (msg->kind) {
    case MESSAGE_APPEND_ACK:
        m->match_position[from] = MAX(m->match_position[from], msg->position);
        m->acked_round[from] = MAX(m->acked_round[from], msg->round);
        m->acked_sent_at[from] = MAX(m->acked_sent_at[from], msg->sent_at);
        m->send_pending |=
            m->next_position[from] <= fake_group_last_position(m);
        fake_group_advance_commit(g, to);
        break;
    case MESSAGE_LOG_MISMATCH:
        m->next_position[from] =
            MAX(m->match_position[from] + 1,
                MIN(m->next_position[from], msg->position + 1));
        m->send_pending = true;
        break;
    case MESSAGE_REFUSAL:
        if (msg->position > m->sealed_term) {
            fake_group_step_down(g, m);
        }
        break;
    case MESSAGE_APPEND:
        break;
    }
}
