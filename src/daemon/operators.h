#ifndef DAEMON_OPERATORS_H
#define DAEMON_OPERATORS_H

#include "caller/front.h"
#include "control/control.h"
#include "fleet/peers.h"
#include "settings/settings.h"
#include "upstream/group.h"

/* What operators see and do: fills the tables of the control protocol. */
struct operators_config {
    const struct settings *settings;
    struct group **groups;
    struct front *front;
    struct peers *peers;
    void (*drain)(void *ctx);
    void *ctx;
};

void operators_register(struct control *c,
                        const struct operators_config *config);

#endif
