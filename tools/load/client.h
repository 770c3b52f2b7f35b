#ifndef LOAD_CLIENT_H
#define LOAD_CLIENT_H

#include <ev.h>
#include <libpq-fe.h>
#include <stdbool.h>
#include <stdint.h>

/* A non-blocking libpq connection on a libev loop, with one statement in
   flight at most. */

enum client_outcome {
    CLIENT_ACKED,
    CLIENT_NOT_RUN,
    CLIENT_FAILED,
    CLIENT_UNKNOWN,
};

struct client_answer {
    enum client_outcome outcome;
    bool lost;         /* the connection was lost */
    char sqlstate[6];  /* of the first error, or empty */
    const char *value; /* first column of the last row, or NULL; valid during
                          the callback */
    int64_t rows;
};

struct client_callbacks {
    /* The connection was opened, or the attempt failed. */
    void (*connected)(void *ctx, bool ok);
    /* The answer to a statement is complete, or the connection was lost. */
    void (*done)(void *ctx, const struct client_answer *a);
    /* An idle connection was closed by the server. */
    void (*closed)(void *ctx);
    /* Optional: one row of an answer. If set, single-row mode is used. */
    void (*row)(void *ctx, const PGresult *row);
};

struct client {
    struct ev_loop *loop;
    const struct client_callbacks *callbacks;
    void *ctx;
    PGconn *conn; /* NULL while closed */
    ev_io read_watcher;
    ev_io write_watcher;
    ev_timer timeout;
    ev_timer pace_timer;
    bool connecting;
    bool busy;
    bool timed_out;
    char *value; /* of the answer being received */
    struct client_answer answer;
    int64_t pace_bytes_per_second; /* read rate; 0: unlimited */
    int64_t paced_bytes;
    int64_t paced_since_us;
};

/* Connection parameters. */
struct client_target {
    const char *address; /* HOST:PORT */
    const char *database;
    const char *user;
    const char *kind;  /* caller kind; NULL: not sent */
    const char *token; /* consistency token; NULL: not sent */
};

#define CLIENT_CONTROL_USER "galenastep_control"

void client_init(struct client *c, struct ev_loop *loop,
                 const struct client_callbacks *callbacks, void *ctx);
void client_connect(struct client *c, const struct client_target *t);
void client_send(struct client *c, const char *sql);
void client_close(struct client *c);
bool client_is_idle(const struct client *c);
const char *client_token(const struct client *c);
PGconn *client_open(const struct client_target *t, bool blocking);

#endif
