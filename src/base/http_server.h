#ifndef BASE_HTTP_SERVER_H
#define BASE_HTTP_SERVER_H

#include <ev.h>
#include <glib.h>
#include <stdint.h>

/* A minimal HTTP/1.1 server for the readiness probe and the metrics. It
   supports only requests without a body and does not look at the method. */
struct http_server;

/* Appends the response to body and returns the HTTP status: 200, 404 or 503.
 */
typedef int (*http_handler_fn)(void *ctx, const char *path, GString *body);

struct http_server *http_server_create(struct ev_loop *loop, const char *host,
                                       uint16_t port, http_handler_fn handler,
                                       void *ctx, char **error);
void http_server_destroy(struct http_server *h);

#endif
