#include "caller/caller.h"

#include <string.h>

#define LOG_MODULE "keyed"
#include "base/log.h"

/* A request key (idempotency key) makes a write safe to retry. The key and the
   answer are stored in the transaction of the write, so a second run finds the
   key and returns the stored answer instead of writing again. */

/* Of a larger answer only the command tag is stored. */
#define KEYED_MAX_STORED_BYTES 8192

/* Returns true if the batch is a single write outside of a transaction and the
   caller has set a request key. */
bool
keyed_applies(const struct caller *c)
{
    const struct message_batch *b = &c->message_batch;

    return c->request_key != NULL && c->exchange.tx_status == 'I' &&
           b->class == STATEMENT_WRITE && !b->multiple &&
           !b->ends_with_flush && b->refusal_sqlstate == NULL;
}

/* Appends the request key as an SQL literal. */
static void
append_key(const struct caller *c, GString *sql)
{
    char **parts = g_strsplit(c->request_key, "'", -1);
    char *quoted = g_strjoinv("''", parts);

    g_string_append_printf(sql, "'%s'", quoted);
    g_free(quoted);
    g_strfreev(parts);
}

/* Writes BEGIN and the claim of the key ahead of the caller's write. If the
   key exists, the claim fails and with it the transaction, so that the write
   is not executed. */
void
keyed_begin(struct caller *c, struct upstream_conn *u)
{
    struct exchange *e = &c->exchange;
    GString *sql = g_string_new("SELECT group_request_claim(");

    if (c->keyed_answer == NULL) {
        c->keyed_answer = g_string_new(NULL);
    }
    g_string_truncate(c->keyed_answer, 0);
    e->keyed = true;
    frame_put_query(u->out, "BEGIN");
    exchange_add_section(e, SECTION_KEY_BEGIN);
    append_key(c, sql);
    g_string_append_c(sql, ')');
    frame_put_query(u->out, sql->str);
    exchange_add_section(e, SECTION_KEY_CLAIM);
    g_string_free(sql, TRUE);
}

static void
append_hex(GString *out, struct sview bytes)
{
    for (size_t i = 0; i < bytes.n; i++) {
        g_string_append_printf(out, "%02x", (unsigned char)bytes.p[i]);
    }
}

/* Decodes hexadecimal digits. Returns false if text holds anything else; out
   may then hold a part. */
static bool
read_hex(struct sview text, GString *out)
{
    for (size_t i = 0; i + 1 < text.n; i += 2) {
        const int high = g_ascii_xdigit_value(text.p[i]);
        const int low = g_ascii_xdigit_value(text.p[i + 1]);
        if (high < 0 || low < 0) {
            return false;
        }
        g_string_append_c(out, (char)(high << 4 | low));
    }
    return text.n % 2 == 0;
}

/* Handles the answer to the claim. An existing key is reported as a unique
   violation with the stored answer in its detail field. */
void
keyed_handle_claim(struct caller *c, const struct frame *f)
{
    if (f->type != 'E') {
        return;
    }
    const struct sview state = frame_error_field(f->body, 'C');
    const struct sview stored = frame_error_field(f->body, 'D');
    GString *answer = g_string_new(NULL);
    if (sview_equal(state, SVIEW("23505")) && read_hex(stored, answer)) {
        c->exchange.replay = true;
        g_string_truncate(c->keyed_answer, 0);
        g_string_append_len(c->keyed_answer, answer->str, (gssize)answer->len);
    }
    g_string_free(answer, TRUE);
}

/* Handles the answers to storing the result and to COMMIT. */
void
keyed_handle_commit(struct caller *c, const struct frame *f)
{
    if (f->type == 'E') {
        c->exchange.commit_failed = true;
    }
    if (f->type == 'C') {
        const struct sview tag = {.p = f->body.p,
                                  .n = strnlen(f->body.p, f->body.n)};
        if (sview_equal(tag, SVIEW("ROLLBACK"))) {
            c->exchange.commit_failed = true;
        }
    }
}

/* Appends the part of the answer that a repeated request gets, as hexadecimal
   digits: row description, rows and command tag, or only the tag if the answer
   exceeds KEYED_MAX_STORED_BYTES. */
static void
append_stored_answer(const struct caller *c, GString *sql)
{
    const bool whole = c->keyed_answer->len <= KEYED_MAX_STORED_BYTES;
    struct sview in = {c->keyed_answer->str, c->keyed_answer->len};
    struct frame f;

    while (frame_next(in, in.n, &f) == FRAME_COMPLETE) {
        if (f.type == 'C' || (whole && (f.type == 'T' || f.type == 'D'))) {
            append_hex(sql, (struct sview){in.p, f.total_bytes});
        }
        in.p += f.total_bytes;
        in.n -= f.total_bytes;
    }
}

/* Called at the ReadyForQuery of the write. Stores the answer and commits, or
   rolls back if the write failed or the key already existed. */
void
keyed_after_body(struct caller *c)
{
    struct exchange *e = &c->exchange;
    struct upstream_conn *u = c->request.conn;

    if (e->replay || e->tx_status != 'T') {
        frame_put_query(u->out, "ROLLBACK");
        exchange_add_section(e, SECTION_ROLLBACK);
    }
    else {
        GString *sql = g_string_new("SELECT group_request_store(");
        append_key(c, sql);
        g_string_append(sql, ", '");
        append_stored_answer(c, sql);
        g_string_append(sql, "')");
        frame_put_query(u->out, sql->str);
        exchange_add_section(e, SECTION_KEY_STORE);
        frame_put_query(u->out, "COMMIT");
        exchange_add_section(e, SECTION_KEY_COMMIT);
        g_string_free(sql, TRUE);
    }
    frame_put_query(u->out, GROUP_SQL_STATE);
    exchange_add_section(e, SECTION_STATE_AFTER);
    upstream_conn_flush(u);
}

/* Appends the messages of the stored answer whose type is in types to the
   caller's output. */
static void
append_messages_of_types(struct caller *c, const char *types)
{
    struct sview in = {c->keyed_answer->str, c->keyed_answer->len};
    struct frame f;

    while (frame_next(in, in.n, &f) == FRAME_COMPLETE) {
        if (strchr(types, f.type) != NULL) {
            g_string_append_len(c->out, in.p, (gssize)f.total_bytes);
        }
        in.p += f.total_bytes;
        in.n -= f.total_bytes;
    }
}

/* Answers a repeated request from the stored answer, with the replies that the
   caller's messages expect, in their order. */
static void
answer_from_stored(struct caller *c)
{
    struct sview in = caller_input(c);
    struct frame f;

    caller_count(c, COUNTER_KEYED_REPLAYS);
    if (!c->message_batch.extended) {
        append_messages_of_types(c, "TDC");
        return;
    }
    in.n = c->message_batch.bytes;
    while (in.n > 0 && frame_next(in, in.n, &f) == FRAME_COMPLETE) {
        if (f.type == 'P') {
            frame_end(c->out, frame_begin(c->out, '1'));
        }
        else if (f.type == 'B') {
            frame_end(c->out, frame_begin(c->out, '2'));
        }
        else if (f.type == 'C') {
            frame_end(c->out, frame_begin(c->out, '3'));
        }
        else if (f.type == 'D') {
            const size_t before = c->out->len;
            append_messages_of_types(c, "T");
            if (c->out->len == before) {
                frame_end(c->out, frame_begin(c->out, 'n'));
            }
        }
        else if (f.type == 'E') {
            append_messages_of_types(c, "DC");
        }
        in.p += f.total_bytes;
        in.n -= f.total_bytes;
    }
}

/* Ends a keyed exchange after its last section. Returns false if the request
   will be retried. */
bool
keyed_finish(struct caller *c)
{
    struct exchange *e = &c->exchange;

    if (e->commit_failed && !e->replay) {
        /* Another run with the same key may have committed first, or the
           primary was replaced during the commit; the retry shows which. */
        e->tx_status = 'I';
        c->has_connection = false;
        group_finish(c->group, &c->request, GROUP_RETURN_DISCARD);
        request_retry_after_backoff(c, COUNTER_RETRY_KEYED);
        return false;
    }
    if (e->replay) {
        e->body_failed = false;
        answer_from_stored(c);
    }
    else {
        g_string_append_len(c->out, c->keyed_answer->str,
                            (gssize)c->keyed_answer->len);
    }
    g_string_truncate(c->keyed_answer, 0);
    g_free(c->request_key);
    c->request_key = NULL;
    return true;
}
