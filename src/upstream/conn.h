#ifndef UPSTREAM_CONN_H
#define UPSTREAM_CONN_H

#include "base/clock.h"
#include "base/sview.h"
#include "settings/settings.h"

#include <ev.h>
#include <glib.h>
#include <libpq-fe.h>
#include <stdbool.h>
#include <stdint.h>

/* settings_hash of a connection whose settings are not known. */
#define CONN_SETTINGS_UNKNOWN UINT64_MAX

struct upstream_conn;

/* Callbacks of the current user of a connection: a pool, a client session or a
   control connection. closed is the last call for a connection, which is freed
   afterwards; the user must drop its pointer. */
struct upstream_conn_ops {
    /* Connected and authenticated. */
    void (*ready)(void *ctx, struct upstream_conn *c);
    /* upstream_conn_input() has grown. */
    void (*readable)(void *ctx, struct upstream_conn *c);
    void (*closed)(void *ctx, struct upstream_conn *c, const char *why);
};

/* Connection parameters of one member of a database group. */
struct upstream_target {
    const struct settings_address *address;
    const char *database;
    const char *user;
    const char *password;
    int64_t connect_timeout_ms;
    /* idle_session_timeout: the member closes the connection after this idle
       time. 0 for no limit. */
    int64_t idle_timeout_ms;
};

/* One connection to a member. libpq opens and authenticates it; afterwards the
   proxy reads and writes protocol messages on its socket directly. */
struct upstream_conn {
    struct ev_loop *loop;
    PGconn *pg;
    ev_io read_watcher;
    ev_io write_watcher;
    ev_timer connect_timer;
    GString *in; /* received */
    size_t in_consumed;
    GString *out; /* to be sent */
    size_t out_sent;
    bool open;              /* authenticated */
    bool failed;            /* closed() has been or is about to be called */
    bool sent_since_attach; /* bytes were sent since upstream_conn_attach() */
    int member;             /* index in the database group; set by the pool */
    clock_ms last_received_at;
    const struct upstream_conn_ops *ops;
    void *ctx;

    /* Session state that outlives one user of the connection. */
    uint64_t settings_hash;  /* of the session settings now in force */
    GHashTable *prepared;    /* names of prepared statements */
    bool dirty;              /* must be reset with DISCARD ALL before reuse */
    bool lent;               /* above this proxy's floor, under a lease */
    bool has_lease_timeout;  /* a lease has set its statement_timeout */
    bool cancel_pending;     /* a cancel request may still take effect on it */
    char remote_address[64]; /* "HOST:PORT", for log lines */
    char error[160];
};

struct upstream_conn *upstream_conn_open(struct ev_loop *loop,
                                         const struct upstream_target *t,
                                         const struct upstream_conn_ops *ops,
                                         void *ctx);
void upstream_conn_close(struct upstream_conn *c);
void upstream_conn_abort(struct upstream_conn *c, const char *why);
void upstream_conn_attach(struct upstream_conn *c,
                          const struct upstream_conn_ops *ops, void *ctx);
void upstream_conn_flush(struct upstream_conn *c);
void upstream_conn_pause(struct upstream_conn *c, bool pause);
struct sview upstream_conn_input(const struct upstream_conn *c);
void upstream_conn_consume(struct upstream_conn *c, size_t n);
int upstream_conn_pid(const struct upstream_conn *c);

#endif
