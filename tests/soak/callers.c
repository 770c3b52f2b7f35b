#include "soak/soak.h"

#include "base/deferred_free.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define THINK_MAX_MS 40
#define THINK_AFTER_ERROR_MAX_MS 200 /* with long transactions */
#define ANSWER_TIMEOUT_MS 4000
#define FURTHER_READS_MAX 6 /* in a long transaction */

/* The statement whose answer a caller waits for. */
enum step {
    STEP_START,
    STEP_SET,
    STEP_BEGIN,
    STEP_RUN,
    STEP_COMMIT,
    STEP_ROLLBACK /* with accounts, after an error */
};

enum write_outcome {
    OUTCOME_NONE,
    OUTCOME_DONE,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN
};

/* One caller. No other caller writes its item, and the numbers that it writes
   rise, so a value that is read shows which writes it includes. */
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
    bool sent_ahead; /* a SET in the packet of the outstanding ROLLBACK */
    char state;      /* of the last READY; 0 before STARTUP is answered */
    int proxy;       /* that the connection goes to */
    int requests;
    int further_reads; /* in the present transaction */
    char id[24];       /* of the last request */
    char text[32];     /* and its text */
    clock_ms sent_at;
    uint64_t write_number; /* number of the current or last write */
    GArray *outcomes;      /* of enum write_outcome, by write number */
    uint64_t newest_read;  /* newest value read on this connection */
    uint64_t newest_acked; /* newest acknowledged write */
    uint64_t acked_before_read;
    char *error;
    guint key; /* of the session, with accounts */
    clock_ms started_at;
};

struct callers {
    struct soak *soak;
    struct ev_loop *loop;
    struct standin_group *group;
    struct unanswered *unanswered;
    struct accounts *accounts; /* NULL: callers have no keys */
    struct rng rng;
    struct caller *list;
    int count;
    bool stopping;
    bool synchronous; /* no acknowledged write may be discarded */
    bool long_transactions;
    long writes_done;
    long writes_not_run;
    long writes_unknown;
    long reads;
    long rollbacks;
    long refused; /* transactions, because the key had become invalid */
    struct deferred_free *deferred_free;
};

static void reconnect(struct caller *c);

static void
start_timer(struct caller *c, uint64_t ms)
{
    ev_timer_stop(c->all->loop, &c->timer);
    ev_timer_set(&c->timer, (double)ms / 1000.0, 0.0);
    ev_timer_start(c->all->loop, &c->timer);
}

/* Sends a line and starts the timer for its answer. */
static void
send_line(struct caller *c, const char *text)
{
    char *line = g_strdup_printf("%s\r\n", text);

    c->outstanding = true;
    c->sent_at = clock_monotonic_ms();
    g_free(c->error);
    c->error = NULL;
    stream_write(c->stream, line, strlen(line));
    g_free(line);
    start_timer(c, ANSWER_TIMEOUT_MS);
}

/* Sends a QUERY line with a request ID that starts with the caller's name. */
static void
send_query(struct caller *c, const char *text)
{
    g_snprintf(c->id, sizeof(c->id), "%s-%d", c->name, ++c->requests);
    g_strlcpy(c->text, text, sizeof(c->text));
    char *line = g_strdup_printf("QUERY %s %s", c->id, text);

    if (c->all->accounts != NULL) {
        accounts_sent(c->all->accounts, c->id, c->key);
    }
    send_line(c, line);
    g_free(line);
}

/* Records the outcome of the current write; does nothing during a read. The
   stand-in group marks a write that a replaced primary committed with the
   prefix "late:"; such a write must not be acknowledged. */
static void
record_outcome(struct caller *c, enum write_outcome outcome)
{
    if (c->reads) {
        return;
    }
    if (c->outcomes->len <= c->write_number) {
        g_array_set_size(c->outcomes, (guint)c->write_number + 1);
    }
    g_array_index(c->outcomes, enum write_outcome, c->write_number) = outcome;
    if (outcome == OUTCOME_DONE) {
        char late[40];
        c->newest_acked = c->write_number;
        c->all->writes_done++;
        g_snprintf(late, sizeof(late), "late:%s", c->item);
        if (standin_group_has_discarded(c->all->group, late,
                                        c->write_number)) {
            soak_violation(
                c->all->soak,
                "%s: write %lu was acknowledged by a replaced primary",
                c->name, (unsigned long)c->write_number);
        }
    }
    c->all->writes_not_run += outcome == OUTCOME_NOT_RUN;
    c->all->writes_unknown += outcome == OUTCOME_UNKNOWN;
}

/* Closes the connection; the timer opens another one later. */
static void
disconnect(struct caller *c)
{
    stream_close(c->stream);
    c->stream = NULL;
    c->outstanding = false;
    c->sent_ahead = false;
    start_timer(c, 20 + rng_below(&c->all->rng, 100));
}

/* Returns true if an error guarantees that the statement was not executed. */
static bool
is_promise(const char *error)
{
    static const char *const codes[] = {"BUSY", "ABORTED", "LAGGING",
                                        "READONLY", "UNAUTH"};

    for (size_t i = 0; i < G_N_ELEMENTS(codes); i++) {
        if (g_str_has_prefix(error, codes[i])) {
            return true;
        }
    }
    return false;
}

/* Returns the text behind ERROR in a complete line that has arrived, or NULL;
   to be freed by the caller. */
static char *
received_error(const struct caller *c)
{
    const struct sview in = stream_input(c->stream);
    const char *error = memmem(in.p, in.n, "ERROR ", 6);
    const char *end = error == NULL
                          ? NULL
                          : memchr(error, '\n', in.n - (size_t)(error - in.p));

    return end == NULL ? NULL
                       : g_strndup(error + strlen("ERROR "),
                                   (gsize)(end - error) - strlen("ERROR "));
}

/* Handles a lost connection or answer. A commit or single write that was sent
   may have been executed, so its outcome is unknown, unless an error that
   goes before the end of the connection says otherwise. */
static void
handle_lost_connection(struct caller *c)
{
    const bool commits =
        c->step == STEP_COMMIT || (c->step == STEP_RUN && !c->transaction);
    char *error = received_error(c);
    const bool not_run = error != NULL && is_promise(error);

    g_free(error);
    if (c->outstanding && commits && !not_run) {
        record_outcome(c, OUTCOME_UNKNOWN);
    }
    else if (c->step == STEP_RUN || c->step == STEP_COMMIT) {
        record_outcome(c, OUTCOME_NOT_RUN);
    }
    disconnect(c);
}

static struct unanswered_request
last_request(const struct caller *c)
{
    return (struct unanswered_request){.proxy = c->proxy,
                                       .id = c->id,
                                       .text = c->text,
                                       .state = c->state,
                                       .sent_at = c->sent_at};
}

/* Checks that a value which was read includes the write that was acknowledged
   before the read began, and all values read before. */
static void
check_read(struct caller *c, uint64_t value)
{
    c->all->reads++;
    if (value < c->acked_before_read &&
        (c->all->synchronous ||
         !standin_group_has_discarded(c->all->group, c->item,
                                      c->acked_before_read))) {
        soak_violation(c->all->soak,
                       "%s on %s: read %lu after write %lu was acknowledged",
                       c->name, c->database, (unsigned long)value,
                       (unsigned long)c->acked_before_read);
    }
    if (value < c->newest_read &&
        !standin_group_has_discarded(c->all->group, c->item, c->newest_read)) {
        soak_violation(c->all->soak, "%s: read %lu after %lu had been read",
                       c->name, (unsigned long)value,
                       (unsigned long)c->newest_read);
    }
    c->newest_read = value;
}

/* Starts the next operation, a read or a write, possibly in a transaction. */
static void
start_operation(struct caller *c)
{
    struct rng *r = &c->all->rng;
    char text[64];

    if (c->all->stopping) {
        return;
    }
    if (c->all->accounts != NULL &&
        accounts_key_changed(c->all->accounts, c->index, c->key)) {
        disconnect(c);
        return;
    }
    c->reads = rng_below(r, 3) > 0;
    c->transaction =
        c->all->long_transactions ? rng_below(r, 4) > 0 : rng_below(r, 4) == 0;
    c->further_reads = c->all->long_transactions
                           ? (int)rng_below(r, FURTHER_READS_MAX + 1)
                           : 0;
    c->acked_before_read = c->newest_acked;
    if (!c->reads) {
        c->write_number++;
    }
    if (c->transaction) {
        c->step = STEP_BEGIN;
        send_query(c, c->reads ? "BEGIN READ" : "BEGIN");
        return;
    }
    c->step = STEP_RUN;
    g_snprintf(text, sizeof(text), c->reads ? "READ %s" : "WRITE %s %lu",
               c->item, (unsigned long)c->write_number);
    send_query(c, text);
}

/* Ends a transaction that has failed; with long transactions, often sends the
   next request in the same packet. */
static void
send_rollback(struct caller *c)
{
    if (!c->all->long_transactions || rng_below(&c->all->rng, 4) > 0) {
        send_query(c, "ROLLBACK");
        return;
    }
    char *text = g_strdup_printf("ROLLBACK\r\nQUERY %s-%d SET who %s", c->name,
                                 c->requests + 2, c->name);
    send_query(c, text);
    g_free(text);
    g_strlcpy(c->text, "ROLLBACK and SET", sizeof(c->text));
    c->requests++;
    c->sent_ahead = true;
}

/* Ends a failed operation; another one begins later. */
static void
pause_after_error(struct caller *c)
{
    c->step = STEP_SET;
    start_timer(c, rng_below(&c->all->rng, c->all->long_transactions
                                               ? THINK_AFTER_ERROR_MAX_MS
                                               : THINK_MAX_MS));
}

/* With accounts, goes on with the session after an error, so that sessions are
   older than the changes of their keys. As clients do, ends a transaction that
   has failed, sometimes after a pause, and closes the session after any other
   operation that ends outside state I and after an error in response to SET.
 */
static void
continue_after_error(struct caller *c)
{
    if (c->step == STEP_SET || c->step == STEP_ROLLBACK) {
        disconnect(c);
    }
    else if (c->state != 'I') {
        c->step = STEP_ROLLBACK;
        c->all->rollbacks++;
        c->all->refused += g_str_has_prefix(c->error, "UNAUTH");
        if (c->all->long_transactions && rng_below(&c->all->rng, 2) == 0) {
            start_timer(c, rng_below(&c->all->rng, THINK_AFTER_ERROR_MAX_MS));
            return;
        }
        send_rollback(c);
    }
    else {
        pause_after_error(c);
    }
}

/* Handles an error answer. After an error on a statement that commits, and
   that is no promise, the outcome is unknown. */
static void
handle_error(struct caller *c)
{
    const bool not_run = is_promise(c->error);
    const bool may_have_committed =
        c->step == STEP_COMMIT || (c->step == STEP_RUN && !c->transaction);

    if (c->step != STEP_SET && c->step != STEP_ROLLBACK) {
        record_outcome(c, not_run || !may_have_committed ? OUTCOME_NOT_RUN
                                                         : OUTCOME_UNKNOWN);
    }
    if (c->all->accounts != NULL) {
        continue_after_error(c);
        return;
    }
    disconnect(c);
}

/* Sends the next statement of a transaction whose first one has succeeded. */
static void
continue_transaction(struct caller *c)
{
    char text[32];

    if (c->further_reads > 0) {
        c->further_reads--;
        g_snprintf(text, sizeof(text), "READ %s", c->item);
        send_query(c, text);
        return;
    }
    c->step = STEP_COMMIT;
    send_query(c, "COMMIT");
}

/* Sends the next statement of the operation, or ends it. */
static void
handle_success(struct caller *c, uint64_t value, bool has_value)
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
                   c->item, (unsigned long)c->write_number);
        send_query(c, text);
        return;
    case STEP_RUN:
        if (has_value) {
            check_read(c, value);
        }
        if (c->transaction && c->all->long_transactions) {
            start_timer(c, rng_below(&c->all->rng, THINK_MAX_MS));
            return;
        }
        if (c->transaction) {
            continue_transaction(c);
            return;
        }
        record_outcome(c, OUTCOME_DONE);
        break;
    case STEP_COMMIT:
        record_outcome(c, OUTCOME_DONE);
        break;
    case STEP_ROLLBACK:
        if (c->sent_ahead) {
            c->sent_ahead = false;
            c->outstanding = true;
            c->state = 'E'; /* when the request was sent */
            c->step = STEP_SET;
            return;
        }
        pause_after_error(c);
        return;
    case STEP_SET:
        break;
    }
    if (c->all->accounts != NULL &&
        (c->step == STEP_RUN || c->step == STEP_COMMIT)) {
        accounts_served(c->all->accounts, c->index);
    }
    c->step = STEP_SET;
    start_timer(c, rng_below(&c->all->rng, THINK_MAX_MS));
}

/* Handles the end of a connection by the process. */
static void
connection_ended(struct caller *c)
{
    struct unanswered_request r = last_request(c);
    char *error = received_error(c);

    r.refused = error != NULL;
    g_free(error);
    if (c->outstanding) {
        unanswered_closed(c->all->unanswered, &r);
    }
    else if (c->state != 'I') {
        unanswered_closed_in_transaction(c->all->unanswered, &r);
    }
    handle_lost_connection(c);
}

/* Handles the answers that have arrived completely, up to their READY line. An
   error before the session has started has no READY line, and neither has one
   that announces the end of the connection. */
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
            char *refusal = received_error(c);
            if (refusal != NULL && c->step == STEP_START) {
                if (c->all->accounts != NULL &&
                    g_str_has_prefix(refusal, "UNAUTH")) {
                    accounts_refused(c->all->accounts, c->key, c->started_at);
                }
                disconnect(c);
            }
            else if (refusal != NULL && !c->outstanding) {
                connection_ended(c);
            }
            g_free(refusal);
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
        c->outstanding = false;
        c->state = strstr(text, "READY ")[strlen("READY ")];
        g_free(text);
        if (c->error != NULL) {
            handle_error(c);
        }
        else {
            handle_success(c, value, has_value);
        }
    }
}

static void
on_closed(void *ctx, const char *why)
{
    (void)why;
    connection_ended(ctx);
}

static const struct stream_callbacks caller_events = {.readable = on_readable,
                                                      .closed = on_closed};

/* Connects to a randomly chosen proxy. */
static void
reconnect(struct caller *c)
{
    char text[64];

    c->proxy = (int)rng_below(&c->all->rng, SOAK_PROXIES);
    c->stream = stream_connect(c->all->loop, soak_proxy_host(c->proxy),
                               soak_proxy_port(), &caller_events, c);
    if (c->stream == NULL) {
        start_timer(c, 100);
        return;
    }
    /* Only a read of the primary must include writes of earlier connections;
       the other guarantees apply within one connection. */
    c->newest_read = 0;
    c->newest_acked =
        strcmp(c->database, "primary") == 0 ? c->newest_acked : 0;
    c->step = STEP_START;
    c->state = '\0';
    g_strlcpy(c->id, c->name, sizeof(c->id));
    g_strlcpy(c->text, "STARTUP", sizeof(c->text));
    c->started_at = clock_monotonic_ms();
    g_snprintf(text, sizeof(text), "STARTUP %s %s", c->database,
               c->all->accounts != NULL
                   ? accounts_key(c->all->accounts, c->index, &c->key)
                   : c->name);
    send_line(c, text);
}

/* Ends a pause, or closes a session whose answer did not arrive in time. */
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
        const struct unanswered_request r = last_request(c);
        unanswered_given_up(c->all->unanswered, &r);
        handle_lost_connection(c);
    }
    else if (c->step == STEP_RUN) {
        continue_transaction(c);
    }
    else if (c->step == STEP_ROLLBACK) {
        send_rollback(c);
    }
    else {
        start_operation(c);
    }
}

/* Creates the callers, which start at random times within half a second. They
   use the three routes (databases) in turn. */
struct callers *
callers_create(struct soak *s, struct ev_loop *loop, struct standin_group *g,
               struct unanswered *u, uint64_t seed, int count)
{
    static const char *const databases[] = {"primary", "bounded", "own"};
    struct callers *all = g_new0(struct callers, 1);

    all->soak = s;
    all->loop = loop;
    all->group = g;
    all->unanswered = u;
    all->count = count;
    all->list = g_new0(struct caller, (gsize)count);
    rng_seed(&all->rng, seed);
    for (int i = 0; i < count; i++) {
        struct caller *c = &all->list[i];
        c->all = all;
        c->index = i;
        c->database = databases[i % 3];
        c->outcomes = g_array_new(FALSE, TRUE, sizeof(enum write_outcome));
        g_snprintf(c->name, sizeof(c->name), "c%d", i);
        g_snprintf(c->item, sizeof(c->item), "i%d", i);
        ev_timer_init(&c->timer, on_timer, 0.0, 0.0);
        c->timer.data = c;
        start_timer(c, rng_below(&all->rng, 500));
    }
    return all;
}

void
callers_expect_synchronous(struct callers *all)
{
    all->synchronous = true;
}

/* Makes the callers start their sessions with keys of accounts. */
void
callers_use_accounts(struct callers *all, struct accounts *a)
{
    all->accounts = a;
}

void
callers_use_long_transactions(struct callers *all)
{
    all->long_transactions = true;
}

/* Makes the callers start no further operation or connection. */
void
callers_stop(struct callers *all)
{
    all->stopping = true;
}

/* Compares the recorded outcome of each write with the primary's log after the
   run: no write is there twice, no acknowledged write is missing, and no write
   is there that was reported as not run. */
void
callers_check(struct callers *all)
{
    for (int i = 0; i < all->count; i++) {
        const struct caller *c = &all->list[i];
        for (guint n = 1; n < c->outcomes->len; n++) {
            const enum write_outcome outcome =
                g_array_index(c->outcomes, enum write_outcome, n);
            const int count =
                standin_group_count_write(all->group, c->item, n);
            if (count > 1) {
                soak_violation(all->soak, "%s: write %u took effect %d times",
                               c->name, n, count);
            }
            if (outcome == OUTCOME_DONE && count == 0 &&
                (all->synchronous ||
                 !standin_group_has_discarded(all->group, c->item, n))) {
                soak_violation(all->soak, "%s: acknowledged write %u is lost",
                               c->name, n);
            }
            if (outcome == OUTCOME_NOT_RUN && count > 0) {
                soak_violation(
                    all->soak,
                    "%s: write %u was reported not to have run, but it did",
                    c->name, n);
            }
        }
    }
}

/* Prints the numbers of writes by outcome, of reads, and of transactions that
   were rolled back after an error. */
void
callers_report(const struct callers *all)
{
    printf("writes_done=%ld not_run=%ld unknown=%ld reads=%ld "
           "rollbacks=%ld refused=%ld\n",
           all->writes_done, all->writes_not_run, all->writes_unknown,
           all->reads, all->rollbacks, all->refused);
}

/* Returns how many writes and reads have succeeded. */
long
callers_succeeded(const struct callers *all)
{
    return all->writes_done + all->reads;
}

void
callers_destroy(struct callers *all)
{
    for (int i = 0; i < all->count; i++) {
        struct caller *c = &all->list[i];
        ev_timer_stop(all->loop, &c->timer);
        stream_close(c->stream);
        g_array_free(c->outcomes, TRUE);
        g_free(c->error);
    }
    g_free(all->list);
    g_free(all);
}
