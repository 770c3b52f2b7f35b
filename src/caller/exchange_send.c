#include "caller/caller.h"

/* Sends the messages of an exchange. exchange.c handles the answers. */

/* Appends a section. Its messages must be written to the connection in the
   same order. */
void
exchange_add_section(struct exchange *e, enum section s)
{
    e->sections[e->count++] = s;
}

/* Returns true for classes that are sent together with a query for the
   member's state. They have no visible effect, so their answer can be dropped
   if the member turns out to be out of date. */
bool exchange_needs_state_before(enum statement_class class)
{
    return class == STATEMENT_READ || class == STATEMENT_BEGIN ||
           class == STATEMENT_BEGIN_READ_ONLY || class == STATEMENT_SHOW;
}

/* Returns true if the session's token must be raised to the member's state
   after the message batch. */
static bool
needs_state_after(const struct message_batch *b, bool in_transaction)
{
    if (in_transaction) {
        return b->ends_transaction;
    }
    return b->class == STATEMENT_READ || b->class == STATEMENT_WRITE ||
           b->class == STATEMENT_INVALID;
}

/* Writes the messages of the caller and those of the sections before and after
   them. The limit that ends with a lease is taken now, since time has passed
   if the settings were waited for. */
static void
write_body_sections(struct caller *c, struct upstream_conn *u)
{
    struct exchange *e = &c->exchange;
    const struct message_batch *b = &c->message_batch;
    const bool in_transaction = e->tx_status == 'T' || e->tx_status == 'E';
    const int64_t limit =
        in_transaction ? 0 : group_statement_limit(c->group, &c->request);

    if (limit > 0) {
        GString *sql = g_string_new(NULL);
        g_string_printf(sql, "SET statement_timeout = %lld", (long long)limit);
        frame_put_query(u->out, sql->str);
        g_string_free(sql, TRUE);
        u->has_lease_timeout = true;
        exchange_add_section(e, SECTION_LEASE_LIMIT);
    }
    if (keyed_applies(c)) {
        keyed_begin(c, u);
    }
    if (!in_transaction && exchange_needs_state_before(b->class)) {
        frame_put_query(u->out,
                        c->token.known ? GROUP_SQL_STATE : GROUP_SQL_CONFIRM);
        exchange_add_section(e, SECTION_STATE_BEFORE);
    }
    if (b->refusal_sqlstate != NULL) {
        /* Call an undefined function to fail the open transaction, as the
           refused statement would have done. Its error is replaced by the
           refusal. */
        frame_put_query(u->out, "SELECT galenastep_refused()");
    }
    else {
        body_write(c, u);
    }
    e->awaits_more = b->ends_with_flush;
    exchange_add_section(e, SECTION_BODY);
    if (needs_state_after(b, in_transaction) && !b->ends_with_flush &&
        !e->keyed) {
        frame_put_query(u->out, GROUP_SQL_STATE);
        exchange_add_section(e, SECTION_STATE_AFTER);
    }
}

/* Starts the exchange of a message batch: writes its messages and those of the
   sections before and after it to the connection in one go. If settings have
   to be applied first, only messages whose effect can be undone are sent along
   with them; the others follow once the member has accepted the settings. */
void
exchange_begin(struct caller *c, struct upstream_conn *u)
{
    struct exchange *e = &c->exchange;
    const bool in_transaction = e->tx_status == 'T' || e->tx_status == 'E';
    GArray *expected_replies = e->expected_replies;
    const char tx_status = e->tx_status;

    *e = (struct exchange){.expected_replies = expected_replies,
                           .tx_status = tx_status};
    upstream_conn_attach(u, &exchange_ops, c);
    if (!in_transaction && u->has_lease_timeout &&
        group_statement_limit(c->group, &c->request) == 0) {
        /* Reset the statement_timeout that an earlier lease set on this
           connection. */
        u->has_lease_timeout = false;
        u->settings_hash = CONN_SETTINGS_UNKNOWN;
    }
    if (!in_transaction && u->settings_hash != c->settings.hash) {
        GString *sql = g_string_new(NULL);
        session_settings_append_sql(&c->settings, sql);
        frame_put_query(u->out, sql->str);
        g_string_free(sql, TRUE);
        u->settings_hash = c->settings.hash;
        exchange_add_section(e, SECTION_SETTINGS);
        /* RESET ALL alone is not rejected. */
        e->body_pending = c->settings.items != NULL &&
                          !exchange_needs_state_before(c->message_batch.class);
    }
    if (!e->body_pending) {
        write_body_sections(c, u);
    }
    e->silence_deadline =
        clock_monotonic_ms() + c->front->settings->kinds[c->kind].deadline_ms;
    upstream_conn_flush(u);
}

/* Sends the messages of the caller after the member has accepted the settings
   of the session. */
void
exchange_send_pending(struct caller *c)
{
    c->exchange.body_pending = false;
    write_body_sections(c, c->request.conn);
    upstream_conn_flush(c->request.conn);
}

/* Sends the messages that follow a Flush on the connection that has received
   the first part of the request. */
void
exchange_continue(struct caller *c)
{
    struct exchange *e = &c->exchange;
    struct upstream_conn *u = c->request.conn;
    const bool in_transaction = e->tx_status == 'T' || e->tx_status == 'E';

    body_write(c, u);
    e->awaits_more = c->message_batch.ends_with_flush;
    if (!c->message_batch.ends_with_flush &&
        needs_state_after(&c->message_batch, in_transaction)) {
        frame_put_query(u->out, GROUP_SQL_STATE);
        exchange_add_section(e, SECTION_STATE_AFTER);
    }
    upstream_conn_flush(u);
}
