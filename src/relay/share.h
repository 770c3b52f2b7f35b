#ifndef RELAY_SHARE_H
#define RELAY_SHARE_H

int share_connections(int max_connections, int proxies);

#endif
