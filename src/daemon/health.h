#ifndef DAEMON_HEALTH_H
#define DAEMON_HEALTH_H

#include "settings/settings.h"

#include <ev.h>
#include <stdbool.h>

/* The balancer's health check: any HTTP request is answered 200 while the
   proxy takes new callers and 503 afterwards. */
struct health;

struct health *health_create(struct ev_loop *loop,
                             const struct settings_address *a, char **error);
void health_destroy(struct health *h);
void health_set_serving(struct health *h, bool serving);

#endif
