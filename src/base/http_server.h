#ifndef BASE_HTTP_SERVER_H
#define BASE_HTTP_SERVER_H

#include <ev.h>
#include <glib.h>
#include <stdint.h>

/* A small HTTP server for GET requests without a body: the ready probe and
   the metrics. body is filled in by the handler; it returns the status. */
struct http_server;

typedef int (*http_server_fn)(void *ctx, const char *path, GString *body);

struct http_server *http_server_create(struct ev_loop *loop, const char *host,
                                       uint16_t port, http_server_fn handle,
                                       void *ctx, char **error);
void http_server_destroy(struct http_server *h);

#endif
