#include "relay/session_internal.h"

/* Returns the present time. */
clock_ms
session_now(const struct session *s)
{
    return s->relay->config.now(s->relay->config.ctx);
}

/* Creates the relay. */
struct relay *
relay_create(const struct relay_config *config)
{
    struct relay *r = g_new0(struct relay, 1);

    r->config = *config;
    g_queue_init(&r->active);
    return r;
}

/* Frees the relay; all sessions have ended. */
void
relay_destroy(struct relay *r)
{
    g_free(r);
}

/* Returns the counters. */
const struct relay_counters *
relay_counters(const struct relay *r)
{
    return &r->counters;
}

/* Puts the session on the list that the tick looks at, or takes it off. */
void
session_update_listing(struct session *s)
{
    const bool wanted =
        s->step != STEP_IDLE || s->transaction != TRANSACTION_NONE;

    if (wanted && !s->listed) {
        s->link = (GList){.data = s};
        g_queue_push_tail_link(&s->relay->active, &s->link);
    }
    else if (!wanted && s->listed) {
        g_queue_unlink(&s->relay->active, &s->link);
    }
    s->listed = wanted;
}

/* Checks the deadlines of all sessions that have something open. */
void
relay_tick(struct relay *r, clock_ms now)
{
    GList *next = r->active.head;

    while (next != NULL) {
        struct session *s = next->data;
        next = next->next;
        exchange_check(s, now);
    }
}
