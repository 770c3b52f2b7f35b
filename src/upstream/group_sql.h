#ifndef UPSTREAM_GROUP_SQL_H
#define UPSTREAM_GROUP_SQL_H

#include "base/sview.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The SQL by which a database group tells and changes its terms and
   positions. Another platform's names are put here. */
#define GROUP_SQL_STATE "SELECT group_state()"
#define GROUP_SQL_CONFIRM "SELECT group_confirm()"

/* The user of the reserved control connections. */
#define GROUP_CONTROL_USER "galenastep_control"

enum group_role { GROUP_ROLE_REPLICA, GROUP_ROLE_PRIMARY };

/* One answer of group_state(). Times are milliseconds. */
struct group_state {
    uint64_t term;
    uint64_t position;
    enum group_role role;
    int64_t staleness_ms;
    int64_t silence_ms;
    uint64_t sealed;
};

bool group_state_parse(struct sview text, struct group_state *out);
void group_sql_seal(GString *out, uint64_t term);
void group_sql_promote(GString *out, uint64_t term);
void group_sql_follow(GString *out, uint64_t term, const char *host,
                      uint16_t port);
void group_sql_cancel(GString *out, int pid);

#endif
