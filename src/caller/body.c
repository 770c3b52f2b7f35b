#include "caller/caller.h"

#include <string.h>

/* Where body_write() is among the batch's messages. */
struct body_writer {
    struct caller *c;
    struct upstream_conn *u;
    guint reference;     /* index of the next message's statement */
    bool unnamed_parsed; /* the unnamed statement stands on the connection */
};

/* Notes what the next answer belongs to. */
static void
push_ack(struct caller *c, enum ack_kind kind, struct prepared *p)
{
    const struct ack a = {
        .kind = kind,
        .statement = p == NULL ? NULL : prepared_ref(p),
    };

    if (c->exchange.acks == NULL) {
        c->exchange.acks = g_array_new(FALSE, FALSE, sizeof(struct ack));
    }
    g_array_append_val(c->exchange.acks, a);
}

/* Returns the statement that the present message refers to. */
static struct prepared *
next_reference(struct body_writer *w)
{
    return g_ptr_array_index(w->c->batch.references, w->reference++);
}

/* Writes Parse under a name of the connection. */
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

/* Makes sure that a named statement stands on the connection. Returns false
   when it did already. */
static bool
prepare_named(struct body_writer *w, struct prepared *p, enum ack_kind kind)
{
    if (g_hash_table_contains(w->u->prepared, p->upstream_name)) {
        return false;
    }
    write_parse(w, p->upstream_name, p);
    g_hash_table_add(w->u->prepared, g_strdup(p->upstream_name));
    push_ack(w->c, kind, p);
    return true;
}

/* Forwards Parse. A named statement that the connection has needs none. */
static void
body_parse(struct body_writer *w, struct sview name)
{
    struct prepared *p = next_reference(w);

    if (name.n == 0) {
        write_parse(w, "", p);
        push_ack(w->c, ACK_PARSE, p);
        w->unnamed_parsed = true;
    }
    else if (!prepare_named(w, p, ACK_PARSE)) {
        push_ack(w->c, ACK_PARSE_LOCAL, p);
    }
}

/* Puts the statement of a Bind or Describe in place and returns its name on
   the connection. */
static const char *
place_statement(struct body_writer *w, struct sview name, struct prepared *p)
{
    if (name.n > 0) {
        prepare_named(w, p, ACK_PARSE_INJECTED);
        return p->upstream_name;
    }
    if (!w->unnamed_parsed) {
        write_parse(w, "", p);
        push_ack(w->c, ACK_PARSE_INJECTED, p);
        w->unnamed_parsed = true;
    }
    return "";
}

/* Forwards Bind under the statement's name on the connection. */
static void
body_bind(struct body_writer *w, struct sview body)
{
    struct frame_reader r = {.rest = body};
    const struct sview portal = frame_read_cstring(&r);
    const struct sview name = frame_read_cstring(&r);
    const char *upstream = place_statement(w, name, next_reference(w));
    const size_t at = frame_begin(w->u->out, 'B');

    frame_put_view(w->u->out, portal);
    frame_put_cstring(w->u->out, upstream);
    g_string_append_len(w->u->out, r.rest.p, (gssize)r.rest.n);
    frame_end(w->u->out, at);
    push_ack(w->c, ACK_BIND, NULL);
}

/* Forwards Describe of a statement. */
static void
body_describe_statement(struct body_writer *w, struct sview name)
{
    const char *upstream = place_statement(w, name, next_reference(w));
    const size_t at = frame_begin(w->u->out, 'D');

    g_string_append_c(w->u->out, 'S');
    frame_put_cstring(w->u->out, upstream);
    frame_end(w->u->out, at);
    push_ack(w->c, ACK_DESCRIBE, NULL);
}

/* Forwards one message as it is. */
static void
body_copy(struct body_writer *w, const struct frame *f)
{
    g_string_append_len(w->u->out, f->body.p - FRAME_HEADER_BYTES,
                        (gssize)f->total_bytes);
}

/* Forwards one extended message. */
static void
body_message(struct body_writer *w, const struct frame *f)
{
    struct frame_reader r = {.rest = f->body};

    switch (f->type) {
    case 'P':
        body_parse(w, frame_read_cstring(&r));
        break;
    case 'B':
        body_bind(w, f->body);
        break;
    case 'D':
        if (f->body.p[0] == 'S') {
            frame_read_bytes(&r, 1);
            body_describe_statement(w, frame_read_cstring(&r));
            break;
        }
        body_copy(w, f);
        push_ack(w->c, ACK_DESCRIBE, NULL);
        break;
    case 'C':
        if (f->body.p[0] == 'S') {
            /* Other callers may use the statement on this connection. */
            push_ack(w->c, ACK_CLOSE_LOCAL, next_reference(w));
            break;
        }
        body_copy(w, f);
        push_ack(w->c, ACK_CLOSE, NULL);
        break;
    default:
        body_copy(w, f);
        if (f->type == 'E') {
            push_ack(w->c, ACK_EXECUTE, NULL);
        }
        break;
    }
}

/* Writes the caller's own messages to a connection, with the names of
   prepared statements replaced by those that stand there. */
void
body_write(struct caller *c, struct upstream_conn *u)
{
    struct body_writer w = {.c = c, .u = u};
    struct sview in = caller_input(c);
    struct frame f;

    in.n = c->batch.bytes;
    if (!c->batch.extended) {
        g_string_append_len(u->out, in.p, (gssize)in.n);
        return;
    }
    while (in.n > 0 && frame_next(in, in.n, &f) == FRAME_COMPLETE) {
        body_message(&w, &f);
        in.p += f.total_bytes;
        in.n -= f.total_bytes;
    }
}

/* Returns the first answer that is still due, or NULL. */
static struct ack *
first_ack(struct exchange *e)
{
    if (e->acks == NULL || e->ack_head >= e->acks->len) {
        return NULL;
    }
    return &g_array_index(e->acks, struct ack, e->ack_head);
}

/* Drops the first due answer. */
static void
pop_ack(struct exchange *e)
{
    prepared_unref(first_ack(e)->statement);
    e->ack_head++;
    if (e->ack_head == e->acks->len) {
        e->ack_head = 0;
        g_array_set_size(e->acks, 0);
    }
}

/* Answers what the proxy answers itself, once it is first in the order. */
void
body_emit_local(struct caller *c)
{
    struct ack *a;

    while ((a = first_ack(&c->exchange)) != NULL &&
           (a->kind == ACK_PARSE_LOCAL || a->kind == ACK_CLOSE_LOCAL)) {
        if (a->kind == ACK_PARSE_LOCAL) {
            a->statement->confirmed = true;
        }
        if (!c->exchange.discarding) {
            GString *out = exchange_sink(c);
            const char type = a->kind == ACK_PARSE_LOCAL ? '1' : '3';
            frame_end(out, frame_begin(out, type));
            c->exchange.forwarded = !c->exchange.keyed;
        }
        pop_ack(&c->exchange);
    }
}

/* Matches a message of the member with the answer that is due. Returns false
   when the caller must not see it. */
bool
body_take_ack(struct caller *c, char type)
{
    struct ack *a = first_ack(&c->exchange);

    if (a == NULL) {
        return true;
    }
    const bool parse = a->kind == ACK_PARSE || a->kind == ACK_PARSE_INJECTED;
    const bool completes =
        (type == '1' && parse) || (type == '2' && a->kind == ACK_BIND) ||
        ((type == 'T' || type == 'n') && a->kind == ACK_DESCRIBE) ||
        ((type == 'C' || type == 'I' || type == 's') &&
         a->kind == ACK_EXECUTE) ||
        (type == '3' && a->kind == ACK_CLOSE);
    if (!completes) {
        return true;
    }
    const bool visible = a->kind != ACK_PARSE_INJECTED;
    if (parse) {
        a->statement->confirmed = true;
    }
    pop_ack(&c->exchange);
    return visible;
}

/* Forgets the answers that an error has made void: the member skips
   everything up to Sync. Statements whose Parse was skipped do not stand on
   the connection. */
void
body_drop_acks(struct caller *c, struct upstream_conn *u)
{
    struct ack *a;

    while ((a = first_ack(&c->exchange)) != NULL) {
        if (u != NULL && a->statement != NULL &&
            (a->kind == ACK_PARSE || a->kind == ACK_PARSE_INJECTED)) {
            g_hash_table_remove(u->prepared, a->statement->upstream_name);
        }
        pop_ack(&c->exchange);
    }
}
