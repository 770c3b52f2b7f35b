#ifndef FAKES_CONN_H
#define FAKES_CONN_H

#include "fakes/host.h"
#include "fakes/session.h"
#include "fakes/sql.h"

/* One client connection to a member of a stand-in database group. */

/* No further messages are handled and no further rows generated while this
   much output is unsent. */
#define CONN_OUT_LIMIT_BYTES ((size_t)256 * 1024)
/* Reading pauses while this much input is buffered. */
#define CONN_IN_LIMIT_BYTES ((size_t)4 * 1024 * 1024)
#define CONN_MESSAGE_MAX_BYTES ((size_t)64 * 1024 * 1024)

enum conn_phase {
    CONN_STARTUP,
    CONN_AUTH_DELAY, /* before the authentication response */
    CONN_OPEN,
};

/* What the connection waits for before its statement can continue. */
enum conn_wait {
    CONN_WAIT_NONE,
    CONN_WAIT_SLOT,
    CONN_WAIT_DELAY, /* simulated execution time */
    CONN_WAIT_LOCK,
    CONN_WAIT_COMMIT,
    CONN_WAIT_CONFIRM,
    CONN_WAIT_OUTPUT, /* rows are left; the output buffer is full */
};

/* The next step of the current statement. */
enum exec_stage {
    EXEC_DONE, /* also the state before the first statement */
    EXEC_CHECK,
    EXEC_SLOT,
    EXEC_APPLY,
    EXEC_BARRIER,   /* reports a duplicate key after a majority commit */
    EXEC_CONFIRMED, /* the group has decided on a confirmation */
    EXEC_COMMIT,
    EXEC_COMMITTED, /* the group has decided on the commit */
};

/* Result of a statement; an error if sqlstate is not NULL. */
struct result {
    const char *sqlstate;
    char *message;
    char *detail;
    char *columns[2]; /* values of the single row if row_bytes is 0 */
    unsigned n_columns;
    uint64_t total;   /* rows */
    uint64_t next;    /* index of the next row to send */
    size_t row_bytes; /* size of each generated row; 0 if not generated */
    char tag[48];     /* of CommandComplete */
};

/* A parsed statement, referenced by its name and by its portals. */
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

/* The statement being executed. */
struct run {
    const struct sql_statement *st; /* NULL for the commit at Sync */
    char *args[SQL_ARGS_MAX];
    enum exec_stage stage;
    bool is_last; /* of its implicit transaction */
    bool has_slot;
    bool is_long;          /* takes long_cost_ms */
    bool ends_transaction; /* also if it fails */
    struct result result;
};

struct conn {
    struct host *host;
    struct host_member *member;
    GList link; /* in member->conns */
    int fd;
    ev_io read_watcher;
    ev_io write_watcher;
    ev_timer delay_timer;   /* execution time or authentication delay */
    ev_timer timeout_timer; /* statement_timeout */
    ev_timer idle_timer;    /* idle_session_timeout */
    int64_t idle_armed_ms;  /* timeout that idle_timer was started for */
    ev_tstamp started_at;   /* start of the current statement */
    ev_tstamp last_activity_at;
    GString *in;
    size_t in_pos;
    GString *out;
    size_t out_pos;
    enum conn_phase phase;
    bool admitted;   /* counted against the connection limit */
    bool is_control; /* opened by HOST_CONTROL_USER */
    bool eof;
    bool silent; /* never responds again; set by the fault "silent" */
    bool close_after_flush;
    bool in_ready_queue; /* linked in host->ready_queue */
    bool hold_output;    /* no output is sent until the commit at Sync */
    uint32_t pid;
    uint32_t cancel_key;
    enum conn_wait wait;
    enum fake_group_status group_status;
    const char *abort_code; /* SQLSTATE of an aborted wait, else NULL */
    const char *abort_message;
    char *lock_key; /* key whose lock the statement waits for */
    unsigned locks; /* locks held */
    struct session session;
    char *reported[SESSION_REPORTED_COUNT]; /* values sent last */

    struct run run;
    bool in_query;        /* a simple Query is being handled */
    bool query_was_empty; /* the Query had no statement */
    bool result_started;  /* RowDescription was sent, if needed */
    char *query;
    struct sview query_rest;
    struct sql_statement query_st;
    bool handling_sync;
    bool skip_to_sync;    /* after an error in the extended protocol */
    GHashTable *prepared; /* name to struct prepared */
    GHashTable *portals;  /* name to struct portal */
    struct portal *executing;
    uint32_t execute_row_limit; /* 0: no limit */
    uint32_t rows_sent;         /* by the current Execute or statement */
};

void conn_accept(struct host_member *m, int fd);
void conn_close(struct conn *c);
void conn_flush(struct conn *c);
void conn_resume(struct conn *c);
void conn_wait(struct conn *c, enum conn_wait wait);
void conn_abort(struct conn *c, const char *code, const char *message);
bool conn_cancel_pid(struct host *h, uint32_t pid);
void conn_cancel(struct host *h, uint32_t pid, uint32_t cancel_key);
void conn_set_silent(struct conn *c);
bool conn_peer_closed(struct conn *c);
void conn_fatal(struct conn *c, const char *code, const char *message);

#endif
