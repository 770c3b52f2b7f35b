#ifndef DAEMON_HEALTH_H
#define DAEMON_HEALTH_H

#include "settings/settings.h"

#include <ev.h>
#include <stdbool.h>

/* Health check for the load balancer: every HTTP request is answered with 200
   while the proxy takes new callers, and with 503 while it drains. */
struct health;

struct health *health_create(struct ev_loop *loop,
                             const struct settings_address *a, char **error);
void health_destroy(struct health *h);
void health_set_serving(struct health *h, bool serving);

#endif
