#include "model.h"

#include <stdio.h>
#include <string.h>

#define DELAY_MIN_MS 1
#define DELAY_MAX_MS 3
#define SLOW_DELAY_MAX_MS (MODEL_TIME_SLOTS - 2)
#define TICK_INTERVAL_MS 10
#define WRITE_INTERVAL_MS 10

/* Records the name of the first broken invariant; later ones are ignored. */
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

/* Returns the network node of a proxy. The node of a member is its index. */
int
model_proxy_node(int proxy)
{
    return FAILOVER_MAX_MEMBERS + proxy;
}

static void
enqueue(struct model *m, struct message msg)
{
    msg.due = MIN(msg.due, m->now + MODEL_TIME_SLOTS - 1);
    g_array_append_val(m->messages_by_time[msg.due % MODEL_TIME_SLOTS], msg);
}

/* Returns true with the given probability. */
static bool
chance(struct model *m, int permille)
{
    return permille > 0 && rng_below(&m->rng, 1000) < (uint64_t)permille;
}

/* Sends a message, which may be lost, delayed or delivered twice. */
void
model_send(struct model *m, struct message msg)
{
    for (int copies = chance(m, m->dup_permille) ? 2 : 1; copies > 0;
         copies--) {
        if (m->cut[msg.from][msg.to] || chance(m, m->loss_permille)) {
            continue;
        }
        const bool slow =
            chance(m, m->slow_permille) ||
            ((msg.kind == ANSWER_SEAL || msg.kind == ANSWER_PROMOTE) &&
             chance(m, m->slow_answer_permille));
        const int64_t spread =
            slow ? SLOW_DELAY_MAX_MS : DELAY_MAX_MS - DELAY_MIN_MS + 1;
        msg.due = m->now + DELAY_MIN_MS +
                  (int64_t)rng_below(&m->rng, (uint64_t)spread);
        enqueue(m, msg);
    }
}

/* Passes a message to the failover state machine of a proxy. Answers to calls
   from before its last start are dropped. */
static void
proxy_receive(struct model *m, const struct message *msg)
{
    struct proxy *p = &m->proxy[msg->to - FAILOVER_MAX_MEMBERS];

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

/* Sends a message from a proxy, ctx, to a member. */
static void
call(void *ctx, enum message_kind kind, int member, uint64_t term, uint64_t id)
{
    struct proxy *p = ctx;

    model_send(p->model, (struct message){.kind = kind,
                                          .from = model_proxy_node(p->id),
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
    ((struct proxy *)ctx)->seal_calls++;
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

/* Checks that an announced primary was promoted in its term. */
static void
on_primary_changed(void *ctx, int member, uint64_t term)
{
    struct proxy *p = ctx;

    p->primary = member;
    p->term = term;
    if (member != FAILOVER_NO_MEMBER &&
        group_term_record(p->model, term)->primary != member) {
        model_fail(p->model, "announced_primary_true");
    }
}

/* Notifies the other proxies of a planned switch, as the daemon does. */
static void
on_hold_writes(void *ctx, bool hold)
{
    struct proxy *p = ctx;

    p->hold = hold;
    for (int i = 0; hold && i < p->model->opt.proxies; i++) {
        if (i != p->id && failover_get_state(p->f) == FAILOVER_SWITCHING) {
            model_send(p->model,
                       (struct message){.kind = PEER_SWITCHING,
                                        .from = model_proxy_node(p->id),
                                        .to = model_proxy_node(i)});
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

/* Starts a proxy without any state of an earlier run. */
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
        .log_event = on_note,
    };
    static const char *const domains[FAILOVER_MAX_MEMBERS] = {
        "a", "b", "c", "a", "b", "c", "a", "b", "c"};
    struct proxy *p = &m->proxy[i];
    struct failover_config config = {.proxy_id = (uint32_t)i + 1,
                                     .member_count = m->opt.members,
                                     .domains = domains,
                                     .rank = p->rank,
                                     .actions = &actions,
                                     .ctx = p,
                                     .rng = &p->rng};

    failover_settings_default(&config.settings);
    config.settings.policy = m->opt.policy;
    p->alive = true;
    p->epoch++;
    p->primary = FAILOVER_NO_MEMBER;
    p->hold = false;
    p->f = failover_create(&config, m->now);
}

/* Creates a group with member 0 as primary and all proxies running. Free with
   model_destroy(). */
struct model *
model_create(const struct model_options *opt)
{
    struct model *m = g_new0(struct model, 1);

    m->opt = *opt;
    rng_seed(&m->rng, opt->seed);
    for (int i = 0; i < MODEL_TIME_SLOTS; i++) {
        m->messages_by_time[i] =
            g_array_new(FALSE, FALSE, sizeof(struct message));
    }
    m->term_records = g_array_new(FALSE, FALSE, sizeof(struct term_record));
    m->log_entries = g_ptr_array_new_with_free_func(g_free);
    m->first_ack_at = -1;
    m->first_ack_above_term = UINT64_MAX;
    for (int i = 0; i < opt->members; i++) {
        m->member[i] = (struct member){.alive = true,
                                       .term = MODEL_FIRST_TERM,
                                       .sealed = MODEL_FIRST_TERM};
    }
    m->member[0].role = FAILOVER_ROLE_PRIMARY;
    group_append_entry(m, &m->member[0]);
    for (int i = 1; i < opt->members; i++) {
        m->member[i].last_entry = m->member[0].last_entry;
        m->member[i].synced = true;
    }
    group_term_record(m, MODEL_FIRST_TERM)->primary = 0;
    for (int i = 0; i < opt->members; i++) {
        group_record_stored(m, i, MODEL_FIRST_TERM);
    }
    for (int i = 0; i < opt->proxies; i++) {
        struct proxy *p = &m->proxy[i];
        *p = (struct proxy){
            .model = m, .id = i, .rank = opt->observers && i >= 3 ? -1 : i};
        rng_seed(&p->rng, rng_next(&m->rng));
        model_start_proxy(m, i);
    }
    return m;
}

void
model_destroy(struct model *m)
{
    for (int i = 0; i < m->opt.proxies; i++) {
        failover_destroy(m->proxy[i].f);
    }
    for (int i = 0; i < MODEL_TIME_SLOTS; i++) {
        g_array_free(m->messages_by_time[i], TRUE);
    }
    g_array_free(m->term_records, TRUE);
    g_ptr_array_free(m->log_entries, TRUE);
    g_free(m);
}

/* Cuts or restores the link between two nodes in both directions. */
void
model_set_cut(struct model *m, int a, int b, bool cut)
{
    m->cut[a][b] = cut;
    m->cut[b][a] = cut;
}

/* Cuts or restores the links of node to the nodes from..to-1. */
void
model_isolate(struct model *m, int node, int from, int to, bool cut)
{
    for (int i = from; i < to; i++) {
        if (i != node) {
            model_set_cut(m, node, i, cut);
        }
    }
}

/* Stops a member. It keeps its log and sealed term and restarts as a replica.
 */
void
model_kill_member(struct model *m, int i)
{
    m->member[i].alive = false;
    m->member[i].role = FAILOVER_ROLE_REPLICA;
}

/* Stops a proxy, if it runs, and frees its state. */
void
model_kill_proxy(struct model *m, int i)
{
    if (m->proxy[i].alive) {
        m->proxy[i].alive = false;
        failover_destroy(m->proxy[i].f);
        m->proxy[i].f = NULL;
    }
}

/* Suspends a proxy for ms; messages to it are delivered afterwards. */
void
model_pause_proxy(struct model *m, int i, int64_t ms)
{
    m->proxy[i].paused_until = m->now + ms;
}

/* Ends all network faults and pauses, and restarts all members and proxies. */
void
model_heal(struct model *m)
{
    memset(m->cut, 0, sizeof(m->cut));
    m->loss_permille = 0;
    m->slow_permille = 0;
    m->slow_answer_permille = 0;
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

/* Returns whether a primary can acknowledge writes, every proxy knows it in
   its term and holds no writes, and every member is in that term. */
bool
model_settled(const struct model *m)
{
    const int acker = model_acknowledging_primary(m);

    for (int i = 0; acker != FAILOVER_NO_MEMBER && i < m->opt.proxies; i++) {
        if (m->proxy[i].primary != acker || m->proxy[i].hold ||
            m->proxy[i].term != m->member[acker].term) {
            return false;
        }
    }
    for (int i = 0; acker != FAILOVER_NO_MEMBER && i < m->opt.members; i++) {
        if (m->member[i].sealed != m->member[acker].term ||
            m->member[i].term != m->member[acker].term) {
            return false;
        }
    }
    return acker != FAILOVER_NO_MEMBER;
}

/* Delivers the messages that are due now. Those to a paused proxy are put off
   to the end of its pause. */
static void
deliver(struct model *m)
{
    GArray *due = m->messages_by_time[m->now % MODEL_TIME_SLOTS];

    for (guint i = 0; i < due->len; i++) {
        struct message msg = g_array_index(due, struct message, i);
        if (msg.to < FAILOVER_MAX_MEMBERS) {
            group_receive(m, &msg);
        }
        else if (m->now <
                 m->proxy[msg.to - FAILOVER_MAX_MEMBERS].paused_until) {
            msg.due = m->proxy[msg.to - FAILOVER_MAX_MEMBERS].paused_until;
            enqueue(m, msg);
        }
        else {
            proxy_receive(m, &msg);
        }
    }
    g_array_set_size(due, 0);
}

/* Runs the model for a number of steps, or until an invariant is broken. */
void
model_run(struct model *m, int64_t steps)
{
    for (; steps > 0 && m->violation == NULL; steps--) {
        m->now++;
        deliver(m);
        group_tick(m);
        for (int i = 0; i < m->opt.proxies; i++) {
            struct proxy *p = &m->proxy[i];
            if (!p->alive || m->now < p->paused_until) {
                continue;
            }
            if ((m->now + INT64_C(3) * i) % TICK_INTERVAL_MS == 0) {
                failover_tick(p->f, m->now);
            }
            if ((m->now + INT64_C(2) * i) % WRITE_INTERVAL_MS == 0 &&
                !p->hold && p->primary != FAILOVER_NO_MEMBER) {
                call(p, WRITE, p->primary, 0, 0);
            }
        }
    }
}
