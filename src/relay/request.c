#include "relay/request.h"

/* Returns the name of a failure in log lines and metrics. */
const char *
failure_name(enum failure f)
{
    static const char *const names[] = {
        [FAILURE_NONE] = "none",
        [FAILURE_BUSY] = "busy",
        [FAILURE_ABORTED] = "aborted",
        [FAILURE_LAGGING] = "lagging",
        [FAILURE_READ_ONLY] = "read_only",
        [FAILURE_WRONG_MEMBER] = "wrong_member",
        [FAILURE_CONNECTION_LIMIT] = "connections",
        [FAILURE_NO_STATEMENT] = "no_statement",
        [FAILURE_NO_DATABASE] = "no_database",
        [FAILURE_UNAUTHORIZED] = "unauthorized",
        [FAILURE_MALFORMED] = "malformed",
        [FAILURE_TOO_LARGE] = "too_large",
        [FAILURE_STATEMENT_FAILED] = "failed",
        [FAILURE_TIMEOUT] = "timeout",
        [FAILURE_UNKNOWN_OUTCOME] = "unknown_outcome",
    };

    return names[f];
}

/* Returns true if a member that answers with this failure has certainly not
   executed the statement. */
bool
failure_means_not_run(enum failure f)
{
    return f == FAILURE_BUSY || f == FAILURE_LAGGING ||
           f == FAILURE_READ_ONLY || f == FAILURE_NO_STATEMENT ||
           f == FAILURE_WRONG_MEMBER || f == FAILURE_CONNECTION_LIMIT;
}

/* Returns true if a caller's request is executed by a member. The other
   requests only change the session's state in the proxy. */
bool
verb_runs_at_member(enum verb v)
{
    return v == VERB_READ || v == VERB_WRITE || v == VERB_EXECUTE ||
           v == VERB_COMMIT;
}
