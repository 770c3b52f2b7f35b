#ifndef UPSTREAM_GROUP_SQL_H
#define UPSTREAM_GROUP_SQL_H

#include "base/sview.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* SQL statements that read and change the terms and positions of a database
   group's members. A port to another database platform replaces them here. */
#define GROUP_SQL_STATE "SELECT group_state()"
#define GROUP_SQL_CONFIRM "SELECT group_confirm()"

/* Database account of the control connections. */
#define GROUP_CONTROL_USER "galenastep_control"

enum group_role { GROUP_ROLE_REPLICA, GROUP_ROLE_PRIMARY };

/* Result of group_state(). */
struct group_state {
    uint64_t term;
    uint64_t position;
    enum group_role role;
    int64_t staleness_ms;
    /* Since a replica heard from its primary, or since a majority answered
       the primary. */
    int64_t silence_ms;
    uint64_t sealed; /* highest sealed term */
};

bool group_state_parse(struct sview text, struct group_state *out);
void group_sql_seal(GString *out, uint64_t term);
void group_sql_promote(GString *out, uint64_t term);
void group_sql_follow(GString *out, uint64_t term, const char *host,
                      uint16_t port);
void group_sql_cancel(GString *out, int pid);

#endif
