#ifndef FAILOVER_SETTINGS_H
#define FAILOVER_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* STAGGERED is design section 8. SIMPLE is a baseline for measurements: one
   fixed timeout, no staggering, no confirmation by replicas, no jitter. */
enum failover_policy {
    FAILOVER_POLICY_STAGGERED,
    FAILOVER_POLICY_SIMPLE,
};

/* All times are milliseconds. */
struct failover_settings {
    enum failover_policy policy;
    int64_t probe_interval_ms;    /* between probes of one member */
    int64_t observer_interval_ms; /* the same for a proxy without a rank */
    int64_t probe_timeout_ms;     /* a probe without answer has failed */
    int64_t probe_failures;       /* consecutive failures until suspect */
    int64_t silence_bound_ms;     /* a replica heard the primary recently */
    int64_t rank_stagger_ms;      /* start delay per watch rank */
    int64_t jitter_ms;            /* random part of the start delay */
    int64_t call_timeout_ms;      /* seal, promote and follow calls */
    int64_t seal_grace_ms;        /* wait for more grants past a majority */
    int64_t takeover_wait_ms;     /* time left to another promoter */
    int64_t stranded_ms;          /* until a half-sealed group is repaired */
    int64_t follow_retry_ms;      /* between follow calls to one member */
    int64_t switch_settle_ms;     /* hold before sealing, for other proxies */
    int64_t switch_limit_ms;      /* running transactions during a switch */
    int64_t switch_retry_ms;      /* after a failed automatic switch */
    int64_t backoff_base_ms;      /* first bound of the full jitter */
    int64_t backoff_cap_ms;       /* largest bound of the full jitter */
    int64_t pause_gap_ms;         /* a larger step of time is a pause */
    int64_t simple_timeout_ms;    /* SIMPLE: loss until a round starts */
    int64_t simple_retry_ms;      /* SIMPLE: between rounds */
};

void failover_settings_default(struct failover_settings *s);
bool failover_settings_check(const struct failover_settings *s, char *why,
                             size_t why_size);

#endif
