#ifndef CALLER_FRONT_FIXTURE_H
#define CALLER_FRONT_FIXTURE_H

#include "caller/front.h"
#include "fakes/host.h"
#include "wire/frame.h"

#include <limits.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* A database group of three members and a proxy for it, on one event loop. */
struct fixture {
    struct ev_loop *loop;
    struct host *host;
    struct host_database *db;
    struct settings *settings;
    struct group *groups[1];
    struct front *front;
    uint16_t port;
    ev_timer watchdog;
    bool drained;
};

/* A client that speaks the wire protocol without libpq. */
struct client {
    struct fixture *fixture;
    int fd;
    GString *in;
    GString *types;   /* message types since the last client_send() */
    char sqlstate[8]; /* of the last ErrorResponse */
    char hint[64];    /* of the last ErrorResponse */
    GString *errors; /* "SQLSTATE HINT;" of all since the last client_send() */
    char column[256]; /* first column of the last DataRow */
    char token[128];  /* last reported galenastep.token */
    char version[16]; /* reported server_version */
    char status;      /* of the last ReadyForQuery */
    unsigned ready;
    uint32_t pid;
    uint32_t secret;
    bool closed;
};

void front_fixture_start(struct fixture *s);
void front_fixture_stop(struct fixture *s);
void front_fixture_silence_primary(struct fixture *s);
void client_poll(struct client *c);
void client_wait(struct client *c, unsigned ready);
void client_send(struct client *c, GString *out);
void client_open(struct client *c, struct fixture *s, const char *kind,
                 const char *token);
void client_close(struct client *c);
void client_start(struct client *c, const char *sql);
void client_query(struct client *c, const char *sql);
void put_parse(GString *out, const char *name, const char *sql);
void put_bind_execute_sync(GString *out, const char *name, const char *value);

#endif
