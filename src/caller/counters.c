#include "caller/counters.h"

static const char *const counter_names[COUNTER_COUNT] = {
    [COUNTER_STATEMENTS] = "statements",
    [COUNTER_READS_REPLICA] = "reads_replica",
    [COUNTER_READS_PRIMARY] = "reads_primary",
    [COUNTER_READS_CONFIRMED] = "reads_confirmed",
    [COUNTER_WRITES] = "writes",
    [COUNTER_TRANSACTIONS] = "transactions",
    [COUNTER_FAILED_BY_DATABASE] = "failed_by_database",
    [COUNTER_REFUSED_QUEUE_FULL] = "refused_queue_full",
    [COUNTER_REFUSED_DEADLINE] = "refused_deadline",
    [COUNTER_REFUSED_SHED] = "refused_shed",
    [COUNTER_REFUSED_DRAINING] = "refused_draining",
    [COUNTER_REFUSED_COPY] = "refused_copy",
    [COUNTER_REFUSED_SESSION_STATE] = "refused_session_state",
    [COUNTER_REFUSED_PROTOCOL] = "refused_protocol",
    [COUNTER_RETRY_REPLICA_BEHIND] = "retry_replica_behind",
    [COUNTER_RETRY_PREEMPTED] = "retry_preempted",
    [COUNTER_RETRY_PRIMARY_BEHIND] = "retry_primary_behind",
    [COUNTER_RETRY_NOT_SENT] = "retry_not_sent",
    [COUNTER_RETRY_READ_LOST] = "retry_read_lost",
    [COUNTER_RETRY_READ_SILENT] = "retry_read_silent",
    [COUNTER_RETRY_BUDGET_EMPTY] = "retry_budget_empty",
    [COUNTER_RETRY_KEYED] = "retry_keyed",
    [COUNTER_UNKNOWN_OUTCOME] = "unknown_outcome",
    [COUNTER_TRANSACTION_LOST] = "transaction_lost",
    [COUNTER_CANCELS] = "cancels",
    [COUNTER_KEYED_REPLAYS] = "keyed_replays",
};

/* Returns the name of a counter in metrics and control output. */
const char *
counter_name(enum counter c)
{
    return counter_names[c];
}
