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

/* Checks the timeouts of all active sessions. Called periodically. */
void
relay_tick(struct relay *r, clock_ms now)
{
    GList *next = r->active.head;

    while (next != NULL) {
        struct session *s = next->data;
        next = next->next;
        exchange_check_timeouts(s, now);
    }
}
