#include "caller/caller.h"

#include <string.h>

/* Limit for the messages of one extended-protocol request together, as a
   multiple of max_message_bytes. */
#define MESSAGE_BATCH_MAX_BYTES_FACTOR 2

/* Frees the members of a batch and resets it to zero. */
void
message_batch_clear(struct message_batch *b)
{
    g_free(b->set_name);
    g_free(b->set_value);
    g_free(b->set_text);
    if (b->prepared_refs != NULL) {
        g_ptr_array_free(b->prepared_refs, TRUE);
    }
    memset(b, 0, sizeof(*b));
}

/* Records the statement that the next message of the batch refers to; p is
   NULL if the caller has no statement of that name. The reference is resolved
   here because the name may denote another statement by the time the batch is
   sent or retried. */
static void
message_batch_add_prepared(struct message_batch *b, struct prepared *p)
{
    if (b->prepared_refs == NULL) {
        b->prepared_refs = g_ptr_array_new_with_free_func(prepared_unref);
    }
    g_ptr_array_add(b->prepared_refs, p == NULL ? NULL : prepared_ref(p));
}

/* Marks the batch as refused. Only the first reason is kept. */
static void
message_batch_refuse(struct message_batch *b, const char *sqlstate,
                     const char *why, enum counter counter)
{
    if (b->refusal_sqlstate == NULL) {
        b->refusal_sqlstate = sqlstate;
        b->refusal_message = why;
        b->refusal_counter = counter;
    }
}

/* Merges the class and flags of one executed statement into the batch. */
static void
message_batch_add_statement(struct message_batch *b,
                            enum statement_class class, bool multiple,
                            bool ends_transaction, uint64_t fingerprint)
{
    if (class == STATEMENT_COPY) {
        message_batch_refuse(b, "0A000",
                             "COPY is not supported through the proxy",
                             COUNTER_REFUSED_COPY);
    }
    else if (class == STATEMENT_SESSION_STATE) {
        message_batch_refuse(
            b, "0A000",
            "statement needs state that stays with a connection, "
            "which transaction pooling does not keep",
            COUNTER_REFUSED_SESSION_STATE);
    }
    if (!b->executes) {
        b->class = class;
        b->fingerprint = fingerprint;
    }
    else {
        b->multiple = true;
        b->class = b->class == STATEMENT_READ && class == STATEMENT_READ
                       ? STATEMENT_READ
                       : STATEMENT_WRITE;
    }
    b->executes = true;
    b->multiple = b->multiple || multiple;
    b->ends_transaction = b->ends_transaction || ends_transaction;
}

/* Copies the parts of a SET or SHOW, since the statement cache may evict its
   entry. */
static void
message_batch_store_set(struct message_batch *b, const char *name,
                        const char *value, const char *text, size_t text_bytes,
                        bool is_reset)
{
    g_free(b->set_name);
    g_free(b->set_value);
    g_free(b->set_text);
    b->set_name = g_strdup(name);
    b->set_value = g_strdup(value);
    b->set_text = g_strndup(text, text_bytes);
    b->set_is_reset = is_reset;
}

/* Scans a simple Query message. */
static bool
scan_query(struct caller *c, struct sview body)
{
    struct message_batch *b = &c->message_batch;
    struct frame_reader r = {.rest = body};
    const struct sview text = frame_read_cstring(&r);

    if (r.failed) {
        return false;
    }
    const struct statement_info *s =
        statement_lookup(c->front->statements, text);
    message_batch_add_statement(b, s->class, s->multiple, s->ends_transaction,
                                s->fingerprint);
    if (s->class == STATEMENT_SET || s->class == STATEMENT_SHOW) {
        const struct sview trimmed = sview_trim_statement(text);
        message_batch_store_set(b, s->set_name, s->set_value, trimmed.p,
                                trimmed.n, s->is_reset);
    }
    return true;
}

/* Returns the caller's table of statements or portals; creates it on first
   use. */
static GHashTable *
ensure_table(GHashTable **t)
{
    if (*t == NULL) {
        *t = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                   prepared_unref);
    }
    return *t;
}

/* Scans Parse and adds the statement to the caller's table. */
static bool
scan_parse(struct caller *c, struct sview body)
{
    struct frame_reader r = {.rest = body};
    const struct sview name = frame_read_cstring(&r);
    const struct sview definition = r.rest;
    const struct sview text = frame_read_cstring(&r);
    const uint16_t types = frame_read_u16(&r);
    frame_read_bytes(&r, (size_t)types * 4);

    if (r.failed) {
        return false;
    }
    GHashTable *t = ensure_table(&c->statements);
    char *key = g_strndup(name.p, name.n);
    if (name.n > 0 && g_hash_table_contains(t, key)) {
        message_batch_refuse(&c->message_batch, "42P05",
                             "prepared statement already exists",
                             COUNTER_REFUSED_PROTOCOL);
        g_free(key);
        return true;
    }
    struct prepared *p = prepared_create(
        text, definition, statement_lookup(c->front->statements, text));
    message_batch_add_prepared(&c->message_batch, p);
    g_hash_table_replace(t, key, p);
    return true;
}

static struct prepared *
lookup_prepared(GHashTable *t, struct sview name)
{
    char *key = g_strndup(name.p, name.n);
    struct prepared *p = t == NULL ? NULL : g_hash_table_lookup(t, key);

    g_free(key);
    return p;
}

/* Scans Bind and maps the portal to its statement. */
static bool
scan_bind(struct caller *c, struct sview body)
{
    struct frame_reader r = {.rest = body};
    const struct sview portal = frame_read_cstring(&r);
    const struct sview name = frame_read_cstring(&r);

    if (r.failed) {
        return false;
    }
    struct prepared *p = lookup_prepared(c->statements, name);
    if (p == NULL) {
        message_batch_refuse(&c->message_batch, "26000",
                             "prepared statement does not exist",
                             COUNTER_REFUSED_PROTOCOL);
        return true;
    }
    message_batch_add_prepared(&c->message_batch, p);
    g_hash_table_replace(ensure_table(&c->portals),
                         g_strndup(portal.p, portal.n), prepared_ref(p));
    return true;
}

/* Scans Execute and adds the portal's statement to the batch. */
static bool
scan_execute(struct caller *c, struct sview body)
{
    struct frame_reader r = {.rest = body};
    const struct sview portal = frame_read_cstring(&r);
    frame_read_u32(&r);

    if (r.failed) {
        return false;
    }
    const struct prepared *p = lookup_prepared(c->portals, portal);
    if (p == NULL) {
        /* Either a cursor of the open transaction or an unknown portal, for
           which the member returns the error. */
        message_batch_add_statement(&c->message_batch, STATEMENT_TX_CONTROL,
                                    false, false, 0);
        return true;
    }
    message_batch_add_statement(&c->message_batch, p->class, p->multiple,
                                p->ends_transaction, p->fingerprint);
    if (p->class == STATEMENT_SET) {
        message_batch_store_set(&c->message_batch, p->set_name, p->set_value,
                                p->text, strlen(p->text), p->set_is_reset);
    }
    return true;
}

/* Scans Describe or Close of a statement or portal. */
static bool
scan_describe(struct caller *c, struct sview body, bool close)
{
    struct frame_reader r = {.rest = body};
    const struct sview what = frame_read_bytes(&r, 1);
    const struct sview name = frame_read_cstring(&r);

    if (r.failed || (what.p[0] != 'S' && what.p[0] != 'P')) {
        return false;
    }
    if (what.p[0] == 'P') {
        return true;
    }
    struct prepared *p = lookup_prepared(c->statements, name);
    message_batch_add_prepared(&c->message_batch, p);
    if (close && p != NULL) {
        char *key = g_strndup(name.p, name.n);
        g_hash_table_remove(c->statements, key);
        g_free(key);
    }
    if (!close && p == NULL) {
        message_batch_refuse(&c->message_batch, "26000",
                             "prepared statement does not exist",
                             COUNTER_REFUSED_PROTOCOL);
    }
    return true;
}

/* Adds one message to the batch. Returns false if the message is malformed or
   has an unknown type; sets *end if it completes the batch. */
static bool
scan_frame(struct caller *c, const struct frame *f, bool *end)
{
    struct message_batch *b = &c->message_batch;

    *end = false;
    if (f->type == 'Q') {
        *end = true;
        return !b->extended && scan_query(c, f->body);
    }
    b->extended = true;
    switch (f->type) {
    case 'P':
        return scan_parse(c, f->body);
    case 'B':
        return scan_bind(c, f->body);
    case 'E':
        return scan_execute(c, f->body);
    case 'D':
        return scan_describe(c, f->body, false);
    case 'C':
        return scan_describe(c, f->body, true);
    case 'H':
        b->ends_with_flush = true;
        *end = true;
        return true;
    case 'S':
        *end = true;
        return true;
    case 'F':
        message_batch_refuse(b, "0A000",
                             "function call messages are not supported",
                             COUNTER_REFUSED_PROTOCOL);
        *end = true;
        return true;
    default:
        return false;
    }
}

/* Consumes a message that belongs to no batch: data messages that follow a
   refused COPY, and all messages up to Sync after an error. Returns false if
   the message must be handled. */
static bool
skip_frame(struct caller *c, const struct frame *f)
{
    const bool copy = f->type == 'd' || f->type == 'c' || f->type == 'f';

    if (!copy && !c->skip_to_sync) {
        return false;
    }
    if (f->type == 'S') {
        c->skip_to_sync = false;
        frame_put_ready(c->out, c->has_connection ? 'E' : 'I');
    }
    c->in_consumed += f->total_bytes;
    return true;
}

/* Scans the input for the next request. Returns FRAME_COMPLETE once
   c->message_batch holds a whole request. An incomplete scan resumes at the
   next call. Terminate closes the connection. */
enum frame_status
message_batch_scan(struct caller *c)
{
    const size_t max = (size_t)c->front->settings->max_message_bytes;
    struct frame f;

    if (c->scanned_bytes == 0) {
        message_batch_clear(&c->message_batch);
    }
    for (;;) {
        struct sview in = caller_input(c);
        in.p += c->scanned_bytes;
        in.n -= c->scanned_bytes;
        const enum frame_status s = frame_next(in, max, &f);
        if (s != FRAME_COMPLETE) {
            return s;
        }
        if (f.type == 'X') {
            caller_close_after_flush(c);
            return FRAME_INCOMPLETE;
        }
        if (c->scanned_bytes == 0 && skip_frame(c, &f)) {
            continue;
        }
        bool end;
        if (!scan_frame(c, &f, &end)) {
            return FRAME_MALFORMED;
        }
        c->scanned_bytes += f.total_bytes;
        if (end) {
            c->message_batch.bytes = c->scanned_bytes;
            c->scanned_bytes = 0;
            return FRAME_COMPLETE;
        }
        if (c->scanned_bytes > max * MESSAGE_BATCH_MAX_BYTES_FACTOR) {
            return FRAME_TOO_LARGE;
        }
    }
}
