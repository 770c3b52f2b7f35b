#ifndef DAEMON_APPLY_H
#define DAEMON_APPLY_H

#include "settings/settings.h"
#include "ticket/object.h"
#include "upstream/group.h"

bool apply_object(const struct settings *s, struct group **groups,
                  const struct ticket_object *o);

#endif
