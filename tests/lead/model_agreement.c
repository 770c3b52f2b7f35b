/* A model of proxies that agree on a view over a bad network: datagrams are
   delayed, lost and cut, proxies freeze and restart, and the store turns some
   of them away. Proxies register and are unregistered meanwhile, which the
   others learn late. Checks the one promise that the promoter builds on: once
   agreement_all_acted() holds for a version, no proxy relies on an older one.

     model_agreement SEED STEPS */

#include "base/rng.h"
#include "lead/agreement.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES_MAX 12
#define MESSAGES_MAX 768
#define QUESTION_MS 400
#define CONFIRM_AFTER_MS 500
#define CONFIRM_AGAIN_MS 300
#define TICK_MS 25
#define REGISTER_MS 12
/* The feed of the store brings a change of the list within this time, but for
   a connection that has gone silent. */
#define FEED_MS 400
#define SILENT_FEED_MS 5000
/* Between looks for proxies that are lost for good. */
#define RETIRE_MS 1500
/* A process is not killed sooner after it has registered: the others would
   know its row, as it does at its next start. */
#define REGISTERED_MS 6000

struct model_node {
    struct agreement *agreement;
    char name[16];
    char domain[4];
    clock_ms asked_at;   /* question to the witnesses */
    clock_ms confirm_at; /* question to the store */
    clock_ms frozen_until;
    clock_ms down_until;
    clock_ms store_cut_until;
    clock_ms acts_at; /* when the present view is acted on */
    clock_ms clock_offset;
    uint64_t changing; /* version that this node waits for, 0 if none */
    clock_ms changed_at;
    uint64_t incarnation;
    bool registered; /* in the store */
    clock_ms registered_at;
    clock_ms register_at;  /* its registration is stored, 0 if it is */
    uint64_t list_version; /* of the list of proxies that it knows */
    clock_ms list_due;     /* when its feed brings a newer list */
    clock_ms retire_at;
};

struct message {
    bool used;
    int to;
    clock_ms at;
    struct agreement_note note;
};

struct model {
    struct rng rng;
    clock_ms now;
    int count;
    struct model_node nodes[NODES_MAX];
    struct message messages[MESSAGES_MAX];
    struct view stored;
    bool cut[NODES_MAX][NODES_MAX];
    clock_ms cut_until;
    uint64_t left_before; /* all have acted on this version */
    uint64_t list_version;
    long retired;
    long checks;
    long changes;
};

/* Tells whether a node runs. */
static bool
runs(const struct model *m, int i)
{
    return m->now >= m->nodes[i].frozen_until &&
           m->now >= m->nodes[i].down_until;
}

/* Returns a node's own time. */
static clock_ms
time_of(const struct model *m, int i)
{
    return m->now + m->nodes[i].clock_offset;
}

/* Gives one node the list of registered proxies. */
static void
set_peers(struct model *m, int i)
{
    struct agreement_peer peers[NODES_MAX];
    int n = 0;

    for (int k = 0; k < m->count; k++) {
        if (m->nodes[k].registered) {
            peers[n++] =
                (struct agreement_peer){.name = m->nodes[k].name,
                                        .failure_domain = m->nodes[k].domain};
        }
    }
    m->nodes[i].list_version = m->list_version;
    agreement_set_peers(m->nodes[i].agreement, peers, n, time_of(m, i));
}

/* Writes or deletes the row of a node; the others learn of it later. */
static void
set_registered(struct model *m, int i, bool registered)
{
    if (m->nodes[i].registered == registered) {
        return;
    }
    m->nodes[i].registered = registered;
    m->nodes[i].registered_at = m->now;
    m->list_version++;
    for (int k = 0; k < m->count; k++) {
        const bool silent = rng_below(&m->rng, 10) == 0;
        m->nodes[k].list_due =
            m->now +
            (clock_ms)rng_below(&m->rng, silent ? SILENT_FEED_MS : FEED_MS);
    }
}

/* Returns whether other proxies are registered than this one. */
static bool
is_alone(const struct model *m, int i)
{
    for (int k = 0; k < m->count; k++) {
        if (k != i && m->nodes[k].registered) {
            return false;
        }
    }
    return true;
}

/* A read of the store by a node: the view, and whether it is registered. */
static void
confirm(struct model *m, int i)
{
    const struct model_node *n = &m->nodes[i];

    if (n->registered && is_alone(m, i)) {
        agreement_set_known(n->agreement);
    }
    agreement_confirm_by_store(n->agreement, m->stored.version, time_of(m, i),
                               n->registered);
}

/* Starts a node, which reads the view from the store. */
static void
start(struct model *m, int i)
{
    struct model_node *n = &m->nodes[i];

    agreement_destroy(n->agreement);
    n->incarnation++;
    n->agreement = agreement_create(n->name, n->incarnation);
    n->clock_offset = (clock_ms)1000 * (i + 1);
    n->changing = 0;
    n->register_at = n->registered ? 0 : m->now + REGISTER_MS;
    n->retire_at = m->now;
    set_peers(m, i);
    if (n->registered) {
        agreement_set_known(n->agreement);
    }
    if (m->stored.version > 0) {
        agreement_offer(n->agreement, &m->stored);
        confirm(m, i);
        agreement_set_acted(n->agreement, m->stored.version);
    }
}

/* Sends a note, unless the network loses it. */
static void
send_note(struct model *m, int from, int to, bool reply)
{
    if (m->cut[from][to] || rng_below(&m->rng, 100) < 3) {
        return;
    }
    for (int i = 0; i < MESSAGES_MAX; i++) {
        struct message *x = &m->messages[i];
        if (!x->used) {
            x->used = true;
            x->to = to;
            x->at = m->now + 1 + (clock_ms)rng_below(&m->rng, 8);
            if (rng_below(&m->rng, 6) == 0) {
                x->at += (clock_ms)rng_below(&m->rng, 3000);
            }
            agreement_compose(m->nodes[from].agreement, m->nodes[to].name, 0,
                              false, time_of(m, from), &x->note);
            x->note.reply = reply;
            return;
        }
    }
}

/* Sends questions to the witnesses, or news to all. */
static void
send_questions(struct model *m, int i, bool news)
{
    const struct model_node *n = &m->nodes[i];
    const bool all = news && agreement_is_witness(n->agreement, n->name);

    for (int k = 0; k < m->count; k++) {
        if (k != i &&
            (all || agreement_is_witness(n->agreement, m->nodes[k].name))) {
            send_note(m, i, k, false);
        }
    }
}

/* A node has taken over a view; work under the old one ends a little later. */
static void
view_taken(struct model *m, int i)
{
    m->nodes[i].acts_at = m->now + (clock_ms)rng_below(&m->rng, 250);
    send_questions(m, i, true);
}

/* Fails the run when a node that runs relies on a view that all have left. */
static void
check_node(const struct model *m, int i)
{
    const struct model_node *n = &m->nodes[i];

    if (runs(m, i) && agreement_view(n->agreement)->version < m->left_before &&
        agreement_valid(n->agreement, time_of(m, i))) {
        printf("at %lld: %s relies on view %llu, all acted on %llu\n",
               (long long)m->now, n->name,
               (unsigned long long)agreement_view(n->agreement)->version,
               (unsigned long long)m->left_before);
        exit(1);
    }
}

/* Delivers the messages that are due to nodes that run. */
static void
deliver(struct model *m)
{
    for (int i = 0; i < MESSAGES_MAX; i++) {
        struct message *x = &m->messages[i];
        if (!x->used || x->at > m->now ||
            m->now < m->nodes[x->to].frozen_until) {
            continue;
        }
        x->used = false;
        if (!runs(m, x->to)) {
            continue;
        }
        const struct agreement_note note = x->note;
        if (agreement_take(m->nodes[x->to].agreement, &note,
                           time_of(m, x->to))) {
            view_taken(m, x->to);
        }
        check_node(m, x->to);
        if (!note.reply) {
            for (int k = 0; k < m->count; k++) {
                if (strcmp(m->nodes[k].name, note.from) == 0) {
                    send_note(m, x->to, k, true);
                }
            }
        }
    }
}

/* Lets a witness change the view through the store. */
static void
change(struct model *m, int i)
{
    struct model_node *n = &m->nodes[i];
    const struct view *v = agreement_view(n->agreement);

    if (!agreement_is_witness(n->agreement, n->name) || n->changing != 0 ||
        m->now < n->store_cut_until || v->version != m->stored.version) {
        return;
    }
    m->stored.version++;
    m->changes++;
    const struct view next = m->stored;
    agreement_offer(n->agreement, &next);
    n->changing = next.version;
    n->changed_at = time_of(m, i);
    view_taken(m, i);
}

/* Lets a node delete the row of a proxy that is lost. */
static void
retire(struct model *m, int i)
{
    const char *name =
        agreement_retirable(m->nodes[i].agreement, time_of(m, i));

    for (int k = 0; name != NULL && k < m->count; k++) {
        if (strcmp(m->nodes[k].name, name) == 0) {
            set_registered(m, k, false);
            m->retired++;
        }
    }
}

/* One tick of a node. */
static void
tick(struct model *m, int i)
{
    struct model_node *n = &m->nodes[i];
    const clock_ms now = time_of(m, i);

    if (n->acts_at != 0 && m->now >= n->acts_at) {
        n->acts_at = 0;
        agreement_set_acted(n->agreement,
                            agreement_view(n->agreement)->version);
        send_questions(m, i, true);
    }
    if (now - n->asked_at >= QUESTION_MS) {
        n->asked_at = now;
        send_questions(m, i, false);
    }
    if (now - agreement_evidence(n->agreement) >= CONFIRM_AFTER_MS &&
        now - n->confirm_at >= CONFIRM_AGAIN_MS &&
        m->now >= n->store_cut_until) {
        n->confirm_at = now;
        if (agreement_offer(n->agreement, &m->stored)) {
            view_taken(m, i);
        }
        confirm(m, i);
    }
    if (n->list_version != m->list_version && m->now >= n->list_due &&
        m->now >= n->store_cut_until) {
        set_peers(m, i);
        if (!n->registered && n->register_at == 0) {
            n->register_at = m->now + REGISTER_MS;
        }
    }
    if (n->register_at != 0 && m->now >= n->register_at &&
        m->now >= n->store_cut_until) {
        n->register_at = 0;
        set_registered(m, i, true);
    }
    if (m->now - n->retire_at >= RETIRE_MS && m->now >= n->store_cut_until) {
        n->retire_at = m->now;
        retire(m, i);
    }
    if (n->changing != 0 &&
        agreement_all_acted(n->agreement, n->changing, n->changed_at, now)) {
        m->checks++;
        m->left_before = MAX(m->left_before, n->changing);
        n->changing = 0;
    }
}

/* Breaks and mends things at random. */
static void
disturb(struct model *m)
{
    const int i = (int)rng_below(&m->rng, (uint64_t)m->count);
    struct model_node *n = &m->nodes[i];

    switch (rng_below(&m->rng, 11)) {
    case 0:
        n->frozen_until = m->now + (clock_ms)rng_below(&m->rng, 4000);
        break;
    case 1:
        if (m->now - n->registered_at < REGISTERED_MS) {
            break;
        }
        n->down_until = m->now + (clock_ms)rng_below(&m->rng, 3000);
        n->frozen_until = 0;
        start(m, i);
        break;
    case 5: /* a planned end and a start */
        set_registered(m, i, false);
        n->down_until = m->now + (clock_ms)rng_below(&m->rng, 1000);
        n->frozen_until = 0;
        start(m, i);
        n->register_at = n->down_until + REGISTER_MS;
        break;
    case 6: /* lost for good, or so it seems */
        if (rng_below(&m->rng, 6) == 0) {
            n->frozen_until = m->now + (clock_ms)rng_below(&m->rng, 40000);
        }
        break;
    case 7: /* alone with the store */
        if (rng_below(&m->rng, 6) == 0) {
            for (int k = 0; k < m->count; k++) {
                m->cut[i][k] = true;
                m->cut[k][i] = true;
            }
            m->cut_until = m->now + (clock_ms)rng_below(&m->rng, 40000);
        }
        break;
    case 2:
        n->store_cut_until = m->now + (clock_ms)rng_below(&m->rng, 5000);
        break;
    case 3:
    case 4:
        for (int k = 0; k < m->count; k++) {
            m->cut[i][k] = rng_below(&m->rng, 2) == 0;
            m->cut[k][i] = rng_below(&m->rng, 2) == 0;
        }
        m->cut_until = m->now + 4000;
        break;
    default:
        change(m, i);
    }
}

/* Runs the model. */
int
main(int argc, char **argv)
{
    struct model *m = g_new0(struct model, 1);
    const uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    const long steps = argc > 2 ? strtol(argv[2], NULL, 10) : 100000;

    rng_seed(&m->rng, seed);
    m->now = 100000;
    m->count = 3 + (int)(seed % (NODES_MAX - 2));
    m->stored.version = 1;
    for (int i = 0; i < m->count; i++) {
        g_snprintf(m->nodes[i].name, sizeof(m->nodes[i].name), "n%d", i);
        g_snprintf(m->nodes[i].domain, sizeof(m->nodes[i].domain), "%d",
                   i % 3);
    }
    for (int i = 0; i < m->count; i++) {
        m->nodes[i].registered = true;
    }
    for (int i = 0; i < m->count; i++) {
        start(m, i);
    }
    for (long step = 0; step < steps; step++) {
        m->now++;
        if (m->now >= m->cut_until) {
            memset(m->cut, 0, sizeof(m->cut));
        }
        deliver(m);
        for (int i = 0; i < m->count; i++) {
            if (runs(m, i) && m->now % TICK_MS == i % TICK_MS) {
                tick(m, i);
            }
            check_node(m, i);
        }
        if (rng_below(&m->rng, 300) == 0) {
            disturb(m);
        }
    }
    printf("seed=%llu nodes=%d changes=%ld checked=%ld retired=%ld\n",
           (unsigned long long)seed, m->count, m->changes, m->checks,
           m->retired);
    for (int i = 0; i < m->count; i++) {
        agreement_destroy(m->nodes[i].agreement);
    }
    const bool ok = m->checks > 0;
    g_free(m);
    return ok ? 0 : 1;
}
