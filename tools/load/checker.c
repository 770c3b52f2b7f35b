#include "load/checker.h"

#include <string.h>

static void
row_free(void *p)
{
    struct checked_row *r = p;

    g_free(r->table);
    g_free(r->key);
    g_free(r);
}

struct checker *
checker_create(void)
{
    struct checker *c = g_new0(struct checker, 1);

    c->rows = g_ptr_array_new_with_free_func(row_free);
    return c;
}

void
checker_destroy(struct checker *c)
{
    g_ptr_array_free(c->rows, TRUE);
    g_free(c);
}

/* Registers a row that does not exist yet. The checker owns the result. */
struct checked_row *
checker_add_row(struct checker *c, const char *table, const char *key)
{
    struct checked_row *r = g_new0(struct checked_row, 1);

    r->table = g_strdup(table);
    r->key = g_strdup(key);
    g_ptr_array_add(c->rows, r);
    return r;
}

/* Records the outcome that was reported for one increment. */
void
checker_record_write(struct checked_row *r, enum checker_outcome outcome)
{
    switch (outcome) {
    case CHECKER_ACKED:
        r->acked++;
        return;
    case CHECKER_NOT_RUN:
        r->not_run++;
        return;
    case CHECKER_FAILED:
        r->failed++;
        return;
    case CHECKER_UNKNOWN:
        r->unknown++;
        return;
    }
}

/* Returns the value as a number; a missing row counts as 0. */
static int64_t
parse_value(const char *value)
{
    return value == NULL ? 0 : g_ascii_strtoll(value, NULL, 10);
}

/* Checks a read by the only session that writes the row: the value includes
   all acknowledged increments and is not below an earlier read. */
void
checker_check_read(struct checker *c, struct checked_row *r, const char *value)
{
    const int64_t n = parse_value(value);

    if (n < r->acked || n < r->largest_read) {
        c->counts.stale_own_reads++;
    }
    r->largest_read = MAX(r->largest_read, n);
}

/* Checks a read inside a transaction that has already added own to the row. A
   value above the largest possible one includes changes of another
   transaction. */
void
checker_check_transaction_read(struct checker *c, const struct checked_row *r,
                               const char *value, int64_t own)
{
    const int64_t n = parse_value(value);

    if (n < MAX(r->acked, r->largest_read) + own) {
        c->counts.stale_own_reads++;
    }
    if (n > r->acked + r->unknown + own) {
        c->counts.mixed_transactions++;
    }
}

/* Checks two rows that every transaction increments together. The second one
   was read later, so it can be larger than the first one but not smaller. */
void
checker_check_pair(struct checker *c, const char *first, const char *second)
{
    if (parse_value(second) < parse_value(first)) {
        c->counts.mixed_transactions++;
    }
}

/* Checks a session setting; NULL means not set. Another value belongs to
   another session. */
void
checker_check_setting(struct checker *c, const char *expected,
                      const char *value)
{
    if (g_strcmp0(expected, value) != 0) {
        c->counts.mixed_transactions++;
    }
}

void
checker_answer_begin(struct checked_answer *a, int64_t rows, int64_t row_bytes)
{
    *a = (struct checked_answer){.rows = rows, .row_bytes = row_bytes};
}

/* Checks one row of an answer: index, a space, then dots up to row_bytes. */
void
checker_answer_check_row(struct checked_answer *a, const char *text, int64_t n)
{
    char head[32];

    g_snprintf(head, sizeof(head), "%" G_GINT64_FORMAT " ", a->next_row);
    const int64_t head_bytes = MIN((int64_t)strlen(head), a->row_bytes);
    bool ok = n == a->row_bytes && memcmp(text, head, (size_t)head_bytes) == 0;
    /* The dots are all equal if the text equals itself shifted by one byte. */
    if (ok && n > head_bytes) {
        ok = text[head_bytes] == '.' &&
             memcmp(text + head_bytes, text + head_bytes + 1,
                    (size_t)(n - head_bytes - 1)) == 0;
    }
    a->has_wrong_row = a->has_wrong_row || !ok;
    a->next_row++;
}

/* Counts an incomplete or wrong answer. complete: it ended without an error.
   After an error, rows may be missing at the end, but none may be wrong. */
void
checker_answer_end(struct checker *c, const struct checked_answer *a,
                   bool complete)
{
    if (a->has_wrong_row || a->next_row > a->rows ||
        (complete && a->next_row != a->rows)) {
        c->counts.incomplete_answers++;
    }
}

/* Compares a row with the value that the primary holds after the run. Surplus
   increments are counted as false_not_run as far as increments were reported
   as not run, and as duplicates beyond that. */
void
checker_check_final_value(struct checker *c, const struct checked_row *r,
                          const char *value)
{
    const int64_t n = parse_value(value);
    const int64_t excess = n - (r->acked + r->unknown);

    if (n < r->acked) {
        c->counts.lost_writes += r->acked - n;
    }
    if (excess > 0) {
        const int64_t false_not_run = MIN(excess, r->not_run);
        c->counts.false_not_run += false_not_run;
        c->counts.duplicate_writes += excess - false_not_run;
    }
}
