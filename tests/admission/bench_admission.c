#include "admission/admission.h"

#include <stdio.h>

/* Benchmark of submit, grant and release in real time. It checks no bound and
   is not run as a test. */

#define ROUNDS 5000000
#define REQUEST_COUNT 32

static void
on_grant(void *ctx, struct admission_request *req, int member)
{
    struct admission_request **last_granted = ctx;

    (void)member;
    *last_granted = req;
}

static void
on_refuse(void *ctx, struct admission_request *req,
          enum admission_refusal reason)
{
    (void)ctx;
    (void)req;
    (void)reason;
}

int
main(void)
{
    static const struct admission_ops ops = {on_grant, on_refuse, NULL};
    static const struct admission_kind kinds[4] = {
        {"filing", ADMISSION_SHORT, 0, 200, 1000, 250},
        {"lookup", ADMISSION_SHORT, 1, 200, 1000, 250},
        {"renewal", ADMISSION_BATCH, 2, 200, 600000, 0},
        {"browse", ADMISSION_SHORT, 3, 200, 1000, 250},
    };
    static struct admission_request reqs[REQUEST_COUNT];
    struct admission_request *last_granted = NULL;
    struct admission *a = admission_create(&ops, &last_granted, kinds, 4, 3);

    for (int m = 0; m < 3; m++) {
        admission_set_floor(a, 0, m, 1);
    }
    /* With queued == 0 each request is granted at once, else each release
       grants one of that many queued requests. */
    for (int queued = 0; queued <= 8; queued += 8) {
        int64_t start = clock_monotonic_us();

        for (int i = 0; i < ROUNDS; i++) {
            struct admission_request *req = &reqs[i % REQUEST_COUNT];

            req->members = 7;
            req->fingerprint = 1 + (uint64_t)(i % REQUEST_COUNT);
            req->kind = i % 2;
            req->deadline_at = 0;
            if (req->state == ADMISSION_IDLE) {
                admission_submit(a, i / 1000, req);
            }
            if (last_granted != NULL &&
                admission_queued(a, 0) + admission_queued(a, 1) >=
                    (size_t)queued) {
                struct admission_request *done = last_granted;

                last_granted = NULL;
                admission_release(a, i / 1000, done, 100);
            }
        }
        printf("queued=%d submit_grant_release_ns=%.0f\n", queued,
               (double)(clock_monotonic_us() - start) * 1000 / ROUNDS);
    }
    admission_destroy(a);
    return 0;
}
