#include "model.h"

#include <stdio.h>
#include <string.h>

#define HEARTBEAT_MS 100

/* Finds or creates the record of a term. */
struct term_record *
group_record(struct model *m, uint64_t term)
{
    for (guint i = m->records->len; i > 0; i--) {
        struct term_record *r =
            &g_array_index(m->records, struct term_record, i - 1);
        if (r->term == term) {
            return r;
        }
    }
    const struct term_record r = {.term = term, .primary = FAILOVER_NOBODY};
    g_array_append_val(m->records, r);
    return &g_array_index(m->records, struct term_record, m->records->len - 1);
}

/* Returns whether the log that ends in tip contains e. */
static bool
contains(const struct entry *tip, const struct entry *e)
{
    while (e != NULL && tip != NULL && tip->index > e->index) {
        tip = tip->parent;
    }
    return e == NULL || tip == e;
}

/* Appends an entry of the member's own term. */
void
group_append(struct model *m, struct member *me)
{
    struct entry *e = g_new0(struct entry, 1);

    e->parent = me->tip;
    e->term = me->term;
    e->index = me->tip != NULL ? me->tip->index + 1 : 1;
    g_ptr_array_add(m->entries, e);
    me->tip = e;
}

/* Counts the members that refuse a term for good. */
static int
sealed_above(const struct model *m, uint64_t term)
{
    int n = 0;

    for (int i = 0; i < m->opt.members; i++) {
        n += m->member[i].sealed > term ? 1 : 0;
    }
    return n;
}

/* Returns the index that a majority of the given ones has reached. */
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

/* Notes that a member stored the log of a term. */
void
group_stored(struct model *m, int i, uint64_t term)
{
    struct term_record *r = group_record(m, term);

    r->stored[i] = MAX(r->stored[i], m->member[i].tip->index);
    r->held = MAX(r->held, majority_index(m, r->stored));
}

/* Checks that every primary of a term has what was acknowledged in the terms
   before, also when the acknowledgement came after its promotion. */
static void
check_acked(struct model *m)
{
    for (guint i = 0; i < m->records->len; i++) {
        const struct term_record *old =
            &g_array_index(m->records, struct term_record, i);
        for (guint k = 0; old->acked != NULL && k < m->records->len; k++) {
            const struct term_record *r =
                &g_array_index(m->records, struct term_record, k);
            if (r->term > old->term && r->start != NULL &&
                !contains(r->start, old->acked)) {
                model_fail(m, "acked_entry_lost");
            }
        }
    }
}

/* Sends the whole log to every other member. */
static void
replicate(struct model *m, int i)
{
    const struct member *me = &m->member[i];

    for (int k = 0; k < m->opt.members; k++) {
        if (k != i) {
            model_post(m, (struct message){.kind = REPLICATE,
                                           .from = i,
                                           .to = k,
                                           .term = me->term,
                                           .index = me->commit,
                                           .tip = me->tip});
        }
    }
}

/* Acknowledges what a majority has stored in the primary's own term. */
static void
acknowledge(struct model *m, int i)
{
    struct member *me = &m->member[i];
    struct term_record *r = group_record(m, me->term);
    const struct entry *e = me->tip;

    me->match[i] = me->tip->index;
    const uint64_t index = majority_index(m, me->match);
    while (e != NULL && e->index > index) {
        e = e->parent;
    }
    if (e == NULL || index <= me->commit || e->term != me->term) {
        return;
    }
    me->commit = index;
    r->acked = e;
    m->acks++;
    check_acked(m);
    if (index > r->held) {
        model_fail(m, "acked_without_majority");
    }
    if (sealed_above(m, me->term) > m->opt.members / 2) {
        m->late_acks++;
        if (m->opt.trace) {
            printf("%6lld member %d acks %llu of term %llx after the seal "
                   "majority; held by a majority before: %llu\n",
                   (long long)m->now, i, (unsigned long long)index,
                   (unsigned long long)me->term, (unsigned long long)r->held);
        }
    }
    /* The first entry of a term is not a client's. */
    if (m->first_ack < 0 && me->term > m->ack_floor && e->parent != NULL &&
        e->parent->term == e->term) {
        m->first_ack = m->now;
    }
}

/* Takes over as the primary of a sealed term. */
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
    struct term_record *r = group_record(m, term);
    if (r->primary != FAILOVER_NOBODY && r->primary != i) {
        model_fail(m, "two_primaries_in_a_term");
    }
    r->primary = i;
    r->start = me->tip;
    check_acked(m);
    me->role = FAILOVER_ROLE_PRIMARY;
    me->term = term;
    memset(me->match, 0, sizeof(me->match));
    group_append(m, me);
    group_stored(m, i, term);
    replicate(m, i);
    return true;
}

/* Follows the primary of a term. */
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

/* Stores a log received from the primary. */
static void
take_log(struct model *m, int i, const struct message *msg)
{
    struct member *me = &m->member[i];

    if (msg->term < me->sealed || msg->term != me->term ||
        me->role == FAILOVER_ROLE_PRIMARY) {
        return;
    }
    me->heard = m->now;
    if (!me->synced || msg->tip->index > me->tip->index) {
        me->tip = msg->tip;
        me->synced = true;
    }
    me->commit = MAX(me->commit, MIN(msg->index, me->tip->index));
    group_stored(m, i, me->term);
    model_post(m, (struct message){.kind = RECEIPT,
                                   .from = i,
                                   .to = msg->from,
                                   .term = me->term,
                                   .index = me->tip->index});
}

/* Checks that at most one member can acknowledge. */
static void
check_ackers(struct model *m)
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

/* Lets a member act on a message. */
void
group_receive(struct model *m, const struct message *msg)
{
    const int i = msg->to;
    struct member *me = &m->member[i];
    struct message a = {
        .from = i, .to = msg->from, .call = msg->call, .epoch = msg->epoch};

    if (!me->alive) {
        if (m->opt.refuse && msg->call != 0) {
            a.kind = ANSWER_REFUSED;
            model_post(m, a);
        }
        return;
    }
    switch (msg->kind) {
    case PROBE:
        a.kind = ANSWER_PROBE;
        a.probe = (struct failover_probe){
            .term = me->term,
            .position = me->commit,
            .role = me->role,
            .silence_ms =
                me->role == FAILOVER_ROLE_PRIMARY ? 0 : m->now - me->heard,
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
        a.term = me->tip->term;
        a.index = me->tip->index;
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
        take_log(m, i, msg);
        return;
    case RECEIPT:
        if (me->role == FAILOVER_ROLE_PRIMARY && me->term == msg->term) {
            me->match[msg->from] = MAX(me->match[msg->from], msg->index);
            acknowledge(m, i);
        }
        return;
    case WRITE:
        if (me->role == FAILOVER_ROLE_PRIMARY) {
            group_append(m, me);
            group_stored(m, i, me->term);
            replicate(m, i);
        }
        else {
            m->refused++;
        }
        return;
    default:
        return;
    }
    check_ackers(m);
    model_post(m, a);
}

/* Returns the member that can acknowledge now, or FAILOVER_NOBODY. */
int
model_acker(const struct model *m)
{
    for (int i = 0; i < m->opt.members; i++) {
        const struct member *me = &m->member[i];
        if (me->alive && me->role == FAILOVER_ROLE_PRIMARY &&
            sealed_above(m, me->term) <= m->opt.members / 2) {
            return i;
        }
    }
    return FAILOVER_NOBODY;
}

/* Lets the primaries send their heartbeats. */
void
group_tick(struct model *m)
{
    for (int i = 0; i < m->opt.members; i++) {
        if (m->member[i].alive && m->member[i].role == FAILOVER_ROLE_PRIMARY &&
            (m->now + i) % HEARTBEAT_MS == 0) {
            replicate(m, i);
        }
    }
}
