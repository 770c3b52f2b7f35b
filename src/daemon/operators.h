#ifndef DAEMON_OPERATORS_H
#define DAEMON_OPERATORS_H

#include "caller/front.h"
#include "control/control.h"
#include "fleet/peers.h"
#include "settings/settings.h"
#include "upstream/group.h"

/* Implements the tables and commands of the control protocol for operators. */
struct operators_config {
    const struct settings *settings;
    struct group **groups;
    struct front *front;
    struct peers *peers;      /* NULL without peers */
    void (*drain)(void *ctx); /* begins a graceful shutdown */
    void *ctx;
};

void operators_register(struct control *c,
                        const struct operators_config *config);

#endif
