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
    clock_ms limit;
    clock_ms retry_at;
    int attempts;
    bool insert_lost; /* an insert was sent and its answer was lost */
    char key[TICKET_KEY_BYTES];
};

/* Creates a submission. state, rules and rng are borrowed. */
struct ticket_submission *
ticket_submission_new(const struct ticket_submission_ops *ops, void *ctx,
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

/* Frees the submission; NULL is allowed. */
void
ticket_submission_free(struct ticket_submission *s)
{
    if (s) {
        ticket_free(s->ticket);
        g_free(s);
    }
}

/* Ends the submission with this answer. */
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

/* Ends the submission with an outcome that needs no detail. */
static void
finish_with(struct ticket_submission *s, enum ticket_outcome outcome)
{
    struct ticket_answer answer = {.outcome = outcome};

    finish(s, &answer);
}

/* Ends the submission when the time is used up. An insert without an answer
   may still take effect, even after a read that did not find the row. */
static void
finish_unavailable(struct ticket_submission *s)
{
    bool in_doubt = s->insert_lost || s->step == STEP_INSERTING;

    finish_with(s, in_doubt ? TICKET_UNKNOWN : TICKET_NOT_ACCEPTED);
}

/* Tells whether the number is too far below the highest one in force. */
static bool
number_too_low(const struct ticket_submission *s)
{
    return s->ticket->number + TICKET_WINDOW <=
           ticket_state_digest(s->state).highest;
}

/* Ends the submission for a number that is too low and not in the store. */
static void
finish_too_low(struct ticket_submission *s)
{
    struct ticket_answer answer = {.outcome = TICKET_INVALID};

    ticket_error_set(&answer.error, "ticket", "number",
                     "is %d or more below the highest number in force, "
                     "%" G_GUINT64_FORMAT,
                     TICKET_WINDOW,
                     (guint64)ticket_state_digest(s->state).highest);
    finish(s, &answer);
}

/* Reads the row of the number. */
static void
send_read(struct ticket_submission *s)
{
    s->step = STEP_READING;
    s->ops.read(s->ctx, s->key);
}

/* Sends the conditional insert, or only a read when the number is too low to
   be claimed: an old ticket that is submitted again is still recognised. */
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

/* Waits before the next try: exponential backoff with full jitter. */
static void
wait_then(struct ticket_submission *s, clock_ms now, enum step step)
{
    clock_ms cap = RETRY_MAX_MS;

    if (s->attempts < 5) {
        cap = MIN(cap, (clock_ms)RETRY_BASE_MS << s->attempts);
    }
    s->attempts++;
    s->retry_at = now + 1 + (clock_ms)rng_below(s->rng, (uint64_t)cap);
    if (s->retry_at >= s->limit) {
        s->step = step;
        finish_unavailable(s);
        return;
    }
    s->step = step;
}

/* Compares the stored row with the ticket and ends the submission. A row in
   the store is accepted whoever wrote it, so it is merged in each case. */
static void
finish_with_row(struct ticket_submission *s, const char *row)
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
        /* After a lost answer the row is most likely our own. */
        finish_with(s, s->insert_lost ? TICKET_ACCEPTED
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

/* Starts with the text of a ticket: validates it, then claims its number. */
void
ticket_submission_start(struct ticket_submission *s, clock_ms now,
                        const char *text, size_t n)
{
    struct ticket_answer answer = {.outcome = TICKET_INVALID};

    s->limit = now + TICKET_SUBMISSION_LIMIT_MS;
    s->ticket = ticket_parse(text, n, &answer.error);
    if (!s->ticket ||
        !ticket_check(s->ticket, s->state, s->rules, &answer.error)) {
        finish(s, &answer);
        return;
    }
    ticket_key(s->ticket->number, s->key);
    send_insert(s);
}

/* Takes the answer to the insert. row is the row in place for
   TICKET_STORE_EXISTS. */
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
        finish_with(s, TICKET_ACCEPTED);
        break;
    case TICKET_STORE_EXISTS:
        finish_with_row(s, row);
        break;
    case TICKET_STORE_LOST:
#ifdef TICKET_BREAK_LOST_IS_ACCEPTED
        s->ops.accepted(s->ctx, s->ticket);
        finish_with(s, TICKET_ACCEPTED);
        break;
#endif
        s->insert_lost = true;
        wait_then(s, now, STEP_WAITING_READ);
        break;
    case TICKET_STORE_ABSENT:
    case TICKET_STORE_NOT_DONE:
        wait_then(s, now, STEP_WAITING_INSERT);
        break;
    }
}

/* Takes the answer to the read. A row that is absent proves nothing after a
   lost insert, because that insert may arrive later and reads may be stale;
   so the insert is sent again, which has no effect when the row exists. */
void
ticket_submission_on_read(struct ticket_submission *s, clock_ms now,
                          enum ticket_store_result result, const char *row)
{
    if (s->step != STEP_READING) {
        return;
    }
    if (result == TICKET_STORE_DONE) {
        finish_with_row(s, row);
        return;
    }
    if (result != TICKET_STORE_ABSENT) {
        wait_then(s, now, STEP_WAITING_READ);
        return;
    }
    if (number_too_low(s) && !s->insert_lost) {
        finish_too_low(s);
        return;
    }
    wait_then(s, now, STEP_WAITING_INSERT);
}

/* Sends the next try when it is due and ends the submission at its limit. */
void
ticket_submission_tick(struct ticket_submission *s, clock_ms now)
{
    if (s->step == STEP_FINISHED || s->step == STEP_IDLE) {
        return;
    }
    if (now >= s->limit) {
        finish_unavailable(s);
        return;
    }
    if (s->step == STEP_WAITING_INSERT && now >= s->retry_at) {
        send_insert(s);
    }
    else if (s->step == STEP_WAITING_READ && now >= s->retry_at) {
        send_read(s);
    }
}

/* Returns when ticket_submission_tick() is due next. */
clock_ms
ticket_submission_deadline(const struct ticket_submission *s)
{
    switch (s->step) {
    case STEP_WAITING_INSERT:
    case STEP_WAITING_READ:
        return MIN(s->retry_at, s->limit);
    case STEP_INSERTING:
    case STEP_READING:
        return s->limit;
    default:
        return CLOCK_NEVER;
    }
}

/* Tells whether the answer was given. */
bool
ticket_submission_finished(const struct ticket_submission *s)
{
    return s->step == STEP_FINISHED;
}

/* Returns the word for an outcome in answers and counters. */
const char *
ticket_outcome_name(enum ticket_outcome outcome)
{
    static const char *const names[] = {"accepted",     "already_accepted",
                                        "conflict",     "invalid",
                                        "not_accepted", "unknown"};

    return names[outcome];
}

/* Returns what the operator does next, in one sentence. */
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
