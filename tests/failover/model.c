#include "model.h"

#include <stdio.h>
#include <string.h>

#define DELAY_MIN_MS 1
#define DELAY_MAX_MS 3
#define SLOW_MAX_MS 1000
#define TICK_MS 10
#define HEARTBEAT_MS 100
#define WRITE_MS 10

enum message_kind {
    PROBE,
    SEAL,
    PROMOTE,
    FOLLOW,
    REPLICATE,
    RECEIPT,
    WRITE,
    ANSWER_PROBE,
    ANSWER_SEAL,
    ANSWER_PROMOTE,
    ANSWER_FOLLOW,
    ANSWER_REFUSED,
    PEER_SWITCHING,
};

struct message {
    int64_t due;
    uint64_t sequence;
    enum message_kind kind;
    int from;
    int to;
    uint64_t call;
    uint64_t epoch;
    uint64_t term;
    uint64_t index;
    bool ok;
    const struct entry *tip;
    struct failover_probe probe;
};

/* Records the first broken invariant. */
void
model_fail(struct model *m, const char *invariant)
{
    if (m->violation == NULL) {
        m->violation = invariant;
        if (m->opt.trace) {
            printf("%6lld VIOLATION %s\n", (long long)m->now, invariant);
        }
    }
}

/* Returns the node number of a proxy; members are nodes 0 and up. */
int
model_node(int proxy)
{
    return FAILOVER_MEMBERS_MAX + proxy;
}

/* Orders the queue by time, then by number. */
static bool
before(const struct message *a, const struct message *b)
{
    return a->due != b->due ? a->due < b->due : a->sequence < b->sequence;
}

/* Adds a message to the heap. */
static void
push(struct model *m, struct message msg)
{
    guint i = m->queue->len;

    msg.sequence = m->sequence++;
    g_array_append_val(m->queue, msg);
    struct message *q = (struct message *)(void *)m->queue->data;
    for (; i > 0 && before(&q[i], &q[(i - 1) / 2]); i = (i - 1) / 2) {
        const struct message t = q[i];
        q[i] = q[(i - 1) / 2];
        q[(i - 1) / 2] = t;
    }
}

/* Removes the first message of the heap. */
static struct message
pop(struct model *m)
{
    struct message *q = (struct message *)(void *)m->queue->data;
    const struct message first = q[0];
    const guint n = m->queue->len - 1;

    q[0] = q[n];
    g_array_set_size(m->queue, n);
    for (guint i = 0, c = 1; c < n; i = c, c = 2 * i + 1) {
        c += c + 1 < n && before(&q[c + 1], &q[c]) ? 1 : 0;
        if (!before(&q[c], &q[i])) {
            break;
        }
        const struct message t = q[i];
        q[i] = q[c];
        q[c] = t;
    }
    return first;
}

/* Draws whether something of a probability in thousandths happens. */
static bool
chance(struct model *m, int permille)
{
    return permille > 0 && rng_below(&m->rng, 1000) < (uint64_t)permille;
}

/* Sends a message through the faulty network. */
static void
post(struct model *m, struct message msg)
{
    for (int copies = chance(m, m->dup_permille) ? 2 : 1; copies > 0;
         copies--) {
        if (m->cut[msg.from][msg.to] || chance(m, m->loss_permille)) {
            continue;
        }
        const int64_t spread = chance(m, m->slow_permille)
                                   ? SLOW_MAX_MS
                                   : DELAY_MAX_MS - DELAY_MIN_MS + 1;
        msg.due = m->now + DELAY_MIN_MS +
                  (int64_t)rng_below(&m->rng, (uint64_t)spread);
        push(m, msg);
    }
}

/* Finds or creates the record of a term. */
static struct term_record *
record_of(struct model *m, uint64_t term)
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
static void
append(struct model *m, struct member *me)
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
static void
stored(struct model *m, int i, uint64_t term)
{
    struct term_record *r = record_of(m, term);

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
            post(m, (struct message){.kind = REPLICATE,
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
    struct term_record *r = record_of(m, me->term);
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
    struct term_record *r = record_of(m, term);
    if (r->primary != FAILOVER_NOBODY && r->primary != i) {
        model_fail(m, "two_primaries_in_a_term");
    }
    r->primary = i;
    r->start = me->tip;
    check_acked(m);
    me->role = FAILOVER_ROLE_PRIMARY;
    me->term = term;
    memset(me->match, 0, sizeof(me->match));
    append(m, me);
    stored(m, i, term);
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
    stored(m, i, me->term);
    post(m, (struct message){.kind = RECEIPT,
                             .from = i,
                             .to = msg->from,
                             .term = me->term,
                             .index = me->tip->index});
}

/* Lets a member act on a message. */
static void
member_receive(struct model *m, const struct message *msg)
{
    const int i = msg->to;
    struct member *me = &m->member[i];
    struct message a = {
        .from = i, .to = msg->from, .call = msg->call, .epoch = msg->epoch};

    if (!me->alive) {
        if (m->opt.refuse && msg->call != 0) {
            a.kind = ANSWER_REFUSED;
            post(m, a);
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
            append(m, me);
            stored(m, i, me->term);
            replicate(m, i);
        }
        return;
    default:
        return;
    }
    post(m, a);
}

/* Hands an answer to the machine of a proxy. */
static void
proxy_receive(struct model *m, const struct message *msg)
{
    struct proxy *p = &m->proxy[msg->to - FAILOVER_MEMBERS_MAX];

    if (!p->alive || (msg->kind != PEER_SWITCHING && msg->epoch != p->epoch)) {
        return;
    }
    switch (msg->kind) {
    case ANSWER_PROBE:
        failover_probe_answered(p->f, m->now, msg->from, msg->call,
                                &msg->probe);
        return;
    case ANSWER_SEAL:
        failover_seal_answered(p->f, m->now, msg->from, msg->call, msg->ok,
                               msg->term, msg->index);
        return;
    case ANSWER_PROMOTE:
        failover_promote_answered(p->f, m->now, msg->from, msg->call, msg->ok);
        return;
    case ANSWER_FOLLOW:
        failover_follow_answered(p->f, m->now, msg->from, msg->call, msg->ok);
        return;
    case ANSWER_REFUSED:
        failover_probe_failed(p->f, m->now, msg->from, msg->call);
        failover_call_failed(p->f, m->now, msg->from, msg->call);
        return;
    case PEER_SWITCHING:
        failover_peer_switching(p->f, m->now);
        return;
    default:
        return;
    }
}

/* Sends a call of a proxy to a member. */
static void
call(void *ctx, enum message_kind kind, int member, uint64_t term, uint64_t id)
{
    struct proxy *p = ctx;

    post(p->model, (struct message){.kind = kind,
                                    .from = model_node(p->id),
                                    .to = member,
                                    .call = id,
                                    .epoch = p->epoch,
                                    .term = term});
}

static void
on_probe(void *ctx, int member, uint64_t id)
{
    call(ctx, PROBE, member, 0, id);
}

static void
on_seal(void *ctx, int member, uint64_t term, uint64_t id)
{
    ((struct proxy *)ctx)->seals++;
    call(ctx, SEAL, member, term, id);
}

static void
on_promote(void *ctx, int member, uint64_t term, uint64_t id)
{
    call(ctx, PROMOTE, member, term, id);
}

static void
on_follow(void *ctx, int member, uint64_t term, int primary, uint64_t id)
{
    (void)primary;
    call(ctx, FOLLOW, member, term, id);
}

/* Checks that only a member promoted in the term is announced. */
static void
on_primary_changed(void *ctx, int member, uint64_t term)
{
    struct proxy *p = ctx;

    p->primary = member;
    p->term = term;
    if (member != FAILOVER_NOBODY &&
        record_of(p->model, term)->primary != member) {
        model_fail(p->model, "announced_primary_true");
    }
}

/* Tells the other proxies of a hold, as the daemon does. */
static void
on_hold_writes(void *ctx, bool hold)
{
    struct proxy *p = ctx;

    p->hold = hold;
    for (int i = 0; hold && i < p->model->opt.proxies; i++) {
        if (i != p->id && failover_get_state(p->f) == FAILOVER_SWITCHING) {
            post(p->model, (struct message){.kind = PEER_SWITCHING,
                                            .from = model_node(p->id),
                                            .to = model_node(i)});
        }
    }
}

static void
on_note(void *ctx, enum log_level level, const char *step, int member,
        const char *text)
{
    const struct proxy *p = ctx;

    (void)level;
    if (p->model->opt.trace) {
        printf("%6lld proxy %d: step=%s member=%d %s\n",
               (long long)p->model->now, p->id, step, member, text);
    }
}

/* Starts a proxy without any memory. */
void
model_start_proxy(struct model *m, int i)
{
    static const struct failover_actions actions = {
        .probe = on_probe,
        .seal = on_seal,
        .promote = on_promote,
        .follow = on_follow,
        .primary_changed = on_primary_changed,
        .hold_writes = on_hold_writes,
        .note = on_note,
    };
    struct proxy *p = &m->proxy[i];
    struct failover_config config = {.proxy_id = (uint32_t)i + 1,
                                     .member_count = m->opt.members,
                                     .rank = p->rank,
                                     .actions = &actions,
                                     .ctx = p,
                                     .rng = &p->rng};

    failover_settings_default(&config.settings);
    config.settings.policy = m->opt.policy;
    p->alive = true;
    p->epoch++;
    p->primary = FAILOVER_NOBODY;
    p->hold = false;
    p->f = failover_create(&config, m->now);
}

/* Creates a group with member 0 as primary and all proxies running. */
struct model *
model_create(const struct model_options *opt)
{
    struct model *m = g_new0(struct model, 1);

    m->opt = *opt;
    rng_seed(&m->rng, opt->seed);
    m->queue = g_array_new(FALSE, FALSE, sizeof(struct message));
    m->records = g_array_new(FALSE, FALSE, sizeof(struct term_record));
    m->entries = g_ptr_array_new_with_free_func(g_free);
    m->first_ack = -1;
    m->ack_floor = UINT64_MAX;
    for (int i = 0; i < opt->members; i++) {
        m->member[i] = (struct member){.alive = true,
                                       .term = MODEL_FIRST_TERM,
                                       .sealed = MODEL_FIRST_TERM};
    }
    m->member[0].role = FAILOVER_ROLE_PRIMARY;
    append(m, &m->member[0]);
    for (int i = 1; i < opt->members; i++) {
        m->member[i].tip = m->member[0].tip;
        m->member[i].synced = true;
    }
    record_of(m, MODEL_FIRST_TERM)->primary = 0;
    for (int i = 0; i < opt->members; i++) {
        stored(m, i, MODEL_FIRST_TERM);
    }
    for (int i = 0; i < opt->proxies; i++) {
        struct proxy *p = &m->proxy[i];
        *p = (struct proxy){.model = m, .id = i, .rank = i};
        rng_seed(&p->rng, rng_next(&m->rng));
        model_start_proxy(m, i);
    }
    return m;
}

/* Frees the model. */
void
model_destroy(struct model *m)
{
    for (int i = 0; i < m->opt.proxies; i++) {
        failover_destroy(m->proxy[i].f);
    }
    g_array_free(m->queue, TRUE);
    g_array_free(m->records, TRUE);
    g_ptr_array_free(m->entries, TRUE);
    g_free(m);
}

/* Cuts or restores the link between two nodes. */
void
model_set_cut(struct model *m, int a, int b, bool cut)
{
    m->cut[a][b] = cut;
    m->cut[b][a] = cut;
}

/* Cuts or restores a node's links to the nodes from..to-1. */
void
model_isolate(struct model *m, int node, int from, int to, bool cut)
{
    for (int i = from; i < to; i++) {
        if (i != node) {
            model_set_cut(m, node, i, cut);
        }
    }
}

/* Stops a member; its log and sealed term last, its role does not. */
void
model_kill_member(struct model *m, int i)
{
    m->member[i].alive = false;
    m->member[i].role = FAILOVER_ROLE_REPLICA;
}

/* Stops a proxy; it forgets everything. */
void
model_kill_proxy(struct model *m, int i)
{
    if (m->proxy[i].alive) {
        m->proxy[i].alive = false;
        failover_destroy(m->proxy[i].f);
        m->proxy[i].f = NULL;
    }
}

/* Stops a proxy's loop for a while; its answers wait meanwhile. */
void
model_pause_proxy(struct model *m, int i, int64_t ms)
{
    m->proxy[i].paused_until = m->now + ms;
}

/* Ends all faults. */
void
model_heal(struct model *m)
{
    memset(m->cut, 0, sizeof(m->cut));
    m->loss_permille = 0;
    m->slow_permille = 0;
    m->dup_permille = 0;
    for (int i = 0; i < m->opt.members; i++) {
        m->member[i].alive = true;
    }
    for (int i = 0; i < m->opt.proxies; i++) {
        m->proxy[i].paused_until = m->now;
        if (!m->proxy[i].alive) {
            model_start_proxy(m, i);
        }
    }
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

/* Returns whether every proxy knows the one primary, writes flow and every
   member follows it. */
bool
model_settled(const struct model *m)
{
    const int acker = model_acker(m);

    for (int i = 0; acker != FAILOVER_NOBODY && i < m->opt.proxies; i++) {
        if (m->proxy[i].primary != acker || m->proxy[i].hold ||
            m->proxy[i].term != m->member[acker].term) {
            return false;
        }
    }
    for (int i = 0; acker != FAILOVER_NOBODY && i < m->opt.members; i++) {
        if (m->member[i].sealed != m->member[acker].term ||
            m->member[i].term != m->member[acker].term) {
            return false;
        }
    }
    return acker != FAILOVER_NOBODY;
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

/* Delivers the messages that are due. Those for a paused proxy wait. */
static void
deliver(struct model *m)
{
    while (m->queue->len > 0 &&
           g_array_index(m->queue, struct message, 0).due <= m->now) {
        struct message msg = pop(m);
        if (msg.to < FAILOVER_MEMBERS_MAX) {
            member_receive(m, &msg);
            check_ackers(m);
            continue;
        }
        const struct proxy *p = &m->proxy[msg.to - FAILOVER_MEMBERS_MAX];
        if (m->now < p->paused_until) {
            msg.due = p->paused_until;
            push(m, msg);
            continue;
        }
        proxy_receive(m, &msg);
    }
}

/* Runs the model and stops early at a broken invariant. */
void
model_run(struct model *m, int64_t steps)
{
    for (; steps > 0 && m->violation == NULL; steps--) {
        m->now++;
        deliver(m);
        for (int i = 0; i < m->opt.members; i++) {
            if (m->member[i].alive &&
                m->member[i].role == FAILOVER_ROLE_PRIMARY &&
                (m->now + i) % HEARTBEAT_MS == 0) {
                replicate(m, i);
            }
        }
        for (int i = 0; i < m->opt.proxies; i++) {
            struct proxy *p = &m->proxy[i];
            if (!p->alive || m->now < p->paused_until) {
                continue;
            }
            if ((m->now + 3 * i) % TICK_MS == 0) {
                failover_tick(p->f, m->now);
            }
            if ((m->now + 2 * i) % WRITE_MS == 0 && !p->hold &&
                p->primary != FAILOVER_NOBODY) {
                call(p, WRITE, p->primary, 0, 0);
            }
        }
    }
}
