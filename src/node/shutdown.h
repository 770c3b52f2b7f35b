#ifndef NODE_SHUTDOWN_H
#define NODE_SHUTDOWN_H

#include <stddef.h>
#include <stdint.h>

/* The steps of a planned stop. They depend only on the grace period, which is
   the time from SIGTERM to SIGKILL, and on the number of callers. */

/* Shorter grace periods leave no time to answer requests in progress before
   the process is killed. */
#define SHUTDOWN_GRACE_MIN_MS 500

/* When each step is due, in milliseconds after SIGTERM. */
struct shutdown_schedule {
    int64_t drain_ms;            /* callers between transactions are closed */
    int64_t end_transactions_ms; /* open transactions get no more time */
    int64_t answer_all_ms;       /* requests in progress are answered */
    int64_t close_ms;            /* all callers are closed */
    int64_t exit_ms;             /* the process ends */
    int64_t unregister_ms;       /* longest wait for the store at the end */
    int64_t check_interval_ms;   /* between checks whether a step is due */
};

enum shutdown_phase {
    SHUTDOWN_NONE,          /* no stop is in progress */
    SHUTDOWN_NOTICE,        /* not ready any more; callers are still served */
    SHUTDOWN_DRAINING,      /* callers are closed between transactions */
    SHUTDOWN_CLOSING,       /* all callers are being closed */
    SHUTDOWN_UNREGISTERING, /* no callers; this proxy's row is deleted */
    SHUTDOWN_DONE,          /* the process ends */
};

void shutdown_schedule_init(struct shutdown_schedule *s, int64_t grace_ms);
enum shutdown_phase shutdown_next_phase(const struct shutdown_schedule *s,
                                        enum shutdown_phase phase,
                                        int64_t elapsed_ms, size_t work);

#endif
