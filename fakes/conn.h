#ifndef FAKES_CONN_H
#define FAKES_CONN_H

#include "fakes/host.h"
#include "fakes/session.h"
#include "fakes/sql.h"

/* One connection to a member of a fake group. */

#define CONN_OUT_HIGH_BYTES ((size_t)256 * 1024)
#define CONN_IN_HIGH_BYTES ((size_t)4 * 1024 * 1024)
#define CONN_MESSAGE_MAX_BYTES ((size_t)64 * 1024 * 1024)

enum conn_phase {
    CONN_STARTUP,
    CONN_AUTH_DELAY,
    CONN_OPEN,
};

enum conn_wait {
    CONN_WAIT_NONE,
    CONN_WAIT_SLOT,
    CONN_WAIT_COST,
    CONN_WAIT_LOCK,
    CONN_WAIT_COMMIT,
    CONN_WAIT_CONFIRM,
    CONN_WAIT_DRAIN, /* rows wait for the socket */
};

enum exec_stage {
    EXEC_DONE, /* also before the first statement */
    EXEC_CHECK,
    EXEC_SLOT,
    EXEC_APPLY,
    EXEC_BARRIER,   /* a failed write waits for the majority too */
    EXEC_CONFIRMED, /* group_confirm() or a lookup has its majority */
    EXEC_COMMIT,
    EXEC_COMMITTED,
};

/* The answer of a statement; an error when sqlstate is set. */
struct result {
    const char *sqlstate;
    char *message;
    char *detail;
    char *columns[2]; /* of the only row, without a generator */
    unsigned n_columns;
    uint64_t total;   /* rows */
    uint64_t next;    /* row to be sent */
    size_t row_bytes; /* size of each generated row; 0 without generator */
    char tag[48];
};

/* A parsed statement, shared by its name and its portals. */
struct prepared {
    unsigned refs;
    struct sql_statement st;
};

struct portal {
    struct prepared *prepared;
    char *args[SQL_ARGS_MAX];
    bool executed;
    struct result result;
};

/* The statement in execution. */
struct run {
    const struct sql_statement *st; /* NULL for the commit at Sync */
    char *args[SQL_ARGS_MAX];
    enum exec_stage stage;
    bool final; /* the implicit transaction ends with it */
    bool has_slot;
    bool is_long;
    bool ending; /* the transaction ends whatever the result is */
    struct result result;
};

struct conn {
    struct host *host;
    struct host_member *member;
    GList link; /* in member->conns */
    int fd;
    ev_io rd;
    ev_io wr;
    ev_timer cost;
    ev_timer limit;
    ev_timer idle;
    int64_t idle_armed_ms;
    ev_tstamp started_at; /* of the statement */
    ev_tstamp active_at;
    GString *in;
    size_t in_pos;
    GString *out;
    size_t out_pos;
    enum conn_phase phase;
    bool admitted;
    bool control;
    bool eof;
    bool silent;
    bool close_after_flush;
    bool is_ready; /* in host->ready */
    bool hold;     /* output waits for the commit at Sync */
    uint32_t pid;
    uint32_t key;
    enum conn_wait wait;
    enum fake_group_status wake_status;
    const char *abort_code; /* set when a wait was cut short */
    const char *abort_message;
    char *lock_key; /* waited for */
    unsigned locks;
    struct session session;
    char *reported[SESSION_REPORTED]; /* values that the client knows */

    struct run run;
    bool in_query;
    bool query_empty;  /* no statement at all */
    bool result_begun; /* the columns are sent */
    char *query;
    struct sview query_rest;
    struct sql_statement query_st;
    bool syncing;
    bool skip_to_sync;
    GHashTable *prepared; /* name to struct prepared */
    GHashTable *portals;  /* name to struct portal */
    struct portal *executing;
    uint32_t execute_limit;
    uint32_t execute_sent;
};

void conn_accept(struct host_member *m, int fd);
void conn_close(struct conn *c);
void conn_flush(struct conn *c);
void conn_resume(struct conn *c);
void conn_wait(struct conn *c, enum conn_wait wait);
void conn_abort(struct conn *c, const char *code, const char *message);
bool conn_cancel_pid(struct host *h, uint32_t pid);
void conn_cancel(struct host *h, uint32_t pid, uint32_t key);
void conn_silence(struct conn *c);
bool conn_peer_left(struct conn *c);
void conn_fatal(struct conn *c, const char *code, const char *message);

#endif
