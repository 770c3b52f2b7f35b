#include "fakes/calls.h"

#include "fakes/tables.h"

#include <stdio.h>

/* Returns the member's state, as group_state() does. */
static void
answer_state(struct conn *c)
{
    char *text = g_malloc(GROUP_STATE_BYTES);

    fake_group_state(c->member->db->group, c->member->index,
                     clock_monotonic_ms(), text);
    exec_return_text(c, text);
}

/* Runs group_seal(), group_promote() or group_follow(). */
static void
run_term_call(struct conn *c)
{
    struct host_database *db = c->member->db;
    const unsigned self = c->member->index;
    const uint64_t term = g_ascii_strtoull(c->run.args[0], NULL, 10);
    enum fake_group_status status = GROUP_REFUSED;
    unsigned primary = 0;

    switch (c->run.st->function) {
    case SQL_GROUP_SEAL: {
        char *text = g_malloc(GROUP_STATE_BYTES);
        fake_group_seal(db->group, self, term, text);
        exec_return_text(c, text);
        return;
    }
    case SQL_GROUP_PROMOTE:
        status =
            fake_group_promote(db->group, self, term, clock_monotonic_ms());
        break;
    default:
        for (primary = 0; primary < db->n; primary++) {
            if (db->members[primary].port ==
                (int)g_ascii_strtoll(c->run.args[2], NULL, 10)) {
                status = fake_group_follow(db->group, self, term, primary,
                                           clock_monotonic_ms());
            }
        }
        break;
    }
    if (status != GROUP_OK) {
        exec_error(c, "55000", "the member's sealed term forbids this");
        return;
    }
    answer_state(c);
}

/* Stores the result of a request under its key, in the same transaction. */
static void
run_request_store(struct conn *c)
{
    g_autofree char *key =
        g_strdup_printf("%c%s", TABLE_REQUESTS, c->run.args[0]);

    session_add_op(&c->session, OP_PUT, key, c->run.args[1]);
    exec_return_text(c, g_strdup("stored"));
}

/* Inserts a request key; fails if the key exists. */
static void
run_request_claim(struct conn *c)
{
    g_autofree char *key =
        g_strdup_printf("%c%s", TABLE_REQUESTS, c->run.args[0]);

    tables_insert(c, key, "");
    if (c->wait == CONN_WAIT_NONE && c->run.result.sqlstate == NULL &&
        c->run.stage == EXEC_DONE) {
        exec_return_text(c, g_strdup("claimed"));
    }
}

/* Runs fake_rows(): the rows are generated while they are sent. */
static void
run_rows(struct conn *c)
{
    struct result *r = &c->run.result;

    exec_return_text(c, NULL);
    r->total = g_ascii_strtoull(c->run.args[0], NULL, 10);
    r->row_bytes = (size_t)g_ascii_strtoull(c->run.args[1], NULL, 10);
    if (r->row_bytes == 0 || r->row_bytes > CONN_MESSAGE_MAX_BYTES) {
        exec_error(c, "22023", "row size is out of range");
        return;
    }
    snprintf(r->tag, sizeof r->tag, "SELECT %" PRIu64, r->total);
}

/* Returns the changed settings and the number of prepared statements. */
static void
run_describe_session(struct conn *c)
{
    GString *out = g_string_new(NULL);

    session_describe(&c->session, out);
    g_string_append_printf(out, "prepared=%u", g_hash_table_size(c->prepared));
    exec_return_text(c, g_string_free(out, FALSE));
}

/* Runs fake_fault() or fake_stats(). */
static void
run_fault_or_stats(struct conn *c)
{
    GString *out = g_string_new(NULL);

    if (c->run.st->function == SQL_FAKE_STATS) {
        host_write_stats(c->member->db, out);
        exec_return_text(c, g_string_free(out, FALSE));
        return;
    }
    if (!c->is_control) {
        exec_error(c, "42501", "only " HOST_CONTROL_USER " may do this");
    }
    else if (!host_inject_fault(c, c->run.args[0], c->run.args[1], out)) {
        exec_error(c, "22023", "unknown fault or member");
    }
    else {
        exec_return_text(c, g_string_free(out, FALSE));
        return;
    }
    g_string_free(out, TRUE);
}

/* Runs pg_cancel_backend(), which as in PostgreSQL cancels the statement of
   another connection. */
static void
run_cancel_backend(struct conn *c)
{
    const uint32_t pid = (uint32_t)g_ascii_strtoull(c->run.args[0], NULL, 10);

    if (!c->is_control) {
        exec_error(c, "42501", "only " HOST_CONTROL_USER " may do this");
        return;
    }
    exec_return_text(c, g_strdup(conn_cancel_pid(c->host, pid) ? "t" : "f"));
}

/* Runs a function call. It sets the result or makes the connection wait. */
void
calls_run(struct conn *c)
{
    const char *v = NULL;

    switch (c->run.st->function) {
    case SQL_GROUP_STATE:
        answer_state(c);
        return;
    case SQL_GROUP_CONFIRM:
    case SQL_REQUEST_LOOKUP:
        exec_confirm(c);
        return;
    case SQL_GROUP_SEAL:
    case SQL_GROUP_PROMOTE:
    case SQL_GROUP_FOLLOW:
        run_term_call(c);
        return;
    case SQL_REQUEST_CLAIM:
        run_request_claim(c);
        return;
    case SQL_REQUEST_STORE:
        run_request_store(c);
        return;
    case SQL_CURRENT_SETTING:
        v = session_setting(&c->session, c->run.args[0]);
        if (v == NULL) {
            exec_error(c, "42704", "unrecognized configuration parameter");
            return;
        }
        exec_return_text(c, g_strdup(v));
        return;
    case SQL_FAKE_ROWS:
        run_rows(c);
        return;
    case SQL_FAKE_SLEEP:
        exec_return_text(c, g_strdup(""));
        return;
    case SQL_FAKE_FAULT:
    case SQL_FAKE_STATS:
        run_fault_or_stats(c);
        return;
    case SQL_CANCEL_BACKEND:
        run_cancel_backend(c);
        return;
    case SQL_FAKE_SESSION:
        run_describe_session(c);
        return;
    }
}

/* Finishes group_confirm() or a lookup after the group has confirmed or
   refused. */
void
calls_finish_confirmed(struct conn *c)
{
    if (c->group_status != GROUP_OK) {
        exec_error(c, "25006", "this member is no longer the primary");
        return;
    }
    if (c->run.st->function == SQL_GROUP_CONFIRM) {
        answer_state(c);
    }
    else {
        g_autofree char *key =
            g_strdup_printf("%c%s", TABLE_REQUESTS, c->run.args[0]);
        const char *v = row_map_get(
            fake_group_visible(c->member->db->group, c->member->index), key);
        exec_return_text(c, g_strdup(v != NULL ? v : "absent"));
    }
    c->run.stage = EXEC_COMMIT;
}
