#ifndef RELAY_CONNECTION_SHARE_H
#define RELAY_CONNECTION_SHARE_H

/* How many connections one proxy may have to one member. max_connections is
   what the member accepts from all proxies together. */
int connection_share(int max_connections, int proxies);
int connection_share_max(int max_connections, int proxies);
int connection_share_at_start(int max_connections, int proxies);

#endif
