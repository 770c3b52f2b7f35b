#include "base/rng.h"
#include "coordination/promoter.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Randomised simulation of changes of primary: three proxies with the real
   agreement and promoter, a store that holds the view, the platform that takes
   orders, and one service of three members. It has no network; time passes in
   steps of STEP_MS.

     model_primary_change FIRST_SEED COUNT [restored|emptied|held]

   With restored, the store is away at times and comes back from an older copy.
   With emptied, replicas start again with an empty log. With held, a cut often
   holds an order up on its way; the sender's kernel drops it after
   AGREEMENT_ORDER_LIFE_MS, or when the process ends.
   Exit status 1 if a rule was broken:

   ONE   a proxy uses a member after a member of a later term was promoted
   LOST  with synchronous commits, a promoted member lacks an acknowledged one;
         a commit is acknowledged once a replica has received it
   TERM  the term of a published primary goes down
   FENCE two proxies order a promotion with the same fence, or the platform
         receives an order with a lower one than before
   DEAD  after the last fault, no primary serves within RECOVERY_MS */

#define STEP_MS 5
#define FAULTS_MS 20000
/* Longest wait for another holder, plus the longest wait for replicas. */
#define RECOVERY_MS 24000
#define PROXIES 3
#define MEMBERS 3
#define LOG_MAX 4000
#define EVENTS_MAX 512
#define PENDING_MAX 512
#define FENCES_MAX 512
#define COPIES_MAX 1024
#define TICK_MS 25
#define MESSAGE_MS 400
#define CONFIRM_MS 300
#define UNREACHABLE_MS 400
#define RECENT_START_MS 30000
#define SERVICE "db"

static const char *const proxy_names[PROXIES] = {"a", "b", "c"};
static const char *const member_names[MEMBERS] = {"m0", "m1", "m2"};

/* An entry of a log; equal ids mean the same entry. */
struct entry {
    uint64_t term;
    uint32_t id;
    clock_ms at;
};

struct member {
    bool primary;
    uint64_t term;
    struct entry log[LOG_MAX];
    int length;
    clock_ms down_until; /* answers nobody */
    clock_ms cut_until;  /* answers no proxy, but replicates */
    clock_ms deaf_until; /* receives nothing */
    int64_t lag_ms;
    bool draining;
    clock_ms unlisted_until;    /* the directory has no entry of it */
    clock_ms sees_newer_since;  /* as a replaced primary; 0 if not */
    int64_t started_at;         /* changes when it starts with an empty log */
    clock_ms started_listed_at; /* when the directory shows that */
    int refill_length;          /* until it has that, it may lack commits that
                                   it has confirmed */
};

/* A commit that no replica has received yet. */
struct pending_commit {
    uint32_t id;
    uint64_t term;
    int member;
    int proxy;
    uint64_t incarnation;
    clock_ms at;
};

/* Versions of the row of the view, and of the row that says in which era the
   view was written. */
struct row_versions {
    uint64_t view;
    uint64_t marker_era;
    uint64_t marker;
};

enum event_kind {
    EVENT_MESSAGE,
    EVENT_QUERY,     /* arrives at the member */
    EVENT_REPORT,    /* arrives at the proxy */
    EVENT_CONNECTED, /* an order can be sent */
    EVENT_ORDER,     /* arrives at the platform */
    EVENT_ORDERED,
    EVENT_PROMOTION,
    EVENT_WRITE, /* of the view, arrives at the store */
    EVENT_WRITTEN,
    EVENT_READ, /* of the view, has been answered */
};

struct event {
    enum event_kind kind;
    clock_ms at;
    int proxy;
    uint64_t incarnation;
    int member;
    uint64_t number; /* demote_term or fence */
    uint64_t round;
    bool ok;
    bool lost;            /* its answer */
    bool held;            /* an order, by a cut */
    clock_ms valid_until; /* of an order */
    enum order_result result;
    struct member_report report;
    struct agreement_message *message;
    struct token position; /* of the primary, known to the sender */
    clock_ms position_at;
    struct view *view;
    clock_ms asked_at;
    uint64_t era; /* of the store: known by the writer, or of the answer */
    struct row_versions rows; /* expected, or those of the answer */
};

/* The view as the store held it from a time on. */
struct copy {
    clock_ms at;
    struct view view;
    struct row_versions rows;
    uint64_t counter;
};

struct proxy {
    struct agreement *agreement;
    struct promoter *promoter;
    uint64_t incarnation;
    clock_ms start_at; /* 0 while it runs */
    clock_ms frozen_until;
    clock_ms stop_at; /* leaving until then; 0 if not */
    clock_ms store_fault_until;
    clock_ms apart_until; /* exchanges no messages with the others */
    clock_ms tick_at;
    clock_ms message_at;
    clock_ms asked_at;
    uint64_t sent_version;
    struct token primary_position; /* in the newest answer of a primary */
    clock_ms primary_position_at;
    uint64_t era;             /* of the store, as far as it knows */
    struct row_versions rows; /* in that era */
};

static struct {
    struct rng rng;
    uint64_t seed;
    clock_ms now;
    struct proxy proxies[PROXIES];
    struct member members[MEMBERS];
    struct event events[EVENTS_MAX];
    int event_count;
    struct view stored;
    struct row_versions rows;
    uint64_t counter; /* of the store */
    uint64_t era;
    bool restored_store; /* play losses */
    clock_ms restore_at; /* the store comes back then; 0 while it is there */
    int copy_count;
    uint64_t fences[FENCES_MAX]; /* of orders */
    int fence_proxies[FENCES_MAX];
    int fence_count;
    uint64_t newest_term;
    uint64_t published_term;
    uint64_t newest_commit_term;
    int64_t promotion_ms;
    int sync_replicas;
    bool emptied_members; /* replicas start again with an empty log */
    bool held_orders;
    uint64_t newest_fence; /* that the platform has received */
    uint32_t next_id;
    uint32_t acked[LOG_MAX]; /* ids of acknowledged entries */
    int acked_count;
    struct pending_commit pending[PENDING_MAX];
    int pending_count;
    const char *broken;
} w;

/* The last states of the store, kept apart since they are large. */
static struct copy copies[COPIES_MAX];

static void
fail(const char *rule)
{
    if (w.broken == NULL) {
        printf("seed %llu: %s at %lld ms\n", (unsigned long long)w.seed, rule,
               (long long)w.now);
        w.broken = rule;
    }
}

static bool
chance(unsigned percent)
{
    return rng_below(&w.rng, 100) < percent;
}

static clock_ms
delay(unsigned min, unsigned max)
{
    return w.now + min + (clock_ms)rng_below(&w.rng, max - min + 1);
}

static void
schedule(struct event e)
{
    if (w.event_count == EVENTS_MAX) {
        fprintf(stderr, "too many events\n");
        exit(2);
    }
    w.events[w.event_count++] = e;
}

static bool
is_up(const struct member *m)
{
    return w.now >= m->down_until;
}

static bool
answers(const struct member *m)
{
    return is_up(m) && w.now >= m->cut_until;
}

static bool
runs(const struct proxy *p)
{
    return p->start_at == 0 && w.now >= p->frozen_until;
}

static int
index_of(const char *const *names, int n, const char *name)
{
    for (int i = 0; i < n; i++) {
        if (strcmp(names[i], name) == 0) {
            return i;
        }
    }
    return -1;
}

/* Actions of the promoters. */

static void
on_write_view(void *ctx, const struct view *next)
{
    struct proxy *p = ctx;
    const bool lost = chance(5) || w.now < p->store_fault_until;

    schedule(
        (struct event){.kind = EVENT_WRITE,
                       .at = delay(5, 15),
                       .proxy = (int)(p - w.proxies),
                       .incarnation = p->incarnation,
                       .ok = !(w.now < p->store_fault_until && chance(80)),
                       .lost = lost,
                       .view = g_memdup2(next, sizeof(*next)),
                       .asked_at = w.now,
                       .era = p->era,
                       .rows = p->rows});
}

static void
on_query(void *ctx, const char *service, const char *member,
         uint64_t demote_term, uint64_t round)
{
    struct proxy *p = ctx;

    (void)service;
    schedule((struct event){.kind = EVENT_QUERY,
                            .at = delay(1, 15),
                            .proxy = (int)(p - w.proxies),
                            .incarnation = p->incarnation,
                            .member = index_of(member_names, MEMBERS, member),
                            .number = demote_term,
                            .round = round});
}

/* Checks that no other proxy has used the fence. */
static void
check_fence(uint64_t fence, int proxy)
{
    for (int i = 0; i < w.fence_count; i++) {
        if (w.fences[i] == fence && w.fence_proxies[i] != proxy) {
            fail("FENCE");
        }
    }
    if (w.fence_count < FENCES_MAX) {
        w.fences[w.fence_count] = fence;
        w.fence_proxies[w.fence_count++] = proxy;
    }
}

static void
on_order(void *ctx, const char *service, const char *member, uint64_t fence,
         clock_ms valid_until)
{
    struct proxy *p = ctx;

    (void)service;
    check_fence(fence, (int)(p - w.proxies));
    schedule((struct event){
        .kind = w.held_orders ? EVENT_CONNECTED : EVENT_ORDER,
        .at =
            w.held_orders ? w.now + STEP_MS : delay(1, chance(10) ? 400 : 10),
        .proxy = (int)(p - w.proxies),
        .incarnation = p->incarnation,
        .member = index_of(member_names, MEMBERS, member),
        .number = fence,
        .lost = chance(20),
        .valid_until = valid_until,
    });
}

/* Sends an order whose connection is established, unless it has become
   invalid. */
static void
send_order(const struct event *e)
{
    struct event order = *e;
    struct event answer = *e;

    order.kind = EVENT_ORDER;
    order.held = chance(50);
    order.at = delay(1, order.held ? 2000 : 10);
    answer.kind = EVENT_ORDERED;
    answer.result = ORDER_FAILED;
    if (w.now >= e->valid_until) {
        schedule(answer);
    }
    else if (order.at - w.now > AGREEMENT_ORDER_LIFE_MS) {
        answer.at = w.now + AGREEMENT_ORDER_LIFE_MS;
        schedule(answer);
    }
    else {
        schedule(order);
    }
}

/* Drops the orders that are held up on the way when their sender ends. */
static void
drop_held_orders(const struct proxy *p)
{
    for (int i = 0; i < w.event_count;) {
        const struct event *e = &w.events[i];
        if (e->kind == EVENT_ORDER && e->held &&
            e->proxy == (int)(p - w.proxies)) {
            w.events[i] = w.events[--w.event_count];
        }
        else {
            i++;
        }
    }
}

static void
start_proxy(struct proxy *p)
{
    struct agreement_peer peers[PROXIES];
    const struct promoter_actions actions = {.write_view = on_write_view,
                                             .query = on_query,
                                             .order = on_order,
                                             .ctx = p};
    const int i = (int)(p - w.proxies);

    for (int k = 0; k < PROXIES; k++) {
        peers[k] = (struct agreement_peer){.name = proxy_names[k],
                                           .failure_domain = proxy_names[k]};
    }
    if (p->agreement != NULL) {
        promoter_destroy(p->promoter);
        agreement_destroy(p->agreement);
    }
    const clock_ms store_fault_until = p->store_fault_until;
    const uint64_t incarnation = p->incarnation + 1;
    *p = (struct proxy){.incarnation = incarnation,
                        .store_fault_until = store_fault_until};
    p->agreement = agreement_create(proxy_names[i], p->incarnation, w.now);
    agreement_set_peers(p->agreement, peers, PROXIES, w.now);
    agreement_set_known_to_peers(p->agreement);
    p->promoter = promoter_create(proxy_names[i], p->agreement, &actions);
    p->tick_at = w.now + (clock_ms)rng_below(&w.rng, TICK_MS);
}

/* Sends messages to the other proxies. */
static void
send_messages(struct proxy *p)
{
    const int i = (int)(p - w.proxies);

    p->message_at = w.now + MESSAGE_MS;
    p->sent_version = agreement_view(p->agreement)->version;
    for (int k = 0; k < PROXIES; k++) {
        struct agreement_message *m;
        struct service_set unreachable = {0};
        if (k == i || chance(3) || w.now < p->apart_until) {
            continue;
        }
        const struct view *v = agreement_view(p->agreement);
        const int primary = v->count > 0 ? index_of(member_names, MEMBERS,
                                                    v->entries[0].primary)
                                         : -1;
        if (primary >= 0 && !v->entries[0].changing &&
            !answers(&w.members[primary])) {
            service_set_add(&unreachable, 0);
        }
        m = g_new0(struct agreement_message, 1);
        agreement_compose_message(p->agreement, proxy_names[k], &unreachable,
                                  p->stop_at != 0 ||
                                      promoter_is_blocked(p->promoter, w.now),
                                  w.now, m);
        m->store_lost = w.now < p->store_fault_until || w.restore_at != 0;
        schedule((struct event){.kind = EVENT_MESSAGE,
                                .at = delay(1, 4),
                                .proxy = k,
                                .message = m,
                                .position = p->primary_position,
                                .position_at = p->primary_position_at});
    }
}

/* Reports the view as applied. The model's statements take no time, so only
   orders of earlier holders can be in progress. */
static void
update_applied(struct proxy *p)
{
    const struct view *v = agreement_view(p->agreement);

    if (promoter_order_count(p->promoter, v->fence) == 0) {
        agreement_set_applied(p->agreement, v->version);
    }
}

static void
adopt(struct proxy *p, const struct view *v)
{
    if (agreement_adopt_view(p->agreement, v)) {
        update_applied(p);
        send_messages(p);
    }
}

static bool
log_has(const struct member *m, uint32_t id)
{
    for (int i = m->length - 1; i >= 0; i--) {
        if (m->log[i].id == id) {
            return true;
        }
    }
    return false;
}

static void
promote(struct member *m)
{
    if (!is_up(m) || (m->primary && m->term == w.newest_term)) {
        return;
    }
    m->term = ++w.newest_term;
    m->primary = true;
    m->sees_newer_since = 0;
    for (int i = 0; w.sync_replicas > 0 && i < w.acked_count; i++) {
        if (!log_has(m, w.acked[i])) {
            fail("LOST");
        }
    }
}

/* Remembers the state of the store. */
static void
keep_copy(void)
{
    struct copy *c = &copies[w.copy_count++ % COPIES_MAX];

    *c = (struct copy){.at = w.now, .rows = w.rows, .counter = w.counter};
    c->view = w.stored;
}

/* The store comes back from a copy that is lost_ms old or older. */
static void
restore_store(clock_ms lost_ms)
{
    while (w.copy_count > 1 &&
           w.now - copies[(w.copy_count - 1) % COPIES_MAX].at < lost_ms) {
        w.copy_count--;
    }
    w.stored = copies[(w.copy_count - 1) % COPIES_MAX].view;
    w.rows = copies[(w.copy_count - 1) % COPIES_MAX].rows;
    w.counter = copies[(w.copy_count - 1) % COPIES_MAX].counter;
    w.era++;
}

/* Returns true if the condition of a write holds. */
static bool
condition_holds(const struct event *e)
{
    return w.restored_store ? memcmp(&e->rows, &w.rows, sizeof(w.rows)) == 0
                            : e->view->version == w.stored.version + 1;
}

static void
store_write(const struct event *e)
{
    const bool done = e->ok && w.restore_at == 0 && condition_holds(e);

    if (done) {
        const struct view_entry *entry = &e->view->entries[0];
        if (e->view->count > 0 && !entry->changing) {
            if (entry->term < w.published_term) {
                fail("TERM");
            }
            w.published_term = MAX(w.published_term, entry->term);
        }
        w.stored = *e->view;
        w.rows.view = ++w.counter;
        if (w.rows.marker_era != e->era) {
            w.rows.marker_era = e->era;
            w.rows.marker = w.counter;
        }
        keep_copy();
    }
    struct event answer = *e;
    answer.era = w.era;
    answer.rows = w.rows;
    answer.kind = EVENT_WRITTEN;
    answer.at = e->lost ? w.now + 400 : delay(2, 5);
    answer.ok = done && !e->lost;
    answer.view = g_memdup2(e->view, sizeof(*e->view));
    schedule(answer);
}

static void
member_query(const struct event *e)
{
    struct member *m = &w.members[e->member];
    struct event answer = *e;
    const int last = m->length - 1;

    answer.kind = EVENT_REPORT;
    answer.ok = answers(m) && !chance(5);
    answer.at = answer.ok ? delay(1, 15) : w.now + 280;
    if (answer.ok) {
        if (e->number > 0 && m->primary && m->term < e->number) {
            m->primary = false;
            m->term = e->number;
        }
        answer.report = (struct member_report){
            .primary = m->primary,
            .term = m->term,
            .received_term = last >= 0 ? m->log[last].term : 1,
            .received_position = (uint64_t)m->length,
        };
    }
    schedule(answer);
}

static void
platform_order(const struct event *e)
{
    struct event answer = *e;
    const bool refused = chance(5);
    const bool up = is_up(&w.members[e->member]);

    if (e->number < w.newest_fence) {
        fail("FENCE");
    }
    w.newest_fence = MAX(w.newest_fence, e->number);

    answer.kind = EVENT_ORDERED;
    answer.result = refused ? ORDER_FAILED
                    : up    ? ORDER_DONE
                            : ORDER_NOT_RUNNING;
    answer.at = e->lost ? w.now + 1500 : delay(1, 5);
    if (e->lost) {
        answer.result = ORDER_FAILED;
    }
    schedule(answer);
    if (up && !refused) {
        schedule((struct event){.kind = EVENT_PROMOTION,
                                .at = w.now + w.promotion_ms,
                                .member = e->member});
    }
}

/* Follows the store into the era of an answer. Returns false if the answer is
   from an earlier one. */
static bool
follow_era(struct proxy *p, const struct event *e)
{
    if (e->era < p->era) {
        return false;
    }
    if (e->era > p->era) {
        p->era = e->era;
        p->rows.view = 0;
        agreement_set_store_era(p->agreement, e->era, w.now);
    }
    if (e->rows.view > p->rows.view) {
        p->rows = e->rows;
    }
    return true;
}

/* Handles the answer to a write of the view. One of a later era than the
   write's condition was about another row; then the row is read. */
static void
handle_written(struct proxy *p, const struct event *e, uint64_t known_era)
{
    const bool ok = e->ok && e->era == known_era;

    if (ok) {
        adopt(p, e->view);
    }
    else if (w.now >= p->store_fault_until && w.restore_at == 0) {
        struct event read = {.era = w.era, .rows = w.rows};
        follow_era(p, &read);
        adopt(p, &w.stored);
    }
    promoter_view_written(p->promoter, ok);
}

/* Handles an event that is due. Returns false if its proxy is suspended; it is
   then delivered later. */
static bool
handle(struct event *e)
{
    struct proxy *p = &w.proxies[e->proxy];
    const bool to_proxy =
        e->kind == EVENT_MESSAGE || e->kind == EVENT_REPORT ||
        e->kind == EVENT_ORDERED || e->kind == EVENT_CONNECTED ||
        e->kind == EVENT_WRITTEN || e->kind == EVENT_READ;

    if (to_proxy && p->start_at == 0 && w.now < p->frozen_until) {
        return false;
    }
    if (to_proxy && (p->start_at != 0 || (e->kind != EVENT_MESSAGE &&
                                          e->incarnation != p->incarnation))) {
        return true;
    }
    switch (e->kind) {
    case EVENT_MESSAGE:
        if (w.now < p->apart_until) {
            break;
        }
        if (e->position_at > p->primary_position_at) {
            p->primary_position = e->position;
            p->primary_position_at = e->position_at;
        }
        if (agreement_receive(p->agreement, e->message, w.now)) {
            update_applied(p);
            send_messages(p);
        }
        break;
    case EVENT_QUERY:
        member_query(e);
        break;
    case EVENT_REPORT:
        promoter_member_answered(p->promoter, SERVICE, member_names[e->member],
                                 e->round, e->ok ? &e->report : NULL, w.now);
        break;
    case EVENT_CONNECTED:
        send_order(e);
        break;
    case EVENT_ORDER:
        platform_order(e);
        break;
    case EVENT_ORDERED:
        promoter_order_answered(p->promoter, SERVICE, e->result, w.now);
        break;
    case EVENT_PROMOTION:
        promote(&w.members[e->member]);
        break;
    case EVENT_WRITE:
        store_write(e);
        break;
    case EVENT_WRITTEN: {
        const uint64_t known_era = p->era;
        if (e->lost || !follow_era(p, e)) {
            e->ok = false;
        }
        handle_written(p, e, known_era);
        break;
    }
    case EVENT_READ:
        if (!follow_era(p, e)) {
            break;
        }
        adopt(p, e->view);
        agreement_confirm_by_store(p->agreement, e->view->version, e->asked_at,
                                   true);
        break;
    }
    return true;
}

static void
event_free(struct event *e)
{
    g_free(e->message);
    g_free(e->view);
}

static void
run_events(void)
{
    for (int i = 0; i < w.event_count;) {
        if (w.events[i].at > w.now) {
            i++;
            continue;
        }
        struct event e = w.events[i];
        memmove(&w.events[i], &w.events[i + 1],
                (size_t)(w.event_count - i - 1) * sizeof(e));
        w.event_count--;
        if (handle(&e)) {
            event_free(&e);
        }
        else {
            e.at = w.proxies[e.proxy].frozen_until;
            schedule(e);
        }
    }
}

/* Returns the primary of the newest term, or NULL. */
static struct member *
newest_primary(void)
{
    for (int i = 0; i < MEMBERS; i++) {
        if (w.members[i].primary && w.members[i].term == w.newest_term) {
            return &w.members[i];
        }
    }
    return NULL;
}

static void
replicate(void)
{
    struct member *p = newest_primary();

    for (int i = 0; i < MEMBERS; i++) {
        struct member *m = &w.members[i];
        if (p == NULL || m == p || !is_up(m) || !is_up(p)) {
            m->sees_newer_since = 0;
            continue;
        }
        if (m->primary) {
            if (m->sees_newer_since == 0) {
                m->sees_newer_since = w.now;
            }
            if (w.now - m->sees_newer_since < 1000) {
                continue;
            }
            m->primary = false;
        }
        if (w.now < m->deaf_until) {
            continue;
        }
        int same = 0;
        while (same < m->length && same < p->length &&
               m->log[same].id == p->log[same].id) {
            same++;
        }
        m->length = same;
        m->term = MAX(m->term, p->term);
        while (m->length < p->length &&
               p->log[m->length].at + 8 + m->lag_ms <= w.now) {
            m->log[m->length] = p->log[m->length];
            m->length++;
        }
    }
}

/* A proxy writes through the primary that it follows. Statements take no time;
   with synchronous commits the replica with the shortest delay receives the
   entry at once. */
static void
use_primary(struct proxy *p)
{
    const struct view *v = agreement_view(p->agreement);

    if (v->count == 0 || v->entries[0].changing ||
        !agreement_lease_is_valid(p->agreement, w.now)) {
        return;
    }
    const int i = index_of(member_names, MEMBERS, v->entries[0].primary);
    struct member *m = &w.members[i];
    if (i < 0 || !answers(m) || !m->primary || m->length == LOG_MAX ||
        w.acked_count == LOG_MAX) {
        return;
    }
    if (m->term < w.newest_term) {
        fail("ONE");
    }
    const struct entry e = {.term = m->term, .id = ++w.next_id, .at = w.now};
    m->log[m->length++] = e;
    w.newest_commit_term = MAX(w.newest_commit_term, e.term);
    if (w.sync_replicas > 0 && w.pending_count < PENDING_MAX) {
        w.pending[w.pending_count++] =
            (struct pending_commit){.id = e.id,
                                    .term = e.term,
                                    .member = i,
                                    .proxy = (int)(p - w.proxies),
                                    .incarnation = p->incarnation,
                                    .at = w.now};
    }
}

/* Returns true if a proxy passes the answer to a commit on: it still follows
   the member, or it had no reason yet to assume that others do not. */
static bool
passes_answer_on(const struct pending_commit *c)
{
    const struct proxy *p = &w.proxies[c->proxy];
    const struct view *v = agreement_view(p->agreement);

    return runs(p) && p->incarnation == c->incarnation && v->count > 0 &&
           !v->entries[0].changing &&
           strcmp(v->entries[0].primary, member_names[c->member]) == 0 &&
           agreement_lease_is_valid(p->agreement, w.now);
}

/* Acknowledges the commits that a replica has received. A proxy that does not
   run meanwhile receives the answer later, and does not pass it on. */
static void
acknowledge_commits(void)
{
    for (int i = 0; i < w.pending_count;) {
        const struct pending_commit *c = &w.pending[i];
        const struct member *m = &w.members[c->member];
        bool received = false;
        for (int k = 0; k < MEMBERS; k++) {
            received =
                received || (k != c->member && log_has(&w.members[k], c->id));
        }
        const bool open = answers(m) && m->primary && m->term == c->term;
        if (open && !received) {
            i++;
            continue;
        }
        if (open && passes_answer_on(c) && w.acked_count < LOG_MAX) {
            struct proxy *p = &w.proxies[c->proxy];
            w.acked[w.acked_count++] = c->id;
            p->primary_position =
                (struct token){.term = c->term,
                               .position = (uint64_t)m->length,
                               .known = true};
            p->primary_position_at = c->at;
        }
        w.pending[i] = w.pending[--w.pending_count];
    }
}

static void
tick_proxy(struct proxy *p)
{
    struct service_member list[MEMBERS];
    const struct view *v = agreement_view(p->agreement);
    const int primary =
        v->count > 0 ? index_of(member_names, MEMBERS, v->entries[0].primary)
                     : -1;

    p->tick_at = w.now + TICK_MS;
    if (w.now >= p->store_fault_until && w.restore_at == 0 &&
        w.now - agreement_confirmed_at(p->agreement) >= CONFIRM_MS &&
        w.now - p->asked_at >= CONFIRM_MS) {
        p->asked_at = w.now;
        schedule((struct event){
            .kind = EVENT_READ,
            .at = delay(4, 12),
            .proxy = (int)(p - w.proxies),
            .incarnation = p->incarnation,
            .view = g_memdup2(&w.stored, sizeof(w.stored)),
            .asked_at = w.now,
            .era = w.era,
            .rows = w.rows,
        });
    }
    update_applied(p);
    promoter_set_store_lost(p->promoter,
                            w.now < p->store_fault_until || w.restore_at != 0);
    if (w.now >= p->message_at ||
        p->sent_version != agreement_view(p->agreement)->version) {
        send_messages(p);
    }
    if (p->stop_at != 0) {
        return;
    }
    for (int i = 0; i < MEMBERS; i++) {
        list[i] = (struct service_member){
            .id = member_names[i],
            .listed = w.now >= w.members[i].unlisted_until,
            .draining = w.members[i].draining,
            .says_primary = w.members[i].primary,
            .started_at = w.now >= w.members[i].started_listed_at
                              ? w.members[i].started_at
                              : 1,
            .started_recently =
                w.now >= w.members[i].started_listed_at &&
                w.now - w.members[i].started_at < RECENT_START_MS,
        };
    }
    const struct service_state state = {
        .members = list,
        .member_count = MEMBERS,
        .sync_replicas = w.sync_replicas,
        .newest_commit_term = w.newest_commit_term,
        .primary_position = p->primary_position,
        .primary_position_at = p->primary_position_at,
        .primary_unreachable = primary >= 0 && !answers(&w.members[primary]),
    };
    promoter_tick(p->promoter, SERVICE, &state, w.now);
    promoter_end_round(p->promoter, w.now);
}

static void
run_proxy(struct proxy *p)
{
    if (p->start_at != 0 && w.now >= p->start_at) {
        start_proxy(p);
    }
    if (p->stop_at != 0 && w.now >= p->stop_at) {
        p->start_at = w.now + 300;
        p->stop_at = 0;
        drop_held_orders(p);
    }
    if (!runs(p)) {
        return;
    }
    if (w.now >= p->tick_at) {
        tick_proxy(p);
    }
    if (chance(10)) {
        use_primary(p);
    }
}

/* Returns true if a promotion is on its way. */
static bool
is_ordering(void)
{
    for (int i = 0; i < w.event_count; i++) {
        const enum event_kind kind = w.events[i].kind;
        if (kind == EVENT_WRITE || kind == EVENT_ORDER ||
            kind == EVENT_PROMOTION) {
            return true;
        }
    }
    return w.stored.entries[0].ordered[0] != '\0';
}

/* A replica starts again with an empty log. It does so only while all others
   hold what they have confirmed; the primary then often crashes. */
static void
empty_replica(void)
{
    struct member *p = newest_primary();
    struct member *m = &w.members[rng_below(&w.rng, MEMBERS)];

    for (int i = 0; i < MEMBERS; i++) {
        const struct member *other = &w.members[i];
        if (other->length < other->refill_length) {
            return;
        }
    }
    if (p == NULL || p == m || m->primary || !is_up(p) || is_ordering()) {
        return; /* it could be promoted without a log */
    }
    m->refill_length = p->length;
    m->length = 0;
    m->term = 0;
    m->started_at = w.now;
    m->down_until = delay(50, 800);
    m->started_listed_at = m->down_until + (clock_ms)rng_below(&w.rng, 1500);
    if (chance(60)) {
        p->down_until = delay(200, 3500);
    }
}

/* Disturbs a member or a proxy; often the holder or the primary. */
static void
inject_fault(void)
{
    const struct member *newest = newest_primary();
    int i = (int)rng_below(&w.rng, MEMBERS);
    int k = index_of(proxy_names, PROXIES, w.stored.holder);

    if (newest != NULL && chance(60)) {
        i = (int)(newest - w.members);
    }
    if (k < 0 || chance(40)) {
        k = (int)rng_below(&w.rng, PROXIES);
    }
    struct member *m = &w.members[i];
    struct proxy *p = &w.proxies[k];
    const clock_ms end = delay(200, 3500);
    if (w.emptied_members && chance(10)) {
        empty_replica();
        return;
    }
    if (w.held_orders && chance(20)) {
        /* Cut off from all but the service that takes orders. */
        p->apart_until = end;
        p->store_fault_until = end;
        return;
    }
    switch (rng_below(&w.rng, 11)) {
    case 0:
        m->down_until = end;
        break;
    case 1:
        m->cut_until = end;
        break;
    case 2:
        m->deaf_until = end;
        break;
    case 3:
        m->lag_ms = (int64_t)rng_below(&w.rng, 1500);
        break;
    case 4:
        m->draining = !m->draining;
        break;
    case 5:
        if (p->start_at == 0) {
            p->start_at = w.now + 300; /* killed */
            drop_held_orders(p);
        }
        break;
    case 6:
        p->frozen_until = end;
        break;
    case 7:
        p->store_fault_until = end;
        break;
    case 8:
        m->unlisted_until = end;
        break;
    case 9: /* leaves, and is back later with its log */
        m->draining = true;
        m->down_until = end;
        m->unlisted_until = end;
        break;
    default:
        if (p->start_at == 0 && p->stop_at == 0) {
            p->stop_at = w.now + 2500; /* stopped in order */
            send_messages(p);
        }
    }
}

static void
end_faults(void)
{
    for (int i = 0; i < MEMBERS; i++) {
        struct member *m = &w.members[i];
        m->down_until = MIN(m->down_until, w.now);
        m->cut_until = MIN(m->cut_until, w.now);
        m->deaf_until = MIN(m->deaf_until, w.now);
        m->lag_ms = 0;
        m->draining = false;
        m->unlisted_until = MIN(m->unlisted_until, w.now);
    }
    for (int k = 0; k < PROXIES; k++) {
        struct proxy *p = &w.proxies[k];
        p->frozen_until = MIN(p->frozen_until, w.now);
        p->store_fault_until = MIN(p->store_fault_until, w.now);
        p->apart_until = MIN(p->apart_until, w.now);
    }
}

/* With restored, lets the store go away now and then, and come back. */
static void
run_store(bool faults)
{
    if (!w.restored_store) {
        return;
    }
    if (w.restore_at != 0 && (w.now >= w.restore_at || !faults)) {
        w.restore_at = 0;
        restore_store((clock_ms)rng_below(&w.rng, 9000));
    }
    else if (w.restore_at == 0 && faults && rng_below(&w.rng, 800) == 0) {
        w.restore_at = delay(20, 2500);
    }
}

/* Returns true if all proxies follow the primary of the newest term. */
static bool
is_settled(void)
{
    for (int k = 0; k < PROXIES; k++) {
        const struct proxy *p = &w.proxies[k];
        const struct view *v = agreement_view(p->agreement);
        const int i = v->count > 0 ? index_of(member_names, MEMBERS,
                                              v->entries[0].primary)
                                   : -1;
        if (!runs(p) || i < 0 || v->entries[0].changing ||
            !w.members[i].primary || w.members[i].term != w.newest_term ||
            !agreement_lease_is_valid(p->agreement, w.now)) {
            return false;
        }
    }
    return true;
}

static void
run_seed(uint64_t seed, const char *mode)
{
    const bool restored_store = strcmp(mode, "restored") == 0;
    const bool emptied_members = strcmp(mode, "emptied") == 0;

    for (int k = 0; k < PROXIES; k++) {
        if (w.proxies[k].agreement != NULL) {
            promoter_destroy(w.proxies[k].promoter);
            agreement_destroy(w.proxies[k].agreement);
        }
    }
    for (int i = 0; i < w.event_count; i++) {
        event_free(&w.events[i]);
    }
    memset(&w, 0, sizeof(w));
    w.seed = seed;
    rng_seed(&w.rng, seed);
    w.now = 100000;
    w.newest_term = 1;
    w.promotion_ms = 100 + (int64_t)rng_below(&w.rng, 1100);
    w.sync_replicas = chance(50) || emptied_members;
    w.emptied_members = emptied_members;
    w.held_orders = strcmp(mode, "held") == 0;
    for (int i = 0; i < MEMBERS; i++) {
        w.members[i].term = 1;
        w.members[i].primary = i == 0;
        w.members[i].started_at = 1;
    }
    w.stored.version = 1;
    w.counter = 1;
    w.rows.view = 1;
    w.restored_store = restored_store;
    w.era = restored_store;
    keep_copy();
    for (int k = 0; k < PROXIES; k++) {
        start_proxy(&w.proxies[k]);
    }
    const clock_ms begin = w.now;
    const unsigned pause = 100 + (unsigned)rng_below(&w.rng, 2000);
    clock_ms fault_at = w.now + 2000;
    clock_ms settled_by = 0;
    while (w.broken == NULL) {
        w.now += STEP_MS;
        const bool faults = w.now - begin < FAULTS_MS;
        if (faults && w.now >= fault_at) {
            inject_fault();
            fault_at = delay(10, pause);
        }
        run_store(faults);
        run_events();
        replicate();
        acknowledge_commits();
        for (int k = 0; k < PROXIES; k++) {
            run_proxy(&w.proxies[k]);
        }
        if (faults) {
            continue;
        }
        if (settled_by == 0) {
            end_faults();
            settled_by = w.now + RECOVERY_MS;
        }
        if (is_settled()) {
            return;
        }
        if (w.now >= settled_by) {
            fail("DEAD");
        }
    }
}

int
main(int argc, char **argv)
{
    if (argc < 3) {
        fprintf(stderr, "usage: model_primary_change FIRST_SEED COUNT "
                        "[restored|emptied|held]\n");
        return 2;
    }
    const uint64_t first = strtoull(argv[1], NULL, 10);
    const uint64_t count = strtoull(argv[2], NULL, 10);
    uint64_t failed = 0;

    for (uint64_t i = 0; i < count; i++) {
        run_seed(first + i, argc > 3 ? argv[3] : "");
        failed += w.broken != NULL;
    }
    printf("seeds=%llu failed=%llu\n", (unsigned long long)count,
           (unsigned long long)failed);
    return failed > 0;
}
