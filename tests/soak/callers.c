#include "soak/soak.h"

#include "base/reaper.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define THINK_MAX_MS 40
#define ANSWER_MS 4000

/* What a caller waits for. */
enum step { STEP_START, STEP_SET, STEP_BEGIN, STEP_RUN, STEP_COMMIT };

enum fate { FATE_NONE, FATE_DONE, FATE_NOT_RUN, FATE_UNKNOWN };

/* One caller. It alone writes its item, with rising numbers, so that every
   value read tells which writes it contains. */
struct caller {
    struct callers *all;
    int index;
    char name[16];
    char item[16];
    const char *database;
    struct stream *stream;
    ev_timer timer;
    enum step step;
    bool transaction;
    bool reads;
    bool outstanding;
    int requests;
    uint64_t number; /* of the present or last write */
    GArray *fates;   /* of enum fate, by number */
    uint64_t seen;   /* newest value read */
    uint64_t acked;  /* newest write acknowledged */
    uint64_t acked_at_read;
    char *error;
};

struct callers {
    struct soak *soak;
    struct ev_loop *loop;
    struct standin_group *group;
    struct rng rng;
    struct caller *list;
    int count;
    bool stopping;
    long served;
    long refused;
    long unknown;
    long reads;
    struct reaper *reaper;
};

static void reconnect(struct caller *c);

/* Waits some milliseconds, then goes on. */
static void
wait_ms(struct caller *c, uint64_t ms)
{
    ev_timer_stop(c->all->loop, &c->timer);
    ev_timer_set(&c->timer, (double)ms / 1000.0, 0.0);
    ev_timer_start(c->all->loop, &c->timer);
}

/* Sends a line. */
static void
send_line(struct caller *c, const char *text)
{
    char *line = g_strdup_printf("%s\r\n", text);

    c->outstanding = true;
    g_free(c->error);
    c->error = NULL;
    stream_write(c->stream, line, strlen(line));
    g_free(line);
    wait_ms(c, ANSWER_MS);
}

/* Sends a query. */
static void
send_query(struct caller *c, const char *text)
{
    char *line =
        g_strdup_printf("QUERY %s-%d %s", c->name, ++c->requests, text);

    send_line(c, line);
    g_free(line);
}

/* Records what became of the present write. */
static void
set_fate(struct caller *c, enum fate f)
{
    if (c->reads) {
        return;
    }
    if (c->fates->len <= c->number) {
        g_array_set_size(c->fates, (guint)c->number + 1);
    }
    g_array_index(c->fates, enum fate, c->number) = f;
    if (f == FATE_DONE) {
        char late[40];
        c->acked = c->number;
        c->all->served++;
        g_snprintf(late, sizeof(late), "late:%s", c->item);
        if (standin_group_undone(c->all->group, late, c->number)) {
            soak_violation(c->all->soak,
                           "%s: write %lu acknowledged by a replaced primary",
                           c->name, (unsigned long)c->number);
        }
    }
    c->all->refused += f == FATE_NOT_RUN;
    c->all->unknown += f == FATE_UNKNOWN;
}

/* Ends the connection and opens another one later. */
static void
drop(struct caller *c)
{
    stream_close(c->stream);
    c->stream = NULL;
    c->outstanding = false;
    wait_ms(c, 20 + rng_below(&c->all->rng, 100));
}

/* The connection or its answer is lost. A commit or single write that was
   sent may have happened. */
static void
lost(struct caller *c)
{
    if (c->outstanding &&
        (c->step == STEP_COMMIT || (c->step == STEP_RUN && !c->transaction))) {
        set_fate(c, FATE_UNKNOWN);
    }
    else if (c->outstanding && c->step == STEP_RUN) {
        set_fate(c, FATE_NOT_RUN);
    }
    drop(c);
}

/* Checks a value that was read. */
static void
check_read(struct caller *c, uint64_t value)
{
    c->all->reads++;
    if (value < c->acked_at_read &&
        !standin_group_undone(c->all->group, c->item, c->acked_at_read)) {
        soak_violation(c->all->soak,
                       "%s on %s: read %lu after write %lu was acknowledged",
                       c->name, c->database, (unsigned long)value,
                       (unsigned long)c->acked_at_read);
    }
    if (value < c->seen &&
        !standin_group_undone(c->all->group, c->item, c->seen)) {
        soak_violation(c->all->soak, "%s: read %lu after having seen %lu",
                       c->name, (unsigned long)value, (unsigned long)c->seen);
    }
    c->seen = value;
}

/* Starts the next operation. */
static void
next(struct caller *c)
{
    struct rng *r = &c->all->rng;
    char text[64];

    if (c->all->stopping) {
        return;
    }
    c->reads = rng_below(r, 3) > 0;
    c->transaction = rng_below(r, 4) == 0;
    c->acked_at_read = c->acked;
    if (!c->reads) {
        c->number++;
    }
    if (c->transaction) {
        c->step = STEP_BEGIN;
        send_query(c, c->reads ? "BEGIN READ" : "BEGIN");
        return;
    }
    c->step = STEP_RUN;
    g_snprintf(text, sizeof(text), c->reads ? "READ %s" : "WRITE %s %lu",
               c->item, (unsigned long)c->number);
    send_query(c, text);
}

/* An answer with an error. */
static void
failed(struct caller *c)
{
    const bool promise = g_str_has_prefix(c->error, "BUSY") ||
                         g_str_has_prefix(c->error, "ABORTED") ||
                         g_str_has_prefix(c->error, "LAGGING") ||
                         g_str_has_prefix(c->error, "READONLY");
    const bool decided =
        c->step == STEP_COMMIT || (c->step == STEP_RUN && !c->transaction);

    set_fate(c, promise || !decided ? FATE_NOT_RUN : FATE_UNKNOWN);
    drop(c);
}

/* The request succeeded: takes the next step of the operation. */
static void
succeeded(struct caller *c, uint64_t value, bool has_value)
{
    char text[64];

    switch (c->step) {
    case STEP_START:
        c->step = STEP_SET;
        g_snprintf(text, sizeof(text), "SET who %s", c->name);
        send_query(c, text);
        return;
    case STEP_BEGIN:
        c->step = STEP_RUN;
        g_snprintf(text, sizeof(text), c->reads ? "READ %s" : "WRITE %s %lu",
                   c->item, (unsigned long)c->number);
        send_query(c, text);
        return;
    case STEP_RUN:
        if (has_value) {
            check_read(c, value);
        }
        if (c->transaction) {
            c->step = STEP_COMMIT;
            send_query(c, "COMMIT");
            return;
        }
        set_fate(c, FATE_DONE);
        break;
    case STEP_COMMIT:
        set_fate(c, FATE_DONE);
        break;
    case STEP_SET:
        break;
    }
    c->step = STEP_SET;
    wait_ms(c, rng_below(&c->all->rng, THINK_MAX_MS));
}

/* Reads the lines of answers. */
static void
on_readable(void *ctx)
{
    struct caller *c = ctx;
    uint64_t value = 0;
    bool has_value = false;

    while (c->stream != NULL) {
        const struct sview in = stream_input(c->stream);
        const char *end = memmem(in.p, in.n, "READY ", 6);
        if (end == NULL ||
            memchr(end, '\n', in.n - (size_t)(end - in.p)) == NULL) {
            if (memmem(in.p, in.n, "ERROR ", 6) != NULL &&
                c->step == STEP_START) {
                drop(c);
            }
            return;
        }
        const size_t n = (size_t)((const char *)memchr(
                                      end, '\n', in.n - (size_t)(end - in.p)) -
                                  in.p) +
                         1;
        char *text = g_strndup(in.p, n);
        stream_consume(c->stream, n);
        const char *row = strstr(text, "DATAROW ");
        const char *error = strstr(text, "ERROR ");
        if (row != NULL) {
            value = strtoull(row + strlen("DATAROW "), NULL, 10);
            has_value = true;
        }
        c->error = error != NULL ? g_strdup(error + strlen("ERROR ")) : NULL;
        g_free(text);
        c->outstanding = false;
        if (c->error != NULL) {
            failed(c);
        }
        else {
            succeeded(c, value, has_value);
        }
    }
}

/* The connection ended. */
static void
on_closed(void *ctx, const char *why)
{
    (void)why;
    lost(ctx);
}

static const struct stream_events caller_events = {.readable = on_readable,
                                                   .closed = on_closed};

/* Connects to a proxy at random. */
static void
reconnect(struct caller *c)
{
    const int node = (int)rng_below(&c->all->rng, SOAK_NODES);
    char text[64];

    c->stream = stream_connect(c->all->loop, soak_front_host(node),
                               soak_front_port(), &caller_events, c);
    if (c->stream == NULL) {
        wait_ms(c, 100);
        return;
    }
    /* The promises about reads hold within a connection. */
    c->seen = 0;
    c->acked = strcmp(c->database, "primary") == 0 ? c->acked : 0;
    c->step = STEP_START;
    g_snprintf(text, sizeof(text), "STARTUP %s %s", c->database, c->name);
    send_line(c, text);
}

/* A pause is over, or an answer did not come. */
static void
on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct caller *c = w->data;

    (void)loop;
    (void)revents;
    if (c->stream == NULL) {
        if (!c->all->stopping) {
            reconnect(c);
        }
    }
    else if (c->outstanding) {
        lost(c);
    }
    else {
        next(c);
    }
}

/* Starts the callers. */
struct callers *
callers_create(struct soak *s, struct ev_loop *loop, struct standin_group *g,
               uint64_t seed, int count)
{
    static const char *const databases[] = {"primary", "bounded", "own"};
    struct callers *all = g_new0(struct callers, 1);

    all->soak = s;
    all->loop = loop;
    all->group = g;
    all->count = count;
    all->list = g_new0(struct caller, (gsize)count);
    rng_seed(&all->rng, seed);
    for (int i = 0; i < count; i++) {
        struct caller *c = &all->list[i];
        c->all = all;
        c->index = i;
        c->database = databases[i % 3];
        c->fates = g_array_new(FALSE, TRUE, sizeof(enum fate));
        g_snprintf(c->name, sizeof(c->name), "c%d", i);
        g_snprintf(c->item, sizeof(c->item), "i%d", i);
        ev_timer_init(&c->timer, on_timer, 0.0, 0.0);
        c->timer.data = c;
        wait_ms(c, rng_below(&all->rng, 500));
    }
    return all;
}

/* Lets no caller begin anything any more. */
void
callers_stop(struct callers *all)
{
    all->stopping = true;
}

/* Checks each write against what the group holds in the end. */
void
callers_check(struct callers *all)
{
    for (int i = 0; i < all->count; i++) {
        const struct caller *c = &all->list[i];
        for (guint n = 1; n < c->fates->len; n++) {
            const enum fate f = g_array_index(c->fates, enum fate, n);
            const int count = standin_group_count(all->group, c->item, n);
            if (count > 1) {
                soak_violation(all->soak, "%s: write %u took effect %d times",
                               c->name, n, count);
            }
            if (f == FATE_DONE && count == 0 &&
                !standin_group_undone(all->group, c->item, n)) {
                soak_violation(all->soak, "%s: write %u is lost", c->name, n);
            }
            if (f == FATE_NOT_RUN && count > 0) {
                soak_violation(all->soak,
                               "%s: write %u was said not to have run",
                               c->name, n);
            }
        }
    }
}

/* Prints what the callers got. */
void
callers_report(const struct callers *all)
{
    printf("writes_done=%ld not_run=%ld unknown=%ld reads=%ld\n", all->served,
           all->refused, all->unknown, all->reads);
}

/* Returns how many writes and reads succeeded. */
long
callers_served(const struct callers *all)
{
    return all->served + all->reads;
}

/* Frees the callers. */
void
callers_destroy(struct callers *all)
{
    for (int i = 0; i < all->count; i++) {
        struct caller *c = &all->list[i];
        ev_timer_stop(all->loop, &c->timer);
        stream_close(c->stream);
        g_array_free(c->fates, TRUE);
        g_free(c->error);
    }
    g_free(all->list);
    g_free(all);
}
