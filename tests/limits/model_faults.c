#include "model_rate_limits.h"

#include "coordination/agreement.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* The proxies of the model: their processes, what they know of the list of
   proxies and of the configuration, and the faults that happen to them. */

/* The feed of the store delivers a change within this time, or within
   SLOW_FEED_MS if its connection has stalled. */
#define FEED_MS 400
#define SLOW_FEED_MS 5000
/* The store's row of a proxy that does not answer is deleted after this. */
#define SILENT_MS 15000

bool
model_is_running(const struct model *m, int i)
{
    return m->proxies[i].up && m->now >= m->proxies[i].frozen_until;
}

/* Returns the boot clock of a proxy. */
int64_t
model_local_time(const struct model *m, int i)
{
    const struct model_proxy *p = &m->proxies[i];

    return m->now + p->clock_offset;
}

/* Gives a proxy the present list of registered proxies. */
static void
deliver_list(struct model *m, int i)
{
    static struct agreement *agreement;
    struct model_proxy *p = &m->proxies[i];
    struct agreement_peer peers[PROXIES_MAX] = {0};
    struct rate_witness witnesses[AGREEMENT_WITNESSES_MAX];
    int n = 0;
    int count = 0;

    for (int k = 0; k < m->proxy_count; k++) {
        if (m->proxies[k].registered) {
            peers[n++] = (struct agreement_peer){.name = m->proxies[k].name,
                                                 .failure_domain =
                                                     m->proxies[k].domain};
        }
    }
    /* Which of them are witnesses does not depend on the proxy that asks. */
    if (agreement == NULL) {
        agreement = agreement_create("", 1, 0);
    }
    agreement_set_peers(agreement, peers, n, 0);
    for (int k = 0; k < n && count < AGREEMENT_WITNESSES_MAX; k++) {
        if (agreement_is_witness(agreement, peers[k].name)) {
            witnesses[count++] = (struct rate_witness){
                .name = peers[k].name,
                .same_domain =
                    strcmp(peers[k].failure_domain, p->domain) == 0};
        }
    }
    p->list_version = m->list_version;
    p->list_due = 0;
    rate_limits_set_witnesses(p->limits, witnesses, count);
}

static void
deliver_catalog(struct model *m, int i)
{
    struct catalog *c = model_catalog(m, m->catalog_version);

    m->proxies[i].catalog_version = m->catalog_version;
    m->proxies[i].catalog_due = 0;
    rate_limits_set_catalog(m->proxies[i].limits, c);
    catalog_unref(c);
}

static int64_t
feed_delay(struct model *m)
{
    const bool slow = m->mode >= MODE_CHAOS && rng_below(&m->rng, 10) == 0;

    return 1 + (int64_t)rng_below(&m->rng, slow ? SLOW_FEED_MS : FEED_MS);
}

/* Delivers what the store's feed has for a running proxy. */
void
model_update_directory(struct model *m, int i)
{
    struct model_proxy *p = &m->proxies[i];

    if (m->now < p->store_cut_until) {
        return;
    }
    if (p->list_version != m->list_version) {
        if (p->list_due == 0) {
            p->list_due = m->now + feed_delay(m);
        }
        if (m->now >= p->list_due) {
            deliver_list(m, i);
        }
    }
    if (p->catalog_version != m->catalog_version) {
        if (p->catalog_due == 0) {
            p->catalog_due = m->now + feed_delay(m);
        }
        if (m->now >= p->catalog_due) {
            deliver_catalog(m, i);
        }
    }
}

/* Writes or deletes the row of a proxy. */
void
model_set_registered(struct model *m, int i, bool registered)
{
    if (m->proxies[i].registered != registered) {
        m->proxies[i].registered = registered;
        m->list_version++;
    }
}

/* Starts a process. registered: its row stood before. */
void
model_start_proxy(struct model *m, int i, bool registered)
{
    struct model_proxy *p = &m->proxies[i];
    struct rate_limits_config config = model_limits_config;

    p->up = true;
    p->incarnation++;
    p->frozen_until = 0;
    p->frozen_total = 0;
    p->clock_offset = (int64_t)rng_below(&m->rng, 1000000) + 1;
    config.name = p->name;
    config.incarnation = p->incarnation;
    config.ctx = p;
    p->limits = rate_limits_create(&config);
    if (!registered) {
        model_set_registered(m, i, true);
    }
    /* A process that cannot reach the store copies both from a peer; whether
       its row stood it cannot know then. */
    deliver_list(m, i);
    deliver_catalog(m, i);
    if (registered && m->now >= p->store_cut_until) {
        rate_limits_set_registered(p->limits);
    }
}

void
model_stop_proxy(struct model *m, int i)
{
    struct model_proxy *p = &m->proxies[i];

    model_drop_operations(m, i);
    rate_limits_destroy(p->limits);
    p->limits = NULL;
    p->up = false;
}

/* Returns a random proxy that runs, in half of the cases a witness. */
static int
pick(struct model *m)
{
    const bool any = rng_below(&m->rng, 2) == 0;

    for (int tries = 0; tries < 200; tries++) {
        const int i = (int)rng_below(&m->rng, (uint64_t)m->proxy_count);
        const bool witness = model_is_running(m, i) &&
                             rate_limits_divisor(m->proxies[i].limits) > 0;
        if (model_is_running(m, i) && (witness || any || tries > 100)) {
            return i;
        }
    }
    return -1;
}

static void
kill_proxy(struct model *m, int i, int64_t down_ms)
{
    model_stop_proxy(m, i);
    m->proxies[i].restart_at = m->now + down_ms;
}

static void
freeze(struct model *m, int i, int64_t ms)
{
    struct model_proxy *p = &m->proxies[i];

    p->frozen_until = m->now + ms;
}

/* Cuts a group of proxies off from the others, and perhaps from the store. */
static void
cut(struct model *m, int members, int64_t ms, bool from_store)
{
    const int side = (int)rng_below(&m->rng, 1000000) + 1;

    for (int k = 0; k < members; k++) {
        const int i = pick(m);
        if (i < 0) {
            return;
        }
        m->proxies[i].side = side;
        m->proxies[i].cut_since = m->now;
        m->proxies[i].net_cut_until = m->now + ms;
        if (from_store) {
            m->proxies[i].store_cut_until = m->now + ms;
        }
    }
}

/* Adds a proxy whose name has not been used yet; where lists are to differ,
   one that probably becomes a witness, since those are the first of their
   failure domain by the hash of the name. */
static void
add_proxy(struct model *m)
{
    if (m->proxy_count < PROXIES_MAX) {
        char *name = m->proxies[m->proxy_count].name;
        for (int k = 0; k < 30 && m->mode == MODE_LISTS; k++) {
            char other[16];
            g_snprintf(other, sizeof(other), "proxy-%x",
                       (unsigned)rng_below(&m->rng, 1U << 24));
            if (XXH64(other, strlen(other), 0) <
                XXH64(name, strlen(name), 0)) {
                memcpy(name, other, sizeof(other));
            }
        }
        model_start_proxy(m, m->proxy_count++, false);
    }
}

/* Stops a proxy for good, as a planned stop does. */
static void
retire(struct model *m, int i)
{
    int registered = 0;

    for (int k = 0; k < m->proxy_count; k++) {
        registered += m->proxies[k].registered;
    }
    /* Two proxies cannot tell a cut from the loss of the other one. */
    if (registered <= 3) {
        return;
    }
    model_stop_proxy(m, i);
    m->proxies[i].restart_at = INT64_MAX;
    model_set_registered(m, i, false);
}

static void
inject_trouble(struct model *m)
{
    const int i = pick(m);

    m->next_event = m->now + 3000 + (int64_t)rng_below(&m->rng, 3000);
    if (i < 0) {
        return;
    }
    if (m->verbose) {
        printf("  fault at %lld: %s divisor %d\n", (long long)m->now,
               m->proxies[i].name, rate_limits_divisor(m->proxies[i].limits));
    }
    switch (rng_below(&m->rng, 5)) {
    case 0:
    case 1:
        kill_proxy(m, i, 800 + (int64_t)rng_below(&m->rng, 2500));
        break;
    case 2:
        cut(m, 1, 1000 + (int64_t)rng_below(&m->rng, 5000),
            rng_below(&m->rng, 2) == 0);
        break;
    case 3:
        freeze(m, i, 500 + (int64_t)rng_below(&m->rng, 4000));
        break;
    default:
        add_proxy(m);
        break;
    }
}

/* Restarts all proxies; some of them cannot reach the store then. */
static void
restart_all(struct model *m)
{
    const uint64_t spread = 50 + rng_below(&m->rng, 1500);

    for (int i = 0; i < m->proxy_count; i++) {
        if (m->proxies[i].up) {
            kill_proxy(m, i, 100 + (int64_t)rng_below(&m->rng, spread));
        }
    }
}

/* Suspends many proxies over and over, as a host without CPU time does. */
static void
stutter(struct model *m)
{
    const int64_t until = m->now + 3000 + (int64_t)rng_below(&m->rng, 6000);
    const bool witnesses = rng_below(&m->rng, 2) == 0;

    for (int i = 0; i < m->proxy_count; i++) {
        const bool spared = !witnesses && m->proxies[i].up &&
                            rate_limits_divisor(m->proxies[i].limits) > 0;
        if (!spared && rng_below(&m->rng, 8) != 0) {
            m->proxies[i].stutter_until = until;
        }
    }
}

/* Keeps many proxies from learning of changes, so that they go on with the
   list that they have. */
static void
stall_feeds(struct model *m, int64_t ms)
{
    const uint64_t one_in = 2 + rng_below(&m->rng, 3);

    for (int k = 0; k < m->proxy_count; k++) {
        if (rng_below(&m->rng, one_in) == 0) {
            m->proxies[k].store_cut_until = m->now + ms;
        }
    }
}

static void
freeze_domain(struct model *m, int of, int64_t ms)
{
    for (int k = 0; k < m->proxy_count; k++) {
        if (strcmp(m->proxies[k].domain, m->proxies[of].domain) == 0 &&
            model_is_running(m, k)) {
            freeze(m, k, ms);
        }
    }
}

enum fault {
    FAULT_KILL,
    FAULT_FREEZE,
    FAULT_CUT,
    FAULT_STALL_ONE, /* it keeps its list while others learn of a new one */
    FAULT_STALL,
    FAULT_ADD,
    FAULT_RETIRE,
    FAULT_RESTART_ALL,
    FAULT_STUTTER,
    FAULT_FREEZE_DOMAIN,
    FAULT_LOWER,
    FAULTS,
};

/* How often a fault happens in a mode, of 100. */
static const int fault_weights[MODES][FAULTS] = {
    [MODE_CHAOS] = {9, 9, 9, 9, 9, 18, 9, 9, 9, 5, 5},
    [MODE_RESTART] = {[FAULT_RESTART_ALL] = 60,
                      [FAULT_KILL] = 25,
                      [FAULT_FREEZE] = 10,
                      [FAULT_LOWER] = 5},
    [MODE_LISTS] = {[FAULT_STALL] = 25,
                    [FAULT_STALL_ONE] = 15,
                    [FAULT_ADD] = 30,
                    [FAULT_RETIRE] = 20,
                    [FAULT_CUT] = 10},
    [MODE_SUSPEND] = {[FAULT_STUTTER] = 50,
                      [FAULT_FREEZE_DOMAIN] = 25,
                      [FAULT_FREEZE] = 25},
};

static enum fault
pick_fault(struct model *m)
{
    int at = (int)rng_below(&m->rng, 100);
    int f = 0;

    while (f < FAULTS - 1 && at >= fault_weights[m->mode][f]) {
        at -= fault_weights[m->mode][f++];
    }
    return (enum fault)f;
}

static void
inject_chaos(struct model *m)
{
    const int i = pick(m);
    const int64_t ms = 200 + (int64_t)rng_below(&m->rng, 8000);

    m->next_event = m->now + (m->mode == MODE_RESTART
                                  ? 1000 + (int64_t)rng_below(&m->rng, 6000)
                                  : 100 + (int64_t)rng_below(&m->rng, 3000));
    if (i < 0) {
        return;
    }
    switch (pick_fault(m)) {
    case FAULT_KILL:
        kill_proxy(m, i, 100 + (int64_t)rng_below(&m->rng, 4000));
        break;
    case FAULT_FREEZE:
        freeze(m, i, ms);
        break;
    case FAULT_CUT:
        cut(m, 1 + (int)rng_below(&m->rng, 12), ms,
            rng_below(&m->rng, 2) == 0);
        break;
    case FAULT_STALL_ONE:
        m->proxies[i].store_cut_until = m->now + 2 * ms;
        break;
    case FAULT_STALL:
        stall_feeds(m, 2 * ms);
        break;
    case FAULT_ADD:
        add_proxy(m);
        break;
    case FAULT_RETIRE:
        retire(m, i);
        break;
    case FAULT_RESTART_ALL:
        restart_all(m);
        break;
    case FAULT_STUTTER:
        stutter(m);
        break;
    case FAULT_FREEZE_DOMAIN:
        freeze_domain(m, i, ms / 2);
        break;
    default:
        m->catalog_version = 2;
        break;
    }
}

/* Lets the next fault happen, and ends those that are over. */
void
model_inject_faults(struct model *m)
{
    if (m->mode != MODE_CALM && m->now >= m->next_event) {
        m->events++;
        if (m->mode == MODE_TROUBLE) {
            inject_trouble(m);
        }
        else {
            inject_chaos(m);
        }
    }
    for (int i = 0; i < m->proxy_count; i++) {
        struct model_proxy *p = &m->proxies[i];
        if (!p->up && p->restart_at <= m->now) {
            model_start_proxy(m, i, p->registered);
        }
        if (p->up && p->stutter_until > m->now && m->now >= p->frozen_until &&
            rng_below(&m->rng, 50) == 0) {
            freeze(m, i, 300 + (int64_t)rng_below(&m->rng, 500));
        }
        if (p->up && m->now < p->frozen_until) {
            p->frozen_total++;
        }
        if (p->net_cut_until <= m->now) {
            p->side = 0;
        }
        /* The row of a proxy that is away for long is deleted. */
        if (p->registered && p->up && p->side != 0 &&
            p->net_cut_until - m->now > 4000 && p->store_cut_until > m->now &&
            m->mode == MODE_CHAOS && rng_below(&m->rng, SILENT_MS) == 0) {
            model_set_registered(m, i, false);
        }
        /* It finds its row missing, and registers again. */
        if (p->up && !p->registered && m->now >= p->store_cut_until &&
            m->now >= p->frozen_until) {
            model_set_registered(m, i, true);
        }
    }
}
