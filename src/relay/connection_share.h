#ifndef RELAY_CONNECTION_SHARE_H
#define RELAY_CONNECTION_SHARE_H

#include "relay/home.h"

#include <stdbool.h>

/* How many connections one proxy may have to one member. max_connections is
   what the member accepts from all proxies together. */

struct connection_limits {
    int working; /* connections without an overdue answer */
    int total;   /* all connections */
    /* Average number of open connections that idle ones are kept for, in
       thousandths. 0: idle connections stay open. */
    int idle_permille;
    /* The same at the replicas where proxies keep a connection each, in
       addition to these. */
    int replica_idle_permille;
    /* How many proxies may keep a connection to one replica. 0: none does. */
    int max_homes;
    struct home_place place; /* if max_homes is set */
    bool accounts; /* a connection serves the requests of one account only */
};

/* What the limits of one proxy depend on. */
struct fleet_share {
    int max_connections;
    int proxies;
    bool starting;           /* this proxy has just started */
    bool recent_start;       /* members may still count connections that an
                                earlier process of this proxy had */
    bool accounts;           /* the configuration lists client accounts */
    struct home_place place; /* empty: no connection is kept to a replica */
};

struct connection_limits connection_limits(int max_connections, int proxies,
                                           bool starting);
struct connection_limits
connection_limits_in_fleet(const struct fleet_share *f);
int connection_share(int max_connections, int proxies);
int connection_share_max(int max_connections, int proxies);
int connection_share_at_start(int max_connections, int proxies);

#endif
