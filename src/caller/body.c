#include "caller/caller.h"

#include <string.h>

/* State of body_write() while it iterates over the messages of the batch. */
struct body_writer {
    struct caller *c;
    struct upstream_conn *u;
    guint prepared_index; /* index of the next element of
                             message_batch.prepared_refs */
    bool unnamed_parsed;  /* unnamed statement sent with this batch */
};

/* Appends a reply that the member or the proxy will send. */
static void
push_expected_reply(struct caller *c, enum reply_kind kind, struct prepared *p)
{
    const struct expected_reply a = {
        .kind = kind,
        .statement = p == NULL ? NULL : prepared_ref(p),
    };

    if (c->exchange.expected_replies == NULL) {
        c->exchange.expected_replies =
            g_array_new(FALSE, FALSE, sizeof(struct expected_reply));
    }
    g_array_append_val(c->exchange.expected_replies, a);
}

/* Returns the statement that the current message refers to. */
static struct prepared *
next_prepared(struct body_writer *w)
{
    return g_ptr_array_index(w->c->message_batch.prepared_refs,
                             w->prepared_index++);
}

/* Writes Parse with the given statement name. */
static void
write_parse(struct body_writer *w, const char *name, const struct prepared *p)
{
    gsize n;
    const char *definition = g_bytes_get_data(p->definition, &n);
    const size_t at = frame_begin(w->u->out, 'P');

    frame_put_cstring(w->u->out, name);
    g_string_append_len(w->u->out, definition, (gssize)n);
    frame_end(w->u->out, at);
}

/* Prepares a named statement on the connection. Returns false if the
   connection already has it. */
static bool
ensure_named_statement(struct body_writer *w, struct prepared *p,
                       enum reply_kind kind)
{
    if (g_hash_table_contains(w->u->prepared, p->upstream_name)) {
        return false;
    }
    write_parse(w, p->upstream_name, p);
    g_hash_table_add(w->u->prepared, g_strdup(p->upstream_name));
    push_expected_reply(w->c, kind, p);
    return true;
}

/* Forwards Parse. If the connection already has the statement, the proxy
   answers the Parse itself. */
static void
body_forward_parse(struct body_writer *w, struct sview name)
{
    struct prepared *p = next_prepared(w);

    if (name.n == 0) {
        write_parse(w, "", p);
        push_expected_reply(w->c, REPLY_PARSE, p);
        w->unnamed_parsed = true;
    }
    else if (!ensure_named_statement(w, p, REPLY_PARSE)) {
        push_expected_reply(w->c, REPLY_PARSE_LOCAL, p);
    }
}

/* Prepares the statement of a Bind or Describe on the connection unless it is
   already there. Returns its name on the connection. */
static const char *
ensure_statement(struct body_writer *w, struct sview name, struct prepared *p)
{
    if (name.n > 0) {
        ensure_named_statement(w, p, REPLY_PARSE_INJECTED);
        return p->upstream_name;
    }
    if (!w->unnamed_parsed) {
        write_parse(w, "", p);
        push_expected_reply(w->c, REPLY_PARSE_INJECTED, p);
        w->unnamed_parsed = true;
    }
    return "";
}

/* Forwards Bind with the upstream name of its statement. */
static void
body_forward_bind(struct body_writer *w, struct sview body)
{
    struct frame_reader r = {.rest = body};
    const struct sview portal = frame_read_cstring(&r);
    const struct sview name = frame_read_cstring(&r);
    const char *upstream = ensure_statement(w, name, next_prepared(w));
    const size_t at = frame_begin(w->u->out, 'B');

    frame_put_cstring_view(w->u->out, portal);
    frame_put_cstring(w->u->out, upstream);
    g_string_append_len(w->u->out, r.rest.p, (gssize)r.rest.n);
    frame_end(w->u->out, at);
    push_expected_reply(w->c, REPLY_BIND, NULL);
}

/* Forwards Describe of a statement with its upstream name. */
static void
body_forward_describe(struct body_writer *w, struct sview name)
{
    const char *upstream = ensure_statement(w, name, next_prepared(w));
    const size_t at = frame_begin(w->u->out, 'D');

    g_string_append_c(w->u->out, 'S');
    frame_put_cstring(w->u->out, upstream);
    frame_end(w->u->out, at);
    push_expected_reply(w->c, REPLY_DESCRIBE, NULL);
}

static void
body_forward_unchanged(struct body_writer *w, const struct frame *f)
{
    g_string_append_len(w->u->out, f->body.p - FRAME_HEADER_BYTES,
                        (gssize)f->total_bytes);
}

/* Forwards one extended-protocol message. */
static void
body_forward_message(struct body_writer *w, const struct frame *f)
{
    struct frame_reader r = {.rest = f->body};

    switch (f->type) {
    case 'P':
        body_forward_parse(w, frame_read_cstring(&r));
        break;
    case 'B':
        body_forward_bind(w, f->body);
        break;
    case 'D':
        if (f->body.p[0] == 'S') {
            frame_read_bytes(&r, 1);
            body_forward_describe(w, frame_read_cstring(&r));
            break;
        }
        body_forward_unchanged(w, f);
        push_expected_reply(w->c, REPLY_DESCRIBE, NULL);
        break;
    case 'C':
        if (f->body.p[0] == 'S') {
            /* Not forwarded: other callers may use the statement on this
               connection. */
            push_expected_reply(w->c, REPLY_CLOSE_LOCAL, next_prepared(w));
            break;
        }
        body_forward_unchanged(w, f);
        push_expected_reply(w->c, REPLY_CLOSE, NULL);
        break;
    default:
        body_forward_unchanged(w, f);
        if (f->type == 'E') {
            push_expected_reply(w->c, REPLY_EXECUTE, NULL);
        }
        break;
    }
}

/* Writes the caller's messages to a connection. The names of prepared
   statements are replaced by their upstream names, and statements that the
   connection lacks are prepared first. */
void
body_write(struct caller *c, struct upstream_conn *u)
{
    struct body_writer w = {.c = c, .u = u};
    struct sview in = caller_input(c);
    struct frame f;

    in.n = c->message_batch.bytes;
    if (!c->message_batch.extended) {
        g_string_append_len(u->out, in.p, (gssize)in.n);
        return;
    }
    while (in.n > 0 && frame_next(in, in.n, &f) == FRAME_COMPLETE) {
        body_forward_message(&w, &f);
        in.p += f.total_bytes;
        in.n -= f.total_bytes;
    }
}

/* Returns the oldest outstanding reply, or NULL. */
static struct expected_reply *
first_expected_reply(struct exchange *e)
{
    if (e->expected_replies == NULL ||
        e->expected_head >= e->expected_replies->len) {
        return NULL;
    }
    return &g_array_index(e->expected_replies, struct expected_reply,
                          e->expected_head);
}

/* Removes the oldest outstanding reply. */
static void
pop_expected_reply(struct exchange *e)
{
    prepared_unref(first_expected_reply(e)->statement);
    e->expected_head++;
    if (e->expected_head == e->expected_replies->len) {
        e->expected_head = 0;
        g_array_set_size(e->expected_replies, 0);
    }
}

/* Sends the replies that the proxy generates itself, as far as no reply of the
   member is due before them. */
void
body_send_local_replies(struct caller *c)
{
    struct expected_reply *a;

    while ((a = first_expected_reply(&c->exchange)) != NULL &&
           (a->kind == REPLY_PARSE_LOCAL || a->kind == REPLY_CLOSE_LOCAL)) {
        if (a->kind == REPLY_PARSE_LOCAL) {
            a->statement->accepted = true;
        }
        if (!c->exchange.discarding) {
            GString *out = exchange_output(c);
            const char type = a->kind == REPLY_PARSE_LOCAL ? '1' : '3';
            frame_end(out, frame_begin(out, type));
            c->exchange.forwarded = !c->exchange.keyed;
        }
        pop_expected_reply(&c->exchange);
    }
}

/* Matches a message from the member with the oldest outstanding reply. Returns
   false if the message must not be forwarded to the caller. */
bool
body_match_reply(struct caller *c, char type)
{
    struct expected_reply *a = first_expected_reply(&c->exchange);

    if (a == NULL) {
        return true;
    }
    const bool parse =
        a->kind == REPLY_PARSE || a->kind == REPLY_PARSE_INJECTED;
    const bool completes =
        (type == '1' && parse) || (type == '2' && a->kind == REPLY_BIND) ||
        ((type == 'T' || type == 'n') && a->kind == REPLY_DESCRIBE) ||
        ((type == 'C' || type == 'I' || type == 's') &&
         a->kind == REPLY_EXECUTE) ||
        (type == '3' && a->kind == REPLY_CLOSE);
    if (!completes) {
        return true;
    }
    const bool visible = a->kind != REPLY_PARSE_INJECTED;
    if (parse) {
        a->statement->accepted = true;
    }
    pop_expected_reply(&c->exchange);
    return visible;
}

/* Drops all outstanding replies after an error, since the member skips the
   remaining messages up to Sync. Statements whose Parse was skipped are
   removed from the connection's table; u may be NULL if the connection is
   closed or about to be. */
void
body_clear_expected_replies(struct caller *c, struct upstream_conn *u)
{
    struct expected_reply *a;

    while ((a = first_expected_reply(&c->exchange)) != NULL) {
        if (u != NULL && a->statement != NULL &&
            (a->kind == REPLY_PARSE || a->kind == REPLY_PARSE_INJECTED)) {
            g_hash_table_remove(u->prepared, a->statement->upstream_name);
        }
        pop_expected_reply(&c->exchange);
    }
}
