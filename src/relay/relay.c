#include "relay/session_internal.h"

clock_ms
session_now(const struct session *s)
{
    return s->relay->config.now(s->relay->config.ctx);
}

struct relay *
relay_create(const struct relay_config *config)
{
    struct relay *r = g_new0(struct relay, 1);

    r->config = *config;
    g_queue_init(&r->active);
    return r;
}

/* All sessions must have ended. */
void
relay_destroy(struct relay *r)
{
    g_free(r);
}

const struct relay_counters *
relay_counters(const struct relay *r)
{
    return &r->counters;
}

/* Adds the session to relay.active, or removes it. Called whenever its step or
   transaction state has changed. */
void
session_update_active(struct session *s)
{
    const bool is_active =
        s->step != STEP_IDLE || s->transaction != TRANSACTION_NONE;

    if (is_active && !s->in_active_list) {
        s->active_node = (GList){.data = s};
        g_queue_push_tail_link(&s->relay->active, &s->active_node);
    }
    else if (!is_active && s->in_active_list) {
        g_queue_unlink(&s->relay->active, &s->active_node);
    }
    s->in_active_list = is_active;
}

/* Checks the timeouts of all active sessions. Called periodically. An answer
   may end any session, so no pointer into the queue is kept meanwhile. */
void
relay_tick(struct relay *r, clock_ms now)
{
    for (guint i = r->active.length; i > 0 && r->active.length > 0; i--) {
        GList *first = g_queue_pop_head_link(&r->active);
        g_queue_push_tail_link(&r->active, first);
        exchange_check_timeouts(first->data, now);
    }
}

/* Called when a configuration has come into force. Refuses the requests that
   wait although their keys do not allow them any more, and queues those anew
   whose account has changed. An answer may end any session, as in
   relay_tick(). */
void
relay_configuration_changed(struct relay *r)
{
#ifdef RELAY_BREAK_WITHDRAWN_WAIT
    return;
#endif
    for (guint i = r->active.length; i > 0 && r->active.length > 0; i--) {
        GList *first = g_queue_pop_head_link(&r->active);
        g_queue_push_tail_link(&r->active, first);
        if (!session_refuse_withdrawn(first->data)) {
            exchange_follow_account(first->data);
        }
    }
}

/* Prepares for the end of the process. From end_transactions_at on, a
   statement of an open transaction is executed only if its timeout passes
   before answer_all_at; otherwise the transaction is rolled back. At
   answer_all_at every request that is still in progress is answered with its
   outcome as far as it is known. */
void
relay_begin_shutdown(struct relay *r, clock_ms end_transactions_at,
                     clock_ms answer_all_at)
{
    r->end_transactions_at = end_transactions_at;
    r->answer_all_at = answer_all_at;
}

/* Ends all transactions, answers every request that is still in progress, and
   from now on every new one at once. Called after relay_begin_shutdown(), when
   the sessions are about to be disconnected. */
void
relay_answer_all(struct relay *r, clock_ms now)
{
    r->end_transactions_at = MIN(r->end_transactions_at, now);
    r->answer_all_at = MIN(r->answer_all_at, now);
    relay_tick(r, now);
}

/* Returns true if nothing is sent to members any more, because there is no
   time to wait for an answer. */
bool
relay_is_answering_all(const struct relay *r, clock_ms now)
{
    return r->answer_all_at != 0 && now >= r->answer_all_at;
}

bool
session_is_answering_all(const struct session *s, clock_ms now)
{
    return relay_is_answering_all(s->relay, now);
}

/* Returns true if the shutdown leaves no time for the next statement of an
   open transaction. */
bool
session_must_end_transaction(const struct session *s, clock_ms now)
{
    const struct relay *r = s->relay;

    return r->end_transactions_at != 0 && now >= r->end_transactions_at &&
           now + s->route->statement_timeout_ms > r->answer_all_at;
}
