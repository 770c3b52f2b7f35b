#ifndef RELAY_REQUEST_H
#define RELAY_REQUEST_H

#include "base/sview.h"
#include "session/token.h"

/* Requests and answers as the relay handles them, independent of the protocols
   of callers and members. A struct token holds not only the causal token of a
   session but any log position: a term and a position, if known. */

enum verb {
    VERB_BEGIN,
    VERB_BEGIN_READ,
    VERB_COMMIT,
    VERB_ROLLBACK,
    VERB_READ,
    VERB_WRITE,
    VERB_SET,
    VERB_PREPARE_READ,
    VERB_PREPARE_WRITE,
    VERB_EXECUTE,
    VERB_DEALLOCATE,
    VERB_RESET,   /* drops a connection's settings and prepared statements */
    VERB_STATUS,  /* asks a member for its role and position */
    VERB_DEMOTE,  /* turns a primary with a lower term into a replica */
    VERB_INVALID, /* could not be parsed */
};

/* A request from a caller, or one of the proxy's own to a member. The string
   views point into the codec's buffer. */
struct request {
    enum verb verb;
    struct sview id;   /* empty for the proxy's own requests */
    struct sview text; /* the request as the caller wrote it */
    struct sview name; /* of a setting or prepared statement */
    struct sview rest; /* text after the name: value, statement, arguments */
};

/* Why a request failed. After a failure marked "not run" or "undone" the
   attempt has had no effect. */
enum failure {
    FAILURE_NONE,
    FAILURE_BUSY,             /* not run: no capacity before the deadline */
    FAILURE_ABORTED,          /* undone: the transaction was rolled back */
    FAILURE_LAGGING,          /* not run: the replica is behind */
    FAILURE_READ_ONLY,        /* not run: the member is not the primary */
    FAILURE_WRONG_MEMBER,     /* not run: another member uses this address */
    FAILURE_CONNECTION_LIMIT, /* not run: too many connections */
    FAILURE_NO_STATEMENT,     /* not run: unknown prepared statement */
    FAILURE_NO_DATABASE,      /* not run: no such database */
    FAILURE_UNAUTHORIZED,     /* not run: the caller's API key is not valid */
    FAILURE_MALFORMED, /* not run: invalid, or not allowed in this state */
    FAILURE_TOO_LARGE, /* not run: over the size limit */
    FAILURE_STATEMENT_FAILED, /* the statement was executed and failed */
    FAILURE_TIMEOUT,          /* no answer in time; may have been executed */
    FAILURE_UNKNOWN_OUTCOME   /* connection lost; may have been executed */
};

enum transaction_state {
    TRANSACTION_NONE,
    TRANSACTION_OPEN,
    TRANSACTION_FAILED,
};

/* A member's answer to VERB_STATUS. */
struct member_report {
    bool primary;
    uint64_t term;
    uint64_t received_term;     /* term of the newest entry in its log */
    uint64_t received_position; /* position of that entry */
};

/* A complete answer. The string views point into a buffer of the caller and
   are valid only during the callback that delivers the answer. */
struct answer {
    enum failure failure;
    struct sview detail; /* additional text of a failure */
    const struct sview *rows;
    size_t n_rows;
    struct sview signature; /* made by the member; empty in the proxy's own
                               answers */
    enum transaction_state state;
    struct token position;
    int64_t retry_after_ms; /* when a refused caller may return; 0: unknown */
    bool has_report;
    struct member_report report;
};

const char *failure_name(enum failure f);
bool failure_means_not_run(enum failure f);
bool verb_runs_at_member(enum verb v);

#endif
