#include "member_rows.h"
#include "soak/soak.h"
#include "table_cache.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* The copy of a table when the store comes back from an older copy of its
   own, played by the soak's stand-in of the store. */

#define HOST "127.251.0.1"
#define PORT 26010
#define LOOP_STEP_S 0.01
/* More than the stand-in's interval between snapshots. */
#define SNAPSHOT_STEPS 30
/* Limit for each wait, far above what it takes. */
#define WAIT_MAX_STEPS 1500
#define MEMBER                                                                \
    "{\"service\":\"s1\",\"addr\":\"127.0.0.9:1\",\"zone\":\"z\","            \
    "\"slots\":2,\"state\":\"%s\",\"db_role\":\"replica\",\"born\":7,"        \
    "\"seq\":%d}"

struct fixture {
    struct ev_loop *loop;
    struct standin_store *standin;
    struct store *store;
    struct table_cache *table;
    struct member_rows *rows;
    struct traffic traffic;
    GArray *members; /* after the last change */
    clock_ms marked_at;
    uint64_t era;
    int restorations;
};

void
soak_violation(struct soak *s, const char *fmt, ...)
{
    (void)s;
    fail_msg("%s", fmt);
}

static void
on_changed(void *ctx)
{
    struct fixture *f = ctx;

    if (f->members != NULL) {
        g_array_free(f->members, TRUE);
    }
    f->members = member_rows_decode(f->rows, f->table);
}

static void
on_era(void *ctx, uint64_t era, bool restored)
{
    struct fixture *f = ctx;

    f->era = era;
    if (restored) {
        f->restorations++;
        table_cache_store_restored(f->table);
    }
}

static void
on_step(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)w;
    (void)revents;
    ev_break(loop, EVBREAK_ONE);
}

static void
run_step(struct fixture *f)
{
    ev_timer step;

    ev_timer_init(&step, on_step, LOOP_STEP_S, 0.0);
    ev_timer_start(f->loop, &step);
    ev_run(f->loop, 0);
    ev_timer_stop(f->loop, &step);
}

static void
run_steps(struct fixture *f, int n)
{
    for (int i = 0; i < n; i++) {
        run_step(f);
    }
}

/* Returns the listed member of that id, or NULL. */
static const struct member_entry *
find(const struct fixture *f, const char *id)
{
    for (guint i = 0; f->members != NULL && i < f->members->len; i++) {
        const struct member_entry *m =
            &g_array_index(f->members, struct member_entry, i);
        if (strcmp(m->id, id) == 0) {
            return m;
        }
    }
    return NULL;
}

/* Waits until a member is listed, or is not. */
static void
await(struct fixture *f, const char *id, bool listed)
{
    for (int i = 0; i < WAIT_MAX_STEPS; i++) {
        if ((find(f, id) != NULL) == listed) {
            return;
        }
        run_step(f);
    }
    fail_msg("%s is%s listed", id, listed ? " not" : "");
}

static void
put(struct fixture *f, const char *id, const char *state, int seq)
{
    char *value = g_strdup_printf(MEMBER, state, seq);

    standin_store_put(f->standin, "servers", id, value);
    g_free(value);
}

/* What is written from here on is lost by restore(). */
static void
mark(struct fixture *f)
{
    run_steps(f, SNAPSHOT_STEPS);
    f->marked_at = clock_monotonic_ms();
}

static void
restore(struct fixture *f)
{
    standin_store_restore(f->standin, clock_monotonic_ms() - f->marked_at);
}

static void
await_restoration(struct fixture *f, int n)
{
    for (int i = 0; i < WAIT_MAX_STEPS && f->restorations < n; i++) {
        run_step(f);
    }
    assert_int_equal(f->restorations, n);
}

static void
setup(struct fixture *f)
{
    const struct endpoint address = {.host = HOST, .port = PORT};
    const struct table_cache_config config = {
        .table = "servers",
        .feed_wait_ms = 300,
        .batch_delay_ms = 10,
        .batch_delay_max_ms = 10,
        .keep_lost_ms = 2000,
        .changed = on_changed,
        .ctx = f,
    };

    memset(f, 0, sizeof(*f));
    f->loop = ev_loop_new(EVFLAG_AUTO);
    f->standin = standin_store_create(NULL, f->loop, HOST, PORT, NULL);
    put(f, "i-first", "ready", 1);
    f->rows = member_rows_create();
    f->store = store_create(f->loop, &address, &address, &f->traffic);
    store_set_era_callback(f->store, on_era, f);
    f->table = table_cache_create(f->loop, f->store, &config);
    await(f, "i-first", true);
    mark(f);
}

static void
teardown(struct fixture *f)
{
    store_destroy(f->store);
    table_cache_destroy(f->table);
    member_rows_destroy(f->rows);
    standin_store_destroy(f->standin);
    g_array_free(f->members, TRUE);
    ev_loop_destroy(f->loop);
}

/* Versions are given out again: the row of a change can have one that the feed
   is past already. */
static void
test_change_after_a_restoration_is_delivered(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    for (int i = 0; i < 5; i++) {
        standin_store_put(f.standin, "op", "config", "{}");
    }
    put(&f, "i-lost", "ready", 1);
    await(&f, "i-lost", true);
    restore(&f);
    put(&f, "i-new", "ready", 1);
    for (int i = 0; i < 9; i++) {
        standin_store_put(f.standin, "op", "config", "{}");
    }
    await(&f, "i-new", true);
    teardown(&f);
}

static void
test_lost_entry_is_kept_until_it_may_be_written_again(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    put(&f, "i-lost", "ready", 1);
    await(&f, "i-lost", true);
    restore(&f);
    await_restoration(&f, 1);
    run_steps(&f, 3);
    assert_non_null(find(&f, "i-lost"));
    assert_non_null(find(&f, "i-first"));
    await(&f, "i-lost", false);
    assert_non_null(find(&f, "i-first"));
    teardown(&f);
}

static void
test_entry_that_is_written_again_stays(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    put(&f, "i-lost", "ready", 1);
    await(&f, "i-lost", true);
    restore(&f);
    await_restoration(&f, 1);
    put(&f, "i-lost", "ready", 2);
    put(&f, "i-last", "ready", 1);
    await(&f, "i-last", true);
    run_steps(&f, 250);
    assert_non_null(find(&f, "i-lost"));
    teardown(&f);
}

static void
test_draining_member_does_not_become_ready(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    put(&f, "i-first", "draining", 2);
    for (int i = 0; i < WAIT_MAX_STEPS && !find(&f, "i-first")->draining;
         i++) {
        run_step(&f);
    }
    restore(&f);
    await_restoration(&f, 1);
    run_steps(&f, 30);
    assert_true(find(&f, "i-first")->draining);
    /* A report of a later run counts at once. */
    put(&f, "i-first", "ready", 3);
    for (int i = 0; i < WAIT_MAX_STEPS && find(&f, "i-first")->draining; i++) {
        run_step(&f);
    }
    assert_false(find(&f, "i-first")->draining);
    teardown(&f);
}

static void
test_deleted_entry_that_comes_back_is_no_member(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    standin_store_put(f.standin, "servers", "i-first", NULL);
    await(&f, "i-first", false);
    restore(&f);
    await_restoration(&f, 1);
    run_steps(&f, 30);
    assert_null(find(&f, "i-first"));
    put(&f, "i-first", "ready", 9);
    await(&f, "i-first", true);
    teardown(&f);
}

static void
test_two_restorations_in_a_row(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    put(&f, "i-lost", "ready", 1);
    await(&f, "i-lost", true);
    standin_store_put(f.standin, "servers", "i-first", NULL);
    await(&f, "i-first", false);
    restore(&f);
    await_restoration(&f, 1);
    restore(&f);
    await_restoration(&f, 2);
    run_steps(&f, 30);
    assert_non_null(find(&f, "i-lost"));
    assert_null(find(&f, "i-first"));
    assert_int_equal(f.era, 3);
    teardown(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_change_after_a_restoration_is_delivered),
        cmocka_unit_test(
            test_lost_entry_is_kept_until_it_may_be_written_again),
        cmocka_unit_test(test_entry_that_is_written_again_stays),
        cmocka_unit_test(test_draining_member_does_not_become_ready),
        cmocka_unit_test(test_deleted_entry_that_comes_back_is_no_member),
        cmocka_unit_test(test_two_restorations_in_a_row),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
