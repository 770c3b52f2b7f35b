#include "relay/pace_model.h"

#include <string.h>

#define TICK_MS 25
#define CALM_MS 5000 /* at 0.6 of the load */

struct pace_model pace_model;

void
pace_model_send(const struct message *m, int64_t delay_ms)
{
    g_array_append_vals(pace_model.wire[(pace_model.now + delay_ms) % WIRE_MS],
                        m, 1);
}

static void
arrive(void)
{
    int proxy;

    do {
        proxy =
            (int)rng_below(&pace_model.rng, (uint64_t)pace_model.proxy_count);
    } while (pace_model.proxies[proxy].lost);
    struct request *r = &pace_model.requests[pace_model.request_count++];
    *r = (struct request){.proxy = proxy,
                          .arrived_at = pace_model.now,
                          .sent_to = -1,
                          .avoid = -1};
    g_queue_push_tail(&pace_model.proxies[proxy].waiting, r);
    pace_proxy_dispatch(proxy);
}

void
pace_model_step(void)
{
    pace_model.now++;
    GArray *due = pace_model.wire[pace_model.now % WIRE_MS];
    for (guint i = 0; i < due->len; i++) {
        const struct message m = g_array_index(due, struct message, i);
        if (m.kind == MESSAGE_OPEN || m.kind == MESSAGE_STATEMENT) {
            pace_member_receive(&m);
        }
        else {
            pace_proxy_receive(&m);
        }
    }
    g_array_set_size(due, 0);
    for (int k = 0; k < MEMBERS; k++) {
        pace_member_run(&pace_model.members[k]);
    }
    const double load =
        pace_model.load * (pace_model.now < CALM_MS ? 0.6 : 1.0);
    /* Poisson arrivals in steps of 1/16 ms. */
    for (int i = 0; i < 16; i++) {
        if ((double)rng_below(&pace_model.rng, 1000000) < load * 62500) {
            arrive();
        }
    }
    for (int i = 0; i < pace_model.proxy_count; i++) {
        if ((pace_model.now + i) % TICK_MS == 0 &&
            !pace_model.proxies[i].lost) {
            pace_proxy_tick(i);
        }
    }
}

void
pace_model_start(uint64_t seed, int proxies, enum policy policy)
{
    for (int i = 0; i < WIRE_MS; i++) {
        if (pace_model.wire[i] != NULL) {
            g_array_free(pace_model.wire[i], TRUE);
        }
    }
    for (int i = 0; i < PROXIES_MAX; i++) {
        g_queue_clear(&pace_model.proxies[i].waiting);
    }
    for (int k = 0; k < MEMBERS; k++) {
        g_queue_clear_full(&pace_model.members[k].queue, g_free);
    }
    memset(&pace_model, 0, sizeof(pace_model));
    rng_seed(&pace_model.rng, seed);
    pace_model.proxy_count = proxies;
    pace_model.on_demand = proxies >= MAX_CONNECTIONS;
    pace_model.working =
        pace_model.on_demand ? 4 : MAX(MAX_CONNECTIONS / proxies, 1);
    pace_model.working = MIN(pace_model.working, 16);
    pace_model.load = (MEMBERS - 0.05) * SLOTS / MEAN_STATEMENT_MS;
    for (int i = 0; i < WIRE_MS; i++) {
        pace_model.wire[i] = g_array_new(FALSE, FALSE, sizeof(struct message));
    }
    for (int i = 0; i < proxies; i++) {
        for (int k = 0; k < MEMBERS; k++) {
            struct view *v = &pace_model.proxies[i].views[k];
            v->mean_us = 15000;
            policy_init(&v->policy, policy, pace_model.working, proxies, 0,
                        &pace_model.rng);
        }
    }
    for (int k = 0; k < MEMBERS; k++) {
        pace_model.members[k].up = true;
        pace_model.members[k].queue_max = QUEUE_MAX;
    }
}
