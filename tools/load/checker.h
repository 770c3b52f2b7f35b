#ifndef LOAD_CHECKER_H
#define LOAD_CHECKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Records the reported outcomes of writes and checks the values that are read
   against them. Opens no connection. */

struct checker_counts {
    int64_t stale_own_reads;
    int64_t lost_writes;
    int64_t duplicate_writes;
    int64_t false_not_run;
    int64_t mixed_transactions;
    int64_t incomplete_answers;
};

/* Reported outcome of one increment by 1. */
enum checker_outcome {
    CHECKER_ACKED,
    CHECKER_NOT_RUN,
    CHECKER_FAILED,
    CHECKER_UNKNOWN,
};

/* A row that does not exist at first and whose value counts the increments
   that were executed. The fields count the increments by outcome. */
struct checked_row {
    char *table;
    char *key;
    int64_t acked;
    int64_t unknown;
    int64_t not_run;
    int64_t failed;
    int64_t largest_read; /* largest value that the session has read */
};

/* State of checking one answer of generated rows. */
struct checked_answer {
    int64_t rows;
    int64_t row_bytes;
    int64_t next_row;
    bool has_wrong_row;
};

struct checker {
    GPtrArray *rows; /* of struct checked_row */
    struct checker_counts counts;
};

struct checker *checker_create(void);
void checker_destroy(struct checker *c);
struct checked_row *checker_add_row(struct checker *c, const char *table,
                                    const char *key);
void checker_record_write(struct checked_row *r, enum checker_outcome outcome);
void checker_check_read(struct checker *c, struct checked_row *r,
                        const char *value);
void checker_check_transaction_read(struct checker *c,
                                    const struct checked_row *r,
                                    const char *value, int64_t own);
void checker_check_pair(struct checker *c, const char *first,
                        const char *second);
void checker_check_setting(struct checker *c, const char *expected,
                           const char *value);
void checker_answer_begin(struct checked_answer *a, int64_t rows,
                          int64_t row_bytes);
void checker_answer_check_row(struct checked_answer *a, const char *text,
                              int64_t n);
void checker_answer_end(struct checker *c, const struct checked_answer *a,
                        bool complete);
void checker_check_final_value(struct checker *c, const struct checked_row *r,
                               const char *value);

#endif
