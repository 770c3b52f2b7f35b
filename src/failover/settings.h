#ifndef FAILOVER_SETTINGS_H
#define FAILOVER_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* STAGGERED is the policy of design section 8. SIMPLE is a baseline for
   measurements: one fixed timeout, no delay by rank, no confirmation by
   replicas and no jitter. */
enum failover_policy {
    FAILOVER_POLICY_STAGGERED,
    FAILOVER_POLICY_SIMPLE,
};

struct failover_settings {
    enum failover_policy policy;
    int64_t probe_interval_ms;    /* between probes of one member */
    int64_t observer_interval_ms; /* the same for a proxy without a rank */
    int64_t probe_timeout_ms;     /* until a probe counts as failed */
    int64_t probe_failures;       /* consecutive, until state SUSPECT */
    int64_t silence_bound_ms;     /* longest silence of a heard primary */
    int64_t rank_stagger_ms;      /* delay of a round per rank */
    int64_t jitter_ms;            /* largest random addition to that delay */
    int64_t call_timeout_ms;      /* seal, promote and follow calls */
    int64_t seal_grace_ms;        /* wait for seals beyond a majority, or for
                                     that of the old primary in a switch */
    int64_t takeover_wait_ms;     /* lets another proxy finish its round */
    int64_t stranded_ms;          /* until members with a higher sealed term
                                     than the primary's are readmitted */
    int64_t follow_retry_ms;      /* between follow calls to one member */
    int64_t switch_settle_ms;     /* shortest hold of writes before sealing;
                                     lets other proxies' writes arrive */
    int64_t switch_limit_ms;      /* longest wait for running transactions
                                     and for a caught-up member */
    int64_t switch_retry_ms;      /* after a failed automatic switch */
    int64_t backoff_base_ms;      /* bound of the first random backoff */
    int64_t backoff_cap_ms;       /* largest bound of the backoff */
    int64_t pause_gap_ms;         /* longer gap between inputs: this process
                                     was paused */
    int64_t simple_timeout_ms;    /* SIMPLE: loss until a round starts */
    int64_t simple_retry_ms;      /* SIMPLE: between rounds */
};

void failover_settings_default(struct failover_settings *s);
bool failover_settings_check(const struct failover_settings *s, char *why,
                             size_t why_size);

#endif
