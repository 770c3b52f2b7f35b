#include "model.h"

#include <stdio.h>
#include <string.h>

#define HEARTBEAT_INTERVAL_MS 100

/* Returns the record of a term, created if missing. Valid until the next
   record is created. */
struct term_record *
group_term_record(struct model *m, uint64_t term)
{
    for (guint i = m->term_records->len; i > 0; i--) {
        struct term_record *r =
            &g_array_index(m->term_records, struct term_record, i - 1);
        if (r->term == term) {
            return r;
        }
    }
    const struct term_record r = {.term = term, .primary = FAILOVER_NO_MEMBER};
    g_array_append_val(m->term_records, r);
    return &g_array_index(m->term_records, struct term_record,
                          m->term_records->len - 1);
}

/* Returns whether the log that ends with last_entry contains e; true if e is
   NULL. */
static bool
contains(const struct log_entry *last_entry, const struct log_entry *e)
{
    while (e != NULL && last_entry != NULL && last_entry->index > e->index) {
        last_entry = last_entry->parent;
    }
    return e == NULL || last_entry == e;
}

/* Appends an entry of the member's current term to its log. */
void
group_append_entry(struct model *m, struct member *me)
{
    struct log_entry *e = g_new0(struct log_entry, 1);

    e->parent = me->last_entry;
    e->term = me->term;
    e->index = me->last_entry != NULL ? me->last_entry->index + 1 : 1;
    g_ptr_array_add(m->log_entries, e);
    me->last_entry = e;
}

/* Counts the members that have sealed a higher term. */
static int
sealed_above(const struct model *m, uint64_t term)
{
    int n = 0;

    for (int i = 0; i < m->opt.members; i++) {
        n += m->member[i].sealed > term ? 1 : 0;
    }
    return n;
}

/* Returns the highest value that a majority of the members' values in index
   has reached. */
static uint64_t
majority_index(const struct model *m, const uint64_t *index)
{
    uint64_t best = 0;

    for (int i = 0; i < m->opt.members; i++) {
        int n = 0;
        for (int k = 0; k < m->opt.members; k++) {
            n += index[k] >= index[i] ? 1 : 0;
        }
        best = n > m->opt.members / 2 ? MAX(best, index[i]) : best;
    }
    return best;
}

/* Records that a member has stored its current log in a term. */
void
group_record_stored(struct model *m, int i, uint64_t term)
{
    struct term_record *r = group_term_record(m, term);

    r->stored_index[i] =
        MAX(r->stored_index[i], m->member[i].last_entry->index);
    r->majority_stored_index =
        MAX(r->majority_stored_index, majority_index(m, r->stored_index));
}

/* Checks that the log of every primary at its promotion has all entries that
   were acknowledged in lower terms, even if only after the promotion. */
static void
check_acked(struct model *m)
{
    for (guint i = 0; i < m->term_records->len; i++) {
        const struct term_record *old =
            &g_array_index(m->term_records, struct term_record, i);
        for (guint k = 0; old->last_acked != NULL && k < m->term_records->len;
             k++) {
            const struct term_record *r =
                &g_array_index(m->term_records, struct term_record, k);
            if (r->term > old->term && r->start != NULL &&
                !contains(r->start, old->last_acked)) {
                model_fail(m, "acked_entry_lost");
            }
        }
    }
}

/* Sends the whole log of a primary to every other member. */
static void
replicate(struct model *m, int i)
{
    const struct member *me = &m->member[i];

    for (int k = 0; k < m->opt.members; k++) {
        if (k != i) {
            model_send(m, (struct message){.kind = REPLICATE,
                                           .from = i,
                                           .to = k,
                                           .term = me->term,
                                           .index = me->commit_index,
                                           .last_entry = me->last_entry});
        }
    }
}

/* Commits and acknowledges the entries of the primary's own term that a
   majority has confirmed. */
static void
acknowledge(struct model *m, int i)
{
    struct member *me = &m->member[i];
    struct term_record *r = group_term_record(m, me->term);
    const struct log_entry *e = me->last_entry;

    me->match_index[i] = me->last_entry->index;
    const uint64_t index = majority_index(m, me->match_index);
    while (e != NULL && e->index > index) {
        e = e->parent;
    }
    if (e == NULL || index <= me->commit_index || e->term != me->term) {
        return;
    }
    me->commit_index = index;
    r->last_acked = e;
    m->acks++;
    check_acked(m);
    if (index > r->majority_stored_index) {
        model_fail(m, "acked_without_majority");
    }
    if (sealed_above(m, me->term) > m->opt.members / 2) {
        m->acks_after_seal++;
        if (m->opt.trace) {
            printf("%6lld member %d acks %llu of term %llx after the seal "
                   "majority; held by a majority before: %llu\n",
                   (long long)m->now, i, (unsigned long long)index,
                   (unsigned long long)me->term,
                   (unsigned long long)r->majority_stored_index);
        }
    }
    /* The first entry of a term is written by the primary itself. */
    if (m->first_ack_at < 0 && me->term > m->first_ack_above_term &&
        e->parent != NULL && e->parent->term == e->term) {
        m->first_ack_at = m->now;
    }
}

/* Makes a member the primary of a term it has sealed. Returns false if it has
   not. */
static bool
promote(struct model *m, int i, uint64_t term)
{
    struct member *me = &m->member[i];

    if (me->role == FAILOVER_ROLE_PRIMARY && me->term == term) {
        return true;
    }
    if (me->sealed != term || me->term >= term) {
        return false;
    }
    struct term_record *r = group_term_record(m, term);
    if (r->primary != FAILOVER_NO_MEMBER && r->primary != i) {
        model_fail(m, "two_primaries_in_a_term");
    }
    r->primary = i;
    r->start = me->last_entry;
    check_acked(m);
    me->role = FAILOVER_ROLE_PRIMARY;
    me->term = term;
    memset(me->match_index, 0, sizeof(me->match_index));
    group_append_entry(m, me);
    group_record_stored(m, i, term);
    replicate(m, i);
    return true;
}

/* Makes a member a replica in a term. Returns false if the term is below its
   sealed one or the member is the primary of the term. */
static bool
follow(struct member *me, uint64_t term)
{
    if (term < me->sealed ||
        (me->term == term && me->role == FAILOVER_ROLE_PRIMARY)) {
        return false;
    }
    me->synced = me->synced && me->term == term;
    me->term = term;
    me->sealed = term;
    me->role = FAILOVER_ROLE_REPLICA;
    return true;
}

/* Stores a log received from the primary of the current term. */
static void
store_log(struct model *m, int i, const struct message *msg)
{
    struct member *me = &m->member[i];

    if (msg->term < me->sealed || msg->term != me->term ||
        me->role == FAILOVER_ROLE_PRIMARY) {
        return;
    }
    me->heard_primary_at = m->now;
    if (!me->synced || msg->last_entry->index > me->last_entry->index) {
        me->last_entry = msg->last_entry;
        me->synced = true;
    }
    me->commit_index =
        MAX(me->commit_index, MIN(msg->index, me->last_entry->index));
    group_record_stored(m, i, me->term);
    model_send(m, (struct message){.kind = REPLICATION_ACK,
                                   .from = i,
                                   .to = msg->from,
                                   .term = me->term,
                                   .index = me->last_entry->index});
}

/* Checks that at most one member can acknowledge writes. */
static void
check_acknowledging_primaries(struct model *m)
{
    int n = 0;

    for (int i = 0; i < m->opt.members; i++) {
        const struct member *me = &m->member[i];
        n += me->role == FAILOVER_ROLE_PRIMARY &&
                     sealed_above(m, me->term) <= m->opt.members / 2
                 ? 1
                 : 0;
    }
    if (n > 1) {
        model_fail(m, "two_ackers");
    }
}

/* Handles a message to a member and sends the answer. */
void
group_receive(struct model *m, const struct message *msg)
{
    const int i = msg->to;
    struct member *me = &m->member[i];
    struct message a = {
        .from = i, .to = msg->from, .call = msg->call, .epoch = msg->epoch};

    if (!me->alive) {
        if (m->opt.dead_members_refuse && msg->call != 0) {
            a.kind = ANSWER_REFUSED;
            model_send(m, a);
        }
        return;
    }
    switch (msg->kind) {
    case PROBE:
        a.kind = ANSWER_PROBE;
        a.probe = (struct failover_probe_answer){
            .term = me->term,
            .position = me->commit_index,
            .role = me->role,
            .silence_ms = me->role == FAILOVER_ROLE_PRIMARY
                              ? 0
                              : m->now - me->heard_primary_at,
            .sealed = me->sealed,
            .rtt_us = 2000,
        };
        break;
    case SEAL:
        a.kind = ANSWER_SEAL;
        a.ok = msg->term > me->sealed ||
               (msg->term == me->sealed && me->term < msg->term);
        if (a.ok) {
            me->sealed = msg->term;
            me->role = FAILOVER_ROLE_REPLICA;
        }
        a.term = me->last_entry->term;
        a.index = me->last_entry->index;
        break;
    case PROMOTE:
        a.kind = ANSWER_PROMOTE;
        a.ok = promote(m, i, msg->term);
        break;
    case FOLLOW:
        a.kind = ANSWER_FOLLOW;
        a.ok = follow(me, msg->term);
        break;
    case REPLICATE:
        store_log(m, i, msg);
        return;
    case REPLICATION_ACK:
        if (me->role == FAILOVER_ROLE_PRIMARY && me->term == msg->term) {
            me->match_index[msg->from] =
                MAX(me->match_index[msg->from], msg->index);
            acknowledge(m, i);
        }
        return;
    case WRITE:
        if (me->role == FAILOVER_ROLE_PRIMARY) {
            group_append_entry(m, me);
            group_record_stored(m, i, me->term);
            replicate(m, i);
        }
        else {
            m->refused_writes++;
        }
        return;
    default:
        return;
    }
    check_acknowledging_primaries(m);
    model_send(m, a);
}

/* Returns the running primary that no majority has sealed, or
   FAILOVER_NO_MEMBER. */
int
model_acknowledging_primary(const struct model *m)
{
    for (int i = 0; i < m->opt.members; i++) {
        const struct member *me = &m->member[i];
        if (me->alive && me->role == FAILOVER_ROLE_PRIMARY &&
            sealed_above(m, me->term) <= m->opt.members / 2) {
            return i;
        }
    }
    return FAILOVER_NO_MEMBER;
}

/* Sends the heartbeats of all primaries that are due. */
void
group_tick(struct model *m)
{
    for (int i = 0; i < m->opt.members; i++) {
        if (m->member[i].alive && m->member[i].role == FAILOVER_ROLE_PRIMARY &&
            (m->now + i) % HEARTBEAT_INTERVAL_MS == 0) {
            replicate(m, i);
        }
    }
}
