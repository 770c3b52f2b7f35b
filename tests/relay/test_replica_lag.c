#include "relay/relay_fixture.h"
#include "relay/replica_lag.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Reads while all replicas lag, where connections are opened on demand. */

#define LAG_MS 150
#define STATEMENT_MS 10
#define STEP_MS 5
#define STEPS 800
#define JOBS STEPS

static struct token
token_at(clock_ms position)
{
    return (struct token){
        .term = 3, .position = (uint64_t)position, .known = true};
}

/* Guards against a lag that is estimated from the time of an answer alone, and
   against one that keeps reads away from a replica that has caught up. The
   primary's position grows by one in each millisecond. */
static void
test_wait_follows_lag(void **state)
{
    struct position_samples s = {0};
    struct replica_lag r = {0};
    struct token t;

    (void)state;
    for (clock_ms at = 1000; at <= 2000; at += 100) {
        t = token_at(at);
        position_samples_add(&s, at, &t);
    }
    t = token_at(2000);
    assert_int_equal(replica_lag_wait_ms(&r, &s, &t, 9000, 2000), 0);
    const struct token behind = token_at(1650);
    replica_lag_reported(&r, &s, &behind, 2000);
    assert_int_equal(replica_lag_wait_ms(&r, &s, &t, 9000, 2000), 350);
    assert_int_equal(replica_lag_wait_ms(&r, &s, &t, 9000, 2100), 250);
    t = token_at(1650);
    assert_int_equal(replica_lag_wait_ms(&r, &s, &t, 9000, 2000), 0);
    t = token_at(1800);
    assert_int_equal(replica_lag_wait_ms(&r, &s, &t, 9000, 2000), 150);
    /* A position above the samples may be as recent as its request, but not
       more recent. */
    t = token_at(2010);
    assert_int_equal(replica_lag_wait_ms(&r, &s, &t, 2020, 2020), 350);
    assert_int_equal(replica_lag_wait_ms(&r, &s, &t, 2020, 2120), 250);
    assert_int_equal(replica_lag_wait_ms(&r, &s, &t, 2020, 2370), 0);
    /* A larger lag counts at once, a smaller one gradually. */
    t = token_at(2000);
    const struct token far_behind = token_at(1400);
    replica_lag_refused(&r, &s, &far_behind, &t, 2000);
    assert_int_equal(replica_lag_wait_ms(&r, &s, &t, 9000, 2000), 600);
    const struct token near = token_at(1900);
    replica_lag_reported(&r, &s, &near, 2000);
    const int64_t less = replica_lag_wait_ms(&r, &s, &t, 9000, 2000);
    assert_true(less < 600 && less > 100);
    /* Without answers it fades. */
    assert_int_equal(replica_lag_wait_ms(&r, &s, &t, 9000, 6000), 0);
}

/* Guards against trying a replica again at once whose report contradicts its
   refusal. */
static void
test_contradicting_report(void **state)
{
    struct position_samples s = {0};
    struct replica_lag r = {0};
    const struct token t = token_at(1000);
    const struct token above = token_at(1200);

    (void)state;
    position_samples_add(&s, 1000, &t);
    replica_lag_refused(&r, &s, &above, &t, 1000);
    assert_true(replica_lag_wait_ms(&r, &s, &t, 1000, 1000) > 0);
}

struct read_job {
    struct connection_request request;
    struct fixture *fixture;
    struct pooled_link *link;
    bool done;
    bool late;
    bool at_primary;
    int lagging;
};

static void on_granted(void *ctx, struct pooled_link *l);

static void
on_answered(void *ctx, const struct answer *a)
{
    struct read_job *j = ctx;
    struct pooled_link *l = j->link;

    j->link = NULL;
    if (a->failure == FAILURE_LAGGING) {
        j->lagging++;
        j->request.needs_primary = true;
        pooled_release(l, false);
        service_submit(j->fixture->service, &j->request);
        return;
    }
    j->done = true;
    j->late = j->fixture->now > j->request.target;
    pooled_release(l, false);
}

static const struct pooled_user user = {.answered = on_answered};

static void
on_granted(void *ctx, struct pooled_link *l)
{
    struct read_job *j = ctx;
    const struct request r = {
        .verb = VERB_READ, .id = SVIEW("q"), .text = SVIEW("READ x")};

    j->link = l;
    j->at_primary = pooled_is_primary(l);
    pooled_set_user(l, &user, j);
    pooled_send(l, &r, j->at_primary ? NULL : &j->request.min_position);
}

static void
on_refused(void *ctx, const char *why)
{
    (void)ctx;
    fail_msg("refused: %s", why);
}

/* Accepts new connections, and answers the statements that are due. */
static void
play_members(struct fixture *f)
{
    for (int i = 0; i < f->link_count; i++) {
        struct member_link *l = f->links[i];
        const struct token start = token_at(f->now);
        if (l->closed) {
            continue;
        }
        if (l->busy_until == 0) {
            l->busy_until = f->now;
            l->events->opened(l->ctx, &start);
        }
        if (l->sent_count == 0) {
            l->busy_until = f->now + STATEMENT_MS;
            continue;
        }
        if (f->now < l->busy_until) {
            continue;
        }
        const bool primary = strcmp(l->member, "m1") == 0;
        const struct token *min = &l->sent[0].min_position;
        const clock_ms position = f->now - (primary ? 0 : LAG_MS);
        const bool lags = l->sent[0].has_min_position &&
                          !token_is_satisfied(min, 3, (uint64_t)position);
        l->sent_count = 0;
        l->busy_until = f->now + STATEMENT_MS;
        fixture_answer(l, lags ? FAILURE_LAGGING : FAILURE_NONE,
                       TRANSACTION_NONE, 3, (uint64_t)position);
    }
}

/* Load: 200 reads a second, three of four of which need a position that both
   replicas have only 150 ms later. Guards against reads that are tried at a
   lagging replica before they go to the primary, and against a primary that
   gets most of them. */
static void
test_primary_is_not_crowded(void **state)
{
    static struct read_job jobs[JOBS];
    struct fixture f;
    int at_primary = 0;
    int lagging = 0;
    int late = 0;

    (void)state;
    fixture_setup(&f, FRESHNESS_BOUNDED);
    fixture_move_replicas_near(&f);
    /* On demand, with enough of the member's connections to keep them. */
    const struct connection_limits limits = {.working = 4,
                                             .total = 6,
                                             .idle_permille = 6000,
                                             .replica_idle_permille = 6000};
    service_set_connection_limits(f.service, &limits);
    for (int i = 0; i < STEPS + 200; i++) {
        f.now += STEP_MS;
        const struct token now = token_at(f.now);
        service_add_primary_position(f.service, f.now, &now);
        if (i < STEPS) {
            struct read_job *j = &jobs[i];
            *j = (struct read_job){.fixture = &f};
            j->request = (struct connection_request){
                .priority = 1,
                .floor = token_at(i % 4 == 0 ? f.now - 500 : f.now),
                .arrived_at = f.now,
                .deadline = f.now + 800,
                .target = f.now + 400,
                .staleness_ms = 1500,
                .granted = on_granted,
                .refused = on_refused,
                .ctx = j};
            service_submit(f.service, &j->request);
        }
        play_members(&f);
        if (i % 5 == 0) {
            service_tick(f.service, f.now);
        }
    }
    for (int i = 0; i < STEPS; i++) {
        assert_true(jobs[i].done);
        at_primary += jobs[i].at_primary;
        lagging += jobs[i].lagging;
        late += jobs[i].late;
    }
    print_message("at_primary=%d lagging=%d late=%d of %d\n", at_primary,
                  lagging, late, STEPS);
    assert_true(lagging * 20 <= STEPS);
    assert_true(at_primary * 4 <= STEPS);
    assert_true(late * 20 <= STEPS);
    fixture_teardown(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_wait_follows_lag),
        cmocka_unit_test(test_contradicting_report),
        cmocka_unit_test(test_primary_is_not_crowded),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
