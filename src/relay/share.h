#ifndef RELAY_SHARE_H
#define RELAY_SHARE_H

int share_connections(int max_connections, int proxies);
int share_max(int max_connections, int proxies);
int share_at_start(int max_connections, int proxies);

#endif
