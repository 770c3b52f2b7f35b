#ifndef TICKET_SUBMISSION_H
#define TICKET_SUBMISSION_H

#include "base/clock.h"
#include "base/rng.h"
#include "ticket/state.h"

/* How far below the highest number in force a new number may lie. Proxies
   read the table from complete_to less this window, so a row that is written
   later than its higher neighbours is still found. */
#define TICKET_WINDOW 8
/* After this time the submission is answered with what is known. */
#define TICKET_SUBMISSION_LIMIT_MS 10000

enum ticket_outcome {
    TICKET_ACCEPTED,
    TICKET_ALREADY_ACCEPTED, /* same number and content as the stored row */
    TICKET_CONFLICT,         /* the number holds other content */
    TICKET_INVALID,
    TICKET_NOT_ACCEPTED, /* the store did not take it */
    TICKET_UNKNOWN,      /* the store may have taken it */
};

struct ticket_answer {
    enum ticket_outcome outcome;
    uint64_t number;
    uint64_t hash;
    char *other_author; /* TICKET_CONFLICT only */
    uint64_t other_hash;
    struct ticket_error error; /* TICKET_INVALID only */
};

/* What came of a request to the table service. */
enum ticket_store_result {
    TICKET_STORE_DONE,     /* row inserted, or row read */
    TICKET_STORE_EXISTS,   /* insert refused; the row in place is passed */
    TICKET_STORE_ABSENT,   /* read: no such row */
    TICKET_STORE_NOT_DONE, /* certainly without effect */
    TICKET_STORE_LOST,     /* sent, no answer */
};

struct ticket_submission_ops {
    /* Inserts text at key unless the key exists; answered by
       ticket_submission_on_insert(). */
    void (*insert)(void *ctx, const char *key, const char *text);
    /* Reads key; answered by ticket_submission_on_read(). */
    void (*read)(void *ctx, const char *key);
    /* The ticket is in the store: merge it and push it to peers. */
    void (*accepted)(void *ctx, const struct ticket *t);
    /* The only answer; the submission may be freed afterwards, outside of
       this call. */
    void (*answer)(void *ctx, const struct ticket_answer *answer);
};

struct ticket_submission;

struct ticket_submission *
ticket_submission_new(const struct ticket_submission_ops *ops, void *ctx,
                      const struct ticket_state *state,
                      const struct ticket_rules *rules, struct rng *rng);
void ticket_submission_free(struct ticket_submission *s);
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
