#include "base/rng.h"
#include "relay/service.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A model of 134 proxies in three failure domains before one busy database of
   three members, which accept fewer connections than there are proxies. Each
   proxy is a struct service; the members, the callers and the time are
   simulated.

     model_busy_fleet calm|burst SEED [verbose|without-home]

   Load: 262 operations a second with a wave of 55 % in 17 s, whose phase
   differs between the failure domains by a sixth of it. 12 % of the operations
   need the primary, and 12 % are transactions of three statements with rests.
   Statements take 28 ms on average. A
   member has 6 slots, 85 connections and a queue of 48; a statement beyond it
   is answered BUSY. An opening waits for a slot and takes it for 12 ms, also
   one that is refused because of the number of connections. Replicas lag by
   150 ms on average and by 900 ms at most. In mode burst, the load is twice as
   high for 3 s.

   Guards against proxies that open a connection for nearly every statement,
   and against refused openings whose retries keep the members overloaded
   after the burst. A caller whose call failed calls again once, after
   50 to 150 ms; each call counts as an operation. Fails if
   * on a calm day, an operation is refused or the connections opened are more
     than a tenth of the statements;
   * less than 0.97 of the operations are served that start more than 2 s after
     the end of a burst;
   * on a calm day, more than one opening in a hundred is refused, or
   * the primary runs more than a third of the statements. */

#define PROXIES 134
#define DOMAINS 3
#define MEMBERS 3
#define MAX_CONNECTIONS 85
#define SLOTS 6
#define QUEUE_MAX 48
#define OPENING_MS 12
#define ROUND_TRIP_MS 1
#define OPERATIONS_PER_S 262.5
#define WAVE 0.55
#define WAVE_MS 17000
#define SESSIONS 6 /* of a proxy */
#define TRANSACTION_STATEMENTS 3
#define POSITION_MS 400 /* between messages with the primary's position */
#define READ_RETRY_MS 300
#define ATTEMPTS_MAX 5
#define CALLS_MAX 2
#define TICK_MS 25
#define START_MS 1000 /* the proxies start before the load */
#define BURST_AT_MS 18000
#define BURST_MS 3000
#define END_MS 36000
#define LINKS_MAX 2000
#define JOBS_MAX 40000

enum work_kind {
    WORK_NONE,
    WORK_OPENING,
    WORK_STATEMENT,
};

/* A connection, as the member sees it. */
struct member_link {
    bool used;
    bool closed;  /* by the proxy, while its work was in progress */
    bool counted; /* among the member's connections */
    bool refused; /* for the number of connections */
    bool busy;    /* the member's queue had no room */
    int member;
    int proxy;
    const struct member_link_events *events;
    void *ctx;
    enum work_kind work;
    bool running;
    clock_ms answer_at; /* 0: waits for a slot */
    int64_t work_ms;
    struct token min_position;
    GList waiting; /* in the member's queue */
};

struct session_model {
    struct token seen;
};

struct job {
    struct connection_request request;
    struct pooled_link *link;
    struct session_model *session;
    int proxy;
    int statements_left;
    bool transaction;
    bool for_primary;
    int target_ms;
    int staleness_ms;
    bool begun;
    int attempts;
    clock_ms sent_at;    /* 0: no statement in progress */
    clock_ms resumes_at; /* of a transaction that rests; 0 otherwise */
    int calls;           /* of the caller, with this one */
    clock_ms returns_at; /* of a caller whose call has failed */
    bool done;
    bool served;
    bool late;
    int second;
};

struct member_model {
    int connections;
    int running;
    GQueue waiting;
    uint64_t position;
    int64_t lag_ms;
    clock_ms lag_until;
};

static struct {
    clock_ms now;
    clock_ms start;
    struct rng rng;
    struct service *proxies[PROXIES];
    struct session_model sessions[PROXIES][SESSIONS];
    struct member_model members[MEMBERS];
    struct member_link links[LINKS_MAX];
    int links_end;
    struct job jobs[JOBS_MAX];
    int job_count;
    int first_open_job;
    bool burst;
    bool without_home;
    int statements[MEMBERS];
    int opened;
    int refused_full;
    int refused_busy;
    int busy_answers;
    int lagging_answers;
    int abandoned;
    int64_t statement_slot_ms;
    int64_t opening_slot_ms;
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

/* Returns the time of a statement: a lognormal distribution with a mean of
   28 ms in steps of a twentieth. */
static int64_t
statement_ms(void)
{
    static const int parts[20] = {7,  10, 12, 13, 15, 16, 18, 19, 21, 23,
                                  24, 26, 28, 31, 34, 37, 41, 47, 56, 70};
    const uint64_t part = rng_below(&model.rng, 20);

    if (part == 19 && rng_below(&model.rng, 2) == 0) {
        return 98;
    }
    return parts[part];
}

/* Puts the work that a link has for its member into the queue. Without room
   there, a statement is refused. */
static void
add_work(struct member_link *l)
{
    struct member_model *m = &model.members[l->member];

    l->answer_at = 0;
    l->busy = l->work == WORK_STATEMENT && m->waiting.length >= QUEUE_MAX;
    if (l->busy) {
        l->answer_at = model.now + ROUND_TRIP_MS;
        return;
    }
    l->waiting = (GList){.data = l};
    g_queue_push_tail_link(&m->waiting, &l->waiting);
}

static struct member_link *
open_link(void *codec_ctx, const struct member_entry *e, const char *account,
          const struct member_link_events *events, void *ctx)
{
    const int member = e->id[1] - '1';
    struct member_model *m = &model.members[member];

    (void)account;
    for (int i = 0; i < LINKS_MAX; i++) {
        struct member_link *l = &model.links[i];
        if (l->used) {
            continue;
        }
        model.links_end = MAX(model.links_end, i + 1);
        *l = (struct member_link){
            .used = true,
            .counted = m->connections < MAX_CONNECTIONS,
            .refused = m->connections >= MAX_CONNECTIONS,
            .member = member,
            .proxy = *(const int *)codec_ctx,
            .events = events,
            .ctx = ctx,
            .work = WORK_OPENING,
            .work_ms = OPENING_MS,
        };
        m->connections += l->counted;
        model.opened += model.now >= model.start + START_MS;
        add_work(l);
        return l;
    }
    fprintf(stderr, "out of links\n");
    exit(2);
}

static void
send_link(struct member_link *l, const struct request *r,
          const struct token *min_position)
{
    l->work = WORK_STATEMENT;
    l->work_ms = r->verb == VERB_ROLLBACK ? 1 : statement_ms();
    l->min_position = min_position != NULL ? *min_position : (struct token){0};
    add_work(l);
}

static void
free_link(struct member_link *l)
{
    model.members[l->member].connections -= l->counted;
    l->used = false;
}

static void
close_link(struct member_link *l)
{
    if (l->running) {
        l->closed = true; /* the member finishes the work */
        return;
    }
    if (l->work != WORK_NONE && l->answer_at == 0) {
        g_queue_unlink(&model.members[l->member].waiting, &l->waiting);
    }
    free_link(l);
}

/* Proxies have their own codec, whose ctx is their number. */
static struct member_codec codecs[PROXIES];
static int numbers[PROXIES];
static const char *const domains[DOMAINS] = {"a", "b", "c"};

static void
start_proxy(int i)
{
    struct member_entry members[MEMBERS] = {0};
    struct fleet_share share = {.max_connections = MAX_CONNECTIONS,
                                .proxies = PROXIES};
    for (int k = 0; k < PROXIES && !model.without_home; k++) {
        home_place_add(&share.place, domains[k % DOMAINS]);
    }
    home_place_set_own(&share.place, domains[i % DOMAINS], i / DOMAINS);
    const struct connection_limits limits = connection_limits_in_fleet(&share);
    const struct service_config config = {
        .name = "db",
        .failure_domain = domains[i % DOMAINS],
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
    if (!served && j->calls < CALLS_MAX) {
        j->returns_at = model.now + 50 + (int64_t)rng_below(&model.rng, 100);
        return;
    }
    j->done = true;
    j->served = served;
    j->late = served && model.now > j->request.target;
}

/* Submits an operation again after an attempt that was not executed, as
   exchange.c does. */
static void
retry(struct job *j, const char *member)
{
    g_strlcpy(j->request.avoid_member, member,
              sizeof(j->request.avoid_member));
    j->link = NULL;
    j->sent_at = 0;
    if (j->attempts >= ATTEMPTS_MAX || model.now >= j->request.deadline) {
        finish(j, false);
        return;
    }
    j->attempts++;
    service_submit(model.proxies[j->proxy], &j->request);
}

static void
send_statement(struct job *j)
{
    const struct request r = {
        .verb = VERB_READ, .id = SVIEW("q"), .text = SVIEW("READ x")};

    j->resumes_at = 0;
    j->sent_at = model.now;
    pooled_send(j->link, &r,
                pooled_is_primary(j->link) || j->begun
                    ? NULL
                    : &j->request.min_position);
}

static void
on_answered(void *ctx, const struct answer *a)
{
    struct job *j = ctx;
    struct pooled_link *l = j->link;

    j->sent_at = 0;
    if (a->failure != FAILURE_NONE) {
        char member[MEMBER_ID_BYTES];
        g_strlcpy(member, pooled_member(l), sizeof(member));
        j->link = NULL;
        if (j->begun) {
            pooled_release(l, true);
            finish(j, false);
            return;
        }
        j->request.needs_primary =
            j->request.needs_primary || a->failure == FAILURE_LAGGING;
        pooled_release(l, false);
        retry(j, member);
        return;
    }
    token_raise(&j->session->seen, a->position.term, a->position.position);
    j->session->seen.known = true;
    if (--j->statements_left > 0) {
        j->begun = true;
        j->resumes_at = model.now + 20 + (int64_t)rng_below(&model.rng, 120);
        /* The deadline is that of each statement. */
        j->request.deadline += 300;
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
    struct job *j = ctx;

    (void)why;
    finish(j, false);
}

/* Submits a new job, which is a call of a caller. */
static void
submit_job(const struct job *call)
{
    if (model.job_count == JOBS_MAX) {
        fprintf(stderr, "out of jobs\n");
        exit(2);
    }
    struct job *j = &model.jobs[model.job_count++];

    *j = *call;
    j->attempts = 1;
    j->calls = call->calls + 1;
    j->statements_left = j->transaction ? TRANSACTION_STATEMENTS : 1;
    j->second = (int)(model.now - model.start) / 1000;
    j->request = (struct connection_request){
        .priority = 1,
        .needs_primary = j->for_primary,
        .floor = j->session->seen,
        .arrived_at = model.now,
        .deadline = model.now + (int64_t)2 * j->target_ms,
        .target = model.now + j->target_ms,
        .staleness_ms = j->staleness_ms,
        .granted = on_granted,
        .refused = on_refused,
        .ctx = j,
    };
    service_submit(model.proxies[j->proxy], &j->request);
}

/* Starts a caller's operation at a proxy of a failure domain. */
static void
start_operation(int domain)
{
    static const int targets[3] = {200, 400, 800};
    static const int staleness[3] = {800, 1000, 2000};

    const int proxy =
        domain +
        DOMAINS * (int)rng_below(&model.rng,
                                 (uint64_t)(PROXIES - domain + DOMAINS - 1) /
                                     DOMAINS);
    const uint64_t route = rng_below(&model.rng, 3);
    const bool transaction = rng_below(&model.rng, 100) < 12;
    const struct job call = {
        .proxy = proxy,
        .session = &model.sessions[proxy][rng_below(&model.rng, SESSIONS)],
        .transaction = transaction,
        .for_primary = rng_below(&model.rng, 100) < 12,
        .target_ms = targets[route],
        .staleness_ms = staleness[route],
    };
    submit_job(&call);
}

/* Delivers the answer to a link's work. */
static void
answer_link(struct member_link *l)
{
    const struct member_model *m = &model.members[l->member];
    struct answer a = {
        .position = {.term = 1, .position = m->position, .known = true}};
    const enum work_kind work = l->work;

    l->work = WORK_NONE;
    if (work == WORK_OPENING) {
        model.refused_busy += l->busy;
        model.refused_full += l->refused && !l->busy;
        if (l->busy || l->refused) {
            l->events->refused(l->ctx, l->busy ? FAILURE_BUSY
                                               : FAILURE_CONNECTION_LIMIT);
            return;
        }
        l->events->opened(l->ctx, &a.position);
        return;
    }
    if (l->busy) {
        a.failure = FAILURE_BUSY;
        a.position.known = false;
    }
    else if (l->min_position.known &&
             !token_is_satisfied(&l->min_position, 1, m->position)) {
        a.failure = FAILURE_LAGGING;
    }
    model.busy_answers += l->busy;
    model.lagging_answers += a.failure == FAILURE_LAGGING;
    model.statements[l->member] += a.failure == FAILURE_NONE;
    l->events->answered(l->ctx, &a);
}

static void
start_work(struct member_model *m)
{
    while (m->running < SLOTS && m->waiting.length > 0) {
        struct member_link *l = g_queue_pop_head_link(&m->waiting)->data;
        int64_t ms = l->work_ms;
        if (l->work == WORK_STATEMENT && l->min_position.known &&
            !token_is_satisfied(&l->min_position, 1, m->position)) {
            ms = 1; /* answered LAGGING without being run */
        }
        if (l->work == WORK_STATEMENT) {
            model.statement_slot_ms += ms;
        }
        else {
            model.opening_slot_ms += ms;
        }
        m->running++;
        l->running = true;
        l->answer_at = model.now + ms;
    }
}

/* Finishes the work that is due, and starts work that waits for a slot. */
static void
run_members(void)
{
    for (int i = 0; i < model.links_end; i++) {
        struct member_link *l = &model.links[i];
        if (!l->used || l->answer_at == 0 || l->answer_at > model.now) {
            continue;
        }
        if (l->running) {
            l->running = false;
            model.members[l->member].running--;
            l->answer_at = model.now + ROUND_TRIP_MS;
            if (l->closed) {
                free_link(l);
            }
            continue;
        }
        l->answer_at = 0;
        answer_link(l);
    }
    for (int k = 0; k < MEMBERS; k++) {
        start_work(&model.members[k]);
    }
}

/* The log grows by one position in each millisecond. A replica's lag changes
   every half second. */
static void
move_positions(void)
{
    for (int k = 0; k < MEMBERS; k++) {
        struct member_model *m = &model.members[k];
        if (k > 0 && model.now >= m->lag_until) {
            const double u =
                (double)(rng_below(&model.rng, 1000000) + 1) / 1000000;
            m->lag_ms = (int64_t)MIN(-150 * log(u), 900);
            m->lag_until = model.now + 500;
        }
        m->position = MAX(m->position, (uint64_t)(model.now - m->lag_ms));
    }
}

/* Applies the timeouts of exchange.c. */
static void
check_job(struct job *j)
{
    if (j->returns_at != 0) {
        if (model.now >= j->returns_at) {
            j->done = true;
            const struct job call = {.proxy = j->proxy,
                                     .session = j->session,
                                     .transaction = j->transaction,
                                     .for_primary = j->for_primary,
                                     .target_ms = j->target_ms,
                                     .staleness_ms = j->staleness_ms,
                                     .calls = j->calls};
            submit_job(&call);
        }
        return;
    }
    if (j->resumes_at != 0 && model.now >= j->resumes_at) {
        send_statement(j);
        return;
    }
    if (j->sent_at == 0 || j->link == NULL) {
        return;
    }
    struct pooled_link *l = j->link;

    if (!j->transaction && !j->request.needs_primary &&
        model.now - j->sent_at >= READ_RETRY_MS &&
        j->attempts < ATTEMPTS_MAX && model.now < j->request.deadline) {
        char member[MEMBER_ID_BYTES];
        g_strlcpy(member, pooled_member(l), sizeof(member));
        model.abandoned++;
        pooled_abandon(l);
        retry(j, member);
    }
    else if (model.now >= j->request.deadline) {
        model.abandoned++;
        j->link = NULL;
        pooled_abandon(l);
        finish(j, false);
    }
}

/* Returns the load of a failure domain in operations per millisecond. */
static double
current_load(int domain)
{
    const clock_ms t = model.now - model.start - START_MS;
    const double phase = 2 * G_PI * ((double)t / WAVE_MS + (double)domain / 6);
    const bool burst =
        model.burst && t >= BURST_AT_MS && t < BURST_AT_MS + BURST_MS;

    if (t < 0) {
        return 0;
    }
    return OPERATIONS_PER_S / DOMAINS / 1000 * (1 + WAVE * sin(phase)) *
           (burst ? 2 : 1);
}

static void
step(void)
{
    model.now++;
    move_positions();
    for (int d = 0; d < DOMAINS; d++) {
        if ((double)rng_below(&model.rng, 1000000) <
            current_load(d) * 1000000) {
            start_operation(d);
        }
    }
    run_members();
    while (model.first_open_job < model.job_count &&
           model.jobs[model.first_open_job].done) {
        model.first_open_job++;
    }
    for (int i = model.first_open_job; i < model.job_count; i++) {
        if (!model.jobs[i].done) {
            check_job(&model.jobs[i]);
        }
    }
    for (int i = 0; i < PROXIES; i++) {
        if ((model.now + (clock_ms)i * 7) % POSITION_MS == 0) {
            const struct token t = {
                .term = 1, .position = (uint64_t)model.now, .known = true};
            service_add_primary_position(model.proxies[i], model.now, &t);
        }
        if ((model.now + i) % TICK_MS == 0) {
            service_tick(model.proxies[i], model.now);
        }
    }
}

/* Counts the operations that started in [from_ms, to_ms) after the start of
   the load, and those of them that were not served. */
static void
count_jobs(int from_ms, int to_ms, int *all, int *failed, int *late)
{
    *all = 0;
    *failed = 0;
    *late = 0;
    for (int i = 0; i < model.job_count; i++) {
        const struct job *j = &model.jobs[i];
        const clock_ms t = j->second * 1000 - START_MS;
        if (t >= from_ms && t < to_ms) {
            (*all)++;
            *failed += !j->served;
            *late += j->late;
        }
    }
}

static void
print_seconds(void)
{
    for (int s = 0; s < END_MS / 1000; s++) {
        int all;
        int failed;
        int late;
        count_jobs(s * 1000, (s + 1) * 1000, &all, &failed, &late);
        printf("%d: operations=%d failed=%d late=%d\n", s, all, failed, late);
    }
}

static void
print_counters(void)
{
    struct service_counters sum = {0};

    for (int i = 0; i < PROXIES; i++) {
        const struct service_counters *c = service_counters(model.proxies[i]);
        sum.refused_deadline += c->refused_deadline;
        sum.refused_queue += c->refused_queue;
        sum.refused_no_member += c->refused_no_member;
    }
    printf("refused: deadline=%llu queue=%llu no_member=%llu\n",
           (unsigned long long)sum.refused_deadline,
           (unsigned long long)sum.refused_queue,
           (unsigned long long)sum.refused_no_member);
}

int
main(int argc, char **argv)
{
    const uint64_t seed = argc > 2 ? g_ascii_strtoull(argv[2], NULL, 10) : 1;

    model.burst = argc > 1 && strcmp(argv[1], "burst") == 0;
    model.without_home = argc > 3 && strcmp(argv[3], "without-home") == 0;
    rng_seed(&model.rng, seed);
    model.now = 100000;
    model.start = model.now;
    for (int i = 0; i < PROXIES; i++) {
        start_proxy(i);
    }
    while (model.now < model.start + START_MS + END_MS) {
        step();
    }
    const int statements =
        model.statements[0] + model.statements[1] + model.statements[2];
    const int from = model.burst ? BURST_AT_MS + BURST_MS + 2000 : 0;
    int all;
    int failed;
    int late;
    /* Those that came last may still be in progress. */
    count_jobs(from, END_MS - 2000, &all, &failed, &late);
    if (argc > 3 && !model.without_home) {
        print_seconds();
        print_counters();
    }
    printf("%s seed=%llu operations=%d failed=%d late=%d statements=%d "
           "at_primary=%d opened=%d (%.3f a statement) refused_full=%d "
           "refused_busy=%d busy=%d lagging=%d abandoned=%d "
           "statement_slot_ms=%lld opening_slot_ms=%lld\n",
           model.burst ? "burst" : "calm", (unsigned long long)seed, all,
           failed, late, statements, model.statements[0], model.opened,
           (double)model.opened / statements, model.refused_full,
           model.refused_busy, model.busy_answers, model.lagging_answers,
           model.abandoned, (long long)model.statement_slot_ms,
           (long long)model.opening_slot_ms);
    for (int i = model.first_open_job; i < model.job_count; i++) {
        struct job *j = &model.jobs[i];
        if (!j->done && j->request.queued) {
            service_withdraw(model.proxies[j->proxy], &j->request);
        }
    }
    for (int i = 0; i < PROXIES; i++) {
        service_destroy(model.proxies[i]);
    }
    if (model.statements[0] * 3 > statements) {
        return 1;
    }
    if (model.burst) {
        return failed * 100 > all * 3 ? 1 : 0;
    }
    return failed > 0 || model.opened * 10 >= statements ||
                   model.refused_full * 100 > model.opened
               ? 1
               : 0;
}
