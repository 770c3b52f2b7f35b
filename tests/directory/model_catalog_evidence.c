/* A model of proxies that decide whether their configuration is recent enough
   to rely on its keys. Each version of the configuration withdraws a key of
   the one before. Datagrams and answers of the store are lost or late, the
   feed of the store leaves out the changes of the last second, proxies freeze,
   restart and take the configuration from a peer, links to the store and
   between proxies are cut, wall clocks are set, and the store comes back from
   an older copy.

   Checks that no proxy is fresh with a version whose successor the store has
   acknowledged more than REVOCATION_MS ago, less the time until a member reads
   a request. In runs without faults, all proxies must be fresh all the time.

   The store does not come back without a version that fewer than a majority of
   the witnesses have, and these are not killed until the operator has written
   again: a version that nobody remembers cannot be honoured.

   Usage: model_catalog_evidence FIRST_SEED COUNT */

#include "base/rng.h"
#include "directory/catalog_evidence.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROXIES 7
#define WITNESSES 5 /* the first ones */
#define QUORUM 3
#define REVOCATION_MS 5000
/* From the decision of a proxy until the member has read the request. */
#define DELIVERY_MS 450
#define RUN_MS 60000
#define STEP_MS 10
#define EVENTS_MAX 1024
#define VERSIONS_MAX 1024
/* As in src/node and platform/. */
#define MESSAGE_INTERVAL_MS 400
#define NEWER_WAIT_MS 400
#define FEED_WAIT_MS 15000
#define BATCH_DELAY_MS 400
#define RETRY_DELAY_MS 250
#define READ_TIMEOUT_MS 1500
#define FEED_MARGIN_MS 1200
/* No witness is killed for this time after the first write that follows a
   restoration, so that all of them have it. */
#define AFTER_WRITE_MS 8000

enum event_type {
    EVENT_MESSAGE,
    EVENT_ANSWER, /* of the store */
    EVENT_COPY,   /* of a peer's configuration */
};

struct event {
    bool used;
    enum event_type type;
    clock_ms at;
    int to;
    int from;
    uint64_t incarnation; /* of the receiver, for answers and copies */
    uint64_t request;     /* number of the request that is answered */
    uint64_t version;     /* of the configuration */
    uint64_t era;
    bool lists_changes;
    bool full; /* answers a read of the whole table */
    bool reply;
    clock_ms sent_at;
    uint64_t sender_incarnation;
    struct catalog_claim claim;
};

/* A request that the store holds open, or the answer to which is awaited. */
struct store_request {
    bool pending; /* at the store */
    bool full;    /* a read of the whole table, answered at once */
    bool lost;    /* the answer will be */
    uint64_t number;
    uint64_t after;
    clock_ms arrives_at;
    clock_ms hold_until;
    int64_t feed_lag;
};

struct proxy {
    struct catalog_evidence evidence;
    uint64_t incarnation;
    uint64_t version; /* of its configuration, 0: none */
    uint64_t era;     /* of the store as far as it knows */
    bool loaded;      /* a full read has been answered */
    uint64_t feed_version;
    clock_ms clock_offset;
    int clock_ppm;
    clock_ms wall_offset;
    clock_ms frozen_until;
    clock_ms down_until;
    clock_ms cut_until; /* from the store */
    struct store_request request;
    uint64_t request_number;
    clock_ms asked_at; /* own clock */
    clock_ms wait_ms;  /* of the request in progress */
    clock_ms request_timeout_at;
    clock_ms next_request_at; /* 0: none is planned */
    clock_ms refreshed_at;
    clock_ms messages_sent_at;
    clock_ms started_at;
    clock_ms newer_since;
    int newer_peer;
    struct {
        uint64_t incarnation;
        clock_ms sent_at; /* of its last message, its own clock */
        clock_ms answered_at;
    } peers[PROXIES];
};

struct model {
    struct rng rng;
    uint64_t seed;
    bool calm;
    clock_ms now;
    struct proxy proxies[PROXIES];
    bool cut[PROXIES][PROXIES];
    clock_ms cut_until;
    struct event events[EVENTS_MAX];
    uint64_t era;
    uint64_t newest;                        /* ever acknowledged */
    clock_ms acknowledged_at[VERSIONS_MAX]; /* by version */
    /* What the store held, newest last: versions within the present era. */
    struct {
        uint64_t version;
        clock_ms since;
    } held[VERSIONS_MAX];
    int held_count;
    clock_ms next_write_at;
    bool lost_versions; /* since it came back, the operator has not written */
    clock_ms no_kill_until;
    clock_ms next_fault_at;
    clock_ms next_restore_at;
    long fresh;
    long checks;
};

static bool
chance(struct model *m, uint64_t one_in)
{
    return rng_below(&m->rng, one_in) == 0;
}

static clock_ms
between(struct model *m, clock_ms min, clock_ms max)
{
    return min + (clock_ms)rng_below(&m->rng, (uint64_t)(max - min + 1));
}

static bool
is_running(const struct model *m, int i)
{
    return m->now >= m->proxies[i].frozen_until &&
           m->now >= m->proxies[i].down_until;
}

/* Returns the time on a proxy's clock. */
static clock_ms
local_time(const struct model *m, int i)
{
    const struct proxy *p = &m->proxies[i];
#ifdef CATALOG_EVIDENCE_BREAK_WALL_CLOCK
    return m->now + p->clock_offset + p->wall_offset;
#else
    return m->now + p->clock_offset + m->now * p->clock_ppm / 1000000;
#endif
}

/* Returns the version that the store held a while ago, or at the beginning of
   its present era. */
static uint64_t
held_version(const struct model *m, int64_t lag)
{
    int i = m->held_count - 1;

    while (i > 0 && m->held[i].since > m->now - lag) {
        i--;
    }
    return m->held[i].version;
}

static struct event *
add_event(struct model *m, enum event_type type, int to, clock_ms delay)
{
    for (int i = 0; i < EVENTS_MAX; i++) {
        if (!m->events[i].used) {
            m->events[i] = (struct event){
                .used = true, .type = type, .to = to, .at = m->now + delay};
            return &m->events[i];
        }
    }
    fprintf(stderr, "too many events\n");
    exit(2);
}

/* Returns the delay of a datagram or an answer. A few are very late. */
static clock_ms
draw_delay(struct model *m)
{
    return !m->calm && chance(m, 20) ? between(m, 20, 4000)
                                     : between(m, 1, 20);
}

/* Sends a request to the store, which supersedes the one in progress. */
static void
send_request(struct model *m, int i, bool full)
{
    struct proxy *p = &m->proxies[i];
    const bool watches = i < WITNESSES || catalog_evidence_needs_store(
                                              &p->evidence, local_time(m, i));
    const clock_ms wait = full      ? 0
                          : watches ? CATALOG_EVIDENCE_ASK_INTERVAL_MS
                                    : FEED_WAIT_MS;
    const clock_ms arrives_at = m->now + draw_delay(m);

    p->asked_at = local_time(m, i);
    p->wait_ms = wait;
    p->next_request_at = 0;
    p->request_timeout_at =
        m->now + (full ? READ_TIMEOUT_MS : wait + FEED_MARGIN_MS);
    p->request = (struct store_request){
        .pending = m->now >= p->cut_until,
        .full = full,
        .lost = !m->calm && chance(m, 12),
        .number = ++p->request_number,
        .after = p->feed_version,
        .arrives_at = arrives_at,
        .hold_until = arrives_at + wait,
        .feed_lag = full ? 0 : between(m, 0, CATALOG_EVIDENCE_FEED_LAG_MS),
    };
}

/* Lets the store answer a request if that is due. */
static void
answer_request(struct model *m, int i)
{
    struct proxy *p = &m->proxies[i];
    struct store_request *r = &p->request;

    if (!r->pending || m->now < r->arrives_at) {
        return;
    }
    const uint64_t version = held_version(m, r->feed_lag);
    const bool changed = version != r->after;
    if (!r->full && !changed && m->now < r->hold_until) {
        return;
    }
    r->pending = false;
    if (r->lost || m->now < p->cut_until) {
        return;
    }
    struct event *e = add_event(m, EVENT_ANSWER, i, draw_delay(m));
    e->incarnation = p->incarnation;
    e->request = r->number;
    e->version = version;
    e->era = m->era;
    e->lists_changes = r->full || changed;
    e->full = r->full;
}

/* Applies a configuration unless it is older than the present one. */
static void
apply(struct proxy *p, uint64_t version)
{
    p->version = MAX(p->version, version);
    catalog_evidence_add_version(&p->evidence, version);
}

/* Returns the time for which a quorum of witnesses has answered a proxy. */
static clock_ms
answered_at(const struct model *m, int i)
{
    const struct proxy *p = &m->proxies[i];
    clock_ms best = -1;

    for (int k = 0; k < WITNESSES; k++) {
        int later = i < WITNESSES; /* itself */
        for (int o = 0; o < WITNESSES; o++) {
            later +=
                o != i && p->peers[o].answered_at >= p->peers[k].answered_at;
        }
        if (k != i && later >= QUORUM) {
            best = MAX(best, p->peers[k].answered_at);
        }
    }
    return best;
}

static void
receive_answer(struct model *m, const struct event *e)
{
    struct proxy *p = &m->proxies[e->to];
    const clock_ms now = local_time(m, e->to);

    if (e->incarnation != p->incarnation || e->era < p->era) {
        return; /* as if it had not been answered */
    }
    if (e->era > p->era) {
        const bool restored = p->era != 0;
        p->era = e->era;
        catalog_evidence_doubt_store(&p->evidence, now);
        if (restored) {
            p->feed_version = 0;
            p->loaded = false;
            send_request(m, e->to, true);
            return;
        }
    }
    if (e->request != p->request_number) {
        return;
    }
    p->loaded = true;
    p->feed_version = e->version;
    p->request_timeout_at = 0;
    apply(p, e->version);
    catalog_evidence_from_store(
        &p->evidence, e->version,
        e->full ? p->asked_at
                : catalog_evidence_feed_time(p->asked_at, p->wait_ms,
                                             e->lists_changes),
        answered_at(m, e->to));
    if (e->lists_changes) {
        p->next_request_at = m->now + BATCH_DELAY_MS;
    }
    else {
        send_request(m, e->to, false);
    }
}

/* Sends the message of one proxy to another. */
static void
send_message(struct model *m, int from, int to, bool reply)
{
    const struct proxy *p = &m->proxies[from];
    const clock_ms now = local_time(m, from);

    if (m->cut[from][to] || chance(m, m->calm ? 100 : 15)) {
        return;
    }
    struct event *e = add_event(m, EVENT_MESSAGE, to, draw_delay(m));
    e->from = from;
    e->reply = reply;
    e->sent_at = now;
    e->sender_incarnation = p->incarnation;
    e->claim = (struct catalog_claim){
        .version = p->version,
        .age_ms = reply ? catalog_evidence_age_ms(&p->evidence, now) : -1,
        .echo = p->peers[to].sent_at,
        .echo_incarnation = p->peers[to].incarnation,
    };
}

static void
receive_message(struct model *m, const struct event *e)
{
    struct proxy *p = &m->proxies[e->to];
    const clock_ms now = local_time(m, e->to);

    if (e->sender_incarnation < p->peers[e->from].incarnation ||
        (e->sender_incarnation == p->peers[e->from].incarnation &&
         e->sent_at < p->peers[e->from].sent_at)) {
        /* The agreement ignores it. */
        catalog_evidence_from_peer(&p->evidence, &e->claim, p->version, now);
        return;
    }
    p->peers[e->from].incarnation = e->sender_incarnation;
    p->peers[e->from].sent_at = e->sent_at;
    if (e->claim.echo_incarnation == p->incarnation) {
        p->peers[e->from].answered_at =
            MAX(p->peers[e->from].answered_at, e->claim.echo);
    }
    catalog_evidence_from_peer(&p->evidence, &e->claim, p->version, now);
    catalog_evidence_peers_answered(&p->evidence, answered_at(m, e->to));
    if (e->claim.version > p->version && p->newer_since == 0) {
        p->newer_since = m->now;
        p->newer_peer = e->from;
    }
    if (!e->reply) {
        send_message(m, e->to, e->from, true);
    }
}

/* Delivers what is due at running proxies. */
static void
deliver(struct model *m)
{
    for (int i = 0; i < EVENTS_MAX; i++) {
        struct event *e = &m->events[i];
        if (!e->used || m->now < e->at ||
            m->now < m->proxies[e->to].frozen_until) {
            continue;
        }
        const struct event due = *e;
        e->used = false;
        if (m->now < m->proxies[due.to].down_until) {
            continue;
        }
        if (due.type == EVENT_MESSAGE) {
            receive_message(m, &due);
        }
        else if (due.type == EVENT_ANSWER) {
            receive_answer(m, &due);
        }
        else if (due.incarnation == m->proxies[due.to].incarnation) {
            struct proxy *p = &m->proxies[due.to];
            apply(p, due.version);
            p->newer_since = 0;
#ifdef CATALOG_EVIDENCE_BREAK_COPY
            catalog_evidence_from_store(&p->evidence, due.version,
                                        local_time(m, due.to), CLOCK_NEVER);
#endif
        }
    }
}

/* Requests a copy of a peer's configuration. */
static void
request_copy(struct model *m, int i, int peer)
{
    if (m->cut[i][peer] || m->cut[peer][i] || !is_running(m, peer) ||
        m->proxies[peer].version == 0) {
        return;
    }
    struct event *e = add_event(m, EVENT_COPY, i, draw_delay(m));
    e->incarnation = m->proxies[i].incarnation;
    e->version = m->proxies[peer].version;
}

/* Does what a running proxy does on its timers. */
static void
tick(struct model *m, int i)
{
    struct proxy *p = &m->proxies[i];
    const clock_ms now = local_time(m, i);
    const int64_t age = catalog_evidence_age_ms(&p->evidence, now);

    if (p->request_timeout_at != 0 && m->now >= p->request_timeout_at) {
        p->request.pending = false;
        p->request_number++;
        p->request_timeout_at = 0;
        p->next_request_at = m->now + RETRY_DELAY_MS;
    }
    if (p->next_request_at != 0 && m->now >= p->next_request_at) {
        send_request(m, i, !p->loaded);
    }
    if ((age < 0 ? now - p->started_at : age) >=
            CATALOG_EVIDENCE_ASK_AFTER_MS &&
        now - p->refreshed_at >= CATALOG_EVIDENCE_ASK_AFTER_MS) {
        p->refreshed_at = now;
        send_request(m, i, !p->loaded);
    }
    if (now - p->messages_sent_at >= MESSAGE_INTERVAL_MS) {
        p->messages_sent_at = now;
        for (int k = 0; k < WITNESSES; k++) {
            if (k != i) {
                send_message(m, i, k, false);
            }
        }
    }
    if (p->newer_since != 0 && m->now - p->newer_since >= NEWER_WAIT_MS) {
        p->newer_since = m->now;
        request_copy(m, i, p->newer_peer);
    }
    if (p->version == 0 && chance(m, 20)) {
        request_copy(m, i, (int)rng_below(&m->rng, PROXIES));
    }
}

/* Starts a process: all that the one before knew is gone. */
static void
start(struct model *m, int i)
{
    struct proxy *p = &m->proxies[i];
    struct proxy fresh = {
        .incarnation = p->incarnation + 1,
        .clock_offset = p->clock_offset,
        .clock_ppm = p->clock_ppm,
        .wall_offset = p->wall_offset,
        .cut_until = p->cut_until,
        .down_until = p->down_until,
        .request_number = p->request_number,
    };

    *p = fresh;
    catalog_evidence_init(&p->evidence, p->incarnation, REVOCATION_MS);
    p->started_at = local_time(m, i);
    p->refreshed_at = p->started_at;
    p->messages_sent_at = p->started_at;
    send_request(m, i, true);
    /* Processing begins when the process is up. */
    p->request.arrives_at = MAX(p->request.arrives_at, p->down_until);
    p->request_timeout_at += MAX(p->down_until - m->now, 0);
}

/* The operator writes the next version. */
static void
write_version(struct model *m)
{
    m->newest++;
    m->acknowledged_at[m->newest] = m->now;
    m->held[m->held_count].version = m->newest;
    m->held[m->held_count].since = m->now;
    m->held_count++;
    if (m->lost_versions) {
        m->lost_versions = false;
        m->no_kill_until = m->now + AFTER_WRITE_MS;
    }
}

/* Lets the store come back from an older copy if the witnesses remember what
   it loses. */
static void
restore_store(struct model *m)
{
    const int back = (int)rng_below(&m->rng, 3);
    int knowing = 0;

    for (int i = 0; i < WITNESSES; i++) {
        knowing += m->proxies[i].version >= m->newest;
    }
    if (m->lost_versions || m->now < m->no_kill_until ||
        m->held_count <= back || knowing < WITNESSES / 2 + 1) {
        return;
    }
    const uint64_t version = m->held[m->held_count - 1 - back].version;
    m->era++;
    m->held_count = 1;
    m->held[0].version = version;
    m->held[0].since = m->now;
    m->lost_versions = version < m->newest;
    for (int i = 0; i < PROXIES; i++) {
        m->proxies[i].request.pending = false;
    }
}

static void
inject_fault(struct model *m)
{
    const int i = (int)rng_below(&m->rng, PROXIES);
    struct proxy *p = &m->proxies[i];

    switch (rng_below(&m->rng, 5)) {
    case 0:
        p->frozen_until = m->now + (chance(m, 3) ? between(m, 1000, 15000)
                                                 : between(m, 50, 2000));
        break;
    case 1:
        if (i < WITNESSES && (m->lost_versions || m->now < m->no_kill_until)) {
            break;
        }
        p->frozen_until = 0;
        p->down_until = m->now + between(m, 100, 3000);
        if (chance(m, 3)) { /* on another machine, with another boot clock */
            p->clock_offset += between(m, -10000, 10000);
        }
        start(m, i);
        break;
    case 2:
        p->cut_until = m->now + between(m, 200, 15000);
        p->request.pending = false;
        break;
    case 3:
        /* One or both directions between a few proxies. */
        m->cut_until = m->now + between(m, 200, 12000);
        for (int a = 0; a < PROXIES; a++) {
            for (int b = 0; b < PROXIES; b++) {
                m->cut[a][b] = chance(m, 3);
            }
        }
        break;
    default:
        p->wall_offset += between(m, -20000, 20000);
        break;
    }
}

/* Checks all running proxies. Returns false after a violation. */
static bool
check(struct model *m)
{
    for (int i = 0; i < PROXIES; i++) {
        const struct proxy *p = &m->proxies[i];
        if (!is_running(m, i)) {
            continue;
        }
        const bool fresh =
            catalog_evidence_is_fresh(&p->evidence, local_time(m, i));
        m->checks++;
        m->fresh += fresh;
        if (fresh && p->version < m->newest &&
            m->now + DELIVERY_MS - m->acknowledged_at[p->version + 1] >
                REVOCATION_MS) {
            printf("seed %llu: at %lld ms proxy %d is fresh with version "
                   "%llu; version %llu was acknowledged at %lld ms\n",
                   (unsigned long long)m->seed, (long long)m->now, i,
                   (unsigned long long)p->version,
                   (unsigned long long)p->version + 1,
                   (long long)m->acknowledged_at[p->version + 1]);
            return false;
        }
        if (!fresh && m->calm && m->now > 3000) {
            printf("seed %llu: at %lld ms proxy %d is not fresh without any "
                   "fault, age %lld ms\n",
                   (unsigned long long)m->seed, (long long)m->now, i,
                   (long long)catalog_evidence_age_ms(&p->evidence,
                                                      local_time(m, i)));
            return false;
        }
    }
    return true;
}

static void
step(struct model *m)
{
    if (m->now >= m->next_write_at && m->newest + 1 < VERSIONS_MAX) {
        write_version(m);
        m->next_write_at = m->now + between(m, 300, 9000);
    }
    if (!m->calm && m->now >= m->next_fault_at) {
        inject_fault(m);
        m->next_fault_at = m->now + between(m, 100, 3000);
    }
    if (!m->calm && m->now >= m->next_restore_at) {
        restore_store(m);
        m->next_restore_at = m->now + between(m, 500, 10000);
    }
    if (m->now >= m->cut_until) {
        memset(m->cut, 0, sizeof(m->cut));
    }
    for (int i = 0; i < PROXIES; i++) {
        answer_request(m, i);
    }
    deliver(m);
    for (int i = 0; i < PROXIES; i++) {
        if (is_running(m, i)) {
            tick(m, i);
        }
    }
}

/* Runs one seed. Every fourth one has no faults. Returns false after a
   violation. */
static bool
run(struct model *m, uint64_t seed)
{
    memset(m, 0, sizeof(*m));
    rng_seed(&m->rng, seed);
    m->seed = seed;
    m->calm = seed % 4 == 0;
    m->era = 1;
    m->held_count = 1;
    m->held[0].version = ++m->newest;
    m->next_write_at = between(m, 300, 9000);
    m->next_fault_at = between(m, 100, 3000);
    m->next_restore_at = between(m, 3000, 15000);
    for (int i = 0; i < PROXIES; i++) {
        m->proxies[i].clock_offset = between(m, 1000000, 2000000);
        m->proxies[i].clock_ppm = (int)between(m, -2000, 2000);
        start(m, i);
    }
    for (; m->now < RUN_MS; m->now += STEP_MS) {
        /* Before a proxy that continues has read what has arrived, too. */
        if (!check(m)) {
            return false;
        }
        step(m);
        if (!check(m)) {
            return false;
        }
    }
    return true;
}

int
main(int argc, char **argv)
{
    static struct model m;
    long fresh = 0;
    long checks = 0;

    if (argc != 3) {
        fprintf(stderr, "usage: model_catalog_evidence FIRST_SEED COUNT\n");
        return 2;
    }
    const uint64_t first = strtoull(argv[1], NULL, 10);
    const uint64_t count = strtoull(argv[2], NULL, 10);
    for (uint64_t seed = first; seed < first + count; seed++) {
        if (!run(&m, seed)) {
            return 1;
        }
        if (!m.calm) {
            fresh += m.fresh;
            checks += m.checks;
        }
    }
    printf("%llu seeds; with faults, proxies were fresh in %ld of %ld checks "
           "(%.1f %%)\n",
           (unsigned long long)count, fresh, checks,
           checks == 0 ? 0.0 : 100.0 * (double)fresh / (double)checks);
    /* A model in which nobody is ever fresh shows nothing. One seed may have
       long faults. */
    return count < 100 || fresh * 2 >= checks ? 0 : 1;
}
