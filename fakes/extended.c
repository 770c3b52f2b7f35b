#include "fakes/extended.h"

#include "fakes/answer.h"
#include "fakes/exec.h"
#include "wire/frame.h"

#define TEXT_OID 25 /* PostgreSQL's OID of the type text */

void
extended_prepared_unref(void *p)
{
    struct prepared *prepared = p;

    if (--prepared->refs == 0) {
        sql_clear(&prepared->st);
        g_free(prepared);
    }
}

void
extended_portal_free(void *p)
{
    struct portal *portal = p;

    for (unsigned i = 0; i < SQL_ARGS_MAX; i++) {
        g_free(portal->args[i]);
    }
    result_clear(&portal->result);
    extended_prepared_unref(portal->prepared);
    g_free(portal);
}

/* Sends an error and skips all messages up to Sync. */
static void
fail(struct conn *c, const char *code, const char *message)
{
    frame_put_error(c->out, "ERROR", code, message, NULL, NULL);
    exec_fail_transaction(c);
    c->skip_to_sync = true;
}

static void
handle_parse(struct conn *c, struct frame_reader *r)
{
    const struct sview name = frame_read_cstring(r);
    struct sview sql = frame_read_cstring(r);

    if (r->failed) {
        fail(c, "08P01", "malformed Parse message");
        return;
    }
    if (name.n > 0 && g_hash_table_contains(c->prepared, name.p)) {
        fail(c, "42P05", "prepared statement already exists");
        return;
    }
    struct prepared *p = g_new0(struct prepared, 1);
    p->refs = 1;
    if (!sql_parse(&sql, &p->st) || sview_trim_statement(sql).n > 0) {
        extended_prepared_unref(p);
        fail(c, "42601", "syntax error or unknown statement");
        return;
    }
    g_hash_table_replace(c->prepared, g_strdup(name.p), p);
    answer_without_body(c, '1');
}

/* Reads the parameter values of Bind into the portal's arguments. Returns
   false if the message does not match the statement. */
static bool
read_params(struct portal *portal, struct frame_reader *r)
{
    const struct sql_statement *st = &portal->prepared->st;
    struct sview values[SQL_PARAMS_MAX] = {0};

    const unsigned formats = frame_read_u16(r);
    frame_read_bytes(r, (size_t)formats * 2);
    const unsigned n = frame_read_u16(r);
    if (n != st->n_params) {
        return false;
    }
    for (unsigned i = 0; i < n; i++) {
        const uint32_t len = frame_read_u32(r);
        values[i] = frame_read_bytes(r, len == UINT32_MAX ? 0 : len);
    }
    for (unsigned i = 0; i < st->n_args; i++) {
        const struct sql_arg *a = &st->args[i];
        portal->args[i] = a->param == 0 ? g_strdup(a->text)
                                        : g_strndup(values[a->param - 1].p,
                                                    values[a->param - 1].n);
    }
    return !r->failed;
}

static void
handle_bind(struct conn *c, struct frame_reader *r)
{
    const struct sview portal_name = frame_read_cstring(r);
    const struct sview name = frame_read_cstring(r);
    struct prepared *p =
        r->failed ? NULL : g_hash_table_lookup(c->prepared, name.p);

    if (p == NULL) {
        fail(c, r->failed ? "08P01" : "26000",
             "prepared statement does not exist");
        return;
    }
    if (portal_name.n > 0 &&
        g_hash_table_contains(c->portals, portal_name.p)) {
        fail(c, "42P03", "portal already exists");
        return;
    }
    struct portal *portal = g_new0(struct portal, 1);
    portal->prepared = p;
    p->refs++;
    if (!read_params(portal, r)) {
        extended_portal_free(portal);
        fail(c, "08P01", "Bind does not match the statement's parameters");
        return;
    }
    g_hash_table_replace(c->portals, g_strdup(portal_name.p), portal);
    answer_without_body(c, '2');
}

static void
handle_describe(struct conn *c, struct frame_reader *r)
{
    const struct sview kind = frame_read_bytes(r, 1);
    const struct sview name = frame_read_cstring(r);

    if (r->failed) {
        fail(c, "08P01", "malformed Describe message");
        return;
    }
    if (kind.p[0] == 'P') {
        const struct portal *portal = g_hash_table_lookup(c->portals, name.p);
        if (portal == NULL) {
            fail(c, "34000", "portal does not exist");
            return;
        }
        answer_columns(c, &portal->prepared->st);
        return;
    }
    const struct prepared *p = g_hash_table_lookup(c->prepared, name.p);
    if (p == NULL) {
        fail(c, "26000", "prepared statement does not exist");
        return;
    }
    const size_t at = frame_begin(c->out, 't');
    frame_put_u16(c->out, (uint16_t)p->st.n_params);
    for (unsigned i = 0; i < p->st.n_params; i++) {
        frame_put_u32(c->out, TEXT_OID);
    }
    frame_end(c->out, at);
    answer_columns(c, &p->st);
}

static void
handle_close(struct conn *c, struct frame_reader *r)
{
    const struct sview kind = frame_read_bytes(r, 1);
    const struct sview name = frame_read_cstring(r);

    if (r->failed) {
        fail(c, "08P01", "malformed Close message");
        return;
    }
    g_hash_table_remove(kind.p[0] == 'P' ? c->portals : c->prepared, name.p);
    answer_without_body(c, '3');
}

/* Sends rows of the executing portal; ends Execute if all are sent or the row
   limit is reached. */
static void
send_portal(struct conn *c)
{
    struct portal *portal = c->executing;
    struct result *r = &portal->result;

    exec_check_cancel(c, r);
    if (r->sqlstate != NULL) {
        answer_error(c, r);
        c->executing = NULL;
        c->skip_to_sync = true;
        return;
    }
    if (!answer_rows(c, r, c->execute_row_limit, &c->rows_sent)) {
        conn_wait(c, CONN_WAIT_OUTPUT);
        return;
    }
    c->executing = NULL;
    if (r->next < r->total) {
        answer_without_body(c, 's');
        return;
    }
    answer_complete(c, r);
}

/* Continues the statement of the executing portal. */
static void
step_portal(struct conn *c)
{
    struct portal *portal = c->executing;

    if (!exec_step(c)) {
        return;
    }
    if (c->run.result.sqlstate != NULL) {
        answer_error(c, &c->run.result);
        exec_clear(c);
        c->executing = NULL;
        c->skip_to_sync = true;
        return;
    }
    portal->result = c->run.result;
    memset(&c->run.result, 0, sizeof c->run.result);
    exec_clear(c);
    portal->executed = true;
    send_portal(c);
}

/* Returns true if the next buffered message is Sync: the statement is the
   last of its implicit transaction. */
static bool
sync_follows(const struct conn *c)
{
    return c->in->len > c->in_pos && c->in->str[c->in_pos] == 'S';
}

static void
handle_execute(struct conn *c, struct frame_reader *r)
{
    const struct sview name = frame_read_cstring(r);
    const uint32_t limit = frame_read_u32(r);

    if (r->failed) {
        fail(c, "08P01", "malformed Execute message");
        return;
    }
    struct portal *portal = g_hash_table_lookup(c->portals, name.p);
    if (portal == NULL) {
        fail(c, "34000", "portal does not exist");
        return;
    }
    c->executing = portal;
    c->execute_row_limit = limit;
    c->rows_sent = 0;
    if (portal->executed) {
        send_portal(c);
        return;
    }
    exec_start(c, &portal->prepared->st, portal->args, sync_follows(c));
    step_portal(c);
}

/* Completes Sync once the implicit transaction is committed. */
static void
step_sync(struct conn *c)
{
    if (!exec_step(c)) {
        c->hold_output = true;
        return;
    }
    if (c->run.result.sqlstate != NULL) {
        answer_error(c, &c->run.result);
    }
    exec_clear(c);
    c->handling_sync = false;
    if (c->session.tx != SESSION_BLOCK) {
        g_hash_table_remove_all(c->portals);
    }
    answer_ready(c);
}

static void
handle_sync(struct conn *c)
{
    c->skip_to_sync = false;
    c->handling_sync = true;
    if (c->session.tx == SESSION_IMPLICIT) {
        exec_start_commit(c);
    }
    step_sync(c);
}

/* Handles a message of the extended protocol. */
void
extended_handle_message(struct conn *c, char type, struct sview body)
{
    struct frame_reader r = {.rest = body};

    if (type == 'S') {
        handle_sync(c);
        return;
    }
    if (c->skip_to_sync) {
        return;
    }
    switch (type) {
    case 'P':
        handle_parse(c, &r);
        break;
    case 'B':
        handle_bind(c, &r);
        break;
    case 'D':
        handle_describe(c, &r);
        break;
    case 'E':
        handle_execute(c, &r);
        break;
    case 'C':
        handle_close(c, &r);
        break;
    case 'H':
        break;
    default:
        conn_fatal(c, "08P01", "unknown message type");
        break;
    }
}

/* Continues the Execute or Sync whose wait is over. */
void
extended_resume(struct conn *c)
{
    if (c->executing != NULL) {
        if (c->executing->executed) {
            send_portal(c);
        }
        else {
            step_portal(c);
        }
    }
    else if (c->handling_sync) {
        step_sync(c);
    }
}
