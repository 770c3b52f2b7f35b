#ifndef CALLER_FRONT_H
#define CALLER_FRONT_H

#include "caller/counters.h"
#include "settings/settings.h"
#include "statement/statement.h"
#include "upstream/group.h"

#include <ev.h>
#include <glib.h>

/* The frontend of the proxy: the listening socket, the caller connections and
   the state that they share. */
struct front;
struct caller;

struct front *front_create(struct ev_loop *loop, const struct settings *s,
                           struct group **groups, char **error);
void front_destroy(struct front *f);
void front_drain(struct front *f, void (*drained)(void *ctx), void *ctx);
void front_cancel_statements(struct front *f);
void front_end(struct front *f);
guint front_caller_count(const struct front *f);
const struct counters *front_counters(const struct front *f);
void front_set_cancel_forwarder(struct front *f,
                                void (*cancel)(void *ctx, uint32_t pid,
                                               uint32_t secret),
                                void *ctx);
bool front_cancel(struct front *f, uint32_t pid, uint32_t secret);

#endif
