#include "node/shutdown.h"

#include <glib.h>

/* The load balancer checks readiness once a second and removes a proxy after
   two failed checks. */
#define NOTICE_MS 2200
/* The end of the grace period begins with the answers to all requests that are
   still in progress. It is at most a sixth of the grace period, the part in
   which members may still be at work on a request that is broken off. */
#define END_MS 850
#define END_PART 6
/* For sending these answers, for callers to close their side, and for the
   store to delete this proxy's row. */
#define STEP_MS 150
#define LINGER_MS 200
#define UNREGISTER_MS 200
#define STEP_PART 24
#define CHECK_INTERVAL_MS 50
#define CHECK_INTERVAL_PART 100

/* Computes the steps of a stop with a grace period of at least
   SHUTDOWN_GRACE_MIN_MS. A long grace period leaves more time to callers, and
   a short one shortens all steps alike. */
void
shutdown_schedule_init(struct shutdown_schedule *s, int64_t grace_ms)
{
    const int64_t step_ms = grace_ms / STEP_PART;

    s->drain_ms = MIN(NOTICE_MS, grace_ms / 2);
    s->end_transactions_ms = grace_ms / 2;
    s->answer_all_ms = grace_ms - MIN(END_MS, grace_ms / END_PART);
    s->close_ms = s->answer_all_ms + MIN(STEP_MS, step_ms);
    s->exit_ms = s->close_ms + MIN(LINGER_MS, step_ms);
    s->unregister_ms = MIN(UNREGISTER_MS, step_ms);
    s->check_interval_ms =
        MIN(CHECK_INTERVAL_MS, grace_ms / CHECK_INTERVAL_PART);
}

/* Returns the phase that follows when so many milliseconds have passed since
   SIGTERM, or the same one. SHUTDOWN_UNREGISTERING ends with the answer of the
   store. work is the number of callers and of promotions whose order has not
   been answered. A proxy that still has any when all must be closed does not
   unregister: a statement may still run at a member and an order arrive at the
   platform, and other proxies wait for a registered proxy before they use
   another primary. */
enum shutdown_phase
shutdown_next_phase(const struct shutdown_schedule *s,
                    enum shutdown_phase phase, int64_t elapsed_ms, size_t work)
{
    switch (phase) {
    case SHUTDOWN_NOTICE:
        return elapsed_ms >= s->drain_ms ? SHUTDOWN_DRAINING : phase;
    case SHUTDOWN_DRAINING:
        if (work == 0) {
            return SHUTDOWN_UNREGISTERING;
        }
        return elapsed_ms >= s->close_ms ? SHUTDOWN_CLOSING : phase;
    case SHUTDOWN_CLOSING:
        return work == 0 || elapsed_ms >= s->exit_ms ? SHUTDOWN_DONE : phase;
    default:
        return phase;
    }
}
