#ifndef DAEMON_VMS_H
#define DAEMON_VMS_H

#include "settings/settings.h"
#include "upstream/group.h"

#include <ev.h>

/* Polls the platform's VM list and marks the members whose VM is leaving. */
struct vms;

struct vms *vms_create(struct ev_loop *loop, const struct settings *s,
                       struct group **groups);
void vms_destroy(struct vms *v);

#endif
