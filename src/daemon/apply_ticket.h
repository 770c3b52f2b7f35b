#ifndef DAEMON_APPLY_TICKET_H
#define DAEMON_APPLY_TICKET_H

#include "settings/settings.h"
#include "ticket/object.h"
#include "upstream/group.h"

bool apply_ticket_object(const struct settings *s, struct group **groups,
                         const struct ticket_object *o);

#endif
