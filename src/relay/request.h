#ifndef RELAY_REQUEST_H
#define RELAY_REQUEST_H

#include "base/sview.h"
#include "session/token.h"

/* Requests and answers as the relay handles them, independent of the protocol
   that callers and members speak. */

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
    VERB_DEMOTE,  /* makes a primary of a lower term a replica */
    VERB_INVALID, /* not understood */
};

/* A request of a caller, or one that the proxy sends to a member by itself.
   The views point into the codec's buffer. */
struct request {
    enum verb verb;
    struct sview id;   /* empty for the proxy's own requests */
    struct sview text; /* the request as the caller wrote it */
    struct sview name; /* of a setting or prepared statement */
    struct sview rest; /* what follows the name: value, shape, arguments */
};

/* Why a request has no success. The first group says that nothing of the
   attempt is kept. */
enum failure {
    FAILURE_NONE,
    FAILURE_BUSY,           /* not run: no capacity in time */
    FAILURE_ABORTED,        /* the transaction is undone */
    FAILURE_LAGGING,        /* not run: the replica is behind */
    FAILURE_READ_ONLY,      /* not run: the member is not the primary */
    FAILURE_WRONG_MEMBER,   /* not run: another member has this address */
    FAILURE_CONNECTIONS,    /* not run: too many connections */
    FAILURE_NO_STATEMENT,   /* not run: unknown prepared statement */
    FAILURE_NO_DATABASE,    /* not run: no such database */
    FAILURE_MALFORMED,      /* not run: not understood, or out of order */
    FAILURE_TOO_LARGE,      /* not run: over the size limit */
    FAILURE_FAILED,         /* ran and failed */
    FAILURE_TIMEOUT,        /* gave up waiting; may have run */
    FAILURE_UNKNOWN_OUTCOME /* sent, and no answer came */
};

enum transaction_state {
    TRANSACTION_NONE,
    TRANSACTION_OPEN,
    TRANSACTION_FAILED,
};

/* What a member says of itself when it is asked. */
struct member_report {
    bool primary;
    uint64_t term;
    uint64_t received_term; /* of the newest entry in its log */
    uint64_t received;      /* its position */
};

/* An answer, whole. The views point into the buffer of whoever made it and
   are valid during the call that hands it over. */
struct answer {
    enum failure failure;
    struct sview detail; /* text that goes with a failure */
    const struct sview *rows;
    size_t n_rows;
    struct sview signature; /* the member's proof; empty from the proxy */
    enum transaction_state state;
    struct token position;
    bool has_report;
    struct member_report report;
};

const char *failure_name(enum failure f);
bool failure_is_not_run(enum failure f);
bool verb_runs_at_member(enum verb v);

#endif
