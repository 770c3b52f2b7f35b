#include "relay/pace_model.h"

#include "relay/placement.h"

#define TARGET_MS 200
#define IDLE_CLOSE_MS 100
#define HOME_WAIT_MS 100

/* Puts a request that was refused or lost back into its proxy's queue. */
void
pace_request_return(struct request *r, int from)
{
    r->sent_to = -1;
    r->avoid = from;
    g_queue_push_head(&pace_model.proxies[r->proxy].waiting, r);
}

static bool
is_home(int proxy, int member)
{
    return proxy % MEMBERS == member;
}

static void
open_connection(int proxy, int member)
{
    struct view *v = &pace_model.proxies[proxy].views[member];
    const struct message m = {.kind = MESSAGE_OPEN,
                              .proxy = proxy,
                              .member = member,
                              .request = -1,
                              .epoch = pace_model.members[member].epoch,
                              .sent_at = pace_model.now};

    v->opening++;
    policy_sent(&v->policy, pace_model.now);
    pace_model_send(&m, ONE_WAY_MS);
}

static struct placement_member
describe(int proxy, int member, const struct request *r)
{
    const struct view *v = &pace_model.proxies[proxy].views[member];
    const int in_progress = v->opening + v->busy;
    const int connections = in_progress + v->idle;

    return (struct placement_member){
        .usable = !v->unreachable,
        .caught_up = true,
        .same_failure_domain = !pace_model.on_demand || is_home(proxy, member),
        .avoided = r->avoid == member,
        .connection_available =
            pace_model.now >= v->busy_until &&
            policy_may_send(&v->policy, in_progress, pace_model.now) &&
            (v->idle > 0 ||
             (connections < pace_model.working &&
              pace_model.now >= v->full_until &&
              policy_may_open(&v->policy, in_progress, pace_model.now))),
        .connection_idle = v->idle > 0,
        .slots = SLOTS,
        .executing = v->busy,
        .max_executing = pace_model.working,
        .mean_statement_us = v->mean_us,
    };
}

/* Returns true if a request is not yet sent to other members than the home of
   its proxy. */
static bool
stays_home(int proxy, const struct request *r)
{
    const int home = proxy % MEMBERS;
    const struct view *v = &pace_model.proxies[proxy].views[home];

    return !v->unreachable && r->avoid != home &&
           pace_model.now - r->arrived_at < HOME_WAIT_MS;
}

/* Sends a request, or opens a connection for it. Returns true if it was
   sent. */
static bool
place(int proxy, struct request *r)
{
    struct proxy *p = &pace_model.proxies[proxy];
    struct placement_member candidates[MEMBERS];

    for (int k = 0; k < MEMBERS; k++) {
        candidates[k] = describe(proxy, k, r);
        if (pace_model.on_demand && !is_home(proxy, k) &&
            stays_home(proxy, r)) {
            candidates[k].usable = false;
        }
    }
    const int chosen = placement_choose(candidates, MEMBERS, false, true);
    if (chosen < 0) {
        return false;
    }
    struct view *v = &p->views[chosen];
    if (v->idle == 0) {
        if (v->opening < (int)p->waiting.length) {
            open_connection(proxy, chosen);
        }
        return false;
    }
    const struct message m = {.kind = MESSAGE_STATEMENT,
                              .proxy = proxy,
                              .member = chosen,
                              .request = (int)(r - pace_model.requests),
                              .epoch = pace_model.members[chosen].epoch,
                              .sent_at = pace_model.now};
    v->idle--;
    v->busy++;
    r->sent_to = chosen;
    policy_sent(&v->policy, pace_model.now);
    pace_model_send(&m, ONE_WAY_MS);
    return true;
}

/* Serves the requests that are late, or only those that are not. */
static void
dispatch_some(int proxy, bool late)
{
    struct proxy *p = &pace_model.proxies[proxy];
    GList *next = p->waiting.head;

    while (next != NULL) {
        GList *node = next;
        struct request *r = node->data;
        const int64_t waited_ms = pace_model.now - r->arrived_at;
        next = node->next;
        if (waited_ms >= TIMEOUT_MS) {
            r->done = true;
            g_queue_delete_link(&p->waiting, node);
        }
        else if ((waited_ms >= TARGET_MS) == late && place(proxy, r)) {
            g_queue_delete_link(&p->waiting, node);
        }
    }
}

/* The order is that of service_dispatch(). */
void
pace_proxy_dispatch(int proxy)
{
    dispatch_some(proxy, false);
    dispatch_some(proxy, true);
}

static void
view_reachable(struct view *v)
{
    if (v->unreachable) {
        policy_reachable(&v->policy, pace_model.now);
    }
    v->unreachable = false;
    v->failures = 0;
}

static void
view_unreachable(struct view *v)
{
    v->unreachable = true;
    policy_unreachable(&v->policy, pace_model.now);
    v->retry_at = MAX(pace_model.now + MIN(50 << MIN(v->failures, 3), 400),
                      policy_earliest(&v->policy));
    v->failures++;
}

/* The delays after refusals are those of src/relay/links.c. */
static void
view_refused(struct view *v, const struct message *m)
{
    policy_refused(&v->policy, m->kind == MESSAGE_FULL, pace_model.now);
    if (m->kind == MESSAGE_FULL) {
        const int64_t delay_ms = MIN(40 << MIN(v->refusals, 3), 320);
        v->refusals++;
        v->full_until =
            pace_model.now + delay_ms / 2 +
            (int64_t)rng_below(&pace_model.rng, (uint64_t)delay_ms / 2 + 1);
        return;
    }
    v->busy_until =
        pace_model.now + 10 + (int64_t)rng_below(&pace_model.rng, 11);
}

void
pace_proxy_receive(const struct message *m)
{
    struct view *v = &pace_model.proxies[m->proxy].views[m->member];

    if (pace_model.proxies[m->proxy].lost ||
        (m->kind != MESSAGE_UNREACHABLE &&
         m->epoch != pace_model.members[m->member].epoch)) {
        return;
    }
    const int in_progress = v->opening + v->busy;
    switch (m->kind) {
    case MESSAGE_OPENED:
        v->opening--;
        v->idle++;
        v->refusals = 0;
        v->idle_since = pace_model.now;
        view_reachable(v);
        policy_opened(&v->policy);
        break;
    case MESSAGE_SERVED:
        v->busy--;
        v->idle++;
        v->idle_since = pace_model.now;
        v->mean_us += ((pace_model.now - m->sent_at) * 1000 - v->mean_us) / 16;
        policy_served(&v->policy, pace_model.now - m->sent_at, in_progress,
                      pace_model.now);
        pace_model.requests[m->request].done = true;
        pace_model.requests[m->request].served =
            pace_model.now - pace_model.requests[m->request].arrived_at <
            TIMEOUT_MS;
        break;
    case MESSAGE_BUSY:
    case MESSAGE_FULL:
        view_reachable(v);
        if (m->opening) {
            v->opening--;
        }
        else {
            v->busy--;
            v->idle++;
            v->idle_since = pace_model.now;
            pace_request_return(&pace_model.requests[m->request], m->member);
        }
        view_refused(v, m);
        break;
    case MESSAGE_UNREACHABLE:
        v->opening = MAX(v->opening - 1, 0);
        view_unreachable(v);
        break;
    default:
        break;
    }
    pace_proxy_dispatch(m->proxy);
}

void
pace_proxy_tick(int proxy)
{
    for (int k = 0; k < MEMBERS; k++) {
        struct view *v = &pace_model.proxies[proxy].views[k];
        if (v->unreachable && v->opening == 0 &&
            pace_model.now >= v->retry_at) {
            open_connection(proxy, k);
        }
        if (pace_model.on_demand && !is_home(proxy, k) && v->idle > 0 &&
            pace_model.now - v->idle_since >= IDLE_CLOSE_MS) {
            v->idle--;
            pace_model.members[k].connections--;
        }
    }
    pace_proxy_dispatch(proxy);
}
