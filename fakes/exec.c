#include "fakes/exec.h"

#include "fakes/calls.h"
#include "fakes/tables.h"

#include <stdio.h>

/* Frees what a result owns. */
void
result_clear(struct result *r)
{
    g_free(r->message);
    g_free(r->detail);
    g_free(r->columns[0]);
    g_free(r->columns[1]);
    memset(r, 0, sizeof *r);
}

/* Turns the running statement's result into an error. */
void
exec_error(struct conn *c, const char *sqlstate, const char *message)
{
    struct result *r = &c->run.result;

    result_clear(r);
    r->sqlstate = sqlstate;
    r->message = g_strdup(message);
    c->run.stage = EXEC_DONE;
}

/* Answers with one row of one column, which is taken over. */
void
exec_text(struct conn *c, char *text)
{
    struct result *r = &c->run.result;

    r->columns[0] = text;
    r->n_columns = 1;
    r->total = 1;
    g_strlcpy(r->tag, "SELECT 1", sizeof r->tag);
    c->run.stage = EXEC_DONE;
}

/* Finishes a statement without rows. */
void
exec_finish(struct conn *c, const char *tag)
{
    g_strlcpy(c->run.result.tag, tag, sizeof c->run.result.tag);
    c->run.stage = EXEC_DONE;
}

/* Ends the transaction and lets go of its locks. */
void
exec_end_transaction(struct conn *c, bool committed)
{
    session_end(&c->session, committed);
    host_unlock_all(c->member, c);
}

/* Reacts to an error: a block waits for ROLLBACK, an implicit transaction is
   rolled back at once. */
void
exec_fail_transaction(struct conn *c)
{
    if (c->session.tx == SESSION_BLOCK) {
        c->session.failed = true;
        session_drop_ops(&c->session, 0);
        host_unlock_all(c->member, c);
    }
    else {
        exec_end_transaction(c, false);
    }
}

/* Runs in the group when a commit or confirmation is decided. */
static void
fake_group_answered(void *ctx, enum fake_group_status status)
{
    struct conn *c = ctx;

    c->wake_status = status;
    host_ready(c->host, c);
}

/* Starts to wait for a group's answer or reports why there will be none. */
static void
wait_for_group(struct conn *c, enum fake_group_status status,
               enum conn_wait wait)
{
    switch (status) {
    case GROUP_PENDING:
        conn_wait(c, wait);
        return;
    case GROUP_DUPLICATE:
        exec_error(c, "23505",
                   "duplicate key value violates unique "
                   "constraint");
        break;
    case GROUP_BAD_NUMBER:
        exec_error(c, "22P02", "value is not a number in range");
        break;
    default:
        exec_error(c, "25006", "this member is not the primary");
        break;
    }
}

/* Waits for a majority's receipt of an empty entry, so that an answer which
   depends on uncommitted rows is not given before they are committed. */
void
exec_barrier(struct conn *c)
{
    c->run.stage = EXEC_BARRIER;
    wait_for_group(c,
                   fake_group_commit(c->member->db->group, c->member->index,
                                     NULL, 0, fake_group_answered, c),
                   CONN_WAIT_COMMIT);
}

/* Waits until a majority has confirmed the primary's term. */
void
exec_confirm(struct conn *c)
{
    c->run.stage = EXEC_CONFIRMED;
    wait_for_group(c,
                   fake_group_confirm(c->member->db->group, c->member->index,
                                      fake_group_answered, c),
                   CONN_WAIT_CONFIRM);
}

/* Appends the transaction's operations to the group's log. */
static void
commit_ops(struct conn *c)
{
    struct session *s = &c->session;

    c->run.stage = EXEC_COMMITTED;
    c->run.ending = true;
    wait_for_group(c,
                   fake_group_commit(c->member->db->group, c->member->index,
                                     (const struct op *)(void *)s->ops->data,
                                     s->ops->len, fake_group_answered, c),
                   CONN_WAIT_COMMIT);
    /* Uncommitted rows in the log now guard the keys. */
    host_unlock_all(c->member, c);
}

/* Runs BEGIN, COMMIT and the like. */
static void
run_transaction(struct conn *c)
{
    struct session *s = &c->session;
    const struct sql_statement *st = c->run.st;

    switch (st->kind) {
    case SQL_BEGIN:
        s->tx = SESSION_BLOCK;
        s->read_only = st->read_only;
        exec_finish(c, "BEGIN");
        return;
    case SQL_COMMIT:
        if (s->failed) {
            exec_end_transaction(c, false);
            exec_finish(c, "ROLLBACK");
            return;
        }
        exec_finish(c, "COMMIT");
        c->run.stage = EXEC_COMMIT;
        return;
    case SQL_ROLLBACK:
        exec_end_transaction(c, false);
        exec_finish(c, "ROLLBACK");
        return;
    default:
        if (s->tx != SESSION_BLOCK) {
            exec_error(c, "25P01", "there is no transaction in progress");
            return;
        }
        exec_finish(c, st->kind == SQL_RELEASE ? "RELEASE" : "SAVEPOINT");
        return;
    }
}

/* Runs SET, RESET, SHOW and DISCARD ALL. */
static void
run_setting(struct conn *c)
{
    struct session *s = &c->session;
    const struct sql_statement *st = c->run.st;
    const char *v = NULL;

    switch (st->kind) {
    case SQL_SET:
    case SQL_SET_LOCAL:
        session_set(s, c->run.args[0], c->run.args[1],
                    st->kind == SQL_SET_LOCAL);
        exec_finish(c, "SET");
        return;
    case SQL_RESET:
        session_reset(s, c->run.args[0]);
        exec_finish(c, "RESET");
        return;
    case SQL_RESET_ALL:
        session_reset_all(s);
        exec_finish(c, "RESET");
        return;
    case SQL_DISCARD_ALL:
        if (s->tx == SESSION_BLOCK) {
            exec_error(c, "25001",
                       "DISCARD ALL cannot run inside a "
                       "transaction block");
            return;
        }
        session_reset_all(s);
        g_hash_table_remove_all(c->prepared);
        exec_finish(c, "DISCARD ALL");
        return;
    default:
        v = session_setting(s, c->run.args[0]);
        if (v == NULL) {
            exec_error(c, "42704", "unrecognized configuration parameter");
            return;
        }
        exec_text(c, g_strdup(v));
        g_strlcpy(c->run.result.tag, "SHOW", sizeof c->run.result.tag);
        return;
    }
}

/* Runs the statement proper; it may start to wait instead. */
static void
apply(struct conn *c)
{
    const struct sql_statement *st = c->run.st;
    g_autofree char *key = NULL;

    switch (st->kind) {
    case SQL_EMPTY:
        c->run.stage = EXEC_DONE;
        return;
    case SQL_SELECT_CONSTANT:
        exec_text(c, g_strdup(c->run.args[0]));
        return;
    case SQL_SELECT_VALUE:
    case SQL_SELECT_ROW:
    case SQL_SELECT_COUNT:
        tables_select(c);
        return;
    case SQL_INSERT:
        key = g_strdup_printf("%c%s", st->table, c->run.args[0]);
        tables_insert(c, key, c->run.args[1]);
        return;
    case SQL_UPDATE_SET:
    case SQL_UPDATE_ADD:
        tables_update(c);
        return;
    case SQL_CALL:
        calls_run(c);
        return;
    case SQL_BEGIN:
    case SQL_COMMIT:
    case SQL_ROLLBACK:
    case SQL_SAVEPOINT:
    case SQL_RELEASE:
        run_transaction(c);
        return;
    default:
        run_setting(c);
        return;
    }
}

/* Tells whether the statement occupies a slot, and whether it is long. */
static bool
needs_slot(const struct sql_statement *st, bool *is_long)
{
    *is_long = false;
    switch (st->kind) {
    case SQL_SELECT_VALUE:
    case SQL_SELECT_ROW:
    case SQL_SELECT_COUNT:
    case SQL_INSERT:
    case SQL_UPDATE_SET:
    case SQL_UPDATE_ADD:
        *is_long = st->table == STORE_RENEWALS;
        return true;
    case SQL_CALL:
        return st->function == SQL_FAKE_SLEEP;
    default:
        return false;
    }
}

/* Counts a statement whose comment owner=NAME differs from the owner that
   the connection's settings or its open transaction belong to. */
static void
check_owner(struct conn *c)
{
    struct session *s = &c->session;
    const char *mine = c->run.st->owner;
    const char *set = session_setting(s, "fake.owner");

    c->member->db->statements++;
    if (mine == NULL) {
        return;
    }
    if ((set != NULL && strcmp(set, mine) != 0) ||
        (s->tx_owner != NULL && strcmp(s->tx_owner, mine) != 0)) {
        c->member->db->mixed_statements++;
    }
    if (s->tx_owner == NULL) {
        s->tx_owner = g_strdup(mine);
    }
}

/* Checks what can be checked before the statement waits for a slot. */
static void
check(struct conn *c)
{
    struct session *s = &c->session;
    const struct sql_statement *st = c->run.st;

    check_owner(c);
    if (s->failed && st->kind != SQL_COMMIT && st->kind != SQL_ROLLBACK) {
        exec_error(c, "25P02",
                   "current transaction is aborted, commands "
                   "ignored until end of transaction block");
        return;
    }
    if (s->tx == SESSION_IDLE) {
        s->tx = SESSION_IMPLICIT;
    }
    if (sql_is_write(st)) {
        if (s->read_only) {
            exec_error(c, "25006", "cannot write in a read-only transaction");
            return;
        }
        if (!fake_group_is_primary(c->member->db->group, c->member->index)) {
            exec_error(c, "25006", "this member is not the primary");
            return;
        }
    }
    if (!needs_slot(st, &c->run.is_long)) {
        c->run.stage = EXEC_APPLY;
        return;
    }
    c->run.stage = EXEC_SLOT;
    if (!host_take_slot(c->member, c, c->run.is_long)) {
        conn_wait(c, CONN_WAIT_SLOT);
    }
}

/* Starts the execution time of a statement that holds a slot. A statement
   without cost goes on at once. */
static void
start_cost(struct conn *c)
{
    const struct sql_statement *st = c->run.st;
    const struct host_options *o = &c->host->options;
    double ms = c->run.is_long ? o->long_cost_ms : o->short_cost_ms;

    if (st->kind == SQL_CALL) {
        ms = g_ascii_strtod(c->run.args[0], NULL);
    }
    c->run.stage = EXEC_APPLY;
    if (ms > 0) {
        ev_timer_set(&c->cost, ms * c->member->slow / 1000, 0);
        ev_timer_start(c->host->loop, &c->cost);
        conn_wait(c, CONN_WAIT_COST);
    }
}

/* Gives the slot back when the statement still holds one. */
static void
give_slot(struct conn *c)
{
    if (c->run.has_slot) {
        c->run.has_slot = false;
        host_give_slot(c->member, c->run.is_long);
    }
}

/* Handles a wait that a timeout, a cancel request or a replaced primary cut
   short. A commit that was appended already has an unknown outcome. */
static void
aborted(struct conn *c)
{
    const char *code = c->abort_code;
    const char *message = c->abort_message;

    c->abort_code = NULL;
    if (c->run.stage == EXEC_COMMITTED || c->run.stage == EXEC_BARRIER) {
        code = "08007";
    }
    exec_error(c, code, message);
}

/* Handles the group's decision about an appended entry. */
static void
committed(struct conn *c)
{
    if (c->wake_status != GROUP_OK) {
        exec_error(c, "08007",
                   "the term of this primary was sealed; the "
                   "outcome of the transaction is unknown");
        return;
    }
    if (c->run.stage == EXEC_BARRIER) {
        char *detail = g_steal_pointer(&c->run.result.detail);
        exec_error(c, "23505",
                   "duplicate key value violates unique constraint");
        c->run.result.detail = detail;
        return;
    }
    exec_end_transaction(c, true);
    c->run.stage = EXEC_DONE;
}

/* Ends the transaction when the statement was its last. */
static void
end_statement(struct conn *c)
{
    struct session *s = &c->session;
    const bool commit = c->run.st == NULL || c->run.st->kind == SQL_COMMIT;

    if (!commit && !(c->run.final && s->tx == SESSION_IMPLICIT)) {
        return;
    }
    if (s->wrote) {
        commit_ops(c);
        return;
    }
    exec_end_transaction(c, true);
    c->run.stage = EXEC_DONE;
}

/* Starts a statement; args are copied. */
void
exec_start(struct conn *c, const struct sql_statement *st, char **args,
           bool final)
{
    c->run = (struct run){.st = st, .final = final, .stage = EXEC_CHECK};
    c->started_at = ev_now(c->host->loop);
    for (unsigned i = 0; i < st->n_args; i++) {
        c->run.args[i] = g_strdup(args[i]);
    }
}

/* Starts the commit of the implicit transaction at Sync. */
void
exec_start_commit(struct conn *c)
{
    c->run = (struct run){.final = true, .stage = EXEC_COMMIT};
    c->started_at = ev_now(c->host->loop);
}

/* Takes the statement as far as it goes. Returns true when its result is
   there, false when it waits. */
bool
exec_step(struct conn *c)
{
    while (c->wait == CONN_WAIT_NONE) {
        if (c->abort_code != NULL) {
            aborted(c);
        }
        switch (c->run.stage) {
        case EXEC_CHECK:
            check(c);
            break;
        case EXEC_SLOT:
            start_cost(c);
            break;
        case EXEC_APPLY:
            give_slot(c);
            apply(c);
            if (c->run.stage == EXEC_DONE && c->run.result.sqlstate == NULL) {
                c->run.stage = EXEC_COMMIT;
            }
            break;
        case EXEC_CONFIRMED:
            calls_confirmed(c);
            break;
        case EXEC_COMMIT:
            c->run.stage = EXEC_DONE;
            end_statement(c);
            break;
        case EXEC_BARRIER:
        case EXEC_COMMITTED:
            committed(c);
            break;
        case EXEC_DONE:
            give_slot(c);
            if (c->run.result.sqlstate != NULL) {
                if (c->run.ending) {
                    exec_end_transaction(c, false);
                }
                else {
                    exec_fail_transaction(c);
                }
            }
            return true;
        }
    }
    return false;
}

/* Turns a result whose rows are being sent into an error when the statement
   was canceled meanwhile. */
void
exec_check_cancel(struct conn *c, struct result *r)
{
    if (c->abort_code != NULL) {
        result_clear(r);
        r->sqlstate = c->abort_code;
        r->message = g_strdup(c->abort_message);
        c->abort_code = NULL;
        exec_fail_transaction(c);
    }
}

/* Frees the running statement's arguments and result. */
void
exec_drop(struct conn *c)
{
    give_slot(c);
    for (unsigned i = 0; i < SQL_ARGS_MAX; i++) {
        g_clear_pointer(&c->run.args[i], g_free);
    }
    result_clear(&c->run.result);
    c->run.st = NULL;
    c->run.stage = EXEC_DONE;
}
