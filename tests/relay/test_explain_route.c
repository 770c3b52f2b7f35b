#include "relay/explain_route.h"
#include "relay/service_internal.h"

#include "base/rng.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Random states of a service whose members are played by a fake codec. Before
   each submission the service is explained, and afterwards it must have done
   what the explanation said. */

#define MEMBERS 4
#define STEPS 6000
#define SEEDS 6
#define REQUESTS 700 /* beyond the limit of the queue */
#define ACCOUNTS 3

struct member_link {
    const struct member_link_events *events;
    void *ctx;
    int outstanding;
    bool opened;
    char member[MEMBER_ID_BYTES];
};

struct world;

struct job {
    struct connection_request request;
    struct world *world;
    struct pooled_link *link;
    bool in_use;
    bool granted;
    bool refused;
    const char *why;
    char member[MEMBER_ID_BYTES];
};

struct world {
    struct rng rng;
    clock_ms now;
    bool lease;
    uint64_t epoch;
    uint64_t position;
    struct member_codec codec;
    struct service *service;
    struct member_entry members[MEMBERS];
    struct account accounts[ACCOUNTS];
    GPtrArray *links; /* of struct member_link */
    struct job jobs[REQUESTS];
    struct job *probe; /* the job whose submission is being checked */
    int outcomes[3];
    int opened;
    int explained;
    int queue_full;
};

static uint64_t
pick(struct world *w, uint64_t n)
{
    return rng_below(&w->rng, n);
}

static struct member_link *
open_link(void *codec_ctx, const struct member_entry *m, const char *account,
          const struct member_link_events *events, void *ctx)
{
    struct world *w = codec_ctx;
    struct member_link *l = g_new0(struct member_link, 1);

    (void)account;
    l->events = events;
    l->ctx = ctx;
    g_strlcpy(l->member, m->id, sizeof(l->member));
    g_ptr_array_add(w->links, l);
    return l;
}

static void
send_link(struct member_link *l, const struct request *r,
          const struct token *min_position)
{
    (void)r;
    (void)min_position;
    l->outstanding++;
}

static struct world *current; /* owner of the links in close_link() */

static void
close_link(struct member_link *l)
{
    g_ptr_array_remove_fast(current->links, l);
    g_free(l);
}

static clock_ms
world_now(void *ctx)
{
    const struct world *w = ctx;

    return w->now;
}

static bool
lease_valid(void *ctx, const char *service, clock_ms now)
{
    const struct world *w = ctx;

    (void)service;
    (void)now;
    return w->lease;
}

static void
on_answered(void *ctx, const struct answer *a)
{
    struct job *j = ctx;
    struct pooled_link *l = j->link;

    (void)a;
    if (pick(j->world, 12) == 0) {
        pooled_set_inactive(l); /* a transaction that waits */
        return;
    }
    j->link = NULL;
    j->in_use = false;
    pooled_release(l, false);
}

static void
on_lost(void *ctx, const char *why)
{
    struct job *j = ctx;

    (void)why;
    j->link = NULL;
    j->in_use = false;
}

static const struct pooled_user user = {.answered = on_answered,
                                        .lost = on_lost};

static void
on_granted(void *ctx, struct pooled_link *l)
{
    struct job *j = ctx;
    const struct request r = {
        .verb = VERB_READ, .id = SVIEW("q"), .text = SVIEW("READ x")};

    j->granted = true;
    j->link = l;
    g_strlcpy(j->member, pooled_member(l), sizeof(j->member));
    pooled_set_user(l, &user, j);
    pooled_send(l, &r, pooled_is_primary(l) ? NULL : &j->request.min_position);
}

static void
on_refused(void *ctx, const char *why)
{
    struct job *j = ctx;

    j->refused = true;
    j->why = why;
    j->in_use = false;
}

/* Makes a request with random properties. */
static struct job *
make_job(struct world *w)
{
    struct job *j = NULL;

    for (int i = 0; i < REQUESTS && j == NULL; i++) {
        j = w->jobs[i].in_use ? NULL : &w->jobs[i];
    }
    if (j == NULL) {
        return NULL;
    }
    const clock_ms arrived = w->now - (clock_ms)pick(w, 30);
    *j = (struct job){.world = w, .in_use = true};
    j->request = (struct connection_request){
        .priority = (int)pick(w, 2),
        .account = w->service->limits.accounts
                       ? &w->accounts[pick(w, ACCOUNTS)]
                       : NULL,
        .needs_primary = pick(w, 3) == 0,
        .arrived_at = arrived,
        .deadline =
            arrived + 20 + (clock_ms)pick(w, pick(w, 3) == 0 ? 3000 : 500),
        .target = arrived + 40 + (clock_ms)pick(w, 300),
        .staleness_ms = 200 + (int64_t)pick(w, 2000),
        .settings_hash = pick(w, 3),
        .granted = on_granted,
        .refused = on_refused,
        .ctx = j};
    if (pick(w, 3) == 0) {
        j->request.floor =
            (struct token){.term = 3, .position = w->position, .known = true};
    }
    if (pick(w, 10) == 0) {
        g_snprintf(j->request.avoid_member, MEMBER_ID_BYTES, "m%d",
                   (int)pick(w, MEMBERS));
    }
    return j;
}

static void
count_links(const struct world *w, int *counts)
{
    for (int i = 0; i < MEMBERS; i++) {
        const struct member *m =
            service_find_member(w->service, w->members[i].id);
        counts[i] = m != NULL ? (int)m->links->len : 0;
    }
}

/* Explains a request, submits it and compares. A request which was queued and
   found its member must have been placed there; one that was sent must be on
   a connection of the member that was named. */
static void
check_submission(struct world *w)
{
    struct job *j = make_job(w);
    struct explained_placement e;
    int before[MEMBERS];
    int after_explanation[MEMBERS];

    if (j == NULL) {
        return;
    }
    count_links(w, before);
    const struct service_counters counters = w->service->counters;
    const struct rng rng = w->service->rng;
    const size_t length = service_queue_length(w->service);
    explain_placement(w->service, &j->request, &e);
    count_links(w, after_explanation);
    assert_memory_equal(before, after_explanation, sizeof(before));
    assert_memory_equal(&counters, &w->service->counters, sizeof(counters));
    assert_memory_equal(&rng, &w->service->rng, sizeof(rng));
    assert_int_equal(length, service_queue_length(w->service));
    assert_false(j->granted || j->refused);
    assert_int_equal(e.queue_length, length);

    struct placement_decision d = {.member = -1};
    j->request.decision = &d;
    service_submit(w->service, &j->request);
    j->request.decision = NULL;
    w->outcomes[e.outcome]++;
    w->explained++;
    assert_int_equal(e.outcome == EXPLAINED_SENT, j->granted);
    assert_int_equal(e.outcome == EXPLAINED_REFUSED, j->refused);
    assert_int_equal(e.outcome == EXPLAINED_QUEUED,
                     !j->granted && !j->refused);
    assert_int_equal(w->service->counters.links_opened - counters.links_opened,
                     e.connections_opened);
    w->opened += e.connections_opened > 0;
    if (j->refused) {
        assert_string_equal(e.why, j->why);
        w->queue_full += strcmp(j->why, "queue_full") == 0;
        return;
    }
    if (j->granted) {
        assert_string_equal(e.target, j->member);
        return;
    }
    const struct member *m =
        d.member >= 0 ? w->service->members->pdata[d.member] : NULL;
    assert_int_equal(e.target != NULL, m != NULL);
    if (m != NULL) {
        assert_string_equal(e.target, m->entry.id);
    }
    if (d.action == PLACEMENT_AWAIT_MEMBER) {
        assert_int_equal(e.refused_after_ms, d.wait_ms);
        assert_string_equal(e.refusal, d.why);
    }
}

/* Accepts, answers, refuses or closes a random connection. */
static void
act_as_member(struct world *w)
{
    if (w->links->len == 0) {
        return;
    }
    struct member_link *l = w->links->pdata[pick(w, w->links->len)];
    const struct token position = {.term = 3,
                                   .position = w->position -
                                               MIN(w->position, pick(w, 4)),
                                   .known = true};
    const uint64_t dice = pick(w, 100);

    if (!l->opened) {
        if (dice < 80) {
            l->opened = true;
            l->events->opened(l->ctx, &position);
        }
        else if (dice < 88) {
            l->events->refused(l->ctx, FAILURE_CONNECTION_LIMIT);
        }
        else if (dice < 93) {
            l->events->closed(l->ctx, "lost");
        }
        return;
    }
    if (dice < 2) {
        l->events->closed(l->ctx, "lost");
    }
    else if (l->outstanding > 0) {
        const struct answer a = {.failure = dice < 8    ? FAILURE_BUSY
                                            : dice < 20 ? FAILURE_LAGGING
                                                        : FAILURE_NONE,
                                 .state = TRANSACTION_NONE,
                                 .signature = SVIEW("s"),
                                 .position = position};
        l->outstanding--;
        l->events->answered(l->ctx, &a);
    }
}

/* Ends the transactions that wait, at random. */
static void
end_transactions(struct world *w)
{
    for (int i = 0; i < REQUESTS; i++) {
        struct job *j = &w->jobs[i];
        if (j->link != NULL && j->link->state == LINK_GRANTED &&
            !j->link->active && pick(w, 10) == 0) {
            struct pooled_link *l = j->link;
            j->link = NULL;
            j->in_use = false;
            pooled_release(l, false);
        }
    }
}

static void
change_service(struct world *w)
{
    const int i = (int)pick(w, MEMBERS);
    struct token t = {.term = 3, .position = w->position, .known = true};

    switch (pick(w, 8)) {
    case 0:
        w->lease = pick(w, 4) != 0;
        break;
    case 1:
        w->members[i].draining = pick(w, 4) == 0;
        service_set_members(w->service, w->members, MEMBERS, w->now);
        break;
    case 2:
        if (pick(w, 3) == 0) {
            service_set_primary(w->service, ++w->epoch,
                                pick(w, 4) == 0 ? "" : w->members[i].id,
                                pick(w, 3) == 0, w->now);
        }
        break;
    case 3:
        service_set_members(w->service, w->members,
                            pick(w, 4) == 0 ? MEMBERS - 1 : MEMBERS, w->now);
        break;
    default:
        w->position++;
        service_add_primary_position(w->service, w->now, &t);
        break;
    }
}

static void
world_create(struct world *w, uint64_t seed)
{
    memset(w, 0, sizeof(*w));
    current = w;
    rng_seed(&w->rng, seed);
    w->now = 100000;
    w->lease = true;
    w->epoch = 1;
    w->position = 10;
    w->links = g_ptr_array_new();
    w->codec = (struct member_codec){
        .open = open_link, .send = send_link, .close = close_link, .ctx = w};
    for (int i = 0; i < MEMBERS; i++) {
        g_snprintf(w->members[i].id, MEMBER_ID_BYTES, "m%d", i);
        g_strlcpy(w->members[i].service, "db", sizeof(w->members[i].service));
        g_strlcpy(w->members[i].failure_domain, i % 2 == 0 ? "a" : "b",
                  sizeof(w->members[i].failure_domain));
        w->members[i].slots = 2;
    }
    for (int i = 0; i < ACCOUNTS; i++) {
        w->accounts[i] = (struct account){
            .name = g_strdup_printf("account%d", i), .priority = i / 2};
    }
    const struct service_config sc = {.name = "db",
                                      .failure_domain = "a",
                                      .codec = &w->codec,
                                      .lease_valid = lease_valid,
                                      .now = world_now,
                                      .ctx = w,
                                      .seed = seed};
    w->service = service_create(&sc);
    /* By seed: connections that stay open; on demand; with accounts. */
    const struct connection_limits limits = {.working = 3,
                                             .total = 4,
                                             .idle_permille =
                                                 seed % 3 == 0 ? 0 : 300,
                                             .accounts = seed % 3 == 2};
    service_set_connection_limits(w->service, &limits);
    service_set_members(w->service, w->members, MEMBERS, w->now);
    service_set_primary(w->service, ++w->epoch, "m0", false, w->now);
}

static void
world_destroy(struct world *w)
{
    for (int i = 0; i < REQUESTS; i++) {
        service_withdraw(w->service, &w->jobs[i].request);
    }
    service_destroy(w->service);
    g_ptr_array_free(w->links, TRUE);
    for (int i = 0; i < ACCOUNTS; i++) {
        g_free(w->accounts[i].name);
    }
}

/* Guards against an explanation that names another member, refusal or wait
   than the service then decides, and against one that changes the service. */
static void
test_explanation_agrees(void **state)
{
    static struct world w;
    int outcomes[3] = {0};
    int opened = 0;
    int queue_full = 0;

    (void)state;
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        world_create(&w, seed);
        for (int step = 0; step < STEPS; step++) {
            /* A short overload now and then, and one that fills the queue. */
            const bool overload =
                step / 100 % 10 == 9 || (step >= 2000 && step < 3000);
            const uint64_t dice = pick(&w, 100);
            if (dice < (overload ? 85 : 12)) {
                check_submission(&w);
            }
            else if (dice < 85) {
                act_as_member(&w);
            }
            else if (dice < 87) {
                change_service(&w);
            }
            else if (dice < 91) {
                end_transactions(&w);
            }
            else {
                w.now += (clock_ms)pick(&w, overload ? 5 : 30);
                if (pick(&w, 2) == 0) {
                    service_tick(w.service, w.now);
                }
            }
        }
        for (int i = 0; i < 3; i++) {
            outcomes[i] += w.outcomes[i];
        }
        opened += w.opened;
        queue_full += w.queue_full;
        world_destroy(&w);
    }
    print_message("sent=%d queued=%d refused=%d opened=%d queue_full=%d\n",
                  outcomes[EXPLAINED_SENT], outcomes[EXPLAINED_QUEUED],
                  outcomes[EXPLAINED_REFUSED], opened, queue_full);
    /* All outcomes must have been compared often. */
    assert_true(outcomes[EXPLAINED_SENT] > 500);
    assert_true(outcomes[EXPLAINED_QUEUED] > 500);
    assert_true(outcomes[EXPLAINED_REFUSED] > 100);
    assert_true(opened > 100);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_explanation_agrees),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
