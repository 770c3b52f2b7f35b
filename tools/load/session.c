#include "load/session.h"

#include "load/client.h"

#define LOG_MODULE "session"
#include "base/log.h"

#include <stdio.h>
#include <string.h>

#define SESSION_THINK_MAX_MS 20
#define SESSION_RECONNECT_S 0.03
/* One plan in this many is preceded by a move to another proxy, and one move
   in this many forgets the token. */
#define SESSION_ROAM_EVERY 10
#define SESSION_FORGET_EVERY 4
#define SESSION_ROWS_MAX 400
#define SESSION_ROW_BYTES_MAX 3000
/* One renewal in this many is a straggler of the given time. */
#define SESSION_STRAGGLER_EVERY 8
#define SESSION_STRAGGLER_MS 60
#define SESSION_PLAN_STEPS 12

/* What a statement's answer means. */
enum step_kind {
    STEP_PLAIN,   /* nothing to check */
    STEP_WRITE,   /* increments row */
    STEP_READ,    /* reads row */
    STEP_TX_READ, /* reads row inside the transaction that incremented it */
    STEP_FIRST,   /* reads the first row of the pair */
    STEP_SECOND,  /* reads the second one */
    STEP_SET,     /* sets the session's own setting */
    STEP_SHOW,    /* reads it */
    STEP_ROWS,    /* reads a generated answer */
    STEP_COMMIT,  /* commits the increments of row and of the pair */
};

struct step {
    enum step_kind kind;
    struct checked_row *row;
    char *sql;
};

struct session {
    struct session_world *world;
    struct rng rng;
    struct client client;
    ev_timer pause;
    char name[32];
    const char *kind;
    int proxy;
    int once; /* number of keys used once */
    struct checked_row *counter;
    struct checked_row *renewal;
    char *token; /* kept for the next connection */
    struct step steps[SESSION_PLAN_STEPS];
    int step_count;
    int step;
    bool in_transaction;
    bool setting_is_set;
    bool rolling_back;
    char *first; /* value of the pair's first row */
    struct checked_answer answer;
    bool running;
    bool stopped;
};

/* Adds a statement to the plan. */
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

/* Adds an increment of a row. */
static void
add_increment(struct session *s, struct checked_row *row)
{
    add_step(s, STEP_WRITE, row,
             "UPDATE %s SET value = value + 1 WHERE id = '%s'", row->table,
             row->key);
}

/* Adds a read of a row. */
static void
add_read(struct session *s, enum step_kind kind, struct checked_row *row)
{
    add_step(s, kind, row, "SELECT value FROM %s WHERE id = '%s'", row->table,
             row->key);
}

/* Makes a row that is written at most once. */
static struct checked_row *
once_row(struct session *s)
{
    char key[64];

    snprintf(key, sizeof(key), "%s-once-%d", s->name, s->once++);
    return checker_add_row(s->world->checker, "entries", key);
}

/* Plans a transaction that raises the session's counter and the shared pair,
   and reads all three inside. */
static void
plan_transaction(struct session *s)
{
    const struct checked_row *pair = s->world->pair;
    struct checked_row *own = s->counter;

    add_step(s, STEP_PLAIN, NULL, "BEGIN");
    add_step(s, STEP_PLAIN, NULL,
             "UPDATE entries SET value = value + 1 WHERE id = '%s'", own->key);
    add_step(s, STEP_PLAIN, NULL,
             "UPDATE entries SET value = value + 1 WHERE id = '%s-a'",
             pair->key);
    add_step(s, STEP_PLAIN, NULL,
             "UPDATE entries SET value = value + 1 WHERE id = '%s-b'",
             pair->key);
    add_read(s, STEP_TX_READ, own);
    add_step(s, STEP_FIRST, NULL,
             "SELECT value FROM entries WHERE id = '%s-a'", pair->key);
    add_step(s, STEP_SECOND, NULL,
             "SELECT value FROM entries WHERE id = '%s-b'", pair->key);
    add_step(s, STEP_COMMIT, own, "COMMIT");
    add_read(s, STEP_READ, own);
}

/* Plans reads of the pair outside a transaction. */
static void
plan_pair(struct session *s)
{
    const char *key = s->world->pair->key;

    add_step(s, STEP_FIRST, NULL,
             "SELECT value FROM entries WHERE id = '%s-a'", key);
    add_step(s, STEP_SECOND, NULL,
             "SELECT value FROM entries WHERE id = '%s-b'", key);
}

/* Plans a generated answer of random size. */
static void
plan_rows(struct session *s)
{
    const int64_t rows = 1 + (int64_t)rng_below(&s->rng, SESSION_ROWS_MAX);
    const int64_t bytes =
        1 + (int64_t)rng_below(&s->rng, SESSION_ROW_BYTES_MAX);

    checker_answer_begin(&s->answer, rows, bytes);
    add_step(s, STEP_ROWS, NULL,
             "SELECT fake_rows(%" G_GINT64_FORMAT ", %" G_GINT64_FORMAT ")",
             rows, bytes);
}

/* Plans the next statements of a long kind. */
static void
plan_renewal(struct session *s)
{
    if (rng_below(&s->rng, SESSION_STRAGGLER_EVERY) == 0) {
        add_step(s, STEP_PLAIN, NULL, "SELECT fake_sleep(%d)",
                 SESSION_STRAGGLER_MS);
    }
    add_increment(s, s->renewal);
    add_read(s, STEP_READ, s->renewal);
}

/* Plans the next statements. */
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
        once = once_row(s);
        add_step(s, STEP_WRITE, once,
                 "INSERT INTO entries (id, value) VALUES ('%s', 1)",
                 once->key);
        add_read(s, STEP_READ, once);
        break;
    case 3:
        once = once_row(s);
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

/* Drops what is left of the plan. */
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

/* Lets the session wait before it goes on. */
static void
pause_for(struct session *s, double seconds)
{
    ev_timer_stop(s->world->loop, &s->pause);
    ev_timer_set(&s->pause, seconds, 0.0);
    ev_timer_start(s->world->loop, &s->pause);
}

/* Connects to another proxy, as any of the site's kinds. */
static void
move(struct session *s)
{
    static const char *const registry[] = {"filing", "lookup", "lookup",
                                           "lookup", "renewal"};
    static const char *const guild[] = {"reservation", "browse", "browse",
                                        "browse", "licence"};
    const struct load_options *o = s->world->options;
    const int n = (int)g_strv_length(o->proxies);

    s->kind = strcmp(o->site, "guild") == 0
                  ? guild[rng_below(&s->rng, G_N_ELEMENTS(guild))]
                  : registry[rng_below(&s->rng, G_N_ELEMENTS(registry))];
    if (n > 1) {
        s->proxy =
            (s->proxy + 1 + (int)rng_below(&s->rng, (uint64_t)n - 1)) % n;
    }
    s->setting_is_set = false;
    const bool forget = rng_below(&s->rng, SESSION_FORGET_EVERY) == 0;
    const struct client_target t = {
        .address = o->proxies[s->proxy],
        .database = o->database,
        .user = "load",
        .kind = s->kind,
        .token = forget ? NULL : s->token,
    };
    client_connect(&s->client, &t);
}

/* Keeps the session's token as last reported, for the next connection. */
static void
keep_token(struct session *s)
{
    const char *token = client_token(&s->client);

    if (token != NULL && token[0] != '\0' && strcmp(token, s->token) != 0) {
        g_free(s->token);
        s->token = g_strdup(token);
    }
}

/* Sends the present statement of the plan. */
static void
send_step(struct session *s)
{
    s->world->statements++;
    client_send(&s->client, s->steps[s->step].sql);
}

/* Ends the session's work. */
static void
end_session(struct session *s)
{
    client_close(&s->client);
    clear_plan(s);
    s->stopped = true;
}

/* Begins the next plan, after a pause or a new connection. */
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
        move(s);
        return;
    }
    if (rng_below(&s->rng, SESSION_ROAM_EVERY) == 0) {
        s->world->roams++;
        client_close(&s->client);
        move(s);
        return;
    }
    make_plan(s);
    send_step(s);
}

/* Pauses between two plans. */
static void
think(struct session *s)
{
    clear_plan(s);
    pause_for(s, (double)rng_below(&s->rng, SESSION_THINK_MAX_MS) / 1000.0);
}

/* A connection is open, or not. */
static void
on_connected(void *ctx, bool ok)
{
    struct session *s = ctx;

    pause_for(s, ok ? 0.0 : SESSION_RECONNECT_S);
}

/* An idle connection was closed. The token on it stays known: the session
   was told it. */
static void
on_closed(void *ctx)
{
    struct session *s = ctx;

    s->world->lost_connections++;
    pause_for(s, 0.0);
}

/* Notes one row of an answer. */
static void
on_row(void *ctx, const PGresult *row)
{
    struct session *s = ctx;

    if (s->steps[s->step].kind == STEP_ROWS) {
        checker_answer_row(&s->answer, PQgetvalue(row, 0, 0),
                           PQgetlength(row, 0, 0));
    }
}

/* Returns the checker's name of an outcome. */
static enum checker_outcome
outcome_of(const struct client_answer *a)
{
    static const enum checker_outcome map[] = {
        [CLIENT_ACKED] = CHECKER_ACKED,
        [CLIENT_NOT_RUN] = CHECKER_NOT_RUN,
        [CLIENT_FAILED] = CHECKER_FAILED,
        [CLIENT_UNKNOWN] = CHECKER_UNKNOWN,
    };

    return map[a->outcome];
}

/* Checks an acknowledged answer. */
static void
check_answer(struct session *s, const struct step *t,
             const struct client_answer *a)
{
    struct checker *c = s->world->checker;

    switch (t->kind) {
    case STEP_READ:
        checker_read(c, t->row, a->value);
        break;
    case STEP_TX_READ:
        checker_read_in_transaction(c, t->row, a->value, 1);
        break;
    case STEP_FIRST:
        g_free(s->first);
        s->first = g_strdup(a->value);
        break;
    case STEP_SECOND:
        checker_read_pair(c, s->first, a->value);
        break;
    case STEP_SET:
        s->setting_is_set = true;
        break;
    case STEP_SHOW:
        checker_read_setting(c, s->setting_is_set ? s->name : NULL, a->value);
        break;
    default:
        break;
    }
}

/* Notes what the answer says, whatever the outcome. */
static void
note_answer(struct session *s, const struct step *t,
            const struct client_answer *a)
{
    const bool acked = a->outcome == CLIENT_ACKED;

    s->world->acked += acked;
    s->world->unknown += a->outcome == CLIENT_UNKNOWN;
    s->world->not_run += a->outcome == CLIENT_NOT_RUN;
    if (!acked) {
        LOG_DEBUG("answer", s->name, "%s %s: outcome %d sqlstate %s", s->kind,
                  t->sql, (int)a->outcome, a->sqlstate);
    }
    if (t->kind == STEP_WRITE) {
        checker_wrote(t->row, outcome_of(a));
    }
    if (t->kind == STEP_COMMIT) {
        checker_wrote(t->row, outcome_of(a));
        checker_wrote(s->world->pair, outcome_of(a));
    }
    if (t->kind == STEP_ROWS) {
        checker_answer_end(s->world->checker, &s->answer, acked);
    }
    if (t->kind == STEP_SHOW && strcmp(a->sqlstate, "42704") == 0) {
        checker_read_setting(s->world->checker,
                             s->setting_is_set ? s->name : NULL, NULL);
    }
    if (acked) {
        check_answer(s, t, a);
    }
}

/* An answer arrived: checks it and goes on with the plan. */
static void
on_done(void *ctx, const struct client_answer *a)
{
    struct session *s = ctx;
    const bool rolling_back = s->rolling_back;
    const struct step *t = &s->steps[s->step];

    if (!rolling_back) {
        note_answer(s, t, a);
        s->in_transaction =
            t->kind != STEP_COMMIT &&
            (s->in_transaction || g_str_has_suffix(t->sql, "*/ BEGIN"));
    }
    if (a->lost) {
        s->world->lost_connections++;
        clear_plan(s);
        pause_for(s, 0.0);
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
        think(s);
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

/* Creates a session with rows of its own. */
struct session *
session_create(struct session_world *w, int number, uint64_t seed)
{
    struct session *s = g_new0(struct session, 1);
    char key[64];

    s->world = w;
    rng_seed(&s->rng, seed);
    s->proxy = number % (int)g_strv_length(w->options->proxies);
    snprintf(s->name, sizeof(s->name), "s%d-%d",
             (int)(w->options->seed % 1000000), number);
    snprintf(key, sizeof(key), "%s-counter", s->name);
    s->counter = checker_add_row(w->checker, "entries", key);
    snprintf(key, sizeof(key), "%s-renewal", s->name);
    s->renewal = checker_add_row(w->checker, "renewals", key);
    s->token = g_strdup("none");
    client_init(&s->client, w->loop, &callbacks, s);
    ev_timer_init(&s->pause, on_pause, 0.0, 0.0);
    s->pause.data = s;
    return s;
}

/* Connects the session and lets it work. */
void
session_start(struct session *s)
{
    s->running = true;
    pause_for(s, (double)rng_below(&s->rng, SESSION_THINK_MAX_MS) / 1000.0);
}

/* Lets the session finish its plan and then end. */
void
session_stop(struct session *s)
{
    s->running = false;
}

/* Tells whether the session has ended. */
bool
session_is_stopped(const struct session *s)
{
    return s->stopped;
}

/* Frees the session. The outcome of a statement that is still in flight is
   unknown. */
void
session_destroy(struct session *s)
{
    const struct client_answer a = {.outcome = CLIENT_UNKNOWN, .lost = true};

    if (s->client.busy && !s->rolling_back) {
        note_answer(s, &s->steps[s->step], &a);
    }
    ev_timer_stop(s->world->loop, &s->pause);
    client_close(&s->client);
    clear_plan(s);
    g_free(s->token);
    g_free(s->first);
    g_free(s);
}
