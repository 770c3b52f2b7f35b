#include "fakes/protocol.h"

#include "fakes/answer.h"
#include "fakes/exec.h"
#include "fakes/extended.h"
#include "wire/frame.h"

void
protocol_init(struct conn *c)
{
    c->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        extended_prepared_unref);
    c->portals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                       extended_portal_free);
}

void
protocol_clear(struct conn *c)
{
    g_hash_table_destroy(c->portals);
    g_hash_table_destroy(c->prepared);
    sql_clear(&c->query_st);
    g_free(c->query);
    for (unsigned i = 0; i < SESSION_REPORTED_COUNT; i++) {
        g_free(c->reported[i]);
    }
}

/* Sends AuthenticationOk, BackendKeyData, the settings and ReadyForQuery. */
void
protocol_finish_startup(struct conn *c)
{
    c->phase = CONN_OPEN;
    size_t at = frame_begin(c->out, 'R');
    frame_put_u32(c->out, 0);
    frame_end(c->out, at);
    at = frame_begin(c->out, 'K');
    frame_put_u32(c->out, c->pid);
    frame_put_u32(c->out, c->cancel_key);
    frame_end(c->out, at);
    c->session.report_pending = true;
    answer_ready(c);
}

/* Reads the `-c name=value` pairs of the start-up parameter "options". */
static void
read_startup_options(struct conn *c, const char *text)
{
    g_auto(GStrv) words = g_strsplit(text, " ", -1);

    for (unsigned i = 0; words[i] != NULL; i++) {
        const char *w = words[i];
        if (strcmp(w, "-c") == 0 && words[i + 1] != NULL) {
            w = words[++i];
        }
        else if (g_str_has_prefix(w, "-c") || g_str_has_prefix(w, "--")) {
            w += 2;
        }
        g_auto(GStrv) pair = g_strsplit(w, "=", 2);
        if (pair[0] != NULL && pair[1] != NULL) {
            session_set_startup(&c->session, pair[0], pair[1]);
        }
    }
}

static bool
read_startup(struct conn *c, struct frame_reader r)
{
    while (r.rest.n > 1) {
        const char *name = frame_read_cstring(&r).p;
        const char *value = frame_read_cstring(&r).p;
        if (r.failed) {
            return false;
        }
        if (strcmp(name, "user") == 0) {
            c->is_control = strcmp(value, HOST_CONTROL_USER) == 0;
        }
        else if (strcmp(name, "options") == 0) {
            read_startup_options(c, value);
        }
        else if (strcmp(name, "database") != 0) {
            session_set_startup(&c->session, name, value);
        }
    }
    return true;
}

/* Handles a start-up packet, an encryption request or a CancelRequest. Returns
   true if the next message can be handled. */
static bool
handle_startup_packet(struct conn *c)
{
    const struct sview in = {c->in->str + c->in_pos, c->in->len - c->in_pos};
    struct frame f;
    const enum frame_status status = frame_next_startup(in, &f);

    if (status == FRAME_INCOMPLETE) {
        return false;
    }
    if (status != FRAME_COMPLETE) {
        c->close_after_flush = true;
        return false;
    }
    c->in_pos += f.total_bytes;
    struct frame_reader r = {.rest = f.body};
    const uint32_t code = frame_read_u32(&r);
    if (code == FRAME_SSL_CODE || code == FRAME_GSS_CODE) {
        g_string_append_c(c->out, 'N');
        return true;
    }
    if (code == FRAME_CANCEL_CODE) {
        const uint32_t pid = frame_read_u32(&r);
        conn_cancel(c->host, pid, frame_read_u32(&r));
        c->close_after_flush = true;
        return false;
    }
    if (code >> 16 != FRAME_STARTUP_VERSION >> 16 || !read_startup(c, r)) {
        conn_fatal(c, "08P01", "unsupported or malformed start-up packet");
        return false;
    }
    if (!host_admit_conn(c)) {
        conn_fatal(c, "53300", "too many connections");
        return false;
    }
    const int delay = c->host->options.connect_delay_ms;
    if (delay > 0) {
        c->phase = CONN_AUTH_DELAY;
        ev_timer_set(&c->delay_timer, (double)delay / 1000, 0);
        ev_timer_start(c->host->loop, &c->delay_timer);
        return false;
    }
    protocol_finish_startup(c);
    return true;
}

static void
end_query(struct conn *c)
{
    c->in_query = false;
    g_clear_pointer(&c->query, g_free);
    answer_ready(c);
}

/* Ends a Query with an error that no statement's execution raised. */
static void
query_error(struct conn *c, const char *code, const char *message)
{
    frame_put_error(c->out, "ERROR", code, message, NULL, NULL);
    exec_fail_transaction(c);
    end_query(c);
}

/* Returns true if only white space and semicolons are left of a Query. */
static bool
query_is_empty(const struct conn *c)
{
    return sview_trim_statement(c->query_rest).n == 0;
}

/* Sends the result of the current statement of a Query. Returns false if rows
   are left because the output buffer is full. */
static bool
send_query_result(struct conn *c)
{
    struct result *r = &c->run.result;

    exec_check_cancel(c, r);
    if (r->sqlstate != NULL) {
        answer_error(c, r);
        exec_clear(c);
        sql_clear(&c->query_st);
        end_query(c);
        return true;
    }
    if (!c->result_started) {
        c->result_started = true;
        c->rows_sent = 0;
        if (sql_returns_rows(&c->query_st)) {
            answer_columns(c, &c->query_st);
        }
    }
    if (!answer_rows(c, r, 0, &c->rows_sent)) {
        conn_wait(c, CONN_WAIT_OUTPUT);
        return false;
    }
    if (c->query_st.kind != SQL_EMPTY || c->query_was_empty) {
        answer_complete(c, r);
    }
    exec_clear(c);
    sql_clear(&c->query_st);
    return true;
}

/* Runs the statements of a Query until one has to wait. statement_started:
   the current statement is already parsed and started. */
static void
run_query(struct conn *c, bool statement_started)
{
    for (;;) {
        if (statement_started) {
            if (!exec_step(c) || !send_query_result(c) || !c->in_query) {
                return;
            }
            if (query_is_empty(c)) {
                end_query(c);
                return;
            }
        }
        char *args[SQL_ARGS_MAX];
        if (!sql_parse(&c->query_rest, &c->query_st)) {
            query_error(c, "42601", "syntax error or unknown statement");
            return;
        }
        if (c->query_st.n_params > 0) {
            sql_clear(&c->query_st);
            query_error(c, "42P02", "there is no parameter $1");
            return;
        }
        for (unsigned i = 0; i < c->query_st.n_args; i++) {
            args[i] = c->query_st.args[i].text;
        }
        c->result_started = false;
        exec_start(c, &c->query_st, args, query_is_empty(c));
        statement_started = true;
    }
}

/* Returns false if a Query of several statements has one that cannot be
   parsed: as in PostgreSQL, none of them is executed then. */
static bool
query_is_valid(struct sview rest)
{
    struct sql_statement st;

    if (memchr(sview_trim_statement(rest).p, ';',
               sview_trim_statement(rest).n) == NULL) {
        return true;
    }
    while (sview_trim_statement(rest).n > 0) {
        if (!sql_parse(&rest, &st)) {
            return false;
        }
        sql_clear(&st);
    }
    return true;
}

static void
handle_query(struct conn *c, struct sview body)
{
    if (body.n == 0 || body.p[body.n - 1] != '\0') {
        conn_fatal(c, "08P01", "malformed Query message");
        return;
    }
    c->in_query = true;
    c->query = g_strndup(body.p, body.n);
    c->query_rest = (struct sview){c->query, strlen(c->query)};
    c->query_was_empty = query_is_empty(c);
    if (!query_is_valid(c->query_rest)) {
        query_error(c, "42601", "syntax error or unknown statement");
        return;
    }
    run_query(c, false);
}

/* Handles the next buffered message. Returns false if it is incomplete, the
   connection is closing or start-up has to wait. */
bool
protocol_handle_next(struct conn *c)
{
    if (c->phase != CONN_OPEN) {
        return c->phase == CONN_STARTUP && handle_startup_packet(c);
    }
    const struct sview in = {c->in->str + c->in_pos, c->in->len - c->in_pos};
    struct frame f;
    const enum frame_status status =
        frame_next(in, CONN_MESSAGE_MAX_BYTES, &f);
    if (status == FRAME_INCOMPLETE) {
        return false;
    }
    if (status != FRAME_COMPLETE) {
        conn_fatal(c, "08P01", "malformed message");
        return false;
    }
    c->in_pos += f.total_bytes;
    if (f.type == 'X') {
        c->close_after_flush = true;
        return false;
    }
    if (f.type == 'Q' && !c->skip_to_sync) {
        handle_query(c, f.body);
        return true;
    }
    extended_handle_message(c, f.type, f.body);
    return true;
}

/* Continues the statement whose wait is over. Returns true if the next message
   can be handled. */
bool
protocol_resume(struct conn *c)
{
    if (c->in_query) {
        run_query(c, true);
    }
    else {
        extended_resume(c);
    }
    return c->wait == CONN_WAIT_NONE;
}
