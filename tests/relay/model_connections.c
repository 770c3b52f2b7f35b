#include "base/rng.h"
#include "relay/service.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A model of many proxies that use the same three members, which accept fewer
   connections than there are proxies. Each proxy is a struct service; the
   members, the callers and the time are simulated.

     model_connections SEED

   Load: 79 proxies, one database of 58 connections and 4 slots a member, 84
   statements a second of 4 to 20 ms, three of ten for the primary and one of
   five in a transaction that rests 150 ms; 12 ms for a new connection. After
   15 s more than half of the proxies lose power and start again; the members
   count their connections for 3 s. Fails if a member refuses a connection
   before that, or if more than 0.5 % of the statements before it, or 5 % of
   those after it, are not answered within their timeout of 800 ms. */

#define PROXIES 79
#define MEMBERS 3
#define MAX_CONNECTIONS 58
#define SLOTS 4
#define HANDSHAKE_MS 12
#define ROUND_TRIP_MS 2
#define STATEMENTS_PER_S 84
#define TIMEOUT_MS 800
#define TARGET_MS 120
#define REST_MS 150
#define TICK_MS 25
#define POWER_LOSS_AT_MS 15000
#define LOST_PROXIES 43
#define DOWN_MS 2000
#define DEAD_MS 3000
#define END_MS 25000
#define LINKS_MAX (MAX_CONNECTIONS * MEMBERS * 4)
#define JOBS_MAX (STATEMENTS_PER_S * END_MS / 500)

enum work_kind {
    WORK_NONE,
    WORK_HANDSHAKE,
    WORK_STATEMENT,
};

/* A connection, as the member sees it. */
struct member_link {
    bool used;
    bool dead; /* its proxy has lost power; counted until ends_at */
    bool refused;
    int member;
    int proxy;
    const struct member_link_events *events;
    void *ctx;
    enum work_kind work; /* waits for a slot, or occupies one */
    bool running;
    clock_ms ends_at;
    int64_t work_ms;
};

struct job {
    struct connection_request request;
    struct pooled_link *link;
    int proxy;
    bool primary;
    bool transaction;
    int statements_left;
    clock_ms resumes_at; /* of a transaction that rests; 0 otherwise */
    bool done;
    bool answered;
};

static struct {
    clock_ms now;
    struct rng rng;
    struct service *proxies[PROXIES];
    bool down[PROXIES];
    struct member_link links[LINKS_MAX];
    struct job jobs[JOBS_MAX];
    int job_count;
    int refused_connections;
    int opened;
} model;

static clock_ms
model_now(void *ctx)
{
    (void)ctx;
    return model.now;
}

static bool
lease_valid(void *ctx, const char *service, clock_ms now)
{
    (void)ctx;
    (void)service;
    (void)now;
    return true;
}

/* Counts a member's connections, or its occupied slots. */
static int
count_links(int member, bool running_only)
{
    int n = 0;

    for (int i = 0; i < LINKS_MAX; i++) {
        const struct member_link *l = &model.links[i];
        n += l->used && !l->refused && l->member == member &&
             (l->running || !running_only);
    }
    return n;
}

static struct member_link *
open_link(void *codec_ctx, const struct member_entry *m, const char *account,
          const struct member_link_events *events, void *ctx)
{
    const int member = m->id[1] - '1';

    (void)account;
    for (int i = 0; i < LINKS_MAX; i++) {
        struct member_link *l = &model.links[i];
        if (l->used) {
            continue;
        }
        const bool full = count_links(member, false) >= MAX_CONNECTIONS;
        *l = (struct member_link){
            .used = true,
            .refused = full,
            .member = member,
            .proxy = *(const int *)codec_ctx,
            .events = events,
            .ctx = ctx,
            .work = WORK_HANDSHAKE,
            .work_ms = full ? ROUND_TRIP_MS : HANDSHAKE_MS,
        };
        model.opened++;
        model.refused_connections += full;
        return l;
    }
    fprintf(stderr, "out of links\n");
    exit(2);
}

static void
send_link(struct member_link *l, const struct request *r,
          const struct token *min_position)
{
    (void)min_position;
    l->work = WORK_STATEMENT;
    l->work_ms =
        r->verb == VERB_ROLLBACK ? 0 : 4 + (int64_t)rng_below(&model.rng, 17);
}

static void
close_link(struct member_link *l)
{
    l->used = false;
    l->running = false;
}

/* Proxies have their own codec, whose ctx is their number. */
static struct member_codec codecs[PROXIES];
static int numbers[PROXIES];

static void
start_proxy(int i)
{
    struct member_entry members[MEMBERS] = {0};
    const struct connection_limits limits =
        connection_limits(MAX_CONNECTIONS, PROXIES, false);
    const struct service_config config = {
        .name = "db",
        .failure_domain = "a",
        .codec = &codecs[i],
        .lease_valid = lease_valid,
        .now = model_now,
        .seed = rng_next(&model.rng),
    };

    numbers[i] = i;
    codecs[i] = (struct member_codec){.open = open_link,
                                      .send = send_link,
                                      .close = close_link,
                                      .ctx = &numbers[i]};
    for (int k = 0; k < MEMBERS; k++) {
        g_snprintf(members[k].id, sizeof(members[k].id), "m%d", k + 1);
        g_strlcpy(members[k].service, "db", sizeof(members[k].service));
        g_strlcpy(members[k].failure_domain, "b",
                  sizeof(members[k].failure_domain));
        members[k].slots = SLOTS;
    }
    model.proxies[i] = service_create(&config);
    service_set_connection_limits(model.proxies[i], &limits);
    service_set_members(model.proxies[i], members, MEMBERS, model.now);
    service_set_primary(model.proxies[i], 1, "m1", false, model.now);
    model.down[i] = false;
}

static void
send_statement(struct job *j)
{
    const struct request r = {
        .verb = VERB_READ, .id = SVIEW("q"), .text = SVIEW("READ x")};

    j->resumes_at = 0;
    pooled_send(j->link, &r, NULL);
}

static void
on_answered(void *ctx, const struct answer *a)
{
    struct job *j = ctx;

    (void)a;
    if (--j->statements_left > 0) {
        j->resumes_at = model.now + REST_MS;
        pooled_set_inactive(j->link);
        return;
    }
    j->done = true;
    j->answered = true;
    pooled_release(j->link, false);
    j->link = NULL;
}

static void
on_lost(void *ctx, const char *why)
{
    struct job *j = ctx;

    (void)why;
    j->link = NULL;
    j->done = true;
}

static const struct pooled_user user = {
    .answered = on_answered,
    .lost = on_lost,
};

static void
on_granted(void *ctx, struct pooled_link *l)
{
    struct job *j = ctx;

    j->link = l;
    pooled_set_user(l, &user, j);
    send_statement(j);
}

static void
on_refused(void *ctx, const char *why)
{
    struct job *j = ctx;

    (void)why;
    j->done = true;
}

/* A caller's operation at a proxy that runs. */
static void
submit_job(void)
{
    struct job *j = &model.jobs[model.job_count++];
    const int proxy = (int)rng_below(&model.rng, PROXIES);

    *j = (struct job){.proxy = proxy,
                      .primary = rng_below(&model.rng, 10) < 3,
                      .transaction = rng_below(&model.rng, 5) == 0};
    if (model.down[proxy]) {
        model.job_count--;
        return;
    }
    j->statements_left = j->transaction ? 4 : 1;
    j->request = (struct connection_request){
        .priority = 1,
        .needs_primary = j->primary,
        .arrived_at = model.now,
        .deadline = model.now + TIMEOUT_MS,
        .target = model.now + TARGET_MS,
        .staleness_ms = 1500,
        .granted = on_granted,
        .refused = on_refused,
        .ctx = j,
    };
    service_submit(model.proxies[proxy], &j->request);
}

/* Finishes the work that is due, and starts work that waits for a slot. */
static void
run_members(void)
{
    const struct answer ok = {
        .position = {.term = 1, .position = 1, .known = true}};
    int running[MEMBERS];

    for (int i = 0; i < LINKS_MAX; i++) {
        struct member_link *l = &model.links[i];
        if (!l->used || l->ends_at > model.now) {
            continue;
        }
        if (l->dead) {
            l->used = false;
        }
        else if (l->refused && l->running) {
            l->events->refused(l->ctx, FAILURE_CONNECTION_LIMIT);
        }
        else if (l->running) {
            const enum work_kind work = l->work;
            l->running = false;
            l->work = WORK_NONE;
            if (work == WORK_HANDSHAKE) {
                l->events->opened(l->ctx, &ok.position);
            }
            else {
                l->events->answered(l->ctx, &ok);
            }
        }
    }
    for (int k = 0; k < MEMBERS; k++) {
        running[k] = count_links(k, true);
    }
    for (int i = 0; i < LINKS_MAX; i++) {
        struct member_link *l = &model.links[i];
        if (!l->used || l->dead || l->running || l->work == WORK_NONE ||
            (!l->refused && running[l->member] >= SLOTS)) {
            continue;
        }
        l->running = true;
        running[l->member] += !l->refused;
        l->ends_at = model.now + l->work_ms + ROUND_TRIP_MS;
    }
}

/* Stops a proxy without closing its connections. */
static void
lose_power(int proxy)
{
    for (int i = 0; i < model.job_count; i++) {
        struct job *j = &model.jobs[i];
        if (j->proxy == proxy && !j->done) {
            /* Its callers see the proxy fail, not a statement. */
            service_withdraw(model.proxies[proxy], &j->request);
            j->done = true;
            j->answered = true;
        }
    }
    bool open[LINKS_MAX] = {0};
    for (int i = 0; i < LINKS_MAX; i++) {
        open[i] = model.links[i].used && !model.links[i].dead &&
                  !model.links[i].refused && model.links[i].proxy == proxy;
    }
    service_destroy(model.proxies[proxy]);
    for (int i = 0; i < LINKS_MAX; i++) {
        if (open[i]) {
            model.links[i].used = true;
            model.links[i].dead = true;
            model.links[i].ends_at = model.now + DEAD_MS;
        }
    }
    model.down[proxy] = true;
}

static void
step(void)
{
    model.now++;
    if (rng_below(&model.rng, 1000) < STATEMENTS_PER_S) {
        submit_job();
    }
    run_members();
    for (int i = 0; i < model.job_count; i++) {
        struct job *j = &model.jobs[i];
        if (!j->done && j->resumes_at != 0 && model.now >= j->resumes_at) {
            send_statement(j);
        }
    }
    for (int i = 0; i < PROXIES; i++) {
        if (!model.down[i] && (model.now + i) % TICK_MS == 0) {
            service_tick(model.proxies[i], model.now);
        }
    }
}

/* Counts the statements from a first one on that had no answer. */
static int
count_failed(int first, int end)
{
    int failed = 0;

    for (int i = first; i < end; i++) {
        failed += !model.jobs[i].answered;
    }
    return failed;
}

int
main(int argc, char **argv)
{
    const uint64_t seed = argc > 1 ? g_ascii_strtoull(argv[1], NULL, 10) : 1;

    rng_seed(&model.rng, seed);
    model.now = 100000;
    const clock_ms start = model.now;
    for (int i = 0; i < PROXIES; i++) {
        start_proxy(i);
    }
    while (model.now < start + POWER_LOSS_AT_MS) {
        step();
    }
    const int calm = model.job_count;
    const int refused_calm = model.refused_connections;
    for (int i = 0; i < LOST_PROXIES; i++) {
        lose_power(i);
    }
    while (model.now < start + POWER_LOSS_AT_MS + DOWN_MS) {
        step();
    }
    for (int i = 0; i < LOST_PROXIES; i++) {
        start_proxy(i);
    }
    while (model.now < start + END_MS) {
        step();
    }
    /* Those that came last may still be in progress. */
    const int last = model.job_count - 2 * STATEMENTS_PER_S;
    const int failed_calm = count_failed(0, calm);
    const int failed_later = count_failed(calm, last);
    printf("seed=%llu statements=%d failed=%d later=%d failed_later=%d "
           "opened=%d refused_connections=%d refused_later=%d\n",
           (unsigned long long)seed, calm, failed_calm, last - calm,
           failed_later, model.opened, refused_calm,
           model.refused_connections - refused_calm);
    return refused_calm > 0 || failed_calm * 200 > calm ||
                   failed_later * 20 > last - calm
               ? 1
               : 0;
}
