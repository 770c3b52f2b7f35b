#ifndef RELAY_CONNECTION_SHARE_H
#define RELAY_CONNECTION_SHARE_H

#include <stdbool.h>

/* How many connections one proxy may have to one member. max_connections is
   what the member accepts from all proxies together. */

struct connection_limits {
    int working; /* connections without an overdue answer */
    int total;   /* all connections */
    /* Average number of open connections that idle ones are kept for, in
       thousandths. 0: idle connections stay open. */
    int idle_permille;
};

struct connection_limits connection_limits(int max_connections, int proxies,
                                           bool starting);
int connection_share(int max_connections, int proxies);
int connection_share_max(int max_connections, int proxies);
int connection_share_at_start(int max_connections, int proxies);

#endif
