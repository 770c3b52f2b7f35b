#ifndef TICKET_SUBMISSION_H
#define TICKET_SUBMISSION_H

#include "base/clock.h"
#include "base/rng.h"
#include "ticket/state.h"

/* How far below the highest number in force a new ticket's number may be.
   Proxies read the table from complete_to minus this window, so they also find
   a row that is written after rows with higher numbers. */
#define TICKET_NUMBER_WINDOW 8
/* A submission without a final result ends after this time as
   TICKET_NOT_ACCEPTED or TICKET_UNKNOWN. */
#define TICKET_SUBMISSION_TIMEOUT_MS 10000

enum ticket_outcome {
    TICKET_ACCEPTED,
    TICKET_ALREADY_ACCEPTED, /* same number and content as the stored row */
    TICKET_CONFLICT,         /* the stored row has other content */
    TICKET_INVALID,
    TICKET_NOT_ACCEPTED, /* the store did not write it */
    TICKET_UNKNOWN,      /* the store may have written it */
};

struct ticket_answer {
    enum ticket_outcome outcome;
    uint64_t number;
    uint64_t hash;
    char *other_author; /* TICKET_CONFLICT only */
    uint64_t other_hash;
    struct ticket_error error; /* TICKET_INVALID only */
};

/* Result of a request to the table service. */
enum ticket_store_result {
    TICKET_STORE_DONE,       /* row inserted, or row read */
    TICKET_STORE_EXISTS,     /* insert: the row exists and is passed along */
    TICKET_STORE_ABSENT,     /* read: the row does not exist */
    TICKET_STORE_NOT_DONE,   /* failed, known to have had no effect */
    TICKET_STORE_UNANSWERED, /* sent without an answer; may have had effect */
};

/* Callbacks of a submission. */
struct ticket_submission_ops {
    /* Inserts text at key unless the key exists; the result is passed to
       ticket_submission_on_insert(). */
    void (*insert)(void *ctx, const char *key, const char *text);
    /* Reads key; the result is passed to ticket_submission_on_read(). */
    void (*read)(void *ctx, const char *key);
    /* Called when t is known to be in the store; t is borrowed. The owner
       merges it and pushes it to peers. */
    void (*accepted)(void *ctx, const struct ticket *t);
    /* Called exactly once, at the end. The owner may free the submission
       later, but not inside this callback. */
    void (*answer)(void *ctx, const struct ticket_answer *answer);
};

/* State machine for the submission of one ticket: inserts it into the tickets
   table under its number and finds out whether that succeeded. */
struct ticket_submission;

struct ticket_submission *
ticket_submission_create(const struct ticket_submission_ops *ops, void *ctx,
                         const struct ticket_state *state,
                         const struct ticket_rules *rules, struct rng *rng);
void ticket_submission_destroy(struct ticket_submission *s);
void ticket_submission_start(struct ticket_submission *s, clock_ms now,
                             const char *text, size_t n);
void ticket_submission_on_insert(struct ticket_submission *s, clock_ms now,
                                 enum ticket_store_result result,
                                 const char *row);
void ticket_submission_on_read(struct ticket_submission *s, clock_ms now,
                               enum ticket_store_result result,
                               const char *row);
void ticket_submission_tick(struct ticket_submission *s, clock_ms now);
clock_ms ticket_submission_deadline(const struct ticket_submission *s);
bool ticket_submission_finished(const struct ticket_submission *s);
const char *ticket_outcome_name(enum ticket_outcome outcome);
const char *ticket_outcome_advice(enum ticket_outcome outcome);

#endif
