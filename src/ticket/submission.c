#include "ticket/submission.h"

#include <string.h>

#include <xxhash.h>

#define RETRY_BASE_MS 50
#define RETRY_MAX_MS 1000

enum step {
    STEP_IDLE,
    STEP_INSERTING,
    STEP_READING,
    STEP_WAITING_INSERT, /* backoff before the next insert */
    STEP_WAITING_READ,   /* backoff before the next read */
    STEP_FINISHED,
};

struct ticket_submission {
    struct ticket_submission_ops ops;
    void *ctx;
    const struct ticket_state *state;
    const struct ticket_rules *rules;
    struct rng *rng;
    struct ticket *ticket;
    enum step step;
    clock_ms deadline;
    clock_ms retry_at;
    int attempts;
    bool insert_unanswered; /* an insert was sent and got no answer */
    char key[TICKET_ROW_KEY_BYTES];
};

/* ctx is passed to ops. state, rules and rng are borrowed. */
struct ticket_submission *
ticket_submission_create(const struct ticket_submission_ops *ops, void *ctx,
                         const struct ticket_state *state,
                         const struct ticket_rules *rules, struct rng *rng)
{
    struct ticket_submission *s = g_new0(struct ticket_submission, 1);

    s->ops = *ops;
    s->ctx = ctx;
    s->state = state;
    s->rules = rules;
    s->rng = rng;
    return s;
}

/* NULL is allowed. */
void
ticket_submission_destroy(struct ticket_submission *s)
{
    if (s) {
        ticket_free(s->ticket);
        g_free(s);
    }
}

static void
finish(struct ticket_submission *s, struct ticket_answer *answer)
{
    s->step = STEP_FINISHED;
    if (s->ticket) {
        answer->number = s->ticket->number;
        answer->hash = s->ticket->hash;
    }
    s->ops.answer(s->ctx, answer);
}

static void
finish_with_outcome(struct ticket_submission *s, enum ticket_outcome outcome)
{
    struct ticket_answer answer = {.outcome = outcome};

    finish(s, &answer);
}

/* Ends the submission at its deadline. The outcome is unknown if an insert got
   no answer, because it may take effect even after a read that did not find
   the row. */
static void
finish_timed_out(struct ticket_submission *s)
{
    bool in_doubt = s->insert_unanswered || s->step == STEP_INSERTING;

    finish_with_outcome(s, in_doubt ? TICKET_UNKNOWN : TICKET_NOT_ACCEPTED);
}

static bool
number_too_low(const struct ticket_submission *s)
{
    return s->ticket->number + TICKET_NUMBER_WINDOW <=
           ticket_state_digest(s->state).highest;
}

static void
finish_number_too_low(struct ticket_submission *s)
{
    struct ticket_answer answer = {.outcome = TICKET_INVALID};

    ticket_error_set(&answer.error, "ticket", "number",
                     "is %d or more below the highest number in force, "
                     "%" G_GUINT64_FORMAT,
                     TICKET_NUMBER_WINDOW,
                     (guint64)ticket_state_digest(s->state).highest);
    finish(s, &answer);
}

static void
send_read(struct ticket_submission *s)
{
    s->step = STEP_READING;
    s->ops.read(s->ctx, s->key);
}

/* Sends the conditional insert. If the number is too low it only reads the
   row, so that an old ticket which is submitted again is recognized. */
static void
send_insert(struct ticket_submission *s)
{
    if (number_too_low(s)) {
        send_read(s);
        return;
    }
    s->step = STEP_INSERTING;
    s->ops.insert(s->ctx, s->key, s->ticket->text);
}

/* Schedules a retry with exponential backoff and full jitter. step is the
   waiting step to enter. */
static void
schedule_retry(struct ticket_submission *s, clock_ms now, enum step step)
{
    clock_ms cap = RETRY_MAX_MS;

    if (s->attempts < 5) {
        cap = MIN(cap, (clock_ms)RETRY_BASE_MS << s->attempts);
    }
    s->attempts++;
    s->retry_at = now + 1 + (clock_ms)rng_below(s->rng, (uint64_t)cap);
    if (s->retry_at >= s->deadline) {
        s->step = step;
        finish_timed_out(s);
        return;
    }
    s->step = step;
}

/* Ends the submission by comparing the ticket with the stored row. A stored
   row is an accepted ticket, whoever submitted it, so it is always merged. */
static void
finish_with_stored_row(struct ticket_submission *s, const char *row)
{
    struct ticket_error err = {0};
    size_t n = strlen(row);

#ifdef TICKET_BREAK_BLIND_CLAIM
    bool equal = true;
#else
    bool equal = strcmp(row, s->ticket->text) == 0;
#endif
    if (equal) {
        s->ops.accepted(s->ctx, s->ticket);
        /* After an unanswered insert, the row was most likely written by this
           submission. */
        finish_with_outcome(s, s->insert_unanswered ? TICKET_ACCEPTED
                                                    : TICKET_ALREADY_ACCEPTED);
        return;
    }
    struct ticket *other = ticket_parse(row, n, &err);
    struct ticket_answer answer = {
        .outcome = TICKET_CONFLICT,
        .other_author = other ? other->author : "(unreadable row)",
        .other_hash = other ? other->hash : XXH3_64bits(row, n),
    };

    if (other && other->number == s->ticket->number) {
        s->ops.accepted(s->ctx, other);
    }
    finish(s, &answer);
    ticket_free(other);
}

/* Validates the text of a ticket and starts to insert it. May call the
   callback answer before it returns. */
void
ticket_submission_start(struct ticket_submission *s, clock_ms now,
                        const char *text, size_t n)
{
    struct ticket_answer answer = {.outcome = TICKET_INVALID};

    s->deadline = now + TICKET_SUBMISSION_TIMEOUT_MS;
    s->ticket = ticket_parse(text, n, &answer.error);
    if (!s->ticket ||
        !ticket_check(s->ticket, s->state, s->rules, &answer.error)) {
        finish(s, &answer);
        return;
    }
    ticket_row_key_format(s->ticket->number, s->key);
    send_insert(s);
}

/* Handles the answer to an insert. row is the existing row if result is
   TICKET_STORE_EXISTS, and is not used otherwise. */
void
ticket_submission_on_insert(struct ticket_submission *s, clock_ms now,
                            enum ticket_store_result result, const char *row)
{
    if (s->step != STEP_INSERTING) {
        return;
    }
    switch (result) {
    case TICKET_STORE_DONE:
        s->ops.accepted(s->ctx, s->ticket);
        finish_with_outcome(s, TICKET_ACCEPTED);
        break;
    case TICKET_STORE_EXISTS:
        finish_with_stored_row(s, row);
        break;
    case TICKET_STORE_UNANSWERED:
#ifdef TICKET_BREAK_LOST_IS_ACCEPTED
        s->ops.accepted(s->ctx, s->ticket);
        finish_with_outcome(s, TICKET_ACCEPTED);
        break;
#endif
        s->insert_unanswered = true;
        schedule_retry(s, now, STEP_WAITING_READ);
        break;
    case TICKET_STORE_ABSENT:
    case TICKET_STORE_NOT_DONE:
        schedule_retry(s, now, STEP_WAITING_INSERT);
        break;
    }
}

/* Handles the answer to a read. After an unanswered insert, an absent row does
   not mean that the insert failed: it may arrive late, and reads may be stale.
   The insert is therefore sent again; it has no effect if the row exists. */
void
ticket_submission_on_read(struct ticket_submission *s, clock_ms now,
                          enum ticket_store_result result, const char *row)
{
    if (s->step != STEP_READING) {
        return;
    }
    if (result == TICKET_STORE_DONE) {
        finish_with_stored_row(s, row);
        return;
    }
    if (result != TICKET_STORE_ABSENT) {
        schedule_retry(s, now, STEP_WAITING_READ);
        return;
    }
    if (number_too_low(s) && !s->insert_unanswered) {
        finish_number_too_low(s);
        return;
    }
    schedule_retry(s, now, STEP_WAITING_INSERT);
}

/* Sends a retry that is due, and ends the submission at its deadline. */
void
ticket_submission_tick(struct ticket_submission *s, clock_ms now)
{
    if (s->step == STEP_FINISHED || s->step == STEP_IDLE) {
        return;
    }
    if (now >= s->deadline) {
        finish_timed_out(s);
        return;
    }
    if (s->step == STEP_WAITING_INSERT && now >= s->retry_at) {
        send_insert(s);
    }
    else if (s->step == STEP_WAITING_READ && now >= s->retry_at) {
        send_read(s);
    }
}

/* Returns when ticket_submission_tick() must be called next. */
clock_ms
ticket_submission_deadline(const struct ticket_submission *s)
{
    switch (s->step) {
    case STEP_WAITING_INSERT:
    case STEP_WAITING_READ:
        return MIN(s->retry_at, s->deadline);
    case STEP_INSERTING:
    case STEP_READING:
        return s->deadline;
    default:
        return CLOCK_NEVER;
    }
}

/* Returns true once the callback answer was called. */
bool
ticket_submission_finished(const struct ticket_submission *s)
{
    return s->step == STEP_FINISHED;
}

/* Returns the name of an outcome as used in answers and counters. */
const char *
ticket_outcome_name(enum ticket_outcome outcome)
{
    static const char *const names[] = {"accepted",     "already_accepted",
                                        "conflict",     "invalid",
                                        "not_accepted", "unknown"};

    return names[outcome];
}

/* Returns what the operator should do next. */
const char *
ticket_outcome_advice(enum ticket_outcome outcome)
{
    static const char *const advice[] = {
        "nothing to do",
        "nothing to do",
        "choose another number and submit again",
        "correct the ticket and submit again",
        "the store did not take the ticket; submit the same ticket again",
        "the store may have it; submit the same ticket again to find out",
    };

    return advice[outcome];
}
