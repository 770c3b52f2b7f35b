#ifndef CTL_CTL_CALL_H
#define CTL_CTL_CALL_H

#include "control/control_xdr.h"
#include "ctl/ctl.h"
#include "fleet/rpc_auth.h"

#include <glib.h>
#include <stdbool.h>

/* Where to call and how. */
struct ctl_target {
    char **addresses; /* tried in order, ends with NULL */
    const struct rpc_keys *keys;
    unsigned timeout_ms;
    FILE *err;
    const char *step; /* the sub-command, for messages */
};

int ctl_call_table(const struct ctl_target *t, uint32_t procedure,
                   const char *argument, GPtrArray **rows);
int ctl_call_command(const struct ctl_target *t, uint32_t procedure,
                     xdrproc_t args_proc, const void *args, char **message);
bool_t ctl_xdr_empty(XDR *x, ...);

#endif
