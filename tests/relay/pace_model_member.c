#include "relay/pace_model.h"

#include <string.h>

#define HANDSHAKE_MS 12
#define STATEMENT_MIN_MS 5
#define STATEMENT_MAX_MS 50

static void
reply(const struct message *to, enum message_kind kind)
{
    struct message m = *to;

    m.opening = to->kind == MESSAGE_OPEN;
    m.kind = kind;
    pace_model_send(&m, ONE_WAY_MS);
}

/* What a member does with a message from a proxy. */
void
pace_member_receive(const struct message *msg)
{
    struct member *m = &pace_model.members[msg->member];

    if (!m->up) {
        if (msg->kind == MESSAGE_OPEN) {
            reply(msg, MESSAGE_UNREACHABLE);
        }
        return;
    }
    if (msg->kind == MESSAGE_STATEMENT && msg->epoch != m->epoch) {
        return;
    }
    m->arrived++;
    if (msg->kind == MESSAGE_OPEN && m->connections >= MAX_CONNECTIONS) {
        m->refused++;
        reply(msg, MESSAGE_FULL);
        return;
    }
    if (m->queue.length >= m->queue_max) {
        m->refused++;
        reply(msg, MESSAGE_BUSY);
        return;
    }
    struct message *copy = g_new(struct message, 1);
    *copy = *msg;
    copy->epoch = m->epoch;
    m->connections += msg->kind == MESSAGE_OPEN;
    g_queue_push_tail(&m->queue, copy);
}

void
pace_member_run(struct member *m)
{
    for (int k = 0; k < SLOTS; k++) {
        if (m->ends_at[k] != 0 && m->ends_at[k] <= pace_model.now) {
            reply(&m->running[k], m->running[k].kind == MESSAGE_OPEN
                                      ? MESSAGE_OPENED
                                      : MESSAGE_SERVED);
            m->ends_at[k] = 0;
        }
        if (m->ends_at[k] != 0 || m->queue.length == 0) {
            continue;
        }
        struct message *next = g_queue_pop_head(&m->queue);
        double ms = HANDSHAKE_MS;
        if (next->kind == MESSAGE_STATEMENT) {
            ms = STATEMENT_MIN_MS +
                 (double)rng_below(&pace_model.rng,
                                   STATEMENT_MAX_MS - STATEMENT_MIN_MS + 1);
        }
        ms *= pace_model.now < m->cold_until ? 1.6 : 1.0;
        m->running[k] = *next;
        m->ends_at[k] = pace_model.now + (clock_ms)ms;
        g_free(next);
    }
}

/* Returns how many slots run a statement. */
int
pace_member_statements(const struct member *m)
{
    int n = 0;

    for (int k = 0; k < SLOTS; k++) {
        n += m->ends_at[k] != 0 && m->running[k].kind == MESSAGE_STATEMENT;
    }
    return n;
}

void
pace_member_stop(int index)
{
    struct member *m = &pace_model.members[index];

    m->up = false;
    m->epoch++;
    m->connections = 0;
    g_queue_clear_full(&m->queue, g_free);
    memset(m->ends_at, 0, sizeof(m->ends_at));
    for (int i = 0; i < pace_model.proxy_count; i++) {
        struct view *v = &pace_model.proxies[i].views[index];
        if (v->idle + v->busy + v->opening > 0 &&
            !pace_model.proxies[i].lost) {
            policy_lost(&v->policy, pace_model.now);
        }
        v->idle = v->busy = v->opening = 0;
    }
    for (int i = 0; i < pace_model.request_count; i++) {
        struct request *r = &pace_model.requests[i];
        if (!r->done && r->sent_to == index) {
            pace_request_return(r, index);
        }
    }
}
