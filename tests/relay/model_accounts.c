#include "base/rng.h"
#include "relay/service.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A model of proxies that serve client accounts at one database of three
   members with 4 slots and 70 connections each. Each proxy is a struct
   service; the members, the callers and the time are simulated.

     model_accounts fleet|single SEED

   Load: 88 accounts, of which 4 have half of the operations. One of five
   operations is for the primary, and one of eight a transaction of three
   statements that rests for up to 3 s. Statements take 5 to 35 ms, an opening
   12 ms of a slot. In mode fleet, 36 proxies have 117 operations a second
   together. In mode single, the only busy one of 36 proxies has 180, and
   transactions rest for up to 30 ms.
   Each mode is played twice with the same seed: then one account with 1/8 of
   the operations sends five times as many in mode fleet, and eight times in
   mode single, where the members would get more work than they can do.

   Guards against a connection that serves an account other than the one it was
   opened for, against openings beyond what the members accept, against resting
   transactions that starve other accounts, and against an account that makes
   the others wait. Fails if
   * a statement is sent on a connection of another account;
   * more than one opening in 100 is refused, or, without the account that
     sends more, one operation in 1,000 fails;
   * the p99 of the other accounts' first statements is more than 1.5 times as
     long when one account sends more. */

#define PROXIES_MAX 36
#define MEMBERS 3
#define MAX_CONNECTIONS 70
#define SLOTS 4
#define QUEUE_MAX 48
#define OPENING_MS 12
#define ROUND_TRIP_MS 2
#define ACCOUNTS 88
#define LARGE_ACCOUNTS 4
#define NOISY 0 /* account that sends more */
#define NOISY_TIMES_FLEET 5
#define NOISY_TIMES_SINGLE 8
#define TIMEOUT_MS 800
#define TARGET_MS 150
#define REST_MAX_MS 3000
#define REST_MAX_SINGLE_MS 30
#define TICK_MS 25
#define START_MS 1000
#define END_MS 30000
#define LINKS_MAX 1000
#define JOBS_MAX 40000
#define ATTEMPTS_MAX 5

/* A connection, as the member sees it. */
struct member_link {
    bool used;
    bool refused;
    bool busy;
    char account[16];
    int member;
    const struct member_link_events *events;
    void *ctx;
    bool opening;
    bool working; /* waits for a slot, or occupies one */
    bool running;
    clock_ms ends_at;
    int64_t work_ms;
    GList waiting;
};

struct job {
    struct connection_request request;
    struct pooled_link *link;
    int account;
    int proxy;
    int attempts;
    int statements_left;
    bool begun;
    clock_ms resumes_at; /* of a transaction that rests; 0 otherwise */
    int64_t first_ms;    /* until the answer to the first statement */
    bool done;
    bool served;
};

struct member_model {
    int connections;
    int running;
    GQueue waiting;
};

static struct {
    clock_ms now;
    struct rng rng;
    int proxy_count;
    int operations_per_s;
    int64_t rest_max_ms;
    int noisy_times;
    struct service *proxies[PROXIES_MAX];
    struct member_model members[MEMBERS];
    struct member_link links[LINKS_MAX];
    struct job jobs[JOBS_MAX];
    int job_count;
    int first_open_job;
    bool noisy;
    const char *sending; /* account of the request that is being sent */
    int wrong_account;
    int opened;
    int refused;
    int busy;
    int statements;
} model;

static struct account accounts[ACCOUNTS];
static char names[ACCOUNTS][16];

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

static void
add_work(struct member_link *l, int64_t ms)
{
    struct member_model *m = &model.members[l->member];

    l->working = true;
    l->work_ms = ms;
    l->busy = !l->opening && m->waiting.length >= QUEUE_MAX;
    l->ends_at = l->busy ? model.now + ROUND_TRIP_MS : 0;
    if (!l->busy) {
        l->waiting = (GList){.data = l};
        g_queue_push_tail_link(&m->waiting, &l->waiting);
    }
}

static struct member_link *
open_link(void *codec_ctx, const struct member_entry *e, const char *account,
          const struct member_link_events *events, void *ctx)
{
    const int member = e->id[1] - '1';
    struct member_model *m = &model.members[member];

    (void)codec_ctx;
    for (int i = 0; i < LINKS_MAX; i++) {
        struct member_link *l = &model.links[i];
        if (l->used) {
            continue;
        }
        *l = (struct member_link){
            .used = true,
            .refused = m->connections >= MAX_CONNECTIONS,
            .member = member,
            .events = events,
            .ctx = ctx,
            .opening = true,
        };
        g_strlcpy(l->account, account != NULL ? account : "-",
                  sizeof(l->account));
        m->connections += !l->refused;
        model.opened++;
        add_work(l, OPENING_MS);
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
    if (r->verb == VERB_ROLLBACK) {
        add_work(l, 1);
        return;
    }
    model.wrong_account += strcmp(l->account, model.sending) != 0;
    model.statements++;
    add_work(l, 5 + (int64_t)rng_below(&model.rng, 31));
}

static void
close_link(struct member_link *l)
{
    struct member_model *m = &model.members[l->member];

    if (l->working && !l->running && !l->busy && l->ends_at == 0) {
        g_queue_unlink(&m->waiting, &l->waiting);
    }
    m->running -= l->running;
    m->connections -= !l->refused;
    l->used = false;
}

static const struct member_codec codec = {
    .open = open_link, .send = send_link, .close = close_link};

static void
start_proxy(int i)
{
    static const char *const domains[4] = {"a", "b", "c", "d"};
    struct member_entry members[MEMBERS] = {0};
    const struct fleet_share share = {.max_connections = MAX_CONNECTIONS,
                                      .proxies = PROXIES_MAX,
                                      .accounts = true};
    const struct connection_limits limits = connection_limits_in_fleet(&share);
    const struct service_config config = {
        .name = "db",
        .failure_domain = domains[i % 4],
        .codec = &codec,
        .lease_valid = lease_valid,
        .now = model_now,
        .seed = rng_next(&model.rng),
    };

    for (int k = 0; k < MEMBERS; k++) {
        g_snprintf(members[k].id, sizeof(members[k].id), "m%d", k + 1);
        g_strlcpy(members[k].service, "db", sizeof(members[k].service));
        g_strlcpy(members[k].failure_domain, domains[k],
                  sizeof(members[k].failure_domain));
        members[k].slots = SLOTS;
    }
    model.proxies[i] = service_create(&config);
    service_set_connection_limits(model.proxies[i], &limits);
    service_set_members(model.proxies[i], members, MEMBERS, model.now);
    service_set_primary(model.proxies[i], 1, "m1", false, model.now);
}

static void
finish(struct job *j, bool served)
{
    j->done = true;
    j->served = served;
}

static void
send_statement(struct job *j)
{
    const struct request r = {
        .verb = VERB_READ, .id = SVIEW("q"), .text = SVIEW("READ x")};

    j->resumes_at = 0;
    model.sending = names[j->account];
    pooled_send(j->link, &r, NULL);
}

static void
on_answered(void *ctx, const struct answer *a)
{
    struct job *j = ctx;
    struct pooled_link *l = j->link;

    if (a->failure == FAILURE_BUSY) {
        model.busy++;
        j->link = NULL;
        g_strlcpy(j->request.avoid_member, pooled_member(l),
                  sizeof(j->request.avoid_member));
        pooled_release(l, j->begun);
        if (j->begun || ++j->attempts > ATTEMPTS_MAX) {
            finish(j, false);
            return;
        }
        service_submit(model.proxies[j->proxy], &j->request);
        return;
    }
    if (!j->begun) {
        j->first_ms = model.now - j->request.arrived_at;
    }
    if (--j->statements_left > 0) {
        /* Most rests are short. */
        const int64_t part = (int64_t)rng_below(&model.rng, 100);
        j->begun = true;
        j->resumes_at =
            model.now + 1 + model.rest_max_ms * part * part / 10000;
        pooled_set_inactive(l);
        return;
    }
    finish(j, true);
    j->link = NULL;
    pooled_release(l, false);
}

static void
on_lost(void *ctx, const char *why)
{
    struct job *j = ctx;

    (void)why;
    j->link = NULL;
    finish(j, false);
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
    (void)why;
    finish(ctx, false);
}

static void
submit_job(int account)
{
    if (model.job_count == JOBS_MAX) {
        fprintf(stderr, "out of jobs\n");
        exit(2);
    }
    struct job *j = &model.jobs[model.job_count++];

    *j = (struct job){
        .account = account,
        .proxy = (int)rng_below(&model.rng, (uint64_t)model.proxy_count),
        .attempts = 1,
        .statements_left = rng_below(&model.rng, 8) == 0 ? 3 : 1,
    };
    j->request = (struct connection_request){
        .priority = 1,
        .account = &accounts[account],
        .needs_primary = rng_below(&model.rng, 5) == 0,
        .arrived_at = model.now,
        .deadline = model.now + TIMEOUT_MS,
        .target = model.now + TARGET_MS,
        .staleness_ms = 1500,
        .granted = on_granted,
        .refused = on_refused,
        .ctx = j,
    };
    service_submit(model.proxies[j->proxy], &j->request);
}

/* Returns an account: each large one has an eighth of the operations, and the
   others share the rest. */
static int
draw_account(void)
{
    const uint64_t part = rng_below(&model.rng, (uint64_t)2 * LARGE_ACCOUNTS);

    if (part < LARGE_ACCOUNTS) {
        return (int)part;
    }
    return LARGE_ACCOUNTS +
           (int)rng_below(&model.rng, ACCOUNTS - LARGE_ACCOUNTS);
}

static void
run_members(void)
{
    struct answer a = {.position = {.term = 1, .position = 1, .known = true}};

    for (int i = 0; i < LINKS_MAX; i++) {
        struct member_link *l = &model.links[i];
        if (!l->used || l->ends_at == 0 || l->ends_at > model.now) {
            continue;
        }
        const bool opening = l->opening;
        model.members[l->member].running -= l->running;
        l->running = false;
        l->working = false;
        l->opening = false;
        l->ends_at = 0;
        if (opening && l->refused) {
            model.refused++;
            l->events->refused(l->ctx, FAILURE_CONNECTION_LIMIT);
        }
        else if (opening) {
            l->events->opened(l->ctx, &a.position);
        }
        else {
            a.failure = l->busy ? FAILURE_BUSY : FAILURE_NONE;
            l->events->answered(l->ctx, &a);
        }
    }
    for (int k = 0; k < MEMBERS; k++) {
        struct member_model *m = &model.members[k];
        while (m->running < SLOTS && m->waiting.length > 0) {
            struct member_link *l = g_queue_pop_head_link(&m->waiting)->data;
            m->running++;
            l->running = true;
            l->ends_at = model.now + l->work_ms + ROUND_TRIP_MS;
        }
    }
}

static void
step(clock_ms start)
{
    model.now++;
    const bool load = model.now >= start + START_MS;
    if (load &&
        rng_below(&model.rng, 1000) < (uint64_t)model.operations_per_s) {
        submit_job(draw_account());
    }
    if (load && model.noisy &&
        rng_below(&model.rng, (uint64_t)2000 * LARGE_ACCOUNTS) <
            (uint64_t)model.operations_per_s * (model.noisy_times - 1)) {
        submit_job(NOISY);
    }
    run_members();
    while (model.first_open_job < model.job_count &&
           model.jobs[model.first_open_job].done) {
        model.first_open_job++;
    }
    for (int i = model.first_open_job; i < model.job_count; i++) {
        struct job *j = &model.jobs[i];
        if (!j->done && j->resumes_at != 0 && model.now >= j->resumes_at) {
            send_statement(j);
        }
    }
    for (int i = 0; i < model.proxy_count; i++) {
        if ((model.now + i) % 400 == 0) {
            const struct token t = {.term = 1, .position = 1, .known = true};
            service_add_primary_position(model.proxies[i], model.now, &t);
        }
        if ((model.now + i) % TICK_MS == 0) {
            service_tick(model.proxies[i], model.now);
        }
    }
}

static int
compare_times(const void *a, const void *b)
{
    const int64_t x = *(const int64_t *)a;
    const int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

/* Plays the load once. Sets the p99 of the accounts that don't send more, and
   returns false if one of the other conditions is not met. */
static bool
play(uint64_t seed, bool fleet, bool noisy, int64_t *p99)
{
    static int64_t times[JOBS_MAX];
    struct service_counters sum = {0};
    int n = 0;
    int failed = 0;
    int failed_noisy = 0;

    memset(&model, 0, sizeof(model));
    rng_seed(&model.rng, seed);
    model.now = 100000;
    model.noisy = noisy;
    model.proxy_count = fleet ? PROXIES_MAX : 1;
    model.operations_per_s = fleet ? 117 : 180;
    model.noisy_times = fleet ? NOISY_TIMES_FLEET : NOISY_TIMES_SINGLE;
    model.rest_max_ms = fleet ? REST_MAX_MS : REST_MAX_SINGLE_MS;
    const clock_ms start = model.now;
    for (int i = 0; i < model.proxy_count; i++) {
        start_proxy(i);
    }
    while (model.now < start + START_MS + END_MS) {
        step(start);
    }
    for (int i = 0; i < model.job_count; i++) {
        struct job *j = &model.jobs[i];
        if (j->account == NOISY) {
            failed_noisy += j->done && !j->served;
            continue;
        }
        failed += j->done && !j->served;
        times[n] = j->first_ms > 0 ? j->first_ms : TIMEOUT_MS;
        n += j->done || j->first_ms > 0;
    }
    qsort(times, (size_t)n, sizeof(times[0]), compare_times);
    *p99 = times[n * 99 / 100];
    for (int i = 0; i < model.proxy_count; i++) {
        const struct service_counters *c = service_counters(model.proxies[i]);
        sum.links_evicted += c->links_evicted;
        sum.turns_taken += c->turns_taken;
    }
    printf("%s seed=%llu noisy=%d operations=%d of_others=%d failed=%d "
           "failed_noisy=%d p50=%lld p99=%lld statements=%d opened=%d "
           "refused=%d busy=%d evicted=%llu turns=%llu wrong=%d\n",
           fleet ? "fleet" : "single", (unsigned long long)seed, noisy,
           model.job_count, n, failed, failed_noisy, (long long)times[n / 2],
           (long long)*p99, model.statements, model.opened, model.refused,
           model.busy, (unsigned long long)sum.links_evicted,
           (unsigned long long)sum.turns_taken, model.wrong_account);
    for (int i = model.first_open_job; i < model.job_count; i++) {
        struct job *j = &model.jobs[i];
        if (!j->done && j->request.queued) {
            service_withdraw(model.proxies[j->proxy], &j->request);
        }
    }
    for (int i = 0; i < model.proxy_count; i++) {
        service_destroy(model.proxies[i]);
    }
    return model.wrong_account == 0 && model.refused * 100 <= model.opened &&
           (noisy || failed * 1000 <= n);
}

int
main(int argc, char **argv)
{
    const bool fleet = argc > 1 && strcmp(argv[1], "fleet") == 0;
    const uint64_t seed = argc > 2 ? g_ascii_strtoull(argv[2], NULL, 10) : 1;
    int64_t before;
    int64_t beside;

    for (int i = 0; i < ACCOUNTS; i++) {
        g_snprintf(names[i], sizeof(names[i]), "account%d", i);
        accounts[i] = (struct account){.name = names[i], .priority = 1};
    }
    const bool calm = play(seed, fleet, false, &before);
    const bool noisy = play(seed, fleet, true, &beside);
    return calm && noisy && beside * 2 <= before * 3 ? 0 : 1;
}
