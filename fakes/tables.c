#include "fakes/tables.h"

#include "fakes/calls.h"

/* Reads a row including the transaction's own writes. */
static bool
read_row(struct conn *c, const char *key, char **out)
{
    const struct row_map *rows =
        fake_group_visible(c->member->db->group, c->member->index);

    return session_apply_ops(&c->session, key, row_map_get(rows, key), out);
}

void
tables_select(struct conn *c)
{
    const struct sql_statement *st = c->run.st;
    struct result *r = &c->run.result;
    g_autofree char *key = NULL;
    char *value = NULL;

    if (fake_group_is_primary(c->member->db->group, c->member->index)) {
        c->member->db->reads_primary++;
    }
    else {
        c->member->db->reads_replica++;
    }
    if (st->kind == SQL_SELECT_COUNT) {
        const struct row_map *rows =
            fake_group_visible(c->member->db->group, c->member->index);
        uint64_t n = row_map_count(rows, st->table);
        GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
        for (unsigned i = 0; i < c->session.ops->len; i++) {
            const struct op *o = &g_array_index(c->session.ops, struct op, i);
            n += o->key[0] == (char)st->table && o->kind != OP_SET &&
                 row_map_get(rows, o->key) == NULL &&
                 g_hash_table_add(seen, o->key);
        }
        g_hash_table_destroy(seen);
        exec_return_text(c, g_strdup_printf("%" PRIu64, n));
        return;
    }
    key = g_strdup_printf("%c%s", st->table, c->run.args[0]);
    if (!read_row(c, key, &value)) {
        exec_error(c, "22P02", "value is not a number in range");
        return;
    }
    if (value == NULL) {
        exec_finish(c, "SELECT 0");
        return;
    }
    if (st->kind == SQL_SELECT_ROW) {
        r->columns[1] = value;
        value = g_strdup(c->run.args[0]);
    }
    exec_return_text(c, value);
    r->n_columns = r->columns[1] != NULL ? 2 : 1;
}

/* Locks a key for an INSERT. Returns false if the statement has to wait for
   the lock or has failed because of a deadlock. */
static bool
lock_key(struct conn *c, const char *key)
{
    bool deadlock = false;

    if (host_lock(c->member, c, key, &deadlock)) {
        return true;
    }
    if (deadlock) {
        exec_error(c, "40P01", "deadlock detected");
    }
    else {
        c->lock_key = g_strdup(key);
        conn_wait(c, CONN_WAIT_LOCK);
    }
    return false;
}

/* Buffers an INSERT. If the row exists, even uncommitted, the statement fails,
   but only after the existing row is committed. */
void
tables_insert(struct conn *c, const char *key, const char *value)
{
    struct session *s = &c->session;
    char *current = NULL;

    if (!lock_key(c, key)) {
        return;
    }
    const char *latest =
        fake_group_latest_value(c->member->db->group, c->member->index, key);
    if (!session_apply_ops(s, key, latest, &current)) {
        exec_error(c, "22P02", "value is not a number in range");
        return;
    }
    if (current != NULL) {
        c->run.result.detail = current;
        exec_barrier(c);
        return;
    }
    session_add_op(s, OP_INSERT, key, value);
    exec_finish(c, "INSERT 0 1");
}

void
tables_update(struct conn *c)
{
    const struct sql_statement *st = c->run.st;
    g_autofree char *key = g_strdup_printf("%c%s", st->table, c->run.args[1]);
    g_autofree char *operand =
        g_strdup_printf("%s%s", st->subtract ? "-" : "", c->run.args[0]);
    g_autofree char *current = NULL;
    g_autofree char *next = NULL;
    const struct op o = {.kind = st->kind == SQL_UPDATE_ADD ? OP_ADD : OP_SET,
                         .key = key,
                         .value = operand};
    const char *latest =
        fake_group_latest_value(c->member->db->group, c->member->index, key);

    if (!session_apply_ops(&c->session, key, latest, &current) ||
        !op_apply(&o, current, &next)) {
        exec_error(c, "22P02", "value is not a number in range");
        return;
    }
    session_add_op(&c->session, o.kind, key, operand);
    exec_finish(c, next != NULL ? "UPDATE 1" : "UPDATE 0");
}
