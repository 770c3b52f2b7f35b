#include "capacity/process_usage.h"

#include "admission/admission.h"

#include <glib.h>
#include <stdio.h>

/* Measures admission: memory per database, and the CPU time to submit, grant
   and release a request at several queue lengths. Prints key=value lines. */

#define ROUNDS 1000000
#define REQUESTS 300
#define MEMBERS 3

static const struct admission_kind kinds[] = {
    {"filing", ADMISSION_SHORT, 0, 200, 1000, 250},
    {"lookup", ADMISSION_SHORT, 1, 200, 1000, 250},
    {"renewal", ADMISSION_BATCH, 2, 200, 600000, 0},
    {"browse", ADMISSION_SHORT, 3, 200, 1000, 250},
};

/* Queues the granted request for its release. */
static void
on_grant(void *ctx, struct admission_request *req, int member)
{
    GQueue *granted = ctx;

    (void)member;
    g_queue_push_tail(granted, req);
}

/* Ignores the refusal; the request is idle again and can be reused. */
static void
on_refuse(void *ctx, struct admission_request *req,
          enum admission_refusal reason)
{
    (void)ctx;
    (void)req;
    (void)reason;
}

static const struct admission_ops ops = {on_grant, on_refuse, NULL};

static void
measure_memory(int databases)
{
    struct admission **a = g_new0(struct admission *, databases);
    double heap = process_heap_bytes();

    for (int i = 0; i < databases; i++) {
        a[i] =
            admission_create(&ops, NULL, kinds, G_N_ELEMENTS(kinds), MEMBERS);
    }
    printf("databases_%d_bytes_each=%.0f\n", databases,
           (process_heap_bytes() - heap) / databases);
    for (int i = 0; i < databases; i++) {
        admission_destroy(a[i]);
    }
    g_free(a);
}

/* Measures grants while the queue is kept at the given length. */
static void
measure_time(unsigned queued)
{
    static struct admission_request reqs[REQUESTS];
    GQueue granted = G_QUEUE_INIT;
    unsigned next = 0;
    struct admission *a =
        admission_create(&ops, &granted, kinds, G_N_ELEMENTS(kinds), MEMBERS);

    for (int m = 0; m < MEMBERS; m++) {
        admission_set_floor(a, 0, m, 1);
    }
    double cpu = process_cpu_us();
    for (int i = 0; i < ROUNDS; i++) {
        clock_ms now = i / 1000;

        while (admission_queued(a, 1) < queued || g_queue_is_empty(&granted)) {
            struct admission_request *req = &reqs[next++ % REQUESTS];

            if (req->state != ADMISSION_IDLE) {
                continue;
            }
            req->kind = 1;
            req->members = 7;
            req->fingerprint = 1 + next % 32;
            req->deadline_at = 0;
            admission_submit(a, now, req);
        }
        admission_release(a, now, g_queue_pop_head(&granted), 100);
    }
    printf("queued_%u_submit_grant_release_ns=%.0f\n", queued,
           (process_cpu_us() - cpu) * 1000 / ROUNDS);
    printf("queued_%u_refused=%lu\n", queued,
           (unsigned long)(admission_refused(a, 1, ADMISSION_QUEUE_FULL) +
                           admission_refused(a, 1, ADMISSION_DEADLINE) +
                           admission_refused(a, 1, ADMISSION_SHED)));
    while (!g_queue_is_empty(&granted)) {
        admission_release(a, ROUNDS / 1000, g_queue_pop_head(&granted), 100);
    }
    admission_destroy(a);
}

int
main(void)
{
    printf("queue_entry_bytes=%zu\n", sizeof(struct admission_request));
    measure_memory(10);
    measure_memory(100);
    measure_time(0);
    measure_time(8);
    return 0;
}
