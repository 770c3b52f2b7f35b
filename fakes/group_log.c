#include "fakes/group_internal.h"

/* Most entries in one message; more follow when its receipt is there. */
#define APPEND_MAX_ENTRIES 1024

/* Creates an entry with room for n_ops operations. */
struct entry *
fake_group_entry_new(uint64_t term, unsigned n_ops)
{
    struct entry *e =
        g_malloc0(sizeof(struct entry) + n_ops * sizeof(struct op));

    e->refs = 1;
    e->term = term;
    return e;
}

/* Drops one reference to an entry. */
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

/* Frees a message. */
void
fake_group_message_free(struct message *msg)
{
    if (msg->entries != NULL) {
        g_ptr_array_free(msg->entries, TRUE);
    }
    g_free(msg);
}

/* Returns the position of the last entry of a log. */
uint64_t
fake_group_last(const struct member *m)
{
    return m->base + m->log->len;
}

/* Returns the term of the entry at a position that is not below the base;
   0 before the first entry. */
uint64_t
fake_group_term_at(const struct member *m, uint64_t position)
{
    if (position == m->base) {
        return m->base_term;
    }
    const struct entry *e = g_ptr_array_index(m->log, position - m->base - 1);
    return e->term;
}

/* Puts a message on the link between two members. A link keeps its order
   when its delay changes, as one TCP connection does. */
static void
post(struct fake_group *g, unsigned from, unsigned to, struct message msg)
{
    const clock_ms lag =
        msg.kind == MESSAGE_APPEND ? g->members[to].lag_ms : 0;
    struct message *copy = g_new(struct message, 1);

    *copy = msg;
    copy->from = from;
    copy->due = g->now + g->delay_ms + lag;
    g_queue_push_tail(&g->links[from][to], copy);
}

/* Fails everything that waits on a member which no longer leads. */
void
fake_group_step_down(struct fake_group *g, struct member *m)
{
    struct waiter *w = NULL;

    (void)g;
    m->primary = false;
    m->dirty = false;
    g_hash_table_remove_all(m->tip);
    while ((w = g_queue_pop_head(&m->commits)) != NULL) {
        w->done(w->ctx, GROUP_REPLACED);
        g_free(w);
    }
    while ((w = g_queue_pop_head(&m->confirms)) != NULL) {
        w->done(w->ctx, GROUP_NOT_PRIMARY);
        g_free(w);
    }
}

/* Applies entries up to a position to the visible rows. */
static void
apply_to(struct member *m, uint64_t position)
{
    while (m->commit < position) {
        const struct entry *e = g_ptr_array_index(m->log, m->commit - m->base);
        m->commit++;
        for (unsigned i = 0; i < e->n_ops; i++) {
            const struct op *o = &e->ops[i];
            store_put(m->visible, o->key, o->value);
            const struct tip_value *v = g_hash_table_lookup(m->tip, o->key);
            if (v != NULL && v->position <= m->commit) {
                g_hash_table_remove(m->tip, o->key);
            }
        }
        m->visible_term = e->term;
    }
}

/* Returns the highest value that a majority reached. */
static uint64_t
majority_of(const struct fake_group *g, const uint64_t *values)
{
    uint64_t sorted[GROUP_MEMBERS_MAX] = {0};

    for (unsigned i = 0; i < g->n; i++) {
        unsigned k = i;
        for (; k > 0 && sorted[k - 1] < values[i]; k--) {
            sorted[k] = sorted[k - 1];
        }
        sorted[k] = values[i];
    }
    return sorted[g->n / 2];
}

/* Notes an acknowledgement and counts one that a newer term overtook. */
static void
note_ack(struct fake_group *g, const struct member *m, uint64_t position)
{
    if (m->sealed < g->acked_term) {
        g->violations.replaced_acks++;
        return;
    }
    g->acked_term = m->sealed;
    g->acked_position = position;
}

/* Commits what a majority holds in the primary's own term and answers the
   calls that waited for it. */
void
fake_group_advance(struct fake_group *g, unsigned member)
{
    struct member *m = &g->members[member];
    struct waiter *w = NULL;

    m->match[member] = fake_group_last(m);
    m->received_round[member] = m->round;
    const uint64_t held = majority_of(g, m->match);
    if (held > m->commit && fake_group_term_at(m, held) == m->sealed) {
        apply_to(m, held);
    }
    while ((w = g_queue_peek_head(&m->commits)) != NULL &&
           w->position <= m->commit) {
        g_queue_pop_head(&m->commits);
        note_ack(g, m, w->position);
        w->done(w->ctx, GROUP_OK);
        g_free(w);
    }
    const uint64_t round = majority_of(g, m->received_round);
    while ((w = g_queue_peek_head(&m->confirms)) != NULL &&
           w->round <= round && w->position <= m->commit &&
           m->own_first <= m->commit) {
        g_queue_pop_head(&m->confirms);
        w->done(w->ctx, GROUP_OK);
        g_free(w);
    }
}

/* Appends an entry on a primary; group_run() sends it. Takes over e. */
void
fake_group_append(struct fake_group *g, unsigned member, struct entry *e)
{
    struct member *m = &g->members[member];

    g_ptr_array_add(m->log, e);
    for (unsigned i = 0; i < e->n_ops; i++) {
        struct tip_value *v = g_new(struct tip_value, 1);
        *v = (struct tip_value){.position = fake_group_last(m),
                                .value = g_strdup(e->ops[i].value)};
        g_hash_table_replace(m->tip, g_strdup(e->ops[i].key), v);
    }
    m->dirty = true;
}

/* Sends each other member the entries that it was not sent yet; without any,
   the message is a heartbeat. */
void
fake_group_send_all(struct fake_group *g, unsigned member)
{
    struct member *m = &g->members[member];

    m->round++;
    for (unsigned to = 0; to < g->n; to++) {
        if (to == member) {
            continue;
        }
        const uint64_t first = MAX(m->next[to], m->base + 1);
        const uint64_t last =
            MIN(fake_group_last(m), first + APPEND_MAX_ENTRIES - 1);
        GPtrArray *entries = NULL;
        if (last >= first) {
            entries = g_ptr_array_new_full((unsigned)(last - first + 1),
                                           fake_group_entry_unref);
            for (uint64_t p = first; p <= last; p++) {
                struct entry *e = g_ptr_array_index(m->log, p - m->base - 1);
                e->refs++;
                g_ptr_array_add(entries, e);
            }
        }
        post(g, member, to,
             (struct message){.kind = MESSAGE_APPEND,
                              .sent_at = g->now,
                              .term = m->sealed,
                              .round = m->round,
                              .position = first - 1,
                              .prev_term = fake_group_term_at(m, first - 1),
                              .commit = m->commit,
                              .entries = entries});
        m->next[to] = MAX(last + 1, first);
    }
}

/* Cuts a log behind a position. Returns false, and counts it, when that
   would take back visible entries. */
static bool
truncate_log(struct fake_group *g, struct member *m, uint64_t position)
{
    if (position < m->commit) {
        g->violations.diverged++;
        return false;
    }
    g_ptr_array_set_size(m->log, (int)(position - m->base));
    return true;
}

/* Merges the entries of a message into a log that matches before them. */
static bool
merge(struct fake_group *g, struct member *m, const struct message *msg)
{
    const unsigned n = msg->entries == NULL ? 0 : msg->entries->len;

    for (unsigned i = 0; i < n; i++) {
        struct entry *e = g_ptr_array_index(msg->entries, i);
        const uint64_t p = msg->position + 1 + i;
        if (p <= m->base) {
            continue;
        }
        if (p <= fake_group_last(m)) {
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

/* Handles entries or a heartbeat on a follower. */
static void
receive_append(struct fake_group *g, unsigned to, const struct message *msg)
{
    struct member *m = &g->members[to];
    struct message answer = {.kind = MESSAGE_REFUSAL,
                             .term = msg->term,
                             .round = msg->round,
                             .sent_at = msg->sent_at,
                             .position = m->sealed};

    if (msg->term > m->sealed && g->auto_follow) {
        fake_group_follow(g, to, msg->term, msg->from, g->now);
    }
    if (msg->term != m->sealed || (!m->following && !g->auto_follow) ||
        m->primary) {
        post(g, to, msg->from, answer);
        return;
    }
    m->following = true;
    m->heard_at = g->now;
    answer.kind = MESSAGE_MISMATCH;
    if (msg->position > fake_group_last(m)) {
        answer.position = fake_group_last(m);
        post(g, to, msg->from, answer);
        return;
    }
    if (msg->position >= m->base &&
        fake_group_term_at(m, msg->position) != msg->prev_term) {
        if (truncate_log(g, m, msg->position - 1)) {
            /* Asks for everything behind the commit at once: going back one
               entry per round trip takes too long after a partition. */
            answer.position = m->commit;
            post(g, to, msg->from, answer);
        }
        return;
    }
    if (!merge(g, m, msg)) {
        return;
    }
    const uint64_t match =
        msg->position + (msg->entries == NULL ? 0 : msg->entries->len);
    apply_to(m, MIN(msg->commit, match));
    if (m->commit >= msg->commit) {
        m->fresh_at = msg->sent_at;
    }
    answer.kind = MESSAGE_RECEIPT;
    answer.position = match;
    post(g, to, msg->from, answer);
}

/* Handles a message on the member that it was sent to. */
void
fake_group_deliver(struct fake_group *g, unsigned to, struct message *msg)
{
    struct member *m = &g->members[to];
    const unsigned from = msg->from;

    if (msg->kind == MESSAGE_APPEND) {
        receive_append(g, to, msg);
        return;
    }
    if (!m->primary || msg->term != m->sealed) {
        return;
    }
    switch (msg->kind) {
    case MESSAGE_RECEIPT:
        m->match[from] = MAX(m->match[from], msg->position);
        m->received_round[from] = MAX(m->received_round[from], msg->round);
        m->received_sent_at[from] =
            MAX(m->received_sent_at[from], msg->sent_at);
        m->dirty |= m->next[from] <= fake_group_last(m);
        fake_group_advance(g, to);
        break;
    case MESSAGE_MISMATCH:
        m->next[from] =
            MAX(m->match[from] + 1, MIN(m->next[from], msg->position + 1));
        m->dirty = true;
        break;
    case MESSAGE_REFUSAL:
        if (msg->position > m->sealed) {
            fake_group_step_down(g, m);
        }
        break;
    case MESSAGE_APPEND:
        break;
    }
}
