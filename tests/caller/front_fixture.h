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

/* A database group and a proxy before it, in one loop. */
struct front_fixture {
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

/* A raw client of the proxy. */
struct client {
    struct front_fixture *front_fixture;
    int fd;
    GString *in;
    GString *types;   /* of the messages since the last wait */
    char sqlstate[8]; /* of the last error */
    char hint[64];    /* of the last error */
    char column[256]; /* first column of the last row */
    char token[128];  /* last reported token */
    char version[16]; /* reported server_version, that of the member */
    char status;      /* of the last ReadyForQuery */
    unsigned ready;
    uint32_t pid;
    uint32_t secret;
    bool closed;
};

void front_fixture_start(struct front_fixture *s);
void front_fixture_stop(struct front_fixture *s);
void client_poll(struct client *c);
void client_wait(struct client *c, unsigned ready);
void client_send(struct client *c, GString *out);
void client_open(struct client *c, struct front_fixture *s, const char *kind,
                 const char *token);
void client_close(struct client *c);
void client_start(struct client *c, const char *sql);
void client_query(struct client *c, const char *sql);
void put_parse(GString *out, const char *name, const char *sql);
void put_bind_execute_sync(GString *out, const char *name, const char *value);

#endif
