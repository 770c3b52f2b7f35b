#include "load/client.h"
#include "load/flow.h"
#include "load/options.h"
#include "load/pid_usage.h"

#include "base/clock.h"

#define LOG_MODULE "idle"
#include "base/log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define IDLE_BATCH_CALLERS 100
#define IDLE_BATCH_LIMIT_S 10.0
#define IDLE_SETTLE_S 1.0

/* A caller that runs one lookup and then stays connected without sending. The
   counters are shared by all callers. */
struct idle_caller {
    struct client client;
    int *ready;
    int *failed;
};

/* Runs one statement first, as real sessions do. */
static void
on_connected(void *ctx, bool ok)
{
    struct idle_caller *k = ctx;

    if (!ok) {
        (*k->failed)++;
        return;
    }
    client_send(&k->client, "SELECT value FROM entries WHERE id = 'idle'");
}

static void
on_done(void *ctx, const struct client_answer *a)
{
    struct idle_caller *k = ctx;

    if (a->lost) {
        (*k->failed)++;
        return;
    }
    (*k->ready)++;
}

static void
on_closed(void *ctx)
{
    struct idle_caller *k = ctx;

    (*k->failed)++;
}

static const struct client_callbacks callbacks = {
    .connected = on_connected,
    .done = on_done,
    .closed = on_closed,
};

/* Connects the callers from first up to but without end, and waits until each
   has run its statement. Returns false if a connection fails or takes too
   long. */
static bool
open_batch(struct idle_caller *list, int first, int end,
           const struct load_options *o, struct ev_loop *loop, int *ready,
           int *failed)
{
    const bool guild = strcmp(o->site, "guild") == 0;
    const struct client_target t = {
        .address = o->proxies[0],
        .database = o->database,
        .user = "load",
        .kind = guild ? "browse" : "lookup",
        .token = "none",
    };

    for (int i = first; i < end; i++) {
        list[i].ready = ready;
        list[i].failed = failed;
        client_init(&list[i].client, loop, &callbacks, &list[i]);
        client_connect(&list[i].client, &t);
    }
    const int64_t deadline = flow_deadline(IDLE_BATCH_LIMIT_S);
    while (*ready < end && *failed == 0) {
        if (clock_monotonic_us() > deadline) {
            LOG_ERROR("connect", o->proxies[0],
                      "%d of %d callers are ready at the time limit", *ready,
                      end);
            return false;
        }
        flow_wait(loop, 0.01);
    }
    if (*failed > 0) {
        LOG_ERROR("connect", o->proxies[0],
                  "%d callers were cut off by the proxy", *failed);
    }
    return *failed == 0;
}

/* Measures the proxy's memory per idle caller. The first batch of callers is
   connected before the measurement, so that the proxy's one-time allocations
   are not counted. */
bool
idle_run(const struct load_options *o)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    const int total = o->clients + IDLE_BATCH_CALLERS;
    struct idle_caller *list = g_new0(struct idle_caller, total);
    int ready = 0;
    int failed = 0;
    int opened = 0;
    int64_t before = -1;
    bool ok = true;

    while (ok && opened < total) {
        const int end = MIN(opened + IDLE_BATCH_CALLERS, total);
        ok = open_batch(list, opened, end, o, loop, &ready, &failed);
        if (opened == 0) {
            before = pid_resident_bytes(o->proxy_pid);
        }
        opened = end;
    }
    if (ok) {
        flow_wait(loop, IDLE_SETTLE_S);
        const int64_t after = pid_resident_bytes(o->proxy_pid);
        ok = before > 0 && after > 0 && failed == 0;
        if (ok) {
            printf("idle_callers=%d\n", o->clients);
            printf("idle_caller_bytes=%" PRId64 "\n",
                   (after - before) / o->clients);
        }
        else {
            LOG_ERROR("memory", NULL, "the memory of process %d is unknown",
                      o->proxy_pid);
        }
    }
    for (int i = 0; i < opened; i++) {
        client_close(&list[i].client);
    }
    g_free(list);
    return ok;
}
