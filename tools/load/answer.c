#include "load/checker.h"
#include "load/client.h"
#include "load/flow.h"
#include "load/options.h"
#include "load/pid_usage.h"

#include "base/clock.h"

#define LOG_MODULE "answer"
#include "base/log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define ANSWER_ROW_BYTES 8192
#define ANSWER_SAMPLE_INTERVAL_S 0.02
#define ANSWER_LIMIT_S 180.0
/* The slow reader reads the first eighth of the answer at this rate and the
   rest at full speed. During the slow part, unread data accumulates. */
#define ANSWER_SLOW_BYTES_PER_SECOND (32LL << 20)

/* A connection that reads a large answer. */
struct reader {
    struct client client;
    struct checked_answer answer;
    int64_t slow_rows;
    bool open;
    bool failed;
    bool done;
};

static void
on_connected(void *ctx, bool ok)
{
    struct reader *r = ctx;

    r->open = ok;
    r->failed = !ok;
}

/* Checks a row, and ends the rate limit after the slow part. */
static void
on_row(void *ctx, const PGresult *row)
{
    struct reader *r = ctx;

    checker_answer_check_row(&r->answer, PQgetvalue(row, 0, 0),
                             PQgetlength(row, 0, 0));
    if (r->answer.next_row == r->slow_rows) {
        r->client.pace_bytes_per_second = 0;
    }
}

static void
on_done(void *ctx, const struct client_answer *a)
{
    struct reader *r = ctx;

    r->done = a->outcome == CLIENT_ACKED;
    r->failed = !r->done;
    if (r->failed) {
        LOG_ERROR("read", NULL, "the answer ended with SQLSTATE %s",
                  a->sqlstate);
    }
}

static void
on_closed(void *ctx)
{
    struct reader *r = ctx;

    r->failed = true;
}

static const struct client_callbacks callbacks = {
    .connected = on_connected,
    .done = on_done,
    .closed = on_closed,
    .row = on_row,
};

/* Reads one large answer. Sets *seconds to its duration and raises *growth to
   the growth of the proxy's memory in bytes, if that is larger. Returns false
   if the answer was not complete or the memory could not be read. */
static bool
read_answer(const struct load_options *o, struct checker *checker, bool slow,
            int64_t *growth, double *seconds)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    const int64_t rows = ((int64_t)o->megabytes << 20) / ANSWER_ROW_BYTES;
    struct reader r = {0};
    const struct client_target t = {
        .address = o->proxies[0],
        .database = o->database,
        .user = "load",
        .kind = strcmp(o->site, "guild") == 0 ? "licence" : "filing",
        .token = "none",
    };
    char sql[96];

    client_init(&r.client, loop, &callbacks, &r);
    client_connect(&r.client, &t);
    for (int i = 0; !r.open && !r.failed && i < 500; i++) {
        flow_wait(loop, 0.01);
    }
    checker_answer_begin(&r.answer, rows, ANSWER_ROW_BYTES);
    r.slow_rows = slow ? rows / 8 : 0;
    r.client.pace_bytes_per_second = slow ? ANSWER_SLOW_BYTES_PER_SECOND : 0;
    snprintf(sql, sizeof(sql), "SELECT fake_rows(%" PRId64 ", %d)", rows,
             ANSWER_ROW_BYTES);
    const int64_t before = pid_resident_bytes(o->proxy_pid);
    const int64_t from = clock_monotonic_us();
    if (r.open) {
        client_send(&r.client, sql);
    }
    const int64_t deadline = flow_deadline(ANSWER_LIMIT_S);
    while (!r.done && !r.failed && clock_monotonic_us() < deadline) {
        flow_wait(loop, ANSWER_SAMPLE_INTERVAL_S);
        /* A large answer may take longer than the client's timeout, so restart
           it; ANSWER_LIMIT_S applies instead. */
        ev_timer_again(loop, &r.client.timeout);
        *growth = MAX(*growth, pid_resident_bytes(o->proxy_pid) - before);
    }
    *seconds = (double)(clock_monotonic_us() - from) / 1e6;
    checker_answer_end(checker, &r.answer, r.done);
    client_close(&r.client);
    return r.done && before > 0;
}

/* Measures the growth of the proxy's memory while it forwards a large answer,
   to a fast reader and to a slow one. */
bool
answer_run(const struct load_options *o)
{
    struct checker *checker = checker_create();
    int64_t growth = 0;
    double fast = 0.0;
    double slow = 0.0;
    const bool ok = read_answer(o, checker, false, &growth, &fast) &&
                    read_answer(o, checker, true, &growth, &slow);

    printf("answer_incomplete=%" PRId64 "\n",
           checker->counts.incomplete_answers);
    if (ok) {
        printf("answer_megabytes=%d\n", o->megabytes);
        printf("answer_growth_mb=%.1f\n", (double)growth / (1 << 20));
        printf("answer_fast_mb_per_second=%.0f\n", o->megabytes / fast);
        printf("answer_slow_mb_per_second=%.0f\n", o->megabytes / slow);
    }
    checker_destroy(checker);
    return ok;
}
