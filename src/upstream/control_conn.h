#ifndef UPSTREAM_CONTROL_CONN_H
#define UPSTREAM_CONTROL_CONN_H

#include "base/clock.h"
#include "base/sview.h"
#include "settings/settings.h"

#include <ev.h>
#include <stdbool.h>

/* A reserved connection to one member, for short calls in order: state
   probes, seal, promote, follow, cancel. */
struct control_conn;

/* The answer to one call: the first column, or an error text. */
typedef void (*control_reply)(void *ctx, bool ok, struct sview text);

struct control_conn *control_conn_create(struct ev_loop *loop,
                                         const struct settings_address *a,
                                         const char *database,
                                         const char *password);
void control_conn_destroy(struct control_conn *k);
void control_conn_call(struct control_conn *k, const char *sql,
                       clock_ms timeout_ms, control_reply reply, void *ctx);
const char *control_conn_parameter(const struct control_conn *k,
                                   const char *name);
const char *control_conn_peer(const struct control_conn *k);

#endif
