#ifndef UPSTREAM_CONTROL_CONN_H
#define UPSTREAM_CONTROL_CONN_H

#include "base/clock.h"
#include "base/sview.h"
#include "settings/settings.h"

#include <ev.h>
#include <stdbool.h>

/* A connection to one member that carries only control calls (state probes,
   seal, promote, follow, cancel), which are answered in order. It uses its own
   account, GROUP_CONTROL_USER, and none of the pool's connections. Not related
   to the control protocol for operators (control/control.h). */
struct control_conn;

/* Answer to one call. text is the first column of the first row if ok, else an
   error message; it is valid during the call only. */
typedef void (*control_conn_reply_cb)(void *ctx, bool ok, struct sview text);

struct control_conn *control_conn_create(struct ev_loop *loop,
                                         const struct settings_address *a,
                                         const char *database,
                                         const char *password);
void control_conn_destroy(struct control_conn *cc);
void control_conn_call(struct control_conn *cc, const char *sql,
                       clock_ms timeout_ms, control_conn_reply_cb reply,
                       void *ctx);
const char *control_conn_parameter(const struct control_conn *cc,
                                   const char *name);
const char *control_conn_address(const struct control_conn *cc);

#endif
