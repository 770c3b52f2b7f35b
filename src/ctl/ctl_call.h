#ifndef CTL_CTL_CALL_H
#define CTL_CTL_CALL_H

#include "control/control_xdr.h"
#include "ctl/ctl.h"
#include "fleet/rpc_auth.h"

#include <glib.h>
#include <stdbool.h>

/* The proxy to call and the options of the call. */
struct ctl_target {
    char **addresses; /* tried in order; NULL-terminated */
    const struct rpc_keys *keys;
    unsigned timeout_ms;
    FILE *err;
    const char *step; /* the command, for error messages */
};

int ctl_call_table(const struct ctl_target *t, uint32_t procedure,
                   const char *argument, GPtrArray **rows);
int ctl_call_command(const struct ctl_target *t, uint32_t procedure,
                     xdrproc_t args_proc, const void *args, char **message);
bool_t ctl_xdr_empty(XDR *x, ...);

#endif
