#include "load/checker.h"

#include <string.h>

/* Frees one row. */
static void
row_free(void *p)
{
    struct checked_row *r = p;

    g_free(r->table);
    g_free(r->key);
    g_free(r);
}

/* Creates a checker that knows of no writes. */
struct checker *
checker_create(void)
{
    struct checker *c = g_new0(struct checker, 1);

    c->rows = g_ptr_array_new_with_free_func(row_free);
    return c;
}

/* Frees the checker and its rows. */
void
checker_destroy(struct checker *c)
{
    g_ptr_array_free(c->rows, TRUE);
    g_free(c);
}

/* Adds a row that does not exist yet. It stays valid as long as the checker.
 */
struct checked_row *
checker_add_row(struct checker *c, const char *table, const char *key)
{
    struct checked_row *r = g_new0(struct checked_row, 1);

    r->table = g_strdup(table);
    r->key = g_strdup(key);
    g_ptr_array_add(c->rows, r);
    return r;
}

/* Notes what the session was told about one increment. */
void
checker_wrote(struct checked_row *r, enum checker_outcome outcome)
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

/* Returns a row's number; an absent row counts as 0. */
static int64_t
number(const char *value)
{
    return value == NULL ? 0 : g_ascii_strtoll(value, NULL, 10);
}

/* Checks a read by the session that alone writes the row: it shows at least
   what was acknowledged and never less than an earlier read. */
void
checker_read(struct checker *c, struct checked_row *r, const char *value)
{
    const int64_t n = number(value);

    if (n < r->acked || n < r->seen) {
        c->counts.stale_own_reads++;
    }
    r->seen = MAX(r->seen, n);
}

/* Checks a read inside a transaction that has added own to the row so far. A
   value above every possible one shows another transaction's work. */
void
checker_read_in_transaction(struct checker *c, const struct checked_row *r,
                            const char *value, int64_t own)
{
    const int64_t n = number(value);

    if (n < MAX(r->acked, r->seen) + own) {
        c->counts.stale_own_reads++;
    }
    if (n > r->acked + r->unknown + own) {
        c->counts.mixed_transactions++;
    }
}

/* Checks two rows that every transaction raises together. The second one was
   read later, so it can be ahead of the first one but never behind. */
void
checker_read_pair(struct checker *c, const char *first, const char *second)
{
    if (number(second) < number(first)) {
        c->counts.mixed_transactions++;
    }
}

/* Checks a session setting; NULL means that it is not set. */
void
checker_read_setting(struct checker *c, const char *expected,
                     const char *value)
{
    if (g_strcmp0(expected, value) != 0) {
        c->counts.mixed_transactions++;
    }
}

/* Begins to check a generated answer. */
void
checker_answer_begin(struct checked_answer *a, int64_t rows, int64_t row_bytes)
{
    *a = (struct checked_answer){.rows = rows, .row_bytes = row_bytes};
}

/* Checks one row: its number, a space and filling of dots. */
void
checker_answer_row(struct checked_answer *a, const char *text, int64_t n)
{
    char head[32];

    g_snprintf(head, sizeof(head), "%" G_GINT64_FORMAT " ", a->next);
    const int64_t head_bytes = MIN((int64_t)strlen(head), a->row_bytes);
    bool ok = n == a->row_bytes && memcmp(text, head, (size_t)head_bytes) == 0;
    /* Filling is equal to itself moved by one byte. */
    if (ok && n > head_bytes) {
        ok = text[head_bytes] == '.' &&
             memcmp(text + head_bytes, text + head_bytes + 1,
                    (size_t)(n - head_bytes - 1)) == 0;
    }
    a->wrong = a->wrong || !ok;
    a->next++;
}

/* Ends an answer. complete tells that it ended without an error; an answer
   that ended with one may be short but not wrong. */
void
checker_answer_end(struct checker *c, const struct checked_answer *a,
                   bool complete)
{
    if (a->wrong || a->next > a->rows || (complete && a->next != a->rows)) {
        c->counts.incomplete_answers++;
    }
}

/* Compares a row with what the primary holds at the end. An excess is first
   charged to increments that were reported as not run. */
void
checker_final(struct checker *c, const struct checked_row *r,
              const char *value)
{
    const int64_t n = number(value);
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
