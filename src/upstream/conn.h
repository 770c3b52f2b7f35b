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

/* What the present user of a connection is told. closed is the last call for
   a connection; the user must drop its pointer there. */
struct upstream_conn_ops {
    void (*ready)(void *ctx, struct upstream_conn *c);
    void (*readable)(void *ctx, struct upstream_conn *c);
    void (*closed)(void *ctx, struct upstream_conn *c, const char *why);
};

/* How to reach one member of a database group. */
struct upstream_target {
    const struct settings_address *address;
    const char *database;
    const char *user;
    const char *password;
    int64_t connect_timeout_ms;
    /* The member closes the connection when it is idle for this long; 0 for
       no limit. */
    int64_t idle_timeout_ms;
};

/* One connection to a member. libpq opens and authenticates it; afterwards
   messages are relayed on its socket. */
struct upstream_conn {
    struct ev_loop *loop;
    PGconn *pg;
    ev_io rd;
    ev_io wr;
    ev_timer timer; /* connection timeout */
    GString *in;
    size_t in_used; /* bytes of in that were consumed */
    GString *out;
    size_t out_sent;
    bool open;    /* authenticated */
    bool failed;  /* closed() was or is about to be called */
    bool touched; /* a byte was handed to the socket since attach */
    int member;
    clock_ms last_heard;
    const struct upstream_conn_ops *ops;
    void *ctx;

    /* State that pooling keeps for the connection. */
    uint64_t settings_hash;
    GHashTable *prepared; /* names of prepared statements */
    bool dirty;           /* must be reset with DISCARD ALL before reuse */
    bool lent;            /* beyond this proxy's floor, under a lease */
    bool limited;         /* has a statement_timeout of a lease */
    bool cancel_pending;  /* a cancel request may still hit it */
    char peer[64];
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
