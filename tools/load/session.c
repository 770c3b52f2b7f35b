#include "load/session.h"

#include "load/client.h"

#define LOG_MODULE "session"
#include "base/log.h"

#include <stdio.h>
#include <string.h>

#define SESSION_THINK_MAX_MS 20
#define SESSION_RECONNECT_S 0.03
/* The session connects to another proxy before one plan in this many, and
   omits its token on one such connection in this many. */
#define SESSION_ROAM_EVERY 10
#define SESSION_OMIT_TOKEN_EVERY 4
#define SESSION_ROWS_MAX 400
#define SESSION_ROW_BYTES_MAX 3000
/* One renewal in this many first runs a statement of the given duration. */
#define SESSION_LONG_RENEWAL_EVERY 8
#define SESSION_LONG_RENEWAL_MS 60
#define SESSION_PLAN_MAX_STEPS 12

/* How the answer to a statement is checked. */
enum step_kind {
    STEP_UNCHECKED,  /* not checked */
    STEP_WRITE,      /* increments row */
    STEP_READ,       /* reads row */
    STEP_TX_READ,    /* reads row inside the transaction that incremented it */
    STEP_PAIR_FIRST, /* reads the first row of the pair */
    STEP_PAIR_SECOND,    /* reads the second row of the pair */
    STEP_SET,            /* sets the session's own setting */
    STEP_SHOW,           /* reads the session's own setting */
    STEP_GENERATED_ROWS, /* reads rows that the stand-in generates */
    STEP_COMMIT,         /* commits the increments of row and of the pair */
};

struct step {
    enum step_kind kind;
    struct checked_row *row;
    char *sql;
};

struct session {
    struct session_shared *shared;
    struct rng rng;
    struct client client;
    ev_timer pause_timer;
    char name[32];
    const char *kind;
    int proxy;
    int single_write_rows; /* number of rows that add_single_write_row() has
                              added */
    struct checked_row *counter;
    struct checked_row *renewal;
    char *token; /* last reported by a proxy, sent with the next connection */
    struct step steps[SESSION_PLAN_MAX_STEPS];
    int step_count;
    int step;
    bool in_transaction;
    bool setting_is_set;
    bool rolling_back;
    char *pair_first_value; /* last value read from the pair's first row */
    struct checked_answer answer;
    bool running;
    bool stopped;
};

/* Adds a statement to the plan, with the session's name in a comment. */
static void add_step(struct session *s, enum step_kind kind,
                     struct checked_row *row, const char *format, ...)
    G_GNUC_PRINTF(4, 5);

static void
add_step(struct session *s, enum step_kind kind, struct checked_row *row,
         const char *format, ...)
{
    va_list args;

    va_start(args, format);
    char *sql = g_strdup_vprintf(format, args);
    va_end(args);
    s->steps[s->step_count++] = (struct step){
        .kind = kind,
        .row = row,
        .sql = g_strdup_printf("/* owner=%s */ %s", s->name, sql),
    };
    g_free(sql);
}

static void
add_increment(struct session *s, struct checked_row *row)
{
    add_step(s, STEP_WRITE, row,
             "UPDATE %s SET value = value + 1 WHERE id = '%s'", row->table,
             row->key);
}

static void
add_read(struct session *s, enum step_kind kind, struct checked_row *row)
{
    add_step(s, kind, row, "SELECT value FROM %s WHERE id = '%s'", row->table,
             row->key);
}

/* Registers a new row that is written by one statement only. */
static struct checked_row *
add_single_write_row(struct session *s)
{
    char key[64];

    snprintf(key, sizeof(key), "%s-once-%d", s->name, s->single_write_rows++);
    return checker_add_row(s->shared->checker, "entries", key);
}

/* Plans a transaction that increments the session's counter and the shared
   pair and reads all three rows before it commits. */
static void
plan_transaction(struct session *s)
{
    const struct checked_row *pair = s->shared->pair;
    struct checked_row *own = s->counter;

    add_step(s, STEP_UNCHECKED, NULL, "BEGIN");
    add_step(s, STEP_UNCHECKED, NULL,
             "UPDATE entries SET value = value + 1 WHERE id = '%s'", own->key);
    add_step(s, STEP_UNCHECKED, NULL,
             "UPDATE entries SET value = value + 1 WHERE id = '%s-a'",
             pair->key);
    add_step(s, STEP_UNCHECKED, NULL,
             "UPDATE entries SET value = value + 1 WHERE id = '%s-b'",
             pair->key);
    add_read(s, STEP_TX_READ, own);
    add_step(s, STEP_PAIR_FIRST, NULL,
             "SELECT value FROM entries WHERE id = '%s-a'", pair->key);
    add_step(s, STEP_PAIR_SECOND, NULL,
             "SELECT value FROM entries WHERE id = '%s-b'", pair->key);
    add_step(s, STEP_COMMIT, own, "COMMIT");
    add_read(s, STEP_READ, own);
}

static void
plan_pair(struct session *s)
{
    const char *key = s->shared->pair->key;

    add_step(s, STEP_PAIR_FIRST, NULL,
             "SELECT value FROM entries WHERE id = '%s-a'", key);
    add_step(s, STEP_PAIR_SECOND, NULL,
             "SELECT value FROM entries WHERE id = '%s-b'", key);
}

/* Plans a read of generated rows of random number and size. */
static void
plan_rows(struct session *s)
{
    const int64_t rows = 1 + (int64_t)rng_below(&s->rng, SESSION_ROWS_MAX);
    const int64_t bytes =
        1 + (int64_t)rng_below(&s->rng, SESSION_ROW_BYTES_MAX);

    checker_answer_begin(&s->answer, rows, bytes);
    add_step(s, STEP_GENERATED_ROWS, NULL,
             "SELECT fake_rows(%" G_GINT64_FORMAT ", %" G_GINT64_FORMAT ")",
             rows, bytes);
}

/* Plans statements of a long caller kind (renewal or licence). */
static void
plan_renewal(struct session *s)
{
    if (rng_below(&s->rng, SESSION_LONG_RENEWAL_EVERY) == 0) {
        add_step(s, STEP_UNCHECKED, NULL, "SELECT fake_sleep(%d)",
                 SESSION_LONG_RENEWAL_MS);
    }
    add_increment(s, s->renewal);
    add_read(s, STEP_READ, s->renewal);
}

/* Chooses the next statements at random. */
static void
make_plan(struct session *s)
{
    struct checked_row *once;

    if (strcmp(s->kind, "renewal") == 0 || strcmp(s->kind, "licence") == 0) {
        plan_renewal(s);
        return;
    }
    switch (rng_below(&s->rng, 8)) {
    case 0:
    case 1:
        add_increment(s, s->counter);
        add_read(s, STEP_READ, s->counter);
        break;
    case 2:
        once = add_single_write_row(s);
        add_step(s, STEP_WRITE, once,
                 "INSERT INTO entries (id, value) VALUES ('%s', 1)",
                 once->key);
        add_read(s, STEP_READ, once);
        break;
    case 3:
        once = add_single_write_row(s);
        add_increment(s, once);
        add_read(s, STEP_READ, once);
        add_read(s, STEP_READ, s->counter);
        break;
    case 4:
        plan_transaction(s);
        break;
    case 5:
        add_step(s, STEP_SET, NULL, "SET fake.owner = '%s'", s->name);
        add_step(s, STEP_SHOW, NULL, "SELECT current_setting('fake.owner')");
        break;
    case 6:
        add_step(s, STEP_SHOW, NULL, "SELECT current_setting('fake.owner')");
        plan_pair(s);
        break;
    default:
        plan_rows(s);
        add_read(s, STEP_READ, s->counter);
        break;
    }
}

static void
clear_plan(struct session *s)
{
    for (int i = 0; i < s->step_count; i++) {
        g_free(s->steps[i].sql);
    }
    s->step_count = 0;
    s->step = 0;
    s->in_transaction = false;
    s->rolling_back = false;
}

/* Starts the timer that continues the session. */
static void
start_pause(struct session *s, double seconds)
{
    ev_timer_stop(s->shared->loop, &s->pause_timer);
    ev_timer_set(&s->pause_timer, seconds, 0.0);
    ev_timer_start(s->shared->loop, &s->pause_timer);
}

/* Connects to a randomly chosen other proxy, with a random caller kind of the
   site. */
static void
connect_to_other_proxy(struct session *s)
{
    static const char *const registry[] = {"filing", "lookup", "lookup",
                                           "lookup", "renewal"};
    static const char *const guild[] = {"reservation", "browse", "browse",
                                        "browse", "licence"};
    const struct load_options *o = s->shared->options;
    const int n = (int)g_strv_length(o->proxies);

    s->kind = strcmp(o->site, "guild") == 0
                  ? guild[rng_below(&s->rng, G_N_ELEMENTS(guild))]
                  : registry[rng_below(&s->rng, G_N_ELEMENTS(registry))];
    if (n > 1) {
        s->proxy =
            (s->proxy + 1 + (int)rng_below(&s->rng, (uint64_t)n - 1)) % n;
    }
    s->setting_is_set = false;
    const bool omit_token = rng_below(&s->rng, SESSION_OMIT_TOKEN_EVERY) == 0;
    const struct client_target t = {
        .address = o->proxies[s->proxy],
        .database = o->database,
        .user = "load",
        .kind = s->kind,
        .token = omit_token ? NULL : s->token,
    };
    client_connect(&s->client, &t);
}

/* Stores the token that the proxy reported last, for the next connection. */
static void
keep_token(struct session *s)
{
    const char *token = client_token(&s->client);

    if (token != NULL && token[0] != '\0' && strcmp(token, s->token) != 0) {
        g_free(s->token);
        s->token = g_strdup(token);
    }
}

static void
send_step(struct session *s)
{
    s->shared->statements++;
    client_send(&s->client, s->steps[s->step].sql);
}

static void
end_session(struct session *s)
{
    client_close(&s->client);
    clear_plan(s);
    s->stopped = true;
}

/* Begins the next plan, connects again, or ends a stopped session. */
static void
on_pause(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct session *s = w->data;

    (void)loop;
    (void)revents;
    if (!s->running) {
        end_session(s);
        return;
    }
    if (!client_is_idle(&s->client)) {
        connect_to_other_proxy(s);
        return;
    }
    if (rng_below(&s->rng, SESSION_ROAM_EVERY) == 0) {
        s->shared->roams++;
        client_close(&s->client);
        connect_to_other_proxy(s);
        return;
    }
    make_plan(s);
    send_step(s);
}

/* Schedules the next plan after a random think time. */
static void
schedule_next_plan(struct session *s)
{
    clear_plan(s);
    start_pause(s, (double)rng_below(&s->rng, SESSION_THINK_MAX_MS) / 1000.0);
}

static void
on_connected(void *ctx, bool ok)
{
    struct session *s = ctx;

    start_pause(s, ok ? 0.0 : SESSION_RECONNECT_S);
}

/* Reconnects. The token is kept, since the proxy has already reported it. */
static void
on_closed(void *ctx)
{
    struct session *s = ctx;

    s->shared->lost_connections++;
    start_pause(s, 0.0);
}

static void
on_row(void *ctx, const PGresult *row)
{
    struct session *s = ctx;

    if (s->steps[s->step].kind == STEP_GENERATED_ROWS) {
        checker_answer_check_row(&s->answer, PQgetvalue(row, 0, 0),
                                 PQgetlength(row, 0, 0));
    }
}

static enum checker_outcome
checker_outcome_of(const struct client_answer *a)
{
    static const enum checker_outcome map[] = {
        [CLIENT_ACKED] = CHECKER_ACKED,
        [CLIENT_NOT_RUN] = CHECKER_NOT_RUN,
        [CLIENT_FAILED] = CHECKER_FAILED,
        [CLIENT_UNKNOWN] = CHECKER_UNKNOWN,
    };

    return map[a->outcome];
}

static void
check_answer(struct session *s, const struct step *t,
             const struct client_answer *a)
{
    struct checker *c = s->shared->checker;

    switch (t->kind) {
    case STEP_READ:
        checker_check_read(c, t->row, a->value);
        break;
    case STEP_TX_READ:
        checker_check_transaction_read(c, t->row, a->value, 1);
        break;
    case STEP_PAIR_FIRST:
        g_free(s->pair_first_value);
        s->pair_first_value = g_strdup(a->value);
        break;
    case STEP_PAIR_SECOND:
        checker_check_pair(c, s->pair_first_value, a->value);
        break;
    case STEP_SET:
        s->setting_is_set = true;
        break;
    case STEP_SHOW:
        checker_check_setting(c, s->setting_is_set ? s->name : NULL, a->value);
        break;
    default:
        break;
    }
}

/* Counts the outcome of a statement and passes it to the checker. SQLSTATE
   42704 on a SHOW means that the setting is not set. */
static void
record_answer(struct session *s, const struct step *t,
              const struct client_answer *a)
{
    const bool acked = a->outcome == CLIENT_ACKED;

    s->shared->acked += acked;
    s->shared->unknown += a->outcome == CLIENT_UNKNOWN;
    s->shared->not_run += a->outcome == CLIENT_NOT_RUN;
    if (!acked) {
        LOG_DEBUG("answer", s->name, "%s %s: outcome %d sqlstate %s", s->kind,
                  t->sql, (int)a->outcome, a->sqlstate);
    }
    if (t->kind == STEP_WRITE) {
        checker_record_write(t->row, checker_outcome_of(a));
    }
    if (t->kind == STEP_COMMIT) {
        checker_record_write(t->row, checker_outcome_of(a));
        checker_record_write(s->shared->pair, checker_outcome_of(a));
    }
    if (t->kind == STEP_GENERATED_ROWS) {
        checker_answer_end(s->shared->checker, &s->answer, acked);
    }
    if (t->kind == STEP_SHOW && strcmp(a->sqlstate, "42704") == 0) {
        checker_check_setting(s->shared->checker,
                              s->setting_is_set ? s->name : NULL, NULL);
    }
    if (acked) {
        check_answer(s, t, a);
    }
}

/* Checks an answer and continues with the plan. After an error inside a
   transaction, the rest of the plan is replaced by ROLLBACK. */
static void
on_done(void *ctx, const struct client_answer *a)
{
    struct session *s = ctx;
    const bool rolling_back = s->rolling_back;
    const struct step *t = &s->steps[s->step];

    if (!rolling_back) {
        record_answer(s, t, a);
        s->in_transaction =
            t->kind != STEP_COMMIT &&
            (s->in_transaction || g_str_has_suffix(t->sql, "*/ BEGIN"));
    }
    if (a->lost) {
        s->shared->lost_connections++;
        clear_plan(s);
        start_pause(s, 0.0);
        return;
    }
    keep_token(s);
    if (a->outcome != CLIENT_ACKED && s->in_transaction && !rolling_back) {
        s->rolling_back = true;
        client_send(&s->client, "ROLLBACK");
        return;
    }
    if (rolling_back || a->outcome != CLIENT_ACKED ||
        ++s->step == s->step_count) {
        schedule_next_plan(s);
        return;
    }
    send_step(s);
}

static const struct client_callbacks callbacks = {
    .connected = on_connected,
    .done = on_done,
    .closed = on_closed,
    .row = on_row,
};

/* Creates a session with rows of its own. number distinguishes the sessions of
   a run. */
struct session *
session_create(struct session_shared *state, int number, uint64_t seed)
{
    struct session *s = g_new0(struct session, 1);
    char key[64];

    s->shared = state;
    rng_seed(&s->rng, seed);
    s->proxy = number % (int)g_strv_length(state->options->proxies);
    snprintf(s->name, sizeof(s->name), "s%d-%d",
             (int)(state->options->seed % 1000000), number);
    snprintf(key, sizeof(key), "%s-counter", s->name);
    s->counter = checker_add_row(state->checker, "entries", key);
    snprintf(key, sizeof(key), "%s-renewal", s->name);
    s->renewal = checker_add_row(state->checker, "renewals", key);
    s->token = g_strdup("none");
    client_init(&s->client, state->loop, &callbacks, s);
    ev_timer_init(&s->pause_timer, on_pause, 0.0, 0.0);
    s->pause_timer.data = s;
    return s;
}

/* Connects after a random delay and begins to work. */
void
session_start(struct session *s)
{
    s->running = true;
    start_pause(s, (double)rng_below(&s->rng, SESSION_THINK_MAX_MS) / 1000.0);
}

/* Makes the session end after its current plan. */
void
session_stop(struct session *s)
{
    s->running = false;
}

/* Returns true once the session has ended after session_stop(). */
bool
session_is_stopped(const struct session *s)
{
    return s->stopped;
}

/* Frees the session. A statement in flight is recorded with an unknown
   outcome. */
void
session_destroy(struct session *s)
{
    const struct client_answer a = {.outcome = CLIENT_UNKNOWN, .lost = true};

    if (s->client.busy && !s->rolling_back) {
        record_answer(s, &s->steps[s->step], &a);
    }
    ev_timer_stop(s->shared->loop, &s->pause_timer);
    client_close(&s->client);
    clear_plan(s);
    g_free(s->token);
    g_free(s->pair_first_value);
    g_free(s);
}
