#include "fleet/loan.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"

/* Randomized simulation of the lenders and holders of all proxies. The network
   loses, repeats and delays messages; proxies pause, restart and disagree on
   the owner; the database counts its open connections.

   Usage: test_loan SEED PROXIES CAP [RULE]. Exits with 1 on the first violated
   rule, or, if RULE is given, only if the first violated rule is RULE
   (docs/invariants-admission.md). */

#define MEMBERS 3
#define MAX_PROXIES 5
#define MAX_CONNECTIONS 64
#define MAX_MESSAGES 512
#define FAULTY_MS 200000
#define FAULT_FREE_MS 200000
/* Time in which connections and loans from the part with faults end. */
#define SETTLE_MS 40000
#define OWNER_QUERY_INTERVAL_MS 300
#define LATENCY_MS 3

enum message_type { REQUEST, GRANT, RETURN, OWNER_QUERY, OWNER_CONFIRM };

struct message {
    enum message_type type;
    int to, from;
    clock_ms deliver_at; /* 0: the entry is unused */
    clock_ms as_of;
    struct loan_request request;
    struct loan_grant grant;
    struct loan_return returned;
};

/* A lent connection, from the database's point of view. */
struct connection {
    bool open, batch;
    int proxy, member;
    clock_ms busy_until;
    clock_ms closed_at; /* by the proxy; CLOCK_NEVER: not closed */
};

struct proxy {
    struct run *run;
    int id;
    struct lender *lender;
    struct loan_holder *holder;
    int owner; /* according to this proxy's view */
    clock_ms paused_until;
    int limit[2][MEMBERS];
    int wanted[2][MEMBERS];
    int uses[2];
};

struct run {
    struct rng rng;
    struct proxy proxies[MAX_PROXIES];
    struct message messages[MAX_MESSAGES];
    struct connection connections[MAX_CONNECTIONS];
    int proxy_count, cap, permits, surplus;
    uint64_t seed;
    const char *expected;
    clock_ms now;
    bool faulty;
    int peak_open, peak_batch;
    uint64_t granted, refused_answers;
};

#define CHECK(run, rule, condition)                                           \
    do {                                                                      \
        if (!(condition)) {                                                   \
            printf("violated=%s seed=%llu at_ms=%lld line=%d\n", rule,        \
                   (unsigned long long)(run)->seed, (long long)(run)->now,    \
                   __LINE__);                                                 \
            exit((run)->expected == NULL ||                                   \
                 strcmp((run)->expected, rule) == 0);                         \
        }                                                                     \
    } while (0)

static bool
chance(struct run *r, int per_mille)
{
    return rng_below(&r->rng, 1000) < (uint64_t)per_mille;
}

static clock_ms
latency(struct run *r)
{
    return 1 + (clock_ms)rng_below(&r->rng, LATENCY_MS);
}

/* Sends a message over the network, which may lose, delay or repeat it. */
static void
send_message(struct run *r, struct message message)
{
    int copies = 1;

    if (r->faulty) {
        copies = chance(r, 50) ? 0 : chance(r, 50) ? 2 : 1;
    }
    for (int i = 0; copies > 0; i++) {
        CHECK(r, "harness", i < MAX_MESSAGES);
        if (r->messages[i].deliver_at == 0) {
            message.deliver_at = r->now + latency(r);
            if (r->faulty && chance(r, 50)) {
                message.deliver_at += (clock_ms)rng_below(&r->rng, 4000);
            }
            r->messages[i] = message;
            copies--;
        }
    }
}

static void
send_request(void *ctx, const struct loan_request *request)
{
    struct proxy *p = ctx;

    /* The hardest case for a lease: a pause that begins before the answer
       arrives. */
    if (p->run->faulty && chance(p->run, 10)) {
        p->paused_until =
            p->run->now + (clock_ms)rng_below(&p->run->rng, 5000);
    }
    send_message(p->run, (struct message){.type = REQUEST,
                                          .to = p->owner,
                                          .from = p->id,
                                          .request = *request});
}

static void
send_return(void *ctx, const struct loan_return *returned)
{
    struct proxy *p = ctx;

    send_message(p->run, (struct message){.type = RETURN,
                                          .to = p->owner,
                                          .from = p->id,
                                          .returned = *returned});
}

/* Closes idle connections above the limit, as the daemon has to when the limit
   changes and when a statement ends. */
static void
close_idle_above_limit(struct proxy *p, int member, bool batch)
{
    int limit = p->limit[batch][member];
    int kept = 0;

    for (int pass = 0; pass < 2; pass++) {
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            struct connection *c = &p->run->connections[i];
            bool busy = c->busy_until > p->run->now;

            if (c->open && c->proxy == p->id && c->member == member &&
                c->batch == batch && c->closed_at == CLOCK_NEVER &&
                busy == (pass == 0) && ++kept > limit && !busy) {
                c->closed_at = p->run->now + latency(p->run);
            }
        }
    }
}

static void
limit_changed(void *ctx, int member, bool batch, int limit)
{
    struct proxy *p = ctx;

    p->limit[batch][member] = limit;
    close_idle_above_limit(p, member, batch);
}

static const struct loan_holder_ops ops = {send_request, send_return,
                                           limit_changed};

static void
start_proxy(struct run *r, int id, uint64_t first_id)
{
    struct proxy *p = &r->proxies[id];
    struct lender_config config = {
        .cap = r->cap,
        .floor = 1,
        .proxies = r->proxy_count,
        .self = id,
        .members = MEMBERS,
        .batch_permits = r->permits,
    };

    lender_destroy(p->lender);
    loan_holder_destroy(p->holder);
    p->run = r;
    p->id = id;
    p->lender = lender_create(&config, r->now);
    p->holder = loan_holder_create(&ops, p, 0, id, MEMBERS, first_id);
    memset(p->limit, 0, sizeof(p->limit));
}

static void
deliver(struct run *r, const struct message *m)
{
    struct proxy *p = &r->proxies[m->to];
    struct message answer = {.to = m->from, .from = m->to};

    switch (m->type) {
    case REQUEST:
        if (lender_request(p->lender, r->now, &m->request, &answer.grant)) {
            answer.type = GRANT;
            r->granted += (uint64_t)answer.grant.granted;
            send_message(r, answer);
        }
        break;
    case GRANT:
        r->refused_answers +=
            !loan_holder_on_grant(p->holder, r->now, &m->grant);
        break;
    case RETURN:
        lender_return(p->lender, r->now, &m->returned);
        break;
    case OWNER_QUERY:
        if (p->owner == m->from) {
            answer.type = OWNER_CONFIRM;
            answer.as_of = m->as_of;
            send_message(r, answer);
        }
        break;
    default:
        lender_confirm(p->lender, r->now, m->from, m->as_of);
        break;
    }
}

/* Closes the connections that the proxy has closed or whose idle timeout has
   expired, and checks the limits. */
static void
database_step(struct run *r)
{
    int open = 0;
    int batches[MEMBERS] = {0};

    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        struct connection *c = &r->connections[i];

        if (c->open && (c->closed_at <= r->now ||
                        c->busy_until + LOAN_IDLE_SESSION_MS <= r->now)) {
            c->open = false;
        }
        open += c->open;
        batches[c->member] += c->open && c->batch && c->busy_until > r->now;
    }
    CHECK(r, "connection_cap", open <= r->surplus);
    r->peak_open = open > r->peak_open ? open : r->peak_open;
    for (int m = 0; m < MEMBERS; m++) {
        CHECK(r, "batch_slot", batches[m] <= r->permits);
        r->peak_batch =
            batches[m] > r->peak_batch ? batches[m] : r->peak_batch;
    }
}

/* Starts to use one lent connection of a class and member, if the proxy wants
   one and may, and reports its demand. */
static void
use_loans(struct run *r, struct proxy *p, int member, bool batch)
{
    int in_use = 0;
    int usable = loan_holder_usable(p->holder, r->now, member, batch);
    struct connection *idle = NULL;
    struct connection *unused = NULL;

    close_idle_above_limit(p, member, batch);
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        struct connection *c = &r->connections[i];

        if (!c->open) {
            unused = c;
        }
        else if (c->proxy == p->id && c->member == member &&
                 c->batch == batch && c->closed_at == CLOCK_NEVER) {
            in_use += c->busy_until > r->now;
            idle = c->busy_until > r->now ? idle : c;
        }
    }
    if (in_use < usable && in_use < p->wanted[batch][member]) {
        struct connection *c = idle != NULL ? idle : unused;
        clock_ms length = 1 + (clock_ms)rng_below(&r->rng, batch ? 4000 : 90);
        clock_ms left =
            loan_holder_lease_end(p->holder, member, batch) - r->now;

        CHECK(r, "harness", c != NULL);
        *c = (struct connection){
            .open = true,
            .batch = batch,
            .proxy = p->id,
            .member = member,
            .busy_until =
                r->now + (length < left ? length : left) + latency(r),
            .closed_at = CLOCK_NEVER,
        };
        p->uses[batch]++;
        in_use++;
    }
    loan_holder_set_demand(p->holder, r->now, member, batch,
                           p->wanted[batch][member] > in_use
                               ? p->wanted[batch][member] - in_use
                               : 0,
                           in_use);
}

static void
proxy_step(struct run *r, struct proxy *p)
{
    lender_set_owner(p->lender, r->now, p->owner == p->id);
    for (int i = 0; i < 2 * MEMBERS; i++) {
        bool batch = i >= MEMBERS;
        int m = i % MEMBERS;

        if (r->faulty && chance(r, 4)) {
            p->wanted[batch][m] =
                chance(r, 500) ? 0 : (int)rng_below(&r->rng, batch ? 2 : 5);
        }
        use_loans(r, p, m, batch);
    }
    loan_holder_tick(p->holder, r->now);
    if (p->owner == p->id && r->now % OWNER_QUERY_INTERVAL_MS == p->id) {
        for (int to = 0; to < r->proxy_count; to++) {
            if (to != p->id) {
                send_message(r, (struct message){.type = OWNER_QUERY,
                                                 .to = to,
                                                 .from = p->id,
                                                 .as_of = r->now});
            }
        }
    }
}

/* Pauses and restarts proxies at random and changes their view of the owner. A
   restarted proxy's connections are closed. */
static void
inject_faults(struct run *r)
{
    int id = (int)rng_below(&r->rng, (uint64_t)r->proxy_count);
    struct proxy *p = &r->proxies[id];

    if (chance(r, 1) && chance(r, 80)) {
        p->paused_until = r->now + (clock_ms)rng_below(&r->rng, 5000);
    }
    if (chance(r, 1) && chance(r, 50)) {
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            struct connection *c = &r->connections[i];

            if (c->open && c->proxy == id) {
                c->closed_at = r->now + latency(r);
            }
        }
        start_proxy(r, id, (uint64_t)r->now * 1000);
    }
    if (chance(r, 1) && chance(r, 25)) {
        int owner = (int)rng_below(&r->rng, (uint64_t)r->proxy_count);

        /* A change may reach only some of the proxies. */
        for (int i = 0; i < r->proxy_count; i++) {
            if (chance(r, 700)) {
                r->proxies[i].owner = owner;
            }
        }
    }
}

static void
run_until(struct run *r, clock_ms end)
{
    for (; r->now < end; r->now++) {
        for (int i = 0; i < MAX_MESSAGES; i++) {
            struct message *m = &r->messages[i];

            if (m->deliver_at != 0 && m->deliver_at <= r->now &&
                r->proxies[m->to].paused_until <= r->now) {
                struct message copy = *m;

                m->deliver_at = 0;
                deliver(r, &copy);
            }
        }
        if (r->faulty) {
            inject_faults(r);
        }
        for (int i = 0; i < r->proxy_count; i++) {
            if (r->proxies[i].paused_until <= r->now) {
                proxy_step(r, &r->proxies[i]);
            }
        }
        database_step(r);
    }
}

static void
set_wanted(struct run *r, int id, int wanted_short, int wanted_batch)
{
    for (int m = 0; m < MEMBERS; m++) {
        r->proxies[id].wanted[0][m] = wanted_short;
        r->proxies[id].wanted[1][m] = wanted_batch;
    }
    r->proxies[id].uses[0] = 0;
    r->proxies[id].uses[1] = 0;
}

/* Checks liveness without faults: a request is granted within one round trip,
   a single borrower gets the whole surplus, and if all request, each gets
   some. */
static void
check_without_faults(struct run *r)
{
    int held = 0;

    r->faulty = false;
    for (int i = 0; i < r->proxy_count; i++) {
        r->proxies[i].owner = 0;
        r->proxies[i].paused_until = 0;
        set_wanted(r, i, 0, 0);
    }
    run_until(r, r->now + SETTLE_MS);
    r->proxies[1].wanted[0][0] = r->surplus;
    run_until(r, r->now + (clock_ms)2 * (1 + LATENCY_MS) + 1);
    held = r->proxies[1].limit[0][0];
    CHECK(r, "round_trip", held == r->surplus);
    run_until(r, r->now + 5000);
    CHECK(r, "work_conservation", r->proxies[1].limit[0][0] == r->surplus);
    set_wanted(r, 1, 0, 0);
    run_until(r, r->now + 3000);
    for (int i = 0; i < r->proxy_count; i++) {
        set_wanted(r, i, 5, 0);
    }
    run_until(r, r->now + 30000);
    for (int i = 0; i < r->proxy_count; i++) {
        CHECK(r, "no_starvation", r->proxies[i].uses[0] > 0);
        set_wanted(r, i, 5, 1);
    }
    run_until(r, r->now + FAULT_FREE_MS);
    for (int i = 0; i < r->proxy_count; i++) {
        CHECK(r, "no_starvation", r->proxies[i].uses[1] > 0);
    }
}

/* Guards against a grant that takes effect after its lease has ended, or after
   a return that was sent later than its request: the lender may have lent the
   same connection to another proxy by then. */
static void
check_late_answers(struct run *r)
{
    struct proxy *p = &r->proxies[0];
    struct loan_grant grant = {.granted = 1, .lease_ms = LOAN_LEASE_MS};

    loan_holder_set_demand(p->holder, 1, 0, false, 1, 0);
    grant.request_id = 2;
    CHECK(r, "holder_lease",
          !loan_holder_on_grant(p->holder, 1 + LOAN_LEASE_MS, &grant));
    CHECK(r, "holder_lease", loan_holder_on_grant(p->holder, 2, &grant));
    CHECK(r, "holder_lease", loan_holder_usable(p->holder, 2, 0, false) == 1);
    CHECK(r, "holder_lease",
          loan_holder_usable(p->holder, 1 + LOAN_LEASE_MS - LOAN_MARGIN_MS, 0,
                             false) == 0);
    loan_holder_set_demand(p->holder, 300, 0, false, 2, 0);
    CHECK(r, "old_answer", !loan_holder_on_grant(p->holder, 301, &grant));
    loan_holder_set_demand(p->holder, 310, 0, false, 0, 0);
    (void)loan_holder_tick(p->holder, 600);
    grant.request_id = 3;
    CHECK(r, "old_answer", !loan_holder_on_grant(p->holder, 610, &grant));
    CHECK(r, "old_answer", loan_holder_usable(p->holder, 610, 0, false) == 0);
}

int
main(int argc, char **argv)
{
    static struct run r;

    r.seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    r.proxy_count = argc > 2 ? atoi(argv[2]) : 5;
    r.cap = argc > 3 ? atoi(argv[3]) : 16;
    r.expected = argc > 4 ? argv[4] : NULL;
    r.permits = 1;
    r.surplus = r.cap - r.proxy_count * MEMBERS;
    r.faulty = true;
    r.now = 1;
    rng_seed(&r.rng, r.seed);
    for (int i = 0; i < r.proxy_count; i++) {
        start_proxy(&r, i, 1);
    }
    check_late_answers(&r);
    memset(r.messages, 0, sizeof(r.messages));
    run_until(&r, FAULTY_MS);
    printf("granted=%llu refused_answers=%llu peak=%d surplus=%d "
           "peak_batch=%d\n",
           (unsigned long long)r.granted,
           (unsigned long long)r.refused_answers, r.peak_open, r.surplus,
           r.peak_batch);
    check_without_faults(&r);
    for (int i = 0; i < r.proxy_count; i++) {
        printf("proxy=%d short_uses=%d batch_uses=%d\n", i,
               r.proxies[i].uses[0], r.proxies[i].uses[1]);
        lender_destroy(r.proxies[i].lender);
        loan_holder_destroy(r.proxies[i].holder);
    }
    return 0;
}
