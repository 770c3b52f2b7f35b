#ifndef LOAD_CLIENT_H
#define LOAD_CLIENT_H

#include <ev.h>
#include <libpq-fe.h>
#include <stdbool.h>
#include <stdint.h>

/* A non-blocking libpq connection on a libev loop. */

enum client_outcome {
    CLIENT_ACKED,
    CLIENT_NOT_RUN,
    CLIENT_FAILED,
    CLIENT_UNKNOWN,
};

struct client_answer {
    enum client_outcome outcome;
    bool lost;         /* the connection is gone */
    char sqlstate[6];  /* empty when there was none */
    const char *value; /* first column of the last row, or NULL */
    int64_t rows;
};

struct client_callbacks {
    /* The connection is open, or it could not be opened. */
    void (*connected)(void *ctx, bool ok);
    /* The answer to a statement is complete. */
    void (*done)(void *ctx, const struct client_answer *a);
    /* An idle connection was closed by the other end. */
    void (*closed)(void *ctx);
    /* Optional: one row in single-row mode. */
    void (*row)(void *ctx, const PGresult *row);
};

struct client {
    struct ev_loop *loop;
    const struct client_callbacks *callbacks;
    void *ctx;
    PGconn *conn; /* NULL while closed */
    ev_io rd;
    ev_io wr;
    ev_timer timeout;
    ev_timer pace;
    bool connecting;
    bool busy;
    bool timed_out;
    char *value; /* of the answer that is arriving */
    struct client_answer answer;
    int64_t pace_bytes_per_second; /* 0: read as fast as possible */
    int64_t paced_bytes;
    int64_t paced_since_us;
};

/* How to connect. */
struct client_target {
    const char *address; /* HOST:PORT */
    const char *database;
    const char *user;
    const char *kind;  /* NULL: none named */
    const char *token; /* NULL: none sent */
};

#define CLIENT_CONTROL_USER "galenastep_control"

void client_init(struct client *c, struct ev_loop *loop,
                 const struct client_callbacks *callbacks, void *ctx);
void client_connect(struct client *c, const struct client_target *t);
void client_send(struct client *c, const char *sql);
void client_close(struct client *c);
bool client_is_idle(const struct client *c);
const char *client_token(const struct client *c);
PGconn *client_start(const struct client_target *t, bool blocking);

#endif
