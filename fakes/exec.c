#include "fakes/exec.h"

#include "fakes/calls.h"
#include "fakes/tables.h"

#include <stdio.h>

void
result_clear(struct result *r)
{
    g_free(r->message);
    g_free(r->detail);
    g_free(r->columns[0]);
    g_free(r->columns[1]);
    memset(r, 0, sizeof *r);
}

/* Ends the current statement with an error. */
void
exec_error(struct conn *c, const char *sqlstate, const char *message)
{
    struct result *r = &c->run.result;

    result_clear(r);
    r->sqlstate = sqlstate;
    r->message = g_strdup(message);
    c->run.stage = EXEC_DONE;
}

/* Ends the current statement with one row of one column; takes ownership of
   text. */
void
exec_return_text(struct conn *c, char *text)
{
    struct result *r = &c->run.result;

    r->columns[0] = text;
    r->n_columns = 1;
    r->total = 1;
    g_strlcpy(r->tag, "SELECT 1", sizeof r->tag);
    c->run.stage = EXEC_DONE;
}

/* Ends the current statement without rows. */
void
exec_finish(struct conn *c, const char *tag)
{
    g_strlcpy(c->run.result.tag, tag, sizeof c->run.result.tag);
    c->run.stage = EXEC_DONE;
}

/* Ends the transaction and releases its locks. */
void
exec_end_transaction(struct conn *c, bool committed)
{
    session_end_transaction(&c->session, committed);
    host_unlock_all(c->member, c);
}

/* Handles an error: a transaction block fails until ROLLBACK, an implicit
   transaction is rolled back at once. */
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

/* Called by the group when a commit or confirmation is decided. */
static void
on_group_result(void *ctx, enum fake_group_status status)
{
    struct conn *c = ctx;

    c->group_status = status;
    host_queue_ready_conn(c->host, c);
}

/* Waits for the group's decision, or fails if the group refused the call. */
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

/* Commits an empty entry and waits until a majority holds it, so that an
   error that depends on uncommitted rows is sent only after their commit. */
void
exec_barrier(struct conn *c)
{
    c->run.stage = EXEC_BARRIER;
    wait_for_group(c,
                   fake_group_commit(c->member->db->group, c->member->index,
                                     NULL, 0, on_group_result, c),
                   CONN_WAIT_COMMIT);
}

void
exec_confirm(struct conn *c)
{
    c->run.stage = EXEC_CONFIRMED;
    wait_for_group(c,
                   fake_group_confirm(c->member->db->group, c->member->index,
                                      on_group_result, c),
                   CONN_WAIT_CONFIRM);
}

/* Appends the transaction's operations to the group's log. */
static void
commit_ops(struct conn *c)
{
    struct session *s = &c->session;

    c->run.stage = EXEC_COMMITTED;
    c->run.ends_transaction = true;
    wait_for_group(c,
                   fake_group_commit(c->member->db->group, c->member->index,
                                     (const struct op *)(void *)s->ops->data,
                                     s->ops->len, on_group_result, c),
                   CONN_WAIT_COMMIT);
    /* INSERT also checks uncommitted rows of the log, so the locks are no
       longer needed. */
    host_unlock_all(c->member, c);
}

/* Runs a transaction or savepoint command. */
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
        exec_return_text(c, g_strdup(v));
        g_strlcpy(c->run.result.tag, "SHOW", sizeof c->run.result.tag);
        return;
    }
}

/* Runs the statement after its checks and execution delay. It sets the result
   or makes the connection wait. */
static void
run_statement(struct conn *c)
{
    const struct sql_statement *st = c->run.st;
    g_autofree char *key = NULL;

    switch (st->kind) {
    case SQL_EMPTY:
        c->run.stage = EXEC_DONE;
        return;
    case SQL_SELECT_CONSTANT:
        exec_return_text(c, g_strdup(c->run.args[0]));
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

/* Returns true if the statement occupies a slot. Statements on renewals are
   long. */
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
        *is_long = st->table == TABLE_RENEWALS;
        return true;
    case SQL_CALL:
        return st->function == SQL_FAKE_SLEEP;
    default:
        return false;
    }
}

/* Counts a statement whose comment owner=NAME differs from the setting
   fake.owner or from the owner of the open transaction: statements of several
   callers were mixed on one connection. */
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

/* Rejects a statement that must not run; else acquires a slot if needed. */
static void
check_statement(struct conn *c)
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
    if (!host_acquire_slot(c->member, c, c->run.is_long)) {
        conn_wait(c, CONN_WAIT_SLOT);
    }
}

/* Starts the simulated execution time of a statement that holds a slot; none
   if it is 0. */
static void
start_execution_delay(struct conn *c)
{
    const struct sql_statement *st = c->run.st;
    const struct host_options *o = &c->host->options;
    double ms = c->run.is_long ? o->long_cost_ms : o->short_cost_ms;

    if (st->kind == SQL_CALL) {
        ms = g_ascii_strtod(c->run.args[0], NULL);
    }
    c->run.stage = EXEC_APPLY;
    if (ms > 0) {
        ev_timer_set(&c->delay_timer, ms * c->member->slowdown_factor / 1000,
                     0);
        ev_timer_start(c->host->loop, &c->delay_timer);
        conn_wait(c, CONN_WAIT_DELAY);
    }
}

static void
release_slot(struct conn *c)
{
    if (c->run.has_slot) {
        c->run.has_slot = false;
        host_release_slot(c->member, c->run.is_long);
    }
}

/* Fails a statement whose wait was aborted by a timeout or a cancel request.
   If its commit is already in the log, the outcome is unknown. */
static void
finish_aborted(struct conn *c)
{
    const char *code = c->abort_code;
    const char *message = c->abort_message;

    c->abort_code = NULL;
    if (c->run.stage == EXEC_COMMITTED || c->run.stage == EXEC_BARRIER) {
        code = "08007";
    }
    exec_error(c, code, message);
}

/* Handles the group's decision on an appended entry. */
static void
finish_committed(struct conn *c)
{
    if (c->group_status != GROUP_OK) {
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

/* Commits if the statement was the last of its transaction. */
static void
end_statement(struct conn *c)
{
    struct session *s = &c->session;
    const bool commit = c->run.st == NULL || c->run.st->kind == SQL_COMMIT;

    if (!commit && !(c->run.is_last && s->tx == SESSION_IMPLICIT)) {
        return;
    }
    if (s->has_writes) {
        commit_ops(c);
        return;
    }
    exec_end_transaction(c, true);
    c->run.stage = EXEC_DONE;
}

/* Starts a statement; args are copied, st must stay valid until exec_clear().
   is_last: the statement ends its implicit transaction. */
void
exec_start(struct conn *c, const struct sql_statement *st, char **args,
           bool is_last)
{
    c->run = (struct run){.st = st, .is_last = is_last, .stage = EXEC_CHECK};
    c->started_at = ev_now(c->host->loop);
    for (unsigned i = 0; i < st->n_args; i++) {
        c->run.args[i] = g_strdup(args[i]);
    }
}

/* Starts the commit of the implicit transaction at Sync. */
void
exec_start_commit(struct conn *c)
{
    c->run = (struct run){.is_last = true, .stage = EXEC_COMMIT};
    c->started_at = ev_now(c->host->loop);
}

/* Runs the statement until it is done (returns true) or has to wait (returns
   false). */
bool
exec_step(struct conn *c)
{
    while (c->wait == CONN_WAIT_NONE) {
        if (c->abort_code != NULL) {
            finish_aborted(c);
        }
        switch (c->run.stage) {
        case EXEC_CHECK:
            check_statement(c);
            break;
        case EXEC_SLOT:
            start_execution_delay(c);
            break;
        case EXEC_APPLY:
            release_slot(c);
            run_statement(c);
            if (c->run.stage == EXEC_DONE && c->run.result.sqlstate == NULL) {
                c->run.stage = EXEC_COMMIT;
            }
            break;
        case EXEC_CONFIRMED:
            calls_finish_confirmed(c);
            break;
        case EXEC_COMMIT:
            c->run.stage = EXEC_DONE;
            end_statement(c);
            break;
        case EXEC_BARRIER:
        case EXEC_COMMITTED:
            finish_committed(c);
            break;
        case EXEC_DONE:
            release_slot(c);
            if (c->run.result.sqlstate != NULL) {
                if (c->run.ends_transaction) {
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

/* Replaces a result whose rows are being sent by an error if the statement
   was canceled in the meantime. */
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

/* Frees the current statement's arguments and result and releases its
   slot. */
void
exec_clear(struct conn *c)
{
    release_slot(c);
    for (unsigned i = 0; i < SQL_ARGS_MAX; i++) {
        g_clear_pointer(&c->run.args[i], g_free);
    }
    result_clear(&c->run.result);
    c->run.st = NULL;
    c->run.stage = EXEC_DONE;
}
