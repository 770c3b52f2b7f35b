#include "control/control.h"

#include "control/control_xdr.h"

#include <stdarg.h>
#include <string.h>

#define LOG_MODULE "control"
#include "base/log.h"

/* Limit of the encoded rows in one answer, which leaves room for the headers
   in a record. Further rows need further requests. */
#define ANSWER_ROWS_MAX_BYTES 60500

/* The tables and the procedures that return them. A table without a procedure
   of its own has 0: see on_table(). */
static const struct {
    const char *name;
    uint32_t procedure;
} table_procedures[] = {
    {"status", CONTROL_STATUS},
    {"members", CONTROL_MEMBERS},
    {"counters", CONTROL_COUNTERS},
    {"cost", CONTROL_COST},
    {"ticket-list", CONTROL_TICKET_LIST},
    {"ticket-show", CONTROL_TICKET_SHOW},
    {"ticket-status", 0},
};

#define TABLE_COUNT G_N_ELEMENTS(table_procedures)

struct registered_table {
    struct control *control;
    size_t index;
    control_table_cb cb;
    void *ctx;
};

struct control {
    struct registered_table tables[TABLE_COUNT];
    control_submit_cb submit;
    void *submit_ctx;
    control_drain_cb drain;
    void *drain_ctx;
};

struct control_table {
    GPtrArray *rows; /* of GPtrArray of strings */
    enum control_code code;
    char *message;
};

struct control_reply {
    struct rpc_call *call;
};

/* Adds a row. NULL ends the list of cells. The first row holds the column
   names. Cells over the protocol's limit are truncated. */
void
control_table_add(struct control_table *t, const char *cell, ...)
{
    GPtrArray *row = g_ptr_array_new_with_free_func(g_free);
    va_list ap;

    va_start(ap, cell);
    for (const char *s = cell; s && row->len < CONTROL_COLUMNS_MAX;
         s = va_arg(ap, const char *)) {
        g_ptr_array_add(row, g_strndup(s, CONTROL_TEXT_MAX));
    }
    va_end(ap);
    g_ptr_array_add(t->rows, row);
}

/* Makes the request fail with a code and a message instead of rows. */
void
control_table_fail(struct control_table *t, enum control_code code,
                   const char *message)
{
    t->code = code;
    g_free(t->message);
    t->message = g_strndup(message, CONTROL_MESSAGE_MAX);
}

/* Returns the size of a row in XDR. */
static size_t
row_bytes(const GPtrArray *row)
{
    size_t n = 4;

    for (unsigned i = 0; i < row->len; i++) {
        n += 4 + ((strlen(row->pdata[i]) + 3) & ~(size_t)3);
    }
    return n;
}

/* Returns a row that points to the strings of row. */
static control_row
row_view(const GPtrArray *row)
{
    return (control_row){
        .cells = {.cells_len = row->len,
                  .cells_val = (control_cell *)row->pdata},
    };
}

/* Answers with as many rows as fit, from the data row offset on. */
static void
send_table_part(struct rpc_call *call, const struct control_table *t,
                unsigned offset)
{
    control_table_answer a = {
        .code = t->code,
        .message = t->message ? t->message : "",
    };
    control_row *rows = g_new0(control_row, CONTROL_ROWS_MAX);
    size_t used = 0;
    unsigned n = 0;

    if (t->code == CONTROL_OK && t->rows->len > 0) {
        used = row_bytes(t->rows->pdata[0]);
        rows[n++] = row_view(t->rows->pdata[0]);
        for (unsigned i = 1 + offset; i < t->rows->len; i++) {
            size_t bytes = row_bytes(t->rows->pdata[i]);

            if (n == CONTROL_ROWS_MAX ||
                (n > 1 && used + bytes > ANSWER_ROWS_MAX_BYTES)) {
                a.next = i - 1;
                break;
            }
            used += bytes;
            rows[n++] = row_view(t->rows->pdata[i]);
        }
    }
    a.rows.rows_len = n;
    a.rows.rows_val = rows;
    rpc_call_reply(call, RPC_XDR(xdr_control_table_answer), &a);
    g_free(rows);
}

/* Serves all procedures that return tables. The table "ticket-status" is
   returned by CONTROL_TICKET_LIST with the argument "status". */
static void
on_table(void *ctx, struct rpc_call *call, void *args)
{
    struct registered_table *table = ctx;
    const control_table_request *r = args;
    struct control_table t = {0};
    const char *argument = r->argument;

    if (table_procedures[table->index].procedure == CONTROL_TICKET_LIST &&
        strcmp(argument, "status") == 0) {
        table = &table->control->tables[TABLE_COUNT - 1];
        argument = "";
    }
    t.rows = g_ptr_array_new_with_free_func((GDestroyNotify)g_ptr_array_unref);
    if (table->cb) {
        table->cb(table->ctx, argument, &t);
    }
    else {
        control_table_fail(&t, CONTROL_FAILED, "not offered by this proxy");
    }
    unsigned offset = MIN(r->offset, t.rows->len);
    send_table_part(call, &t, offset);
    g_ptr_array_unref(t.rows);
    g_free(t.message);
}

void
control_reply_send(struct control_reply *r, enum control_code code,
                   const char *message)
{
    char *text = g_strndup(message, CONTROL_MESSAGE_MAX);
    control_result a = {.code = code, .message = text};

    rpc_call_reply(r->call, RPC_XDR(xdr_control_result), &a);
    g_free(text);
    g_free(r);
}

static struct control_reply *
reply_new(struct rpc_call *call)
{
    struct control_reply *r = g_new0(struct control_reply, 1);

    r->call = call;
    return r;
}

static void
on_submit(void *ctx, struct rpc_call *call, void *args)
{
    struct control *c = ctx;
    const control_ticket_submission *s = args;
    struct control_reply *r = reply_new(call);

    LOG_NOTICE("ticket-submit", rpc_call_peer(call), "author %s", s->author);
    if (c->submit) {
        c->submit(c->submit_ctx, r, s->author, s->text);
    }
    else {
        control_reply_send(r, CONTROL_FAILED, "not offered by this proxy");
    }
}

static void
on_drain(void *ctx, struct rpc_call *call, void *args)
{
    (void)args;
    struct control *c = ctx;
    struct control_reply *r = reply_new(call);

    LOG_NOTICE("drain", rpc_call_peer(call), "requested by an operator");
    if (c->drain) {
        c->drain(c->drain_ctx, r);
    }
    else {
        control_reply_send(r, CONTROL_FAILED, "not offered by this proxy");
    }
}

static void
on_log_level(void *ctx, struct rpc_call *call, void *args)
{
    (void)ctx;
    const control_log_level *l = args;
    enum log_level level;

    if (!log_level_parse(l->level, &level)) {
        control_reply_send(
            reply_new(call), CONTROL_USAGE,
            "level must be error, warning, notice, info or debug");
        return;
    }
    LOG_NOTICE("log-level", rpc_call_peer(call), "set to %s", l->level);
    log_set_level(level);
    control_reply_send(reply_new(call), CONTROL_OK, l->level);
}

/* Decodes the argument of a procedure without arguments. */
static bool_t
decode_void(XDR *x, ...)
{
    (void)x;
    return TRUE;
}

struct control *
control_create(void)
{
    struct control *c = g_new0(struct control, 1);

    for (size_t i = 0; i < TABLE_COUNT; i++) {
        c->tables[i].control = c;
        c->tables[i].index = i;
    }
    return c;
}

/* The server that uses the procedures must have been destroyed first. */
void
control_destroy(struct control *c)
{
    g_free(c);
}

/* Registers the callback that fills a table: status, members, counters, cost,
   ticket-list, ticket-show or ticket-status. Returns FALSE for an unknown
   name. */
gboolean
control_register_table(struct control *c, const char *name,
                       control_table_cb cb, void *ctx)
{
    for (size_t i = 0; i < TABLE_COUNT; i++) {
        if (strcmp(table_procedures[i].name, name) == 0) {
            c->tables[i].cb = cb;
            c->tables[i].ctx = ctx;
            return TRUE;
        }
    }
    return FALSE;
}

/* Registers the callback for submitted tickets. */
void
control_register_submit(struct control *c, control_submit_cb cb, void *ctx)
{
    c->submit = cb;
    c->submit_ctx = ctx;
}

/* Registers the callback for drain requests. */
void
control_register_drain(struct control *c, control_drain_cb cb, void *ctx)
{
    c->drain = cb;
    c->drain_ctx = ctx;
}

/* Appends the procedures of this program to a server's table (struct
   rpc_procedure), so that one server can offer it beside the peers' program.
 */
void
control_append_procedures(struct control *c, GArray *procedures)
{
    struct rpc_procedure p = {
        .program = CONTROL_PROGRAM,
        .version = CONTROL_VERSION,
    };

    for (size_t i = 0; i < TABLE_COUNT; i++) {
        if (table_procedures[i].procedure == 0) {
            continue;
        }
        p.procedure = table_procedures[i].procedure;
        p.args_proc = RPC_XDR(xdr_control_table_request);
        p.args_bytes = sizeof(control_table_request);
        p.handler = on_table;
        p.ctx = &c->tables[i];
        g_array_append_val(procedures, p);
    }
    p.ctx = c;
    p.procedure = CONTROL_TICKET_SUBMIT;
    p.args_proc = RPC_XDR(xdr_control_ticket_submission);
    p.args_bytes = sizeof(control_ticket_submission);
    p.handler = on_submit;
    g_array_append_val(procedures, p);
    p.procedure = CONTROL_LOG_LEVEL;
    p.args_proc = RPC_XDR(xdr_control_log_level);
    p.args_bytes = sizeof(control_log_level);
    p.handler = on_log_level;
    g_array_append_val(procedures, p);
    p.procedure = CONTROL_DRAIN;
    p.args_proc = decode_void;
    p.args_bytes = 0;
    p.handler = on_drain;
    g_array_append_val(procedures, p);
}
