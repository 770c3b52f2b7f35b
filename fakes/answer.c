#include "fakes/answer.h"

#include "wire/frame.h"

#define TEXT_OID 25 /* PostgreSQL's OID of the type text */

/* Appends a message that consists of its type and length only. */
void
answer_without_body(struct conn *c, char type)
{
    frame_end(c->out, frame_begin(c->out, type));
}

/* Appends RowDescription, or NoData if the statement returns no rows. */
void
answer_columns(struct conn *c, const struct sql_statement *st)
{
    const unsigned n = st->kind == SQL_SELECT_ROW ? 2 : 1;

    if (!sql_returns_rows(st)) {
        answer_without_body(c, 'n');
        return;
    }
    const size_t at = frame_begin(c->out, 'T');
    frame_put_u16(c->out, (uint16_t)n);
    for (unsigned i = 0; i < n; i++) {
        frame_put_cstring(c->out, i + 1 < n ? "id" : sql_column_name(st));
        frame_put_u32(c->out, 0);
        frame_put_u16(c->out, 0);
        frame_put_u32(c->out, TEXT_OID);
        frame_put_u16(c->out, UINT16_MAX); /* variable size */
        frame_put_u32(c->out, UINT32_MAX); /* no type modifier */
        frame_put_u16(c->out, 0);          /* text format */
    }
    frame_end(c->out, at);
}

/* Appends ErrorResponse. */
void
answer_error(struct conn *c, const struct result *r)
{
    frame_put_error(c->out, "ERROR", r->sqlstate, r->message, r->detail, NULL);
}

/* Appends one generated row: its index, padded with dots to row_bytes. */
static void
put_generated_row(struct conn *c, const struct result *r)
{
    char number[24];
    GString *out = c->out;

    g_snprintf(number, sizeof number, "%" PRIu64 " ", r->next);
    const size_t at = frame_begin(out, 'D');
    frame_put_u16(out, 1);
    frame_put_u32(out, (uint32_t)r->row_bytes);
    const size_t n = MIN(strlen(number), r->row_bytes);
    g_string_append_len(out, number, (gssize)n);
    const size_t from = out->len;
    g_string_set_size(out, from + r->row_bytes - n);
    memset(out->str + from, '.', r->row_bytes - n);
    frame_end(out, at);
}

/* Appends the single row of a result that is not generated. */
static void
put_row(struct conn *c, const struct result *r)
{
    const size_t at = frame_begin(c->out, 'D');

    frame_put_u16(c->out, (uint16_t)r->n_columns);
    for (unsigned i = 0; i < r->n_columns; i++) {
        const size_t n = strlen(r->columns[i]);
        frame_put_u32(c->out, (uint32_t)n);
        g_string_append_len(c->out, r->columns[i], (gssize)n);
    }
    frame_end(c->out, at);
}

/* Appends rows until the result ends or *sent reaches limit (0: no limit).
   Returns false if the output buffer is full before that. */
bool
answer_rows(struct conn *c, struct result *r, uint32_t limit, uint32_t *sent)
{
    while (r->next < r->total && (limit == 0 || *sent < limit)) {
        if (c->out->len - c->out_pos >= CONN_OUT_LIMIT_BYTES) {
            return false;
        }
        if (r->row_bytes > 0) {
            put_generated_row(c, r);
        }
        else {
            put_row(c, r);
        }
        r->next++;
        (*sent)++;
    }
    return true;
}

/* Appends CommandComplete, or EmptyQueryResponse if there is no tag. */
void
answer_complete(struct conn *c, const struct result *r)
{
    if (r->tag[0] == '\0') {
        answer_without_body(c, 'I');
        return;
    }
    const size_t at = frame_begin(c->out, 'C');
    frame_put_cstring(c->out, r->tag);
    frame_end(c->out, at);
}

/* Appends ParameterStatus for settings changed since the last report. */
static void
report_settings(struct conn *c)
{
    c->session.report_pending = false;
    for (unsigned i = 0; i < SESSION_REPORTED_COUNT; i++) {
        const char *name = session_reported_name(i);
        g_autofree char *lower = g_ascii_strdown(name, -1);
        const char *value = session_setting(&c->session, lower);
        if (g_strcmp0(c->reported[i], value) != 0) {
            g_free(c->reported[i]);
            c->reported[i] = g_strdup(value);
            frame_put_parameter(c->out, name, value);
        }
    }
}

/* Appends the changed settings, then ReadyForQuery. */
void
answer_ready(struct conn *c)
{
    if (c->session.report_pending) {
        report_settings(c);
    }
    frame_put_ready(c->out, session_status(&c->session));
}
