#include "failover/settings.h"

#include <stdio.h>

/* Sets the defaults of design section 8. */
void
failover_settings_default(struct failover_settings *s)
{
    *s = (struct failover_settings){
        .policy = FAILOVER_POLICY_STAGGERED,
        .probe_interval_ms = 200,
        .observer_interval_ms = 1000,
        .probe_timeout_ms = 300,
        .probe_failures = 3,
        .silence_bound_ms = 500,
        .rank_stagger_ms = 150,
        .jitter_ms = 50,
        .call_timeout_ms = 300,
        .seal_grace_ms = 20,
        .takeover_wait_ms = 300,
        .stranded_ms = 1000,
        .follow_retry_ms = 300,
        .switch_settle_ms = 10,
        .switch_limit_ms = 150,
        .switch_retry_ms = 1000,
        .backoff_base_ms = 100,
        .backoff_cap_ms = 800,
        .pause_gap_ms = 250,
        .simple_timeout_ms = 3000,
        .simple_retry_ms = 500,
    };
}

static bool
report_out_of_range(char *why, size_t why_size, const char *key, int64_t value,
                    int64_t low, int64_t high)
{
    (void)snprintf(why, why_size, "%s=%lld is outside %lld..%lld", key,
                   (long long)value, (long long)low, (long long)high);
    return false;
}

/* Checks the range of every value and the relations between them. Returns
   false for the first invalid one and writes a message with its key to why,
   NUL-terminated. */
bool
failover_settings_check(const struct failover_settings *s, char *why,
                        size_t why_size)
{
    const struct {
        const char *key;
        int64_t value;
        int64_t low;
        int64_t high;
    } ranges[] = {
        {"policy", s->policy, FAILOVER_POLICY_STAGGERED,
         FAILOVER_POLICY_SIMPLE},
        {"probe_interval_ms", s->probe_interval_ms, 10, 10000},
        {"observer_interval_ms", s->observer_interval_ms, 10, 60000},
        {"probe_timeout_ms", s->probe_timeout_ms, 10, 10000},
        {"probe_failures", s->probe_failures, 1, 20},
        {"silence_bound_ms", s->silence_bound_ms, 10, 10000},
        {"rank_stagger_ms", s->rank_stagger_ms, 0, 5000},
        {"jitter_ms", s->jitter_ms, 0, 5000},
        {"call_timeout_ms", s->call_timeout_ms, 10, 10000},
        {"seal_grace_ms", s->seal_grace_ms, 0, s->call_timeout_ms},
        {"takeover_wait_ms", s->takeover_wait_ms, 0, 10000},
        {"stranded_ms", s->stranded_ms, 100, 60000},
        {"follow_retry_ms", s->follow_retry_ms, 10, 60000},
        {"switch_settle_ms", s->switch_settle_ms, 0, s->switch_limit_ms},
        {"switch_limit_ms", s->switch_limit_ms, 1, 10000},
        {"switch_retry_ms", s->switch_retry_ms, 100, 600000},
        {"backoff_base_ms", s->backoff_base_ms, 1, 10000},
        {"backoff_cap_ms", s->backoff_cap_ms, s->backoff_base_ms, 60000},
        /* With a gap shorter than the probe interval, a normally idle event
           loop would count as paused. */
        {"pause_gap_ms", s->pause_gap_ms, s->probe_interval_ms, 60000},
        {"simple_timeout_ms", s->simple_timeout_ms, 10, 60000},
        {"simple_retry_ms", s->simple_retry_ms, 10, 60000},
    };

    for (size_t i = 0; i < sizeof(ranges) / sizeof(ranges[0]); i++) {
        if (ranges[i].value < ranges[i].low ||
            ranges[i].value > ranges[i].high) {
            return report_out_of_range(why, why_size, ranges[i].key,
                                       ranges[i].value, ranges[i].low,
                                       ranges[i].high);
        }
    }
    return true;
}
